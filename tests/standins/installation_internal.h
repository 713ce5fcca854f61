/* Shared by the store and the servers of the emulated installation. */
#pragma once

#include "installation.h"

#include <microhttpd.h>
#include <pthread.h>

enum
{
  KEYS_MAX = 512,
  RUNS_MAX = 32768
};

struct StoreItem
{
  char key[200];
  char *value; /* base64 */
  int64_t revision;
  bool deleted; /* kept, so that watches hear of it */
};

/* A request that a server began to work on. */
struct Run
{
  char request[65];
  uint32_t server;
  char *body;
  int64_t ran_ms;
  char *headers; /* "Name: value\n"... */
};

struct Server
{
  struct Installation *installation;
  uint32_t number;
  bool engine;
  char id[32], service[32], zone[32], address[32], state[16];
  uint16_t port;
  enum ServerMode mode;
  uint32_t event_ms, sequence;
  uint64_t born; /* Unix milliseconds */
  struct MHD_Daemon *daemon;
};

struct Installation
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  struct MHD_Daemon *store;
  enum StoreMode store_mode;
  bool ended;
  uint64_t n_store_calls;
  int64_t revision;
  int64_t history; /* revision after which changes are known */
  struct StoreItem items[KEYS_MAX];
  size_t n_items;
  struct Server servers[INSTALLATION_SERVERS_MAX];
  uint32_t n_servers;
  struct Run runs[RUNS_MAX];
  size_t n_runs;
  uint32_t n_closes_seen;
  char *customers; /* JSON list in each configuration; NULL: none */
};

/* Under lock. */
void
store_put (struct Installation *installation, const char *key, const char *base64);
struct StoreItem *
store_find (struct Installation *installation, const char *key);

int
store_start (struct Installation *installation, uint16_t port);
int
server_start (struct Server *server);

/* Collects a request's body over MHD's calls: true once it is whole. The text is NUL-terminated and
 * freed by request_completed. */
struct RequestBody
{
  char *bytes;
  size_t n_bytes;
};
bool
request_collect (void **state, const char *bytes, size_t *n_bytes, enum MHD_Result *result);
void
request_completed (void *data,
                   struct MHD_Connection *connection,
                   void **state,
                   enum MHD_RequestTerminationCode code);
