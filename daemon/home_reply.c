#include "home_internal.h"

#include <buckthornhead/counter.h>

#include <string.h>

/* A refusal that waits for journal_confirm_not_fenced. */
struct PendingRefusal
{
  struct Home *home;
  uint64_t link;
  struct PeerResponse reply;
};

void
home_reply (struct Home *home, uint64_t link, const struct PeerResponse *reply)
{
  struct PeerMessage message = { .kind = PEER_RESPONSE };

  message.response = *reply;
  peer_net_send (home->core->net, link, &message);
}

void
home_reply_bytes (struct Home *home,
                  uint64_t link,
                  uint64_t id,
                  uint32_t status,
                  const void *bytes,
                  size_t n_bytes)
{
  struct PeerMessage message = { .kind = PEER_CHUNK };

  if (n_bytes == 0)
    return;
  message.chunk.id = id;
  message.chunk.status = status;
  message.chunk.bytes = bytes;
  message.chunk.n_bytes = n_bytes;
  peer_net_send (home->core->net, link, &message);
}

void
home_reply_json (struct Home *home, uint64_t link, uint64_t id, uint32_t status, const char *json)
{
  struct PeerResponse reply = { .id = id };

  reply.outcome.ran = RAN_YES;
  reply.outcome.status = status;
  home_reply_bytes (home, link, id, status, json, strlen (json));
  home_reply (home, link, &reply);
}

static void
refusal_on_confirmed (void *data, int32_t error)
{
  struct PendingRefusal *refusal = data;

  if (error != ERROR_NONE)
    refusal->reply.outcome.ran = RAN_MAYBE;
  home_reply (refusal->home, refusal->link, &refusal->reply);
  talloc_free (refusal);
}

void
home_refuse (struct Home *home,
             uint64_t link,
             uint64_t id,
             bool first_attempt,
             const struct Fault *fault,
             uint32_t retry_after_ms,
             uint64_t expected_sequence)
{
  struct PendingRefusal *refusal = talloc_zero (home, struct PendingRefusal);

  if (refusal == NULL)
    return;
  refusal->home = home;
  refusal->link = link;
  refusal->reply.id = id;
  refusal->reply.fault = *fault;
  refusal->reply.outcome.error = fault->error;
  refusal->reply.outcome.ran = RAN_NO;
  refusal->reply.retry_after_ms = retry_after_ms;
  refusal->reply.expected_sequence = expected_sequence;
  home->core->outcomes.refused++;
  counter_add (COUNTER_CALLS_REFUSED, 1);
  /* A home that was paused and replaced has not noticed it yet. Its ledger is stale: the same call
   * may have run at the new home, and only a slot written now proves that there is none. Without
   * that proof the call is reported as "may have run". */
  if (first_attempt)
    refusal_on_confirmed (refusal, ERROR_NONE);
  else if (home->journal == NULL || !journal_is_writable (home->journal))
    refusal_on_confirmed (refusal, ERROR_PLATFORM_DOWN);
  else if (journal_confirm_not_fenced (home->journal, refusal_on_confirmed, refusal) != ERROR_NONE)
    refusal_on_confirmed (refusal, ERROR_NO_MEMORY);
}
