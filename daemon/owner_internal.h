/* Internals shared by owner.c (calls) and owner_watch.c (probes, load reports, releases). */
#pragma once

#include "owner.h"

#include <buckthornhead/server_health.h>

enum
{
  JOB_BUCKETS = 4096
};

enum OwnerJobKind
{
  OWNER_JOB_CALL,
  OWNER_JOB_RELEASE,
  OWNER_JOB_REPORT,
  OWNER_JOB_PROBE /* after an interrupted call: checks whether the server is running */
};

/* A job of the backend pool, or a call in a server's queue. */
struct OwnerJob
{
  struct OwnerJob *next; /* in its bucket */
  struct Owner *owner;
  struct OwnerServer *server;
  enum OwnerJobKind kind;
  uint64_t id;      /* of the job and of its queue entry */
  uint64_t link;    /* to the home */
  uint64_t peer_id; /* the home's id of the dispatch or release */
  bool sent;        /* handed to the backend pool */
  bool first_token_seen;
  bool cancelled;
  uint32_t timeout_ms;
  struct Call call;
  struct PeerResponse pending; /* of an interrupted call, while the probe runs */
  uint64_t interrupted_job;    /* of a probe: the id of the interrupted call */
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
  bool report_pending;
};

struct Owner
{
  struct Core *core;
  uint64_t next_job;
  struct OwnerServer *servers;
  struct OwnerJob *jobs[JOB_BUCKETS];
  int64_t last_report_ms;
};

/* owner.c */
struct OwnerJob **
owner_job_at (struct Owner *owner, uint64_t id);
struct OwnerJob *
owner_job_new (struct Owner *owner, struct OwnerServer *server, enum OwnerJobKind kind);
void
owner_job_free (struct OwnerJob *job);
/* Returns the state of a backend server, created on first use, or NULL when out of memory. */
struct OwnerServer *
owner_server (struct Owner *owner, const char *name);
void
owner_respond (struct Owner *owner, uint64_t link, const struct PeerResponse *response);
/* Rejects a call or release as not run: it never left this instance. */
void
owner_reject (struct Owner *owner,
              uint64_t link,
              uint64_t id,
              const struct Fault *fault,
              uint32_t retry_after_ms);
/* Ends a call that was sent: updates the server's queue and health, and responds to the home. */
void
owner_finish_call (struct Owner *owner, struct OwnerJob *job, const struct PeerResponse *response);

/* owner_watch.c */
/* Probes the server of a call that was interrupted after it was sent, then finishes the call. */
void
owner_probe (struct Owner *owner,
             struct OwnerJob *interrupted,
             const struct PeerResponse *response);
void
owner_on_probe_end (struct Owner *owner, struct OwnerJob *probe, const struct BackendEvent *event);
void
owner_on_report_end (struct Owner *owner,
                     struct OwnerServer *server,
                     const struct BackendEvent *event);
void
owner_on_release_end (struct Owner *owner, struct OwnerJob *job, const struct BackendEvent *event);
/* Requests load reports from the engines owned here, and probes suspected servers. */
void
owner_request_reports (struct Owner *owner);
