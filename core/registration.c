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
  ATTEMPT_MS = 3000, /* a request that hangs, and the pause before the next */
  KEEPALIVES_PER_TTL = 3
};

/* The request that is under way, or is tried again in a moment. */
enum RegistrationStep
{
  STEP_GRANT,   /* a lease */
  STEP_READ,    /* the key's present revision */
  STEP_JOIN,    /* take the key; the revision of this write is the incarnation's number */
  STEP_PUBLISH, /* write the whole value */
  STEP_VERIFY,  /* the answer to that was lost: read it back */
  STEP_KEEP,    /* nothing to do but to keep the lease alive */
  STEP_LEAVE
};

struct Registration
{
  struct KvPort *kv;
  struct TimerService *timers;
  struct RegistrationOptions options;
  struct Member self; /* as it should stand in the service */
  enum RegistrationStep step;
  TALLOC_CTX *attempt; /* owns the request under way */
  struct Timer *retry;
  TALLOC_CTX *keeping; /* owns the keepalive under way */
  struct Timer *keepalive;
  int64_t kept_ms;      /* when the lease was last granted or kept alive */
  int64_t received_ms;  /* when a keepalive was last answered, refused or found lost */
  int64_t lease_id;     /* 0: none */
  int64_t mod_revision; /* of the key as it was last written or read here; 0: absent */
  bool silent; /* while the lease could not be kept, nothing was heard for longer than it lasts */
  bool announced;     /* the incarnation is in use */
  bool sent_draining; /* in the value that was sent last */
  int64_t leave_until_ms;
  void (*left) (void *data);
  void *left_data;
};

static void
registration_run (void *data);

