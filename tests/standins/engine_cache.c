#include "engine_cache.h"

#include <string.h>

enum
{
  N_BUCKETS = 8192,
  EVENTS_MAX = 2048,
  EVENT_GAP = 17 /* every EVENT_GAP-th event is never published */
};

struct CacheEntry
{
  struct EngineSegment segment;
  struct CacheEntry *next_in_bucket;
  struct CacheEntry *newer, *older;
  char **programs; /* programs that hold the entry; a talloc array, child of the entry */
};

struct CacheEvent
{
  uint64_t number;
  int64_t time_ms;
  bool stored; /* otherwise evicted or released */
  struct EngineSegment segment;
};

struct EngineCache
{
  uint64_t capacity_tokens, used_tokens;
  struct CacheEntry *buckets[N_BUCKETS];
  struct CacheEntry *newest, *oldest;
  struct CacheEvent events[EVENTS_MAX];
  uint64_t last_event;
  int64_t now_ms;
};

struct EngineCache *
engine_cache_new (TALLOC_CTX *ctx, uint64_t capacity_tokens)
{
  struct EngineCache *cache = talloc_zero (ctx, struct EngineCache);

  if (cache != NULL)
    cache->capacity_tokens = capacity_tokens;
  return cache;
}

void
engine_cache_set_time (struct EngineCache *cache, int64_t now_ms)
{
  cache->now_ms = now_ms;
}

static void
cache_record_event (struct EngineCache *cache, const struct CacheEntry *entry, bool stored)
{
  struct CacheEvent *event;

  cache->last_event++;
  event = &cache->events[cache->last_event % EVENTS_MAX];
  event->number = cache->last_event;
  event->time_ms = cache->now_ms;
  event->stored = stored;
  event->segment = entry->segment;
}

static struct CacheEntry **
cache_find (struct EngineCache *cache, uint64_t hash)
{
  struct CacheEntry **link = &cache->buckets[hash % N_BUCKETS];

  while (*link != NULL && (*link)->segment.hash != hash)
    link = &(*link)->next_in_bucket;
  return link;
}

static void
cache_unlink (struct EngineCache *cache, struct CacheEntry *entry)
{
  if (entry->newer != NULL)
    entry->newer->older = entry->older;
  else
    cache->newest = entry->older;
  if (entry->older != NULL)
    entry->older->newer = entry->newer;
  else
    cache->oldest = entry->newer;
  entry->newer = NULL;
  entry->older = NULL;
}

static void
cache_link_newest (struct EngineCache *cache, struct CacheEntry *entry)
{
  entry->older = cache->newest;
  if (cache->newest != NULL)
    cache->newest->newer = entry;
  else
    cache->oldest = entry;
  cache->newest = entry;
}

static void
cache_drop (struct EngineCache *cache, struct CacheEntry *entry)
{
  *cache_find (cache, entry->segment.hash) = entry->next_in_bucket;
  cache_unlink (cache, entry);
  cache->used_tokens -= entry->segment.tokens;
  cache_record_event (cache, entry, false);
  talloc_free (entry);
}

static size_t
entry_program_index (const struct CacheEntry *entry, const char *program)
{
  size_t n = talloc_array_length (entry->programs);

  for (size_t i = 0; i < n; i++)
    if (strcmp (entry->programs[i], program) == 0)
      return i;
  return n;
}

static bool
entry_is_held_by (const struct CacheEntry *entry, const char *program)
{
  return entry_program_index (entry, program) < talloc_array_length (entry->programs);
}

static void
entry_add_program (struct CacheEntry *entry, const char *program)
{
  size_t n = talloc_array_length (entry->programs);

  if (program[0] == '\0' || entry_is_held_by (entry, program))
    return;
  entry->programs = talloc_realloc (entry, entry->programs, char *, n + 1);
  entry->programs[n] = talloc_strdup (entry->programs, program);
}

