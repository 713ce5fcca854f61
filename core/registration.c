#include "registration.h"

#include "jitter.h"

#include <buckthornhead/error.h>
#include <buckthornhead/kv_guard.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  RETRY_MS = 500,
  ATTEMPT_MS = 3000, /* longest request that hangs, plus the delay before the next one */
  KEEPALIVES_PER_TTL = 3
};

/* The request that is in flight, or that is retried after a delay. */
enum RegistrationStep
{
  STEP_GRANT,   /* request a lease */
  STEP_READ,    /* read the current revision of the key */
  STEP_JOIN,    /* write the key; the revision of this write is the incarnation's number */
  STEP_PUBLISH, /* write the complete value */
  STEP_VERIFY,  /* read the key back after the response to STEP_PUBLISH was lost */
  STEP_KEEP,    /* registered; only keepalives are sent */
  STEP_LEAVE    /* revoke the lease */
};

struct Registration
{
  struct KvPort *kv;
  struct TimerService *timers;
  struct RegistrationOptions options;
  struct Member self; /* as it should be stored in the service */
  enum RegistrationStep step;
  TALLOC_CTX *attempt; /* owns the request in flight */
  struct Timer *retry;
  TALLOC_CTX *keepalive_request; /* owns the keepalive in flight */
  struct Timer *keepalive_timer;
  int64_t renewed_ms;   /* when the lease was last granted or renewed */
  int64_t result_ms;    /* when the last grant or keepalive succeeded or failed */
  int64_t lease_id;     /* 0: none */
  int64_t mod_revision; /* of the key as last written or read here; 0: absent */
  bool result_gap;    /* since the last renewal, no result arrived for longer than a lease period */
  bool announced;     /* the incarnation is in use */
  bool sent_draining; /* as in the last value sent */
  int64_t leave_until_ms;
  void (*leave_done) (void *data);
  void *leave_data;
};

static void
registration_run (void *data);

/* Starts step after a delay. Cancels the request in flight. */
static void
registration_schedule_step (struct Registration *r, enum RegistrationStep step, uint32_t delay_ms)
{
  r->step = step;
  TALLOC_FREE (r->attempt);
  TALLOC_FREE (r->retry);
  r->retry = timer_subscribe (r, r->timers, jitter_ms (&r->options.seed, delay_ms), 0,
                              registration_run, r);
}

static void
registration_step (struct Registration *r, enum RegistrationStep step)
{
  r->step = step;
  TALLOC_FREE (r->retry);
  registration_run (r);
}

static void
registration_report_availability (struct Registration *r, int32_t error)
{
  bool available =
      error != ERROR_UNREACHABLE && error != ERROR_UNKNOWN_EFFECT && error != ERROR_RATE_LIMITED;

  r->options.availability (r->options.data, available);
}

static void
registration_drop_lease (struct Registration *r)
{
  TALLOC_FREE (r->keepalive_timer);
  TALLOC_FREE (r->keepalive_request);
  r->lease_id = 0;
}

/* Registers again under a new incarnation. The old one is never used again: its journal may have
 * been sealed while its lease had lapsed. */
static void
registration_start_over (struct Registration *r, uint32_t delay_ms)
{
  bool announced = r->announced;

  r->announced = false;
  r->self.incarnation[0] = '\0';
  registration_schedule_step (r, r->lease_id != 0 ? STEP_READ : STEP_GRANT, delay_ms);
  if (announced)
    r->options.lost (r->options.data);
}

/* Returns true when the lease lapsed because the service was unavailable and not because this
 * instance was paused: keepalives failed for at least one lease period, and each failure was
 * observed. */
static bool
registration_lapsed_in_outage (const struct Registration *r)
{
  int64_t now_ms = timer_now_ms (r->timers);
  int64_t ttl_ms = (int64_t)r->options.lease_ttl_s * 1000;

  return now_ms - r->renewed_ms >= ttl_ms && now_ms - r->result_ms < ttl_ms && !r->result_gap;
}

/* Records the result of a grant or keepalive. When this instance is paused with a keepalive in
 * flight, that keepalive fails at the end of the pause as it does at the end of an outage; only the
 * time since the previous result distinguishes the two cases. */
