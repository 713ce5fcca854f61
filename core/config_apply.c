/* Appends the operators' changes one at a time and determines the outcome of writes whose response
 * was lost. */
#include "config_log_private.h"
#include "jitter.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/error.h>
#include <buckthornhead/kv_guard.h>

#include <stdio.h>
#include <string.h>

enum
{
  SETTLE_RETRY_MS = 500, /* delay between retries of a write whose response was lost */
  SETTLE_MS = 10000      /* after this the change is reported as of unknown effect */
};

struct ConfigApply
{
  struct ConfigApply *next;
  struct ConfigLog *log;
  struct ConfigChange change;
  ConfigApplyDone done;
  void *data;
  struct Timer *timer;
  uint8_t *value; /* packed change of the last put */
  size_t value_bytes;
  uint64_t n;                 /* change number of the last put */
  bool uncertain;             /* a put under .n received no response and may still take effect */
  int64_t settle_deadline_ms; /* valid while .uncertain */
};

static void
apply_read (void *data);

static void
apply_later (struct ConfigApply *apply, int64_t delay_ms)
{
  TALLOC_FREE (apply->timer);
  apply->timer = timer_subscribe (apply, apply->log->timers, delay_ms, 0, apply_read, apply);
}

/* Schedules the next change before it calls done, since done may free the log. */
static void
apply_finish (struct ConfigApply *apply,
              int32_t error,
              uint64_t revision,
              const struct Fault *fault)
{
  static const struct Fault none = { 0 };
  struct ConfigLog *log = apply->log;

  log->applies = apply->next;
  if (log->applies != NULL)
    apply_later (log->applies, 0);
  if (error == ERROR_CONFLICT)
    counter_add (COUNTER_CONFIG_CONFLICTS, 1);
  talloc_steal (NULL, apply);
  apply->done (apply->data, error, revision, fault != NULL ? fault : &none);
  talloc_free (apply);
}

/* Handles a step that applied nothing. After a put without a response, "not applied" may only be
 * reported once another change has taken its number. Until then the same put is retried under the
 * same number; it takes effect at most once, as the key is only ever created. */
static void
apply_fail (struct ConfigApply *apply, int32_t error)
{
  struct Fault fault;

  if (apply->uncertain && timer_now_ms (apply->log->timers) < apply->settle_deadline_ms)
    {
      apply_later (apply, jitter_ms (&apply->log->jitter, SETTLE_RETRY_MS));
      return;
    }
  if (apply->uncertain)
    error = fault_set (
        &fault, ERROR_UNKNOWN_EFFECT, "query the same change id again when the platform responds",
        "the response to change %s was lost; the change may be in force", apply->change.change_id);
  else if (error == ERROR_UNREACHABLE || error == ERROR_RATE_LIMITED)
    error = fault_set (&fault, ERROR_PLATFORM_DOWN, "send it again when the platform responds",
                       "the platform's key-value service %s; change %s was not applied",
                       error == ERROR_RATE_LIMITED ? "is overloaded" : "does not answer",
                       apply->change.change_id);
  else
    fault_set (&fault, error, NULL, "change %s was not applied", apply->change.change_id);
  apply_finish (apply, error, 0, &fault);
}

static void
apply_retry_put (struct ConfigApply *apply)
{
  if (!apply->uncertain)
    apply->settle_deadline_ms = timer_now_ms (apply->log->timers) + SETTLE_MS;
  apply->uncertain = true;
  apply_fail (apply, ERROR_UNKNOWN_EFFECT);
}

static void
apply_on_put (void *data, const struct KvResult *result)
{
  struct ConfigApply *apply = data;
  struct ConfigLog *log = apply->log;

  if (result->error == ERROR_CONFLICT)
    {
      apply_read (apply);
      return;
    }
  if (result->error == ERROR_UNKNOWN_EFFECT)
    {
      apply_retry_put (apply);
      return;
    }
  if (result->error != ERROR_NONE)
    {
      apply_fail (apply, result->error);
      return;
    }
  config_log_add_value (log, apply->n, apply->value, apply->value_bytes);
  config_log_publish (log);
  config_log_appended (log, apply->n);
  apply_finish (apply, ERROR_NONE, apply->n, NULL);
}

