#include "owner.h"

#include "fleet.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>
#include <buckthornhead/server_health.h>

#include <stdio.h>
#include <string.h>

enum
{
  TICK_MS = 50,
  REPORT_PERIOD_MS = 1000,
  REPORT_TIMEOUT_MS = 2000,
  RELEASE_TIMEOUT_MS = 2000,
  PROBE_TIMEOUT_MS = 500,
  QUEUE_INITIAL_LIMIT = 8,
  CALL_BUCKETS = 4096
};

enum OwnerJobKind
{
  OWNER_JOB_CALL,
  OWNER_JOB_RELEASE,
  OWNER_JOB_REPORT,
  OWNER_JOB_PROBE /* after a broken call: is the server still there? */
};

/* A job of the backend pool, or a call that waits for its turn. */
struct OwnerJob
{
  struct OwnerJob *next; /* in its bucket */
  struct Owner *owner;
  struct OwnerServer *server;
  enum OwnerJobKind kind;
  uint64_t id;      /* of the job, and in the queue */
  uint64_t link;    /* where the home is */
  uint64_t peer_id; /* the home's id of the dispatch or release */
  bool sent;        /* handed to the backend pool */
  bool first_token_seen;
  bool cancelled;
  uint32_t timeout_ms;
  struct Call call;
  /* Of a broken call, while the probe runs. */
  struct PeerAnswer pending;
  uint64_t broken_job;
};

struct OwnerServer
{
  struct OwnerServer *next;
  char name[NAME_MAX_BYTES + 1];
  struct DispatchQueue *queue;
  struct ServerHealth *health;
  uint32_t in_flight, waiting;
  uint32_t reported_running;
  uint64_t last_event;
  char engine_incarnation[NAME_MAX_BYTES + 1];
  bool report_under_way;
};

struct Owner
{
  struct Core *core;
  uint64_t next_job;
  struct OwnerServer *servers;
  struct OwnerJob *jobs[CALL_BUCKETS];
  int64_t last_report_ms;
};

static void
owner_pump (struct Owner *owner, struct OwnerServer *server);

static struct OwnerJob **
owner_job_at (struct Owner *owner, uint64_t id)
{
  struct OwnerJob **at = &owner->jobs[id % CALL_BUCKETS];

  while (*at != NULL && (*at)->id != id)
    at = &(*at)->next;
  return at;
}

static struct OwnerJob *
owner_job_new (struct Owner *owner, struct OwnerServer *server, enum OwnerJobKind kind)
{
  struct OwnerJob *job = talloc_zero (owner, struct OwnerJob);
  struct OwnerJob **bucket;

  if (job == NULL)
    return NULL;
  job->owner = owner;
  job->server = server;
  job->kind = kind;
  job->id = owner->next_job++;
  bucket = &owner->jobs[job->id % CALL_BUCKETS];
  job->next = *bucket;
  *bucket = job;
  return job;
}

static void
owner_job_free (struct OwnerJob *job)
{
  struct OwnerJob **at = owner_job_at (job->owner, job->id);

  *at = job->next;
  talloc_free (job);
}

static struct OwnerServer *
owner_server (struct Owner *owner, const char *name)
{
  struct OwnerServer *server;

  for (server = owner->servers; server != NULL; server = server->next)
    if (strcmp (server->name, name) == 0)
      return server;
  server = talloc_zero (owner, struct OwnerServer);
  if (server == NULL)
    return NULL;
  snprintf (server->name, sizeof server->name, "%s", name);
  server->queue = dispatch_queue_new (server, QUEUE_INITIAL_LIMIT);
  server->health = server_health_new (server);
  server->next = owner->servers;
  owner->servers = server;
  return server;
}

static void
owner_answer (struct Owner *owner, uint64_t link, const struct PeerAnswer *answer)
{
  struct PeerMessage message = { .kind = PEER_ANSWER };

  message.answer = *answer;
  peer_net_send (owner->core->net, link, &message);
}

