#include "test_main.h"

#include <buckthornhead/deflate.h>

#include <stdio.h>
#include <string.h>

/* A configuration of 1,500 routes, as text. */
static char *
big_configuration (TALLOC_CTX *ctx)
{
  char *text = talloc_strdup (ctx, "{\"routes\":[");

  for (int i = 0; i < 1500; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "{\"id\":\"r-%06x\",\"host\":\"h%d.example\",\"prefix\":\"/p%06d/\","
        "\"kind\":\"safe\",\"timeout_ms\":%d},",
        i * 7919 % 1048576, i % 7, i * 31337 % 999983, 1000 + i % 13);
  return text;
}

/* A configuration grows by 1,400 routes. Each aggregator has 40 members behind 30 Mbit/s: whole,
 * the text took 3.2 s to reach the last of them, and a leaving server's entry waited behind it for
 * longer than callers may be sent there. A sixth of the bytes at most keeps it under a second. */
static void
test_a_big_configuration_is_small_on_the_way (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  char *text = big_configuration (ctx);
  uint8_t *deflated, *back;
  size_t n_bytes, back_bytes;

  CU_ASSERT_EQUAL_FATAL (
      value_deflate (ctx, (const uint8_t *)text, strlen (text), &deflated, &n_bytes), ERROR_NONE);
  CU_ASSERT (n_bytes < strlen (text) / 6);
  CU_ASSERT_EQUAL_FATAL (value_inflate (ctx, deflated, n_bytes, &back, &back_bytes), ERROR_NONE);
  CU_ASSERT_EQUAL_FATAL (back_bytes, strlen (text));
  CU_ASSERT_EQUAL (memcmp (back, text, back_bytes), 0);
  talloc_free (ctx);
}

/* A process of another version, or a record that a disk has torn: refused, not half understood. */
static void
test_other_bytes_are_refused (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint8_t *deflated, *back;
  size_t n_bytes, back_bytes;
  uint8_t huge[12] = { 0xff, 0xff, 0xff, 0xff };

  CU_ASSERT_EQUAL_FATAL (
      value_deflate (ctx, (const uint8_t *)"text text text", 14, &deflated, &n_bytes), ERROR_NONE);
  for (size_t cut = 0; cut < n_bytes; cut++)
    CU_ASSERT_EQUAL (value_inflate (ctx, deflated, cut, &back, &back_bytes), ERROR_INVALID);
  CU_ASSERT_EQUAL (value_inflate (ctx, (const uint8_t *)"{\"routes\":[]}", 13, &back, &back_bytes),
                   ERROR_INVALID);
  CU_ASSERT_EQUAL (value_inflate (ctx, huge, sizeof huge, &back, &back_bytes), ERROR_INVALID);
  CU_ASSERT_EQUAL_FATAL (value_deflate (ctx, (const uint8_t *)"", 0, &deflated, &n_bytes),
                         ERROR_NONE);
  CU_ASSERT_EQUAL (value_inflate (ctx, deflated, n_bytes, &back, &back_bytes), ERROR_NONE);
  CU_ASSERT_EQUAL (back_bytes, 0);
  talloc_free (ctx);
}

const char test_suite_name[] = "deflate";
const struct TestCase test_cases[] = {
  { "a big configuration is small on the way", test_a_big_configuration_is_small_on_the_way },
  { "other bytes are refused", test_other_bytes_are_refused },
  { NULL, NULL },
};
