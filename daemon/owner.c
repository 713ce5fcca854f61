#include "owner_internal.h"

#include "fleet.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  TICK_MS = 50,
  REPORT_PERIOD_MS = 1000,
  QUEUE_INITIAL_LIMIT = 8
};

struct OwnerJob **
owner_job_at (struct Owner *owner, uint64_t id)
{
  struct OwnerJob **at = &owner->jobs[id % JOB_BUCKETS];

  while (*at != NULL && (*at)->id != id)
    at = &(*at)->next;
  return at;
}

struct OwnerJob *
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
  bucket = &owner->jobs[job->id % JOB_BUCKETS];
  job->next = *bucket;
  *bucket = job;
  return job;
}

void
owner_job_free (struct OwnerJob *job)
{
  struct OwnerJob **at = owner_job_at (job->owner, job->id);

  *at = job->next;
  talloc_free (job);
}

struct OwnerServer *
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

void
owner_respond (struct Owner *owner, uint64_t link, const struct PeerResponse *response)
{
  struct PeerMessage message = { .kind = PEER_RESPONSE };

  message.response = *response;
  peer_net_send (owner->core->net, link, &message);
}

void
owner_reject (struct Owner *owner,
              uint64_t link,
              uint64_t id,
              const struct Fault *fault,
              uint32_t retry_after_ms)
{
  struct PeerResponse response = { .id = id };

  response.fault = *fault;
  response.outcome.error = fault->error;
  response.outcome.ran = RAN_NO;
  response.retry_after_ms = retry_after_ms;
  owner_respond (owner, link, &response);
}

/* Returns a waiting call, already removed from the queue, to its home as not run. */
static void
owner_return_call (struct Owner *owner, struct OwnerJob *job, int32_t error, const char *message)
{
  struct Fault fault;

  fault_set (&fault, error, NULL, "%s", message);
  job->server->waiting--;
  owner_reject (owner, job->link, job->peer_id, &fault, 0);
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
  /* A service that is not an engine may send nothing while it works: only its failures count. */
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

/* Sends waiting calls while the server has capacity. */
static void
owner_send_waiting (struct Owner *owner, struct OwnerServer *server)
{
  const struct FleetBackend *backend = fleet_backend (owner->core->fleet, server->name);
  int64_t now_ms = timer_now_ms (owner->core->timers);
  uint64_t id;

  /* A leaving server gets no new calls; waiting ones were returned when the list changed. */
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
      owner_reject (owner, link, dispatch->id, &fault, 0);
      return;
    }
  server = owner_server (owner, dispatch->backend);
  job = server != NULL ? owner_job_new (owner, server, OWNER_JOB_CALL) : NULL;
  if (job == NULL)
    {
      fault_set (&fault, ERROR_NO_MEMORY, NULL, "out of memory");
      owner_reject (owner, link, dispatch->id, &fault, 0);
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
      owner_reject (owner, link, dispatch->id, &fault, retry_after_ms);
      owner_job_free (job);
      return;
    }
  server->waiting++;
  owner_send_waiting (owner, server);
}

void
owner_finish_call (struct Owner *owner, struct OwnerJob *job, const struct PeerResponse *response)
{
  struct OwnerServer *server = job->server;

  server->in_flight--;
  server_health_ended (server->health, &response->outcome, timer_now_ms (owner->core->timers));
  dispatch_queue_finished (server->queue, job->id, &response->outcome,
                           timer_now_ms (owner->core->timers));
  owner_respond (owner, job->link, response);
  owner_job_free (job);
  owner_send_waiting (owner, server);
}

static void
owner_on_call_end (struct Owner *owner, struct OwnerJob *job, const struct BackendEvent *event)
{
  struct PeerResponse response = { .id = job->peer_id };
  struct Outcome *outcome = &response.outcome;

  outcome->error = event->end.error;
  outcome->ran = event->end.ran;
  outcome->status = event->end.status;
  outcome->charge_tokens =
      (uint64_t)event->end.prompt_tokens + (uint64_t)event->end.generated_tokens;
  outcome->cached_tokens = event->end.cached_tokens;
  snprintf (outcome->backend, sizeof outcome->backend, "%s", job->server->name);
  if (outcome->error != ERROR_NONE)
    fault_set (&response.fault, outcome->error, NULL, "backend server %s: %s", job->server->name,
               error_name (outcome->error));
  counter_add (COUNTER_PREFIX_TOKENS, event->end.prompt_tokens);
  counter_add (COUNTER_PREFIX_CACHED, event->end.cached_tokens);
  if (outcome->error == ERROR_UNKNOWN_EFFECT && !job->cancelled)
    owner_probe (owner, job, &response);
  else
    owner_finish_call (owner, job, &response);
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
  /* The prompt was processed: the next call with a long prompt may start. */
  job->first_token_seen = true;
  owner_send_waiting (owner, job->server);
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
    owner_return_call (owner, job, ERROR_CANCELLED, "cancelled while waiting");
}

/* Calls fn for each call that arrived over link and is not cancelled. fn may free the job. */
static void
owner_each_on_link (struct Owner *owner,
                    uint64_t link,
                    void (*fn) (struct Owner *owner, struct OwnerJob *job))
{
  for (size_t i = 0; i < JOB_BUCKETS; i++)
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
  for (size_t i = 0; i < JOB_BUCKETS; i++)
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
  /* The home may have failed, or be running but disconnected. A repeatable call is cancelled: the
   * program's present home runs it again. One that may run only once continues if it was sent. */
  if (!job->sent || job->call.idempotent)
    owner_cancel_job (owner, job);
}

void
owner_on_link_closed (struct Owner *owner, uint64_t link)
{
  owner_each_on_link (owner, link, owner_cancel_orphan);
}

void
owner_on_backends_changed (struct Owner *owner)
{
  for (size_t i = 0; i < JOB_BUCKETS; i++)
    for (struct OwnerJob *job = owner->jobs[i], *next; job != NULL; job = next)
      {
        const struct FleetBackend *backend = fleet_backend (owner->core->fleet, job->server->name);

        next = job->next;
        if (job->kind != OWNER_JOB_CALL || job->sent || (backend != NULL && backend->live))
          continue;
        if (dispatch_queue_remove (job->server->queue, job->id))
          owner_return_call (owner, job, ERROR_NOT_OWNER, "the backend server is leaving");
      }
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
            owner_return_call (owner, job, ERROR_DEADLINE,
                               "it can no longer finish before its deadline");
        }
      owner_send_waiting (owner, server);
    }
  owner_count (owner, &waiting, &in_flight);
  gauge_set (GAUGE_CALLS_WAITING, waiting);
  gauge_set (GAUGE_CALLS_IN_FLIGHT, in_flight);
  if (now_ms - owner->last_report_ms < REPORT_PERIOD_MS)
    return;
  owner->last_report_ms = now_ms;
  owner_request_reports (owner);
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
