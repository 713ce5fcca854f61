#include "spooler_internal.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  TICK_MS = 20,
  REGISTER_RETRY_MS = 2000
};

static void
spooler_respond (struct Spooler *spooler, uint64_t link, uint64_t id, int32_t error)
{
  struct PeerMessage message = { .kind = PEER_RESPONSE };

  message.response.id = id;
  message.response.outcome.error = error;
  if (error != ERROR_NONE)
    fault_set (&message.response.fault, error, NULL, "the spool rejected the request");
  peer_net_send (spooler->core->net, link, &message);
}

/* A put is acknowledged after the next sync, which covers all puts received until then. */
static void
holder_on_put (struct Spooler *spooler, uint64_t link, const struct PeerMessage *message)
{
  struct SpoolerAck *ack;
  int32_t error = ERROR_NOT_FOUND;

  if (spooler->spool != NULL)
    error = spool_put (spooler->spool, message->spool.writer, message->spool.number,
                       message->spool.bytes, message->spool.n_bytes);
  if (error != ERROR_NONE)
    {
      spooler_respond (spooler, link, message->spool.id, error);
      return;
    }
  ack = talloc_zero (spooler, struct SpoolerAck);
  ack->link = link;
  ack->id = message->spool.id;
  ack->next = spooler->acks;
  spooler->acks = ack;
}

struct SpoolReader
{
  struct Spooler *spooler;
  uint64_t link, id;
};

static void
holder_send_record (void *data, uint64_t number, const uint8_t *record, size_t n_bytes)
{
  struct SpoolReader *to = data;
  struct PeerMessage message = { .kind = PEER_SPOOL_RECORD };

  message.spool.id = to->id;
  message.spool.number = number;
  message.spool.bytes = record;
  message.spool.n_bytes = n_bytes;
  peer_net_send (to->spooler->core->net, to->link, &message);
}

static void
holder_on_read (struct Spooler *spooler, uint64_t link, const struct PeerMessage *message)
{
  struct SpoolReader to = { spooler, link, message->spool.id };
  int32_t error = ERROR_NOT_FOUND;

  if (spooler->spool != NULL && message->spool.n_bytes == strlen (spool_id (spooler->spool))
      && memcmp (message->spool.bytes, spool_id (spooler->spool), message->spool.n_bytes) == 0)
    error = spool_seal (spooler->spool, message->spool.writer);
  if (error == ERROR_NONE)
    spool_each (spooler->spool, message->spool.writer, holder_send_record, &to);
  spooler_respond (spooler, link, message->spool.id, error);
}

void
spooler_on_message (struct Spooler *spooler, uint64_t link, const struct PeerMessage *message)
{
  switch (message->kind)
    {
    case PEER_SPOOL_PUT:
      holder_on_put (spooler, link, message);
      break;
    case PEER_SPOOL_DROP:
      if (spooler->spool != NULL)
        spool_drop (spooler->spool, message->spool.writer, message->spool.number);
      break;
    case PEER_SPOOL_READ:
      holder_on_read (spooler, link, message);
      break;
    case PEER_SPOOL_RECORD:
      spooler_collect_record (spooler, message);
      break;
    default:
      break;
    }
}

static void
holder_sync (struct Spooler *spooler)
{
  struct SpoolerAck *ack;
  int32_t error;

  if (spooler->acks == NULL)
    return;
  error = spool_sync (spooler->spool);
  while ((ack = spooler->acks) != NULL)
    {
      spooler->acks = ack->next;
      spooler_respond (spooler, ack->link, ack->id, error);
      talloc_free (ack);
    }
}

static void
spooler_on_registered (void *data, const struct KvResult *result)
{
  struct Spooler *spooler = data;

  spooler->registering = false;
  /* A conflict means that the key exists already, which suffices: disk ids are unique. */
  if (result->error == ERROR_NONE || result->error == ERROR_CONFLICT)
    spooler->registered = true;
}

static void
spooler_register (struct Spooler *spooler)
{
  int64_t now_ms = timer_now_ms (spooler->core->timers);
  const char *instance = spooler->core->settings->instance;
  struct KvRequest request = { .op = KV_OP_PUT };
  char key[KV_KEY_MAX_BYTES];

  if (spooler->spool == NULL || spooler->registered || spooler->registering
      || now_ms < spooler->register_next_ms)
    return;
  spooler->register_next_ms = now_ms + REGISTER_RETRY_MS;
  snprintf (key, sizeof key, "%sdisk/%s", spooler->core->settings->prefix,
            spool_id (spooler->spool));
  request.put.key = key;
  request.put.value = (const uint8_t *)instance;
  request.put.value_bytes = strlen (instance);
  request.put.condition = KV_IF_ABSENT;
  spooler->registering =
      kv_submit (spooler->core->kv, &request, spooler_on_registered, spooler) == ERROR_NONE;
}

bool
spooler_has_disk (const struct Spooler *spooler)
{
  return spooler->registered;
}

static void
spooler_on_tick (void *data)
{
  struct Spooler *spooler = data;

  holder_sync (spooler);
  spooler_register (spooler);
  spooler_writer_tick (spooler);
  spooler_collect_tick (spooler);
}

bool
spooler_on_response (struct Spooler *spooler, uint64_t link, const struct PeerResponse *response)
{
  return spooler_writer_on_response (spooler, link, response)
         || spooler_collect_on_response (spooler, response);
}

void
spooler_on_link_closed (struct Spooler *spooler, uint64_t link)
{
  spooler_writer_on_closed (spooler, link);
  spooler_collect_on_closed (spooler, link);
}

struct Spooler *
spooler_new (struct Core *core, struct Spool *spool)
{
  struct Spooler *spooler = talloc_zero (core, struct Spooler);

  if (spooler == NULL)
    return NULL;
  spooler->core = core;
  spooler->spool = spool;
  spooler->next_id = SPOOLER_ID_BASE;
  spooler->next_number = 1;
  if (timer_subscribe (spooler, core->timers, TICK_MS, TICK_MS, spooler_on_tick, spooler) == NULL)
    TALLOC_FREE (spooler);
  return spooler;
}
