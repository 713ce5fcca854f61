#include <buckthornhead/policy.h>

#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "fair_share.h"
#include "policy_active.h"
#include "policy_heap.h"
#include "policy_limit.h"
#include "policy_table.h"

enum
{
  /* A program that has received this little counts as new. */
  QUEUE_QUANTUM_TOKENS = 500,
  /* A generated token takes about as long as this many prefilled ones. */
  QUEUE_GENERATED_COST = 8,
  QUEUE_RETRY_MIN_MS = 500,
  QUEUE_RETRY_MAX_MS = 60000
};

static const double QUEUE_GENERATED_FIRST = 64; /* tokens, until learned */
static const double QUEUE_GAIN = 0.05;
/* A newcomer is refused when its first call alone would probably wait this share of its time. */
static const double QUEUE_WAIT_SHARE = 0.5;
static const double QUEUE_WAIT_FORGET_MS = 10000;

/* One call, from push to its end. */
struct QueuedCall
{
  struct TableNode by_id;
  struct DispatchItem item;
  struct FairService *service;
  struct ActiveProgram *program;      /* NULL for rules without an active set */
  struct HeapNode order;              /* in the service's ready or outside heap */
  struct HeapNode expiry;             /* latest time at which it can start */
  struct QueuedCall *next, *previous; /* waiting calls of one program */
  bool ready;
  bool running;
  int64_t pushed_ms, sent_ms, first_ms;
  uint32_t expected_tokens; /* cached prefix expected by this queue */
  uint32_t in_flight;
  double charged_tokens;
};

struct DispatchQueue
{
  struct PolicyTable calls;
  struct FairShare fair;
  struct ActiveSet set;
  struct PolicyHeap expiry;
  struct PolicyLimit limit;
  uint32_t n_waiting, n_in_flight;
  uint64_t sequence;
  double admit_gap_ms; /* learned time between two programs let in */
  int64_t admitted_ms;
};

struct DispatchQueue *
dispatch_queue_new (TALLOC_CTX *ctx, uint32_t initial_limit)
{
  struct DispatchQueue *queue = talloc_zero (ctx, struct DispatchQueue);

  if (queue == NULL)
    return NULL;
  policy_limit_init (&queue->limit, initial_limit);
  active_set_init (&queue->set);
  return queue;
}

static struct QueuedCall *
queue_find (const struct DispatchQueue *queue, uint64_t id)
{
  struct TableNode *node = policy_table_find (&queue->calls, &id, sizeof id);

  return node != NULL ? TABLE_ENTRY (node, struct QueuedCall, by_id) : NULL;
}

/* ---- What is expected of a call ---- */

static double
queue_generated (const struct FairService *service, const struct DispatchItem *item)
{
  double tokens = service->generated_tokens > 0 ? service->generated_tokens : QUEUE_GENERATED_FIRST;

  return item->max_tokens > 0 && tokens > item->max_tokens ? item->max_tokens : tokens;
}

/* Least time the call takes once sent. */
static double
queue_service_ms (const struct DispatchQueue *queue,
                  const struct FairService *service,
                  const struct DispatchItem *item)
{
  uint32_t cached = item->cached_tokens_hint < item->prompt_tokens ? item->cached_tokens_hint
                                                                   : item->prompt_tokens;
  double prefill = (item->prompt_tokens - cached) * queue->limit.best_prefill_us / 1000;

  return prefill + queue_generated (service, item) * queue->limit.best_pace_ms;
}

/* Time in which all that waits now would be sent. */
static double
queue_drain_ms (const struct DispatchQueue *queue)
{
  return queue->n_waiting * queue->limit.service_ms / policy_limit_now (&queue->limit);
}

/* Time in which all programs that wait for a place would get one: what a home compares servers by.
 * Made from the backlog, so that it shows a change at once. */
static double
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

static void
queue_learn_wait (struct QueuedCall *call, int64_t now_ms)
{
  struct FairService *service = call->service;

  if (call->item.attained_tokens > 0)
    return;
  service->wait_new_ms += ((double)(now_ms - call->pushed_ms) - service->wait_new_ms) * QUEUE_GAIN;
  service->wait_new_at_ms = now_ms;
}

/* ---- Priority ---- */

/* Smaller is more urgent. For the program rule the key is a time: a call that has waited ageing_ms
 * longer stands even with one whose program has received half as much. So the urgency doubles in
 * that time, yet the order never changes while calls wait and a heap can hold it; and a call waits
 * behind newcomers for ageing_ms x log2 (its program's tokens / quantum) at most. What a program
 * has received includes the prompt that this call brings: it is known to be work to come. */
