#include <buckthornhead/daemon.h>

#include "core.h"
#include "drain.h"
#include "entry.h"
#include "fleet.h"
#include "home.h"
#include "operator.h"
#include "owner.h"
#include "spooler.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/instances_http.h>
#include <buckthornhead/kv_http.h>
#include <buckthornhead/log.h>
#include <buckthornhead/timer_tevent.h>

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <curl/curl.h>

enum
{
  KV_TIMEOUT_MS = 2000,
  CONFIG_POLL_MS = 1000,
  CONFIG_ENTRIES_AT_ONCE = 64
};

struct Daemon
{
  struct Core *core;
  struct Drain *drain;
  bool stopped;
};

static void
daemon_receive_mail (void *data, struct Mail *mail)
{
  struct Daemon *daemon = data;
  struct Core *core = daemon->core;
  struct Exchange *exchange;

  switch (mail->kind)
    {
    case MAIL_CALLER_REQUEST:
      exchange = (struct Exchange *)mail;
      if (exchange->kind == EXCHANGE_CALLER)
        entry_on_exchange (core->entry, exchange);
      else
        operator_on_exchange (core->operators, exchange);
      return;
    case MAIL_CALLER_GONE:
      exchange = ((struct GoneMail *)mail)->exchange;
      if (exchange->kind == EXCHANGE_CALLER)
        entry_on_gone (core->entry, exchange);
      else
        operator_on_gone (core->operators, exchange);
      break;
    case MAIL_BACKEND_CHUNK:
    case MAIL_BACKEND_END:
      owner_on_backend_event (core->owner, (struct BackendMail *)mail);
      break;
    default:
      break;
    }
  talloc_free (mail);
}

/* A peer has a later configuration: asks it for the changes between. */
static void
daemon_compare_config (struct Core *core, const struct PeerHeartbeat *heartbeat)
{
  struct PeerMessage want = { .kind = PEER_CONFIG_WANT };
  uint64_t own = config_log_revision (core->config);

  if (heartbeat->config_revision <= own)
    return;
  want.config_want.from = own + 1;
  peer_net_send (core->net, peer_net_link_to (core->net, heartbeat->instance), &want);
}

static void
daemon_send_config (struct Core *core, uint64_t link, uint64_t from)
{
  TALLOC_CTX *ctx = talloc_new (core);
  uint64_t last = config_log_revision (core->config);

  for (uint64_t n = from; n <= last && n < from + CONFIG_ENTRIES_AT_ONCE; n++)
    {
      struct PeerMessage entry = { .kind = PEER_CONFIG_ENTRY };

      entry.config_entry.bytes =
          config_log_entry (core->config, ctx, n, &entry.config_entry.n_bytes);
      if (entry.config_entry.bytes != NULL)
        peer_net_send (core->net, link, &entry);
    }
  talloc_free (ctx);
}

static void
daemon_on_chunk (struct Core *core, uint64_t link, const struct PeerChunk *chunk)
{
  if (chunk->id >= ENTRY_ID_BASE)
    entry_on_chunk (core->entry, link, chunk);
  else if (chunk->id >= OPERATOR_ID_BASE)
    operator_on_chunk (core->operators, chunk);
  else
    home_on_chunk (core->home, chunk);
}

static void
daemon_on_answer (struct Core *core, uint64_t link, const struct PeerAnswer *answer)
{
  if (answer->id >= ENTRY_ID_BASE)
    entry_on_answer (core->entry, link, answer);
  else if (answer->id >= OPERATOR_ID_BASE)
    operator_on_answer (core->operators, answer);
  else if (answer->id >= SPOOLER_ID_BASE)
    spooler_on_answer (core->spooler, link, answer);
  else
    home_on_answer (core->home, answer);
}

static void
daemon_on_message (void *data,
                   uint64_t link,
                   const char *instance,
                   const struct PeerMessage *message)
{
  struct Core *core = ((struct Daemon *)data)->core;

  (void)instance;
  switch (message->kind)
    {
    case PEER_HELLO:
      break;
    case PEER_HEARTBEAT:
      fleet_on_heartbeat (core->fleet, &message->heartbeat);
      daemon_compare_config (core, &message->heartbeat);
      break;
    case PEER_REQUEST:
      home_on_request (core->home, link, &message->request);
      break;
    case PEER_DISPATCH:
      owner_on_dispatch (core->owner, link, &message->dispatch);
      break;
    case PEER_CANCEL:
      if (message->cancel.id >= ENTRY_ID_BASE)
        home_on_cancel (core->home, link, message->cancel.id);
      else
        owner_on_cancel (core->owner, link, message->cancel.id);
      break;
    case PEER_CHUNK:
      daemon_on_chunk (core, link, &message->chunk);
      break;
    case PEER_ANSWER:
      daemon_on_answer (core, link, &message->answer);
      break;
    case PEER_RELEASE:
      owner_on_release (core->owner, link, message->release.id, message->release.program,
                        message->release.backend);
      break;
    case PEER_CONFIG_WANT:
      daemon_send_config (core, link, message->config_want.from);
      break;
    case PEER_CONFIG_ENTRY:
      config_log_take_entry (core->config, message->config_entry.bytes,
                             message->config_entry.n_bytes);
      break;
    case PEER_QUARANTINE:
      home_on_death (core->home, message->quarantine.digest, message->quarantine.server);
      break;
    case PEER_SPOOL_PUT:
    case PEER_SPOOL_DROP:
    case PEER_SPOOL_READ:
    case PEER_SPOOL_RECORD:
      spooler_on_message (core->spooler, link, message);
      break;
    }
}

static void
daemon_on_link_closed (void *data, uint64_t link, const char *instance)
{
  struct Core *core = ((struct Daemon *)data)->core;

  (void)instance;
  entry_on_link_closed (core->entry, link);
  home_on_link_closed (core->home, link);
  owner_on_link_closed (core->owner, link);
  spooler_on_link_closed (core->spooler, link);
}

static bool
config_drains (const struct ConfigState *state, const char *instance)
{
  for (size_t i = 0; i < state->n_draining; i++)
    if (strcmp (state->draining[i], instance) == 0)
      return true;
  return false;
}

static void
daemon_on_config (void *data, struct ConfigState *state)
{
  struct Daemon *daemon = data;
  struct Core *core = daemon->core;

  talloc_free (core->state);
  core->state = talloc_steal (core, state);
  counter_add (COUNTER_CONFIG_APPLIED, 1);
  log_event (LOG_LEVEL_NOTICE, "config_in_force", NULL, NULL, "revision %llu",
             (unsigned long long)state->revision);
  if (daemon->drain != NULL)
    drain_set (daemon->drain, config_drains (state, core->settings->instance));
}
