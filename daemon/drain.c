#include "drain.h"

#include "entry.h"
#include "home.h"
#include "owner.h"

#include <buckthornhead/log.h>

enum
{
  STEP_MS = 100,
  /* Longer than the longest time that a caller may keep an answer to "which address?". */
  KEEP_SERVING_MS = 3000,
  /* Quiet for so long: a request that was on its way when the last one ended has come. */
  QUIET_MS = 500
};

struct Drain
{
  struct Core *core;
  bool handing_off;
  uint64_t era;           /* of the home that was asked to hand off */
  int64_t quiet_since_ms; /* 0: not quiet */
  void (*stopped) (void *data);
  void *data;
};

static bool
drain_is_quiet (struct Drain *drain)
{
  struct Core *core = drain->core;
  uint32_t partitions, programs, waiting, in_flight;

  home_count (core->home, &partitions, &programs);
  owner_count (core->owner, &waiting, &in_flight);
  return partitions == 0 && waiting == 0 && in_flight == 0 && entry_count (core->entry) == 0;
}

static void
drain_on_handed_off (void *data, int32_t error)
{
  struct Drain *drain = data;

  (void)error;
  drain->handing_off = false;
  log_event (LOG_LEVEL_NOTICE, "drain_handed_off", NULL, NULL, "no program is homed here any more");
}

static void
drain_hand_off (struct Drain *drain)
{
  uint32_t partitions, programs;

  home_count (drain->core->home, &partitions, &programs);
  /* An instance that was fenced while it drained has a new incarnation, which knows nothing of the
   * stop: without this it would be given partitions, and the stop would never end. */
  if (drain->era != home_era (drain->core->home))
    {
      drain->era = home_era (drain->core->home);
      drain->handing_off = false;
      membership_set_draining (drain->core->membership, true);
    }
  if (drain->handing_off || partitions == 0)
    return;
  drain->handing_off = true;
  home_hand_off_all (drain->core->home, drain_on_handed_off, drain);
}

static void
drain_on_step (void *data)
{
  struct Drain *drain = data;
  struct Core *core = drain->core;
  int64_t now_ms = timer_now_ms (core->timers);

  if (!core->draining)
    return;
  drain_hand_off (drain);
  if (!drain_is_quiet (drain))
    {
      drain->quiet_since_ms = 0;
      return;
    }
  if (drain->quiet_since_ms == 0)
    drain->quiet_since_ms = now_ms;
  if (drain->stopped == NULL || now_ms - core->draining_since_ms < KEEP_SERVING_MS
      || now_ms - drain->quiet_since_ms < QUIET_MS)
    return;
  core->draining = false;
  drain->stopped (drain->data);
}

void
drain_set (struct Drain *drain, bool on)
{
  struct Core *core = drain->core;

  if (core->draining == on || drain->stopped != NULL)
    return;
  core->draining = on;
  core->draining_since_ms = timer_now_ms (core->timers);
  drain->quiet_since_ms = 0;
  log_event (LOG_LEVEL_NOTICE, on ? "drain_started" : "drain_ended", NULL, NULL, "%s",
             core->settings->instance);
  if (!on)
    {
      drain->handing_off = false;
      home_serve_again (core->home);
    }
  membership_set_draining (core->membership, on);
}

void
drain_stop (struct Drain *drain, void (*stopped) (void *data), void *data)
{
  drain_set (drain, true);
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
  timer_subscribe (drain, core->timers, STEP_MS, STEP_MS, drain_on_step, drain);
  return drain;
}
