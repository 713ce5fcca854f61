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

/* A call broke after it was sent. Whether the server died with it decides if the request counts
 * towards quarantine, so the server is asked before the home is told. */
void
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

void
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

void
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

void
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

void
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