static void
entry_remove_program (struct CacheEntry *entry, const char *program)
{
  size_t n = talloc_array_length (entry->programs);
  size_t i = entry_program_index (entry, program);

  if (i == n)
    return;
  talloc_free (entry->programs[i]);
  entry->programs[i] = entry->programs[n - 1];
  entry->programs = talloc_realloc (entry, entry->programs, char *, n - 1);
}

uint32_t
engine_cache_match (struct EngineCache *cache, const struct EngineSegment *segments, size_t n)
{
  uint32_t tokens = 0;

  for (size_t i = 0; i < n; i++)
    {
      if (*cache_find (cache, segments[i].hash) == NULL)
        break;
      tokens += segments[i].tokens;
    }
  return tokens;
}

static void
cache_insert (struct EngineCache *cache, const struct EngineSegment *segment)
{
  struct CacheEntry *entry = talloc_zero (cache, struct CacheEntry);
  struct CacheEntry **link = cache_find (cache, segment->hash);

  entry->segment = *segment;
  *link = entry;
  cache_link_newest (cache, entry);
  cache->used_tokens += segment->tokens;
  cache_record_event (cache, entry, true);
}

void
engine_cache_store (struct EngineCache *cache,
                    const struct EngineSegment *segments,
                    size_t n,
                    const char *program)
{
  /* From the end, so that the start of a prompt is the most recently used and is evicted last. */
  for (size_t i = n; i-- > 0;)
    {
      struct CacheEntry *entry;

      if (*cache_find (cache, segments[i].hash) == NULL)
        cache_insert (cache, &segments[i]);
      entry = *cache_find (cache, segments[i].hash);
      cache_unlink (cache, entry);
      cache_link_newest (cache, entry);
      entry_add_program (entry, program);
    }
  while (cache->used_tokens > cache->capacity_tokens && cache->oldest != NULL)
    cache_drop (cache, cache->oldest);
}

uint64_t
engine_cache_release (struct EngineCache *cache, const char *program)
{
  uint64_t before_tokens = cache->used_tokens;
  struct CacheEntry *next;

  for (struct CacheEntry *entry = cache->newest; entry != NULL; entry = next)
    {
      next = entry->older;
      if (!entry_is_held_by (entry, program))
        continue;
      entry_remove_program (entry, program);
      if (talloc_array_length (entry->programs) == 0)
        cache_drop (cache, entry);
    }
  return before_tokens - cache->used_tokens;
}

uint64_t
engine_cache_held_tokens (const struct EngineCache *cache, const char *program)
{
  uint64_t tokens = 0;

  for (struct CacheEntry *entry = cache->newest; entry != NULL; entry = entry->older)
    if (entry_is_held_by (entry, program))
      tokens += entry->segment.tokens;
  return tokens;
}

uint64_t
engine_cache_used_tokens (const struct EngineCache *cache)
{
  return cache->used_tokens;
}

uint64_t
engine_cache_last_event (const struct EngineCache *cache)
{
  return cache->last_event;
}

static json_t *
cache_event_json (const struct CacheEvent *event)
{
  char hash[17];

  snprintf (hash, sizeof hash, "%016llx", (unsigned long long)event->segment.hash);
  return json_pack ("{s:I, s:s, s:s, s:I}", "number", (json_int_t)event->number, "kind",
                    event->stored ? "stored" : "evicted", "hash", hash, "tokens",
                    (json_int_t)event->segment.tokens);
}

json_t *
engine_cache_events (const struct EngineCache *cache, uint64_t after, int64_t before_ms)
{
  json_t *events = json_array ();
  uint64_t first = after + 1;

  if (cache->last_event > EVENTS_MAX && first <= cache->last_event - EVENTS_MAX)
    first = cache->last_event - EVENTS_MAX + 1;
  for (uint64_t n = first; n <= cache->last_event; n++)
    {
      const struct CacheEvent *event = &cache->events[n % EVENTS_MAX];

      if (event->time_ms > before_ms)
        break;
      if (n % EVENT_GAP != 0)
        json_array_append_new (events, cache_event_json (event));
    }
  return events;
}
