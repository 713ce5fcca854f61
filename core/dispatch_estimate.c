#include "dispatch_estimate.h"

#include <math.h>

#include <xxhash.h>

enum
{
  /* A program that has received no more tokens than this ranks about like a new one. */
  QUEUE_QUANTUM_TOKENS = 500,
  QUEUE_RETRY_MIN_MS = 500,
  QUEUE_RETRY_MAX_MS = 60000
};

/* A new program is refused if its first call alone would probably wait for this fraction of its
 * time. */
static const double QUEUE_WAIT_FRACTION_MAX = 0.5;
static const double QUEUE_WAIT_DECAY_MS = 10000;

double
queue_generated (const struct FairService *service, const struct DispatchItem *item)
{
  double tokens =
      service->generated_tokens > 0 ? service->generated_tokens : QUEUE_GENERATED_INITIAL;

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

/* Returns the time in which all calls waiting now would be sent. */
static double
queue_drain_ms (const struct DispatchQueue *queue)
{
  return queue->n_waiting * queue->limit.service_ms / policy_limit_now (&queue->limit);
}

double
queue_backlog_ms (const struct DispatchQueue *queue)
{
  double drain = queue_drain_ms (queue);
  double unadmitted = 0;

  if (policy_heap_first (&queue->fair.unadmitted) != NULL)
    unadmitted = queue->admit_interval_ms * queue->n_waiting;
  return unadmitted > drain ? unadmitted : drain;
}

/* Returns the expected wait of a program's first call. The value decays while none is sent:
 * otherwise a high value would refuse the very programs whose waits would lower it. */
static double
queue_wait_new_ms (const struct FairService *service, int64_t now_ms)
{
  double age_ms = (double)(now_ms - service->wait_new_at_ms);

  return service->wait_new_ms * exp (-age_ms / QUEUE_WAIT_DECAY_MS);
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

/* Returns the ordering key; smaller is more urgent. Under POLICY_PROGRAM the key is a time: a call
 * that has waited ageing_ms longer is equal to one whose program has received half as many tokens.
 * So the urgency doubles in that time, yet the order of waiting calls never changes and a heap can
 * hold it; and a call waits behind new programs for at most ageing_ms x log2 (its program's tokens
 * / quantum). The tokens include this call's uncached prompt: that work is certain to come. */
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
  bool is_new = item->attained_tokens == 0;
  /* Programs under way have already used resources: they may fill twice the queue. */
  uint32_t queue_max = is_new ? weights->queue_limit : weights->queue_limit * 2;
  double left = (double)(item->deadline_ms - now_ms);

  if (queue_max > 0 && service->n_waiting >= queue_max)
    return fault_set (fault, ERROR_OVERLOADED, NULL, "%u calls of %s are already queued",
                      service->n_waiting, item->service);
  if (item->deadline_ms == 0)
    return ERROR_NONE;
  if (queue_service_ms (queue, service, item) > left)
    return fault_set (fault, ERROR_DEADLINE, NULL,
                      "the call would take longer than the %.0f ms left", left);
  if (weights->rule == POLICY_PROGRAM && is_new
      && queue_wait_new_ms (service, now_ms) > left * QUEUE_WAIT_FRACTION_MAX)
    return fault_set (fault, ERROR_OVERLOADED, NULL,
                      "a program that starts now would probably miss its deadline");
  return ERROR_NONE;
}
