#include "pairs_load.h"

#include "stream.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CALL_DEADLINE_MS = 90000,
  RETRY_MS = 100,
  PAUSE_MS_MAX = 500,
  ANSWER_TOKENS = 30,
  STREAM_TOKENS = 200,
  CALL_KINDS = 4,
  EXCERPT_BYTES = 300
};

uint64_t
random_next (uint64_t *state)
{
  uint64_t z = *state += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ z >> 30) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ z >> 27) * UINT64_C (0x94d049bb133111eb);
  return z ^ z >> 31;
}

static struct TestCall
load_test_call (const struct LoadProgram *program, const struct LoadCall *call, char **body)
{
  struct TestCall test = { .program = program->name,
                           .branch = call->branch,
                           .sequence = call->sequence };

  if (call->tool)
    {
      test.service = "field-desk";
      test.path = call->path;
      *body = talloc_asprintf (NULL, "{\"wage\":%" PRIu64 "}", call->sequence);
    }
  else
    {
      char *text = talloc_asprintf (NULL, "%s asks %" PRIu64, program->name, call->sequence);

      *body = chat_body (NULL, "negotiation", text, call->stream ? STREAM_TOKENS : ANSWER_TOKENS,
                         call->stream);
      talloc_free (text);
    }
  test.body = *body;
  return test;
}

/* Returns the outcome of one attempt; LOAD_UNKNOWN if it has to be retried. */
static enum LoadOutcome
load_attempt_outcome (const struct LoadCall *call, const struct HttpReply *reply)
{
  const json_t *error = json_object_get (reply->json, "error");

  if (reply->status == 200 && call->stream)
    return sse_text_is_complete (reply->body) ? LOAD_ANSWERED : LOAD_UNKNOWN;
  if (reply->status == 200)
    return LOAD_ANSWERED;
  if (reply->status == 0 || json_object_get (error, "retry_after_ms") != NULL)
    return LOAD_UNKNOWN;
  return strcmp (reply_error_kind (reply), "may_have_run") == 0 ? LOAD_MAY_HAVE_RUN : LOAD_REFUSED;
}

/* Returns whether a call is not retried: one on its own branch whose first attempt got not_run. */
static bool
load_skips_retry (const struct LoadCall *call, const struct HttpReply *reply)
{
  return call->n_attempts == 1 && strcmp (call->branch, "main") != 0
         && strcmp (reply_ran (reply), "not_run") == 0;
}

static void
load_run_call (struct LoadProgram *program, struct LoadCall *call)
{
  int64_t deadline_ms = monotonic_ms () + CALL_DEADLINE_MS;
  char *body = NULL;
  struct TestCall test = load_test_call (program, call, &body);

  while (call->outcome == LOAD_UNKNOWN && monotonic_ms () < deadline_ms)
    {
      uint32_t i =
          (uint32_t)(random_next (&program->random_state) % program->cluster->options.n_instances);
      struct HttpReply *reply;

      test.address = program->cluster->instances[i].address;
      test.first_attempt = call->n_attempts++ == 0;
      reply = call_send (NULL, &test);
      call->outcome =
          load_skips_retry (call, reply) ? LOAD_NOT_RUN : load_attempt_outcome (call, reply);
      talloc_free (call->text);
      call->text = talloc_strdup (NULL, reply->body);
      talloc_free (reply);
      if (call->outcome == LOAD_UNKNOWN)
        sleep_ms (RETRY_MS);
    }
  talloc_free (body);
}

/* Alternates engine calls and tool calls on the main branch; every CALL_KINDS-th call is a tool
 * call on its own branch. */
static struct LoadCall *
load_next_call (struct LoadProgram *program, uint64_t *main_sequence)
{
  uint32_t i = program->n_calls++;
  struct LoadCall *call = &program->calls[i];

  call->tool = i % 2 == 1;
  call->stream = i % CALL_KINDS == 0;
  snprintf (call->path, sizeof call->path, "/%s/%u", program->name, i);
  if (i % CALL_KINDS == 3)
    {
      snprintf (call->branch, sizeof call->branch, "own-%u", i);
      call->sequence = 1;
      return call;
    }
  snprintf (call->branch, sizeof call->branch, "main");
  call->sequence = ++*main_sequence;
  return call;
}

