/* Shared by the parts of the HTTP server: listener and connections (http_server.c), responses
 * (http_exchange.c) and the bound on memory (http_memory.c). */
#pragma once

#include "http_request_reader.h"

#include <buckthornhead/http_server.h>
#include <buckthornhead/reclaim.h>

#include <tevent.h>

enum
{
  SERVER_READ_BYTES = 64 * 1024,
  /* Bounds the memory that a caller which does not read its response can use. */
  SERVER_OUTPUT_MAX_BYTES = 4 * 1024 * 1024
};

enum ConnectionState
{
  CONNECTION_IDLE,     /* between requests */
  CONNECTION_READING,  /* part of a request was received */
  CONNECTION_BUSY,     /* the handler is processing a request */
  CONNECTION_LINGERING /* reads and discards data before closing */
};

struct Connection
{
  struct Connection *next, **previous_next;
  struct HttpServer *server;
  int fd;
  struct tevent_fd *watch;
  struct tevent_immediate *resume;
  enum ConnectionState state;
  int64_t state_since_ms; /* when the state was entered */
  struct HttpRequestReader reader;
  bool close_after;
  bool closes_response; /* the end of the connection is the end of its response */
  bool broken;          /* part of a response is lost; to be closed */
  bool congested;
  struct ByteQueue input, output;
  struct ProgressMeter progress; /* of what the caller sends, or of what it reads */
  int64_t progress_ms;           /* when the caller last read, or when data for it was first held */
  int unacked_bytes;             /* in the kernel's send buffer at the last sweep */
  uint32_t stall_timeout_ms;
  struct ServerExchange *exchange;
};

/* The server's private data of an exchange. */
struct ServerExchange
{
  struct HttpExchange public; /* must be the first member; passed to the handler */
  struct Connection *connection;
  size_t head_bytes; /* of the text of the request's headers */
  bool begun, chunked;
};

struct HttpServer
{
  struct HttpServer *next, **previous_next; /* of the servers that share .options.memory */
  struct tevent_context *events;
  struct TimerService *timers;
  struct HttpServerOptions options;
  int listen_fd;
  struct Acceptor *acceptor;
  struct Connection *connections;
  uint32_t n_connections, n_in_flight;
  bool draining;
  int64_t full_logged_ms; /* 0: never */
  uint8_t scratch[SERVER_READ_BYTES];
};

/* Returns whether the bounds on the data held for each caller are active. */
bool
server_connection_is_bounded (const struct Connection *c);

void
server_connection_update_watch (struct Connection *c);

void
server_connection_set_state (struct Connection *c, enum ConnectionState state);

/* Marks a connection that has lost part of a response; it is closed from the event loop. */
void
server_connection_break (struct Connection *c);

/* Ends the sending side once everything is sent. */
void
server_connection_end_output (struct Connection *c);

/* Appends to the output without sending. May return ERROR_NO_MEMORY. */
int32_t
server_connection_queue (struct Connection *c, const void *bytes, size_t n_bytes);

/* Sends a buffer, which is taken from the queue if nothing is ahead of it. */
void
server_connection_send_queue (struct Connection *c, struct ByteQueue *queue);

/* Sends bytes, queueing what the socket does not accept yet, up to max_bytes. */
void
server_connection_send_bounded (struct Connection *c,
                                const void *bytes,
                                size_t n_bytes,
                                size_t max_bytes);

void
server_connection_send (struct Connection *c, const void *bytes, size_t n_bytes);

/* Handles input that was read ahead. */
void
server_connection_on_resume (struct tevent_context *events,
                             struct tevent_immediate *resume,
                             void *data);

/* Sends the head of a response; framing is "" or header lines. */
void
server_connection_send_head (struct Connection *c,
                             uint32_t status,
                             const struct HttpHeaders *headers,
                             const char *framing);

/* Rejects the request that is being read because the process is short of memory. */
void
server_connection_reject_short (struct Connection *c);

/* Returns whether the buffer of self, whose request is being read, may grow by n_bytes for a body
 * of body_bytes. Rejects other requests to make room, see reclaim.h. */
bool
http_memory_reserve (struct HttpMemory *memory,
                     struct Connection *self,
                     size_t n_bytes,
                     size_t body_bytes);

void
http_memory_add_server (struct HttpMemory *memory, struct HttpServer *server);
void
http_memory_remove_server (struct HttpServer *server);