static double
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
      return tokens;
    case POLICY_PROGRAM:
      break;
    }
  if (item->prompt_tokens > item->cached_tokens_hint)
    tokens += item->prompt_tokens - item->cached_tokens_hint;
  return (double)now_ms + weights->ageing_ms * log2 (1.0 + tokens / QUEUE_QUANTUM_TOKENS);
}

/* ---- Refusal ---- */

static uint32_t
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

static int32_t
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

/* ---- Push ---- */

static void
queue_link (struct ActiveProgram *program, struct QueuedCall *call)
{
  call->next = program->calls;
  if (call->next != NULL)
    call->next->previous = call;
  program->calls = call;
}

static void
queue_unlink (struct ActiveProgram *program, struct QueuedCall *call)
{
  if (call->next != NULL)
    call->next->previous = call->previous;
  if (call->previous != NULL)
    call->previous->next = call->next;
  else
    program->calls = call->next;
  call->next = call->previous = NULL;
}

static bool
queue_join_program (struct DispatchQueue *queue, struct QueuedCall *call, int64_t now_ms)
{
  struct ActiveProgram *program =
      active_set_program (queue, &queue->set, call->item.program, call->service);

  if (program == NULL)
    return false;
  active_set_called (&queue->set, program, call->item.prompt_tokens, now_ms);
  active_set_admit_small (&queue->set, program);
  call->program = program;
  /* The home's hint knows the branch: a sub-agent's first call has nothing cached, whatever its
   * program holds. */
  call->expected_tokens = program->active ? call->item.cached_tokens_hint : 0;
  call->ready = program->active;
  program->urgency = call->order.minor;
  program->n_waiting++;
  queue_link (program, call);
  return true;
}

static void
queue_leave_program (struct DispatchQueue *queue, struct QueuedCall *call, int64_t now_ms)
{
  struct ActiveProgram *program = call->program;

  if (program == NULL)
    return;
  if (call->running)
    program->n_running--;
  else
    {
      program->n_waiting--;
      queue_unlink (program, call);
    }
  active_set_paused (queue, &queue->set, program, now_ms);
}

static void
queue_stop_waiting (struct DispatchQueue *queue, struct QueuedCall *call)
{
  fair_share_remove (queue, &queue->fair, call->service, &call->order, call->ready);
  policy_heap_remove (&queue->expiry, &call->expiry);
  call->service->n_waiting--;
  queue->n_waiting--;
}

static void
queue_drop (struct DispatchQueue *queue, struct QueuedCall *call, int64_t now_ms)
{
  queue_leave_program (queue, call, now_ms);
  policy_table_remove (&queue->calls, &call->by_id);
  talloc_free (call);
}

static bool
queue_insert (struct DispatchQueue *queue, struct QueuedCall *call, int64_t now_ms)
{
  const struct DispatchItem *item = &call->item;

  if (!policy_table_add (queue, &queue->calls, &call->by_id, &item->id, sizeof item->id))
    return false;
  call->ready = true;
  call->service->n_waiting++;
  queue->n_waiting++;
  if (call->service->weights.rule == POLICY_PROGRAM && !queue_join_program (queue, call, now_ms))
    goto undo;
  if (item->deadline_ms != 0)
    {
      call->expiry.minor =
          (double)item->deadline_ms - queue_service_ms (queue, call->service, item);
      if (!policy_heap_put (queue, &queue->expiry, &call->expiry))
        goto undo;
    }
  if (fair_share_add (queue, &queue->fair, call->service, &call->order, call->ready))
    return true;
undo:
  queue_stop_waiting (queue, call);
  queue_leave_program (queue, call, now_ms);
  policy_table_remove (&queue->calls, &call->by_id);
  return false;
}

int32_t
dispatch_queue_push (struct DispatchQueue *queue,
                     const struct PolicyWeights *weights,
                     const struct DispatchItem *item,
                     uint32_t spread_seed,
                     int64_t now_ms,
                     uint32_t *retry_after_ms,
                     struct Fault *fault)
{
  struct FairService *service = fair_share_service (queue, &queue->fair, item->service);
  struct QueuedCall *call;
  int32_t error;

