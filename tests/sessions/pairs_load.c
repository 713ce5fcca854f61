#include "pairs_load.h"

#include "stream.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CALL_LIMIT_MS = 90000,
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
      char *words = talloc_asprintf (NULL, "%s asks %" PRIu64, program->name, call->sequence);

      *body = chat_body (NULL, "negotiation", words, call->stream ? STREAM_TOKENS : ANSWER_TOKENS,
                         call->stream);
      talloc_free (words);
    }
  test.body = *body;
  return test;
}

/* What one try says; LOAD_UNKNOWN: send it again. */
static enum LoadFate
load_fate (const struct LoadCall *call, const struct HttpReply *reply)
{
  const json_t *error = json_object_get (reply->json, "error");

  if (reply->status == 200 && call->stream)
    return text_is_whole (reply->text) ? LOAD_ANSWERED : LOAD_UNKNOWN;
  if (reply->status == 200)
    return LOAD_ANSWERED;
  if (reply->status == 0 || json_object_get (error, "retry_after_ms") != NULL)
    return LOAD_UNKNOWN;
  return strcmp (reply_error_kind (reply), "may_have_run") == 0 ? LOAD_MAY_HAVE_RUN : LOAD_REFUSED;
}

/* A call on a branch of its own that its first attempt was told did not run is let go of. */
static bool
load_lets_go (const struct LoadCall *call, const struct HttpReply *reply)
{
  return call->n_tries == 1 && strcmp (call->branch, "main") != 0
         && strcmp (reply_ran (reply), "not_run") == 0;
}

static void
load_run_call (struct LoadProgram *program, struct LoadCall *call)
{
  int64_t limit_ms = monotonic_ms () + CALL_LIMIT_MS;
  char *body = NULL;
  struct TestCall test = load_test_call (program, call, &body);

  while (call->fate == LOAD_UNKNOWN && monotonic_ms () < limit_ms)
    {
      uint32_t i =
          (uint32_t)(random_next (&program->random) % program->cluster->options.n_instances);
      struct HttpReply *reply;

      test.address = program->cluster->instances[i].address;
      test.first_attempt = call->n_tries++ == 0;
      reply = call_send (NULL, &test);
      call->fate = load_lets_go (call, reply) ? LOAD_NOT_RUN : load_fate (call, reply);
      talloc_free (call->text);
      call->text = talloc_strdup (NULL, reply->text);
      talloc_free (reply);
      if (call->fate == LOAD_UNKNOWN)
        sleep_ms (RETRY_MS);
    }
  talloc_free (body);
}

