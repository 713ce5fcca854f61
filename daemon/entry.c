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
  RETRY_WINDOW_MS = 8000, /* covers a takeover: lease expiry, seal, replay */
  RETRY_DELAY_MS = 40,
  RETRY_AFTER_MS = 1000
};

struct EntryCall
{
  struct Entry *entry;
  struct Exchange *exchange;
  struct PeerRequest request;
  uint64_t id, link;
  int64_t retry_until_ms;
  struct Timer *timer;
  bool sent;                        /* the request left this instance: it may have run */
  bool head_sent;                   /* the caller has the response's head */
  struct PeerResponse last_failure; /* why the last send failed */
  /* Streams: length and hash of what the caller has received, and of the response to the last send.
   * A repeated response continues where the first one stopped if the two match. */
  size_t delivered_bytes, response_bytes;
  XXH64_state_t *delivered_hash, *response_hash;
  /* Other responses: buffered until complete. */
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
entry_send (struct EntryCall *call);

static int
entry_call_destroy (struct EntryCall *call)
{
  XXH64_freeState (call->delivered_hash);
  XXH64_freeState (call->response_hash);
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
entry_add_headers (struct EntryCall *call, const struct PeerResponse *response)
{
  struct Exchange *exchange = call->exchange;

  exchange_header (exchange, "X-Ran: %s", ran_name (response->outcome.ran));
  if (response->retry_after_ms > 0)
    exchange_header (exchange, "Retry-After: %u", (response->retry_after_ms + 999) / 1000);
  if (response->outcome.charge_tokens > 0)
    exchange_header (exchange, "X-Charge-Tokens: %llu",
                     (unsigned long long)response->outcome.charge_tokens);
}

/* Ends a request with an error instead of the response of a backend server. */
static void
entry_fail (struct EntryCall *call, const struct PeerResponse *response)
{
  struct Exchange *exchange = call->exchange;
  char *json = error_json (NULL, &response->fault, response->outcome.ran, response->retry_after_ms,
                           response->expected_sequence);

  if (call->head_sent)
    {
      /* The head was sent already, so the error is an event of the stream, without "[DONE]". */
      exchange_chunk (exchange, "event: error\ndata: ", strlen ("event: error\ndata: "));
      exchange_chunk (exchange, json, strlen (json));
      exchange_chunk (exchange, "\n\n", 2);
    }
  else
    {
      entry_add_headers (call, response);
      exchange_chunk (exchange, json, strlen (json));
      exchange_begin (exchange, error_http_status (response->fault.error), false);
    }
  talloc_free (json);
  entry_finish (call);
}

/* Stops retrying and reports the error of the last send. */
static void
entry_abandon (struct EntryCall *call)
{
  struct PeerResponse response = call->last_failure;

  if (response.fault.error == ERROR_NONE)
    fault_set (&response.fault, ERROR_UNREACHABLE, "send the same call again",
               "the program's home cannot be reached");
  response.outcome.error = response.fault.error;
  /* A first attempt that was not sent did not run. Whether a caller's earlier attempt ran is
   * unknown here. */
  response.outcome.ran = call->sent || !call->exchange->request.first_attempt ? RAN_MAYBE : RAN_NO;
  if (response.retry_after_ms == 0)
    response.retry_after_ms = RETRY_AFTER_MS + (uint32_t)(call->id % RETRY_AFTER_MS);
  entry_fail (call, &response);
}

static void
entry_on_retry (void *data)
{
  struct EntryCall *call = data;

  TALLOC_FREE (call->timer);
  entry_send (call);
}

static void
entry_retry_later (struct EntryCall *call)
{
  struct TimerService *timers = call->entry->core->timers;

  call->link = PEER_LINK_NONE;
  TALLOC_FREE (call->timer);
  if (timer_now_ms (timers) >= call->retry_until_ms)
    {
      entry_abandon (call);
      return;
    }
  call->timer = timer_subscribe (call, timers, RETRY_DELAY_MS, 0, entry_on_retry, call);
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
entry_send (struct EntryCall *call)
{
  struct PeerMessage message = { .kind = PEER_REQUEST };
  uint64_t link = entry_link_to_home (call);

  call->response_bytes = 0;
  call->body_bytes = 0;
  if (call->response_hash != NULL)
    XXH64_reset (call->response_hash, 0);
  message.request = call->request;
  message.request.id = call->id;
  message.request.first_attempt = call->request.first_attempt && !call->sent;
  if (link == PEER_LINK_NONE
      || peer_net_send (call->entry->core->net, link, &message) != ERROR_NONE)
    {
      entry_retry_later (call);
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
      json = error_json (NULL, &fault, RAN_NO, RETRY_AFTER_MS, 0);
      exchange_respond (exchange, 500, json, strlen (json));
      talloc_free (json);
      return;
    }
  call->entry = entry;
  call->exchange = exchange;
  call->request = exchange->request;
  call->id = entry->next_id++;
  call->retry_until_ms = timer_now_ms (entry->core->timers) + RETRY_WINDOW_MS;
  if (exchange->request.call.stream)
    {
      call->delivered_hash = XXH64_createState ();
      call->response_hash = XXH64_createState ();
      XXH64_reset (call->delivered_hash, 0);
      talloc_set_destructor (call, entry_call_destroy);
    }
  exchange->core = call;
  HASH_ADD (by_id, entry->calls, id, sizeof call->id, call);
  entry_send (call);
}

void
entry_on_disconnect (struct Entry *entry, struct Exchange *exchange)
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
entry_find_call (struct Entry *entry, uint64_t link, uint64_t id)
{
  struct EntryCall *call;

  HASH_FIND (by_id, entry->calls, &id, sizeof id, call);
  /* A late response to an earlier send arrives over another link and is ignored. */
  return call != NULL && call->link == link ? call : NULL;
}

/* Ends a stream whose second response differs from what the caller already has. */
static void
entry_fail_stream (struct EntryCall *call)
{
  struct PeerResponse response = { 0 };
  struct PeerMessage cancel = { .kind = PEER_CANCEL };

  cancel.cancel.id = call->id;
  peer_net_send (call->entry->core->net, call->link, &cancel);
  response.outcome.ran = RAN_MAYBE;
  response.retry_after_ms = 1;
  fault_set (&response.fault, ERROR_BACKEND,
             "send the same call again to get its complete response",
             "the stream was interrupted, and the repeated response differs from its start");
  entry_fail (call, &response);
}

static void
entry_continue_stream (struct EntryCall *call, const uint8_t *bytes, size_t n_bytes)
{
  if (call->response_bytes < call->delivered_bytes)
    {
      size_t n = call->delivered_bytes - call->response_bytes;

      if (n > n_bytes)
        n = n_bytes;
      XXH64_update (call->response_hash, bytes, n);
      call->response_bytes += n;
      bytes += n;
      n_bytes -= n;
      if (call->response_bytes == call->delivered_bytes
          && XXH64_digest (call->response_hash) != XXH64_digest (call->delivered_hash))
        {
          entry_fail_stream (call);
          return;
        }
    }
  if (n_bytes == 0)
    return;
  if (!call->head_sent)
    exchange_begin (call->exchange, call->status, true);
  call->head_sent = true;
  exchange_chunk (call->exchange, bytes, n_bytes);
  XXH64_update (call->delivered_hash, bytes, n_bytes);
  call->delivered_bytes += n_bytes;
  call->response_bytes += n_bytes;
}

bool
entry_on_chunk (struct Entry *entry, uint64_t link, const struct PeerChunk *chunk)
{
  struct EntryCall *call = entry_find_call (entry, link, chunk->id);

  if (call == NULL)
    return false;
  call->status = chunk->status;
  if (call->delivered_hash != NULL && chunk->status == 200)
    {
      entry_continue_stream (call, chunk->bytes, chunk->n_bytes);
      return true;
    }
  call->body = talloc_realloc (call, call->body, uint8_t, call->body_bytes + chunk->n_bytes);
  memcpy (call->body + call->body_bytes, chunk->bytes, chunk->n_bytes);
  call->body_bytes += chunk->n_bytes;
  return true;
}

/* The home has moved or is about to move: another instance can serve the request. */
static bool
entry_error_is_transient (int32_t error)
{
  return error == ERROR_NOT_OWNER || error == ERROR_FENCED || error == ERROR_DRAINING;
}

static void
entry_succeed (struct EntryCall *call, const struct PeerResponse *response)
{
  if (!call->head_sent)
    {
      entry_add_headers (call, response);
      exchange_chunk (call->exchange, call->body, call->body_bytes);
      exchange_begin (call->exchange,
                      response->outcome.status != 0 ? response->outcome.status : 200, false);
    }
  entry_finish (call);
}

bool
entry_on_response (struct Entry *entry, uint64_t link, const struct PeerResponse *response)
{
  struct EntryCall *call = entry_find_call (entry, link, response->id);

  if (call == NULL)
    return false;
  if (response->outcome.error == ERROR_NONE)
    {
      /* A second response that is shorter than what the caller has, or no stream, ends before the
       * two were compared. Without this the stream would end without an error. */
      if (call->head_sent && (call->response_bytes < call->delivered_bytes || call->body_bytes > 0))
        entry_fail_stream (call);
      else
        entry_succeed (call, response);
      return true;
    }
  if (!entry_error_is_transient (response->outcome.error))
    {
      entry_fail (call, response);
      return true;
    }
  /* For a first attempt, RAN_NO means that this send had no effect: the next one counts as the
   * first attempt again. */
  if (response->outcome.ran == RAN_NO)
    call->sent = false;
  call->last_failure = *response;
  entry_retry_later (call);
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
    memset (&call->last_failure, 0, sizeof call->last_failure);
    entry_retry_later (call);
  }
}

uint32_t
entry_n_calls (const struct Entry *entry)
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
