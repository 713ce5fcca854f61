#include <buckthornhead/scheduling/slot_queue.h>

#include <buckthornhead/error.h>

#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum
{
  /* Beside the slots: the next request is on its way while the one before it ends, a way of two
   * milliseconds or so that the server would else stand idle. */
  ON_THE_WAY = 1,
  /* Weight of the last request in the mean time at the server: 1 of 16. */
  SERVICE_WEIGHT = 16,
  /* A grant whose end was never reported is forgotten this long after its caller has left. */
  FORGET_MS = 1000,
  /* An engine without requests keeps its cache; it is remembered for longer than a lull of traffic
   * or a program's pause. */
  SERVER_KEEP_MS = 30 * 1000,
  /* Of a server's memory that shared parts are taken to hold: those used last stay, the rest is
   * for the sessions that run or pause. A batch of 12 and as many paused ones of 5,000 to 10,000
   * tokens take the other half on the tightest sheet. */
  SHARED_PERCENT = 50
};

/* A shared part that the server was sent. */
struct SlotPart
{
  uint64_t id;
  uint32_t tokens;
};

struct SlotEntry
{
  struct SlotAsk ask;
  bool granted; /* else it waits */
  int64_t granted_ms;
};

struct SlotQueue
{
  char *server;
  uint32_t slots;
  uint32_t service_ms; /* mean time from grant to end */
  struct SlotEntry *entries;
  size_t n_entries, n_granted;
  uint64_t capacity_tokens;
  struct SlotPart parts[SLOT_PARTS_MAX]; /* the one used last first */
  uint32_t n_parts;
  int64_t asked_ms; /* last */
  struct FailureRate failures;
  UT_hash_handle hh;
};

struct SlotQueues
{
  struct SlotQueue *by_server;
};

static int
queues_free (struct SlotQueues *queues)
{
  HASH_CLEAR (hh, queues->by_server);
  return 0;
}

struct SlotQueues *
slot_queues_new (TALLOC_CTX *ctx)
{
  struct SlotQueues *queues = talloc_zero (ctx, struct SlotQueues);

  if (queues != NULL)
    talloc_set_destructor (queues, queues_free);
  return queues;
}

static struct SlotQueue *
queue_find (const struct SlotQueues *queues, const char *server)
{
  struct SlotQueue *queue = NULL;

  HASH_FIND_STR (queues->by_server, server, queue);
  return queue;
}

static struct SlotQueue *
queue_need (struct SlotQueues *queues, const char *server)
{
  struct SlotQueue *queue = queue_find (queues, server);

  if (queue != NULL)
    return queue;
  queue = talloc_zero (queues, struct SlotQueue);
  if (queue == NULL)
    return NULL;
  queue->server = talloc_strdup (queue, server);
  if (queue->server == NULL)
    {
      talloc_free (queue);
      return NULL;
    }
  queue->service_ms = SLOT_FIRST_SERVICE_MS;
  HASH_ADD_KEYPTR (hh, queues->by_server, queue->server, strlen (queue->server), queue);
  return queue;
}

static struct SlotEntry *
entry_find (const struct SlotQueue *queue, const char *asker, uint64_t id)
{
  for (size_t i = 0; i < queue->n_entries; i++)
    if (queue->entries[i].ask.id == id && strcmp (queue->entries[i].ask.asker, asker) == 0)
      return &queue->entries[i];
  return NULL;
}

static void
entry_remove (struct SlotQueue *queue, struct SlotEntry *entry)
{
  if (entry->granted)
    queue->n_granted--;
  queue->n_entries--;
  *entry = queue->entries[queue->n_entries];
}

/* Order. */

/* A program that has no time left for one more turn is late whatever is done. */
static bool
ask_is_hopeless (const struct SlotAsk *ask, int64_t now_ms, uint32_t service_ms)
{
  return ask->program_due_ms - now_ms < (int64_t)service_ms;
}

