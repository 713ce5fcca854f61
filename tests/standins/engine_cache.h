/* Prefix cache of the engine stand-in, with limited memory and LRU eviction.
 *
 * A prompt is a chain of segments, one per message; the hash of a segment also covers all segments
 * before it.
 * Not thread-safe: guarded by the lock of the engine model. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>
#include <talloc.h>

struct EngineSegment
{
  uint64_t hash;
  uint32_t tokens;
};

struct EngineCache;

struct EngineCache *
engine_cache_new (TALLOC_CTX *ctx, uint64_t capacity_tokens);

/* Returns the number of tokens of the longest cached prefix of segments. */
uint32_t
engine_cache_match (struct EngineCache *cache, const struct EngineSegment *segments, size_t n);

/* Stores segments, held by program ("": by none), and evicts the least recently used ones as
 * needed. */
void
engine_cache_store (struct EngineCache *cache,
                    const struct EngineSegment *segments,
                    size_t n,
                    const char *program);

/* Drops the segments that only program holds. Returns the number of tokens freed. */
uint64_t
engine_cache_release (struct EngineCache *cache, const char *program);
uint64_t
engine_cache_held_tokens (const struct EngineCache *cache, const char *program);
uint64_t
engine_cache_used_tokens (const struct EngineCache *cache);

/* Returns the number of the last event. Events are numbered from 1; they are published late and
 * with gaps. */
uint64_t
engine_cache_last_event (const struct EngineCache *cache);
/* Returns the events after number `after` up to the time before_ms, without every EVENT_GAP-th. */
json_t *
engine_cache_events (const struct EngineCache *cache, uint64_t after, int64_t before_ms);
/* Sets the time that later events are stamped with. */
void
engine_cache_set_time (struct EngineCache *cache, int64_t now_ms);
