#include <buckthornhead/reclaim.h>

enum
{
  PROGRESS_BYTES = 16 * 1024, /* what a client has to send or read to make progress */
  STALLED_MS = 500,
  HELD_MIN_BYTES = 4096, /* giving up a client that holds less frees next to nothing */
  ALWAYS_ACCEPTED_BYTES = 4096,
  LARGE_SHARE_PERCENT = 75
};

void
progress_start (struct ProgressMeter *meter, int64_t now_ms)
{
  meter->since_ms = now_ms;
  meter->n_bytes = 0;
}

void
progress_record (struct ProgressMeter *meter, size_t n_bytes, int64_t now_ms)
{
  meter->n_bytes += n_bytes;
  if (meter->n_bytes >= PROGRESS_BYTES)
    progress_start (meter, now_ms);
}

int64_t
progress_stalled_ms (const struct ProgressMeter *meter, int64_t now_ms)
{
  return now_ms > meter->since_ms ? now_ms - meter->since_ms : 0;
}

static bool
is_large (const struct ReclaimCandidate *candidate)
{
  return candidate->held_bytes > RECLAIM_SMALL_BYTES;
}

bool
reclaim_is_eligible (const struct ReclaimCandidate *candidate)
{
  return candidate->stage == RECLAIM_WAITING ? is_large (candidate)
                                             : candidate->held_bytes >= HELD_MIN_BYTES;
}

bool
reclaim_is_stalled (const struct ReclaimCandidate *candidate)
{
  return candidate->stalled_ms >= STALLED_MS;
}

bool
reclaim_precedes (const struct ReclaimCandidate *a, const struct ReclaimCandidate *b)
{
  bool a_is_stalled = reclaim_is_stalled (a), b_is_stalled = reclaim_is_stalled (b);

  if (a_is_stalled != b_is_stalled)
    return a_is_stalled;
  if (a_is_stalled)
    return a->held_bytes * (uint64_t)a->stalled_ms > b->held_bytes * (uint64_t)b->stalled_ms;
  if (a->stage != b->stage)
    return a->stage < b->stage;
  return a->held_bytes > b->held_bytes;
}

void
reclaim_consider (struct ReclaimChoice *choice,
                  void *client,
                  const struct ReclaimCandidate *candidate)
{
  if (!reclaim_is_eligible (candidate)
      || (choice->client != NULL && !reclaim_precedes (candidate, &choice->candidate)))
    return;
  choice->client = client;
  choice->candidate = *candidate;
}

bool
reclaim_yields_to_request (const struct ReclaimCandidate *candidate)
{
  return candidate->stage == RECLAIM_READING || reclaim_is_stalled (candidate);
}

uint64_t
reclaim_budget (uint64_t max_bytes, uint64_t body_bytes)
{
  if (body_bytes <= ALWAYS_ACCEPTED_BYTES)
    return UINT64_MAX;
  return body_bytes > RECLAIM_SMALL_BYTES ? max_bytes / 100 * LARGE_SHARE_PERCENT : max_bytes;
}
