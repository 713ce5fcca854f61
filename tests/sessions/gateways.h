/* Test deployment: gateways and archives as real processes in front of the stand-in servers. */
#pragma once

#include "harness.h"

#include "standins/installation.h"

enum
{
  GATEWAYS_MAX = 3,
  ARCHIVES_MAX = 5,
  FIRST_ENGINE = 0, /* server numbers, in the order of installation_add */
  TOOL_SERVER = 2
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

/* Returns the port of a proxy that forwards to port target. */
typedef uint16_t (*ProxyPortFn) (void *data, uint16_t target);

struct Fleet
{
  struct Session *session;
  struct Installation *installation;
  struct GatewayNode gateways[GATEWAYS_MAX];
  struct ArchiveNode archives[ARCHIVES_MAX];
  uint32_t n_gateways, n_archives;
  char store[48];
  const char *archive_settings; /* further keys of the archives' last section; NULL: none */
  const char *gateway_settings; /* further sections of the gateways' settings; NULL: none */
  uint16_t seed_port; /* first gateway's peer port, the seed of all processes; 0: no seed is set */
  char last_turn_id[64];  /* id of the last attempt of turn_send_until_accepted */
  ProxyPortFn proxy_port; /* proxy for each peer port and the store; NULL: direct connections */
  void *proxy_data;
  uint32_t gateway_descriptors; /* limit of each gateway; 0: the test's */
  const char *turn_path;        /* of the turns that are sent; NULL: "/turns/1" */
  const char *grace;            /* of the gateways' planned stop; NULL: "6s" */
  const char *quota_sharing;    /* setting of the gateways; NULL: the default */
};

/* Starts two engines, one desk and the given processes with version 1 of the configuration; waits
 * until every gateway is ready. */
struct Fleet *
fleet_start (TALLOC_CTX *ctx, uint32_t n_gateways, uint32_t n_archives);
/* The same in two steps, for callers with proxies: forward is called for the store first, then for
 * each archive, then for each gateway. */
struct Fleet *
fleet_new (TALLOC_CTX *ctx);
void
fleet_start_all (
    struct Fleet *fleet, uint32_t n_gateways, uint32_t n_archives, ProxyPortFn forward, void *data);
void
fleet_end (struct Fleet *fleet, bool failed);

void
gateway_start (struct Fleet *fleet, uint32_t i);
/* first: the whole system starts for the first time (setting first_start). */
void
archive_start (struct Fleet *fleet, uint32_t i, bool first);
/* The two steps of archive_start. */
void
archive_write_settings (struct Fleet *fleet, uint32_t i, bool first);
void
archive_start_written (struct Fleet *fleet, uint32_t i);
/* Deletes the archive's data folder, as if its disk had been replaced. */
void
archive_delete_data (struct Fleet *fleet, uint32_t i);
bool
gateway_wait_ready (struct Fleet *fleet, uint32_t i);

/* Writes the entry of a server in zone "a" that is not one of the installation's. */
void
fleet_list_server (struct Fleet *fleet, const char *service, uint16_t port, uint32_t n_slots);

/* Sends one turn with the headers of the platform's callers. previous "": the first turn; budget 0:
 * no budget. */
struct HttpReply *
turn_send (struct Fleet *fleet,
           TALLOC_CTX *ctx,
           uint32_t gateway,
           const char *program,
           const char *turn,
           const char *previous,
           uint32_t budget,
           const char *input);
/* Resends a turn until it is not rejected with 503 any more. Each attempt has its own id; the last
 * one is stored in fleet->last. */
struct HttpReply *
turn_send_until_accepted (struct Fleet *fleet,
                          TALLOC_CTX *ctx,
                          uint32_t gateway,
                          const char *program,
                          const char *turn,
                          const char *previous,
                          const char *input);
/* Sends a request to the desk; path is /safe/... or /once/... */
struct HttpReply *
tool_send (
    struct Fleet *fleet, TALLOC_CTX *ctx, uint32_t gateway, const char *path, const char *request);

/* Returns whether the first gateway serves a request to the desk; data is the fleet. For wait_for.
 */
bool
tool_is_served (void *data);

/* Waits until a process's output contains text. */
bool
process_wait_for_output (struct Process *process, const char *text);
/* Waits until the output of any process contains text: which process reads the store for all others
 * depends on their names. */
bool
fleet_wait_for_output (struct Fleet *fleet, const char *text);
/* Returns the number of occurrences of text in the process's output so far. */
uint32_t
process_count_output (struct Process *process, const char *text);