/* "Not run": the call never left this instance. */
static void
owner_refuse (struct Owner *owner,
              uint64_t link,
              uint64_t id,
              const struct Fault *fault,
              uint32_t retry_after_ms)
{
  struct PeerAnswer answer = { .id = id };

  answer.fault = *fault;
  answer.outcome.error = fault->error;
  answer.outcome.ran = RAN_NO;
  answer.retry_after_ms = retry_after_ms;
  owner_answer (owner, link, &answer);
}

/* A waiting call goes back to its home as not run. The queue has let go of it already. */
static void
owner_return (struct Owner *owner, struct OwnerJob *job, int32_t error, const char *message)
{
  struct Fault fault;

  fault_set (&fault, error, NULL, "%s", message);
  job->server->waiting--;
  owner_refuse (owner, job->link, job->peer_id, &fault, 0);
  owner_job_free (job);
}

static void
owner_send_call (struct Owner *owner, struct OwnerJob *job, const struct FleetBackend *backend)
{
  struct BackendRequest request = { .op = BACKEND_OP_CALL };
  char key[PROGRAM_ID_MAX_BYTES + NAME_MAX_BYTES + 32];
  const struct Call *call = &job->call;
  struct BackendMail failed = { .job = job->id };

  snprintf (key, sizeof key, "%s/%s/%llu", call->key.program, call->key.branch,
            (unsigned long long)call->key.sequence);
  request.address = backend->setting.address;
  request.timeout_ms = job->timeout_ms;
  request.call.target_kind = call->target_kind;
  request.call.path = call->path;
  request.call.program = call->key.program;
  request.call.idempotency_key = key;
  request.call.idempotent = call->idempotent;
  request.call.stream = call->stream;
  request.call.body = call->body;
  request.call.body_bytes = call->body_bytes;
  /* A plain service may be silent for as long as its work takes: only its failures count. */
  if (call->target_kind == CALL_TARGET_ENGINE)
    server_health_sent (job->server->health, timer_now_ms (owner->core->timers));
  job->sent = true;
  job->server->waiting--;
  job->server->in_flight++;
  failed.event.kind = BACKEND_EVENT_END;
  failed.event.end.error = backend_pool_submit (owner->core->pool, job->id, &request);
  if (failed.event.end.error != ERROR_NONE)
    owner_on_backend_event (owner, &failed);
}

/* Sends what the server has room for. */
static void
owner_pump (struct Owner *owner, struct OwnerServer *server)
{
  const struct FleetBackend *backend = fleet_backend (owner->core->fleet, server->name);
  int64_t now_ms = timer_now_ms (owner->core->timers);
  uint64_t id;

  /* A leaving server gets no new work; what waits was returned when the list changed. */
  if (backend == NULL || !backend->live)
    return;
  while (dispatch_queue_pop (server->queue, now_ms, &id))
    {
      struct OwnerJob *job = *owner_job_at (owner, id);

      if (job != NULL)
        owner_send_call (owner, job, backend);
    }
}

static void
owner_call_copy (struct OwnerJob *job, const struct PeerDispatch *dispatch)
{
  job->call = dispatch->call;
  job->call.body = talloc_memdup (job, dispatch->call.body, dispatch->call.body_bytes);
  job->timeout_ms = dispatch->timeout_ms;
}

