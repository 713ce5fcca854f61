#include "entry.h"

#include "fleet.h"
#include "home.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

enum
{
  PATIENCE_MS = 8000, /* covers a take-over: lease, seal, replay */
  TRY_AGAIN_MS = 40,
  COME_BACK_MS = 1000
};

struct EntryCall
{
  struct Entry *entry;
  struct Exchange *exchange;
  struct PeerRequest request;
  uint64_t id, link;
  int64_t give_up_ms;
  struct Timer *timer;
  bool sent;              /* some try left this instance: it may have run */
  bool begun;             /* the caller has the answer's head */
  struct PeerAnswer last; /* why the last try failed */
  /* A stream: what the caller has, so that a second answer can go on behind it. */
  size_t delivered_bytes, seen_bytes;
  XXH64_state_t *delivered, *seen;
  /* Any other answer, until its end is there. */
  uint8_t *body;
  size_t body_bytes;
  uint32_t status;
  UT_hash_handle by_id;
};

struct Entry
{
  struct Core *core;
  uint64_t next_id;
  struct EntryCall *calls;
};

static void
entry_try (struct EntryCall *call);

static int
entry_call_destroy (struct EntryCall *call)
{
  XXH64_freeState (call->delivered);
  XXH64_freeState (call->seen);
  return 0;
}

static void
entry_call_free (struct EntryCall *call)
{
  HASH_DELETE (by_id, call->entry->calls, call);
  call->exchange->core = NULL;
  talloc_free (call);
}

static void
entry_finish (struct EntryCall *call)
{
  struct Exchange *exchange = call->exchange;

  entry_call_free (call);
  exchange_end (exchange);
}

static void
entry_add_headers (struct EntryCall *call, const struct PeerAnswer *answer)
{
  struct Exchange *exchange = call->exchange;

  exchange_header (exchange, "X-Ran: %s", ran_name (answer->outcome.ran));
  if (answer->retry_after_ms > 0)
    exchange_header (exchange, "Retry-After: %u", (answer->retry_after_ms + 999) / 1000);
  if (answer->outcome.charge_tokens > 0)
    exchange_header (exchange, "X-Charge-Tokens: %llu",
                     (unsigned long long)answer->outcome.charge_tokens);
}

/* The last word to the caller when there is no answer of a backend server. */
static void
entry_fail (struct EntryCall *call, const struct PeerAnswer *answer)
{
  struct Exchange *exchange = call->exchange;
  char *json = error_json (NULL, &answer->fault, answer->outcome.ran, answer->retry_after_ms,
                           answer->expected_sequence);

  if (call->begun)
    {
      /* The head is gone: the stream says so itself, and has no "[DONE]". */
      exchange_chunk (exchange, "event: error\ndata: ", strlen ("event: error\ndata: "));
      exchange_chunk (exchange, json, strlen (json));
      exchange_chunk (exchange, "\n\n", 2);
    }
  else
    {
      entry_add_headers (call, answer);
      exchange_chunk (exchange, json, strlen (json));
      exchange_begin (exchange, error_http_status (answer->fault.error), false);
    }
  talloc_free (json);
  entry_finish (call);
}

/* Nothing further is tried: says what is known of the last try. */
static void
entry_give_up (struct EntryCall *call)
{
  struct PeerAnswer answer = call->last;

  if (answer.fault.error == ERROR_NONE)
    fault_set (&answer.fault, ERROR_UNREACHABLE, "send the same call again",
               "the program's home can not be reached");
  answer.outcome.error = answer.fault.error;
  /* A first attempt that never left did not run; of an earlier one nothing is known here. */
  answer.outcome.ran = call->sent || !call->exchange->request.first_attempt ? RAN_MAYBE : RAN_NO;
  if (answer.retry_after_ms == 0)
    answer.retry_after_ms = COME_BACK_MS + (uint32_t)(call->id % COME_BACK_MS);
  entry_fail (call, &answer);
}

static void
entry_on_retry (void *data)
{
  struct EntryCall *call = data;

  TALLOC_FREE (call->timer);
  entry_try (call);
}

