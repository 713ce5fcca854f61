/* The users' platform and its servers inside a test: the metadata store, model replicas and plain
 * services, as their published pages describe them. Faults are set from the test. Threads of its
 * own serve; all functions may be called from the test's thread. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

enum
{
  INSTALLATION_SERVERS_MAX = 8,
  TOKENS_PER_EVENT = 19
};

struct Installation;

enum StoreMode
{
  STORE_SERVES,
  STORE_REFUSES, /* 503 to everyone */
  STORE_SILENT   /* takes calls and answers none */
};

/* What a server does with the requests that come from now on. */
enum ServerMode
{
  SERVER_ANSWERS,
  SERVER_FULL,       /* refuses, not run */
  SERVER_LOSES,      /* runs the request and closes without an answer */
  SERVER_MUTE,       /* runs one request, whose answer never comes; then answers again */
  SERVER_BREAKS_OFF, /* closes after half of the stream and half an event, or half of the body */
  SERVER_SPOILS,     /* answers without its proof */
  SERVER_HANGS       /* runs, and answers nothing until it is told otherwise */
};

struct Installation *
installation_new (TALLOC_CTX *ctx, uint16_t store_port);
void
installation_end (struct Installation *installation);

/* Adds a server and lists it. engine: answers are streams. Returns its number. */
uint32_t
installation_add (struct Installation *installation,
                  const char *service,
                  bool engine,
                  const char *zone,
                  uint16_t port);

/* The operators write a configuration of this version: /turns/ is a stream route to "engines" that
 * keeps turns, /safe/ and /once/ go to "desk", and extra (JSON of further routes, or "") is added.
 */
void
installation_configure (struct Installation *installation, uint64_t version, const char *extra);
/* The customers of later configurations, a JSON list; NULL: none, and requests need no key. */
void
installation_set_customers (struct Installation *installation, const char *json);
/* Any key that operators write. */
void
installation_put (struct Installation *installation, const char *key, const char *json);
/* The value at key, belonging to ctx; NULL when there is none. */
char *
installation_get (struct Installation *installation, TALLOC_CTX *ctx, const char *key);
void
installation_remove (struct Installation *installation, const char *key);

void
installation_set_store (struct Installation *installation, enum StoreMode mode);
/* The store forgets what changed up to now: a call that waits for changes since before gets 410. */
void
installation_forget_history (struct Installation *installation);
/* Calls that reached the store so far. */
uint64_t
installation_store_calls (struct Installation *installation);

void
server_set_mode (struct Installation *installation, uint32_t server, enum ServerMode mode);
/* "ready" or "draining" in the list. */
void
server_set_state (struct Installation *installation, uint32_t server, const char *state);
/* Starts again under its id: another process, as its entry says. */
void
server_restart (struct Installation *installation, uint32_t server);
/* Milliseconds between two events of a stream. */
void
server_set_pace (struct Installation *installation, uint32_t server, uint32_t event_ms);

/* Requests that ran at any server with this id; and all that ran at one server. */
uint32_t
installation_runs_of (struct Installation *installation, const char *request);
uint32_t
server_runs (struct Installation *installation, uint32_t server);
/* Streams whose caller closed before their end, as a server saw it. */
uint32_t
installation_closes_seen (struct Installation *installation);
/* The most requests of a customer that ran at all servers within any span of that length. */
uint32_t
installation_fullest (struct Installation *installation, const char *customer, int64_t span_ms);
/* The body with which request ran last; NULL when it did not. Belongs to ctx. */
char *
installation_body_of (struct Installation *installation, TALLOC_CTX *ctx, const char *request);
/* Value of a header with which request ran last; "" when absent. Belongs to ctx. */
char *
installation_header_of (struct Installation *installation,
                        TALLOC_CTX *ctx,
                        const char *request,
                        const char *header);