void
owner_on_dispatch (struct Owner *owner, uint64_t link, const struct PeerDispatch *dispatch)
{
  const struct FleetBackend *backend = fleet_backend (owner->core->fleet, dispatch->backend);
  struct OwnerServer *server;
  struct OwnerJob *job;
  struct DispatchItem item = { 0 };
  struct PolicyWeights weights;
  struct Fault fault;
  uint32_t retry_after_ms = 0;
  int64_t now_ms = timer_now_ms (owner->core->timers);

  if (backend == NULL || !backend->live)
    {
      fault_set (&fault, ERROR_NOT_OWNER, NULL, "backend server %s is leaving or unknown here",
                 dispatch->backend);
      owner_refuse (owner, link, dispatch->id, &fault, 0);
      return;
    }
  server = owner_server (owner, dispatch->backend);
  job = server != NULL ? owner_job_new (owner, server, OWNER_JOB_CALL) : NULL;
  if (job == NULL)
    {
      fault_set (&fault, ERROR_NO_MEMORY, NULL, "out of memory");
      owner_refuse (owner, link, dispatch->id, &fault, 0);
      return;
    }
  job->link = link;
  job->peer_id = dispatch->id;
  owner_call_copy (job, dispatch);
  item.id = job->id;
  snprintf (item.program, sizeof item.program, "%s", dispatch->call.key.program);
  snprintf (item.service, sizeof item.service, "%s", dispatch->call.service);
  item.prompt_tokens = dispatch->call.prompt_tokens;
  item.cached_tokens_hint = dispatch->cached_tokens_hint;
  item.max_tokens = dispatch->call.max_tokens;
  item.attained_tokens = dispatch->attained_tokens;
  item.suspect = dispatch->suspect;
  item.deadline_ms = dispatch->call.deadline_ms > 0 ? now_ms + dispatch->call.deadline_ms : 0;
  fleet_weights (owner->core->fleet, dispatch->call.service, &weights);
  if (dispatch_queue_push (server->queue, &weights, &item, (uint32_t)job->id, now_ms,
                           &retry_after_ms, &fault)
      != ERROR_NONE)
    {
      owner_refuse (owner, link, dispatch->id, &fault, retry_after_ms);
      owner_job_free (job);
      return;
    }
  server->waiting++;
  owner_pump (owner, server);
}

/* Ends a call that was sent: the queue learns, the home hears. */
static void
owner_finish_call (struct Owner *owner, struct OwnerJob *job, const struct PeerAnswer *answer)
{
  struct OwnerServer *server = job->server;

  server->in_flight--;
  server_health_ended (server->health, &answer->outcome, timer_now_ms (owner->core->timers));
  dispatch_queue_finished (server->queue, job->id, &answer->outcome,
                           timer_now_ms (owner->core->timers));
  owner_answer (owner, job->link, answer);
  owner_job_free (job);
  owner_pump (owner, server);
}

/* A call broke after it was sent. Whether the server died with it decides if the request counts
 * towards quarantine, so the server is asked before the home is told. */
static void
owner_probe (struct Owner *owner, struct OwnerJob *broken, const struct PeerAnswer *answer)
{
  const struct FleetBackend *backend = fleet_backend (owner->core->fleet, broken->server->name);
  struct BackendRequest request = { .op = BACKEND_OP_REPORT };
  struct OwnerJob *probe =
      backend != NULL ? owner_job_new (owner, broken->server, OWNER_JOB_PROBE) : NULL;

  if (probe == NULL)
    {
      owner_finish_call (owner, broken, answer);
      return;
    }
  probe->broken_job = broken->id;
  broken->pending = *answer;
  request.address = backend->setting.address;
  request.timeout_ms = PROBE_TIMEOUT_MS;
  if (backend_pool_submit (owner->core->pool, probe->id, &request) == ERROR_NONE)
    return;
  owner_job_free (probe);
  owner_finish_call (owner, broken, answer);
}

static bool
owner_server_is_new (struct OwnerServer *server, const struct BackendLoad *load)
{
  bool is_new = server->engine_incarnation[0] != '\0'
                && strcmp (server->engine_incarnation, load->engine_incarnation) != 0;

  snprintf (server->engine_incarnation, sizeof server->engine_incarnation, "%s",
            load->engine_incarnation);
  return is_new;
}

static void
owner_on_probe_end (struct Owner *owner, struct OwnerJob *probe, const struct BackendEvent *event)
{
  struct OwnerJob *broken = *owner_job_at (owner, probe->broken_job);
  struct OwnerServer *server = probe->server;
  bool died = event->end.error == ERROR_UNREACHABLE;

  if (event->end.has_load && owner_server_is_new (server, &event->end.load))
    died = true;
  owner_job_free (probe);
  if (broken == NULL)
    return;
  broken->pending.server_died = died;
  if (died)
    log_event (LOG_LEVEL_WARNING, "backend_server_died", broken->call.key.program,
               "look at the server; a request that stops two of them is quarantined",
               "%s was lost while it ran a call", server->name);
  owner_finish_call (owner, broken, &broken->pending);
}

