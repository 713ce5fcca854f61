#include "engine_model.h"

#include <math.h>
#include <string.h>

enum
{
  ENGINE_BATCH_LIMIT = 256,
  PREFIX_BUCKETS = 4096
};

struct Prefix
{
  uint64_t id;
  uint32_t tokens;
  uint32_t n_running;
  struct Prefix *next_in_bucket;
  struct Prefix *older, *newer; /* in the eviction list while no call runs on it */
};

struct EngineCall
{
  uint64_t call;
  struct Prefix *prefix;
  uint32_t prompt_tokens, generated_tokens, cached_tokens;
  double prefill_left, decode_left; /* tokens */
  bool decoding;                    /* its first token has been generated */
  struct EngineCall *next;          /* in the list of waiting calls */
};

struct Engine
{
  struct EngineParams params;
  EngineEventFn fn;
  void *data;
  double now_ms, speed;
  struct EngineCall *running[ENGINE_BATCH_LIMIT]; /* in order of arrival */
  uint32_t n_running, n_waiting;
  struct EngineCall *first_waiting, *last_waiting;
  struct Prefix *buckets[PREFIX_BUCKETS];
  struct Prefix *oldest, *newest;
  uint64_t used_tokens; /* idle prefixes and reservations of running calls */
};

struct Engine *
engine_new (TALLOC_CTX *ctx, const struct EngineParams *params, EngineEventFn fn, void *data)
{
  struct Engine *engine = talloc_zero (ctx, struct Engine);

  engine->params = *params;
  if (engine->params.batch_max > ENGINE_BATCH_LIMIT)
    engine->params.batch_max = ENGINE_BATCH_LIMIT;
  engine->fn = fn;
  engine->data = data;
  engine->speed = 1;
  return engine;
}

/* ---- Prefix cache ---- */

static struct Prefix **
prefix_find_link (struct Engine *engine, uint64_t id)
{
  struct Prefix **link = &engine->buckets[(id * 0x9E3779B97F4A7C15ULL) >> 52];

  while (*link != NULL && (*link)->id != id)
    link = &(*link)->next_in_bucket;
  return link;
}

static void
prefix_leave_lru (struct Engine *engine, struct Prefix *prefix)
{
  *(prefix->older != NULL ? &prefix->older->newer : &engine->oldest) = prefix->newer;
  *(prefix->newer != NULL ? &prefix->newer->older : &engine->newest) = prefix->older;
  prefix->older = prefix->newer = NULL;
}

static void
prefix_enter_lru (struct Engine *engine, struct Prefix *prefix)
{
  prefix->older = engine->newest;
  *(engine->newest != NULL ? &engine->newest->newer : &engine->oldest) = prefix;
  engine->newest = prefix;
}

static void
prefix_drop (struct Engine *engine, struct Prefix *prefix)
{
  struct Prefix **link = prefix_find_link (engine, prefix->id);

  engine->used_tokens -= prefix->tokens;
  prefix_leave_lru (engine, prefix);
  *link = prefix->next_in_bucket;
  talloc_free (prefix);
}

/* Makes room for need tokens by truncating the oldest idle prefixes. Returns whether they fit. */
static bool
prefix_evict (struct Engine *engine, uint64_t need)
{
  uint64_t capacity = engine->params.cache_tokens;

  while (engine->used_tokens + need > capacity && engine->oldest != NULL)
    {
      uint64_t over = engine->used_tokens + need - capacity;

      if (engine->oldest->tokens <= over)
        prefix_drop (engine, engine->oldest);
      else
        {
          engine->oldest->tokens -= (uint32_t)over;
          engine->used_tokens -= over;
        }
    }
  return engine->used_tokens + need <= capacity;
}

/* ---- Batch ---- */

