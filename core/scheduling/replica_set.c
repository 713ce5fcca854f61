#include <buckthornhead/scheduling/replica_set.h>

#include <buckthornhead/error.h>
#include <buckthornhead/pack.h>
#include <buckthornhead/partition.h>

#include <string.h>

enum
{
  /* Entries that expired during an outage of the platform's store are back within 2 s of its
   * return; another 500 ms allow for the age of the list. */
  REPLICA_REAPPEAR_MS = 2500,
  /* Half the duration of a short turn, by when a full server has freed a slot. */
  AVOID_FULL_MS = 100,
  /* Pause after a request without a response; doubles with each consecutive one. */
  AVOID_FAILED_MS = 250,
  AVOID_FAILED_MAX_MS = 4000,
  CACHED_PARTS_MAX = 64, /* shared parts tracked per server; the deployments have 16 */
  /* Costs in microseconds, from the specification of the engines. */
  PREFILL_TOKENS_PER_MS = 270,
  COST_RUNNING_US = 2000,  /* each further running request slows all by 0.75% */
  COST_WAITING_US = 12000, /* each waiting request, at 32 slots and 350 ms per turn */
  /* How long the service time that an owner reported is used. A server that recovers from a slow
   * phase without being sent requests would otherwise keep its high cost. */
  SERVICE_REPORT_MS = 3000,
  /* How long a plain server is avoided after its owner did not respond: a killed owner is replaced
   * after 1 to 2 s, and each request costs 60 ms until it is sent without its owner. */
  OWNER_UNRESPONSIVE_MS = 500,
  COST_OTHER_ZONE_US = 1000,
  /* A round trip, and the time to accept a connection. Less than COST_RUNNING_US, so that load
   * still spreads over servers without an open connection. */
  COST_CONNECT_US = 1500,
  /* Per permille of failed requests; 2 s for a certain failure. A failed request costs its program
   * the time until the failure and a new attempt after 100 to 400 ms; three fail the program. */
  COST_FAILED_PERMILLE_US = 2000,
  /* The server that all gateways choose for a request's object processes it in half the time, which
   * saves 26 to 39 ms in the deployments. It is preferred while it has a free slot; with all slots
   * in use the wait would exceed the gain. */
  COST_NOT_PREFERRED_US = 20 * 1000,
  /* Part of the longer duration at a slow server that counts. A request that waits at a fast server
   * delays those behind it, too, and leaves a slot of the slow one idle. With a larger part
   * too few requests go to slow servers, with a smaller one too many; both raise the mean response
   * time. */
  COST_SERVICE_DIVISOR = 4,
  /* Each token of the prompt is a byte or more of traffic between zones, again with every following
   * turn there. */
  COST_OTHER_ZONE_TOKEN_NS = 3000
};

struct CachedPart
{
  uint64_t id;
};

static int
replica_set_free (struct ReplicaSet *set)
{
  HASH_CLEAR (hh, set->by_id);
  return 0;
}

struct ReplicaSet *
replica_set_new (TALLOC_CTX *ctx)
{
  struct ReplicaSet *set = talloc_zero (ctx, struct ReplicaSet);

  if (set != NULL)
    talloc_set_destructor (set, replica_set_free);
  return set;
}

struct Replica *
replica_set_find (const struct ReplicaSet *set, const char *id)
{
  struct Replica *replica = NULL;

  HASH_FIND_STR (set->by_id, id, replica);
  return replica;
}

static struct Replica *
replica_add (struct ReplicaSet *set, const struct ReplicaEntry *entry)
{
  struct Replica *replica = talloc_zero (set, struct Replica);
  struct Replica **grown;

  if (replica == NULL)
    return NULL;
  replica->cached = talloc_zero_array (replica, struct CachedPart, CACHED_PARTS_MAX);
  grown = talloc_realloc (set, set->replicas, struct Replica *, set->n_replicas + 1);
  if (grown == NULL || replica->cached == NULL)
    {
      talloc_free (replica);
      return NULL;
    }
  replica->entry = *entry;
  HASH_ADD_STR (set->by_id, entry.id, replica);
  set->replicas = grown;
  set->replicas[set->n_replicas++] = replica;
  return replica;
}

/* Removes servers missing from the list, unless they are kept. One with requests in flight only
 * drains, and is freed after the last of them has ended. */
