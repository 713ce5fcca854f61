#include <buckthornhead/policy.h>

#include <math.h>

#include "dispatch_estimate.h"
#include "dispatch_state.h"

enum
{
  QUEUE_OVERDUE_INTERVAL = 4,
  QUEUE_OVERDUE_AGEINGS = 2,
  QUEUE_PREFILL_TOKENS_MAX = 1536,
  QUEUE_PREFILL_TIMEOUT_FACTOR = 4
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
  call->new_tokens =
      queue_uncached (&call->item) + (uint32_t)queue_generated (call->service, &call->item);
  active_set_add_call (&queue->set, program, queue_cached (&call->item), call->new_tokens, now_ms);
  active_set_admit_small (&queue->set, program);
  call->program = program;
  /* The home's hint is per branch: a sub-agent's first call has nothing cached, whatever its
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
  active_set_end_call (&queue->set, program, call->new_tokens, call->grown_tokens);
  active_set_pause_if_idle (queue, &queue->set, program, now_ms);
}

static bool
queue_enqueue (struct DispatchQueue *queue, struct QueuedCall *call)
{
  if (call->item.suspect)
    return policy_heap_put (queue, &queue->suspects, &call->order);
  if (!call->ready && !policy_heap_put (queue, &queue->ages, &call->age))
    return false;
  return fair_share_add (queue, &queue->fair, call->service, &call->order, call->ready);
}

static void
queue_dequeue (struct DispatchQueue *queue, struct QueuedCall *call)
{
  policy_heap_remove (&queue->ages, &call->age);
  if (call->item.suspect)
    policy_heap_remove (&queue->suspects, &call->order);
  else
    fair_share_remove (queue, &queue->fair, call->service, &call->order, call->ready);
}

static void
queue_stop_waiting (struct DispatchQueue *queue, struct QueuedCall *call)
{
  queue_dequeue (queue, call);
  policy_heap_remove (&queue->expiry, &call->expiry);
  call->service->n_waiting--;
  queue->n_waiting--;
}

static void
queue_free_call (struct DispatchQueue *queue, struct QueuedCall *call, int64_t now_ms)
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
  if (queue_enqueue (queue, call))
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
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "out of memory while queueing a call");
  service->weights = *weights;
  error = queue_check (queue, service, weights, item, now_ms, fault);
  if (error != ERROR_NONE)
    {
      *retry_after_ms = queue_retry_after_ms (queue, spread_seed, now_ms);
      return error;
    }
  if (queue_find (queue, item->id) != NULL)
    return fault_set (fault, ERROR_CONFLICT, NULL, "the item is already queued");
  call = talloc_zero (queue, struct QueuedCall);
  if (call == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "out of memory while queueing a call");
  call->item = *item;
  call->service = service;
  call->pushed_ms = now_ms;
  call->order.minor = queue_urgency (weights, item, now_ms);
  call->order.sequence = call->expiry.sequence = call->age.sequence = ++queue->sequence;
  call->age.minor = (double)now_ms;
  if (queue_insert (queue, call, now_ms))
    return ERROR_NONE;
  talloc_free (call);
  return fault_set (fault, ERROR_NO_MEMORY, NULL, "out of memory while queueing a call");
}

/* ---- Pop ---- */

/* Engines compute prompts one after the other, first in first out: a call sent behind long prompts
 * waits in the engine, where no priority reaches it. So only as much is sent as keeps the engine
 * busy. If first tokens are never seen, the estimated time taken lets the next call go. */
static bool
queue_prefill_has_room (const struct DispatchQueue *queue,
                        const struct QueuedCall *call,
                        int64_t now_ms)
{
  double estimate_ms = (double)queue->prefill_tokens * queue->limit.best_prefill_us / 1000;

  if (call->service->weights.rule != POLICY_PROGRAM || queue->prefill_tokens == 0
      || queue->limit.best_prefill_us == 0)
    return true;
  if ((double)(now_ms - queue->prefill_sent_ms) > estimate_ms * QUEUE_PREFILL_TIMEOUT_FACTOR)
    return true;
  return queue->prefill_tokens + queue_uncached (&call->item) <= QUEUE_PREFILL_TOKENS_MAX;
}

static void
queue_prefill_done (struct DispatchQueue *queue, struct QueuedCall *call)
{
  queue->prefill_tokens -= call->prefill_tokens;
  call->prefill_tokens = 0;
}

static void
queue_send (struct DispatchQueue *queue, struct QueuedCall *call, int64_t now_ms)
{
  uint32_t cached = call->expected_tokens < call->item.prompt_tokens ? call->expected_tokens
                                                                     : call->item.prompt_tokens;

  queue_stop_waiting (queue, call);
  queue_learn_wait (call, now_ms);
  call->running = true;
  queue->n_suspects_in_flight += call->item.suspect;
  call->sent_ms = now_ms;
  call->prefill_tokens = queue_uncached (&call->item);
  queue->prefill_tokens += call->prefill_tokens;
  queue->prefill_sent_ms = now_ms;
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

/* The program was admitted: all its waiting calls become ready. */
static void
queue_program_admitted (struct DispatchQueue *queue, struct ActiveProgram *program, int64_t now_ms)
{
  for (struct QueuedCall *c = program->calls; c != NULL; c = c->next)
    {
      queue_dequeue (queue, c);
      c->ready = true;
      queue_enqueue (queue, c);
    }
  if (queue->last_admit_ms != 0)
    queue->admit_interval_ms +=
        ((double)(now_ms - queue->last_admit_ms) - queue->admit_interval_ms) * QUEUE_GAIN;
  queue->last_admit_ms = now_ms;
  queue->n_admitted++;
}

static struct QueuedCall *
queue_first_ready (struct HeapNode *service_node)
{
  struct FairService *service = HEAP_ENTRY (service_node, struct FairService, ready_node);

  return HEAP_ENTRY (policy_heap_first (&service->ready), struct QueuedCall, order);
}

static struct QueuedCall *
queue_first_unadmitted (struct HeapNode *service_node)
{
  struct FairService *service = HEAP_ENTRY (service_node, struct FairService, unadmitted_node);

  return HEAP_ENTRY (policy_heap_first (&service->unadmitted), struct QueuedCall, order);
}

/* A request that was running on a server when it crashed may be the cause, and so may each
 * request that ran at the same time. Sent together they would crash the next server together, and
 * all be quarantined. */
static struct QueuedCall *
queue_next_suspect (struct DispatchQueue *queue, int64_t now_ms)
{
  struct HeapNode *node = policy_heap_first (&queue->suspects);
  struct QueuedCall *call;

  if (node == NULL || queue->n_suspects_in_flight > 0)
    return NULL;
  call = HEAP_ENTRY (node, struct QueuedCall, order);
  if (call->program != NULL && !call->program->active)
    {
      active_set_admit (&queue->set, call->program, ACTIVE_FORCED);
      queue_program_admitted (queue, call->program, now_ms);
    }
  return call;
}

/* Returns the oldest call whose program is not admitted, if it has waited too long and its turn has
 * come: every few admissions go by age, so that no call waits forever however many new programs
 * there are. */
static struct QueuedCall *
queue_next_overdue (struct DispatchQueue *queue, int64_t now_ms)
{
  struct HeapNode *node = policy_heap_first (&queue->ages);
  struct QueuedCall *call;

  if (node == NULL || queue->n_admitted % QUEUE_OVERDUE_INTERVAL != 0)
    return NULL;
  call = HEAP_ENTRY (node, struct QueuedCall, age);
  if (now_ms - call->pushed_ms < (int64_t)call->service->weights.ageing_ms * QUEUE_OVERDUE_AGEINGS
      || !active_set_admit (&queue->set, call->program, ACTIVE_OVERDUE))
    return NULL;
  queue_program_admitted (queue, call->program, now_ms);
  return call;
}

static struct QueuedCall *
queue_next (struct DispatchQueue *queue, int64_t now_ms)
{
  struct HeapNode *ready = policy_heap_first (&queue->fair.ready);
  struct HeapNode *unadmitted = policy_heap_first (&queue->fair.unadmitted);
  struct QueuedCall *call;

  if (unadmitted != NULL && (ready == NULL || heap_node_before (unadmitted, ready)))
    {
      call = queue_first_unadmitted (unadmitted);
      if (active_set_admit (&queue->set, call->program,
                            queue->n_in_flight == 0 && ready == NULL ? ACTIVE_FORCED
                                                                     : ACTIVE_USUAL))
        {
          queue_program_admitted (queue, call->program, now_ms);
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
  call = queue_next_suspect (queue, now_ms);
  if (call == NULL)
    call = queue_next_overdue (queue, now_ms);
  if (call == NULL)
    call = queue_next (queue, now_ms);
  if (call == NULL || !queue_prefill_has_room (queue, call, now_ms))
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
  queue_free_call (queue, call, call->pushed_ms);
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
  queue_free_call (queue, call, now_ms);
  return true;
}

/* ---- Learning from responses ---- */

void
dispatch_queue_first_token (struct DispatchQueue *queue, uint64_t id, int64_t now_ms)
{
  struct QueuedCall *call = queue_find (queue, id);

  if (call == NULL || !call->running || call->first_ms != 0)
    return;
  call->first_ms = now_ms;
  queue_prefill_done (queue, call);
}

static void
queue_learn_service (struct FairService *service, uint32_t generated)
{
  if (service->generated_tokens == 0)
    service->generated_tokens = QUEUE_GENERATED_INITIAL;
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
  active_set_learn_budget (&queue->set, call->expected_tokens, outcome->cached_tokens);
  if (charged > queue_cached (&call->item))
    call->grown_tokens = charged - queue_cached (&call->item);
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
  queue->n_suspects_in_flight -= call->item.suspect;
  queue_prefill_done (queue, call);
  if (outcome->error == ERROR_NONE)
    queue_learn (queue, call, outcome, now_ms);
  else if (outcome->error != ERROR_CANCELLED)
    {
      struct LimitSample sample = { .sent_ms = call->sent_ms, .end_ms = now_ms, .failed = true };

      policy_limit_learn (&queue->limit, &sample);
    }
  queue_free_call (queue, call, now_ms);
}

/* ---- Reports and the queue's state ---- */

void
dispatch_queue_report_cache (struct DispatchQueue *queue, uint64_t capacity_tokens)
{
  active_set_set_capacity (&queue->set, capacity_tokens);
}

void
dispatch_queue_program_ended (struct DispatchQueue *queue, const char *program)
{
  struct ActiveProgram *active = active_set_find (&queue->set, program);

  if (active != NULL && active->n_waiting + active->n_running == 0)
    active_set_remove (&queue->set, active);
}

void
dispatch_queue_active (const struct DispatchQueue *queue, struct DispatchActive *active)
{
  const struct ActiveSet *set = &queue->set;

  active->n_programs = set->n_active;
  active->active_tokens = set->active_tokens;
  active->n_evicted = set->n_evicted;
  active->n_expired = set->n_expired;
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
