#include "test_main.h"

#include <buckthornhead/http_head.h>

#include <stdio.h>
#include <string.h>

struct HeadCase
{
  const char *head;
  bool valid;
};

static const struct HeadCase responses[] = {
  { "HTTP/1.1 200 OK\r\nA: 1\r\n\r\n", true },
  { "HTTP/1.0 599\r\n\r\n", true },
  { "HTTP/1.1 100 \r\n\r\n", true },
  { "\r\n\nHTTP/1.1 404 Not\tFound \xe4\r\nA:\r\nB: a\tb \xe4\r\n\r\n", true },
  { "HTTP/1.1 200 OK\nA: 1\n\n", true },
  { "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: \r\n\r\n", true },
  { "HTTP/1.1 000 OK\r\n\r\n", false },
  { "HTTP/1.1 099 OK\r\n\r\n", false },
  { "HTTP/1.1 600 OK\r\n\r\n", false },
  { "HTTP/1.1 20 OK\r\n\r\n", false },
  { "HTTP/1.1 20\r\n\r\n", false },
  { "HTTP/1.1 2000 OK\r\n\r\n", false },
  { "HTTP/1.1 0200 OK\r\n\r\n", false },
  { "HTTP/1.1  200 OK\r\n\r\n", false },
  { "HTTP/1.1\t200 OK\r\n\r\n", false },
  { "HTTP/1.2 200 OK\r\n\r\n", false },
  { "HTTP/11 200 OK\r\n\r\n", false },
  { "http/1.1 200 OK\r\n\r\n", false },
  { "HTTP/1.1 200 O\x01K\r\n\r\n", false },
  { "HTTP/1.1 200 O\rK\r\n\r\n", false },
  { "HTTP/1.1 200 OK\r\nA : 1\r\n\r\n", false },
  { "HTTP/1.1 200 OK\r\nA\t: 1\r\n\r\n", false },
  { "HTTP/1.1 200 OK\r\nA B: 1\r\n\r\n", false },
  { "HTTP/1.1 200 OK\r\nA\x01: 1\r\n\r\n", false },
  { "HTTP/1.1 200 OK\r\nA\x7f: 1\r\n\r\n", false },
  { "HTTP/1.1 200 OK\r\nA\x80: 1\r\n\r\n", false },
  { "HTTP/1.1 200 OK\r\nA\r: 1\r\n\r\n", false },
  { "HTTP/1.1 200 OK\r\n: 1\r\n\r\n", false },
  { "HTTP/1.1 200 OK\r\nA\r\n\r\n", false },
  { "HTTP/1.1 200 OK\r\n A: 1\r\n\r\n", false },
  { "HTTP/1.1 200 OK\r\nA: 1\r\n B: 2\r\n\r\n", false },
  { "HTTP/1.1 200 OK\r\nA: 1\r\n\tB: 2\r\n\r\n", false },
  { "HTTP/1.1 200 OK\r\nA: 1\x01\r\n\r\n", false },
  { "HTTP/1.1 200 OK\r\nA: 1\r2\r\n\r\n", false },
  { "HTTP/1.1 200 OK\r\nA: 1\r\n\rx\n", false },
};

static const struct HeadCase requests[] = {
  { "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", true },
  { "\r\nGET /a HTTP/1.1\nHost: x\n\n", true },
  { "GET /a\x01 HTTP/1.1\r\nHost: x\r\n\r\n", false },
  { "POST /a HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n", false },
  { "POST /a HTTP/1.1\r\nA: 1\r\n Content-Length: 1\r\n\r\n", false },
};

/* Each head is checked whole, and in two parts, cut at each byte. */
static void
check_cases (enum HttpHeadKind kind, const struct HeadCase *cases, size_t n_cases)
{
  for (size_t i = 0; i < n_cases; i++)
    for (size_t cut = 0; cut <= strlen (cases[i].head); cut++)
      {
        struct HttpHeadCheck check;
        bool valid;

        http_head_check_begin (&check, kind);
        http_head_check (&check, cases[i].head, cut);
        valid = http_head_check (&check, cases[i].head + cut, strlen (cases[i].head) - cut);
        CU_ASSERT_EQUAL (valid, cases[i].valid);
        CU_ASSERT_EQUAL (check.state, valid ? HTTP_HEAD_DONE : HTTP_HEAD_INVALID);
      }
}

static void
test_only_the_grammar_of_responses_is_accepted (void)
{
  check_cases (HTTP_HEAD_RESPONSE, responses, sizeof responses / sizeof responses[0]);
}

static void
test_only_the_grammar_of_requests_is_accepted (void)
{
  check_cases (HTTP_HEAD_REQUEST, requests, sizeof requests / sizeof requests[0]);
}

static void
test_status_is_three_digits_from_100_to_599_but_101 (void)
{
  for (unsigned status = 0; status < 1000; status++)
    {
      struct HttpHeadCheck check;
      char head[64];
      int n = snprintf (head, sizeof head, "HTTP/1.1 %03u x\r\n\r\n", status);

      http_head_check_begin (&check, HTTP_HEAD_RESPONSE);
      CU_ASSERT_EQUAL (http_head_check (&check, head, (size_t)n),
                       status >= 100 && status < 600 && status != 101);
    }
}

static void
test_body_is_not_checked (void)
{
  static const char message[] = "HTTP/1.1 200 OK\r\n\r\nHTTP/9\x01 \r";
  struct HttpHeadCheck check;

  http_head_check_begin (&check, HTTP_HEAD_RESPONSE);
  CU_ASSERT_TRUE (http_head_check (&check, message, sizeof message));
  http_head_check_begin_trailers (&check);
  CU_ASSERT_TRUE (http_head_check (&check, "A: 1\r\n\r\n", 8));
  http_head_check_begin_trailers (&check);
  CU_ASSERT_FALSE (http_head_check (&check, "A : 1\r\n\r\n", 9));
}

const char test_suite_name[] = "http_head";
const struct TestCase test_cases[] = {
  { "only the grammar of responses is accepted", test_only_the_grammar_of_responses_is_accepted },
  { "only the grammar of requests is accepted", test_only_the_grammar_of_requests_is_accepted },
  { "a status is three digits, from 100 to 599 but 101",
    test_status_is_three_digits_from_100_to_599_but_101 },
  { "the body is not checked", test_body_is_not_checked },
  { NULL, NULL },
};
