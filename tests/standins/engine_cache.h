/* Prefix cache of the engine stand-in: limited memory, least recently used goes first.
 *
 * A prompt is a chain of segments, one a message; a segment's hash covers everything before it.
 * Not thread-safe: the engine's lock guards it. */
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

/* Tokens of the longest cached run of segments from the start. */
uint32_t
engine_cache_match (struct EngineCache *cache, const struct EngineSegment *segments, size_t n);

/* Holds segments for program ("" for nobody), evicting others as needed. */
void
engine_cache_store (struct EngineCache *cache,
                    const struct EngineSegment *segments,
                    size_t n,
                    const char *program);

/* Drops what only program holds. Tokens freed. */
uint64_t
engine_cache_release (struct EngineCache *cache, const char *program);
uint64_t
engine_cache_held_tokens (const struct EngineCache *cache, const char *program);
uint64_t
engine_cache_used_tokens (const struct EngineCache *cache);

/* Cache events are numbered from 1 and published late and with gaps. */
uint64_t
engine_cache_last_event (const struct EngineCache *cache);
/* Events after `after` that happened before before_ms, without every EVENT_GAP-th. */
json_t *
engine_cache_events (const struct EngineCache *cache, uint64_t after, int64_t before_ms);
/* The engine's clock, for stamping events. */
void
engine_cache_set_time (struct EngineCache *cache, int64_t now_ms);
