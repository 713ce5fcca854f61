/* Simulates one inference engine for experiments: continuous batching, chunked prefill, and a
 * prefix cache with least-recently-used eviction. Time is a fractional number of milliseconds;
 * there is no network and no cluster. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

struct EngineParams
{
  double step_base_ms; /* duration of a decode step with an empty batch */
  double step_call_ms; /* added for each decoding call */
  double prefill_us_per_token;
  uint32_t chunk_tokens; /* prompt tokens prefilled in one decode step */
  uint32_t batch_max;    /* most calls running at once; others wait in the engine, FIFO */
  uint64_t cache_tokens; /* memory for running calls and cached prefixes */
};

enum EngineEventKind
{
  ENGINE_FIRST_TOKEN,
  ENGINE_DONE,
  ENGINE_FAILED, /* the engine crashed while it had the call */
  ENGINE_REFUSED /* the engine was down before: the call never reached it */
};

struct EngineEvent
{
  enum EngineEventKind kind;
  uint64_t call;
  uint32_t cached_tokens;
};

typedef void (*EngineEventFn) (void *data, const struct EngineEvent *event);

struct Engine;

struct Engine *
engine_new (TALLOC_CTX *ctx, const struct EngineParams *params, EngineEventFn fn, void *data);

/* Each of these functions first advances the engine to now_ms and reports the events until then. */
void
engine_submit (struct Engine *engine,
               double now_ms,
               uint64_t call,
               uint64_t prefix, /* id of the prefix that the prompt extends */
               uint32_t prompt_tokens,
               uint32_t generated_tokens);
void
engine_release (struct Engine *engine, double now_ms, uint64_t prefix);
void
engine_set_speed (struct Engine *engine, double now_ms, double speed);
/* Fails all calls and empties the cache. */
void
engine_crash (struct Engine *engine, double now_ms);
void
engine_advance (struct Engine *engine, double now_ms);

/* Returns the time of the next event if no further call is submitted; INFINITY when idle. */
double
engine_next_ms (const struct Engine *engine);

void
engine_load (const struct Engine *engine, uint32_t *running, uint32_t *waiting);
