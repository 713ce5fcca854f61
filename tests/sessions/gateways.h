/* An installation with gateways and archives as real processes before it, for tests. */
#pragma once

#include "harness.h"

#include "standins/installation.h"

enum
{
  GATEWAYS_MAX = 3,
  ARCHIVES_MAX = 5,
  ENGINE = 0, /* numbers of the servers */
  DESK = 2
};

struct GatewayNode
{
  struct Process *process;
  char name[32];
  char caller[32], ready[32], directory[32], peer[32], metrics[32];
  uint16_t announced_port;
  const char *file;
};

struct ArchiveNode
{
  struct Process *process;
  char name[32];
  char folder[300];
  char metrics[32];
  const char *file;
  uint16_t peer_port, announced_port;
};

/* The port of something that forwards to target. */
typedef uint16_t (*ForwardFn) (void *data, uint16_t target);

struct Fleet
{
  struct Session *session;
  struct Installation *installation;
  struct GatewayNode gateways[GATEWAYS_MAX];
  struct ArchiveNode archives[ARCHIVES_MAX];
  uint32_t n_gateways, n_archives;
  char store[48];
  uint16_t seed_port; /* of the first gateway's peers, which all others ask at their start; 0: none
                         is asked */
  char last[64];      /* id of the last turn that was taken */
  ForwardFn forward;  /* between the processes, and to the store; NULL: nothing */
  void *forward_data;
};

/* Two engines, one desk, the configuration's version 1; waits until every gateway is ready. */
struct Fleet *
fleet_start (TALLOC_CTX *ctx, uint32_t n_gateways, uint32_t n_archives);
/* The same in two steps, for those that forward: the store first, then archives and gateways. */
struct Fleet *
fleet_new (TALLOC_CTX *ctx);
void
fleet_start_all (
    struct Fleet *fleet, uint32_t n_gateways, uint32_t n_archives, ForwardFn forward, void *data);
void
fleet_end (struct Fleet *fleet, bool failed);

void
gateway_start (struct Fleet *fleet, uint32_t i);
/* first: the whole system starts for the first time. */
void
archive_start (struct Fleet *fleet, uint32_t i, bool first);
/* Its disk comes back empty. */
void
archive_wipe (struct Fleet *fleet, uint32_t i);
bool
gateway_wait_ready (struct Fleet *fleet, uint32_t i);

/* One turn; headers as the platform's callers send them. budget 0: none. */
struct HttpReply *
turn_send (struct Fleet *fleet,
           TALLOC_CTX *ctx,
           uint32_t gateway,
           const char *program,
           const char *turn,
           const char *previous,
           uint32_t budget,
           const char *input);
/* As often as a caller would, until it is not sent back any more; each attempt has an id of its
 * own, and the last one's is kept. */
struct HttpReply *
turn_send_until_taken (struct Fleet *fleet,
                       TALLOC_CTX *ctx,
                       uint32_t gateway,
                       const char *program,
                       const char *turn,
                       const char *previous,
                       const char *input);
/* A request to the desk: path is /safe/.. or /once/.. */
struct HttpReply *
desk_send (
    struct Fleet *fleet, TALLOC_CTX *ctx, uint32_t gateway, const char *path, const char *request);

/* Waits for a line with text in a process's output. */
bool
process_wait_output (struct Process *process, const char *text);
/* The same in the output of any of the processes: which of them reads the store for all depends on
 * their names. */
bool
fleet_wait_output (struct Fleet *fleet, const char *text);
/* How often its output has text so far. */
uint32_t
process_count (struct Process *process, const char *text);
