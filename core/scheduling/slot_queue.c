#include <buckthornhead/scheduling/slot_queue.h>

#include <buckthornhead/error.h>
#include <buckthornhead/scheduling/waiting_programs.h>

#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum
{
  /* Grants beyond the slots: the next request is already in transit while the previous one ends.
   * Otherwise the server would be idle for the transit time of about 2 ms. */
  GRANTS_IN_TRANSIT = 1,
  /* The same for plain servers, as a part of their slots: they run a request in a few times the
   * transit time, and would be idle for a fifth of it. They have a few places for waiting
   * requests. */
  PLAIN_SLOTS_PER_TRANSIT = 3,
  /* The moving average of the service time gives the latest request a weight of 1/16. */
  SERVICE_AVERAGE_DIVISOR = 16,
  /* Weight of a plain server's initial service time, in samples. With a lower one, a first response
   * that is delayed by a busy machine would make the owner overestimate waits and reject waiting
   * requests. */
  FIRST_SERVICE_SAMPLES = 4,
  /* How long a slot counts as taken after a plain server rejected a granted request: it is full
   * with work that this owner does not know of. */
  FULL_MS = 100,
  /* Within this time, or one service time if that is shorter, the requests that a digest reports
   * have ended or were reported by their holders. */
  EXPECTED_MAX_MS = 500,
  /* How long a gateway that has lost a server to another one grants no slots to those that do not
   * know it yet. It then grants again, as those that still request slots from it do not reach the
   * owner. */
  PAUSE_MS = 500,
  /* A request whose end was never reported is dropped this long after its caller's deadline. */
  EXPIRE_GRACE_MS = 1000,
  /* An engine keeps its cache while it has no requests, so its queue is retained for longer than a
   * gap in traffic or a program's pause. */
  SERVER_RETENTION_MS = 30 * 1000,
  /* Share of a server's cache assumed to contain shared parts, of which the most recently used
   * stay; the rest is for the sessions that run or pause. In the deployment with the least cache a
   * batch of 12 sessions and as many paused ones, of 5,000 to 10,000 tokens each, take the other
   * half. */
  SHARED_PERCENT = 50
};

/* A shared part of a prompt that was sent to the server. */
struct SlotPart
{
  uint64_t id;
  uint32_t tokens;
};

struct SlotEntry
{
  struct SlotRequest request;
  bool granted;     /* false: waiting */
  bool is_reported; /* granted by a previous owner */
  int64_t arrived_ms, granted_ms;
};

struct SlotQueue
{
  char *server;
  uint32_t slots;
  uint32_t service_ms;       /* mean time from grant to end */
  uint32_t first_service_ms; /* of a plain server; 0: an engine */
  uint32_t service_us;       /* service_ms of a plain server, in finer units */
  uint32_t n_samples;        /* in service_us, at most SERVICE_AVERAGE_DIVISOR */
  uint32_t n_taken;          /* slots that count as taken until taken_until_ms */
  int64_t taken_until_ms;
  struct SlotEntry *entries;
  size_t n_entries, n_granted;
  size_t n_reported; /* granted entries that are reported */
  bool is_owned;
  uint32_t n_expected; /* requests that run there at expected_ms, reported or not */
  int64_t expected_ms;
  int64_t paused_until_ms; /* nothing is granted until then */
  uint64_t capacity_tokens;
  struct SlotPart parts[SLOT_PARTS_MAX]; /* most recently used first */
  uint32_t n_parts;
  int64_t last_ask_ms;
  struct FailureRate failures;
  enum SlotOrder order;
  UT_hash_handle hh;
};

struct SlotQueues
{
  struct WaitingPrograms *programs;
  struct SlotQueue *by_server;
  uint64_t n_examined; /* entries that were read to find, order or grant requests */
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