/* Moves a waiting call into the batch if its memory fits. An idle engine accepts any call. */
static bool
engine_start (struct Engine *engine, struct EngineCall *c)
{
  uint64_t need = c->prompt_tokens + c->generated_tokens;
  struct Prefix **link = prefix_find_link (engine, c->prefix->id);
  struct Prefix *found = *link;
  uint32_t cached = 0;

  if (found != NULL && found != c->prefix)
    {
      /* Leaves the eviction list first: otherwise prefix_evict could evict it. */
      cached = found->tokens < c->prompt_tokens ? found->tokens : c->prompt_tokens;
      if (found->n_running++ == 0)
        {
          prefix_leave_lru (engine, found);
          engine->used_tokens -= found->tokens;
        }
    }
  if (!prefix_evict (engine, need) && engine->n_running > 0)
    {
      if (found != NULL && --found->n_running == 0)
        {
          engine->used_tokens += found->tokens;
          prefix_enter_lru (engine, found);
        }
      return false;
    }
  if (found != NULL)
    {
      talloc_free (c->prefix);
      c->prefix = found;
    }
  else
    {
      *prefix_find_link (engine, c->prefix->id) = c->prefix;
      c->prefix->n_running = 1;
    }
  engine->used_tokens += need;
  c->cached_tokens = cached;
  c->prefill_left = c->prompt_tokens - cached + 1;
  c->decode_left = c->generated_tokens;
  engine->running[engine->n_running++] = c;
  return true;
}

static void
engine_fill (struct Engine *engine)
{
  while (engine->first_waiting != NULL && engine->n_running < engine->params.batch_max)
    {
      struct EngineCall *c = engine->first_waiting;
      struct EngineCall *next = c->next;

      if (!engine_start (engine, c))
        return;
      engine->first_waiting = next;
      if (next == NULL)
        engine->last_waiting = NULL;
      engine->n_waiting--;
    }
}

struct EngineRates
{
  struct EngineCall *prefilling; /* the oldest call in prefill; one at a time */
  double prefill, decode;        /* tokens per millisecond; decode: per call */
};

static struct EngineRates
engine_rates (const struct Engine *engine)
{
  struct EngineRates rates = { NULL, 0, 0 };
  const struct EngineParams *p = &engine->params;
  uint32_t n_decoding = 0;
  double step;

  for (uint32_t i = 0; i < engine->n_running; i++)
    if (engine->running[i]->decoding)
      n_decoding++;
    else if (rates.prefilling == NULL)
      rates.prefilling = engine->running[i];
  step = p->step_base_ms + p->step_call_ms * n_decoding;
  if (rates.prefilling != NULL)
    step += p->chunk_tokens * p->prefill_us_per_token / 1000;
  rates.decode = engine->speed / step;
  rates.prefill = engine->speed * p->chunk_tokens / step;
  return rates;
}

double
engine_next_ms (const struct Engine *engine)
{
  struct EngineRates rates = engine_rates (engine);
  double earliest = INFINITY;

  if (rates.decode <= 0)
    return INFINITY;
  for (uint32_t i = 0; i < engine->n_running; i++)
    {
      const struct EngineCall *c = engine->running[i];
      double t = INFINITY;

      if (c->decoding)
        t = c->decode_left / rates.decode;
      else if (c == rates.prefilling)
        t = c->prefill_left / rates.prefill;
      earliest = t < earliest ? t : earliest;
    }
  return engine->now_ms + earliest;
}

static void
engine_finish (struct Engine *engine, uint32_t i, enum EngineEventKind kind)
{
  struct EngineCall *c = engine->running[i];
  struct Prefix *prefix = c->prefix;
  struct EngineEvent event = { kind, c->call, c->cached_tokens };

  engine->n_running--;
  memmove (&engine->running[i], &engine->running[i + 1],
           (engine->n_running - i) * sizeof (struct EngineCall *));
  engine->used_tokens -= c->prompt_tokens + c->generated_tokens;
  prefix->tokens = c->prompt_tokens + c->generated_tokens;
  if (--prefix->n_running == 0)
    {
      engine->used_tokens += prefix->tokens;
      prefix_enter_lru (engine, prefix);
    }
  talloc_free (c);
  engine->fn (engine->data, &event);
}