static void
owner_on_call_end (struct Owner *owner, struct OwnerJob *job, const struct BackendEvent *event)
{
  struct PeerAnswer answer = { .id = job->peer_id };
  struct Outcome *outcome = &answer.outcome;

  outcome->error = event->end.error;
  outcome->ran = event->end.ran;
  outcome->status = event->end.status;
  outcome->charge_tokens =
      (uint64_t)event->end.prompt_tokens + (uint64_t)event->end.generated_tokens;
  outcome->cached_tokens = event->end.cached_tokens;
  snprintf (outcome->backend, sizeof outcome->backend, "%s", job->server->name);
  if (outcome->error != ERROR_NONE)
    fault_set (&answer.fault, outcome->error, NULL, "backend server %s: %s", job->server->name,
               error_name (outcome->error));
  counter_add (COUNTER_PREFIX_TOKENS, event->end.prompt_tokens);
  counter_add (COUNTER_PREFIX_CACHED, event->end.cached_tokens);
  if (outcome->error == ERROR_UNKNOWN_EFFECT && !job->cancelled)
    owner_probe (owner, job, &answer);
  else
    owner_finish_call (owner, job, &answer);
}

static void
owner_on_report_end (struct Owner *owner,
                     struct OwnerServer *server,
                     const struct BackendEvent *event)
{
  int64_t now_ms = timer_now_ms (owner->core->timers);
  struct Outcome alive = { .error = ERROR_NONE };

  server->report_under_way = false;
  /* Any answer shows that a suspected server is back, also of a service that knows no reports. */
  if (event->end.status != 0 && server_health_suspected (server->health, now_ms))
    {
      server_health_sent (server->health, now_ms);
      server_health_ended (server->health, &alive, now_ms);
    }
  if (!event->end.has_load)
    return;
  server->reported_running = event->end.load.running;
  server->last_event = event->end.load.last_event;
  dispatch_queue_report_cache (server->queue, event->end.load.cache_capacity_tokens);
  owner_server_is_new (server, &event->end.load);
}

static void
owner_on_release_end (struct Owner *owner, struct OwnerJob *job, const struct BackendEvent *event)
{
  struct PeerAnswer answer = { .id = job->peer_id };

  answer.outcome.error = event->end.error;
  answer.outcome.ran = event->end.ran;
  snprintf (answer.outcome.backend, sizeof answer.outcome.backend, "%s", job->server->name);
  if (event->end.error != ERROR_NONE)
    fault_set (&answer.fault, event->end.error, NULL, "%s did not acknowledge a release",
               job->server->name);
  owner_answer (owner, job->link, &answer);
}

static void
owner_on_chunk (struct Owner *owner, struct OwnerJob *job, const struct BackendEvent *event)
{
  struct PeerMessage message = { .kind = PEER_CHUNK };

  if (!job->first_token_seen)
    dispatch_queue_first_token (job->server->queue, job->id, timer_now_ms (owner->core->timers));
  server_health_progress (job->server->health, timer_now_ms (owner->core->timers));
  message.chunk.id = job->peer_id;
  message.chunk.status = event->chunk.status;
  message.chunk.bytes = event->chunk.bytes;
  message.chunk.n_bytes = event->chunk.n_bytes;
  peer_net_send (owner->core->net, job->link, &message);
  if (job->first_token_seen)
    return;
  /* Its prompt is read: the next long one may start. */
  job->first_token_seen = true;
  owner_pump (owner, job->server);
}

void
owner_on_backend_event (struct Owner *owner, const struct BackendMail *mail)
{
  struct OwnerJob *job = *owner_job_at (owner, mail->job);

  if (job == NULL)
    return;
  if (mail->event.kind == BACKEND_EVENT_CHUNK)
    {
      if (job->kind == OWNER_JOB_CALL)
        owner_on_chunk (owner, job, &mail->event);
      return;
    }
  switch (job->kind)
    {
    case OWNER_JOB_CALL:
      owner_on_call_end (owner, job, &mail->event);
      break;
    case OWNER_JOB_PROBE:
      owner_on_probe_end (owner, job, &mail->event);
      break;
    case OWNER_JOB_REPORT:
      owner_on_report_end (owner, job->server, &mail->event);
      owner_job_free (job);
      break;
    case OWNER_JOB_RELEASE:
      owner_on_release_end (owner, job, &mail->event);
      owner_job_free (job);
      break;
    }
}