/* Goes to step after a pause. What was under way is no longer listened to. */
static void
registration_step_later (struct Registration *r, enum RegistrationStep step, uint32_t pause_ms)
{
  r->step = step;
  TALLOC_FREE (r->attempt);
  TALLOC_FREE (r->retry);
  r->retry = timer_subscribe (r, r->timers, jitter_ms (&r->options.seed, pause_ms), 0,
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
registration_reached (struct Registration *r, int32_t error)
{
  bool reached =
      error != ERROR_UNREACHABLE && error != ERROR_UNKNOWN_EFFECT && error != ERROR_RATE_LIMITED;

  r->options.reached (r->options.data, reached);
}

static void
registration_drop_lease (struct Registration *r)
{
  TALLOC_FREE (r->keepalive);
  TALLOC_FREE (r->keeping);
  r->lease_id = 0;
}

/* Starts over under a new incarnation. The old number is never used again: while nobody held the
 * lease somebody may have sealed the journal that bears it. */
static void
registration_start_over (struct Registration *r, uint32_t pause_ms)
{
  bool announced = r->announced;

  r->announced = false;
  r->self.incarnation[0] = '\0';
  registration_step_later (r, r->lease_id != 0 ? STEP_READ : STEP_GRANT, pause_ms);
  if (announced)
    r->options.lost (r->options.data);
}

/* True when this instance ran all the time and the service is why the lease lapsed: keepalives
 * failed for as long as a lease lasts, and each was seen to fail. */
static bool
registration_lapsed_in_outage (const struct Registration *r)
{
  int64_t now_ms = timer_now_ms (r->timers);
  int64_t ttl_ms = (int64_t)r->options.lease_ttl_s * 1000;

  return now_ms - r->kept_ms >= ttl_ms && now_ms - r->received_ms < ttl_ms && !r->silent;
}

/* A pause that began with a keepalive on its way ends with its failure, and looks like the end of
 * an outage but for its length. */
static void
registration_heard (struct Registration *r, bool kept)
{
  int64_t now_ms = timer_now_ms (r->timers);
  int64_t ttl_ms = (int64_t)r->options.lease_ttl_s * 1000;

  r->silent = !kept && (r->silent || now_ms - r->received_ms >= ttl_ms + ATTEMPT_MS);
  r->received_ms = now_ms;
  if (kept)
    r->kept_ms = now_ms;
}

static void
registration_lease_lapsed (struct Registration *r)
{
  bool keep = r->announced && registration_lapsed_in_outage (r);

  registration_drop_lease (r);
  if (r->announced)
    log_event (LOG_LEVEL_WARNING, "lease_lapsed", NULL,
               keep ? "look after the platform's service"
                    : "look why the instance was silent if this recurs",
               "%s, %s", r->self.incarnation, keep ? "in an outage" : "given up");
  if (keep)
    registration_step_later (r, STEP_GRANT, 0);
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
registration_keep (void *data)
{
  struct Registration *r = data;
  struct KvRequest request = { .op = KV_OP_LEASE_KEEPALIVE };

  request.lease_keepalive.lease_id = r->lease_id;
  TALLOC_FREE (r->keeping);
  r->keeping = talloc_new (r);
  kv_submit_guarded (r->keeping, r->kv, &request, registration_on_keepalive, r);
}

static void
registration_keep_later (struct Registration *r, uint32_t delay_ms)
{
  TALLOC_FREE (r->keepalive);
  r->keepalive = timer_subscribe (r, r->timers, jitter_ms (&r->options.seed, delay_ms), 0,
                                  registration_keep, r);
}

static uint32_t
registration_keep_ms (const struct Registration *r)
{
  return r->options.lease_ttl_s * 1000 / KEEPALIVES_PER_TTL;
}

static void
registration_on_keepalive (void *data, const struct KvResult *result)
{
  struct Registration *r = data;

  registration_reached (r, result->error);
  if (result->error == ERROR_NOT_FOUND)
    {
      registration_lease_lapsed (r);
      return;
    }
  registration_heard (r, result->error == ERROR_NONE);
  registration_keep_later (r, result->error == ERROR_NONE ? registration_keep_ms (r) : RETRY_MS);
}

static void
registration_on_grant (void *data, const struct KvResult *result)
{
  struct Registration *r = data;

  registration_reached (r, result->error);
  if (result->error != ERROR_NONE)
    {
      registration_step_later (r, STEP_GRANT, RETRY_MS);
      return;
    }
  r->lease_id = result->lease_id;
  registration_heard (r, true);
  registration_keep_later (r, registration_keep_ms (r));
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
registration_holds (const struct Registration *r,
                    const struct KvEntry *entry,
                    struct Member *present)
{
  return member_unpack (entry->value, entry->value_bytes, present) == ERROR_NONE
         && strcmp (present->incarnation, r->self.incarnation) == 0;
}

/* What stands under the key after a put whose answer was lost, or which came too late. */
static void
registration_check (struct Registration *r, const struct KvResult *result)
{
  const struct KvEntry *entry = result->n_entries > 0 ? &result->entries[0] : NULL;
  int64_t mod_revision = entry != NULL ? entry->mod_revision : 0;
  struct Member present;

  if (mod_revision == r->mod_revision)
    {
      registration_step (r, STEP_PUBLISH); /* as it was before the put */
      return;
    }
  if (entry == NULL || !registration_holds (r, entry, &present))
    {
      registration_superseded (r);
      return;
    }
  r->mod_revision = mod_revision;
  r->sent_draining = present.draining;
  registration_published (r);
}

/* Under a new lease the incarnation that is in use takes its key back, unless another has it. */
static void
registration_on_read (void *data, const struct KvResult *result)
{
  struct Registration *r = data;
  const struct KvEntry *entry = result->n_entries > 0 ? &result->entries[0] : NULL;
  struct Member present;

  registration_reached (r, result->error);
  if (result->error != ERROR_NONE && result->error != ERROR_NOT_FOUND)
    {
      registration_step_later (r, STEP_READ, RETRY_MS);
      return;
    }
  r->mod_revision = entry != NULL ? entry->mod_revision : 0;
  if (!r->announced)
    registration_step (r, STEP_JOIN);
  else if (entry == NULL || registration_holds (r, entry, &present))
    registration_step (r, STEP_PUBLISH);
  else
    registration_superseded (r);
}

/* A lost answer needs no settling here: the key is read and taken once more, and whichever write
 * comes in late fails, since the key has changed. */
static void
registration_on_join (void *data, const struct KvResult *result)
{
  struct Registration *r = data;

  registration_reached (r, result->error);
  if (result->error == ERROR_NOT_FOUND)
    {
      registration_lease_lapsed (r);
      return;
    }
  if (result->error != ERROR_NONE)
    {
      registration_step_later (r, STEP_READ, RETRY_MS);
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

  registration_reached (r, result->error);
  switch (result->error)
    {
    case ERROR_NONE:
      r->mod_revision = result->revision;
      registration_published (r);
      break;
    case ERROR_CONFLICT:
      registration_check (r, result);
      break;
    case ERROR_NOT_FOUND:
      registration_lease_lapsed (r);
      break;
    case ERROR_UNKNOWN_EFFECT:
      registration_step_later (r, STEP_VERIFY, RETRY_MS);
      break;
    default:
      registration_step_later (r, STEP_PUBLISH, RETRY_MS);
      break;
    }
}

static void
registration_on_verify (void *data, const struct KvResult *result)
{
  struct Registration *r = data;

  registration_reached (r, result->error);
  if (result->error == ERROR_NONE || result->error == ERROR_NOT_FOUND)
    registration_check (r, result);
  else
    registration_step_later (r, STEP_VERIFY, RETRY_MS);
}

static void
registration_left (struct Registration *r)
{
  TALLOC_FREE (r->retry);
  if (r->left != NULL)
    r->left (r->left_data);
}

static void
registration_on_revoke (void *data, const struct KvResult *result)
{
  struct Registration *r = data;

  if (result->error == ERROR_NONE || result->error == ERROR_NOT_FOUND
      || timer_now_ms (r->timers) >= r->leave_until_ms)
    registration_left (r);
  else
    registration_step_later (r, STEP_LEAVE, RETRY_MS);
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
    registration_step_later (r, r->step, RETRY_MS);
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

  r->left = done;
  r->left_data = data;
  r->announced = false;
  r->leave_until_ms = timer_now_ms (r->timers) + (int64_t)r->options.lease_ttl_s * 1000;
  TALLOC_FREE (r->keepalive);
  TALLOC_FREE (r->keeping);
  registration_step_later (r, STEP_LEAVE, 0);
}

void
registration_seen (struct Registration *registration,
                   const struct Member *present,
                   int64_t revision)
{
  struct Registration *r = registration;

  if (r->step != STEP_KEEP || revision <= r->mod_revision)
    return;
  if (present == NULL)
    {
      registration_lease_lapsed (r);
      return;
    }
  if (strcmp (present->incarnation, r->self.incarnation) == 0)
    r->mod_revision = revision;
  else
    registration_superseded (r);
}
