/* A small load for failures at once: programs on threads of their own, which send their calls to
 * any instance, again where they must, and remember what they were told. */
#pragma once

#include "calls.h"

enum
{
  LOAD_PROGRAMS = 6,
  LOAD_TURNS = 10,
  LOAD_NAME_BYTES = 40
};

/* What a call's caller knows in the end. */
enum LoadFate
{
  LOAD_UNKNOWN,      /* no final answer within the limit */
  LOAD_ANSWERED,     /* text is the answer */
  LOAD_MAY_HAVE_RUN, /* said so for good */
  LOAD_NOT_RUN,      /* a first attempt was told so, and it was never sent again */
  LOAD_REFUSED       /* another final refusal */
};

struct LoadCall
{
  bool tool, stream;
  char branch[16];
  uint64_t sequence;
  char path[LOAD_NAME_BYTES + 16]; /* of a tool's call: its own, so that its runs can be counted */
  enum LoadFate fate;
  char *text; /* last answer */
  uint32_t n_tries;
};

struct LoadProgram
{
  struct Cluster *cluster;
  pthread_t thread;
  char name[LOAD_NAME_BYTES];
  uint64_t random;
  bool created;
  uint32_t n_calls;
  struct LoadCall calls[LOAD_TURNS];
};

/* splitmix64: the next number of a seeded row. */
uint64_t
random_next (uint64_t *state);

struct LoadProgram *
load_start (struct Cluster *cluster, uint64_t seed);
void
load_join (struct LoadProgram *programs);

/* Checks what must hold whatever failed; the cluster is whole again. Prints what does not. */
bool
load_check (struct Cluster *cluster, struct LoadProgram *programs);
