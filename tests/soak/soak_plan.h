/* What goes wrong in a soak, and when: drawn from a seed, the same for the same seed. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum SoakFault
{
  SOAK_GATEWAY_KILL,
  SOAK_GATEWAY_TERM,
  SOAK_GATEWAY_PAUSE,
  SOAK_GATEWAY_LINK, /* connections of others to it misbehave */
  SOAK_ARCHIVE_KILL,
  SOAK_ARCHIVE_PAUSE,
  SOAK_ARCHIVE_LINK,
  SOAK_ARCHIVE_WIPE, /* killed, and its disk comes back empty */
  SOAK_STORE,        /* refuses, or takes calls and answers none */
  SOAK_STORE_LINK,
  SOAK_SERVER, /* an engine or the desk misbehaves */
  SOAK_CONFIG, /* the operators write a new version */
  SOAK_KILL_ALL,
  N_SOAK_FAULTS
};

struct SoakEvent
{
  int64_t at_ms, for_ms;
  enum SoakFault fault;
  uint32_t target; /* any number: taken modulo how many there are */
  uint32_t how;    /* any number: which variant */
};

enum
{
  SOAK_EVENTS_MAX = 256
};

/* Fills events in the order of their times; returns how many. Of one seed, archives either lose
 * their disks, one after the other with time to copy between, or everything else goes wrong with
 * them: no more than the loss of one disk at a time is promised to be borne. */
size_t
soak_plan (uint64_t seed, int64_t length_ms, struct SoakEvent events[SOAK_EVENTS_MAX]);

const char *
soak_fault_name (enum SoakFault fault);
