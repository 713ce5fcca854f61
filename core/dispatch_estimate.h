/* Estimates of a call's cost before it runs, its urgency and whether the queue refuses it. */
#pragma once

#include "dispatch_state.h"

enum
{
  /* Number of prefilled tokens that take about as long as one generated token. */
  QUEUE_GENERATED_COST = 8
};

static const double QUEUE_GENERATED_INITIAL = 64; /* tokens, until learned */
static const double QUEUE_GAIN = 0.05;

/* Returns the number of tokens that the call will probably generate. */
double
queue_generated (const struct FairService *service, const struct DispatchItem *item);
/* Return the number of prompt tokens that are probably cached, by the home's hint, and that are
 * not. */
uint32_t
queue_cached (const struct DispatchItem *item);
uint32_t
queue_uncached (const struct DispatchItem *item);

/* Returns the minimum duration of the call once sent. */
double
queue_service_ms (const struct DispatchQueue *queue,
                  const struct FairService *service,
                  const struct DispatchItem *item);
/* Returns the time in which all programs waiting to be admitted would be; homes compare servers by
 * it. Computed from the backlog, so that it reflects a change at once. */
double
queue_backlog_ms (const struct DispatchQueue *queue);

/* Updates the learned wait of new programs of the call's service; called when the call is sent. */
void
queue_learn_wait (struct QueuedCall *call, int64_t now_ms);

/* Returns the ordering key of a waiting call; smaller is more urgent. */
double
queue_urgency (const struct PolicyWeights *weights,
               const struct DispatchItem *item,
               int64_t now_ms);

/* Returns ERROR_NONE, or the reason for refusing the call at once. */
int32_t
queue_check (const struct DispatchQueue *queue,
             const struct FairService *service,
             const struct PolicyWeights *weights,
             const struct DispatchItem *item,
             int64_t now_ms,
             struct Fault *fault);
/* Returns the delay before a refused caller should retry; it differs by seed, to spread the
 * retries. */
uint32_t
queue_retry_after_ms (const struct DispatchQueue *queue, uint32_t spread_seed, int64_t now_ms);
