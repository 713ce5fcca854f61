/* What the dispatch queue expects of a call before it runs, how urgent it is, and whether it is
 * refused. */
#pragma once

#include "dispatch_state.h"

enum
{
  /* A generated token takes about as long as this many prefilled ones. */
  QUEUE_GENERATED_COST = 8
};

static const double QUEUE_GENERATED_FIRST = 64; /* tokens, until learned */
static const double QUEUE_GAIN = 0.05;

/* Tokens that the call will probably generate. */
double
queue_generated (const struct FairService *service, const struct DispatchItem *item);
/* Prompt tokens that are probably cached, by the home's hint, and that are not. */
uint32_t
queue_cached (const struct DispatchItem *item);
uint32_t
queue_uncached (const struct DispatchItem *item);

/* Least time the call takes once sent. */
double
queue_service_ms (const struct DispatchQueue *queue,
                  const struct FairService *service,
                  const struct DispatchItem *item);
/* Time in which all programs that wait for a place would get one: what a home compares servers by.
 * Made from the backlog, so that it shows a change at once. */
double
queue_backlog_ms (const struct DispatchQueue *queue);

/* The call is sent now: learns how long its service's newcomers wait. */
void
queue_learn_wait (struct QueuedCall *call, int64_t now_ms);

/* Key of the call among those that wait; smaller is more urgent. */
double
queue_urgency (const struct PolicyWeights *weights,
               const struct DispatchItem *item,
               int64_t now_ms);

/* ERROR_NONE, or why the call is refused at once. */
int32_t
queue_check (const struct DispatchQueue *queue,
             const struct FairService *service,
             const struct PolicyWeights *weights,
             const struct DispatchItem *item,
             int64_t now_ms,
             struct Fault *fault);
/* When a refused caller should come back; callers with different seeds come back apart. */
uint32_t
queue_retry_after_ms (const struct DispatchQueue *queue, uint32_t spread_seed, int64_t now_ms);
