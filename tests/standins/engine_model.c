#include "engine_model.h"

#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  TICK_US = 1000,
  CRASH_EXIT_STATUS = 70
};

/* Each further call in the batch adds this fraction to the decode time of every call. */
static const double batch_slowdown = 0.04;

struct LoadSample
{
  struct EngineLoad load;
  int64_t time_ms;
};

struct EngineModel
{
  struct EngineOptions options;
  struct EngineFaults faults;
  struct EngineCache *cache;
  pthread_mutex_t lock;
  pthread_cond_t arrived;
  struct EngineCall *first; /* in order of arrival */
  struct LoadSample reported, sampled;
  uint64_t n_log;
  json_t *log;
};

static int64_t
clock_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static int64_t
clock_ms (void)
{
  return clock_us () / 1000;
}

struct EngineModel *
engine_model_new (TALLOC_CTX *ctx, const struct EngineOptions *options)
{
  struct EngineModel *model = talloc_zero (ctx, struct EngineModel);
  pthread_condattr_t attributes;

  model->options = *options;
  model->faults.slow_factor = 1.0;
  model->cache = engine_cache_new (model, options->cache_tokens);
  model->log = json_array ();
  pthread_mutex_init (&model->lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&model->arrived, &attributes);
  pthread_condattr_destroy (&attributes);
  return model;
}

static struct EngineLoad
model_current_load (const struct EngineModel *model)
{
  struct EngineLoad load = { .used_tokens = engine_cache_used_tokens (model->cache),
                             .last_event = engine_cache_last_event (model->cache) };

  for (const struct EngineCall *call = model->first; call != NULL; call = call->next)
    {
      load.running += call->state == ENGINE_CALL_RUNNING;
      load.waiting += call->state == ENGINE_CALL_WAITING;
    }
  return load;
}

static void
model_log_state (struct EngineModel *model, const struct EngineCall *call, const char *state)
{
  json_object_set_new (json_array_get (model->log, call->number), "state", json_string (state));
}

static void
model_admit (struct EngineModel *model, struct EngineCall *call)
{
  const char *crash_on = model->faults.crash_on;

  if (crash_on[0] != '\0' && strstr (call->body, crash_on) != NULL)
    _exit (CRASH_EXIT_STATUS);
  call->state = ENGINE_CALL_RUNNING;
  call->number = model->n_log++;
  json_array_append_new (model->log, json_pack ("{s:s, s:s, s:s}", "key", call->key, "program",
                                                call->program, "state", "running"));
  call->cached_tokens = engine_cache_match (model->cache, call->segments, call->n_segments - 1);
  /* At least one token is computed, even when the whole prompt is cached. */
  if (call->cached_tokens > 0 && call->cached_tokens == call->prompt_tokens)
    call->cached_tokens--;
  call->prefill_left = call->prompt_tokens - call->cached_tokens;
}

static uint32_t
model_admit_waiting (struct EngineModel *model)
{
  uint32_t n_running = model_current_load (model).running;

  for (struct EngineCall *call = model->first; call != NULL; call = call->next)
    {
      if (n_running >= model->options.max_batch)
        break;
      if (call->state != ENGINE_CALL_WAITING)
        continue;
      model_admit (model, call);
      n_running++;
    }
  return n_running;
}

static void
model_prefill (struct EngineModel *model, double tokens)
{
  for (struct EngineCall *call = model->first; call != NULL && tokens > 0; call = call->next)
    {
      double n_prefilled;

      if (call->state != ENGINE_CALL_RUNNING || call->prefill_left <= 0)
        continue;
      n_prefilled = call->prefill_left < tokens ? call->prefill_left : tokens;
      call->prefill_left -= n_prefilled;
      tokens -= n_prefilled;
      if (call->prefill_left <= 0)
        engine_cache_store (model->cache, call->segments, call->n_segments - 1, call->program);
    }
}

static void
model_decode (struct EngineModel *model, double tokens)
{
  for (struct EngineCall *call = model->first; call != NULL; call = call->next)
    {
      uint32_t generated;

      if (call->state != ENGINE_CALL_RUNNING || call->prefill_left > 0)
        continue;
      call->progress += tokens;
      generated =
          call->progress < call->target_tokens ? (uint32_t)call->progress : call->target_tokens;
      if (generated == call->generated_tokens)
        continue;
      call->generated_tokens = generated;
      if (generated == call->target_tokens)
        {
          call->state = ENGINE_CALL_DONE;
          model_log_state (model, call, "done");
          engine_cache_store (model->cache, call->segments, call->n_segments, call->program);
        }
      pthread_cond_broadcast (&call->changed);
    }
}

static void
model_sample_load (struct EngineModel *model, int64_t now_ms)
{
  if (now_ms - model->sampled.time_ms < model->options.report_lag_ms)
    return;
  model->reported = model->sampled;
  model->sampled.load = model_current_load (model);
  model->sampled.time_ms = now_ms;
}