  if (queues == NULL)
    return NULL;
  talloc_set_destructor (queues, queues_free);
  queues->programs = waiting_programs_new (queues);
  if (queues->programs == NULL)
    TALLOC_FREE (queues);
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
queue_get_or_add (struct SlotQueues *queues, const char *server)
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
entry_find (const struct SlotQueue *queue, const char *requester, uint64_t id)
{
  for (size_t i = 0; i < queue->n_entries; i++)
    if (queue->entries[i].request.id == id
        && strcmp (queue->entries[i].request.requester, requester) == 0)
      return &queue->entries[i];
  return NULL;
}

static void
entry_remove (struct SlotQueue *queue, struct SlotEntry *entry)
{
  if (entry->granted)
    queue->n_granted--;
  if (entry->is_reported)
    queue->n_reported--;
  if (entry->is_reported && queue->n_expected > 0)
    queue->n_expected--;
  queue->n_entries--;
  *entry = queue->entries[queue->n_entries];
}

/* Order. */

/* Returns whether the program misses its deadline even if its turn starts now. */
static bool
ask_misses_deadline (const struct SlotRequest *request, int64_t now_ms, uint32_t service_ms)
{
  return request->program_deadline_ms - now_ms < (int64_t)service_ms;
}

/* Programs that can still meet their deadline come first in either order. */
static bool
request_before_by_program (const struct SlotRequest *a, const struct SlotRequest *b)
{
  /* Programs under way precede those that have not begun: if late, their finished turns would be
   * lost. */
  if (a->under_way != b->under_way)
    return a->under_way;
  /* The customer's priority precedes the program's deadline and the route's priority. */
  if (a->customer_priority != b->customer_priority)
    return a->customer_priority < b->customer_priority;
  if (a->program_deadline_ms != b->program_deadline_ms)
    return a->program_deadline_ms < b->program_deadline_ms;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->id < b->id;
}

/* The route's priority decides among customers, which operators rank. Without customers it only
 * breaks ties: a few long programs of a high priority would make many short ones late. Programs
 * under way have no precedence, since admission holds back those that begin. */
static bool
request_before_by_rank (const struct SlotRequest *a, const struct SlotRequest *b, bool both_late)
{
  bool have_customers = a->customer != 0 && b->customer != 0;

  if (a->customer_priority != b->customer_priority)
    return a->customer_priority < b->customer_priority;
  if (have_customers && a->priority != b->priority)
    return a->priority < b->priority;
  /* Late programs have no deadline left to order them by. */
  if (both_late && a->since_ms != b->since_ms)
    return a->since_ms < b->since_ms;
  if (a->program_deadline_ms != b->program_deadline_ms)
    return a->program_deadline_ms < b->program_deadline_ms;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->id < b->id;
}

bool
slot_request_before (const struct SlotRequest *a,
                     const struct SlotRequest *b,
                     enum SlotOrder order,
                     int64_t now_ms,
                     uint32_t service_ms)
{
  bool a_late = ask_misses_deadline (a, now_ms, service_ms);
  bool b_late = ask_misses_deadline (b, now_ms, service_ms);

  if (a_late != b_late)
    return b_late;
  switch (order)
    {
    case SLOT_ORDER_BY_PROGRAM:
      return request_before_by_program (a, b);
    case SLOT_ORDER_BY_RANK:
      return request_before_by_rank (a, b, a_late);
    }
  return false;
}

/* Cache contents of the server. */

static void
queue_add_part (struct SlotQueue *queue, uint64_t id, uint32_t tokens)
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

/* Removes the least recently used parts, which the server's cache is assumed to have evicted. */
static void
queue_evict_parts (struct SlotQueue *queue)
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

/* Plain servers. */

static void
queue_init_service_time (struct SlotQueue *queue)
{
  queue->service_ms =
      queue->first_service_ms != 0 ? queue->first_service_ms : SLOT_FIRST_SERVICE_MS;
  queue->service_us = queue->service_ms * 1000;
  queue->n_samples = FIRST_SERVICE_SAMPLES;
}

static void
queue_set_first_service (struct SlotQueue *queue, uint32_t first_service_ms)
{
  if (queue->first_service_ms != 0 || first_service_ms == 0)
    return;
  queue->first_service_ms =
      first_service_ms < SLOT_SERVICE_MAX_MS ? first_service_ms : SLOT_SERVICE_MAX_MS;
  queue_init_service_time (queue);
}

/* Like queue_note_service_time, for plain servers: in microseconds, since they run requests of some
 * 10 ms, for which an average in whole milliseconds stays up to 15 ms too low. The first samples
 * have a higher weight, since the initial value only follows from the route's target. */
static void
queue_note_plain_service_time (struct SlotQueue *queue, int64_t took_ms)
{
  int64_t took_us = (took_ms < SLOT_SERVICE_MAX_MS ? took_ms : SLOT_SERVICE_MAX_MS) * 1000;

  if (queue->n_samples < SERVICE_AVERAGE_DIVISOR)
    queue->n_samples++;
  queue->service_us = (uint32_t)(((int64_t)queue->service_us * (queue->n_samples - 1) + took_us)
                                 / queue->n_samples);
  queue->service_ms = (queue->service_us + 999) / 1000;
}

/* Records that the server rejected a granted request. Further rejections take further slots; one
 * slot always remains, so that the queue never stops. */
static void
queue_note_full (struct SlotQueue *queue, int64_t now_ms)
{
  if (queue->taken_until_ms <= now_ms)
    queue->n_taken = 0;
  if (queue->n_taken + 1 < queue->slots)
    queue->n_taken++;
  queue->taken_until_ms = now_ms + FULL_MS;
}

/* Returns the slots of the server that this owner may grant. */
static uint32_t
queue_usable_slots (const struct SlotQueue *queue, int64_t now_ms)
{
  uint32_t n_taken = queue->taken_until_ms > now_ms ? queue->n_taken : 0;

  return n_taken < queue->slots ? queue->slots - n_taken : queue->slots;
}

/* Ownership. */

static void
queue_set_owned (struct SlotQueue *queue, bool is_owned, int64_t now_ms)
{
  if (queue->is_owned && !is_owned)
    queue->paused_until_ms = now_ms + PAUSE_MS;
  if (is_owned)
    queue->paused_until_ms = now_ms;
  queue->is_owned = is_owned;
}

static void
queue_expect (struct SlotQueue *queue, uint32_t n_expected, int64_t now_ms)
{
  uint32_t n_max = queue->slots + GRANTS_IN_TRANSIT;
  uint32_t n_known = (uint32_t)(queue->n_granted - queue->n_reported);

  if (n_expected > n_max)
    n_expected = n_max;
  queue->n_expected = n_expected > n_known ? n_expected - n_known : 0;
  queue->expected_ms = now_ms;
}

/* Returns how many of the expected requests still run; the number declines evenly. */
static size_t
queue_n_expected (const struct SlotQueue *queue, int64_t now_ms)
{
  int64_t span_ms = queue->service_ms < EXPECTED_MAX_MS ? queue->service_ms : EXPECTED_MAX_MS;
  int64_t left_ms = queue->expected_ms + span_ms - now_ms;

  if (left_ms <= 0)
    return 0;
  return (size_t)((queue->n_expected * left_ms + span_ms - 1) / span_ms);
}

static void
queue_follow_owner (struct SlotQueue *queue, const struct SlotServer *server, int64_t now_ms)
{
  if (queue->is_owned && !server->is_foreign)
    return;
  queue_set_owned (queue, !server->is_foreign, now_ms);
  queue_expect (queue, server->n_expected, now_ms);
}

bool
slot_queue_is_owned (const struct SlotQueues *queues, const char *server)
{
  const struct SlotQueue *queue = queue_find (queues, server);

  return queue != NULL && queue->is_owned;
}

void
slot_queues_disown (struct SlotQueues *queues,
                    bool (*is_owner) (void *data, const char *server),
                    int64_t now_ms,
                    void *data)
{
  for (struct SlotQueue *queue = queues->by_server; queue != NULL; queue = queue->hh.next)
    if (queue->is_owned && !is_owner (data, queue->server))
      queue_set_owned (queue, false, now_ms);
}

/* Returns whether the gateway grants slots of the server: as its owner, or to gateways that do not
 * know or reach the owner. */
static bool
queue_grants (const struct SlotQueue *queue, int64_t now_ms)
{
  return queue->is_owned
         || (now_ms >= queue->paused_until_ms && now_ms - queue->last_ask_ms < PAUSE_MS);
}

/* Granting. */

static bool
queue_has_room (const struct SlotQueue *queue, int64_t now_ms)
{
  uint32_t n_in_transit = GRANTS_IN_TRANSIT;
  size_t n_running = queue->n_granted, n_expected = queue_n_expected (queue, now_ms);

  if (now_ms < queue->paused_until_ms)
    return false;
  if (queue->first_service_ms > 0 && queue->slots / PLAIN_SLOTS_PER_TRANSIT > n_in_transit)
    n_in_transit = queue->slots / PLAIN_SLOTS_PER_TRANSIT;
  if (n_expected > queue->n_reported)
    n_running += n_expected - queue->n_reported;
  return n_running < queue_usable_slots (queue, now_ms) + n_in_transit;
}

/* Returns whether a program that begins is delayed by a turn that waits, even of a lower rank:
 * one that is not of the highest rank would add to the wait of programs under way with each of its
 * turns. */
static bool
entry_defers_to (const struct SlotEntry *entry,
                 const struct SlotEntry *other,
                 int64_t now_ms,
                 uint32_t service_ms)
{
  return !entry->request.under_way && entry->request.customer != 0 && entry->request.priority > 0
         && !other->granted && !ask_misses_deadline (&other->request, now_ms, service_ms);
}

static void
queue_get_state (const struct SlotQueue *queue,
                 const struct SlotEntry *entry,
                 int64_t now_ms,
                 struct SlotState *state)
{
  int64_t longest_ms = 0;

