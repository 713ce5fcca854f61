#include "home_internal.h"

#include <buckthornhead/held_memory.h>
#include <buckthornhead/log.h>

#include <string.h>

/* The last event of a complete stream; it is withheld until the outcome is durable. */
static const char end_marker[] = "data: [DONE]";

void
home_call_forward (struct HomeCall *call, size_t up_to_bytes)
{
  for (struct HomeWaiter *w = call->waiters; w != NULL; w = w->next)
    {
      if (w->sent_bytes >= up_to_bytes)
        continue;
      home_reply_bytes (call->home, w->link, w->id, call->status, call->response + w->sent_bytes,
                        up_to_bytes - w->sent_bytes);
      w->sent_bytes = up_to_bytes;
      call->forwarded_any = true;
    }
}

/* Returns the number of bytes at the end of text that may be the start of the end marker. */
static size_t
marker_overlap (const uint8_t *text, size_t n_bytes)
{
  size_t longest = sizeof end_marker - 2;

  if (longest > n_bytes)
    longest = n_bytes;
  for (size_t n = longest; n > 0; n--)
    if (memcmp (text + n_bytes - n, end_marker, n) == 0)
      return n;
  return 0;
}

/* Returns the number of bytes of the stream that may be sent before its outcome is durable. */
static size_t
home_call_forwardable (const struct HomeCall *call)
{
  const uint8_t *from = call->response + call->forwardable_bytes;
  size_t n_bytes = call->response_bytes - call->forwardable_bytes;
  const uint8_t *marker = memmem (from, n_bytes, end_marker, sizeof end_marker - 1);

  if (marker != NULL)
    return (size_t)(marker - call->response);
  return call->response_bytes - marker_overlap (from, n_bytes);
}

static void
response_cut_off (struct HomeCall *call, int32_t error, const char *cause)
{
  log_event (LOG_LEVEL_WARNING, "response_cut_off", call->call.key.program,
             "check the backend server's responses, or give the instance more memory",
             "%s: %zu bytes received: %s", call->backend, call->response_bytes, cause);
  home_call_cut_off (call, error, cause);
}

/* Returns the memory of all large responses, and sets *largest to the call with the largest one
 * that can still be cut off; NULL if there is none. */
static size_t
home_large_response_bytes (struct Home *home, struct HomeCall **largest)
{
  size_t n_bytes = 0;

  *largest = NULL;
  for (struct HomeCall *call = home->calls; call != NULL; call = call->by_key.next)
    {
      if (call->response_size <= CALL_SMALL_RESPONSE_BYTES)
        continue;
      n_bytes += call->response_size;
      if (call->state == HOME_CALL_DISPATCHED
          && (*largest == NULL || call->response_size > (*largest)->response_size))
        *largest = call;
    }
  return n_bytes;
}

/* Cuts off the largest responses until n_bytes more for the call's own fit. Returns false when that
 * one was cut off, too. */
static bool
home_make_room (struct HomeCall *call, size_t n_bytes)
{
  struct Home *home = call->home;
  uint64_t max_bytes = home->core->responses_max_bytes;
  struct HomeCall *largest;

  while (max_bytes > 0 && home_large_response_bytes (home, &largest) + n_bytes > max_bytes
         && largest != NULL)
    {
      bool is_own = largest == call;

      response_cut_off (largest, ERROR_OVERLOADED, "the instance is short of memory");
      if (is_own)
        return false;
    }
  return true;
}

/* Makes room for n_bytes more of the response. Returns false when the call was cut off instead. */
static bool
home_call_grow (struct HomeCall *call, size_t n_bytes)
{
  size_t total_bytes = call->response_bytes + n_bytes, size;
  uint8_t *grown;

  if (total_bytes <= call->response_size)
    return true;
  if (total_bytes > CALL_RESPONSE_MAX_BYTES)
    {
      response_cut_off (call, ERROR_BACKEND, "the response is larger than a response may be");
      return false;
    }
  size = held_memory_grown_size (total_bytes, CALL_RESPONSE_MAX_BYTES);
  if (size > CALL_SMALL_RESPONSE_BYTES && !home_make_room (call, size - call->response_size))
    return false;
  grown = held_memory_resize (call, call->response, size);
  if (grown == NULL)
    {
      response_cut_off (call, ERROR_OVERLOADED, "out of memory for the response");
      return false;
    }
  call->response = grown;
  call->response_size = size;
  return true;
}

bool
home_on_chunk (struct Home *home, const struct PeerChunk *chunk)
{
  struct HomeCall *call;

  HASH_FIND (by_dispatch, home->dispatches, &chunk->id, sizeof chunk->id, call);
  if (call == NULL)
    return false;
  if (!home_call_grow (call, chunk->n_bytes))
    return true;
  memcpy (call->response + call->response_bytes, chunk->bytes, chunk->n_bytes);
  call->response_bytes += chunk->n_bytes;
  call->status = chunk->status;
  if (!call->call.stream || chunk->status != 200)
    return true;
  call->forwardable_bytes = home_call_forwardable (call);
  home_call_forward (call, call->forwardable_bytes);
  return true;
}
