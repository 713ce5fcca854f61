/* Shared by the store and the servers of the platform stand-in of installation.h. */
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
  bool deleted; /* deleted keys are kept so that watches report them */
};

/* A request that a server started to process. */
struct Run
{
  char request[65];
  uint32_t server;
  char *body;
  int64_t started_ms;
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
  uint32_t work_ms;                           /* per request of a plain server */
  uint32_t places, n_in_progress, n_rejected; /* places 0: unlimited */
  uint32_t n_events, data_bytes;              /* of a stream */
  uint32_t body_bytes;                        /* of a plain server's responses; 0: a short text */
  char load[48];                              /* X-Server-Load; "": not sent */
  uint64_t started_unix_ms;                   /* "born" in the entry */
  struct MHD_Daemon *daemon;                  /* NULL while the server is down */
  bool is_silent;                             /* it is down and keeps its connections open */
  bool crashing;                              /* crash_thread runs or has to be joined */
  pthread_t crash_thread;
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
  int64_t compacted_revision; /* lowest revision that a watch may start after */
  struct StoreItem items[KEYS_MAX];
  size_t n_items;
  struct Server servers[INSTALLATION_SERVERS_MAX];
  uint32_t n_servers;
  struct Run runs[RUNS_MAX];
  size_t n_runs;
  uint32_t n_client_closes;
  char crashing_path[64]; /* "": none */
  uint32_t down_ms;       /* until a crashed server starts again */
  bool crashes_silently;
  uint32_t n_crashes;
  uint32_t body_max_bytes; /* in each configuration; 0: the default */
  char *customers;         /* JSON list in each configuration; NULL: none */
};

/* The caller holds the lock. */
void
installation_store_put (struct Installation *installation, const char *key, const char *base64);
struct StoreItem *
installation_store_find (struct Installation *installation, const char *key);

int
installation_store_start (struct Installation *installation, uint16_t port);
int
installation_server_start (struct Server *server);

/* Writes the server's entry with the next sequence number. The caller holds the lock. */
void
server_write_entry (struct Server *server);

/* Returns whether a request to path crashes the server that runs it. The caller holds the lock. */
bool
installation_path_crashes (const struct Installation *installation, const char *path);
/* Waits until the server has started again, if it is down and keeps its connections open. Returns
 * whether it was. */
bool
server_wait_while_silent (struct Server *server);
/* Crashes the server; a thread starts it again. The caller holds the lock. */
void
server_crash (struct Server *server);
/* Waits until all crashed servers have started again. */
void
installation_join_crashes (struct Installation *installation);

/* Collects the body of a request over several calls of the libmicrohttpd handler. Returns true once
 * it is complete. The body is NUL-terminated and freed by request_completed. */
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