/* Engine turns and confirmations on the main branch, confirmations on branches of their own. */
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
load_run (void *data)
{
  struct LoadProgram *program = data;
  uint64_t main_sequence = 0;

  for (uint32_t i = 0; i < LOAD_TURNS; i++)
    {
      struct LoadCall *call = load_next_call (program, &main_sequence);

      load_run_call (program, call);
      if (call->fate == LOAD_UNKNOWN || call->fate == LOAD_REFUSED)
        return NULL;
      sleep_ms ((uint32_t)(random_next (&program->random) % PAUSE_MS_MAX));
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
      program->random = seed + i;
      snprintf (program->name, sizeof program->name, "pairs-%u", i);
      program->created = create_program (cluster, i % cluster->options.n_instances, program->name);
    }
  for (uint32_t i = 0; i < LOAD_PROGRAMS; i++)
    if (pthread_create (&programs[i].thread, NULL, load_run, &programs[i]) != 0)
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
load_complain (const struct LoadProgram *program,
               const struct LoadCall *call,
               const char *format,
               ...)
{
  va_list arguments;

  fprintf (stderr, "%s", program->name);
  if (call != NULL)
    fprintf (stderr, " %s %" PRIu64 " (%u tries)", call->branch, call->sequence, call->n_tries);
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

/* The stored answer is the caller's. */
static bool
load_check_answer (const struct LoadProgram *program,
                   const struct LoadCall *call,
                   const json_t *history)
{
  const json_t *turn = history_turn (history, call);
  const json_t *stored = json_object_get (turn, "answer");
  json_t *got = json_loads (call->text, JSON_DECODE_ANY, NULL);
  bool same = got != NULL
                  ? json_equal (got, stored)
                  : json_is_string (stored) && strcmp (json_string_value (stored), call->text) == 0;

  json_decref (got);
  if (turn == NULL)
    return load_complain (program, call, "was answered and is not in the history");
  return same || load_complain (program, call, "the history has another answer");
}

static bool
load_check_call (const struct LoadProgram *program,
                 const struct LoadCall *call,
                 const json_t *history,
                 const json_t *runs_by_path)
{
  json_int_t n_runs = json_integer_value (json_object_get (runs_by_path, call->path));
  bool holds = true;

  if (call->tool && n_runs > 1)
    holds = load_complain (program, call, "ran %d times", (int)n_runs);
  if (call->tool && call->fate == LOAD_NOT_RUN && n_runs > 0)
    holds = load_complain (program, call, "was told not_run, and ran");
  if (call->tool && call->fate == LOAD_ANSWERED && n_runs == 0)
    holds = load_complain (program, call, "was answered and did not run");
  if (call->fate == LOAD_UNKNOWN || call->fate == LOAD_REFUSED)
    holds = load_complain (program, call, "no answer in the end: %.*s", (int)EXCERPT_BYTES,
                           call->text != NULL ? call->text : "");
  if (call->fate == LOAD_ANSWERED)
    holds = load_check_answer (program, call, history) && holds;
  return holds;
}

/* Each branch's turns stand in their order, with none missing and none twice. */
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
      return load_complain (program, NULL, "turn %" PRIu64 " is not where it should be",
                            expected - 1);
  }
  return true;
}

/* GET from any instance until it has an answer. */
static struct HttpReply *
load_ask (struct Cluster *cluster, const char *method, const char *path, const char *body)
{
  int64_t limit_ms = monotonic_ms () + WAIT_LIMIT_MS;
  struct HttpReply *reply = NULL;

  for (uint32_t i = 0; reply == NULL || (reply->status != 200 && monotonic_ms () < limit_ms); i++)
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
  struct HttpReply *reply = load_ask (cluster, "GET", path, NULL);
  const json_t *history = json_object_get (reply->json, "history");
  bool holds;

  if (!program->created || reply->status != 200)
    return load_complain (program, NULL, "no history: %u %.*s", reply->status, (int)EXCERPT_BYTES,
                          reply->text);
  holds = load_check_order (program, history);
  for (uint32_t i = 0; i < program->n_calls; i++)
    holds = load_check_call (program, &program->calls[i], history, runs_by_path) && holds;
  if (json_integer_value (json_object_get (reply->json, "charged_tokens"))
      > json_integer_value (json_object_get (reply->json, "budget_tokens")))
    holds = load_complain (program, NULL, "is over its budget");
  return holds;
}

static bool
nothing_is_held (void *data)
{
  const struct LoadProgram *program = data;

  return cluster_held_tokens (program->cluster, program->name) == 0;
}

static bool
load_check_end (struct Cluster *cluster, struct LoadProgram *program)
{
  char *path = talloc_asprintf (cluster, "/v1/programs/%s/end", program->name);
  struct HttpReply *reply = load_ask (cluster, "POST", path, "{\"reason\":\"done\"}");

  if (reply->status != 200)
    return load_complain (program, NULL, "can not be ended: %u %.*s", reply->status,
                          (int)EXCERPT_BYTES, reply->text);
  return wait_for (nothing_is_held, program)
         || load_complain (program, NULL, "an engine holds its memory after the end");
}

bool
load_check (struct Cluster *cluster, struct LoadProgram *programs)
{
  struct HttpReply *counts = http_get (cluster, cluster->tools[0].address, "/counts");
  const json_t *runs_by_path = json_object_get (counts->json, "paths");
  bool holds = counts->status == 200;

  for (uint32_t i = 0; i < LOAD_PROGRAMS; i++)
    holds = load_check_program (cluster, &programs[i], runs_by_path) && holds;
  for (uint32_t i = 0; i < LOAD_PROGRAMS; i++)
    holds = load_check_end (cluster, &programs[i]) && holds;
  return holds;
}