bool
slot_ask_before (const struct SlotAsk *a,
                 const struct SlotAsk *b,
                 int64_t now_ms,
                 uint32_t service_ms)
{
  bool a_hopeless = ask_is_hopeless (a, now_ms, service_ms);
  bool b_hopeless = ask_is_hopeless (b, now_ms, service_ms);

  /* What can still be in time goes before what can not. */
  if (a_hopeless != b_hopeless)
    return b_hopeless;
  /* A program under way before one that has not begun: what it had would be lost. */
  if (a->continues != b->continues)
    return a->continues;
  /* Whose it is, before what it is. */
  if (a->customer_priority != b->customer_priority)
    return a->customer_priority < b->customer_priority;
  if (a->program_due_ms != b->program_due_ms)
    return a->program_due_ms < b->program_due_ms;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->id < b->id;
}

/* The server's cache. */

static void
queue_note_part (struct SlotQueue *queue, uint64_t id, uint32_t tokens)
{
  uint32_t at = 0;

  if (id == 0)
    return;
  while (at < queue->n_parts && queue->parts[at].id != id)
    at++;
  if (at == SLOT_PARTS_MAX)
    at--;
  else if (at == queue->n_parts)
    queue->n_parts++;
  memmove (queue->parts + 1, queue->parts, at * sizeof queue->parts[0]);
  queue->parts[0].id = id;
  queue->parts[0].tokens = tokens;
}

/* Caches give up what was used least recently. */
static void
queue_drop_parts (struct SlotQueue *queue)
{
  uint64_t room_tokens = queue->capacity_tokens * SHARED_PERCENT / 100;
  uint64_t n_tokens = 0;
  uint32_t n = 0;

  if (queue->capacity_tokens == 0)
    return;
  while (n < queue->n_parts && n_tokens + queue->parts[n].tokens <= room_tokens)
    n_tokens += queue->parts[n++].tokens;
  queue->n_parts = n;
}

/* Granting. */

static bool
queue_has_room (const struct SlotQueue *queue)
{
  return queue->n_granted < queue->slots + ON_THE_WAY;
}

static void
queue_state (const struct SlotQueue *queue,
             const struct SlotEntry *entry,
             int64_t now_ms,
             struct SlotState *state)
{
  memset (state, 0, sizeof *state);
  state->granted = entry->granted;
  state->total = (uint32_t)queue->n_entries;
  if (state->granted)
    return;
  for (size_t i = 0; i < queue->n_entries; i++)
    if (!queue->entries[i].granted
        && slot_ask_before (&queue->entries[i].ask, &entry->ask, now_ms, queue->service_ms))
      state->ahead++;
  state->wait_ms = (state->ahead + 1) * queue->service_ms / (queue->slots > 0 ? queue->slots : 1);
}

static void
entry_grant (struct SlotQueue *queue, struct SlotEntry *entry, int64_t now_ms)
{
  entry->granted = true;
  entry->granted_ms = now_ms;
  queue_note_part (queue, entry->ask.part, entry->ask.part_tokens);
  queue_drop_parts (queue);
  queue->n_granted++;
}

int32_t
slot_queue_ask (struct SlotQueues *queues,
                const struct SlotServer *server,
                const struct SlotAsk *ask,
                int64_t now_ms,
                struct SlotState *state)
{
  struct SlotQueue *queue = queue_need (queues, server->id);
  struct SlotEntry *entry, *grown;

  if (queue == NULL)
    return ERROR_NO_MEMORY;
  queue->slots = server->slots;
  queue->capacity_tokens = server->capacity_tokens;
  queue->asked_ms = now_ms;
  entry = entry_find (queue, ask->asker, ask->id);
  if (entry == NULL)
    {
      grown = talloc_realloc (queue, queue->entries, struct SlotEntry, queue->n_entries + 1);
      if (grown == NULL)
        return ERROR_NO_MEMORY;
      queue->entries = grown;
      entry = &grown[queue->n_entries++];
      entry->ask = *ask;
      entry->granted = false;
      /* Nobody waits while there is room: whoever leaves is followed at once. */
      if (queue_has_room (queue))
        entry_grant (queue, entry, now_ms);
    }
  queue_state (queue, entry, now_ms, state);
  return ERROR_NONE;
}

/* What a request took says something of the server only if it was served. */
static void
queue_note_served (struct SlotQueue *queue, int64_t took_ms)
{
  queue->service_ms =
      (uint32_t)((queue->service_ms * (SERVICE_WEIGHT - 1) + took_ms) / SERVICE_WEIGHT);
}

