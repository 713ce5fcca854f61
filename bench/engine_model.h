/* A small model of one model engine for experiments: continuous batching, chunked prefill, a
 * prefix cache with least-recently-used eviction. Time is a continuous number of milliseconds; no
 * network and no cluster. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

struct EngineParams
{
  double step_base_ms; /* one decode step of an empty batch */
  double step_call_ms; /* more for each call that decodes */
  double prefill_us_per_token;
  uint32_t chunk_tokens; /* prefilled beside one decode step */
  uint32_t batch_max;    /* further calls wait inside, first in first out */
  uint64_t cache_tokens; /* memory for running calls and cached prefixes */
};

enum EngineEventKind
{
  ENGINE_FIRST_TOKEN,
  ENGINE_DONE,
  ENGINE_FAILED, /* the engine died while the call was in it */
  ENGINE_REFUSED /* the engine was dead already: the call never reached it */
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

/* All take the present time first, and first let pass what happened until then. */
void
engine_submit (struct Engine *engine,
               double now_ms,
               uint64_t call,
               uint64_t prefix, /* names what the call's prompt extends */
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

/* When the next event comes if nothing else happens; INFINITY when idle. */
double
engine_next_ms (const struct Engine *engine);

void
engine_load (const struct Engine *engine, uint32_t *running, uint32_t *waiting);
