#include "ledger_state.h"

#include <string.h>

static void
fill_view (const struct LedgerProgram *program, struct LedgerProgramView *view)
{
  const struct Record *created = &program->created;

  memset (view, 0, sizeof *view);
  view->program = created->program.program;
  view->service = created->program.service;
  view->parent = created->program.parent;
  view->budget_tokens = created->program.budget_tokens;
  view->charged_tokens = program->charged_tokens;
  view->cached_tokens = program->cached_tokens < program->charged_tokens ? program->cached_tokens
                                                                         : program->charged_tokens;
  view->reserved_tokens = program->reserved_tokens;
  view->created_unix_ms = created->program.created_unix_ms;
  view->deadline_unix_ms = created->program.deadline_unix_ms;
  view->turns = (uint32_t)program->n_turns;
  view->turn_limit = created->program.turn_limit;
  view->in_flight = program_n_in_flight (program);
  view->ended = program->ended;
  view->end_reason = program->end_reason;
  memcpy (view->history_digest, program->history_digest, DIGEST_BYTES);
  view->n_unreleased_servers = program->ended ? (uint32_t)program->n_holders : 0;
}

bool
ledger_view_program (const struct Ledger *ledger,
                     const char *program,
                     struct LedgerProgramView *view)
{
  const struct LedgerProgram *p = ledger_find (ledger, program);

  if (p == NULL || p->pending)
    return false;
  fill_view (p, view);
  return true;
}

int32_t
ledger_each_turn (const struct Ledger *ledger, const char *program, LedgerTurnFn fn, void *data)
{
  const struct LedgerProgram *p = ledger_find (ledger, program);

  if (p == NULL)
    return ERROR_NOT_FOUND;
  for (size_t i = 0; i < p->n_turns; i++)
    fn (data, &p->turns[i]->key, &p->turns[i]->outcome, p->turns[i]->request,
        p->turns[i]->request_bytes);
  return ERROR_NONE;
}

void
ledger_each_program (const struct Ledger *ledger, LedgerProgramFn fn, void *data)
{
  struct LedgerProgram *program, *next;
  struct LedgerProgramView view;

  HASH_ITER (hh, ledger->programs, program, next)
  {
    if (program->pending)
      continue;
    fill_view (program, &view);
    fn (data, &view);
  }
}

void
ledger_each_unreleased_server (const struct Ledger *ledger, LedgerServerFn fn, void *data)
{
  struct LedgerProgram *program, *next;

  HASH_ITER (hh, ledger->programs, program, next)
  for (size_t i = 0; program->ended && i < program->n_holders; i++)
    fn (data, program->created.program.program, program->holders[i]);
}

bool
ledger_partition_is_busy (const struct Ledger *ledger, uint32_t partition)
{
  struct LedgerProgram *program, *next;

  HASH_ITER (hh, ledger->programs, program, next)
  {
    if (program->created.partition == partition
        && (program->pending || program->ending || program_n_in_flight (program) > 0))
      return true;
  }
  return false;
}
