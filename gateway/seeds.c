#include "seeds.h"

#include "store_reader.h"

#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum
{
  SEEDS_MAX = 3,
  /* Between two questions, until one is answered: after a stop of everything the seeds start with
   * the others. */
  ASK_FIRST_MS = 150,
  /* Then, doubled each time: while a fleet starts a seed knows more processes with each that asks.
   */
  ASK_AGAIN_MS = 250,
  ASK_AGAIN_MAX_MS = 4000,
  /* Then the store is read. Not by all at once: where no seed is left, the first to read and
   * register are found by the others. */
  AWAIT_MS = 800,
  AWAIT_SPREAD_MS = 1200
};

struct Seeds
{
  struct Node *node;
  char addresses[SEEDS_MAX][ADDRESS_MAX_BYTES + 1]; /* of the peer listeners; also their names */
  size_t n;
  bool has_own;
  size_t next; /* the one that is asked next */
  uint32_t n_asked;
  int64_t pause_ms;
  bool answered;
};

/* seed is not terminated. port 0: the one that it names. */
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
          peer_net_know (seeds->node->net, address, address);
          seeds->n++;
        }
      at += n + (at[n] == ',');
    }
}

static void
seed_ask (struct Seeds *seeds, size_t i)
{
  const struct GatewayMessage want = { .kind = GATEWAY_SNAPSHOT_WANT,
                                       .snapshot_want = SNAPSHOT_CONTACTS };

  node_introduce (seeds->node, seeds->addresses[i]);
  node_send (seeds->node, seeds->addresses[i], &want);
}

static void
seeds_on_ask (void *data)
{
  struct Seeds *seeds = data;
  const struct Node *node = seeds->node;
  int64_t now_ms = timer_now_ms (node->timers);
  bool again = seeds->n_asked++ > 0;

  if (!again || !peer_table_is_served (node->peers, now_ms))
    {
      /* Those that speak for their zones join what different seeds know. */
      if (seeds->has_own || (again && peer_table_is_aggregator (node->peers, now_ms)))
        for (size_t i = 0; i < seeds->n; i++)
          seed_ask (seeds, i);
      else
        seed_ask (seeds, seeds->next++ % seeds->n);
    }
  if (seeds->answered && seeds->pause_ms < ASK_AGAIN_MAX_MS)
    seeds->pause_ms *= 2;
  timer_subscribe (seeds, node->timers, seeds->answered ? seeds->pause_ms : ASK_FIRST_MS, 0,
                   seeds_on_ask, seeds);
}

struct Seeds *
seeds_new (struct Node *node)
{
  struct Seeds *seeds = talloc_zero (node->net, struct Seeds);

  if (seeds == NULL)
    return NULL;
  seeds->node = node;
  seeds->pause_ms = ASK_AGAIN_MS / 2;
  seeds_read (seeds);
  if (seeds->n == 0 || timer_subscribe (seeds, node->timers, 0, 0, seeds_on_ask, seeds) == NULL)
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
      node_learn_peer (node, &status);
  if (!seeds->answered)
    log_event (LOG_LEVEL_INFO, "seed_answered", NULL, NULL, "%zu processes, after %lld ms",
               contacts->n_items, (long long)(timer_now_ms (node->timers) - node->started_ms));
  seeds->answered = true;
  store_reader_note_contacts (node->reader);
  node_announce (node);
}
