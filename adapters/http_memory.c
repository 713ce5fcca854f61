#include "http_server_internal.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/error.h>
#include <buckthornhead/held_memory.h>
#include <buckthornhead/log.h>
#include <buckthornhead/reclaim.h>

enum
{
  /* Bodies up to this size are always accepted: rejecting them would free next to nothing. */
  ALWAYS_ACCEPTED_BYTES = 4096,
  LOG_PERIOD_MS = 10 * 1000
};

struct HttpMemory
{
  struct TimerService *timers;
  uint64_t max_bytes;
  struct HttpServer *servers;
  int64_t logged_ms;   /* 0: never */
  uint32_t n_given_up; /* clients, since the last line */
};

static uint64_t
connection_held_bytes (const struct Connection *c)
{
  uint64_t n_bytes = c->input.capacity + c->output.capacity;

  if (c->reader.body != NULL)
    n_bytes += talloc_get_size (c->reader.body);
  if (c->exchange != NULL && c->exchange->public.body != NULL)
    n_bytes += talloc_get_size (c->exchange->public.body);
  return n_bytes;
}

static struct ReclaimCandidate
connection_candidate (const struct Connection *c, int64_t now_ms)
{
  return (struct ReclaimCandidate){
    .held_bytes = connection_held_bytes (c),
    .stalled_ms = progress_stalled_ms (&c->progress, now_ms),
    .age_ms = now_ms - c->state_since_ms,
  };
}

/* Returns the client to be given up first; self counts with n_more_bytes, NULL: there is none. */
static struct Connection *
memory_choose (const struct HttpMemory *memory, struct Connection *self, size_t n_more_bytes)
{
  int64_t now_ms = timer_now_ms (memory->timers);
  struct Connection *first = NULL;
  struct ReclaimCandidate first_candidate;

  for (const struct HttpServer *s = memory->servers; s != NULL; s = s->next)
    for (struct Connection *c = s->connections; c != NULL; c = c->next)
      {
        struct ReclaimCandidate candidate = connection_candidate (c, now_ms);

        if (c == self)
          candidate.held_bytes += n_more_bytes;
        if (c->state != CONNECTION_READING || !reclaim_is_eligible (&candidate)
            || (first != NULL && !reclaim_precedes (&candidate, &first_candidate)))
          continue;
        first = c;
        first_candidate = candidate;
      }
  return first;
}

/* Counts a client that is given up, and logs it, at most once in LOG_PERIOD_MS. */
static void
memory_log (struct HttpMemory *memory)
{
  int64_t now_ms = timer_now_ms (memory->timers);

  counter_add (COUNTER_CLIENTS_GIVEN_UP, 1);
  memory->n_given_up++;
  if (memory->logged_ms != 0 && now_ms - memory->logged_ms < LOG_PERIOD_MS)
    return;
  log_event (LOG_LEVEL_WARNING, "held_memory_exceeded", NULL,
             "look for callers that send or read slowly, or raise [limits] held_memory",
             "%llu bytes are held, the limit is %llu; %u clients were given up since the last line",
             (unsigned long long)held_memory_bytes (), (unsigned long long)memory->max_bytes,
             memory->n_given_up);
  memory->logged_ms = now_ms;
  memory->n_given_up = 0;
}

bool
http_memory_reserve (struct HttpMemory *memory,
                     struct Connection *self,
                     size_t n_bytes,
                     size_t body_bytes)
{
  uint64_t budget_bytes = reclaim_budget (memory->max_bytes, body_bytes);

  if (body_bytes <= ALWAYS_ACCEPTED_BYTES)
    return true;
  while (held_memory_bytes () + n_bytes > budget_bytes)
    {
      struct Connection *first = memory_choose (memory, self, n_bytes);

      memory_log (memory);
      if (first == NULL || first == self)
        return false;
      server_connection_reject_short (first);
    }
  return true;
}

void
http_memory_add_server (struct HttpMemory *memory, struct HttpServer *server)
{
  server->next = memory->servers;
  server->previous_next = &memory->servers;
  if (server->next != NULL)
    server->next->previous_next = &server->next;
  memory->servers = server;
}

void
http_memory_remove_server (struct HttpServer *server)
{
  if (server->previous_next == NULL)
    return;
  *server->previous_next = server->next;
  if (server->next != NULL)
    server->next->previous_next = server->previous_next;
}

struct HttpMemory *
http_memory_new (TALLOC_CTX *ctx, struct TimerService *timers, uint64_t max_bytes)
{
  struct HttpMemory *memory = talloc_zero (ctx, struct HttpMemory);

  if (memory == NULL)
    return NULL;
  memory->timers = timers;
  memory->max_bytes = max_bytes;
  return memory;
}
