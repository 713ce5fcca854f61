#include <buckthornhead/server_health.h>

#include <buckthornhead/error.h>

enum
{
  HEALTH_FAILURES_MAX = 3,      /* in a row */
  HEALTH_SILENCE_MIN_MS = 5000, /* with calls in flight and no progress */
  HEALTH_SILENCE_GAPS = 20,     /* multiple of the learned gap between signs of progress */
  HEALTH_GAP_SHIFT = 4,         /* each sample moves the learned gap by 1/16 */
  HEALTH_PROBE_MS = 2000,
  STATUS_SERVER_ERROR = 500
};

struct ServerHealth
{
  uint32_t in_flight;
  uint32_t failures; /* in a row */
  int64_t gap_ms;    /* learned */
  int64_t last_progress_ms;
  int64_t next_probe_ms;
};

struct ServerHealth *
server_health_new (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, struct ServerHealth);
}

void
server_health_sent (struct ServerHealth *health, int64_t now_ms)
{
  /* Silence counts from the first call sent: an idle server shows no progress. */
  if (health->in_flight++ == 0)
    health->last_progress_ms = now_ms;
}

void
server_health_progress (struct ServerHealth *health, int64_t now_ms)
{
  int64_t gap = now_ms - health->last_progress_ms;

  health->gap_ms += (gap - health->gap_ms) / (1 << HEALTH_GAP_SHIFT);
  health->last_progress_ms = now_ms;
}

/* A 4xx response is the request's fault and shows that the server is alive. */
static bool
health_is_failure (const struct Outcome *outcome)
{
  switch (outcome->error)
    {
    case ERROR_UNREACHABLE:
    case ERROR_TIMEOUT:
    case ERROR_UNKNOWN_EFFECT:
      return true;
    case ERROR_BACKEND:
      return outcome->status == 0 || outcome->status >= STATUS_SERVER_ERROR;
    default:
      return false;
    }
}

void
server_health_ended (struct ServerHealth *health, const struct Outcome *outcome, int64_t now_ms)
{
  if (health->in_flight > 0)
    health->in_flight--;
  if (health_is_failure (outcome))
    {
      if (++health->failures == HEALTH_FAILURES_MAX)
        health->next_probe_ms = now_ms + HEALTH_PROBE_MS;
      return;
    }
  if (outcome->error == ERROR_CANCELLED)
    return;
  health->failures = 0;
  health->last_progress_ms = now_ms;
}

static int64_t
health_silence_ms (const struct ServerHealth *health)
{
  int64_t ms = health->gap_ms * HEALTH_SILENCE_GAPS;

  return ms > HEALTH_SILENCE_MIN_MS ? ms : HEALTH_SILENCE_MIN_MS;
}

bool
server_health_suspected (const struct ServerHealth *health, int64_t now_ms)
{
  if (health->failures >= HEALTH_FAILURES_MAX)
    return true;
  return health->in_flight > 0 && now_ms - health->last_progress_ms > health_silence_ms (health);
}

bool
server_health_needs_probe (struct ServerHealth *health, int64_t now_ms)
{
  if (!server_health_suspected (health, now_ms) || now_ms < health->next_probe_ms)
    return false;
  health->next_probe_ms = now_ms + HEALTH_PROBE_MS;
  return true;
}