static size_t
replica_set_remove_missing (struct ReplicaSet *set)
{
  size_t n_left = 0, n_changed = 0;

  for (size_t i = 0; i < set->n_replicas; i++)
    {
      struct Replica *replica = set->replicas[i];
      bool removed = !replica->listed && !replica->kept;

      if (removed && !replica->entry.draining)
        {
          replica->entry.draining = true;
          n_changed++;
        }
      if (removed && replica->in_flight == 0 && set->by_id != NULL)
        {
          HASH_DEL (set->by_id, replica);
          talloc_free (replica);
        }
      else
        set->replicas[n_left++] = replica;
    }
  set->n_replicas = n_left;
  return n_changed;
}

/* Marks all servers as missing until their entries have been applied. */
static void
replica_set_begin_list (struct ReplicaSet *set, int64_t now_ms)
{
  for (size_t i = 0; i < set->n_replicas; i++)
    {
      struct Replica *replica = set->replicas[i];

      replica->was_listed = replica->listed;
      if (replica->listed)
        replica->missing_since_ms = now_ms;
      replica->listed = false;
    }
}

/* Counts of one service's servers, as far as the caller fills them in. */
struct ServiceCounts
{
  const char *service;
  uint64_t running, slots;      /* requests in flight, and how many run concurrently */
  uint64_t n_listed, n_missing; /* in the last list; in the list before it only */
};

enum
{
  SERVICES_MAX = 64 /* services considered; further ones are ignored */
};

/* Returns NULL if there are too many services. */
static struct ServiceCounts *
counts_get_or_add (struct ServiceCounts counts[SERVICES_MAX], size_t *n, const char *service)
{
  for (size_t i = 0; i < *n; i++)
    if (strcmp (counts[i].service, service) == 0)
      return &counts[i];
  if (*n == SERVICES_MAX)
    return NULL;
  counts[*n] = (struct ServiceCounts){ .service = service };
  return &counts[(*n)++];
}

/* Counts the listed servers of each service, and those that are missing for the first time. */
static size_t
replica_set_count_missing (const struct ReplicaSet *set, struct ServiceCounts counts[SERVICES_MAX])
{
  size_t n = 0;

  for (size_t i = 0; i < set->n_replicas; i++)
    {
      const struct Replica *replica = set->replicas[i];
      struct ServiceCounts *count;

      if (replica->entry.draining || (!replica->listed && !replica->was_listed))
        continue;
      count = counts_get_or_add (counts, &n, replica->entry.service);
      if (count == NULL)
        continue;
      count->n_listed += replica->listed;
      count->n_missing += !replica->listed;
    }
  return n;
}

/* Keeps servers that are missing from a list read after an outage for a limited time, if more of
 * their service are missing than listed: an outage of the store that lets entries expire takes most
 * of them at once, since all servers renew theirs in the same interval. With few missing, the store
 * may have been available and only its reader cut off: these servers have probably left, and the
 * others can do without them until they reappear. One that is missing from a later list had its
 * entry after the outage, so it was removed since. */
static void
replica_set_keep_expired (struct ReplicaSet *set, bool after_gap)
{
  struct ServiceCounts counts[SERVICES_MAX];
  size_t n = after_gap ? replica_set_count_missing (set, counts) : 0;

  for (size_t i = 0; i < set->n_replicas; i++)
    {
      struct Replica *replica = set->replicas[i];
      const struct ServiceCounts *count;

      if (replica->listed)
        replica->kept = false;
      if (replica->listed || !replica->was_listed)
        continue;
      count = after_gap ? counts_get_or_add (counts, &n, replica->entry.service) : NULL;
      replica->kept = count != NULL && count->n_missing > count->n_listed;
    }
}

static void
replica_set_end_kept (struct ReplicaSet *set, int64_t now_ms)
{
  for (size_t i = 0; i < set->n_replicas; i++)
    if (now_ms - set->replicas[i]->missing_since_ms >= REPLICA_REAPPEAR_MS)
      set->replicas[i]->kept = false;
}

/* Resets a server's tracked state if its start time has changed. Otherwise a server that crashed
 * and restarted under its id would be sent the sessions that its cache lost, and be avoided for the
 * failures of the previous process. */