static void *
load_thread_run (void *data)
{
  struct LoadProgram *program = data;
  uint64_t main_sequence = 0;

  for (uint32_t i = 0; i < LOAD_CALLS; i++)
    {
      struct LoadCall *call = load_next_call (program, &main_sequence);

      load_run_call (program, call);
      if (call->outcome == LOAD_UNKNOWN || call->outcome == LOAD_REFUSED)
        return NULL;
      sleep_ms ((uint32_t)(random_next (&program->random_state) % PAUSE_MS_MAX));
    }
  return NULL;
}

struct LoadProgram *
load_start (struct Cluster *cluster, uint64_t seed)
{
  struct LoadProgram *programs = talloc_zero_array (cluster, struct LoadProgram, LOAD_PROGRAMS);

  for (uint32_t i = 0; i < LOAD_PROGRAMS; i++)
    {
      struct LoadProgram *program = &programs[i];

      program->cluster = cluster;
      program->random_state = seed + i;
      snprintf (program->name, sizeof program->name, "pairs-%u", i);
      program->created = create_program (cluster, i % cluster->options.n_instances, program->name);
    }
  for (uint32_t i = 0; i < LOAD_PROGRAMS; i++)
    if (pthread_create (&programs[i].thread, NULL, load_thread_run, &programs[i]) != 0)
      abort ();
  return programs;
}

void
load_join (struct LoadProgram *programs)
{
  for (uint32_t i = 0; i < LOAD_PROGRAMS; i++)
    pthread_join (programs[i].thread, NULL);
}

__attribute__ ((format (printf, 3, 4))) static bool
load_report_violation (const struct LoadProgram *program,
                       const struct LoadCall *call,
                       const char *format,
                       ...)
{
  va_list arguments;

  fprintf (stderr, "%s", program->name);
  if (call != NULL)
    fprintf (stderr, " %s %" PRIu64 " (%u attempts)", call->branch, call->sequence,
             call->n_attempts);
  fprintf (stderr, ": ");
  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fprintf (stderr, "\n");
  return false;
}

static const json_t *
history_turn (const json_t *history, const struct LoadCall *call)
{
  const json_t *turn;
  size_t i;

  json_array_foreach ((json_t *)history, i, turn)
  {
    if (strcmp (json_string_value (json_object_get (turn, "branch")), call->branch) == 0
        && (uint64_t)json_integer_value (json_object_get (turn, "sequence")) == call->sequence)
      return turn;
  }
  return NULL;
}

/* Checks that the stored answer equals the one that the caller got. */
static bool
load_check_answer (const struct LoadProgram *program,
                   const struct LoadCall *call,
                   const json_t *history)
{
  const json_t *turn = history_turn (history, call);
  const json_t *stored = json_object_get (turn, "answer");
  json_t *received = json_loads (call->text, JSON_DECODE_ANY, NULL);
  bool same = received != NULL
                  ? json_equal (received, stored)
                  : json_is_string (stored) && strcmp (json_string_value (stored), call->text) == 0;

  json_decref (received);
  if (turn == NULL)
    return load_report_violation (program, call, "was answered but is not in the history");
  return same || load_report_violation (program, call, "the history has a different answer");
}

static bool
load_check_call (const struct LoadProgram *program,
                 const struct LoadCall *call,
                 const json_t *history,
                 const json_t *runs_by_path)
{
  json_int_t n_runs = json_integer_value (json_object_get (runs_by_path, call->path));
  bool valid = true;

  if (call->tool && n_runs > 1)
    valid = load_report_violation (program, call, "ran %d times", (int)n_runs);
  if (call->tool && call->outcome == LOAD_NOT_RUN && n_runs > 0)
    valid = load_report_violation (program, call, "got not_run but ran");
  if (call->tool && call->outcome == LOAD_ANSWERED && n_runs == 0)
    valid = load_report_violation (program, call, "was answered but did not run");
  if (call->outcome == LOAD_UNKNOWN || call->outcome == LOAD_REFUSED)
    valid = load_report_violation (program, call, "no final answer: %.*s", (int)EXCERPT_BYTES,
                                   call->text != NULL ? call->text : "");
  if (call->outcome == LOAD_ANSWERED)
    valid = load_check_answer (program, call, history) && valid;
  return valid;
}

