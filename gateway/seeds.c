#include "seeds.h"

#include "store_reader.h"

#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum
{
  SEEDS_MAX = 3,
  /* Interval of queries until the first response: when the whole fleet restarts, the seeds start at
   * the same time as the other processes. */
  QUERY_RETRY_MS = 150,
  /* First interval after that, doubled with each query up to the maximum: while a fleet starts,
   * each process that queries a seed adds to those that the seed can return. */
  QUERY_INTERVAL_MS = 250,
  QUERY_INTERVAL_MAX_MS = 4000,
  /* Without a response, the store is read after AWAIT_MS and a part of AWAIT_SPREAD_MS that depends
   * on the process's rank. The processes don't read at the same time: where no seed is left, the
   * first ones to read and register are found by the others. */
  AWAIT_MS = 800,
  AWAIT_SPREAD_MS = 1200
};

struct Seeds
{
  struct Node *node;
  char addresses[SEEDS_MAX][ADDRESS_MAX_BYTES + 1]; /* of the peer listeners; used as names, too */
  size_t n;
  bool has_own;
  size_t next; /* index, modulo n, of the next seed to query */
  uint32_t n_queries;
  int64_t interval_ms;
  bool answered;
};

/* Copies the address in the first n bytes of seed, with port in place of its own port unless port
 * is 0. */
static void
seed_address (char address[ADDRESS_MAX_BYTES + 1], const char *seed, size_t n, uint32_t port)
{
  const char *end = memchr (seed, ':', n);

  if (port == 0 || end == NULL)
    snprintf (address, ADDRESS_MAX_BYTES + 1, "%.*s", (int)n, seed);
  else
    snprintf (address, ADDRESS_MAX_BYTES + 1, "%.*s:%u", (int)(end - seed), seed, port);
}

static void
seeds_read (struct Seeds *seeds)
{
  const struct GatewaySettings *settings = seeds->node->settings;
  const char *at = settings->seeds;

  while (*at != '\0' && seeds->n < SEEDS_MAX)
    {
      size_t n = strcspn (at, ",");
      char *address = seeds->addresses[seeds->n];

      seed_address (address, at, n, settings->seed_port);
      if (strcmp (address, node_address (seeds->node)) == 0)
        seeds->has_own = true;
      else if (n > 0)
        {
          peer_net_set_address (seeds->node->net, address, address);
          seeds->n++;
        }
      at += n + (at[n] == ',');
    }
}

static void
seed_query (struct Seeds *seeds, size_t i)
{
  const struct GatewayMessage want = { .kind = GATEWAY_SNAPSHOT_WANT,
                                       .snapshot_want = SNAPSHOT_CONTACTS };

  node_introduce (seeds->node, seeds->addresses[i]);
  node_send (seeds->node, seeds->addresses[i], &want);
}

static void
seeds_on_query (void *data)
{
  struct Seeds *seeds = data;
  const struct Node *node = seeds->node;
  int64_t now_ms = timer_now_ms (node->timers);
  bool is_repeat = seeds->n_queries++ > 0;

  if (!is_repeat || !peer_table_is_served (node->peers, now_ms))
    {
      /* Seeds and aggregators query every seed, so that processes that have contacted different
       * seeds find each other. */
      if (seeds->has_own || (is_repeat && peer_table_is_aggregator (node->peers, now_ms)))
        for (size_t i = 0; i < seeds->n; i++)
          seed_query (seeds, i);
      else
        seed_query (seeds, seeds->next++ % seeds->n);
    }
  if (seeds->answered && seeds->interval_ms < QUERY_INTERVAL_MAX_MS)
    seeds->interval_ms *= 2;
  timer_subscribe (seeds, node->timers, seeds->answered ? seeds->interval_ms : QUERY_RETRY_MS, 0,
                   seeds_on_query, seeds);
}

struct Seeds *
seeds_new (struct Node *node)
{
  struct Seeds *seeds = talloc_zero (node->net, struct Seeds);

  if (seeds == NULL)
    return NULL;
  seeds->node = node;
  seeds->interval_ms = QUERY_INTERVAL_MS / 2;
  seeds_read (seeds);
  if (seeds->n == 0 || timer_subscribe (seeds, node->timers, 0, 0, seeds_on_query, seeds) == NULL)
    {
      talloc_free (seeds);
      return NULL;
    }
  seeds->next = XXH64 (node->settings->zone, strlen (node->settings->zone), 0) % seeds->n;
  return seeds;
}

bool
seeds_have_own (const struct Seeds *seeds)
{
  return seeds != NULL && seeds->has_own;
}

bool
seeds_are_awaited (const struct Seeds *seeds)
{
  const struct Node *node;

  if (seeds == NULL || seeds->answered)
    return false;
  node = seeds->node;
  return timer_now_ms (node->timers) - node->started_ms
         < AWAIT_MS + (int64_t)(node->peers->own_rank % AWAIT_SPREAD_MS);
}

static void
contacts_add (struct Snapshot *contacts, const struct NodeStatus *status)
{
  struct SnapshotItem *item = &contacts->items[contacts->n_items];
  uint8_t *packed;

  if (node_status_encode (contacts, status, &packed, &item->value_bytes) != ERROR_NONE)
    return;
  snprintf (item->key, sizeof item->key, "%s", status->node);
  item->value = packed;
  contacts->n_items++;
}

struct Snapshot *
seeds_contacts (const struct Node *node, TALLOC_CTX *ctx)
{
  const struct Peer *peers[PEER_TABLE_CONTACTS_MAX];
  size_t n = peer_table_contacts (node->peers, timer_now_ms (node->timers), peers);
  struct Snapshot *contacts = talloc_zero (ctx, struct Snapshot);

  if (contacts == NULL)
    return NULL;
  contacts->kind = SNAPSHOT_CONTACTS;
  contacts->items = talloc_zero_array (contacts, struct SnapshotItem, n + 1);
  if (contacts->items == NULL)
    {
      talloc_free (contacts);
      return NULL;
    }
  contacts_add (contacts, &node->peers->own);
  for (size_t i = 0; i < n; i++)
    contacts_add (contacts, &peers[i]->status);
  return contacts;
}

void
seeds_take_contacts (struct Seeds *seeds, const struct Snapshot *contacts)
{
  struct Node *node = seeds->node;
  struct NodeStatus status;

  for (size_t i = 0; i < contacts->n_items; i++)
    if (node_status_decode (contacts->items[i].value, contacts->items[i].value_bytes, &status)
        == ERROR_NONE)
      node_add_peer (node, &status);
  if (!seeds->answered)
    log_event (LOG_LEVEL_INFO, "seed_answered", NULL, NULL, "%zu processes received after %lld ms",
               contacts->n_items, (long long)(timer_now_ms (node->timers) - node->started_ms));
  seeds->answered = true;
  store_reader_mark_contacts_received (node->reader);
  node_announce (node);
}