  *retry_after_ms = 0;
  if (service == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory to queue a call");
  service->weights = *weights;
  error = queue_check (queue, service, weights, item, now_ms, fault);
  if (error != ERROR_NONE)
    {
      *retry_after_ms = queue_retry_after_ms (queue, spread_seed, now_ms);
      return error;
    }
  if (queue_find (queue, item->id) != NULL)
    return fault_set (fault, ERROR_CONFLICT, NULL, "the item is queued already");
  call = talloc_zero (queue, struct QueuedCall);
  if (call == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory to queue a call");
  call->item = *item;
  call->service = service;
  call->pushed_ms = now_ms;
  call->order.minor = queue_urgency (weights, item, now_ms);
  call->order.sequence = call->expiry.sequence = ++queue->sequence;
  if (queue_insert (queue, call, now_ms))
    return ERROR_NONE;
  talloc_free (call);
  return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory to queue a call");
}

/* ---- Pop ---- */

static void
queue_send (struct DispatchQueue *queue, struct QueuedCall *call, int64_t now_ms)
{
  uint32_t cached = call->expected_tokens < call->item.prompt_tokens ? call->expected_tokens
                                                                     : call->item.prompt_tokens;

  queue_stop_waiting (queue, call);
  queue_learn_wait (call, now_ms);
  call->running = true;
  call->sent_ms = now_ms;
  call->in_flight = ++queue->n_in_flight;
  if (call->program != NULL)
    {
      queue_unlink (call->program, call);
      call->program->n_waiting--;
      call->program->n_running++;
    }
  call->charged_tokens = call->item.prompt_tokens - cached
                         + queue_generated (call->service, &call->item) * QUEUE_GENERATED_COST;
  fair_share_charge (queue, &queue->fair, call->service, call->charged_tokens);
}

/* The program has its place: all its waiting calls are ready. */
static void
queue_ready_program (struct DispatchQueue *queue, struct ActiveProgram *program, int64_t now_ms)
{
  for (struct QueuedCall *c = program->calls; c != NULL; c = c->next)
    {
      fair_share_remove (queue, &queue->fair, c->service, &c->order, false);
      c->ready = true;
      fair_share_add (queue, &queue->fair, c->service, &c->order, true);
    }
  if (queue->admitted_ms != 0)
    queue->admit_gap_ms +=
        ((double)(now_ms - queue->admitted_ms) - queue->admit_gap_ms) * QUEUE_GAIN;
  queue->admitted_ms = now_ms;
}

static struct QueuedCall *
queue_first_ready (struct HeapNode *service_node)
{
  struct FairService *service = HEAP_ENTRY (service_node, struct FairService, ready_node);

  return HEAP_ENTRY (policy_heap_first (&service->ready), struct QueuedCall, order);
}

static struct QueuedCall *
queue_first_outside (struct HeapNode *service_node)
{
  struct FairService *service = HEAP_ENTRY (service_node, struct FairService, outside_node);

  return HEAP_ENTRY (policy_heap_first (&service->outside), struct QueuedCall, order);
}

static struct QueuedCall *
queue_next (struct DispatchQueue *queue, int64_t now_ms)
{
  struct HeapNode *ready = policy_heap_first (&queue->fair.ready);
  struct HeapNode *outside = policy_heap_first (&queue->fair.outside);
  struct QueuedCall *call;

  if (outside != NULL && (ready == NULL || heap_node_before (outside, ready)))
    {
      call = queue_first_outside (outside);
      if (active_set_admit (&queue->set, call->program, queue->n_in_flight == 0 && ready == NULL))
        {
          queue_ready_program (queue, call->program, now_ms);
          return call;
        }
    }
  return ready != NULL ? queue_first_ready (ready) : NULL;
}

bool
dispatch_queue_pop (struct DispatchQueue *queue, int64_t now_ms, uint64_t *id)
{
  struct QueuedCall *call;

  active_set_expire (&queue->set, now_ms);
  if (queue->n_in_flight >= policy_limit_now (&queue->limit))
    return false;
  call = queue_next (queue, now_ms);
  if (call == NULL)
    return false;
  *id = call->item.id;
  queue_send (queue, call, now_ms);
  return true;
}

bool
dispatch_queue_remove (struct DispatchQueue *queue, uint64_t id)
{
  struct QueuedCall *call = queue_find (queue, id);

  if (call == NULL || call->running)
    return false;
  queue_stop_waiting (queue, call);
  queue_drop (queue, call, call->pushed_ms);
  return true;
}

bool
dispatch_queue_expire (struct DispatchQueue *queue, int64_t now_ms, uint64_t *id)
{
  struct HeapNode *node = policy_heap_first (&queue->expiry);
  struct QueuedCall *call;

  if (node == NULL || node->minor > (double)now_ms)
    return false;
  call = HEAP_ENTRY (node, struct QueuedCall, expiry);
  *id = call->item.id;
  queue_stop_waiting (queue, call);
  queue_drop (queue, call, now_ms);
  return true;
}

/* ---- What is learned from answers ---- */

void
dispatch_queue_first_token (struct DispatchQueue *queue, uint64_t id, int64_t now_ms)
{
  struct QueuedCall *call = queue_find (queue, id);

  if (call != NULL && call->running && call->first_ms == 0)
    call->first_ms = now_ms;
}

static void
queue_learn_service (struct FairService *service, uint32_t generated)
{
  if (service->generated_tokens == 0)
    service->generated_tokens = QUEUE_GENERATED_FIRST;
  service->generated_tokens += (generated - service->generated_tokens) * QUEUE_GAIN;
}

static void
queue_learn (struct DispatchQueue *queue,
             struct QueuedCall *call,
             const struct Outcome *outcome,
             int64_t now_ms)
{
  uint32_t prompt = call->item.prompt_tokens;
  uint32_t charged = (uint32_t)outcome->charge_tokens;
  uint32_t generated = charged > prompt ? charged - prompt : 0;
  uint32_t uncached = prompt > outcome->cached_tokens ? prompt - outcome->cached_tokens : 0;
  struct LimitSample sample = { .sent_ms = call->sent_ms,
                                .first_ms = call->first_ms,
                                .end_ms = now_ms,
                                .uncached_tokens = uncached,
                                .generated_tokens = generated,
                                .in_flight = call->in_flight };
  double cost = uncached + (double)generated * QUEUE_GENERATED_COST;

  policy_limit_learn (&queue->limit, &sample);
  queue->set.prefill_us_per_token = queue->limit.best_prefill_us;
  queue_learn_service (call->service, generated);
  fair_share_charge (queue, &queue->fair, call->service, cost - call->charged_tokens);
  if (call->program == NULL)
    return;
  active_set_learn (&queue->set, call->expected_tokens, outcome->cached_tokens);
  if (charged > call->program->context_tokens)
    call->program->context_tokens = charged;
}

void
dispatch_queue_finished (struct DispatchQueue *queue,
                         uint64_t id,
                         const struct Outcome *outcome,
                         int64_t now_ms)
{
  struct QueuedCall *call = queue_find (queue, id);

  if (call == NULL || !call->running)
    return;
  queue->n_in_flight--;
  if (outcome->error == ERROR_NONE)
    queue_learn (queue, call, outcome, now_ms);
  else if (outcome->error != ERROR_CANCELLED)
    {
      struct LimitSample sample = { .sent_ms = call->sent_ms, .end_ms = now_ms, .failed = true };

      policy_limit_learn (&queue->limit, &sample);
    }
  queue_drop (queue, call, now_ms);
}

/* ---- Reports and the queue's own picture ---- */

void
dispatch_queue_report_cache (struct DispatchQueue *queue, uint64_t capacity_tokens)
{
  active_set_report (&queue->set, capacity_tokens);
}

void
dispatch_queue_program_ended (struct DispatchQueue *queue, const char *program)
{
  struct ActiveProgram *active = active_set_find (&queue->set, program);

  if (active != NULL && active->n_waiting + active->n_running == 0)
    active_set_forget (&queue->set, active);
}

void
dispatch_queue_active (const struct DispatchQueue *queue, struct DispatchActive *active)
{
  const struct ActiveSet *set = &queue->set;

  active->n_programs = set->n_active;
  active->active_tokens = set->active_tokens;
  active->n_taken = set->n_taken;
  active->n_lapsed = set->n_lapsed;
  active->budget_tokens = isinf (set->budget_tokens) ? UINT64_MAX : (uint64_t)set->budget_tokens;
}

void
dispatch_queue_digest (const struct DispatchQueue *queue, struct PolicyServer *digest)
{
  digest->in_flight = queue->n_in_flight;
  digest->waiting = queue->n_waiting;
  digest->limit = policy_limit_now (&queue->limit);
  digest->service_ms_per_call = (uint32_t)queue->limit.service_ms;
  digest->prefill_us_per_token = (uint32_t)queue->limit.prefill_us_per_token;
  digest->wait_new_ms = (uint32_t)queue_backlog_ms (queue);
  digest->wait_kept_ms = 0;
  digest->pace_us_per_token = (uint32_t)(queue->limit.pace_ms * 1000);
  digest->programs = (uint32_t)queue->set.n_active;
}
