/* Draws the faults of a soak run and their times from a seed. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum SoakFault
{
  SOAK_GATEWAY_KILL,
  SOAK_GATEWAY_TERM,
  SOAK_GATEWAY_PAUSE,
  SOAK_GATEWAY_LINK, /* faults on connections to it */
  SOAK_ARCHIVE_KILL,
  SOAK_ARCHIVE_PAUSE,
  SOAK_ARCHIVE_LINK,
  SOAK_ARCHIVE_WIPE, /* killed, and restarted with an empty disk */
  SOAK_STORE,        /* refuses requests, or accepts them and does not respond */
  SOAK_STORE_LINK,
  SOAK_SERVER, /* an engine or the desk fails requests */
  SOAK_CONFIG, /* the operators write a new configuration version */
  SOAK_KILL_ALL,
  SOAK_SERVER_SLOW, /* an engine takes four times as long */
  SOAK_SERVER_LOAD, /* a server reports a false load */
  SOAK_WAVE,        /* three times the demand */
  SOAK_SURGE,       /* a customer exceeds its limit; the next one each time */
  SOAK_RELOADS,     /* a running process receives SIGHUP several times */
  SOAK_STOP,        /* a planned stop, and further signals during it */
  SOAK_CONNECTIONS, /* callers open more connections than a gateway has descriptors */
  SOAK_RETURN,      /* everything is killed and returns, once the other faults are over */
  N_SOAK_FAULTS,
  N_SOAK_LOADS = SOAK_RELOADS - SOAK_SERVER_SLOW,
  N_SOAK_MACHINE_FAULTS = N_SOAK_FAULTS - SOAK_RELOADS
};

struct SoakEvent
{
  int64_t at_ms, duration_ms;
  enum SoakFault fault;
  uint32_t target;  /* any number; used modulo the number of targets */
  uint32_t variant; /* any number; used modulo the number of variants */
};

enum
{
  SOAK_EVENTS_MAX = 256,
  SOAK_ALL_EVENTS_MAX = 2 * SOAK_EVENTS_MAX /* with those of hostile machines */
};

/* Fills events in the order of their start and returns their number. With one seed, archives either
 * lose their disks, one at a time with a gap for copying, or have the other faults: only the loss
 * of one disk at a time is guaranteed to be tolerated. Loads are drawn apart, so that a seed keeps
 * its faults. */
size_t
soak_plan (uint64_t seed, int64_t length_ms, struct SoakEvent events[SOAK_EVENTS_MAX]);

/* Adds the faults of hostile machines to n events, in the order of their start, and returns the
 * number of all. They are drawn apart as well. The last one is a return of everything. */
size_t
soak_plan_machines (uint64_t seed,
                    int64_t length_ms,
                    struct SoakEvent events[SOAK_ALL_EVENTS_MAX],
                    size_t n);

const char *
soak_fault_name (enum SoakFault fault);
