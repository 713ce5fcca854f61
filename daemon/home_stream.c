#include "home_internal.h"

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

bool
home_on_chunk (struct Home *home, const struct PeerChunk *chunk)
{
  struct HomeCall *call;

  HASH_FIND (by_dispatch, home->dispatches, &chunk->id, sizeof chunk->id, call);
  if (call == NULL)
    return false;
  if (call->response_bytes + chunk->n_bytes > call->response_size)
    {
      call->response_size = (call->response_bytes + chunk->n_bytes) * 2;
      call->response = talloc_realloc (call, call->response, uint8_t, call->response_size);
    }
  memcpy (call->response + call->response_bytes, chunk->bytes, chunk->n_bytes);
  call->response_bytes += chunk->n_bytes;
  call->status = chunk->status;
  if (!call->call.stream || chunk->status != 200)
    return true;
  call->forwardable_bytes = home_call_forwardable (call);
  home_call_forward (call, call->forwardable_bytes);
  return true;
}
