#include <buckthornhead/exchange.h>

#include <buckthornhead/caller_memory.h>
#include <buckthornhead/held_memory.h>
#include <buckthornhead/tsan.h>

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RESPONSE_BLOCK_BYTES = 16 * 1024
};

/* Number of exchanges that are posted to the core and have not ended. */
static _Atomic uint32_t n_open;

uint32_t
exchange_n_open (void)
{
  return atomic_load (&n_open);
}

void
exchange_note_posted (void)
{
  atomic_fetch_add (&n_open, 1);
}

void
exchange_note_refused (void)
{
  atomic_fetch_sub (&n_open, 1);
}

struct Exchange *
exchange_new (enum ExchangeKind kind)
{
  struct Exchange *exchange = talloc_zero (NULL, struct Exchange);

  if (exchange == NULL)
    return NULL;
  exchange->mail.kind = MAIL_CALLER_REQUEST;
  exchange->kind = kind;
  exchange->references = 1;
  cds_wfcq_init (&exchange->head, &exchange->tail);
  return exchange;
}

static struct ExchangeChunk *
exchange_next_chunk (struct Exchange *exchange)
{
  struct cds_wfcq_node *node = __cds_wfcq_dequeue_blocking (&exchange->head, &exchange->tail);

  if (node == NULL)
    return NULL;
  TSAN_ACQUIRE (node);
  return caa_container_of (node, struct ExchangeChunk, node);
}

void
exchange_release (struct Exchange *exchange)
{
  struct ExchangeChunk *chunk;

  if (atomic_fetch_sub (&exchange->references, 1) != 1)
    return;
  if (exchange->chunk != NULL)
    held_memory_subtract (exchange->chunk->n_bytes - exchange->chunk_offset);
  free (exchange->chunk);
  while ((chunk = exchange_next_chunk (exchange)) != NULL)
    {
      held_memory_subtract (chunk->n_bytes);
      free (chunk);
    }
  talloc_free (exchange);
}

void
exchange_header (struct Exchange *exchange, const char *format, ...)
{
  va_list args;

  if (exchange->n_headers == EXCHANGE_HEADERS_MAX || atomic_load (&exchange->head_ready))
    return;
  va_start (args, format);
  vsnprintf (exchange->headers[exchange->n_headers], EXCHANGE_HEADER_BYTES, format, args);
  va_end (args);
  exchange->n_headers++;
}

/* Resumes the connection if the HTTP thread has suspended it. exchange_read sets suspended before
 * it checks the queue a last time: either that check finds the new chunk, or suspended is seen
 * here. */
static void
exchange_wake (struct Exchange *exchange)
{
  if (!atomic_load (&exchange->head_ready))
    return;
  if (atomic_exchange (&exchange->suspended, false))
    MHD_resume_connection (exchange->connection);
}

void
exchange_begin (struct Exchange *exchange, uint32_t status, bool event_stream)
{
  exchange->status = status;
  exchange->event_stream = event_stream;
  atomic_store (&exchange->head_ready, true);
  exchange_wake (exchange);
}

void
exchange_chunk (struct Exchange *exchange, const void *bytes, size_t n_bytes)
{
  struct ExchangeChunk *chunk;

  if (n_bytes == 0 || exchange_is_closed (exchange))
    return;
  chunk = malloc (sizeof *chunk + n_bytes);
  if (chunk == NULL)
    return;
  chunk->n_bytes = n_bytes;
  memcpy (chunk->bytes, bytes, n_bytes);
  cds_wfcq_node_init (&chunk->node);
  TSAN_RELEASE (&chunk->node);
  caller_memory_queue (exchange, n_bytes);
  cds_wfcq_enqueue (&exchange->head, &exchange->tail, &chunk->node);
  exchange_wake (exchange);
}

void
exchange_end (struct Exchange *exchange)
{
  atomic_store (&exchange->ended, true);
  exchange_wake (exchange);
  exchange_release (exchange);
  atomic_fetch_sub (&n_open, 1);
}

void
exchange_respond (struct Exchange *exchange, uint32_t status, const void *body, size_t n_bytes)
{
  exchange_chunk (exchange, body, n_bytes);
  exchange_begin (exchange, status, false);
  exchange_end (exchange);
}

bool
exchange_is_closed (struct Exchange *exchange)
{
  return atomic_load (&exchange->closed);
}

/* Copies queued chunks into block until it is full; returns the number of bytes copied. */
static size_t
exchange_fill (struct Exchange *exchange, char *block, size_t size)
{
  size_t filled = 0;

  while (filled < size)
    {
      size_t n;

      if (exchange->chunk == NULL)
        {
          exchange->chunk = exchange_next_chunk (exchange);
          exchange->chunk_offset = 0;
        }
      if (exchange->chunk == NULL)
        break;
      n = exchange->chunk->n_bytes - exchange->chunk_offset;
      if (n > size - filled)
        n = size - filled;
      memcpy (block + filled, exchange->chunk->bytes + exchange->chunk_offset, n);
      filled += n;
      exchange->chunk_offset += n;
      caller_memory_sent (exchange, n);
      if (exchange->chunk_offset < exchange->chunk->n_bytes)
        break;
      free (exchange->chunk);
      exchange->chunk = NULL;
    }
  return filled;
}

/* Called by libmicrohttpd for more of the response body.
 *
 * The thread that clears suspended owns the connection until its next call on it. When the core has
 * cleared suspended it is about to resume the connection, so this thread must suspend it; otherwise
 * the connection could be finished and freed during the core's call. */
static ssize_t
exchange_read (void *data, uint64_t position, char *block, size_t size)
{
  struct Exchange *exchange = data;
  size_t filled;
  bool ended;

  (void)position;
  filled = exchange_fill (exchange, block, size);
  if (filled > 0)
    return (ssize_t)filled;
  atomic_store (&exchange->suspended, true);
  /* Read before the queue, so that chunks queued before the end are not missed. */
  ended = atomic_load (&exchange->ended);
  if ((ended || !cds_wfcq_empty (&exchange->head, &exchange->tail))
      && atomic_exchange (&exchange->suspended, false))
    {
      filled = exchange_fill (exchange, block, size);
      return filled > 0 ? (ssize_t)filled : (ssize_t)MHD_CONTENT_READER_END_OF_STREAM;
    }
  MHD_suspend_connection (exchange->connection);
  return 0;
}

static void
exchange_add_headers (struct Exchange *exchange, struct MHD_Response *response)
{
  MHD_add_response_header (response, "Content-Type",
                           exchange->event_stream ? "text/event-stream" : "application/json");
  for (uint32_t i = 0; i < exchange->n_headers; i++)
    {
      char *name = exchange->headers[i];
      char *colon = strchr (name, ':');

      if (colon == NULL)
        continue;
      *colon = '\0';
      MHD_add_response_header (response, name, colon + 2);
    }
}

enum MHD_Result
exchange_queue_response (struct Exchange *exchange, struct MHD_Connection *connection)
{
  enum MHD_Result queued;
  struct MHD_Response *response;

  /* This load also makes the fields of the head visible to this thread. Without a head the core has
   * not resumed the connection. */
  if (!atomic_load (&exchange->head_ready))
    {
      MHD_suspend_connection (connection);
      return MHD_YES;
    }
  response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, RESPONSE_BLOCK_BYTES,
                                                exchange_read, exchange, NULL);
  if (response == NULL)
    return MHD_NO;
  exchange_add_headers (exchange, response);
  queued = MHD_queue_response (connection, exchange->status, response);
  MHD_destroy_response (response);
  return queued;
}
