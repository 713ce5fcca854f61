#include "test_main.h"

#include <buckthornhead/counter.h>

#include <pthread.h>
#include <stdbool.h>
#include <string.h>

enum
{
  N_THREADS = 4,
  N_ADDS = 10000
};

static bool
contains (const char *text, const char *part)
{
  return text != NULL && strstr (text, part) != NULL;
}

static bool
is_metric_name (const char *name)
{
  return name != NULL && strncmp (name, "buckthornhead_", strlen ("buckthornhead_")) == 0
         && strspn (name, "abcdefghijklmnopqrstuvwxyz_") == strlen (name);
}

static void
test_names_are_complete_and_unique (void)
{
  for (int i = 0; i < N_COUNTERS; i++)
    {
      const char *name = counter_name ((enum Counter)i);

      CU_ASSERT (is_metric_name (name));
      for (int j = 0; j < i; j++)
        CU_ASSERT_STRING_NOT_EQUAL (name, counter_name ((enum Counter)j));
    }
}

static void
test_render_has_help_type_and_value (void)
{
  char *text;

  counter_add (COUNTER_TAKEOVERS, 2);
  counter_add (COUNTER_TAKEOVERS, 1);
  gauge_set (GAUGE_PLATFORM_UP, 5);
  gauge_set (GAUGE_PLATFORM_UP, 1);
  text = counter_render (NULL);
  CU_ASSERT (contains (text, "# TYPE buckthornhead_takeovers_total counter\n"
                             "buckthornhead_takeovers_total 3\n"));
  CU_ASSERT (contains (text, "# TYPE buckthornhead_platform_up gauge\n"
                             "buckthornhead_platform_up 1\n"));
  CU_ASSERT (contains (text, "# HELP buckthornhead_takeovers_total Partitions taken"));
  talloc_free (text);
}

static void *
add_many (void *data)
{
  (void)data;
  for (int i = 0; i < N_ADDS; i++)
    counter_add (COUNTER_PEER_MESSAGES, 1);
  return NULL;
}

static void
test_no_addition_is_lost_between_threads (void)
{
  pthread_t threads[N_THREADS];

  for (int i = 0; i < N_THREADS; i++)
    CU_ASSERT_EQUAL_FATAL (pthread_create (&threads[i], NULL, add_many, NULL), 0);
  for (int i = 0; i < N_THREADS; i++)
    pthread_join (threads[i], NULL);
  CU_ASSERT_EQUAL (counter_read (COUNTER_PEER_MESSAGES), N_THREADS * N_ADDS);
}

const char test_suite_name[] = "counter";
const struct TestCase test_cases[] = {
  { "names are complete and unique", test_names_are_complete_and_unique },
  { "render has help, type and value", test_render_has_help_type_and_value },
  { "no addition is lost between threads", test_no_addition_is_lost_between_threads },
  { NULL, NULL },
};
