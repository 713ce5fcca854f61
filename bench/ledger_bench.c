/* Measures a home's memory and time by its number of programs: bytes per program and turn, time to
 * create a program, per turn, and per sweep over all programs.
 *
 * ledger_bench [N...]: prints a JSON line for each N programs (1,000, 10,000, and 100,000 by
 * default). Each program has 4 turns with a request of 64 bytes and a response of 256 bytes. */
#include <buckthornhead/ledger.h>

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  TURNS = 4,
  REQUEST_BYTES = 64,
  RESPONSE_BYTES = 256
};

static uint8_t request_text[REQUEST_BYTES];
static uint8_t response_text[RESPONSE_BYTES];

static int64_t
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static void
program_name (char *name, size_t size, uint32_t i)
{
  snprintf (name, size, "program-%08u", i);
}

static int32_t
create_program (struct Ledger *ledger, uint32_t i)
{
  struct Record record = { .kind = RECORD_PROGRAM, .partition = i % 64, .epoch = 1 };
  struct Fault fault;
  bool exists;
  int32_t error;

  program_name (record.program.program, sizeof record.program.program, i);
  snprintf (record.program.service, sizeof record.program.service, "bench");
  record.program.budget_tokens = 1000000;
  record.program.grant_tokens = 50000;
  error = ledger_create_program (ledger, &record, &exists, &fault);
  return error == ERROR_NONE ? ledger_apply (ledger, &record) : error;
}

static int32_t
run_turn (struct Ledger *ledger, uint32_t i, uint64_t sequence)
{
  struct Call call = { .idempotent = true, .max_tokens = 64, .prompt_tokens = 16 };
  struct Outcome outcome = { .ran = RAN_YES,
                             .status = 200,
                             .charge_tokens = 80,
                             .response = response_text,
                             .response_bytes = RESPONSE_BYTES };
  struct LedgerDecision decision;
  struct Record record;
  int32_t error;

  program_name (call.key.program, sizeof call.key.program, i);
  snprintf (call.key.branch, sizeof call.key.branch, MAIN_BRANCH);
  snprintf (outcome.backend, sizeof outcome.backend, "engine-%u", i % 16);
  call.key.sequence = sequence;
  memcpy (call.digest, &i, sizeof i);
  ledger_accept_call (ledger, &call, 1, &decision);
  if (decision.verdict == LEDGER_JOURNAL_FIRST)
    {
      error = ledger_apply (ledger, &decision.record);
      if (error != ERROR_NONE)
        return error;
    }
  else if (decision.verdict != LEDGER_RUN)
    return decision.fault.error;
  error = ledger_end_call (ledger, &call.key, &outcome, request_text, REQUEST_BYTES, &record);
  return error == ERROR_NONE ? ledger_apply (ledger, &record) : error;
}

static void
count_turns (void *data, const struct LedgerProgramView *view)
{
  *(uint64_t *)data += view->turns;
}

static void
count_held (void *data, const char *program, const char *backend)
{
  (void)program;
  (void)backend;
  (*(uint64_t *)data)++;
}

static int
bench_programs (uint32_t n)
{
  struct Ledger *ledger = ledger_new (NULL);
  size_t empty_bytes = talloc_total_size (ledger);
  size_t created_bytes, full_bytes;
  int64_t start_us, created_us, turns_us, sweep_us, held_us;
  uint64_t n_turns = 0, n_held = 0;
  int32_t error = ERROR_NONE;

  start_us = now_us ();
  for (uint32_t i = 0; i < n && error == ERROR_NONE; i++)
    error = create_program (ledger, i);
  created_us = now_us () - start_us;
  created_bytes = talloc_total_size (ledger) - empty_bytes;
  start_us = now_us ();
  for (uint64_t t = 1; t <= TURNS; t++)
    for (uint32_t i = 0; i < n && error == ERROR_NONE; i++)
      error = run_turn (ledger, i, t);
  turns_us = now_us () - start_us;
  full_bytes = talloc_total_size (ledger) - empty_bytes;
  start_us = now_us ();
  ledger_each_program (ledger, count_turns, &n_turns);
  sweep_us = now_us () - start_us;
  start_us = now_us ();
  ledger_each_unreleased_server (ledger, count_held, &n_held);
  held_us = now_us () - start_us;
  printf ("{\"programs\":%u,\"error\":\"%s\",\"bytes_a_program\":%zu,\"bytes_a_turn\":%zu,"
          "\"create_us\":%.2f,\"turn_us\":%.2f,\"sweep_programs_us\":%" PRId64
          ",\"sweep_held_us\":%" PRId64 ",\"turns\":%" PRIu64 "}\n",
          n, error_name (error), created_bytes / n, (full_bytes - created_bytes) / n / TURNS,
          (double)created_us / n, (double)turns_us / n / TURNS, sweep_us, held_us, n_turns);
  talloc_free (ledger);
  return error != ERROR_NONE || n_turns != (uint64_t)n * TURNS;
}

int
main (int argc, char **argv)
{
  static const uint32_t defaults[] = { 1000, 10000, 100000 };
  int status = 0;

  if (argc > 1)
    {
      for (int i = 1; i < argc; i++)
        status |= bench_programs ((uint32_t)strtoul (argv[i], NULL, 10));
      return status;
    }
  for (size_t i = 0; i < sizeof defaults / sizeof defaults[0]; i++)
    status |= bench_programs (defaults[i]);
  return status;
}
