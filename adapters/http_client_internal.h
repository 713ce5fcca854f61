/* Connections of the HTTP client, for the files that implement it. */
#pragma once

#include "http_response_reader.h"

#include <buckthornhead/byte_queue.h>
#include <buckthornhead/settings.h>

enum ConnectionState
{
  CONNECTION_CONNECTING,
  CONNECTION_BUSY,
  CONNECTION_IDLE
};

/* One connection to a server. */
struct ServerConnection
{
  struct ServerConnection *next, **previous_next;
  struct HttpClient *client;
  char address[ADDRESS_MAX_BYTES + 1];
  int fd;
  struct tevent_fd *watch;
  enum ConnectionState state;
  int64_t deadline_ms;  /* connecting: connect timeout; idle: end of reuse */
  int64_t connected_ms; /* when it was established; 0: connecting */
  struct ByteQueue output;
  const uint8_t *body; /* of the call's request, to be sent after the output; NULL: none */
  size_t body_bytes;
  struct HttpCall *call;
  struct HttpServerCheck *check; /* that opens it; NULL: none */
  struct HttpResponseReader reader;
  uint32_t n_requests; /* that were sent on it, with the call's */
  bool single_use;     /* closed after the call */
  bool paused;         /* the response is not read at present */
  bool sent_any;
};

struct HttpServerCheck
{
  struct HttpClient *client;
  char address[ADDRESS_MAX_BYTES + 1];
  struct ServerConnection *connection; /* being opened; NULL: none */
  enum HttpServerState state;          /* unless another connection shows that it is running */
  struct Timer *timer;
  HttpServerCheckFn done;
  void *data;
};

struct HttpClient
{
  struct tevent_context *events;
  struct TimerService *timers;
  struct HttpClientOptions options;
  struct ServerConnection *connections;
  uint32_t n_connections;
  uint64_t n_opened;
  uint8_t scratch[64 * 1024]; /* bytes that were just read */
};

/* Starts a connection. Returns NULL when it fails at once. */
struct ServerConnection *
connection_new (struct HttpClient *client, const char *address, uint32_t connect_timeout_ms);

/* Watches the socket for what the connection's state needs. */
void
connection_update_watch (struct ServerConnection *connection);

/* Closes the connection and ends its call, if any. */
void
connection_close (struct ServerConnection *connection, enum HttpEnd end);

/* Returns the number of connections to an address. */
uint32_t
client_count_connections (const struct HttpClient *client, const char *address);

/* The connection that .check has started is established, or was refused. */
void
check_on_accepted (struct ServerConnection *connection);
void
check_on_refused (struct ServerConnection *connection);
