/* Measures the latency that the system adds to a call.
 *
 * path_bench --direct IP:PORT --through IP:PORT [--through IP:PORT] --service NAME
 *            [--callers N] [--calls N] [--pause-ms N] [--not-idempotent]
 *
 * Each caller runs one program, call after call over a persistent connection, against a service
 * that responds immediately: first directly, then through each instance given. Prints a JSON line
 * per target with calls per second, percentiles of the latency, and the difference between its
 * median and that of the direct run. */
#include <argtable2.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <curl/curl.h>

enum
{
  CALLERS_MAX = 512,
  TARGETS_MAX = 8,
  URL_BYTES = 256
};

/* The service itself (direct), or an instance in front of it. */
struct Target
{
  const char *address;
  bool direct;
};

struct Run
{
  const struct Target *target;
  const char *service;
  uint32_t n_calls, pause_ms;
  bool idempotent;
};

struct Caller
{
  const struct Run *run;
  uint32_t number;
  pthread_t thread;
  int64_t *latency_us;
  uint32_t n_failed;
};

static int64_t
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static size_t
discard_body (char *bytes, size_t size, size_t n, void *data)
{
  (void)bytes;
  (void)data;
  return size * n;
}

static bool
post (CURL *easy, const char *url, struct curl_slist *headers, const char *body)
{
  long status = 0;

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  if (curl_easy_perform (easy) != CURLE_OK)
    return false;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  return status == 200 || status == 201;
}

static bool
create_program (CURL *easy, const struct Run *run, const char *program)
{
  char url[URL_BYTES], body[URL_BYTES];
  struct curl_slist *headers = curl_slist_append (NULL, "X-Attempt: 1");
  bool created;

  snprintf (url, sizeof url, "http://%s/v1/programs", run->target->address);
  snprintf (body, sizeof body, "{\"service\":\"bench\",\"program\":\"%s\",\"turn_limit\":1000000}",
            program);
  created = post (easy, url, headers, body);
  curl_slist_free_all (headers);
  return created;
}

static struct curl_slist *
call_headers (const struct Run *run)
{
  char line[128];
  struct curl_slist *headers = curl_slist_append (NULL, "X-Attempt: 1");

  headers = curl_slist_append (headers, "Expect:");
  if (run->target->direct)
    return headers;
  snprintf (line, sizeof line, "X-Target-Service: %s", run->service);
  headers = curl_slist_append (headers, line);
  headers = curl_slist_append (headers, run->idempotent ? "Idempotent: true" : "Idempotent: false");
  return curl_slist_append (headers, "X-Target-Path: /bench");
}

static void *
caller_run (void *data)
{
  struct Caller *caller = data;
  const struct Run *run = caller->run;
  CURL *easy = curl_easy_init ();
  struct curl_slist *headers = call_headers (run);
  char program[64], url[URL_BYTES];

  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_body);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 30000L);
  snprintf (program, sizeof program, "bench-%ld-%" PRId64 "-%u", (long)getpid (), now_us (),
            caller->number);
  if (!run->target->direct && !create_program (easy, run, program))
    caller->n_failed = run->n_calls;
  for (uint32_t i = 0; i < run->n_calls && caller->n_failed < run->n_calls; i++)
    {
      int64_t start_us;

      if (run->target->direct)
        snprintf (url, sizeof url, "http://%s/bench", run->target->address);
      else
        snprintf (url, sizeof url, "http://%s/v1/programs/%s/calls?sequence=%u",
                  run->target->address, program, i + 1);
      start_us = now_us ();
      caller->n_failed += !post (easy, url, headers, "{\"n\":1}");
      caller->latency_us[i] = now_us () - start_us;
      usleep (run->pause_ms * 1000);
    }
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  return NULL;
}

static int
compare_us (const void *a, const void *b)
{
  const int64_t *x = a, *y = b;

  return (*x > *y) - (*x < *y);
}

/* Median latency of the direct run, with which the others are compared. */
static int64_t direct_p50_us;

