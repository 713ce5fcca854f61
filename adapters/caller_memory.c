#include <buckthornhead/caller_memory.h>

#include <buckthornhead/clock.h>
#include <buckthornhead/held_memory.h>
#include <buckthornhead/reclaim_log.h>

#include <pthread.h>
#include <sys/socket.h>

struct CallerMemory
{
  pthread_mutex_t lock; /* for all that follows, and for .memory_state of the exchanges */
  uint64_t max_bytes;
  struct Exchange *exchanges;
  struct ReclaimLog log;
};

static enum ReclaimStage
exchange_stage (const struct Exchange *exchange)
{
  if (exchange->memory_state.queued_bytes > 0)
    return RECLAIM_RESPONDING;
  return exchange->memory_state.posted ? RECLAIM_WAITING : RECLAIM_READING;
}

static struct ReclaimCandidate
exchange_candidate (const struct Exchange *exchange, int64_t now_ms)
{
  const struct ExchangeMemory *state = &exchange->memory_state;
  struct ReclaimCandidate candidate = {
    .stage = exchange_stage (exchange),
    .held_bytes = state->body_bytes + state->queued_bytes,
    .stalled_ms = progress_stalled_ms (&state->progress, now_ms),
  };

  /* Small requests that arrive at a normal pace are not given up for the sake of a connection. */
  if (reclaim_is_stalled (&candidate))
    candidate.held_bytes += state->own_bytes;
  return candidate;
}

/* Returns the client to be given up first; self, which may be NULL, counts with n_more_bytes.
 * Requests in progress are left out: libmicrohttpd does not notice the end of their suspended
 * connections. */
static struct ReclaimChoice
memory_choose (const struct CallerMemory *memory, const struct Exchange *self, size_t n_more_bytes)
{
  int64_t now_ms = clock_monotonic_ms ();
  struct ReclaimChoice choice = { 0 };

  for (struct Exchange *e = memory->exchanges; e != NULL; e = e->memory_state.next)
    {
      struct ReclaimCandidate candidate = exchange_candidate (e, now_ms);

      if (e == self)
        candidate.held_bytes += n_more_bytes;
      if (!e->memory_state.given_up && candidate.stage != RECLAIM_WAITING)
        reclaim_consider (&choice, e, &candidate);
    }
  return choice;
}

/* Returns what is freed when the client's connection is closed. */
static uint64_t
exchange_total_bytes (const struct Exchange *exchange)
{
  const struct ExchangeMemory *state = &exchange->memory_state;

  return state->own_bytes + state->body_bytes + state->queued_bytes;
}

/* Returns what clients hold that were given up and whose threads have not freed it yet. */
static uint64_t
memory_pending_bytes (const struct CallerMemory *memory)
{
  uint64_t n_bytes = 0;

  for (const struct Exchange *e = memory->exchanges; e != NULL; e = e->memory_state.next)
    if (e->memory_state.given_up)
      n_bytes += exchange_total_bytes (e);
  return n_bytes;
}

/* Gives clients up until n_bytes more will fit the budget, self excepted. */
static void
memory_make_room (struct CallerMemory *memory,
                  const struct Exchange *self,
                  size_t n_bytes,
                  uint64_t budget_bytes)
{
  uint64_t pending_bytes = memory_pending_bytes (memory);

  while (held_memory_bytes () + n_bytes > budget_bytes + pending_bytes)
    {
      struct ReclaimChoice choice = memory_choose (memory, self, n_bytes);
      struct Exchange *chosen = choice.client;

      if (chosen == NULL || chosen == self
          || (self != NULL && !reclaim_yields_to_request (&choice.candidate)))
        return;
      reclaim_log_record (&memory->log, memory->max_bytes, clock_monotonic_ms ());
      chosen->memory_state.given_up = true;
      shutdown (chosen->memory_state.fd, SHUT_RDWR);
      pending_bytes += exchange_total_bytes (chosen);
    }
}

bool
caller_memory_reserve (struct Exchange *exchange, size_t n_bytes, size_t body_bytes)
{
  struct CallerMemory *memory = exchange->memory_state.memory;
  uint64_t budget_bytes;
  bool fits = true;

  if (memory == NULL)
    return true;
  budget_bytes = reclaim_budget (memory->max_bytes, body_bytes);
  pthread_mutex_lock (&memory->lock);
  if (held_memory_bytes () + n_bytes > budget_bytes)
    {
      memory_make_room (memory, exchange, n_bytes, budget_bytes);
      /* What others hold is freed later, by the threads that own them. */
      fits = held_memory_bytes () + n_bytes <= budget_bytes;
      if (!fits)
        reclaim_log_record (&memory->log, memory->max_bytes, clock_monotonic_ms ());
    }
  if (fits)
    exchange->memory_state.body_bytes += n_bytes;
  pthread_mutex_unlock (&memory->lock);
  return fits;
}

