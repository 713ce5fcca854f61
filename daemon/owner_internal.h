/* What the owner's files share: owner.c (calls), owner_watch.c (probes, load reports, releases). */
#pragma once

#include "owner.h"

#include <buckthornhead/server_health.h>

enum
{
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

/* owner.c */
struct OwnerJob **
owner_job_at (struct Owner *owner, uint64_t id);
struct OwnerJob *
owner_job_new (struct Owner *owner, struct OwnerServer *server, enum OwnerJobKind kind);
void
owner_job_free (struct OwnerJob *job);
/* The state kept of a backend server, made at the first asking; NULL when memory is out. */
struct OwnerServer *
owner_server (struct Owner *owner, const char *name);
void
owner_answer (struct Owner *owner, uint64_t link, const struct PeerAnswer *answer);
/* "Not run": the call never left this instance. */
void
owner_refuse (struct Owner *owner,
              uint64_t link,
              uint64_t id,
              const struct Fault *fault,
              uint32_t retry_after_ms);
/* Ends a call that was sent: the queue learns, the home hears. */
void
owner_finish_call (struct Owner *owner, struct OwnerJob *job, const struct PeerAnswer *answer);

/* owner_watch.c */
/* A call broke after it was sent: asks whether its server still lives, then finishes the call. */
void
owner_probe (struct Owner *owner, struct OwnerJob *broken, const struct PeerAnswer *answer);
void
owner_on_probe_end (struct Owner *owner, struct OwnerJob *probe, const struct BackendEvent *event);
void
owner_on_report_end (struct Owner *owner,
                     struct OwnerServer *server,
                     const struct BackendEvent *event);
void
owner_on_release_end (struct Owner *owner, struct OwnerJob *job, const struct BackendEvent *event);
/* Load reports of the engines owned here, and probes of suspected servers. */
void
owner_ask_reports (struct Owner *owner);