void
slot_queue_done (struct SlotQueues *queues,
                 const char *server,
                 const char *asker,
                 uint64_t id,
                 enum SlotOutcome outcome,
                 int64_t now_ms)
{
  struct SlotQueue *queue = queue_find (queues, server);
  struct SlotEntry *entry = queue != NULL ? entry_find (queue, asker, id) : NULL;

  if (entry == NULL)
    return;
  switch (outcome)
    {
    case SLOT_SERVED:
      if (entry->granted)
        queue_note_served (queue, now_ms - entry->granted_ms);
      failure_rate_note (&queue->failures, false, now_ms);
      break;
    case SLOT_FAILED:
      failure_rate_note (&queue->failures, true, now_ms);
      break;
    case SLOT_NOT_USED:
      break;
    }
  entry_remove (queue, entry);
}

void
slot_queue_restarted (struct SlotQueues *queues, const char *server)
{
  struct SlotQueue *queue = queue_find (queues, server);

  if (queue == NULL)
    return;
  queue->n_parts = 0;
  queue->service_ms = SLOT_FIRST_SERVICE_MS;
  memset (&queue->failures, 0, sizeof queue->failures);
}

bool
slot_queue_next (struct SlotQueues *queues,
                 const char *server,
                 int64_t now_ms,
                 struct SlotAsk *ask,
                 struct SlotState *state)
{
  struct SlotQueue *queue = queue_find (queues, server);
  struct SlotEntry *best = NULL;

  if (queue == NULL || !queue_has_room (queue))
    return false;
  for (size_t i = 0; i < queue->n_entries; i++)
    {
      struct SlotEntry *entry = &queue->entries[i];

      if (!entry->granted
          && (best == NULL || slot_ask_before (&entry->ask, &best->ask, now_ms, queue->service_ms)))
        best = entry;
    }
  if (best == NULL)
    return false;
  entry_grant (queue, best, now_ms);
  *ask = best->ask;
  queue_state (queue, best, now_ms, state);
  return true;
}

void
slot_queues_expire (struct SlotQueues *queues,
                    int64_t now_ms,
                    bool (*is_live) (void *data, const char *asker),
                    void (*each) (void *data, const char *server),
                    void *data)
{
  struct SlotQueue *queue, *next;

  HASH_ITER (hh, queues->by_server, queue, next)
  {
    size_t i = 0;

    while (i < queue->n_entries)
      if (queue->entries[i].ask.due_ms + FORGET_MS < now_ms
          || !is_live (data, queue->entries[i].ask.asker))
        entry_remove (queue, &queue->entries[i]);
      else
        i++;
    if (queue->n_entries > 0)
      each (data, queue->server);
    if (queue->n_entries > 0 || now_ms - queue->asked_ms < SERVER_KEEP_MS)
      continue;
    HASH_DEL (queues->by_server, queue);
    talloc_free (queue);
  }
}

static void
queue_digest (const struct SlotQueue *queue, int64_t now_ms, struct SlotDigest *digest)
{
  snprintf (digest->server, sizeof digest->server, "%s", queue->server);
  digest->total = (uint32_t)queue->n_entries;
  digest->failed_permille = failure_rate_permille (&queue->failures, now_ms);
  digest->n_parts = queue->n_parts;
  for (uint32_t i = 0; i < queue->n_parts; i++)
    digest->parts[i] = queue->parts[i].id;
}

struct SlotDigest *
slot_queues_digest (
    struct SlotQueues *queues, TALLOC_CTX *ctx, bool busy_only, int64_t now_ms, size_t *n_digests)
{
  struct SlotDigest *digests =
      talloc_zero_array (ctx, struct SlotDigest, HASH_COUNT (queues->by_server));
  struct SlotQueue *queue, *next;

  *n_digests = 0;
  if (digests == NULL)
    return NULL;
  HASH_ITER (hh, queues->by_server, queue, next)
  if (!busy_only || 2 * queue->n_entries >= queue->slots)
    queue_digest (queue, now_ms, &digests[(*n_digests)++]);
  return digests;
}
