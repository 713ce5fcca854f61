#include "drain.h"

#include "entry.h"
#include "home.h"
#include "owner.h"

#include <buckthornhead/log.h>

enum
{
  POLL_MS = 100,
  /* Exceeds the longest time for which a caller may cache an address from /v1/connect. */
  SERVE_MIN_MS = 3000,
  /* Idle time before the stop, in which a request arrives that was in transit when the last one
   * ended. */
  IDLE_MS = 500,
  /* Without the store programs cannot be handed off, and their next homes will read the journal, as
   * after a crash. */
  HAND_OFF_STUCK_MS = 15 * 1000
};

struct Drain
{
  struct Core *core;
  bool handing_off;
  uint64_t home_starts;  /* of the home that was requested to hand off its programs */
  int64_t idle_since_ms; /* 0: not idle */
  uint32_t n_partitions; /* at the last change, at .changed_ms */
  int64_t changed_ms;
  void (*stopped) (void *data);
  void *data;
};

/* Returns whether the hand-off has not got on for too long. */
static bool
drain_is_stuck (struct Drain *drain, uint32_t n_partitions)
{
  int64_t now_ms = timer_now_ms (drain->core->timers);

  if (drain->changed_ms == 0 || drain->n_partitions != n_partitions)
    {
      drain->n_partitions = n_partitions;
      drain->changed_ms = now_ms;
    }
  return now_ms - drain->changed_ms >= HAND_OFF_STUCK_MS;
}

static bool
drain_is_idle (struct Drain *drain)
{
  struct Core *core = drain->core;
  uint32_t partitions, programs, waiting, in_flight;

  home_count (core->home, &partitions, &programs);
  owner_count (core->owner, &waiting, &in_flight);
  if (waiting > 0 || in_flight > 0 || entry_n_calls (core->entry) > 0)
    return false;
  return partitions == 0 || (drain->stopped != NULL && drain_is_stuck (drain, partitions));
}

static void
drain_on_handed_off (void *data, int32_t error)
{
  struct Drain *drain = data;

  (void)error;
  drain->handing_off = false;
  log_event (LOG_LEVEL_NOTICE, "drain_handed_off", NULL, NULL,
             "no program has its home here any more");
}

static void
drain_hand_off (struct Drain *drain)
{
  uint32_t partitions, programs;

  home_count (drain->core->home, &partitions, &programs);
  /* An instance that is fenced during a drain gets a new incarnation, which is not registered as
   * draining. Without this it would be assigned partitions, and the drain would never complete. */
  if (drain->home_starts != home_n_starts (drain->core->home))
    {
      drain->home_starts = home_n_starts (drain->core->home);
      drain->handing_off = false;
      membership_set_draining (drain->core->membership, true);
    }
  if (drain->handing_off || partitions == 0)
    return;
  drain->handing_off = true;
  home_hand_off_all (drain->core->home, drain_on_handed_off, drain);
}

static void
drain_log_stop (const struct Drain *drain)
{
  uint32_t partitions, programs;

  home_count (drain->core->home, &partitions, &programs);
  if (partitions > 0)
    log_event (LOG_LEVEL_WARNING, "drain_not_handed_off", NULL,
               "look at the key-value service: other instances read the programs from it",
               "stops as home of %u partitions with %u programs", partitions, programs);
}

static void
drain_on_poll (void *data)
{
  struct Drain *drain = data;
  struct Core *core = drain->core;
  int64_t now_ms = timer_now_ms (core->timers);

  if (!core->draining)
    return;
  drain_hand_off (drain);
  if (!drain_is_idle (drain))
    {
      drain->idle_since_ms = 0;
      return;
    }
  if (drain->idle_since_ms == 0)
    drain->idle_since_ms = now_ms;
  if (drain->stopped == NULL || now_ms - core->draining_since_ms < SERVE_MIN_MS
      || now_ms - drain->idle_since_ms < IDLE_MS)
    return;
  core->draining = false;
  drain_log_stop (drain);
  drain->stopped (drain->data);
}

void
drain_set_enabled (struct Drain *drain, bool on)
{
  struct Core *core = drain->core;

  if (core->draining == on || drain->stopped != NULL)
    return;
  core->draining = on;
  core->draining_since_ms = timer_now_ms (core->timers);
  drain->idle_since_ms = 0;
  drain->changed_ms = 0;
  log_event (LOG_LEVEL_NOTICE, on ? "drain_started" : "drain_ended", NULL, NULL, "%s",
             core->settings->instance);
  if (!on)
    {
      drain->handing_off = false;
      home_cancel_hand_off (core->home);
    }
  membership_set_draining (core->membership, on);
}

void
drain_stop (struct Drain *drain, void (*stopped) (void *data), void *data)
{
  drain_set_enabled (drain, true);
  drain->stopped = stopped;
  drain->data = data;
}

struct Drain *
drain_new (struct Core *core)
{
  struct Drain *drain = talloc_zero (core, struct Drain);

  if (drain == NULL)
    return NULL;
  drain->core = core;
  timer_subscribe (drain, core->timers, POLL_MS, POLL_MS, drain_on_poll, drain);
  return drain;
}
