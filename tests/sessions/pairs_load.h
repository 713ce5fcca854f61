/* Load for tests of simultaneous failures: programs on their own threads that send calls to random
 * instances, retry them and record the outcomes. */
#pragma once

#include "calls.h"

enum
{
  LOAD_PROGRAMS = 6,
  LOAD_CALLS = 10,
  LOAD_NAME_BYTES = 40
};

/* Final outcome of a call for its caller. */
enum LoadOutcome
{
  LOAD_UNKNOWN,      /* no final reply before the deadline */
  LOAD_ANSWERED,     /* with the answer in text */
  LOAD_MAY_HAVE_RUN, /* final error may_have_run */
  LOAD_NOT_RUN,      /* the first attempt got not_run, and no other was made */
  LOAD_REFUSED       /* any other final error */
};

struct LoadCall
{
  bool tool, stream;
  char branch[16];
  uint64_t sequence;
  char path[LOAD_NAME_BYTES + 16]; /* unique per call, so that a tool call's runs can be counted */
  enum LoadOutcome outcome;
  char *text; /* last reply */
  uint32_t n_attempts;
};

struct LoadProgram
{
  struct Cluster *cluster;
  pthread_t thread;
  char name[LOAD_NAME_BYTES];
  uint64_t random_state;
  bool created;
  uint32_t n_calls;
  struct LoadCall calls[LOAD_CALLS];
};

/* splitmix64: returns the next number of the sequence. */
uint64_t
random_next (uint64_t *state);

struct LoadProgram *
load_start (struct Cluster *cluster, uint64_t seed);
void
load_join (struct LoadProgram *programs);

/* Checks the guarantees that must hold after any failure and prints each violation. All processes
 * must be running again. */
bool
load_check (struct Cluster *cluster, struct LoadProgram *programs);