static void
registration_record_result (struct Registration *r, bool renewed)
{
  int64_t now_ms = timer_now_ms (r->timers);
  int64_t ttl_ms = (int64_t)r->options.lease_ttl_s * 1000;

  r->result_gap = !renewed && (r->result_gap || now_ms - r->result_ms >= ttl_ms + ATTEMPT_MS);
  r->result_ms = now_ms;
  if (renewed)
    r->renewed_ms = now_ms;
}

static void
registration_lease_lapsed (struct Registration *r)
{
  bool keep = r->announced && registration_lapsed_in_outage (r);

  registration_drop_lease (r);
  if (r->announced)
    log_event (LOG_LEVEL_WARNING, "lease_lapsed", NULL,
               keep ? "check the platform's key-value service"
                    : "if this recurs, check why the instance was paused",
               "%s, %s", r->self.incarnation, keep ? "in an outage" : "incarnation dropped");
  if (keep)
    registration_schedule_step (r, STEP_GRANT, 0);
  else
    registration_start_over (r, RETRY_MS);
}

static void
registration_superseded (struct Registration *r)
{
  log_event (LOG_LEVEL_ERROR, "member_superseded", NULL,
             "if two instances have the same name, rename one", "%s", r->self.incarnation);
  registration_start_over (r, r->options.lease_ttl_s * 1000);
}

static void
registration_on_keepalive (void *data, const struct KvResult *result);

static void
registration_send_keepalive (void *data)
{
  struct Registration *r = data;
  struct KvRequest request = { .op = KV_OP_LEASE_KEEPALIVE };

  request.lease_keepalive.lease_id = r->lease_id;
  TALLOC_FREE (r->keepalive_request);
  r->keepalive_request = talloc_new (r);
  kv_submit_guarded (r->keepalive_request, r->kv, &request, registration_on_keepalive, r);
}

static void
registration_schedule_keepalive (struct Registration *r, uint32_t delay_ms)
{
  TALLOC_FREE (r->keepalive_timer);
  r->keepalive_timer = timer_subscribe (r, r->timers, jitter_ms (&r->options.seed, delay_ms), 0,
                                        registration_send_keepalive, r);
}

static uint32_t
registration_keepalive_ms (const struct Registration *r)
{
  return r->options.lease_ttl_s * 1000 / KEEPALIVES_PER_TTL;
}

static void
registration_on_keepalive (void *data, const struct KvResult *result)
{
  struct Registration *r = data;

  registration_report_availability (r, result->error);
  if (result->error == ERROR_NOT_FOUND)
    {
      registration_lease_lapsed (r);
      return;
    }
  registration_record_result (r, result->error == ERROR_NONE);
  registration_schedule_keepalive (r, result->error == ERROR_NONE ? registration_keepalive_ms (r)
                                                                  : RETRY_MS);
}

static void
registration_on_grant (void *data, const struct KvResult *result)
{
  struct Registration *r = data;

  registration_report_availability (r, result->error);
  if (result->error != ERROR_NONE)
    {
      registration_schedule_step (r, STEP_GRANT, RETRY_MS);
      return;
    }
  r->lease_id = result->lease_id;
  registration_record_result (r, true);
  registration_schedule_keepalive (r, registration_keepalive_ms (r));
  registration_step (r, STEP_READ);
}

static void
registration_published (struct Registration *r)
{
  bool announced = r->announced;

  r->announced = true;
  if (r->sent_draining != r->self.draining)
    registration_step (r, STEP_PUBLISH);
  else
    r->step = STEP_KEEP;
  if (!announced)
    r->options.registered (r->options.data);
}

static bool
registration_owns_key (const struct Registration *r,
                       const struct KvEntry *entry,
                       struct Member *current)
{
  return member_unpack (entry->value, entry->value_bytes, current) == ERROR_NONE
         && strcmp (current->incarnation, r->self.incarnation) == 0;
}