/* Advances the batch to end_ms, which must not lie after the next event. */
static void
engine_run (struct Engine *engine, double end_ms)
{
  struct EngineRates rates = engine_rates (engine);
  double ms = end_ms - engine->now_ms;

  for (uint32_t i = 0; i < engine->n_running; i++)
    {
      struct EngineCall *c = engine->running[i];

      if (c->decoding)
        c->decode_left -= ms * rates.decode;
      else if (c == rates.prefilling)
        c->prefill_left -= ms * rates.prefill;
    }
  engine->now_ms = end_ms;
}

static void
engine_report_progress (struct Engine *engine)
{
  static const double epsilon = 1e-6;

  for (uint32_t i = 0; i < engine->n_running; i++)
    {
      struct EngineCall *c = engine->running[i];

      if (!c->decoding && c->prefill_left <= epsilon)
        {
          struct EngineEvent event = { ENGINE_FIRST_TOKEN, c->call, c->cached_tokens };

          c->decoding = true;
          engine->fn (engine->data, &event);
        }
      else if (c->decoding && c->decode_left <= epsilon)
        engine_finish (engine, i--, ENGINE_DONE);
    }
  engine_fill (engine);
}

void
engine_advance (struct Engine *engine, double now_ms)
{
  double next;

  while ((next = engine_next_ms (engine)) <= now_ms)
    {
      engine_run (engine, next);
      engine_report_progress (engine);
    }
  if (now_ms > engine->now_ms)
    engine_run (engine, now_ms);
}

void
engine_submit (struct Engine *engine,
               double now_ms,
               uint64_t call,
               uint64_t prefix,
               uint32_t prompt_tokens,
               uint32_t generated_tokens)
{
  struct EngineCall *c = talloc_zero (engine, struct EngineCall);

  engine_advance (engine, now_ms);
  c->call = call;
  c->prompt_tokens = prompt_tokens;
  c->generated_tokens = generated_tokens;
  c->prefix = talloc_zero (engine, struct Prefix);
  c->prefix->id = prefix;
  *(engine->last_waiting != NULL ? &engine->last_waiting->next : &engine->first_waiting) = c;
  engine->last_waiting = c;
  engine->n_waiting++;
  engine_fill (engine);
}

void
engine_release (struct Engine *engine, double now_ms, uint64_t prefix)
{
  struct Prefix *found;

  engine_advance (engine, now_ms);
  found = *prefix_find_link (engine, prefix);
  if (found != NULL && found->n_running == 0)
    prefix_drop (engine, found);
}

void
engine_set_speed (struct Engine *engine, double now_ms, double speed)
{
  engine_advance (engine, now_ms);
  engine->speed = speed;
}

void
engine_crash (struct Engine *engine, double now_ms)
{
  struct EngineCall *waiting;

  engine_advance (engine, now_ms);
  waiting = engine->first_waiting;
  engine->first_waiting = engine->last_waiting = NULL;
  engine->n_waiting = 0;
  while (engine->n_running > 0)
    engine_finish (engine, engine->n_running - 1, ENGINE_FAILED);
  while (engine->oldest != NULL)
    prefix_drop (engine, engine->oldest);
  for (struct EngineCall *next; waiting != NULL; waiting = next)
    {
      struct EngineEvent event = { ENGINE_FAILED, waiting->call, 0 };

      next = waiting->next;
      talloc_free (waiting->prefix);
      talloc_free (waiting);
      engine->fn (engine->data, &event);
    }
}

void
engine_load (const struct Engine *engine, uint32_t *running, uint32_t *waiting)
{
  *running = engine->n_running;
  *waiting = engine->n_waiting;
}
