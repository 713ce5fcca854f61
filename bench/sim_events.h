/* Events of the simulation, by time and then by the order in which they were added. */
#pragma once

#include "../core/policy_heap.h"

enum SimEventKind
{
  EVENT_ARRIVAL, /* subject: program */
  EVENT_CALL,    /* subject: call; a new turn, or a refused one that comes back */
  EVENT_RESEND,  /* subject: call; after a failure */
  EVENT_TICK,
  EVENT_SLOW,
  EVENT_FAST,
  EVENT_CRASH,  /* subject: server */
  EVENT_RESTART /* subject: server */
};

struct SimEvent
{
  double at_ms;
  enum SimEventKind kind;
  uint64_t subject;
  uint64_t sequence; /* set by the heap */
};

struct EventHeap
{
  TALLOC_CTX *ctx;
  struct PolicyHeap heap;
  uint64_t sequence;
};

void
event_heap_init (TALLOC_CTX *ctx, struct EventHeap *events);
void
event_heap_add (struct EventHeap *events, const struct SimEvent *event);
const struct SimEvent *
event_heap_first (const struct EventHeap *events);
void
event_heap_take (struct EventHeap *events, struct SimEvent *event);