  memset (state, 0, sizeof *state);
  state->granted = entry->granted;
  state->total = (uint32_t)queue->n_entries;
  state->service_ms = queue->first_service_ms != 0 ? queue->service_ms : 0;
  if (state->granted)
    return;
  for (size_t i = 0; i < queue->n_entries; i++)
    {
      const struct SlotEntry *other = &queue->entries[i];
      bool is_ahead = !other->granted
                      && slot_request_before (&other->request, &entry->request, queue->order,
                                              now_ms, queue->service_ms);

      state->ahead += is_ahead;
      if ((is_ahead || entry_defers_to (entry, other, now_ms, queue->service_ms))
          && now_ms - other->arrived_ms > longest_ms)
        longest_ms = now_ms - other->arrived_ms;
    }
  state->wait_ms = (state->ahead + 1) * queue->service_ms / (queue->slots > 0 ? queue->slots : 1);
  /* Requests of a higher rank that arrive later go ahead, too. How long those ahead have waited
   * shows it. */
  if (queue->order == SLOT_ORDER_BY_RANK && state->wait_ms < longest_ms)
    state->wait_ms = (uint32_t)longest_ms;
}

static void
entry_grant (struct SlotQueue *queue, struct SlotEntry *entry, int64_t now_ms)
{
  entry->granted = true;
  entry->granted_ms = now_ms;
  queue_add_part (queue, entry->request.part, entry->request.part_tokens);
  queue_evict_parts (queue);
  queue->n_granted++;
}

int32_t
slot_queue_request (struct SlotQueues *queues,
                    const struct SlotServer *server,
                    const struct SlotRequest *request,
                    int64_t now_ms,
                    struct SlotState *state)
{
  struct SlotQueue *queue = queue_get_or_add (queues, server->id);
  struct SlotEntry *entry, *grown;