static void
report (const struct Run *run, int64_t *latency_us, size_t n, int64_t wall_us, uint32_t n_failed)
{
  int64_t p50_us, p99_us;

  qsort (latency_us, n, sizeof *latency_us, compare_us);
  p50_us = latency_us[n / 2];
  p99_us = latency_us[n * 99 / 100];
  if (run->target->direct)
    direct_p50_us = p50_us;
  printf ("{\"target\":\"%s\",\"direct\":%s,\"idempotent\":%s,\"calls\":%zu,\"failed\":%u,"
          "\"calls_per_s\":%.0f,\"p50_us\":%" PRId64 ",\"p99_us\":%" PRId64
          ",\"added_p50_us\":%" PRId64 "}\n",
          run->target->address, run->target->direct ? "true" : "false",
          run->idempotent ? "true" : "false", n, n_failed, (double)n * 1e6 / (double)wall_us,
          p50_us, p99_us, p50_us - direct_p50_us);
  fflush (stdout);
}

static int
run_target (const struct Run *run, uint32_t n_callers)
{
  struct Caller *callers = calloc (n_callers, sizeof *callers);
  int64_t *latency_us = calloc ((size_t)n_callers * run->n_calls, sizeof *latency_us);
  int64_t start_us = now_us ();
  uint32_t n_failed = 0;

  for (uint32_t i = 0; i < n_callers; i++)
    {
      callers[i].run = run;
      callers[i].number = i;
      callers[i].latency_us = latency_us + (size_t)i * run->n_calls;
      pthread_create (&callers[i].thread, NULL, caller_run, &callers[i]);
    }
  for (uint32_t i = 0; i < n_callers; i++)
    {
      pthread_join (callers[i].thread, NULL);
      n_failed += callers[i].n_failed;
    }
  report (run, latency_us, (size_t)n_callers * run->n_calls, now_us () - start_us, n_failed);
  free (latency_us);
  free (callers);
  return n_failed > 0;
}

int
main (int argc, char **argv)
{
  struct arg_str *direct = arg_str1 (NULL, "direct", "IP:PORT", "address of the service itself");
  struct arg_str *through =
      arg_strn (NULL, "through", "IP:PORT", 0, TARGETS_MAX, "an instance in front of it");
  struct arg_str *service =
      arg_str1 (NULL, "service", "NAME", "the service's name at the instances");
  struct arg_int *callers = arg_int0 (NULL, "callers", "N", "concurrent callers (1)");
  struct arg_int *calls = arg_int0 (NULL, "calls", "N", "calls per caller (500)");
  struct arg_int *pause = arg_int0 (NULL, "pause-ms", "N", "pause between a caller's calls (0)");
  struct arg_lit *not_idempotent =
      arg_lit0 (NULL, "not-idempotent", "send the calls as not idempotent");
  struct arg_end *end = arg_end (8);
  void *argtable[] = { direct, through, service, callers, calls, pause, not_idempotent, end };
  uint32_t n_callers;
  int status = 0;

  callers->ival[0] = 1;
  calls->ival[0] = 500;
  pause->ival[0] = 0;
  if (arg_parse (argc, argv, argtable) > 0 || callers->ival[0] < 1 || callers->ival[0] > CALLERS_MAX
      || calls->ival[0] < 1 || pause->ival[0] < 0)
    {
      arg_print_errors (stderr, end, "path_bench");
      arg_print_syntaxv (stderr, argtable, "\n");
      return 2;
    }
  n_callers = (uint32_t)callers->ival[0];
  curl_global_init (CURL_GLOBAL_DEFAULT);
  for (int i = -1; i < through->count; i++)
    {
      struct Target target = { i < 0 ? direct->sval[0] : through->sval[i], i < 0 };
      struct Run run = { &target, service->sval[0], (uint32_t)calls->ival[0],
                         (uint32_t)pause->ival[0], not_idempotent->count == 0 };

      status |= run_target (&run, n_callers);
    }
  curl_global_cleanup ();
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return status;
}
