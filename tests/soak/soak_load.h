/* Programs and calls of a soak, and what their callers check while it runs. */
#pragma once

#include "gateways.h"

#include <pthread.h>
#include <stdatomic.h>

struct SoakCounts
{
  _Atomic uint32_t n_turns, n_calls, n_refused, n_unknown, n_programs, n_violations;
};

enum
{
  SOAK_CUSTOMERS = 3,
  /* The last one's limit, and what operators bear over it in any five seconds. */
  SOAK_LIMIT_PER_S = 12,
  SOAK_LIMIT_BOUND = (SOAK_LIMIT_PER_S * 5 + SOAK_LIMIT_PER_S) * 11 / 10 + 20
};

/* Customers "c0", "c1"..., each with one key, for the operators' configuration. */
extern const char soak_customers[];

struct SoakLoad
{
  struct Fleet *fleet;
  uint64_t seed;
  _Atomic bool ends;
  struct SoakCounts counts;
  pthread_mutex_t lock;
  char **not_run; /* ids of requests whose callers were told that they never run */
  size_t n_not_run;
  char **kept; /* ids of turns that were answered whole, the last of each program */
  size_t n_kept;
};

/* Starts n_callers threads, which end with soak_load_end. */
void
soak_load_start (struct SoakLoad *load, uint32_t n_callers);
void
soak_load_end (struct SoakLoad *load);

/* Once all faults are over: what was said not to run has not run, each turn that was answered whole
 * can be continued, and new programs are served by every gateway. */
void
soak_check_end (struct SoakLoad *load);

/* Prints what is broken, and counts it. */
void
soak_violation (struct SoakLoad *load, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