  if (queue == NULL)
    return ERROR_NO_MEMORY;
  queue->slots = server->slots;
  queue->capacity_tokens = server->capacity_tokens;
  queue->order = server->order;
  queue->last_ask_ms = now_ms;
  queue_set_first_service (queue, server->first_service_ms);
  queue_follow_owner (queue, server, now_ms);
  entry = entry_find (queue, request->requester, request->id);
  if (entry == NULL)
    {
      grown = talloc_realloc (queue, queue->entries, struct SlotEntry, queue->n_entries + 1);
      if (grown == NULL)
        return ERROR_NO_MEMORY;
      queue->entries = grown;
      entry = &grown[queue->n_entries++];
      entry->request = *request;
      entry->arrived_ms = now_ms - request->waited_ms;
      entry->request.since_ms =
          waiting_programs_since (queues->programs, request->program, entry->arrived_ms);
      entry->granted = false;
      entry->is_reported = false;
      /* While there is room no other request waits: freed slots are granted at once. */
      if (!request->is_granted && queue_has_room (queue, now_ms))
        entry_grant (queue, entry, now_ms);
    }
  if (request->is_granted && !entry->granted)
    {
      entry_grant (queue, entry, now_ms - request->granted_for_ms);
      entry->is_reported = true;
      queue->n_reported++;
    }
  queue_get_state (queue, entry, now_ms, state);
  queues->n_examined += state->granted ? queue->n_entries : 2 * queue->n_entries;
  return ERROR_NONE;
}

uint64_t
slot_queues_n_examined (const struct SlotQueues *queues)
{
  return queues->n_examined;
}

/* Updates the mean service time. Only for served requests, as the duration of a failed or cancelled
 * one doesn't show the server's speed. */
static void
queue_note_service_time (struct SlotQueue *queue, int64_t took_ms)
{
  queue->service_ms = (uint32_t)((queue->service_ms * (SERVICE_AVERAGE_DIVISOR - 1) + took_ms)
                                 / SERVICE_AVERAGE_DIVISOR);
}

void
slot_queue_done (struct SlotQueues *queues,
                 const char *server,
                 const char *requester,
                 uint64_t id,
                 enum SlotOutcome outcome,
                 int64_t now_ms)
{
  struct SlotQueue *queue = queue_find (queues, server);
  struct SlotEntry *entry = queue != NULL ? entry_find (queue, requester, id) : NULL;

  if (entry == NULL)
    return;
  queues->n_examined += queue->n_entries;
  switch (outcome)
    {
    case SLOT_SERVED:
      if (entry->granted && queue->first_service_ms != 0)
        queue_note_plain_service_time (queue, now_ms - entry->granted_ms);
      else if (entry->granted)
        queue_note_service_time (queue, now_ms - entry->granted_ms);
      failure_rate_note (&queue->failures, false, now_ms);
      break;
    case SLOT_FAILED:
      failure_rate_note (&queue->failures, true, now_ms);
      break;
    case SLOT_FULL:
      queue_note_full (queue, now_ms);
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
  queue_init_service_time (queue);
  memset (&queue->failures, 0, sizeof queue->failures);
}

bool
slot_queue_next (struct SlotQueues *queues,
                 const char *server,
                 int64_t now_ms,
                 struct SlotRequest *request,
                 struct SlotState *state)
{
  struct SlotQueue *queue = queue_find (queues, server);
  struct SlotEntry *best = NULL;

  if (queue == NULL || !queue_has_room (queue, now_ms))
    return false;
  queues->n_examined += queue->n_entries;
  for (size_t i = 0; i < queue->n_entries; i++)
    {
      struct SlotEntry *entry = &queue->entries[i];

      if (!entry->granted
          && (best == NULL
              || slot_request_before (&entry->request, &best->request, queue->order, now_ms,
                                      queue->service_ms)))
        best = entry;
    }
  if (best == NULL)
    return false;
  entry_grant (queue, best, now_ms);
  *request = best->request;
  queue_get_state (queue, best, now_ms, state);
  return true;
}

void
slot_queues_expire (struct SlotQueues *queues,
                    int64_t now_ms,
                    bool (*is_live) (void *data, const char *requester, uint64_t id),
                    void (*each) (void *data, const char *server),
                    void *data)
{
  struct SlotQueue *queue, *next;

  waiting_programs_expire (queues->programs, now_ms);
  HASH_ITER (hh, queues->by_server, queue, next)
  {
    size_t i = 0;

    while (i < queue->n_entries)
      if (queue->entries[i].request.deadline_ms + EXPIRE_GRACE_MS < now_ms
          || !is_live (data, queue->entries[i].request.requester, queue->entries[i].request.id))
        entry_remove (queue, &queue->entries[i]);
      else
        i++;
    if (queue->n_entries > 0)
      each (data, queue->server);
    if (queue->n_entries > 0 || now_ms - queue->last_ask_ms < SERVER_RETENTION_MS)
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
  if (queue_grants (queue, now_ms) && (!busy_only || 2 * queue->n_entries >= queue->slots))
    queue_digest (queue, now_ms, &digests[(*n_digests)++]);
  return digests;
}

uint32_t
slot_queue_service_ms (const struct SlotQueues *queues, const char *server)
{
  const struct SlotQueue *queue = queue_find (queues, server);

  return queue != NULL ? queue->service_ms : 0;
}
