/* Which client a process gives up first when it is short of memory.
 *
 * Clients that have stalled go first, the one that holds most for longest before the others. Then
 * requests that are still being read, which have not run; then clients that read their responses;
 * and at last large requests whose response has not begun; the one that holds most first. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  RECLAIM_SMALL_BYTES = 64 * 1024 /* clients that hold up to this much are small */
};

/* How a client that sends or reads gets on. */
struct ProgressMeter
{
  int64_t since_ms; /* when the bytes below began to count */
  size_t n_bytes;   /* sent or read since then */
};

/* Starts to measure a request or response at now_ms. */
void
progress_start (struct ProgressMeter *meter, int64_t now_ms);

/* Records n_bytes that the client has sent or read. Single bytes now and then are no progress. */
void
progress_record (struct ProgressMeter *meter, size_t n_bytes, int64_t now_ms);

/* Returns for how long the client has made no progress, in milliseconds. */
int64_t
progress_stalled_ms (const struct ProgressMeter *meter, int64_t now_ms);

enum ReclaimStage
{
  RECLAIM_READING,    /* its request is being read */
  RECLAIM_RESPONDING, /* it has not read all of its response */
  RECLAIM_WAITING     /* for its response */
};

struct ReclaimCandidate
{
  enum ReclaimStage stage;
  uint64_t held_bytes; /* what is held for the client */
  int64_t stalled_ms;  /* see progress_stalled_ms; 0 while it waits */
};

/* Returns whether giving up the client frees enough to be worth it. */
bool
reclaim_is_eligible (const struct ReclaimCandidate *candidate);

/* Returns whether the client makes no progress. */
bool
reclaim_is_stalled (const struct ReclaimCandidate *candidate);

/* The client to be given up first of those considered so far. An all-zero choice has none. */
struct ReclaimChoice
{
  void *client;
  struct ReclaimCandidate candidate;
};

/* Chooses client instead if giving it up is worth it and it precedes the one chosen so far. */
void
reclaim_consider (struct ReclaimChoice *choice,
                  void *client,
                  const struct ReclaimCandidate *candidate);

/* Returns whether the client may be given up for a request that is being read: not while it reads a
 * response and gets on, nor while it waits for one. */
bool
reclaim_yields_to_request (const struct ReclaimCandidate *candidate);

/* Returns whether a is given up before b. */
bool
reclaim_precedes (const struct ReclaimCandidate *a, const struct ReclaimCandidate *b);

/* Returns how much of a budget of max_bytes may be in use after a request with a body of body_bytes
 * so far has grown. Large requests may use a part of it only: the rest is for small requests and
 * for responses. The smallest are always accepted: UINT64_MAX. */
uint64_t
reclaim_budget (uint64_t max_bytes, uint64_t body_bytes);