static void
entry_try_later (struct EntryCall *call)
{
  struct TimerService *timers = call->entry->core->timers;

  call->link = PEER_LINK_NONE;
  TALLOC_FREE (call->timer);
  if (timer_now_ms (timers) >= call->give_up_ms)
    {
      entry_give_up (call);
      return;
    }
  call->timer = timer_subscribe (call, timers, TRY_AGAIN_MS, 0, entry_on_retry, call);
}

static uint64_t
entry_link_to_home (struct EntryCall *call)
{
  struct Core *core = call->entry->core;
  uint32_t partition = partition_of (call->request.call.key.program, core->settings->n_partitions);
  const char *home = home_lookup (core->home, partition);
  const struct FleetMember *member =
      home != NULL ? fleet_member_by_incarnation (core->fleet, home) : NULL;

  return member != NULL ? peer_net_link_to (core->net, member->instance) : PEER_LINK_NONE;
}

static void
entry_try (struct EntryCall *call)
{
  struct PeerMessage message = { .kind = PEER_REQUEST };
  uint64_t link = entry_link_to_home (call);

  call->seen_bytes = 0;
  call->body_bytes = 0;
  if (call->seen != NULL)
    XXH64_reset (call->seen, 0);
  message.request = call->request;
  message.request.id = call->id;
  message.request.first_attempt = call->request.first_attempt && !call->sent;
  if (link == PEER_LINK_NONE
      || peer_net_send (call->entry->core->net, link, &message) != ERROR_NONE)
    {
      entry_try_later (call);
      return;
    }
  if (link != PEER_LINK_SELF)
    counter_add (COUNTER_CALLS_FORWARDED, 1);
  call->link = link;
  call->sent = true;
}

void
entry_on_exchange (struct Entry *entry, struct Exchange *exchange)
{
  struct EntryCall *call = talloc_zero (entry, struct EntryCall);
  struct Fault fault;

  if (call == NULL)
    {
      char *json;

      fault_set (&fault, ERROR_NO_MEMORY, NULL, "out of memory");
      json = error_json (NULL, &fault, RAN_NO, COME_BACK_MS, 0);
      exchange_answer (exchange, 500, json, strlen (json));
      talloc_free (json);
      return;
    }
  call->entry = entry;
  call->exchange = exchange;
  call->request = exchange->request;
  call->id = entry->next_id++;
  call->give_up_ms = timer_now_ms (entry->core->timers) + PATIENCE_MS;
  if (exchange->request.call.stream)
    {
      call->delivered = XXH64_createState ();
      call->seen = XXH64_createState ();
      XXH64_reset (call->delivered, 0);
      talloc_set_destructor (call, entry_call_destroy);
    }
  exchange->core = call;
  HASH_ADD (by_id, entry->calls, id, sizeof call->id, call);
  entry_try (call);
}

void
entry_on_gone (struct Entry *entry, struct Exchange *exchange)
{
  struct EntryCall *call = exchange->core;
  struct PeerMessage cancel = { .kind = PEER_CANCEL };

  if (call != NULL)
    {
      cancel.cancel.id = call->id;
      peer_net_send (entry->core->net, call->link, &cancel);
      entry_finish (call);
    }
  exchange_release (exchange);
}

static struct EntryCall *
entry_call_find (struct Entry *entry, uint64_t link, uint64_t id)
{
  struct EntryCall *call;

  HASH_FIND (by_id, entry->calls, &id, sizeof id, call);
  /* A late answer to an earlier try comes over another link, and belongs to nobody. */
  return call != NULL && call->link == link ? call : NULL;
}

/* The second answer of a stream differs from what the caller already has. */
static void
entry_stream_differs (struct EntryCall *call)
{
  struct PeerAnswer answer = { 0 };
  struct PeerMessage cancel = { .kind = PEER_CANCEL };

  cancel.cancel.id = call->id;
  peer_net_send (call->entry->core->net, call->link, &cancel);
  answer.outcome.ran = RAN_MAYBE;
  answer.retry_after_ms = 1;
  fault_set (&answer.fault, ERROR_BACKEND, "send the same call again to get its whole answer",
             "the stream was cut, and what came after it is another answer");
  entry_fail (call, &answer);
}

