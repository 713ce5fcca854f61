/* State of the dispatch queue, shared by dispatch_queue.c and dispatch_estimate.c only. */
#pragma once

#include <buckthornhead/policy.h>

#include "fair_share.h"
#include "policy_active.h"
#include "policy_heap.h"
#include "policy_limit.h"
#include "policy_table.h"

/* One call, from push to end. */
struct QueuedCall
{
  struct TableNode by_id;
  struct DispatchItem item;
  struct FairService *service;
  struct ActiveProgram *program; /* NULL for rules without an active set */
  struct HeapNode order;  /* in the service's ready or unadmitted heap, or among the suspects */
  struct HeapNode age;    /* among all unadmitted calls, oldest first */
  struct HeapNode expiry; /* latest time at which the call can start */
  struct QueuedCall *next, *previous; /* waiting calls of one program */
  bool ready;
  bool running;
  int64_t pushed_ms, sent_ms, first_ms;
  uint32_t expected_tokens; /* cached prefix, as expected by this queue */
  uint32_t new_tokens;      /* added to the program's footprint */
  uint32_t grown_tokens;    /* added at its end to what the program holds */
  uint32_t in_flight;
  double charged_tokens;
  uint32_t prefill_tokens; /* sent, without a first token so far */
};

struct DispatchQueue
{
  struct PolicyTable calls;
  struct FairShare fair;
  struct ActiveSet set;
  struct PolicyHeap expiry;
  struct PolicyHeap ages; /* of unadmitted calls */
  uint32_t n_admitted;
  struct PolicyHeap suspects; /* waiting; sent one at a time */
  uint32_t n_suspects_in_flight;
  struct PolicyLimit limit;
  uint32_t n_waiting, n_in_flight;
  uint64_t prefill_tokens; /* of sent calls without a first token */
  int64_t prefill_sent_ms;
  uint64_t sequence;
  double admit_interval_ms; /* learned time between two admissions of programs */
  int64_t last_admit_ms;
};
