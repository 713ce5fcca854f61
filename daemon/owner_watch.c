#include "owner_internal.h"

#include "fleet.h"

#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  REPORT_TIMEOUT_MS = 2000,
  RELEASE_TIMEOUT_MS = 2000,
  PROBE_TIMEOUT_MS = 500
};

/* Whether the server crashed during the call decides whether the request counts towards quarantine,
 * so the server is probed before the home gets the response. */
void
owner_probe (struct Owner *owner, struct OwnerJob *interrupted, const struct PeerResponse *response)
{
  const struct FleetBackend *backend =
      fleet_backend (owner->core->fleet, interrupted->server->name);
  struct BackendRequest request = { .op = BACKEND_OP_REPORT };
  struct OwnerJob *probe =
      backend != NULL ? owner_job_new (owner, interrupted->server, OWNER_JOB_PROBE) : NULL;

  if (probe == NULL)
    {
      owner_finish_call (owner, interrupted, response);
      return;
    }
  probe->interrupted_job = interrupted->id;
  interrupted->pending = *response;
  request.address = backend->setting.address;
  request.timeout_ms = PROBE_TIMEOUT_MS;
  if (backend_pool_submit (owner->core->pool, probe->id, &request) == ERROR_NONE)
    return;
  owner_job_free (probe);
  owner_finish_call (owner, interrupted, response);
}

/* Stores the engine's incarnation. Returns whether it differs from the former one. */
static bool
owner_update_engine (struct OwnerServer *server, const struct BackendLoad *load)
{
  bool restarted = server->engine_incarnation[0] != '\0'
                   && strcmp (server->engine_incarnation, load->engine_incarnation) != 0;

  snprintf (server->engine_incarnation, sizeof server->engine_incarnation, "%s",
            load->engine_incarnation);
  return restarted;
}

void
owner_on_probe_end (struct Owner *owner, struct OwnerJob *probe, const struct BackendEvent *event)
{
  struct OwnerJob *interrupted = *owner_job_at (owner, probe->interrupted_job);
  struct OwnerServer *server = probe->server;
  /* A process that is ending still accepts connections for a moment, and then resets them. */
  bool crashed = event->end.status == 0;

  if (event->end.has_load && owner_update_engine (server, &event->end.load))
    crashed = true;
  owner_job_free (probe);
  if (interrupted == NULL)
    return;
  interrupted->pending.server_crashed = crashed;
  if (crashed)
    log_event (LOG_LEVEL_WARNING, "backend_server_died", interrupted->call.key.program,
               "check the server; a request that crashes two servers is quarantined",
               "%s stopped responding or restarted while it ran a call", server->name);
  owner_finish_call (owner, interrupted, &interrupted->pending);
}

void
owner_on_report_end (struct Owner *owner,
                     struct OwnerServer *server,
                     const struct BackendEvent *event)
{
  int64_t now_ms = timer_now_ms (owner->core->timers);
  struct Outcome available = { .error = ERROR_NONE };

  server->report_pending = false;
  /* Any response shows that a suspected server is available again, also from a service that has no
   * load reports. */
  if (event->end.status != 0 && server_health_suspected (server->health, now_ms))
    {
      server_health_sent (server->health, now_ms);
      server_health_ended (server->health, &available, now_ms);
    }
  if (!event->end.has_load)
    return;
  server->reported_running = event->end.load.running;
  server->last_event = event->end.load.last_event;
  dispatch_queue_report_cache (server->queue, event->end.load.cache_capacity_tokens);
  owner_update_engine (server, &event->end.load);
}

void
owner_on_release_end (struct Owner *owner, struct OwnerJob *job, const struct BackendEvent *event)
{
  struct PeerResponse response = { .id = job->peer_id };

  response.outcome.error = event->end.error;
  response.outcome.ran = event->end.ran;
  snprintf (response.outcome.backend, sizeof response.outcome.backend, "%s", job->server->name);
  if (event->end.error != ERROR_NONE)
    fault_set (&response.fault, event->end.error, NULL, "%s did not acknowledge a release",
               job->server->name);
  owner_respond (owner, job->link, &response);
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
      owner_reject (owner, link, id, &fault, 0);
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
  owner_reject (owner, link, id, &fault, 0);
  owner_job_free (job);
}

static void
owner_request_report (struct Owner *owner, const struct FleetBackend *backend)
{
  struct BackendRequest request = { .op = BACKEND_OP_REPORT, .timeout_ms = REPORT_TIMEOUT_MS };
  struct OwnerServer *server = owner_server (owner, backend->setting.name);
  struct OwnerJob *job;

  if (server == NULL || server->report_pending)
    return;
  job = owner_job_new (owner, server, OWNER_JOB_REPORT);
  if (job == NULL)
    return;
  request.address = backend->setting.address;
  request.report.after_event = server->last_event;
  server->report_pending = true;
  if (backend_pool_submit (owner->core->pool, job->id, &request) == ERROR_NONE)
    return;
  server->report_pending = false;
  owner_job_free (job);
}

static bool
owner_probe_is_due (struct Owner *owner, const struct FleetBackend *backend)
{
  struct OwnerServer *server = owner_server (owner, backend->setting.name);

  return server != NULL
         && server_health_needs_probe (server->health, timer_now_ms (owner->core->timers));
}

void
owner_request_reports (struct Owner *owner)
{
  const struct FleetBackend *backends;
  size_t n = fleet_backends (owner->core->fleet, &backends);

  for (size_t i = 0; i < n; i++)
    if (backends[i].live && fleet_owns (owner->core->fleet, &backends[i])
        && (backends[i].setting.kind == CALL_TARGET_ENGINE
            || owner_probe_is_due (owner, &backends[i])))
      owner_request_report (owner, &backends[i]);
}
