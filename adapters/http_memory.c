#include "http_server_internal.h"

#include <buckthornhead/held_memory.h>
#include <buckthornhead/reclaim_log.h>

enum
{
  /* Clients are given up until this part of the budget is free, so that the next few bytes do not
   * make it necessary again. */
  RECLAIMED_PART = 16
};

struct HttpMemory
{
  struct tevent_context *events;
  struct TimerService *timers;
  struct tevent_immediate *reclaim;
  bool reclaim_scheduled;
  uint64_t max_bytes;
  struct HttpServer *servers;
  struct ReclaimLog log;
};

static uint64_t
connection_held_bytes (const struct Connection *c)
{
  const struct HttpExchange *x = c->exchange != NULL ? &c->exchange->public : NULL;
  uint64_t n_bytes = c->input.capacity + c->output.capacity
                     + http_head_text_held_bytes (&c->reader.head) + c->reader.target_bytes;

  if (c->exchange != NULL)
    n_bytes += c->exchange->head_bytes;
  if (c->reader.body != NULL)
    n_bytes += talloc_get_size (c->reader.body);
  if (x != NULL && x->body != NULL)
    n_bytes += talloc_get_size (x->body);
  if (x != NULL && x->held_bytes != NULL)
    n_bytes += x->held_bytes (x);
  return n_bytes;
}

static enum ReclaimStage
connection_stage (const struct Connection *c)
{
  if (byte_queue_length (&c->output) > 0)
    return RECLAIM_RESPONDING;
  return c->state == CONNECTION_BUSY ? RECLAIM_WAITING : RECLAIM_READING;
}

static struct ReclaimCandidate
connection_candidate (const struct Connection *c, int64_t now_ms)
{
  enum ReclaimStage stage = connection_stage (c);

  return (struct ReclaimCandidate){
    .stage = stage,
    .held_bytes = connection_held_bytes (c),
    .stalled_ms = stage == RECLAIM_WAITING ? 0 : progress_stalled_ms (&c->progress, now_ms),
  };
}

/* Returns the client to be given up first; self, which may be NULL, counts with n_more_bytes. */
static struct ReclaimChoice
memory_choose (const struct HttpMemory *memory, const struct Connection *self, size_t n_more_bytes)
{
  int64_t now_ms = timer_now_ms (memory->timers);
  struct ReclaimChoice choice = { 0 };

  for (const struct HttpServer *s = memory->servers; s != NULL; s = s->next)
    for (struct Connection *c = s->connections; c != NULL; c = c->next)
      {
        struct ReclaimCandidate candidate = connection_candidate (c, now_ms);

        if (c == self)
          candidate.held_bytes += n_more_bytes;
        reclaim_consider (&choice, c, &candidate);
      }
  return choice;
}

/* Rejects the client's request if it has not been read completely, and disconnects it otherwise. */
static void
memory_give_up (struct Connection *c, enum ReclaimStage stage)
{
  struct HttpExchange *x = c->exchange != NULL ? &c->exchange->public : NULL;

  switch (stage)
    {
    case RECLAIM_READING:
      server_connection_reject_short (c);
      break;
    case RECLAIM_WAITING:
      if (x != NULL && x->on_memory_short != NULL)
        {
          x->on_memory_short (x);
          break;
        }
      talloc_free (c);
      break;
    case RECLAIM_RESPONDING:
      talloc_free (c);
      break;
    }
}

bool
http_memory_reserve (struct HttpMemory *memory,
                     struct Connection *self,
                     size_t n_bytes,
                     size_t body_bytes)
{
  uint64_t budget_bytes = reclaim_budget (memory->max_bytes, body_bytes);

  while (held_memory_bytes () + n_bytes > budget_bytes)
    {
      struct ReclaimChoice choice = memory_choose (memory, self, n_bytes);

      reclaim_log_record (&memory->log, memory->max_bytes, timer_now_ms (memory->timers));
      if (choice.client == NULL || choice.client == self
          || !reclaim_yields_to_request (&choice.candidate))
        return false;
      memory_give_up (choice.client, choice.candidate.stage);
    }
  return true;
}

static void
memory_on_reclaim (struct tevent_context *events, struct tevent_immediate *reclaim, void *data)
{
  struct HttpMemory *memory = data;
  uint64_t target_bytes = memory->max_bytes - memory->max_bytes / RECLAIMED_PART;
  struct ReclaimChoice choice;

  (void)events;
  (void)reclaim;
  memory->reclaim_scheduled = false;
  while (held_memory_bytes () > target_bytes
         && (choice = memory_choose (memory, NULL, 0)).client != NULL)
    {
      reclaim_log_record (&memory->log, memory->max_bytes, timer_now_ms (memory->timers));
      memory_give_up (choice.client, choice.candidate.stage);
    }
}

/* The memory may grow while a handler uses a connection, so that clients are given up later, from
 * the event loop, before the next event is handled. */
static void
memory_on_exceeded (void *data)
{
  struct HttpMemory *memory = data;

  if (memory->reclaim_scheduled)
    return;
  memory->reclaim_scheduled = true;
  tevent_schedule_immediate (memory->reclaim, memory->events, memory_on_reclaim, memory);
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

static int
memory_free (struct HttpMemory *memory)
{
  (void)memory;
  held_memory_watch (0, NULL, NULL);
  return 0;
}

struct HttpMemory *
http_memory_new (TALLOC_CTX *ctx,
                 struct tevent_context *events,
                 struct TimerService *timers,
                 uint64_t max_bytes)
{
  struct HttpMemory *memory = talloc_zero (ctx, struct HttpMemory);

  if (memory == NULL)
    return NULL;
  memory->events = events;
  memory->timers = timers;
  memory->max_bytes = max_bytes;
  memory->reclaim = tevent_create_immediate (memory);
  if (memory->reclaim == NULL)
    {
      talloc_free (memory);
      return NULL;
    }
  talloc_set_destructor (memory, memory_free);
  held_memory_watch (max_bytes, memory_on_exceeded, memory);
  return memory;
}