static void
model_advance (struct EngineModel *model, int64_t elapsed_us)
{
  double seconds = (double)elapsed_us / 1e6 / model->faults.slow_factor;
  uint32_t n_running = model_admit_waiting (model);

  if (model->faults.hang || n_running == 0)
    return;
  model_prefill (model, model->options.prefill_tokens_per_second * seconds);
  model_decode (model, model->options.tokens_per_second * seconds
                           / (1.0 + batch_slowdown * (n_running - 1)));
}

static void *
model_thread (void *data)
{
  struct EngineModel *model = data;
  int64_t last_us = clock_us ();

  for (;;)
    {
      int64_t now_us;

      usleep (TICK_US);
      now_us = clock_us ();
      pthread_mutex_lock (&model->lock);
      engine_cache_set_time (model->cache, now_us / 1000);
      model_advance (model, now_us - last_us);
      model_sample_load (model, now_us / 1000);
      pthread_mutex_unlock (&model->lock);
      last_us = now_us;
    }
  return NULL;
}

bool
engine_model_start (struct EngineModel *model)
{
  pthread_t thread;

  return pthread_create (&thread, NULL, model_thread, model) == 0 && pthread_detach (thread) == 0;
}

void
engine_model_add (struct EngineModel *model, struct EngineCall *call)
{
  pthread_condattr_t attributes;
  struct EngineCall **end = &model->first;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&call->changed, &attributes);
  pthread_condattr_destroy (&attributes);
  call->state = ENGINE_CALL_WAITING;
  pthread_mutex_lock (&model->lock);
  while (*end != NULL)
    end = &(*end)->next;
  *end = call;
  pthread_mutex_unlock (&model->lock);
}

enum EngineCallState
engine_model_wait (struct EngineModel *model,
                   struct EngineCall *call,
                   uint32_t seen_tokens,
                   int64_t wait_ms,
                   uint32_t *generated_tokens)
{
  int64_t deadline_us = clock_us () + wait_ms * 1000;
  struct timespec deadline = { .tv_sec = deadline_us / 1000000,
                               .tv_nsec = deadline_us % 1000000 * 1000 };
  enum EngineCallState state;
  int error = 0;

  pthread_mutex_lock (&model->lock);
  while (error == 0 && call->generated_tokens <= seen_tokens
         && (call->state == ENGINE_CALL_WAITING || call->state == ENGINE_CALL_RUNNING))
    error = pthread_cond_timedwait (&call->changed, &model->lock, &deadline);
  state = call->state;
  *generated_tokens = call->generated_tokens;
  pthread_mutex_unlock (&model->lock);
  return state;
}

void
engine_model_remove (struct EngineModel *model, struct EngineCall *call)
{
  struct EngineCall **link = &model->first;

  pthread_mutex_lock (&model->lock);
  while (*link != NULL && *link != call)
    link = &(*link)->next;
  if (*link != NULL)
    *link = call->next;
  if (call->state == ENGINE_CALL_RUNNING)
    model_log_state (model, call, "cancelled");
  call->state = ENGINE_CALL_CANCELLED;
  pthread_mutex_unlock (&model->lock);
  pthread_cond_destroy (&call->changed);
}

struct EngineLoad
engine_model_load (struct EngineModel *model)
{
  struct EngineLoad load;

  pthread_mutex_lock (&model->lock);
  load = model->options.report_lag_ms > 0 ? model->reported.load : model_current_load (model);
  pthread_mutex_unlock (&model->lock);
  return load;
}

json_t *
engine_model_events (struct EngineModel *model, uint64_t after)
{
  json_t *events;

  pthread_mutex_lock (&model->lock);
  events = engine_cache_events (model->cache, after, clock_ms () - model->options.report_lag_ms);
  pthread_mutex_unlock (&model->lock);
  return events;
}

uint64_t
engine_model_held_tokens (struct EngineModel *model, const char *program)
{
  uint64_t tokens;

  pthread_mutex_lock (&model->lock);
  tokens = engine_cache_held_tokens (model->cache, program);
  for (const struct EngineCall *call = model->first; call != NULL; call = call->next)
    if (strcmp (call->program, program) == 0 && call->state == ENGINE_CALL_RUNNING)
      tokens += call->prompt_tokens + call->generated_tokens;
  pthread_mutex_unlock (&model->lock);
  return tokens;
}

uint64_t
engine_model_release (struct EngineModel *model, const char *program)
{
  uint64_t tokens;

  pthread_mutex_lock (&model->lock);
  tokens = engine_cache_release (model->cache, program);
  pthread_mutex_unlock (&model->lock);
  return tokens;
}

json_t *
engine_model_log (struct EngineModel *model)
{
  json_t *log;

  pthread_mutex_lock (&model->lock);
  log = json_deep_copy (model->log);
  pthread_mutex_unlock (&model->lock);
  return log;
}

struct EngineFaults *
engine_model_lock_faults (struct EngineModel *model)
{
  pthread_mutex_lock (&model->lock);
  return &model->faults;
}

void
engine_model_unlock_faults (struct EngineModel *model)
{
  pthread_mutex_unlock (&model->lock);
}

bool
engine_model_consume_fault (struct EngineModel *model, uint32_t *counter)
{
  bool taken;

  pthread_mutex_lock (&model->lock);
  taken = *counter > 0;
  *counter -= taken;
  pthread_mutex_unlock (&model->lock);
  return taken;
}