/* Checks the content of the key after a put whose response was lost or whose condition failed. */
static void
registration_check_key (struct Registration *r, const struct KvResult *result)
{
  const struct KvEntry *entry = result->n_entries > 0 ? &result->entries[0] : NULL;
  int64_t mod_revision = entry != NULL ? entry->mod_revision : 0;
  struct Member current;

  if (mod_revision == r->mod_revision)
    {
      registration_step (r, STEP_PUBLISH); /* unchanged: the put was not applied */
      return;
    }
  if (entry == NULL || !registration_owns_key (r, entry, &current))
    {
      registration_superseded (r);
      return;
    }
  r->mod_revision = mod_revision;
  r->sent_draining = current.draining;
  registration_published (r);
}

/* Under a new lease, writes the key for the incarnation in use again, unless another incarnation
 * holds it. */
static void
registration_on_read (void *data, const struct KvResult *result)
{
  struct Registration *r = data;
  const struct KvEntry *entry = result->n_entries > 0 ? &result->entries[0] : NULL;
  struct Member current;

  registration_report_availability (r, result->error);
  if (result->error != ERROR_NONE && result->error != ERROR_NOT_FOUND)
    {
      registration_schedule_step (r, STEP_READ, RETRY_MS);
      return;
    }
  r->mod_revision = entry != NULL ? entry->mod_revision : 0;
  if (!r->announced)
    registration_step (r, STEP_JOIN);
  else if (entry == NULL || registration_owns_key (r, entry, &current))
    registration_step (r, STEP_PUBLISH);
  else
    registration_superseded (r);
}

/* A lost response needs no verification here: the key is read and written again, and a late write
 * fails because the revision of the key has changed. */
static void
registration_on_join (void *data, const struct KvResult *result)
{
  struct Registration *r = data;

  registration_report_availability (r, result->error);
  if (result->error == ERROR_NOT_FOUND)
    {
      registration_lease_lapsed (r);
      return;
    }
  if (result->error != ERROR_NONE)
    {
      registration_schedule_step (r, STEP_READ, RETRY_MS);
      return;
    }
  r->mod_revision = result->revision;
  snprintf (r->self.incarnation, sizeof r->self.incarnation, "%s.%lld", r->self.instance,
            (long long)result->revision);
  registration_step (r, STEP_PUBLISH);
}

static void
registration_on_publish (void *data, const struct KvResult *result)
{
  struct Registration *r = data;

  registration_report_availability (r, result->error);
  switch (result->error)
    {
    case ERROR_NONE:
      r->mod_revision = result->revision;
      registration_published (r);
      break;
    case ERROR_CONFLICT:
      registration_check_key (r, result);
      break;
    case ERROR_NOT_FOUND:
      registration_lease_lapsed (r);
      break;
    case ERROR_UNKNOWN_EFFECT:
      registration_schedule_step (r, STEP_VERIFY, RETRY_MS);
      break;
    default:
      registration_schedule_step (r, STEP_PUBLISH, RETRY_MS);
      break;
    }
}

static void
registration_on_verify (void *data, const struct KvResult *result)
{
  struct Registration *r = data;

  registration_report_availability (r, result->error);
  if (result->error == ERROR_NONE || result->error == ERROR_NOT_FOUND)
    registration_check_key (r, result);
  else
    registration_schedule_step (r, STEP_VERIFY, RETRY_MS);
}

static void
registration_finish_leave (struct Registration *r)
{
  TALLOC_FREE (r->retry);
  if (r->leave_done != NULL)
    r->leave_done (r->leave_data);
}

static void
registration_on_revoke (void *data, const struct KvResult *result)
{
  struct Registration *r = data;

  if (result->error == ERROR_NONE || result->error == ERROR_NOT_FOUND
      || timer_now_ms (r->timers) >= r->leave_until_ms)
    registration_finish_leave (r);
  else
    registration_schedule_step (r, STEP_LEAVE, RETRY_MS);
}

static int32_t
registration_put (struct Registration *r, KvDone done)
{
  struct KvRequest request = { .op = KV_OP_PUT, .put.key = r->options.key };
  uint8_t *value = NULL;
  size_t value_bytes = 0;
  int32_t error = member_pack (r->attempt, &r->self, &value, &value_bytes);

  if (error != ERROR_NONE)
    return error;
  r->sent_draining = r->self.draining;
  request.put.value = value;
  request.put.value_bytes = value_bytes;
  request.put.condition = r->mod_revision == 0 ? KV_IF_ABSENT : KV_IF_MOD_REVISION;
  request.put.mod_revision = r->mod_revision;
  request.put.lease_id = r->lease_id;
  error = kv_submit_guarded (r->attempt, r->kv, &request, done, r);
  talloc_free (value);
  return error;
}

