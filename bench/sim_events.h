/* Event heap of the simulation, ordered by time, then by insertion. */
#pragma once

#include "../core/policy_heap.h"

enum SimEventKind
{
  EVENT_ARRIVAL, /* subject: program */
  EVENT_CALL,    /* subject: call; of a new turn, or refused before */
  EVENT_RESEND,  /* subject: call; sent before, or waiting for a server that is suspected */
  EVENT_TICK,
  EVENT_SLOWDOWN,
  EVENT_SLOWDOWN_END,
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
event_heap_pop (struct EventHeap *events, struct SimEvent *event);
