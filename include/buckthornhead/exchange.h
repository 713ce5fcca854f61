/* One HTTP request of a caller or operator and its response, shared by the HTTP thread that owns
 * the connection and the core thread that responds.
 *
 * The HTTP thread fills in the request fields and posts the exchange to the core; those fields are
 * read-only afterwards. The core responds with exchange_respond, or with exchange_begin,
 * exchange_chunk and exchange_end for a stream. Each of the two threads holds one reference. */
#pragma once

#include <buckthornhead/mailbox.h>
#include <buckthornhead/peer_message.h>
#include <buckthornhead/reclaim.h>

#include <microhttpd.h>
#include <stdatomic.h>

enum
{
  EXCHANGE_HEADERS_MAX = 8,
  EXCHANGE_HEADER_BYTES = 160
};

enum ExchangeKind
{
  EXCHANGE_CALLER,  /* .request */
  EXCHANGE_OPERATOR /* .method, .path, .body */
};

struct CallerMemory;

/* What an exchange holds; see caller_memory.h, which locks it. */
struct ExchangeMemory
{
  struct CallerMemory *memory; /* NULL: not bounded */
  struct Exchange *next, **previous_next;
  int fd;
  uint64_t own_bytes;    /* of the connection itself */
  uint64_t body_bytes;   /* capacity for the request's body */
  uint64_t queued_bytes; /* of the response, not sent yet */
  struct ProgressMeter progress;
  bool posted;   /* the request is complete */
  bool given_up; /* its socket is shut down */
};

struct Exchange
{
  struct Mail mail; /* must be the first member; posted as MAIL_CALLER_REQUEST */
  enum ExchangeKind kind;
  struct PeerRequest request;
  char method[8];
  char path[256]; /* EXCHANGE_OPERATOR only; without the query */
  char query_name[NAME_MAX_BYTES + 1];
  uint8_t *body; /* talloc child of the exchange */
  size_t body_bytes, body_size;
  void *core; /* state owned by the core thread */

  /* Response. The core writes the head before it sets head_ready. */
  uint32_t status;
  char headers[EXCHANGE_HEADERS_MAX][EXCHANGE_HEADER_BYTES]; /* "Name: value" */
  uint32_t n_headers;
  bool event_stream;

  /* Shared by both threads. */
  _Atomic uint32_t references;
  _Atomic bool head_ready, ended, closed;
  _Atomic bool suspended; /* the connection is suspended, or about to be */
  struct MHD_Connection *connection;
  struct cds_wfcq_head head;
  struct cds_wfcq_tail tail;
  struct ExchangeMemory memory_state;

  /* Used by the HTTP thread only. */
  struct ExchangeChunk *chunk;
  size_t chunk_offset;
  bool posted;
  uint32_t early_status; /* status of an error found before the request is complete; 0: none */
  int64_t started_ms;
  int64_t refused_ms; /* when early_status was set */
  size_t n_discarded; /* bytes of the body that arrived later */
};

/* Payload of MAIL_CALLER_DISCONNECTED: the caller disconnected. Holds the HTTP thread's reference.
 */
struct DisconnectMail
{
  struct Mail mail;
  struct Exchange *exchange;
};

/* A piece of the response body, queued for the HTTP thread. */
struct ExchangeChunk
{
  struct cds_wfcq_node node;
  size_t n_bytes;
  uint8_t bytes[];
};

struct Exchange *
exchange_new (enum ExchangeKind kind);
void
exchange_release (struct Exchange *exchange);

/* To be called by the core thread. */
void
exchange_header (struct Exchange *exchange, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void
exchange_begin (struct Exchange *exchange, uint32_t status, bool event_stream);
void
exchange_chunk (struct Exchange *exchange, const void *bytes, size_t n_bytes);
void
exchange_end (struct Exchange *exchange);
/* Sends a complete response and ends the exchange. */
void
exchange_respond (struct Exchange *exchange, uint32_t status, const void *body, size_t n_bytes);
/* Returns the number of exchanges of all listeners that are posted to the core and have not ended;
 * may be called by any thread. While it is not 0 a connection may be suspended, and libmicrohttpd
 * aborts the process when a listener with a suspended connection is stopped. */
uint32_t
exchange_n_open (void);
/* HTTP thread: counts an exchange that is about to be posted. */
void
exchange_note_posted (void);
/* HTTP thread: reverts exchange_note_posted for an exchange that is not posted after all. */
void
exchange_note_refused (void);
/* Returns whether the connection has closed; further response data is dropped. */
bool
exchange_is_closed (struct Exchange *exchange);

/* HTTP thread: queues the response in libmicrohttpd once its head is ready. */
enum MHD_Result
exchange_queue_response (struct Exchange *exchange, struct MHD_Connection *connection);