static void
entry_stream (struct EntryCall *call, const uint8_t *bytes, size_t n_bytes)
{
  if (call->seen_bytes < call->delivered_bytes)
    {
      size_t n = call->delivered_bytes - call->seen_bytes;

      if (n > n_bytes)
        n = n_bytes;
      XXH64_update (call->seen, bytes, n);
      call->seen_bytes += n;
      bytes += n;
      n_bytes -= n;
      if (call->seen_bytes == call->delivered_bytes
          && XXH64_digest (call->seen) != XXH64_digest (call->delivered))
        {
          entry_stream_differs (call);
          return;
        }
    }
  if (n_bytes == 0)
    return;
  if (!call->begun)
    exchange_begin (call->exchange, call->status, true);
  call->begun = true;
  exchange_chunk (call->exchange, bytes, n_bytes);
  XXH64_update (call->delivered, bytes, n_bytes);
  call->delivered_bytes += n_bytes;
  call->seen_bytes += n_bytes;
}

bool
entry_on_chunk (struct Entry *entry, uint64_t link, const struct PeerChunk *chunk)
{
  struct EntryCall *call = entry_call_find (entry, link, chunk->id);

  if (call == NULL)
    return false;
  call->status = chunk->status;
  if (call->delivered != NULL && chunk->status == 200)
    {
      entry_stream (call, chunk->bytes, chunk->n_bytes);
      return true;
    }
  call->body = talloc_realloc (call, call->body, uint8_t, call->body_bytes + chunk->n_bytes);
  memcpy (call->body + call->body_bytes, chunk->bytes, chunk->n_bytes);
  call->body_bytes += chunk->n_bytes;
  return true;
}

/* The home has moved, or is about to: another instance has the answer. */
static bool
entry_error_is_passing (int32_t error)
{
  return error == ERROR_NOT_OWNER || error == ERROR_FENCED || error == ERROR_DRAINING;
}

static void
entry_succeed (struct EntryCall *call, const struct PeerAnswer *answer)
{
  if (!call->begun)
    {
      entry_add_headers (call, answer);
      exchange_chunk (call->exchange, call->body, call->body_bytes);
      exchange_begin (call->exchange, answer->outcome.status != 0 ? answer->outcome.status : 200,
                      false);
    }
  entry_finish (call);
}

bool
entry_on_answer (struct Entry *entry, uint64_t link, const struct PeerAnswer *answer)
{
  struct EntryCall *call = entry_call_find (entry, link, answer->id);

  if (call == NULL)
    return false;
  if (answer->outcome.error == ERROR_NONE)
    {
      /* A second answer that is shorter than what the caller has, or no stream at all, ends before
       * the two were compared: without this the stream would just stop. */
      if (call->begun && (call->seen_bytes < call->delivered_bytes || call->body_bytes > 0))
        entry_stream_differs (call);
      else
        entry_succeed (call, answer);
      return true;
    }
  if (!entry_error_is_passing (answer->outcome.error))
    {
      entry_fail (call, answer);
      return true;
    }
  /* Said of a first attempt, "not run" means that this try left no trace: the next one is the
   * first again. */
  if (answer->outcome.ran == RAN_NO)
    call->sent = false;
  call->last = *answer;
  entry_try_later (call);
  return true;
}

void
entry_on_link_closed (struct Entry *entry, uint64_t link)
{
  struct EntryCall *call, *next;

  HASH_ITER (by_id, entry->calls, call, next)
  {
    if (call->link != link)
      continue;
    memset (&call->last, 0, sizeof call->last);
    entry_try_later (call);
  }
}

uint32_t
entry_count (const struct Entry *entry)
{
  return HASH_CNT (by_id, entry->calls);
}

struct Entry *
entry_new (struct Core *core)
{
  struct Entry *entry = talloc_zero (core, struct Entry);

  if (entry == NULL)
    return NULL;
  entry->core = core;
  entry->next_id = ENTRY_ID_BASE;
  return entry;
}
