#include "soak_plan.h"

#include <stdlib.h>

enum
{
  FIRST_MS = 500,
  GAP_MAX_MS = 1200,
  DURATION_MIN_MS = 200,
  DURATION_MAX_MS = 3500,
  LOADS_MAX = SOAK_EVENTS_MAX / 4,
  LOAD_GAP_MAX_MS = 2500,
  MACHINE_GAP_MAX_MS = 1500,
  RETURN_GAP_MS = 6000,
  CONNECTIONS_MS = 3000, /* at least: as long as the processes' use of processors is averaged */
  WIPE_GAP_MS = 9000     /* for copying to the wiped archive: 1 s, also with paused gateways */
};

static const char *const names[N_SOAK_FAULTS] = {
  "gateway killed",
  "gateway stopped as planned",
  "gateway paused",
  "gateway's links",
  "archive killed",
  "archive paused",
  "archive's links",
  "archive's disk lost",
  "store",
  "store's links",
  "server",
  "configuration",
  "everything killed",
  "engine four times slower",
  "false load",
  "three times the demand",
  "customer over its limit",
  "reloads",
  "planned stop with further signals",
  "more connections than descriptors",
  "everything killed, returns",
};

const char *
soak_fault_name (enum SoakFault fault)
{
  return names[fault];
}

static uint32_t
draw (uint64_t *state, uint32_t below)
{
  *state = *state * 6364136223846793005ULL + 1442695040888963407ULL;
  return (uint32_t)(*state >> 33) % below;
}

static bool
affects_archives (enum SoakFault fault)
{
  switch (fault)
    {
    case SOAK_ARCHIVE_KILL:
    case SOAK_ARCHIVE_PAUSE:
    case SOAK_ARCHIVE_LINK:
    case SOAK_KILL_ALL:
      return true;
    default:
      return false;
    }
}

static int
event_compare (const void *a, const void *b)
{
  const struct SoakEvent *first = a, *second = b;

  return (first->at_ms > second->at_ms) - (first->at_ms < second->at_ms);
}

/* Appends loads to n events and returns the number of all. */
static size_t
plan_loads (uint64_t seed, int64_t length_ms, struct SoakEvent events[SOAK_EVENTS_MAX], size_t n)
{
  uint64_t state = seed * 104729 + 5;
  uint32_t n_surges = 0;

  for (int64_t at_ms = FIRST_MS; at_ms < length_ms && n < SOAK_EVENTS_MAX;
       at_ms += draw (&state, LOAD_GAP_MAX_MS))
    {
      struct SoakEvent *event = &events[n++];

      event->at_ms = at_ms;
      event->fault = SOAK_SERVER_SLOW + draw (&state, N_SOAK_LOADS);
      event->duration_ms = DURATION_MIN_MS + draw (&state, DURATION_MAX_MS - DURATION_MIN_MS);
      event->target = event->fault == SOAK_SURGE ? n_surges++ : draw (&state, 1u << 16);
      event->variant = draw (&state, 1u << 16);
    }
  return n;
}

size_t
soak_plan (uint64_t seed, int64_t length_ms, struct SoakEvent events[SOAK_EVENTS_MAX])
{
  uint64_t state = seed * 7919 + 17;
  bool wipes_disks = draw (&state, 2) == 0;
  int64_t at_ms = FIRST_MS, next_wipe_ms = FIRST_MS;
  size_t n = 0;

  while (at_ms < length_ms && n < SOAK_EVENTS_MAX - LOADS_MAX)
    {
      struct SoakEvent event = { .at_ms = at_ms, .fault = draw (&state, SOAK_SERVER_SLOW) };

      event.duration_ms = DURATION_MIN_MS + draw (&state, DURATION_MAX_MS - DURATION_MIN_MS);
      event.target = draw (&state, 1u << 16);
      event.variant = draw (&state, 1u << 16);
      at_ms += draw (&state, GAP_MAX_MS);
      if (wipes_disks ? affects_archives (event.fault) : event.fault == SOAK_ARCHIVE_WIPE)
        continue;
      if (event.fault == SOAK_ARCHIVE_WIPE && event.at_ms < next_wipe_ms)
        continue;
      if (event.fault == SOAK_ARCHIVE_WIPE)
        next_wipe_ms = event.at_ms + event.duration_ms + WIPE_GAP_MS;
      events[n++] = event;
    }
  n = plan_loads (seed, length_ms, events, n);
  qsort (events, n, sizeof events[0], event_compare);
  return n;
}

size_t
soak_plan_machines (uint64_t seed,
                    int64_t length_ms,
                    struct SoakEvent events[SOAK_ALL_EVENTS_MAX],
                    size_t n)
{
  uint64_t state = seed * 15485863 + 11;
  int64_t next_return_ms = FIRST_MS;

  for (int64_t at_ms = FIRST_MS; at_ms < length_ms && n < SOAK_ALL_EVENTS_MAX - 1;
       at_ms += draw (&state, MACHINE_GAP_MAX_MS))
    {
      struct SoakEvent event = { .at_ms = at_ms };

      event.fault = SOAK_RELOADS + draw (&state, N_SOAK_MACHINE_FAULTS);
      event.duration_ms = DURATION_MIN_MS + draw (&state, DURATION_MAX_MS - DURATION_MIN_MS);
      event.target = draw (&state, 1u << 16);
      event.variant = draw (&state, 1u << 16);
      if (event.fault == SOAK_CONNECTIONS)
        event.duration_ms += CONNECTIONS_MS;
      if (event.fault == SOAK_RETURN && at_ms < next_return_ms)
        continue;
      if (event.fault == SOAK_RETURN)
        next_return_ms = at_ms + RETURN_GAP_MS;
      events[n++] = event;
    }
  events[n].at_ms = length_ms;
  events[n].fault = SOAK_RETURN;
  events[n].duration_ms = DURATION_MIN_MS + draw (&state, DURATION_MAX_MS - DURATION_MIN_MS);
  events[n].target = draw (&state, 1u << 16);
  events[n++].variant = draw (&state, 1u << 16);
  qsort (events, n, sizeof events[0], event_compare);
  return n;
}