static bool
replica_reset_if_restarted (struct Replica *replica, uint64_t started_unix_ms)
{
  if (replica->entry.started_unix_ms == 0 || replica->entry.started_unix_ms == started_unix_ms)
    return false;
  replica->peers_in_flight = 0;
  replica->consecutive_failures = 0;
  replica->avoid_until_ms = 0;
  memset (&replica->failure_rate, 0, sizeof replica->failure_rate);
  memset (&replica->reported_failure_rate, 0, sizeof replica->reported_failure_rate);
  replica->owned = false;
  replica->service_ms = 0;
  memset (&replica->pace, 0, sizeof replica->pace);
  replica->n_cached = 0;
  replica->restarted = true;
  return true;
}

struct Replica *
replica_set_next_restarted (struct ReplicaSet *set)
{
  for (size_t i = 0; i < set->n_replicas; i++)
    if (set->replicas[i]->restarted)
      {
        set->replicas[i]->restarted = false;
        return set->replicas[i];
      }
  return NULL;
}

size_t
replica_set_apply (struct ReplicaSet *set,
                   const struct ReplicaEntry *entries,
                   size_t n_entries,
                   bool after_gap,
                   int64_t now_ms)
{
  size_t n_changed = 0;

  replica_set_begin_list (set, now_ms);
  for (size_t i = 0; i < n_entries; i++)
    {
      struct Replica *replica = replica_set_find (set, entries[i].id);
      bool restarted;

      if (replica == NULL)
        {
          replica = replica_add (set, &entries[i]);
          n_changed++;
        }
      if (replica == NULL)
        continue;
      restarted = replica_reset_if_restarted (replica, entries[i].started_unix_ms);
      n_changed += restarted || replica->entry.draining != entries[i].draining;
      replica->entry = entries[i];
      replica->listed = true;
    }
  replica_set_keep_expired (set, after_gap);
  replica_set_end_kept (set, now_ms);
  return n_changed + replica_set_remove_missing (set);
}

void
replica_set_expire (struct ReplicaSet *set, int64_t now_ms)
{
  replica_set_end_kept (set, now_ms);
  replica_set_remove_missing (set);
}

static bool
replica_has_part (const struct Replica *replica, uint64_t id)
{
  for (uint32_t i = 0; i < replica->n_cached; i++)
    if (replica->cached[i].id == id)
      return true;
  return false;
}

void
replica_note_sent (struct Replica *replica, const struct PrefixPart *parts, size_t n_parts)
{
  /* Skips the last part, which is the request's own: .previous_server of the query locates it. */
  for (size_t p = 0; p + 1 < n_parts; p++)
    {
      if (replica_has_part (replica, parts[p].id))
        continue;
      if (replica->n_cached < CACHED_PARTS_MAX)
        replica->n_cached++;
      memmove (replica->cached + 1, replica->cached,
               (replica->n_cached - 1) * sizeof replica->cached[0]);
      replica->cached[0].id = parts[p].id;
    }
}

const struct PrefixPart *
prefix_shared_part (const struct PrefixPart *parts, size_t n_parts)
{
  const struct PrefixPart *largest = NULL;

  for (size_t p = 0; p + 1 < n_parts; p++)
    if (largest == NULL || parts[p].tokens > largest->tokens)
      largest = &parts[p];
  return largest;
}

void
replica_apply_digest (struct Replica *replica, const struct SlotDigest *digest, int64_t now_ms)
{
  replica->owned = true;
  replica->peers_in_flight =
      digest->total > replica->in_flight ? digest->total - replica->in_flight : 0;
  replica->load_received_ms = now_ms;
  replica->reported_failure_rate.permille = digest->failed_permille;
  replica->reported_failure_rate.updated_ms = now_ms;
  replica->n_cached = digest->n_parts;
  for (uint32_t i = 0; i < digest->n_parts; i++)
    replica->cached[i].id = digest->parts[i];
}

static bool
query_excludes (const struct ReplicaQuery *query, const char *id)
{
  for (size_t i = 0; i < query->n_tried; i++)
    if (strcmp (query->tried[i], id) == 0)
      return true;
  return false;
}

static const struct Decisions all_enabled = { 1, 1, 1, 1, 1, 1, 1, 1, 1 };

static const struct Decisions *
query_decisions (const struct ReplicaQuery *query)
{
  return query->decisions != NULL ? query->decisions : &all_enabled;
}

