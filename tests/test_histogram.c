#include "test_main.h"

#include <buckthornhead/histogram.h>

#include <stdbool.h>
#include <string.h>

static bool
contains (const char *text, const char *part)
{
  return text != NULL && strstr (text, part) != NULL;
}

static void
test_names_are_complete_and_unique (void)
{
  for (int i = 0; i < N_HISTOGRAMS; i++)
    {
      const char *name = histogram_name ((enum Histogram)i);

      CU_ASSERT_FATAL (name != NULL);
      if (name == NULL)
        return;
      CU_ASSERT (strncmp (name, "buckthornhead_", strlen ("buckthornhead_")) == 0);
      for (int j = 0; j < i; j++)
        CU_ASSERT_STRING_NOT_EQUAL (name, histogram_name ((enum Histogram)j));
    }
}

/* A bucket includes its upper bound: a value of exactly 10 ms counts in the bucket of 10 ms. */
static void
test_buckets_are_cumulative_and_include_their_bound (void)
{
  char *text;

  histogram_add (HISTOGRAM_TURN_OPEN, 10);
  histogram_add (HISTOGRAM_TURN_OPEN, 11);
  histogram_add (HISTOGRAM_TURN_OPEN, -3);
  histogram_add (HISTOGRAM_TURN_OPEN, 1000 * 1000);
  text = histogram_render (NULL);
  CU_ASSERT (contains (text, "# TYPE buckthornhead_turn_open_milliseconds histogram\n"));
  CU_ASSERT (contains (text, "turn_open_milliseconds_bucket{le=\"1\"} 1\n"));
  CU_ASSERT (contains (text, "turn_open_milliseconds_bucket{le=\"5\"} 1\n"));
  CU_ASSERT (contains (text, "turn_open_milliseconds_bucket{le=\"10\"} 2\n"));
  CU_ASSERT (contains (text, "turn_open_milliseconds_bucket{le=\"20\"} 3\n"));
  CU_ASSERT (contains (text, "turn_open_milliseconds_bucket{le=\"10000\"} 3\n"));
  CU_ASSERT (contains (text, "turn_open_milliseconds_bucket{le=\"+Inf\"} 4\n"));
  CU_ASSERT (contains (text, "turn_open_milliseconds_sum 1000021\n"));
  CU_ASSERT (contains (text, "turn_open_milliseconds_count 4\n"));
  talloc_free (text);
}

static void
test_quantile_is_the_bound_of_its_bucket (void)
{
  CU_ASSERT_EQUAL (histogram_bound (HISTOGRAM_DISK_SYNC, 500), 0);
  for (int i = 0; i < 95; i++)
    histogram_add (HISTOGRAM_DISK_SYNC, 4);
  for (int i = 0; i < 5; i++)
    histogram_add (HISTOGRAM_DISK_SYNC, 250);
  CU_ASSERT_EQUAL (histogram_bound (HISTOGRAM_DISK_SYNC, 500), 5);
  CU_ASSERT_EQUAL (histogram_bound (HISTOGRAM_DISK_SYNC, 950), 5);
  CU_ASSERT_EQUAL (histogram_bound (HISTOGRAM_DISK_SYNC, 960), 300);
  histogram_add (HISTOGRAM_DISK_SYNC, 20 * 1000);
  CU_ASSERT_EQUAL (histogram_bound (HISTOGRAM_DISK_SYNC, 1000), UINT32_MAX);
}

const char test_suite_name[] = "histogram";
const struct TestCase test_cases[] = {
  { "names are complete and unique", test_names_are_complete_and_unique },
  { "buckets are cumulative and include their bound",
    test_buckets_are_cumulative_and_include_their_bound },
  { "quantile is the bound of its bucket", test_quantile_is_the_bound_of_its_bucket },
  { NULL, NULL },
};
