/* State of the dispatch queue, shared by dispatch_queue.c and dispatch_estimate.c only. */
#pragma once

#include <buckthornhead/policy.h>

#include "fair_share.h"
#include "policy_active.h"
#include "policy_heap.h"
#include "policy_limit.h"
#include "policy_table.h"

/* One call, from push to its end. */
struct QueuedCall
{
  struct TableNode by_id;
  struct DispatchItem item;
  struct FairService *service;
  struct ActiveProgram *program; /* NULL for rules without an active set */
  struct HeapNode order;         /* in the service's ready or outside heap, or among the suspects */
  struct HeapNode age;           /* among all calls outside, oldest first */
  struct HeapNode expiry;        /* latest time at which it can start */
  struct QueuedCall *next, *previous; /* waiting calls of one program */
  bool ready;
  bool running;
  int64_t pushed_ms, sent_ms, first_ms;
  uint32_t expected_tokens; /* cached prefix expected by this queue */
  uint32_t new_tokens;      /* counted to the program's footprint */
  uint32_t grown_tokens;    /* what its end added to what the program holds */
  uint32_t in_flight;
  double charged_tokens;
  uint32_t prefill_tokens; /* sent, and no first token seen yet */
};

struct DispatchQueue
{
  struct PolicyTable calls;
  struct FairShare fair;
  struct ActiveSet set;
  struct PolicyHeap expiry;
  struct PolicyHeap ages; /* of calls outside */
  uint32_t n_admitted;
  struct PolicyHeap suspects; /* waiting; one at a time is sent */
  uint32_t n_suspects_in_flight;
  struct PolicyLimit limit;
  uint32_t n_waiting, n_in_flight;
  uint64_t prefill_tokens; /* of sent calls without a first token */
  int64_t prefill_sent_ms;
  uint64_t sequence;
  double admit_gap_ms; /* learned time between two programs let in */
  int64_t admitted_ms;
};
