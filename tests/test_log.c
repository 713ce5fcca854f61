#include "test_main.h"

#include <buckthornhead/log.h>

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  N_THREADS = 4,
  N_LINES = 200
};

static int saved_stderr;
static FILE *captured;

/* Redirects standard error to a file until capture_end. */
static void
capture_begin (void)
{
  captured = tmpfile ();
  CU_ASSERT_PTR_NOT_NULL_FATAL (captured);
  saved_stderr = dup (STDERR_FILENO);
  dup2 (fileno (captured), STDERR_FILENO);
}

static void
capture_end (void)
{
  dup2 (saved_stderr, STDERR_FILENO);
  close (saved_stderr);
  rewind (captured);
}

/* Returns the next captured line as JSON; NULL if there is none. */
static json_t *
next_line (void)
{
  char text[8192];

  if (fgets (text, sizeof text, captured) == NULL)
    return NULL;
  return json_loads (text, 0, NULL);
}

static const char *
field (const json_t *line, const char *key)
{
  const char *text = json_string_value (json_object_get (line, key));

  return text != NULL ? text : "";
}

static void
test_line_has_all_fields (void)
{
  json_t *line;

  log_init ("orchard-1", "malda", LOG_LEVEL_INFO);
  capture_begin ();
  log_event (LOG_LEVEL_WARNING, "platform_down", "p-7", "wait", "no answer in %d ms", 250);
  log_event (LOG_LEVEL_INFO, "started", NULL, NULL, NULL);
  capture_end ();
  line = next_line ();
  CU_ASSERT_PTR_NOT_NULL_FATAL (line);
  CU_ASSERT_STRING_EQUAL (field (line, "level"), "warning");
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (line, "severity")), 4);
  CU_ASSERT_STRING_EQUAL (field (line, "instance"), "orchard-1");
  CU_ASSERT_STRING_EQUAL (field (line, "availability_zone"), "malda");
  CU_ASSERT_STRING_EQUAL (field (line, "event"), "platform_down");
  CU_ASSERT_STRING_EQUAL (field (line, "program"), "p-7");
  CU_ASSERT_STRING_EQUAL (field (line, "cause"), "no answer in 250 ms");
  CU_ASSERT_STRING_EQUAL (field (line, "remedy"), "wait");
  CU_ASSERT_EQUAL (strlen (field (line, "time")), strlen ("2026-12-02T20:41:22.000Z"));
  CU_ASSERT_EQUAL (field (line, "time")[10], 'T');
  json_decref (line);
  line = next_line ();
  CU_ASSERT_PTR_NOT_NULL_FATAL (line);
  CU_ASSERT_PTR_NULL (json_object_get (line, "program"));
  CU_ASSERT_PTR_NULL (json_object_get (line, "cause"));
  json_decref (line);
  fclose (captured);
}

static void
test_lines_above_the_level_are_dropped (void)
{
  log_init ("orchard-1", "malda", LOG_LEVEL_WARNING);
  capture_begin ();
  log_event (LOG_LEVEL_NOTICE, "quiet", NULL, NULL, NULL);
  capture_end ();
  CU_ASSERT_PTR_NULL (next_line ());
  fclose (captured);
}

/* A backend server's response in "cause" contains a line feed or invalid UTF-8. Written unescaped,
 * it would split the log line or make it invalid JSON. */
static void
test_hostile_text_stays_one_json_line (void)
{
  json_t *line;

  log_init ("orchard-1", "malda", LOG_LEVEL_INFO);
  capture_begin ();
  log_event (LOG_LEVEL_INFO, "answer", NULL, NULL, "%s", "a\"b\\\n\x01 \xff\xc3");
  capture_end ();
  line = next_line ();
  CU_ASSERT_PTR_NOT_NULL_FATAL (line);
  CU_ASSERT_STRING_EQUAL (field (line, "cause"), "a\"b\\\n\x01 ??");
  json_decref (line);
  CU_ASSERT_PTR_NULL (next_line ());
  fclose (captured);
}

static void *
log_many (void *data)
{
  (void)data;
  for (int i = 0; i < N_LINES; i++)
    log_event (LOG_LEVEL_INFO, "tick", "p", "none", "%d", i);
  return NULL;
}

/* With more than one write per line, lines of several threads would be interleaved. */
static void
test_lines_of_threads_never_mix (void)
{
  pthread_t threads[N_THREADS];
  json_t *line;
  int n = 0;

  log_init ("orchard-1", "malda", LOG_LEVEL_INFO);
  capture_begin ();
  for (int i = 0; i < N_THREADS; i++)
    CU_ASSERT_EQUAL_FATAL (pthread_create (&threads[i], NULL, log_many, NULL), 0);
  for (int i = 0; i < N_THREADS; i++)
    pthread_join (threads[i], NULL);
  capture_end ();
  while ((line = next_line ()) != NULL)
    {
      n++;
      json_decref (line);
    }
  CU_ASSERT_EQUAL (n, N_THREADS * N_LINES);
  fclose (captured);
}

const char test_suite_name[] = "log";
const struct TestCase test_cases[] = {
  { "line has all fields", test_line_has_all_fields },
  { "lines above the level are dropped", test_lines_above_the_level_are_dropped },
  { "hostile text stays one JSON line", test_hostile_text_stays_one_json_line },
  { "lines of threads never mix", test_lines_of_threads_never_mix },
  { NULL, NULL },
};
