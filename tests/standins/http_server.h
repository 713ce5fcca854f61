/* HTTP server of a stand-in: one thread per connection, complete request bodies, JSON responses. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>
#include <microhttpd.h>

struct StandinRequest
{
  struct MHD_Connection *connection;
  const char *method;
  const char *path;
  char *body; /* NUL-terminated */
  size_t body_bytes;
  void *state; /* for the handler; freed by StandinService.finished */
};

struct StandinService
{
  /* Responds by one of the functions below; MHD_NO closes the connection without a response. */
  enum MHD_Result (*handle) (void *data, struct StandinRequest *request);
  void (*finished) (void *data, struct StandinRequest *request); /* may be NULL */
  void *data;
};

/* Listens at "IP:port" (port 0: any), prints {"listen":"IP:port"} and serves until SIGTERM or
 * SIGINT. Returns the exit status. Signals must be blocked before other threads start:
 * standin_block_signals. */
int
standin_serve (const char *listen, const struct StandinService *service);
void
standin_block_signals (void);

/* Sends json as the response and takes over its reference. */
enum MHD_Result
standin_reply_json (struct StandinRequest *request, uint32_t status, json_t *json);

/* Return "" when the header or query argument is absent. */
const char *
standin_header (const struct StandinRequest *request, const char *name);
const char *
standin_argument (const struct StandinRequest *request, const char *name);

bool
standin_is (const struct StandinRequest *request, const char *method, const char *path);

/* Returns true once the client has closed its side of the connection. */
bool
standin_client_closed (const struct StandinRequest *request);

/* Continues an FNV-1a hash; the first hash is STANDIN_HASH_START. The result is the same on every
 * platform, because golden files contain it. */
#define STANDIN_HASH_START UINT64_C (0xcbf29ce484222325)
uint64_t
standin_hash (uint64_t hash, const void *bytes, size_t n_bytes);
