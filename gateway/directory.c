#include "directory.h"

#include "loop_echo.h"
#include "store_reader.h"

#include <buckthornhead/http_server.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  /* A caller waits a second for a list and then asks another gateway. */
  DIRECTORY_HOLD_MS = 850,
  DIRECTORY_CHECK_MS = 25,
  /* Gateways that sent nothing for longer are not waited for. */
  DIRECTORY_KNOWN_MS = 30 * 1000
};

/* A caller that waits for a list. */
struct Asker
{
  struct Front *front;
  struct HttpExchange *exchange;
  char zone[NAME_MAX_BYTES + 1];
};

/* The ready gateways, or with also_starting all that live: those hold what comes until they are
 * ready. The texts are the node's. */
static struct AddressCandidate *
directory_candidates (
    struct Front *front, TALLOC_CTX *ctx, const char *zone, bool also_starting, size_t *n)
{
  const struct Node *node = front->node;
  const struct PeerTable *table = node->peers;
  struct AddressCandidate *candidates =
      talloc_array (ctx, struct AddressCandidate, table->n_peers + 1);

  *n = 0;
  if (candidates == NULL)
    return NULL;
  if (front_is_ready (front) || also_starting)
    candidates[(*n)++] = (struct AddressCandidate){ node->settings->caller_listen,
                                                    strcmp (zone, node->settings->zone) == 0,
                                                    loop_echo_is_strained (front->echo) };
  for (size_t i = 0; i < table->n_peers; i++)
    {
      const struct NodeStatus *status = &table->peers[i]->status;

      if ((status->ready || also_starting) && !status->leaving && status->caller_address[0] != '\0'
          && node_peer_is_live (node, table->peers[i]))
        candidates[(*n)++] =
            (struct AddressCandidate){ status->caller_address, strcmp (zone, status->zone) == 0,
                                       status->strained };
    }
  return candidates;
}

/* Gateways of the zone that were there lately, ready or not. */
static size_t
directory_known (const struct Front *front, const char *zone)
{
  const struct Node *node = front->node;
  int64_t now_ms = timer_now_ms (node->timers);
  size_t n = strcmp (zone, node->settings->zone) == 0;

  for (size_t i = 0; i < node->peers->n_peers; i++)
    {
      const struct Peer *peer = node->peers->peers[i];

      n += !peer->status.is_archive && !peer->status.leaving
           && strcmp (peer->status.zone, zone) == 0
           && (node_peer_is_live (node, peer) || now_ms - peer->known_ms < DIRECTORY_KNOWN_MS);
    }
  return n;
}

static size_t
count_near (const struct AddressCandidate *candidates, size_t n)
{
  size_t n_near = 0;

  for (size_t i = 0; i < n; i++)
    n_near += candidates[i].near;
  return n_near;
}

static void
directory_send (struct Front *front,
                struct HttpExchange *exchange,
                const struct AddressCandidate *candidates,
                size_t n)
{
  struct HttpHeader type = { "Content-Type", "application/json" };
  struct HttpHeaders headers = { &type, 1 };
  const char *addresses[ADDRESSES_MAX];
  char caller[HTTP_CALLER_BYTES];
  char *body = NULL;

  http_exchange_caller (exchange, caller);
  n = address_choose (candidates, n, caller, addresses);
  if (n > 0)
    body =
        front->node->dialect->write_addresses (front, addresses, n, front->node->settings->keep_s);
  if (body != NULL)
    http_exchange_answer (exchange, 200, &headers, body, strlen (body));
  else
    http_exchange_answer (exchange, 503, NULL, NULL, 0);
  talloc_free (body);
}

/* Answers if the list is good enough, or in any case; false when the caller is to wait. */
static bool
directory_try (struct Front *front,
               struct HttpExchange *exchange,
               const char *zone,
               bool in_any_case)
{
  size_t n, n_known = directory_known (front, zone);
  struct AddressCandidate *candidates = directory_candidates (front, front, zone, false, &n);
  size_t n_near = count_near (candidates, n);
  bool thin =
      !store_reader_knows_nodes (front->node->reader) || address_list_is_thin (n_near, n_known);

  if (thin && in_any_case)
    {
      talloc_free (candidates);
      candidates = directory_candidates (front, front, zone, true, &n);
      log_event (LOG_LEVEL_WARNING, "addresses_thin", NULL, NULL,
                 "%zu of some %zu gateways of %s are ready, %zu live there, %zu in all", n_near,
                 n_known, zone, count_near (candidates, n), n);
    }
  if (!thin || in_any_case)
    directory_send (front, exchange, candidates, n);
  talloc_free (candidates);
  return !thin || in_any_case;
}

static void
asker_on_gone (struct HttpExchange *exchange)
{
  talloc_free (exchange->handler_data);
}

static void
asker_on_check (void *data)
{
  struct Asker *asker = data;
  struct HttpExchange *exchange = asker->exchange;
  int64_t waited_ms = timer_now_ms (asker->front->node->timers) - exchange->arrived_ms;

  exchange->gone = NULL;
  if (directory_try (asker->front, exchange, asker->zone, waited_ms >= DIRECTORY_HOLD_MS))
    {
      talloc_free (asker);
      return;
    }
  exchange->gone = asker_on_gone;
}

void
directory_answer (struct Front *front, struct HttpExchange *exchange)
{
  char zone[NAME_MAX_BYTES + 1];
  struct Asker *asker;

  front->node->dialect->asker_zone (exchange->target, zone);
  if (directory_try (front, exchange, zone, !front_is_starting (front)))
    return;
  asker = talloc_zero (front, struct Asker);
  if (asker == NULL
      || timer_subscribe (asker, front->node->timers, DIRECTORY_CHECK_MS, DIRECTORY_CHECK_MS,
                          asker_on_check, asker)
             == NULL)
    {
      talloc_free (asker);
      directory_try (front, exchange, zone, true);
      return;
    }
  asker->front = front;
  asker->exchange = exchange;
  snprintf (asker->zone, sizeof asker->zone, "%s", zone);
  exchange->handler_data = asker;
  exchange->gone = asker_on_gone;
}