static void
apply_put (struct ConfigApply *apply)
{
  struct ConfigLog *log = apply->log;
  const struct ConfigObject *present =
      config_fold_find (log->fold, apply->change.kind, apply->change.name);
  struct KvRequest request = { .op = KV_OP_PUT };
  char *key = NULL;
  int32_t error = ERROR_NONE;

  apply->n = log->fold->revision + 1;
  apply->change.revision = apply->n;
  apply->change.before = present != NULL ? present->text : "";
  TALLOC_FREE (apply->value);
  error = config_change_pack (apply, &apply->change, &apply->value, &apply->value_bytes);
  if (error == ERROR_NONE)
    {
      key = config_log_key (log, apply, apply->n);
      request.put.key = key;
      request.put.value = apply->value;
      request.put.value_bytes = apply->value_bytes;
      request.put.condition = KV_IF_ABSENT;
      error = kv_submit_guarded (apply, log->kv, &request, apply_on_put, apply);
      talloc_free (key);
    }
  if (error != ERROR_NONE)
    apply_fail (apply, error);
}

/* The change id is already in the log, from an earlier attempt, possibly on another instance. */
static void
apply_finish_repeated (struct ConfigApply *apply, uint64_t n)
{
  const struct ConfigEntry *entry = config_log_find (apply->log, n);
  const struct ConfigChange *first = entry != NULL ? entry->change : NULL;
  struct Fault fault;

  if (first == NULL
      || (first->kind == apply->change.kind && strcmp (first->name, apply->change.name) == 0
          && strcmp (first->text, apply->change.text) == 0))
    {
      if (n == apply->n)
        config_log_appended (apply->log, n); /* by the put whose response was lost */
      apply_finish (apply, ERROR_NONE, n, NULL);
      return;
    }
  fault_set (&fault, ERROR_CONFLICT, "use a new change id",
             "change id %s was used at revision %llu, by %s, for another change",
             apply->change.change_id, (unsigned long long)n, first->author);
  apply_finish (apply, ERROR_CONFLICT, 0, &fault);
}

static void
apply_on_read (void *data, int32_t error, int64_t revision)
{
  struct ConfigApply *apply = data;
  struct ConfigFold *fold = apply->log->fold;
  uint64_t used = config_fold_used (fold, apply->change.change_id);
  struct Fault fault;

  (void)revision;
  if (used != 0)
    {
      apply_finish_repeated (apply, used);
      return;
    }
  if (error != ERROR_NONE)
    {
      apply_fail (apply, error);
      return;
    }
  if (fold->revision >= apply->n)
    apply->uncertain = false; /* another change took its number */
  error = config_fold_check (fold, &apply->change, &fault);
  if (error == ERROR_NONE)
    error = config_fold_conflict (fold, &apply->change, &fault);
  if (error != ERROR_NONE)
    apply_finish (apply, error, 0, &fault);
  else
    apply_put (apply);
}

static void
apply_read (void *data)
{
  struct ConfigApply *apply = data;
  int32_t error = kv_follow_read (apply, apply->log->follow, apply_on_read, apply);

  if (error != ERROR_NONE)
    apply_fail (apply, error);
}

int32_t
config_log_apply (struct ConfigLog *log,
                  const struct ConfigChange *change,
                  ConfigApplyDone done,
                  void *data)
{
  struct ConfigApply *apply = talloc_zero (log, struct ConfigApply);
  struct ConfigApply **link = &log->applies;

  if (apply == NULL)
    return ERROR_NO_MEMORY;
  apply->log = log;
  apply->change = *change;
  apply->change.text = talloc_strdup (apply, change->text != NULL ? change->text : "");
  apply->done = done;
  apply->data = data;
  while (*link != NULL)
    link = &(*link)->next;
  *link = apply;
  if (log->applies == apply)
    apply_later (apply, 0);
  return ERROR_NONE;
}