/* Checks that the main branch's turns are in order, none missing and none repeated. */
static bool
load_check_order (const struct LoadProgram *program, const json_t *history)
{
  uint64_t expected = 1;
  json_t *turn;
  size_t i;

  json_array_foreach ((json_t *)history, i, turn)
  {
    if (strcmp (json_string_value (json_object_get (turn, "branch")), "main") != 0)
      continue;
    if ((uint64_t)json_integer_value (json_object_get (turn, "sequence")) != expected++)
      return load_report_violation (program, NULL, "turn %" PRIu64 " is missing or out of order",
                                    expected - 1);
  }
  return true;
}

/* Sends a request to each instance in turn until one replies 200 or WAIT_LIMIT_MS pass. */
static struct HttpReply *
load_request_any (struct Cluster *cluster, const char *method, const char *path, const char *body)
{
  int64_t deadline_ms = monotonic_ms () + WAIT_LIMIT_MS;
  struct HttpReply *reply = NULL;

  for (uint32_t i = 0; reply == NULL || (reply->status != 200 && monotonic_ms () < deadline_ms);
       i++)
    {
      if (reply != NULL)
        sleep_ms (RETRY_MS);
      talloc_free (reply);
      reply =
          http_send (cluster, method, cluster->instances[i % cluster->options.n_instances].address,
                     path, NULL, body);
    }
  return reply;
}

static bool
load_check_program (struct Cluster *cluster,
                    const struct LoadProgram *program,
                    const json_t *runs_by_path)
{
  char *path = talloc_asprintf (cluster, "/v1/programs/%s/history", program->name);
  struct HttpReply *reply = load_request_any (cluster, "GET", path, NULL);
  const json_t *history = json_object_get (reply->json, "history");
  bool valid;

  if (!program->created || reply->status != 200)
    return load_report_violation (program, NULL, "no history: %u %.*s", reply->status,
                                  (int)EXCERPT_BYTES, reply->body);
  valid = load_check_order (program, history);
  for (uint32_t i = 0; i < program->n_calls; i++)
    valid = load_check_call (program, &program->calls[i], history, runs_by_path) && valid;
  if (json_integer_value (json_object_get (reply->json, "charged_tokens"))
      > json_integer_value (json_object_get (reply->json, "budget_tokens")))
    valid = load_report_violation (program, NULL, "exceeded its budget");
  return valid;
}

static bool
memory_is_released (void *data)
{
  const struct LoadProgram *program = data;

  return cluster_held_tokens (program->cluster, program->name) == 0;
}

static bool
load_check_release (struct Cluster *cluster, struct LoadProgram *program)
{
  char *path = talloc_asprintf (cluster, "/v1/programs/%s/end", program->name);
  struct HttpReply *reply = load_request_any (cluster, "POST", path, "{\"reason\":\"done\"}");

  if (reply->status != 200)
    return load_report_violation (program, NULL, "cannot be ended: %u %.*s", reply->status,
                                  (int)EXCERPT_BYTES, reply->body);
  return wait_for (memory_is_released, program)
         || load_report_violation (program, NULL, "an engine still holds memory after the end");
}

bool
load_check (struct Cluster *cluster, struct LoadProgram *programs)
{
  struct HttpReply *counts = http_get (cluster, cluster->tools[0].address, "/counts");
  const json_t *runs_by_path = json_object_get (counts->json, "paths");
  bool valid = counts->status == 200;

  for (uint32_t i = 0; i < LOAD_PROGRAMS; i++)
    valid = load_check_program (cluster, &programs[i], runs_by_path) && valid;
  for (uint32_t i = 0; i < LOAD_PROGRAMS; i++)
    valid = load_check_release (cluster, &programs[i]) && valid;
  return valid;
}