static void
owner_cancel_job (struct Owner *owner, struct OwnerJob *job)
{
  job->cancelled = true;
  if (job->sent)
    backend_pool_cancel (owner->core->pool, job->id);
  else if (dispatch_queue_remove (job->server->queue, job->id))
    owner_return (owner, job, ERROR_CANCELLED, "cancelled while it waited");
}

/* Calls fn for each job that came over link. fn may free the job. */
static void
owner_each_on_link (struct Owner *owner,
                    uint64_t link,
                    void (*fn) (struct Owner *owner, struct OwnerJob *job))
{
  for (size_t i = 0; i < CALL_BUCKETS; i++)
    for (struct OwnerJob *job = owner->jobs[i], *next; job != NULL; job = next)
      {
        next = job->next;
        if (job->link == link && job->kind == OWNER_JOB_CALL && !job->cancelled)
          fn (owner, job);
      }
}

void
owner_on_cancel (struct Owner *owner, uint64_t link, uint64_t id)
{
  for (size_t i = 0; i < CALL_BUCKETS; i++)
    for (struct OwnerJob *job = owner->jobs[i]; job != NULL; job = job->next)
      if (job->link == link && job->peer_id == id && job->kind == OWNER_JOB_CALL)
        {
          owner_cancel_job (owner, job);
          return;
        }
}

static void
owner_cancel_orphan (struct Owner *owner, struct OwnerJob *job)
{
  /* The home may be dead, or cut off and alive. A repeatable call is cancelled: whoever homes the
   * program now runs it again. One that may run once only goes on if it was sent. */
  if (!job->sent || job->call.idempotent)
    owner_cancel_job (owner, job);
}

void
owner_on_link_closed (struct Owner *owner, uint64_t link)
{
  owner_each_on_link (owner, link, owner_cancel_orphan);
}

void
owner_on_release (
    struct Owner *owner, uint64_t link, uint64_t id, const char *program, const char *backend_name)
{
  const struct FleetBackend *backend = fleet_backend (owner->core->fleet, backend_name);
  struct BackendRequest request = { .op = BACKEND_OP_RELEASE, .timeout_ms = RELEASE_TIMEOUT_MS };
  struct OwnerServer *server = owner_server (owner, backend_name);
  struct OwnerJob *job = NULL;
  struct Fault fault;

  if (backend != NULL && server != NULL)
    job = owner_job_new (owner, server, OWNER_JOB_RELEASE);
  if (job == NULL)
    {
      fault_set (&fault, ERROR_NOT_FOUND, NULL, "backend server %s is unknown here", backend_name);
      owner_refuse (owner, link, id, &fault, 0);
      return;
    }
  dispatch_queue_program_ended (server->queue, program);
  job->link = link;
  job->peer_id = id;
  request.address = backend->setting.address;
  request.release.program = program;
  if (backend_pool_submit (owner->core->pool, job->id, &request) == ERROR_NONE)
    return;
  fault_set (&fault, ERROR_NO_MEMORY, NULL, "out of memory");
  owner_refuse (owner, link, id, &fault, 0);
  owner_job_free (job);
}

void
owner_on_backends_changed (struct Owner *owner)
{
  for (size_t i = 0; i < CALL_BUCKETS; i++)
    for (struct OwnerJob *job = owner->jobs[i], *next; job != NULL; job = next)
      {
        const struct FleetBackend *backend = fleet_backend (owner->core->fleet, job->server->name);

        next = job->next;
        if (job->kind != OWNER_JOB_CALL || job->sent || (backend != NULL && backend->live))
          continue;
        if (dispatch_queue_remove (job->server->queue, job->id))
          owner_return (owner, job, ERROR_NOT_OWNER, "the backend server is leaving");
      }
}

