#include <buckthornhead/scheduling/waiting_programs.h>

#include <uthash.h>

enum
{
  /* A caller returns within a few seconds or not at all. */
  RETENTION_MS = 10 * 1000
};

struct WaitingProgram
{
  uint64_t id;
  int64_t since_ms, last_ms; /* first and last request that waited */
  UT_hash_handle hh;
};

struct WaitingPrograms
{
  struct WaitingProgram *by_id;
};

static int
programs_free (struct WaitingPrograms *programs)
{
  HASH_CLEAR (hh, programs->by_id);
  return 0;
}

struct WaitingPrograms *
waiting_programs_new (TALLOC_CTX *ctx)
{
  struct WaitingPrograms *programs = talloc_zero (ctx, struct WaitingPrograms);

  if (programs != NULL)
    talloc_set_destructor (programs, programs_free);
  return programs;
}

int64_t
waiting_programs_since (struct WaitingPrograms *programs, uint64_t program, int64_t now_ms)
{
  struct WaitingProgram *found = NULL;

  if (program == 0)
    return now_ms;
  HASH_FIND (hh, programs->by_id, &program, sizeof program, found);
  if (found == NULL)
    {
      found = talloc_zero (programs, struct WaitingProgram);
      if (found == NULL)
        return now_ms;
      found->id = program;
      found->since_ms = now_ms;
      HASH_ADD (hh, programs->by_id, id, sizeof found->id, found);
    }
  found->last_ms = now_ms;
  return found->since_ms;
}

void
waiting_programs_expire (struct WaitingPrograms *programs, int64_t now_ms)
{
  struct WaitingProgram *program, *next;

  HASH_ITER (hh, programs->by_id, program, next)
  {
    if (now_ms - program->last_ms < RETENTION_MS)
      continue;
    HASH_DEL (programs->by_id, program);
    talloc_free (program);
  }
}
