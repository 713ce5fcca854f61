#include <buckthornhead/gateway.h>

#include "archive.h"
#include "first_id.h"
#include "front.h"
#include "metrics.h"

#include <buckthornhead/clock.h>
#include <buckthornhead/log.h>
#include <buckthornhead/net_socket.h>
#include <buckthornhead/process_signals.h>
#include <buckthornhead/process_start.h>
#include <buckthornhead/timer_tevent.h>

#include <platform.h>
#include <stdio.h>
#include <string.h>

enum
{
  STORE_TIMEOUT_MS = 900, /* per call; the store responds in about 4 ms, if slow in 250 */
  STOP_CHECK_MS = 100
};

struct Gateway
{
  struct Node node;
  struct Front *front;     /* NULL in an archive */
  struct Archive *archive; /* NULL in a gateway */
  bool stopping, done;
};

static void
gateway_on_stop_check (void *data)
{
  struct Gateway *gateway = data;

  gateway->done = gateway->front == NULL || front_is_done (gateway->front);
  if (!gateway->done)
    front_end_requests (gateway->front);
}

static void
gateway_on_stop (void *data, int number)
{
  struct Gateway *gateway = data;

  if (gateway->stopping)
    return;
  log_event (LOG_LEVEL_NOTICE, "stop_asked", NULL, NULL, "signal %d", number);
  gateway->stopping = true;
  if (gateway->front != NULL)
    front_stop (gateway->front);
  timer_subscribe (gateway->node.events, gateway->node.timers, 0, STOP_CHECK_MS,
                   gateway_on_stop_check, gateway);
}

/* An address that must be available before the role is opened. */
struct Address
{
  const char *listen, *setting;
};

/* Checks all addresses but the callers', which is the first one that the role opens. */
static int32_t
gateway_check_addresses (const struct GatewaySettings *s, struct Fault *fault)
{
  const struct Address addresses[] = {
    { s->peer_listen, "[listen] peer" },
    { s->ready_listen, "[listen] ready" },
    { s->directory_listen, "[listen] directory" },
  };

  for (size_t i = 0; i < sizeof addresses / sizeof addresses[0]; i++)
    if (addresses[i].listen[0] != '\0'
        && net_check_listen (addresses[i].listen, addresses[i].setting, fault) != ERROR_NONE)
      return fault->error;
  return ERROR_NONE;
}

/* Opens what the role needs. An address that is not available fails the start before: an archive
 * would replay its whole log in vain, and a gateway would accept callers and reset them. */
static int32_t
gateway_open_role (struct Gateway *gateway, struct Fault *fault)
{
  struct Node *node = &gateway->node;

  if (gateway_check_addresses (node->settings, fault) != ERROR_NONE)
    return fault->error;
  if (!node_is_archive (node))
    return front_new (node->events, node, &gateway->front, fault);
  return archive_new (node->events, node, &gateway->archive, fault);
}

static int32_t
gateway_start (struct Gateway *gateway, const struct GatewaySettings *settings, struct Fault *fault)
{
  struct Node *node = &gateway->node;
  struct CurlLoop *curl;
  int32_t error;

  node->settings = settings;
  node->dialect = &platform_dialect;
  node->next_id = first_id ();
  node->events = tevent_context_init (gateway);
  node->timers = node->events != NULL ? timer_tevent_new (node->events, node->events) : NULL;
  curl = node->events != NULL ? curl_loop_new (node->events, node->events) : NULL;
  if (node->timers == NULL || curl == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, "raise the limits of descriptors and memory",
                      "no memory or descriptors for the event loop");
  node->store = platform_store_new (curl, curl, settings->store_url, STORE_TIMEOUT_MS);
  if (node->store == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the store's client");
  error = gateway_open_role (gateway, fault);
  if (error != ERROR_NONE)
    return error;
  if (!process_signals_handle (node->events, node->events, gateway_on_stop, gateway))
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the signal handlers");
  metrics_listen (node, gateway->front);
  return node_start (node, fault);
}

/* Logs which decisions are switched off, so that results aren't attributed to a mechanism that is
 * not running. */
static void
gateway_log_decisions (const struct Decisions *d)
{
  static const char *const states[] = { "off", "on", "auto" };

  log_event (LOG_LEVEL_NOTICE, "decisions", NULL, NULL,
             "sessions %s, parts %s, objects %s, zones %s, failures %s, owners %s, order %s, "
             "patience %s, resume %s, under_way %s, admission %s, pace %s, plain_queues %s",
             states[d->sessions], states[d->parts], states[d->objects], states[d->zones],
             states[d->failures], states[d->owners], states[d->order], states[d->patience],
             states[d->resume], states[d->under_way], states[d->admission], states[d->pace],
             states[d->plain_queues]);
}

int32_t
gateway_run (const struct GatewaySettings *settings, struct Fault *fault)
{
  struct Gateway *gateway = talloc_zero (NULL, struct Gateway);
  int64_t started_ms = clock_monotonic_ms ();
  int32_t error;

  process_start_begin (settings->instance, settings->zone);
  if (gateway == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "out of memory");
  error = gateway_start (gateway, settings, fault);
  if (error != ERROR_NONE)
    {
      if (!error_may_pass (error))
        log_event (LOG_LEVEL_ERROR, "start_failed", NULL, fault->remedy, "%s", fault->message);
      goto out;
    }
  log_event (LOG_LEVEL_NOTICE, "started", NULL, NULL, "%s, after %lld ms",
             node_is_archive (&gateway->node) ? "archive" : "gateway",
             (long long)(clock_monotonic_ms () - started_ms));
  gateway_log_decisions (&settings->decisions);
  process_signals_unblock ();
  while (!gateway->done)
    if (tevent_loop_once (gateway->node.events) != 0)
      {
        error = ERROR_IO;
        break;
      }
  process_signals_block ();
  log_event (LOG_LEVEL_NOTICE, "stopped", NULL, NULL, NULL);

out:
  talloc_free (gateway);
  return error;
}