static void
owner_ask_report (struct Owner *owner, const struct FleetBackend *backend)
{
  struct BackendRequest request = { .op = BACKEND_OP_REPORT, .timeout_ms = REPORT_TIMEOUT_MS };
  struct OwnerServer *server = owner_server (owner, backend->setting.name);
  struct OwnerJob *job;

  if (server == NULL || server->report_under_way)
    return;
  job = owner_job_new (owner, server, OWNER_JOB_REPORT);
  if (job == NULL)
    return;
  request.address = backend->setting.address;
  request.report.after_event = server->last_event;
  server->report_under_way = true;
  if (backend_pool_submit (owner->core->pool, job->id, &request) == ERROR_NONE)
    return;
  server->report_under_way = false;
  owner_job_free (job);
}

static bool
owner_probe_is_due (struct Owner *owner, const struct FleetBackend *backend)
{
  struct OwnerServer *server = owner_server (owner, backend->setting.name);

  return server != NULL
         && server_health_probe_due (server->health, timer_now_ms (owner->core->timers));
}

static void
owner_ask_reports (struct Owner *owner)
{
  const struct FleetBackend *backends;
  size_t n = fleet_backends (owner->core->fleet, &backends);

  for (size_t i = 0; i < n; i++)
    if (backends[i].live && fleet_owns (owner->core->fleet, &backends[i])
        && (backends[i].setting.kind == CALL_TARGET_ENGINE
            || owner_probe_is_due (owner, &backends[i])))
      owner_ask_report (owner, &backends[i]);
}

static void
owner_on_tick (void *data)
{
  struct Owner *owner = data;
  int64_t now_ms = timer_now_ms (owner->core->timers);
  uint32_t waiting, in_flight;
  uint64_t id;

  for (struct OwnerServer *server = owner->servers; server != NULL; server = server->next)
    {
      while (dispatch_queue_expire (server->queue, now_ms, &id))
        {
          struct OwnerJob *job = *owner_job_at (owner, id);

          if (job != NULL)
            owner_return (owner, job, ERROR_DEADLINE, "it can no longer finish in its time");
        }
      owner_pump (owner, server);
    }
  owner_count (owner, &waiting, &in_flight);
  gauge_set (GAUGE_CALLS_WAITING, waiting);
  gauge_set (GAUGE_CALLS_IN_FLIGHT, in_flight);
  if (now_ms - owner->last_report_ms < REPORT_PERIOD_MS)
    return;
  owner->last_report_ms = now_ms;
  owner_ask_reports (owner);
}

struct PolicyServer *
owner_digests (struct Owner *owner, TALLOC_CTX *ctx, size_t *n_digests)
{
  int64_t now_ms = timer_now_ms (owner->core->timers);
  struct PolicyServer *digests;
  size_t n = 0;

  for (struct OwnerServer *server = owner->servers; server != NULL; server = server->next)
    n++;
  digests = talloc_zero_array (ctx, struct PolicyServer, n);
  *n_digests = 0;
  for (struct OwnerServer *server = owner->servers; digests != NULL && server != NULL;
       server = server->next)
    {
      const struct FleetBackend *backend = fleet_backend (owner->core->fleet, server->name);
      struct PolicyServer *digest = &digests[*n_digests];

      if (backend == NULL || !fleet_owns (owner->core->fleet, backend)
          || *n_digests == PEER_DIGESTS_MAX)
        continue;
      dispatch_queue_digest (server->queue, digest);
      snprintf (digest->name, sizeof digest->name, "%s", server->name);
      digest->usable = backend->live && !server_health_suspected (server->health, now_ms);
      digest->reported_running = server->reported_running;
      (*n_digests)++;
    }
  return digests;
}

void
owner_count (const struct Owner *owner, uint32_t *waiting, uint32_t *in_flight)
{
  *waiting = 0;
  *in_flight = 0;
  for (const struct OwnerServer *s = owner->servers; s != NULL; s = s->next)
    {
      *waiting += s->waiting;
      *in_flight += s->in_flight;
    }
}

struct Owner *
owner_new (struct Core *core)
{
  struct Owner *owner = talloc_zero (core, struct Owner);

  if (owner == NULL)
    return NULL;
  owner->core = core;
  owner->next_job = 1;
  if (timer_subscribe (owner, core->timers, TICK_MS, TICK_MS, owner_on_tick, owner) == NULL)
    TALLOC_FREE (owner);
  return owner;
}
