#include "home_internal.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/error.h>

#include <string.h>

/* A refusal that waits for journal_confirm_not_fenced. */
struct PendingRefusal
{
  struct Home *home;
  uint64_t link;
  bool first_attempt;
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

/* Returns whether a home with an older ledger could refuse what the present home accepts. The
 * caller treats such a refusal as final. */
static bool
refusal_depends_on_ledger (int32_t error)
{
  return error == ERROR_OUT_OF_ORDER || error == ERROR_NOT_FOUND || error == ERROR_ENDED;
}

/* Replaces the refusal by a transient one: the entry looks for the present home, or the caller
 * tries again after an outage. */
static void
refusal_make_transient (struct PendingRefusal *refusal, int32_t error)
{
  struct PeerResponse *reply = &refusal->reply;

  if (error == ERROR_FENCED)
    reply->outcome.error =
        fault_set (&reply->fault, ERROR_NOT_OWNER, NULL, "another instance is the program's home");
  else
    {
      reply->outcome.error =
          fault_set (&reply->fault, ERROR_PLATFORM_DOWN, NULL,
                     "it is not known whether this instance is still the program's home");
      reply->retry_after_ms = RETRY_AFTER_OUTAGE_MS;
    }
  reply->expected_sequence = 0;
}

static void
refusal_on_confirmed (void *data, int32_t error)
{
  struct PendingRefusal *refusal = data;

  if (error != ERROR_NONE && refusal->first_attempt)
    refusal_make_transient (refusal, error);
  else if (error != ERROR_NONE)
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
  refusal->first_attempt = first_attempt;
  refusal->reply.id = id;
  refusal->reply.fault = *fault;
  refusal->reply.outcome.error = fault->error;
  refusal->reply.outcome.ran = RAN_NO;
  refusal->reply.retry_after_ms = retry_after_ms;
  refusal->reply.expected_sequence = expected_sequence;
  home->core->outcomes.refused++;
  counter_add (COUNTER_CALLS_REFUSED, 1);
  /* A home that was paused and replaced has not noticed it yet. Its ledger is stale: the same call
   * may have run at the new home, or follow one that did, and only a slot written now proves that
   * there is none. Without that proof a resent call is reported as "may have run". */
  if (first_attempt && !refusal_depends_on_ledger (fault->error))
    refusal_on_confirmed (refusal, ERROR_NONE);
  else if (home->journal == NULL)
    refusal_on_confirmed (refusal, ERROR_FENCED);
  else if (!journal_is_writable (home->journal))
    refusal_on_confirmed (refusal, ERROR_PLATFORM_DOWN);
  else
    {
      int32_t error = journal_confirm_not_fenced (home->journal, refusal_on_confirmed, refusal);

      if (error != ERROR_NONE)
        refusal_on_confirmed (refusal, error);
    }
}
