#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/http_message.h>

#include <stdio.h>
#include <string.h>

static void
add_header (TALLOC_CTX *ctx, struct HttpHeadText *head, const char *name, const char *value)
{
  /* One byte at a time, as from a slow caller. */
  for (size_t i = 0; i < strlen (name); i++)
    CU_ASSERT_EQUAL (http_head_text_add (ctx, head, false, name + i, 1), ERROR_NONE);
  for (size_t i = 0; i < strlen (value); i++)
    CU_ASSERT_EQUAL (http_head_text_add (ctx, head, true, value + i, 1), ERROR_NONE);
}

static void
test_headers_are_assembled_from_single_bytes (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct HttpHeadText head = { 0 };
  struct HttpHeaders headers;
  char name[16];

  for (int i = 0; i < 200; i++)
    {
      snprintf (name, sizeof name, "X-%d", i);
      add_header (ctx, &head, name, "some value of some length");
    }
  CU_ASSERT_EQUAL (http_head_text_finish (ctx, &head, &headers), ERROR_NONE);
  CU_ASSERT_EQUAL (headers.n_items, 200);
  CU_ASSERT_STRING_EQUAL (http_headers_get (&headers, "x-199"), "some value of some length");
  CU_ASSERT_PTR_NULL (http_headers_get (&headers, "X-200"));
  CU_ASSERT_EQUAL (http_headers_count (&headers, "X-7"), 1);
  talloc_free (ctx);
}

/* A line break in a value that is forwarded would start a second header or a second request. */
static void
test_control_characters_are_rejected (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct HttpHeadText head = { 0 };

  CU_ASSERT_EQUAL (http_head_text_add (ctx, &head, false, "X", 1), ERROR_NONE);
  CU_ASSERT_EQUAL (http_head_text_add (ctx, &head, true, "a\tb", 3), ERROR_NONE);
  CU_ASSERT_EQUAL (http_head_text_add (ctx, &head, true, "\r", 1), ERROR_INVALID);
  CU_ASSERT_EQUAL (http_head_text_add (ctx, &head, true, "\0", 1), ERROR_INVALID);
  CU_ASSERT_EQUAL (http_head_text_add (ctx, &head, true, "\x7f", 1), ERROR_INVALID);
  talloc_free (ctx);
}

static void
test_hop_by_hop_headers_are_recognized (void)
{
  struct HttpHeader items[] = { { "Connection", "keep-alive, X-Mine" }, { "X-Mine", "1" } };
  struct HttpHeaders headers = { items, 2 };

  CU_ASSERT_TRUE (http_headers_is_hop (&headers, "connection"));
  CU_ASSERT_TRUE (http_headers_is_hop (&headers, "Transfer-Encoding"));
  CU_ASSERT_TRUE (http_headers_is_hop (&headers, "x-mine"));
  CU_ASSERT_FALSE (http_headers_is_hop (&headers, "X-Min"));
  CU_ASSERT_FALSE (http_headers_is_hop (&headers, "Host"));
  CU_ASSERT_TRUE (http_list_has (" a ,b", "A"));
  CU_ASSERT_FALSE (http_list_has ("ab", "a"));
}

const char test_suite_name[] = "http_message";
const struct TestCase test_cases[] = {
  { "headers are assembled from single bytes", test_headers_are_assembled_from_single_bytes },
  { "control characters are rejected", test_control_characters_are_rejected },
  { "hop-by-hop headers are recognized", test_hop_by_hop_headers_are_recognized },
  { NULL, NULL },
};
