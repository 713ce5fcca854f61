#include "dispatch_estimate.h"

#include <math.h>

#include <xxhash.h>

enum
{
  /* A program that has received this little counts as new. */
  QUEUE_QUANTUM_TOKENS = 500,
  QUEUE_RETRY_MIN_MS = 500,
  QUEUE_RETRY_MAX_MS = 60000
};

/* A newcomer is refused when its first call alone would probably wait this share of its time. */
static const double QUEUE_WAIT_SHARE = 0.5;
static const double QUEUE_WAIT_FORGET_MS = 10000;

double
queue_generated (const struct FairService *service, const struct DispatchItem *item)
{
  double tokens = service->generated_tokens > 0 ? service->generated_tokens : QUEUE_GENERATED_FIRST;

  return item->max_tokens > 0 && tokens > item->max_tokens ? item->max_tokens : tokens;
}

uint32_t
queue_cached (const struct DispatchItem *item)
{
  return item->cached_tokens_hint < item->prompt_tokens ? item->cached_tokens_hint
                                                        : item->prompt_tokens;
}

uint32_t
queue_uncached (const struct DispatchItem *item)
{
  return item->prompt_tokens - queue_cached (item);
}

double
queue_service_ms (const struct DispatchQueue *queue,
                  const struct FairService *service,
                  const struct DispatchItem *item)
{
  double prefill = queue_uncached (item) * queue->limit.best_prefill_us / 1000;

  return prefill + queue_generated (service, item) * queue->limit.best_pace_ms;
}

/* Time in which all that waits now would be sent. */
static double
queue_drain_ms (const struct DispatchQueue *queue)
{
  return queue->n_waiting * queue->limit.service_ms / policy_limit_now (&queue->limit);
}

double
queue_backlog_ms (const struct DispatchQueue *queue)
{
  double drain = queue_drain_ms (queue);
  double outside = 0;

  if (policy_heap_first (&queue->fair.outside) != NULL)
    outside = queue->admit_gap_ms * queue->n_waiting;
  return outside > drain ? outside : drain;
}

/* Expected wait of a program's first call. Forgotten when none has been sent for a while: else a
 * high value would refuse the very newcomers whose waits would lower it. */
static double
queue_wait_new_ms (const struct FairService *service, int64_t now_ms)
{
  double age_ms = (double)(now_ms - service->wait_new_at_ms);

  return service->wait_new_ms * exp (-age_ms / QUEUE_WAIT_FORGET_MS);
}

void
queue_learn_wait (struct QueuedCall *call, int64_t now_ms)
{
  struct FairService *service = call->service;

  if (call->item.attained_tokens > 0)
    return;
  service->wait_new_ms += ((double)(now_ms - call->pushed_ms) - service->wait_new_ms) * QUEUE_GAIN;
  service->wait_new_at_ms = now_ms;
}

/* Smaller is more urgent. For the program rule the key is a time: a call that has waited ageing_ms
 * longer stands even with one whose program has received half as much. So the urgency doubles in
 * that time, yet the order never changes while calls wait and a heap can hold it; and a call waits
 * behind newcomers for ageing_ms x log2 (its program's tokens / quantum) at most. What a program
 * has received includes the prompt that this call brings: it is known to be work to come. */
double
queue_urgency (const struct PolicyWeights *weights, const struct DispatchItem *item, int64_t now_ms)
{
  double tokens = (double)item->attained_tokens;

  switch (weights->rule)
    {
    case POLICY_ROUND_ROBIN:
    case POLICY_LEAST_REPORTED:
    case POLICY_STICKY:
    case POLICY_FIFO:
      return (double)now_ms;
    case POLICY_ATTAINED:
      if (weights->ageing_ms == 0)
        return tokens;
      break;
    case POLICY_PROGRAM:
      break;
    }
  tokens += queue_uncached (item);
  return (double)now_ms + weights->ageing_ms * log2 (1.0 + tokens / QUEUE_QUANTUM_TOKENS);
}

uint32_t
queue_retry_after_ms (const struct DispatchQueue *queue, uint32_t spread_seed, int64_t now_ms)
{
  double ms = queue_drain_ms (queue);
  uint64_t draw[2] = { spread_seed, (uint64_t)now_ms };
  double spread = 0.5 + (double)(XXH64 (draw, sizeof draw, 0) >> 11) / (double)(1ULL << 53);

  if (ms < QUEUE_RETRY_MIN_MS)
    ms = QUEUE_RETRY_MIN_MS;
  if (ms > QUEUE_RETRY_MAX_MS)
    ms = QUEUE_RETRY_MAX_MS;
  return (uint32_t)(ms * spread);
}

int32_t
queue_check (const struct DispatchQueue *queue,
             const struct FairService *service,
             const struct PolicyWeights *weights,
             const struct DispatchItem *item,
             int64_t now_ms,
             struct Fault *fault)
{
  bool newcomer = item->attained_tokens == 0;
  /* Programs under way have cost something already: they may use twice the queue. */
  uint32_t room = newcomer ? weights->queue_limit : weights->queue_limit * 2;
  double left = (double)(item->deadline_ms - now_ms);

  if (room > 0 && service->n_waiting >= room)
    return fault_set (fault, ERROR_OVERLOADED, NULL, "%u calls of %s wait already",
                      service->n_waiting, item->service);
  if (item->deadline_ms == 0)
    return ERROR_NONE;
  if (queue_service_ms (queue, service, item) > left)
    return fault_set (fault, ERROR_DEADLINE, NULL, "the call needs longer than the %.0f ms left",
                      left);
  if (weights->rule == POLICY_PROGRAM && newcomer
      && queue_wait_new_ms (service, now_ms) > left * QUEUE_WAIT_SHARE)
    return fault_set (fault, ERROR_OVERLOADED, NULL,
                      "a program that starts now would probably miss its deadline");
  return ERROR_NONE;
}
