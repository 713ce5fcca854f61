/* One caller's or operator's HTTP request, shared by the HTTP thread that holds the connection and
 * the core thread that answers it.
 *
 * The HTTP thread fills the request part and posts the exchange to the core; from then on that part
 * is read only. The core answers with exchange_answer, or with exchange_begin, exchange_chunk and
 * exchange_end for a stream. Two references: one a side; the last to let go frees it. */
#pragma once

#include <buckthornhead/mailbox.h>
#include <buckthornhead/peer_message.h>

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

struct Exchange
{
  struct Mail mail; /* must come first: posted as MAIL_CALLER_REQUEST */
  enum ExchangeKind kind;
  struct PeerRequest request;
  char method[8];
  char path[256]; /* operator: path with its query */
  char query_name[NAME_MAX_BYTES + 1];
  uint8_t *body; /* talloc child of the exchange */
  size_t body_bytes, body_size;
  void *core; /* the core thread's own state of this exchange */

  /* Answer. The head is written by the core before head_ready is set. */
  uint32_t status;
  char headers[EXCHANGE_HEADERS_MAX][EXCHANGE_HEADER_BYTES]; /* "Name: value" */
  uint32_t n_headers;
  bool event_stream;

  /* Between the threads. */
  _Atomic uint32_t references;
  _Atomic bool head_ready, ended, closed, parked;
  struct MHD_Connection *connection;
  struct cds_wfcq_head head;
  struct cds_wfcq_tail tail;

  /* HTTP thread only. */
  struct ExchangeChunk *chunk;
  size_t chunk_offset;
  bool posted;
  uint32_t early_status; /* refused before it was posted */
  int64_t started_ms;
};

/* MAIL_CALLER_GONE: carries the HTTP side's reference. */
struct GoneMail
{
  struct Mail mail;
  struct Exchange *exchange;
};

/* A piece of the answer's body on its way to the HTTP thread. */
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

/* Core thread. */
void
exchange_header (struct Exchange *exchange, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void
exchange_begin (struct Exchange *exchange, uint32_t status, bool event_stream);
void
exchange_chunk (struct Exchange *exchange, const void *bytes, size_t n_bytes);
void
exchange_end (struct Exchange *exchange);
/* Whole answer at once, and the end. */
void
exchange_answer (struct Exchange *exchange, uint32_t status, const void *body, size_t n_bytes);
/* Exchanges posted to the core and not ended yet, of all listeners; any thread. While there is one,
 * its connection may be suspended, and libmicrohttpd ends the process that closes a listener then.
 */
uint32_t
exchange_n_open (void);
/* HTTP thread: one is about to be posted. */
void
exchange_note_posted (void);
/* And was not. */
void
exchange_note_refused (void);
/* True when the connection is gone: what is still sent goes nowhere. */
bool
exchange_is_closed (struct Exchange *exchange);

/* HTTP thread: queues MHD's response once the head is there. */
enum MHD_Result
exchange_queue_response (struct Exchange *exchange, struct MHD_Connection *connection);