/* Returns the number of prompt tokens assumed not to be in the server's cache. */
static uint64_t
uncached_tokens (const struct Replica *replica, const struct ReplicaQuery *query)
{
  bool ran_before = strcmp (query->previous_server, replica->entry.id) == 0;
  uint64_t n_tokens = 0;

  for (size_t p = 0; p < query->n_parts; p++)
    {
      bool is_own = p + 1 == query->n_parts;
      bool shared = !is_own && query_decisions (query)->parts;
      bool cached = ran_before || (shared && replica_has_part (replica, query->parts[p].id));

      if (!cached)
        n_tokens += query->parts[p].tokens;
    }
  return n_tokens;
}

static uint32_t
replica_failed_permille (const struct Replica *replica, int64_t now_ms)
{
  uint32_t own = failure_rate_permille (&replica->failure_rate, now_ms);
  uint32_t reported = failure_rate_permille (&replica->reported_failure_rate, now_ms);

  return own > reported ? own : reported;
}

static uint64_t
prompt_tokens (const struct ReplicaQuery *query)
{
  uint64_t n_tokens = 0;

  for (size_t p = 0; p < query->n_parts; p++)
    n_tokens += query->parts[p].tokens;
  return n_tokens;
}

static bool
replica_is_eligible (const struct Replica *replica, const struct ReplicaQuery *query)
{
  return !replica->entry.draining && strcmp (replica->entry.service, query->service) == 0;
}

/* Returns the preferred server for the query's object, by rendezvous hashing, so that all gateways
 * with the same servers choose the same one. NULL if there is no preference. */
static const struct Replica *
replica_for_object (const struct ReplicaSet *set, const struct ReplicaQuery *query)
{
  const struct Replica *best = NULL;
  uint64_t best_score = 0;

  if (query->object == NULL || !query_decisions (query)->objects)
    return NULL;
  for (size_t i = 0; i < set->n_replicas; i++)
    {
      const struct Replica *replica = set->replicas[i];
      uint64_t score;

      if (!replica_is_eligible (replica, query))
        continue;
      score = rendezvous_score (query->object, replica->entry.id);
      if (best != NULL && score <= best_score)
        continue;
      best = replica;
      best_score = score;
    }
  return best;
}

void
replica_apply_slot_state (struct Replica *replica, const struct SlotState *state, int64_t now_ms)
{
  replica->peers_in_flight =
      state->total > replica->in_flight ? state->total - replica->in_flight : 0;
  replica->load_received_ms = now_ms;
  replica->owner_unresponsive_until_ms = 0;
  if (state->service_ms == 0)
    return;
  replica->service_ms = state->service_ms;
  replica->service_received_ms = now_ms;
}

void
replica_record_owner_unresponsive (struct Replica *replica, int64_t now_ms)
{
  replica->owner_unresponsive_until_ms = now_ms + OWNER_UNRESPONSIVE_MS;
}

static bool
replica_is_avoided (const struct Replica *replica, const struct ReplicaQuery *query)
{
  return replica->avoid_until_ms > query->now_ms
         || (query->service_ms != 0 && replica->owner_unresponsive_until_ms > query->now_ms);
}

/* Returns the expected wait for a slot when n_waiting requests, this one included, wait for one. At
 * a plain server the wait has become shorter by the age of the load report: it runs a request in a
 * fraction of the 120 to 480 ms between two reports, so without this correction gateways would
 * keep avoiding servers that were full and send all requests to the others. */
static uint64_t
waiting_cost_us (const struct Replica *replica,
                 const struct ReplicaQuery *query,
                 uint64_t n_waiting,
                 uint64_t slots)
{
  bool reported =
      replica->service_ms != 0 && query->now_ms - replica->service_received_ms < SERVICE_REPORT_MS;
  uint64_t age_us = (uint64_t)(query->now_ms - replica->load_received_ms) * 1000;
  uint64_t wait_us;

  if (query->service_ms == 0)
    return n_waiting * COST_WAITING_US * 32 / slots;
  wait_us = n_waiting * (reported ? replica->service_ms : query->service_ms) * 1000 / slots;
  return wait_us > age_us ? wait_us - age_us : 0;
}