static int32_t
registration_get (struct Registration *r, KvDone done)
{
  struct KvRequest request = { .op = KV_OP_GET, .get.key = r->options.key };

  return kv_submit_guarded (r->attempt, r->kv, &request, done, r);
}

static int32_t
registration_lease_request (struct Registration *r)
{
  struct KvRequest request = { .op = KV_OP_LEASE_GRANT };

  if (r->step == STEP_LEAVE)
    {
      request.op = KV_OP_LEASE_REVOKE;
      request.lease_revoke.lease_id = r->lease_id;
      return kv_submit_guarded (r->attempt, r->kv, &request, registration_on_revoke, r);
    }
  request.lease_grant.ttl_s = r->options.lease_ttl_s;
  return kv_submit_guarded (r->attempt, r->kv, &request, registration_on_grant, r);
}

static int32_t
registration_submit (struct Registration *r)
{
  switch (r->step)
    {
    case STEP_GRANT:
    case STEP_LEAVE:
      return registration_lease_request (r);
    case STEP_READ:
      return registration_get (r, registration_on_read);
    case STEP_JOIN:
      return registration_put (r, registration_on_join);
    case STEP_PUBLISH:
      return registration_put (r, registration_on_publish);
    case STEP_VERIFY:
      return registration_get (r, registration_on_verify);
    case STEP_KEEP:
      break;
    }
  return ERROR_NONE;
}

static void
registration_run (void *data)
{
  struct Registration *r = data;

  TALLOC_FREE (r->attempt);
  r->attempt = talloc_new (r);
  if (registration_submit (r) != ERROR_NONE)
    registration_schedule_step (r, r->step, RETRY_MS);
}

struct Registration *
registration_new (TALLOC_CTX *ctx,
                  struct KvPort *kv,
                  struct TimerService *timers,
                  const struct Member *self,
                  const struct RegistrationOptions *options)
{
  struct Registration *r = talloc_zero (ctx, struct Registration);

  if (r == NULL)
    return NULL;
  r->kv = kv;
  r->timers = timers;
  r->self = *self;
  r->options = *options;
  r->options.key = talloc_strdup (r, options->key);
  if (r->options.key == NULL)
    {
      talloc_free (r);
      return NULL;
    }
  registration_step (r, STEP_GRANT);
  return r;
}

const char *
registration_incarnation (const struct Registration *registration)
{
  return registration->announced ? registration->self.incarnation : "";
}

void
registration_set_draining (struct Registration *registration, bool draining)
{
  registration->self.draining = draining;
  if (registration->step == STEP_KEEP && registration->sent_draining != draining)
    registration_step (registration, STEP_PUBLISH);
}

void
registration_rejoin (struct Registration *registration)
{
  if (registration->announced)
    registration_start_over (registration, 0);
}

void
registration_leave (struct Registration *registration, void (*done) (void *data), void *data)
{
  struct Registration *r = registration;

  r->leave_done = done;
  r->leave_data = data;
  r->announced = false;
  r->leave_until_ms = timer_now_ms (r->timers) + (int64_t)r->options.lease_ttl_s * 1000;
  TALLOC_FREE (r->keepalive_timer);
  TALLOC_FREE (r->keepalive_request);
  registration_schedule_step (r, STEP_LEAVE, 0);
}

void
registration_observe (struct Registration *registration,
                      const struct Member *current,
                      int64_t revision)
{
  struct Registration *r = registration;

  if (r->step != STEP_KEEP || revision <= r->mod_revision)
    return;
  if (current == NULL)
    {
      registration_lease_lapsed (r);
      return;
    }
  if (strcmp (current->incarnation, r->self.incarnation) == 0)
    r->mod_revision = revision;
  else
    registration_superseded (r);
}