void
caller_memory_drop_body (struct Exchange *exchange)
{
  struct CallerMemory *memory = exchange->memory_state.memory;

  if (memory == NULL)
    return;
  pthread_mutex_lock (&memory->lock);
  exchange->memory_state.body_bytes = 0;
  pthread_mutex_unlock (&memory->lock);
}

void
caller_memory_record (struct Exchange *exchange, size_t n_bytes)
{
  struct CallerMemory *memory = exchange->memory_state.memory;

  if (memory == NULL)
    return;
  pthread_mutex_lock (&memory->lock);
  progress_record (&exchange->memory_state.progress, n_bytes, clock_monotonic_ms ());
  pthread_mutex_unlock (&memory->lock);
}

void
caller_memory_queue (struct Exchange *exchange, size_t n_bytes)
{
  struct CallerMemory *memory = exchange->memory_state.memory;

  held_memory_add (n_bytes);
  if (memory == NULL)
    return;
  pthread_mutex_lock (&memory->lock);
  if (exchange->memory_state.queued_bytes == 0)
    progress_start (&exchange->memory_state.progress, clock_monotonic_ms ());
  exchange->memory_state.queued_bytes += n_bytes;
  if (held_memory_bytes () > memory->max_bytes)
    memory_make_room (memory, NULL, 0, memory->max_bytes);
  pthread_mutex_unlock (&memory->lock);
}

void
caller_memory_sent (struct Exchange *exchange, size_t n_bytes)
{
  struct CallerMemory *memory = exchange->memory_state.memory;

  held_memory_subtract (n_bytes);
  if (memory == NULL)
    return;
  pthread_mutex_lock (&memory->lock);
  exchange->memory_state.queued_bytes -= n_bytes;
  progress_record (&exchange->memory_state.progress, n_bytes, clock_monotonic_ms ());
  pthread_mutex_unlock (&memory->lock);
}

void
caller_memory_post (struct Exchange *exchange)
{
  struct CallerMemory *memory = exchange->memory_state.memory;

  if (memory == NULL)
    return;
  pthread_mutex_lock (&memory->lock);
  exchange->memory_state.posted = true;
  pthread_mutex_unlock (&memory->lock);
}

void
caller_memory_add (struct CallerMemory *memory, struct Exchange *exchange, int fd, size_t own_bytes)
{
  struct ExchangeMemory *state = &exchange->memory_state;

  if (memory == NULL || fd < 0)
    return;
  state->memory = memory;
  state->fd = fd;
  state->own_bytes = own_bytes;
  held_memory_add (own_bytes);
  progress_start (&state->progress, clock_monotonic_ms ());
  pthread_mutex_lock (&memory->lock);
  state->next = memory->exchanges;
  state->previous_next = &memory->exchanges;
  if (state->next != NULL)
    state->next->memory_state.previous_next = &state->next;
  memory->exchanges = exchange;
  if (held_memory_bytes () > memory->max_bytes)
    memory_make_room (memory, exchange, 0, memory->max_bytes);
  pthread_mutex_unlock (&memory->lock);
}

void
caller_memory_remove (struct Exchange *exchange)
{
  struct ExchangeMemory *state = &exchange->memory_state;

  if (state->memory == NULL)
    return;
  pthread_mutex_lock (&state->memory->lock);
  *state->previous_next = state->next;
  if (state->next != NULL)
    state->next->memory_state.previous_next = state->previous_next;
  held_memory_subtract (state->own_bytes);
  pthread_mutex_unlock (&state->memory->lock);
}

static int
memory_free (struct CallerMemory *memory)
{
  pthread_mutex_destroy (&memory->lock);
  return 0;
}

struct CallerMemory *
caller_memory_new (TALLOC_CTX *ctx, uint64_t max_bytes)
{
  struct CallerMemory *memory = talloc_zero (ctx, struct CallerMemory);

  if (memory == NULL)
    return NULL;
  pthread_mutex_init (&memory->lock, NULL);
  talloc_set_destructor (memory, memory_free);
  memory->max_bytes = max_bytes;
  return memory;
}
