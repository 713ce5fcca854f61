/* Callers of a soak run: they send programs and calls and check the responses during the faults. */
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
  SOAK_CUSTOMERS = 3, /* of programs */
  /* Customers with the same limit as the last one, which send nothing but surges. */
  SOAK_SURGE_CUSTOMERS = 2,
  SOAK_WAVE_FACTOR = 3,
  SOAK_LIMIT_PER_S = 12, /* requests per second of the last customer, with the same burst */
  /* Most requests of the last customer in any 5 s that the operators tolerate: rate and burst, a
   * tenth more, and 20. */
  SOAK_LIMIT_TOLERATED = (SOAK_LIMIT_PER_S * 5 + SOAK_LIMIT_PER_S) * 11 / 10 + 20
};

/* Customers "c0", "c1"..., each with one key, as JSON for the operators' configuration. */
extern const char soak_customers[];

struct SoakLoad
{
  struct Fleet *fleet;
  uint64_t seed;
  _Atomic bool stopping;
  _Atomic uint32_t n_active; /* callers that send programs */
  _Atomic uint32_t surging;  /* customer over its limit, from SOAK_CUSTOMERS; 0: none */
  bool limits_surges;        /* surges must keep to the limit, too */
  bool shares_chains;        /* programs continue the chains of others */
  struct SoakCounts counts;
  pthread_mutex_t lock;
  char **not_run; /* ids of rejected requests, which must never run */
  size_t n_not_run;
  struct KeptTurn *kept; /* last turn of each program whose response was complete */
  size_t n_kept;
  char **once; /* ids of requests that may run once */
  size_t n_once;
  uint32_t n_ended;          /* processes that ended by themselves, also before their log began */
  int64_t processor_percent; /* most that a process used over 3 s */
};

struct KeptTurn
{
  char id[48];
  int64_t at_ms;
};

/* Check that service returns after a fault of everything. */
struct SoakReturn
{
  struct SoakLoad *load;
  size_t n_kept;            /* turns that were kept before the fault */
  _Atomic int64_t limit_ms; /* when service must have returned */
  _Atomic bool done;
};

/* Starts threads for n_callers callers, for three times as many in waves of demand, and for the
 * surges. soak_load_end stops them. */
void
soak_load_start (struct SoakLoad *load, uint32_t n_callers);
void
soak_load_end (struct SoakLoad *load);

/* To be called when all faults are over. Checks that no rejected request has run, that programs can
 * go on from each kept turn, and that new programs are served. */
void
soak_check_recovery (struct SoakLoad *load);

/* Thread on a struct SoakReturn: sends first turns, turns after kept ones and plain requests until
 * a quarter of each kind is served. A violation if that takes longer than limit_ms. */
void *
soak_check_return (void *data);

/* Prints a violation and counts it. */
void
soak_violation (struct SoakLoad *load, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