uint32_t
replica_plain_wait_ms (const struct Replica *replica, const struct ReplicaQuery *query)
{
  uint64_t running = (uint64_t)replica->in_flight + replica->peers_in_flight;
  uint64_t slots = replica->entry.slots > 0 ? replica->entry.slots : 1;
  uint64_t wait_us;

  if (running < slots)
    return 0;
  wait_us = waiting_cost_us (replica, query, running - slots + 1, slots);
  return wait_us / 1000 < UINT32_MAX ? (uint32_t)(wait_us / 1000) : UINT32_MAX;
}

/* Returns the time in microseconds that the server adds by its present load and cache contents, at
 * the usual speed. A server with free slots is nearly as fast as an idle one, so that the uncached
 * part of the prompt dominates; with all slots in use the queue dominates. Designed for many short
 * turns on few servers. */
static uint64_t
replica_server_us (const struct Replica *replica, const struct ReplicaQuery *query)
{
  uint64_t running = (uint64_t)replica->in_flight + replica->peers_in_flight;
  uint64_t slots = replica->entry.slots > 0 ? replica->entry.slots : 1;
  uint64_t cost_us = uncached_tokens (replica, query) * 1000 / PREFILL_TOKENS_PER_MS;

  /* Reading uncached tokens delays each running request by the same time; half of it is counted. */
  cost_us += cost_us * (running < slots ? running : slots) / 2;
  /* Running requests slow each other on engines. The loads of plain servers are older than the
   * requests they count: a cost for them would send the requests of all gateways to one server. */
  if (query->service_ms == 0)
    cost_us += running * COST_RUNNING_US * 8 / slots;
  if (running >= slots)
    cost_us += waiting_cost_us (replica, query, running - slots + 1, slots);
  return cost_us;
}

/* Scales the server's times by its speed, and adds a part of the difference of the request's own
 * duration to that at a server of the usual speed, which is negative for a faster one. */
static int64_t
replica_paced_us (const struct Replica *replica, const struct ReplicaQuery *query)
{
  int64_t server_us = (int64_t)replica_server_us (replica, query);
  int64_t permille;

  if (!query->uses_pace)
    return server_us;
  permille = server_pace_cost_permille (&replica->pace, replica->entry.id, query->pace_draw);
  /* The wait for a plain server's slot follows from the service time that its owner measures. */
  if (query->service_ms == 0)
    server_us = server_us * permille / PACE_USUAL_PERMILLE;
  return server_us
         + (int64_t)replica->pace.usual_service_ms * (permille - PACE_USUAL_PERMILLE)
               / COST_SERVICE_DIVISOR;
}

/* Returns the estimated time in microseconds that this server adds to the request. */
static int64_t
replica_cost_us (const struct Replica *replica, const struct ReplicaQuery *query)
{
  int64_t cost_us = replica_paced_us (replica, query);

  if (replica->connected_until_ms <= query->now_ms || replica->in_flight > 0)
    cost_us += COST_CONNECT_US;
  if (query_decisions (query)->failures)
    cost_us += (int64_t)replica_failed_permille (replica, query->now_ms) * COST_FAILED_PERMILLE_US;
  if (query_decisions (query)->zones && strcmp (replica->entry.zone, query->zone) != 0)
    cost_us +=
        COST_OTHER_ZONE_US + (int64_t)(prompt_tokens (query) * COST_OTHER_ZONE_TOKEN_NS / 1000);
  return cost_us;
}

static bool
replica_is_full (const struct Replica *replica)
{
  return replica->in_flight + replica->peers_in_flight >= replica->entry.slots;
}

struct Replica *
replica_set_choose (struct ReplicaSet *set, const struct ReplicaQuery *query)
{
  const struct Replica *preferred = replica_for_object (set, query);
  struct Replica *best = NULL;
  int64_t best_us = 0;
  bool best_avoided = false;

  for (size_t i = 0; i < set->n_replicas; i++)
    {
      struct Replica *replica = set->replicas[(i + query->draw) % set->n_replicas];
      bool avoided = replica_is_avoided (replica, query);
      int64_t cost_us;

      if (!replica_is_eligible (replica, query) || query_excludes (query, replica->entry.id))
        continue;
      cost_us = replica_cost_us (replica, query);
      if (preferred != NULL && (replica != preferred || replica_is_full (replica)))
        cost_us += COST_NOT_PREFERRED_US;
      if (best != NULL && (avoided != best_avoided ? avoided : cost_us >= best_us))
        continue;
      best = replica;
      best_us = cost_us;
      best_avoided = avoided;
    }
  return best;
}

