/* Batching model of the engine stand-in: queues every call, runs up to max_batch at once, in order
 * of arrival and without priorities.
 *
 * A thread advances all running calls by the elapsed real time. Every function locks the model. */
#pragma once

#include "engine_cache.h"

#include <pthread.h>

struct EngineOptions
{
  const char *name;
  const char *model;
  const char *incarnation;
  double tokens_per_second;         /* decode rate of a call that runs alone */
  double prefill_tokens_per_second; /* total of all calls */
  uint32_t max_batch;
  uint64_t cache_tokens;
  int64_t report_lag_ms;
  bool fencing; /* rejects orders with a stale fencing number */
};

/* Faults that a test sets with POST /control. */
struct EngineFaults
{
  char crash_on[128]; /* "": none; a call whose body contains it crashes the process */
  uint32_t close_after_run, close_mid_stream, lose_release; /* number of next requests affected */
  bool ignore_release, hang;
  bool vary; /* every run gives another answer, as with a sampling temperature above 0 */
  uint64_t n_varied;
  uint32_t answer_tokens; /* length of every answer; 0: by the request */
  double slow_factor;
};

enum EngineCallState
{
  ENGINE_CALL_WAITING,
  ENGINE_CALL_RUNNING,
  ENGINE_CALL_DONE,
  ENGINE_CALL_CANCELLED
};

struct EngineCall
{
  struct EngineCall *next;
  enum EngineCallState state;
  pthread_cond_t changed;
  char program[80];
  char key[256];
  char *body;
  struct EngineSegment *segments; /* of the prompt, then one for the answer */
  size_t n_segments;
  uint32_t prompt_tokens, cached_tokens, target_tokens, generated_tokens;
  double prefill_left, progress;
  uint64_t number; /* index in the log */
};

struct EngineLoad
{
  uint32_t running, waiting;
  uint64_t used_tokens, last_event;
};

struct EngineModel;

struct EngineModel *
engine_model_new (TALLOC_CTX *ctx, const struct EngineOptions *options);
bool
engine_model_start (struct EngineModel *model);

void
engine_model_add (struct EngineModel *model, struct EngineCall *call);
/* Waits until more than seen_tokens are generated or the call has ended, at most wait_ms. */
enum EngineCallState
engine_model_wait (struct EngineModel *model,
                   struct EngineCall *call,
                   uint32_t seen_tokens,
                   int64_t wait_ms,
                   uint32_t *generated_tokens);
/* Removes the call and cancels it if it has not ended. */
void
engine_model_remove (struct EngineModel *model, struct EngineCall *call);

/* Returns the load that the engine reports, which is report_lag_ms to 2 * report_lag_ms old. */
struct EngineLoad
engine_model_load (struct EngineModel *model);
json_t *
engine_model_events (struct EngineModel *model, uint64_t after);
/* Returns the number of tokens held for a program, including those of its running calls. */
uint64_t
engine_model_held_tokens (struct EngineModel *model, const char *program);
uint64_t
engine_model_release (struct EngineModel *model, const char *program);
/* Returns every call that was started: [{"key","program","state"}]. */
json_t *
engine_model_log (struct EngineModel *model);

/* Faults are read and changed while the model is locked. */
struct EngineFaults *
engine_model_lock_faults (struct EngineModel *model);
void
engine_model_unlock_faults (struct EngineModel *model);
/* Decrements a counter of the faults. Returns false when it was 0 already. */
bool
engine_model_consume_fault (struct EngineModel *model, uint32_t *counter);
