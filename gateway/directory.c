#include "directory.h"

#include "loop_echo.h"
#include "store_reader.h"

#include <buckthornhead/http_server.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  /* Callers time out after a second and query another gateway. */
  DIRECTORY_DEFER_MS = 850,
  DIRECTORY_CHECK_MS = 25,
  /* A gateway that is not live is only expected for this long after it was added to the table. */
  DIRECTORY_EXPECT_MS = 30 * 1000
};

/* A deferred query. */
struct PendingQuery
{
  struct Front *front;
  struct HttpExchange *exchange;
  char zone[NAME_MAX_BYTES + 1];
};

/* Returns the ready gateways, or with include_starting all live ones: gateways that are not ready
 * yet defer their calls until they are. The addresses are owned by the node. */
static struct AddressCandidate *
directory_candidates (
    struct Front *front, TALLOC_CTX *ctx, const char *zone, bool include_starting, size_t *n)
{
  const struct Node *node = front->node;
  const struct PeerTable *table = node->peers;
  struct AddressCandidate *candidates =
      talloc_array (ctx, struct AddressCandidate, table->n_peers + 1);

  *n = 0;
  if (candidates == NULL)
    return NULL;
  if (front_is_ready (front) || include_starting)
    candidates[(*n)++] = (struct AddressCandidate){ node->settings->caller_listen,
                                                    strcmp (zone, node->settings->zone) == 0,
                                                    loop_echo_is_overloaded (front->echo) };
  for (size_t i = 0; i < table->n_peers; i++)
    {
      const struct NodeStatus *status = &table->peers[i]->status;

      if ((status->ready || include_starting) && !status->leaving
          && status->caller_address[0] != '\0' && node_peer_is_live (node, table->peers[i]))
        candidates[(*n)++] =
            (struct AddressCandidate){ status->caller_address, strcmp (zone, status->zone) == 0,
                                       status->overloaded };
    }
  return candidates;
}

/* Returns the number of gateways of the zone that are live or were added recently, ready or not. */
static size_t
directory_count_expected (const struct Front *front, const char *zone)
{
  const struct Node *node = front->node;
  int64_t now_ms = timer_now_ms (node->timers);
  size_t n = strcmp (zone, node->settings->zone) == 0;

  for (size_t i = 0; i < node->peers->n_peers; i++)
    {
      const struct Peer *peer = node->peers->peers[i];

      n += !peer->status.is_archive && !peer->status.leaving
           && strcmp (peer->status.zone, zone) == 0
           && (node_peer_is_live (node, peer) || now_ms - peer->added_ms < DIRECTORY_EXPECT_MS);
    }
  return n;
}

static size_t
count_near (const struct AddressCandidate *candidates, size_t n)
{
  size_t n_near = 0;

  for (size_t i = 0; i < n; i++)
    n_near += candidates[i].in_zone;
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
  n = address_list_select (candidates, n, caller, addresses);
  if (n > 0)
    body =
        front->node->dialect->write_addresses (front, addresses, n, front->node->settings->keep_s);
  if (body != NULL)
    http_exchange_respond (exchange, 200, &headers, body, strlen (body));
  else
    http_exchange_respond (exchange, 503, NULL, NULL, 0);
  talloc_free (body);
}

/* Responds if the list is good enough or force is set. Returns false if the query is to be
 * deferred. */
static bool
directory_try (struct Front *front, struct HttpExchange *exchange, const char *zone, bool force)
{
  size_t n, n_expected = directory_count_expected (front, zone);
  struct AddressCandidate *candidates = directory_candidates (front, front, zone, false, &n);
  size_t n_near = count_near (candidates, n);
  bool thin = !store_reader_has_nodes (front->node->reader)
              || address_list_is_too_short (n_near, n_expected);

  if (thin && force)
    {
      talloc_free (candidates);
      candidates = directory_candidates (front, front, zone, true, &n);
      log_event (LOG_LEVEL_WARNING, "addresses_thin", NULL, NULL,
                 "%zu of about %zu gateways in zone %s are ready, %zu live there, %zu in all",
                 n_near, n_expected, zone, count_near (candidates, n), n);
    }
  if (!thin || force)
    directory_send (front, exchange, candidates, n);
  talloc_free (candidates);
  return !thin || force;
}

static void
query_on_disconnect (struct HttpExchange *exchange)
{
  talloc_free (exchange->handler_data);
}

static void
query_on_check (void *data)
{
  struct PendingQuery *query = data;
  struct HttpExchange *exchange = query->exchange;
  int64_t waited_ms = timer_now_ms (query->front->node->timers) - exchange->arrived_ms;

  exchange->on_disconnect = NULL;
  if (directory_try (query->front, exchange, query->zone, waited_ms >= DIRECTORY_DEFER_MS))
    {
      talloc_free (query);
      return;
    }
  exchange->on_disconnect = query_on_disconnect;
}

void
directory_answer (struct Front *front, struct HttpExchange *exchange)
{
  char zone[NAME_MAX_BYTES + 1];
  struct PendingQuery *query;

  front->node->dialect->read_query_zone (exchange->target, zone);
  if (directory_try (front, exchange, zone, !front_is_starting (front)))
    return;
  query = talloc_zero (front, struct PendingQuery);
  if (query == NULL
      || timer_subscribe (query, front->node->timers, DIRECTORY_CHECK_MS, DIRECTORY_CHECK_MS,
                          query_on_check, query)
             == NULL)
    {
      talloc_free (query);
      directory_try (front, exchange, zone, true);
      return;
    }
  query->front = front;
  query->exchange = exchange;
  snprintf (query->zone, sizeof query->zone, "%s", zone);
  exchange->handler_data = query;
  exchange->on_disconnect = query_on_disconnect;
}