uint32_t
replica_set_used_permille (const struct ReplicaSet *set, const char *zone)
{
  struct ServiceCounts counts[SERVICES_MAX];
  size_t n = 0;
  uint32_t max_permille = 0;

  for (size_t i = 0; i < set->n_replicas; i++)
    {
      const struct Replica *replica = set->replicas[i];
      struct ServiceCounts *count;

      if (replica->entry.draining || strcmp (replica->entry.zone, zone) != 0)
        continue;
      count = counts_get_or_add (counts, &n, replica->entry.service);
      if (count == NULL)
        continue;
      count->running += replica->in_flight + replica->peers_in_flight;
      count->slots += replica->entry.slots > 0 ? replica->entry.slots : 1;
    }
  for (size_t i = 0; i < n; i++)
    if (counts[i].running * 1000 / counts[i].slots > max_permille)
      max_permille = (uint32_t)(counts[i].running * 1000 / counts[i].slots);
  return max_permille;
}

size_t
replica_set_update_paces (struct ReplicaSet *set, int64_t now_ms)
{
  struct PaceSubject *subjects = talloc_array (set, struct PaceSubject, set->n_replicas);
  size_t n = 0, n_sorted;

  if (subjects == NULL)
    return 0;
  for (size_t i = 0; i < set->n_replicas; i++)
    if (!set->replicas[i]->entry.draining)
      subjects[n++] =
          (struct PaceSubject){ set->replicas[i]->entry.service, &set->replicas[i]->pace };
  n_sorted = server_paces_update (set, subjects, n, now_ms);
  talloc_free (subjects);
  return n_sorted;
}

void
replica_note_result (struct Replica *replica, bool failed, int64_t now_ms)
{
  failure_rate_note (&replica->failure_rate, failed, now_ms);
}

void
replica_record_response (struct Replica *replica)
{
  replica->consecutive_failures = 0;
  replica->avoid_until_ms = 0;
}

void
replica_record_full (struct Replica *replica, int64_t now_ms)
{
  replica->consecutive_failures = 0;
  replica->avoid_until_ms = now_ms + AVOID_FULL_MS;
}

void
replica_record_failure (struct Replica *replica, int64_t now_ms)
{
  int64_t pause_ms = AVOID_FAILED_MS;

  for (uint32_t i = 0; i < replica->consecutive_failures && pause_ms < AVOID_FAILED_MAX_MS; i++)
    pause_ms *= 2;
  replica->consecutive_failures++;
  replica->avoid_until_ms = now_ms + pause_ms;
}

void
replica_set_clear_peers (struct ReplicaSet *set)
{
  for (size_t i = 0; i < set->n_replicas; i++)
    if (!set->replicas[i]->owned)
      set->replicas[i]->peers_in_flight = 0;
}

uint8_t *
replica_entry_pack (TALLOC_CTX *ctx, const struct ReplicaEntry *entry, size_t *n_bytes)
{
  struct PackWriter *p = pack_writer_new (ctx, false);
  uint8_t *bytes;

  if (p == NULL)
    return NULL;
  pack_array (p, 7);
  pack_string (p, entry->id);
  pack_string (p, entry->service);
  pack_string (p, entry->address);
  pack_string (p, entry->zone);
  pack_u64 (p, entry->slots);
  pack_bool (p, entry->draining);
  pack_u64 (p, entry->started_unix_ms);
  return pack_finish (p, ctx, &bytes, n_bytes) == ERROR_NONE ? bytes : NULL;
}

int32_t
replica_entry_unpack (const uint8_t *bytes, size_t n_bytes, struct ReplicaEntry *entry)
{
  struct PackReader r;
  void *opened = pack_open (NULL, bytes, n_bytes, &r);
  int32_t error;

  memset (entry, 0, sizeof *entry);
  if (opened == NULL)
    return ERROR_INVALID;
  read_string (&r, entry->id, sizeof entry->id);
  read_string (&r, entry->service, sizeof entry->service);
  read_string (&r, entry->address, sizeof entry->address);
  read_string (&r, entry->zone, sizeof entry->zone);
  entry->slots = (uint32_t)read_u64 (&r, UINT32_MAX);
  entry->draining = read_bool (&r);
  entry->started_unix_ms = read_u64 (&r, UINT64_MAX);
  error = read_end (&r);
  talloc_free (opened);
  return error;
}
