/* The engine stand-in's batching: admits all, runs up to max_batch at once, knows no priorities.
 *
 * A thread advances all running calls by the real time that has passed. Every function takes the
 * model's lock itself. */
#pragma once

#include "engine_cache.h"

#include <pthread.h>

struct EngineOptions
{
  const char *name;
  const char *model;
  const char *incarnation;
  double tokens_per_second;         /* of one call alone */
  double prefill_tokens_per_second; /* of the whole engine */
  uint32_t max_batch;
  uint64_t cache_tokens;
  int64_t report_lag_ms;
  bool fencing; /* refuses orders with an old fencing number */
};

/* Faults that a test turns on with POST /control. */
struct EngineFaults
{
  char crash_on[128]; /* "": none; a call whose body contains it ends the process */
  uint32_t close_after_run, close_mid_stream, lose_release; /* the next n */
  bool ignore_release, hang;
  bool vary; /* no two runs give the same answer, as engines with a temperature do */
  uint64_t n_varied;
  uint32_t answer_tokens; /* 0: as the request says; else the length of every answer */
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
  struct EngineSegment *segments; /* the prompt's, then one for the answer */
  size_t n_segments;
  uint32_t prompt_tokens, cached_tokens, target_tokens, generated_tokens;
  double prefill_left, progress;
  uint64_t number; /* in the log */
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
/* Takes the call out, cancelling it if it has not ended. */
void
engine_model_remove (struct EngineModel *model, struct EngineCall *call);

/* What the engine reports: report_lag_ms to twice that old. */
struct EngineLoad
engine_model_load (struct EngineModel *model);
json_t *
engine_model_events (struct EngineModel *model, uint64_t after);
/* Memory held for a program, its calls in the engine included. */
uint64_t
engine_model_held_tokens (struct EngineModel *model, const char *program);
uint64_t
engine_model_release (struct EngineModel *model, const char *program);
/* Every call that ran: [{"key","program","state"}]. */
json_t *
engine_model_log (struct EngineModel *model);

/* Faults are read and changed under the lock. */
struct EngineFaults *
engine_model_lock_faults (struct EngineModel *model);
void
engine_model_unlock_faults (struct EngineModel *model);
/* True while *counter of the faults, which it lowers by one, is above 0. */
bool
engine_model_take_fault (struct EngineModel *model, uint32_t *counter);
