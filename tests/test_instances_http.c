#include "standins/platform.h"
#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/instances_http.h>

#include <stdio.h>
#include <string.h>

struct Bench
{
  struct Platform *platform;
  struct tevent_context *events;
  struct CurlLoop *loop;
  char url[64];
  bool done;
  int32_t error;
  char text[64];
};

static struct Bench *
bench_new (void)
{
  struct PlatformOptions options = { .listen = "127.0.0.1:0" };
  struct Bench *b = talloc_zero (NULL, struct Bench);

  b->platform = platform_start (&options);
  b->events = tevent_context_init (b);
  b->loop = curl_loop_new (b, b->events);
  snprintf (b->url, sizeof b->url, "http://127.0.0.1:%u", (unsigned)platform_port (b->platform));
  return b;
}

static void
bench_free (struct Bench *b)
{
  TALLOC_FREE (b->loop);
  platform_stop (b->platform);
  talloc_free (b);
}

static void
bench_on_list (void *data, int32_t error, const char *text, size_t text_bytes)
{
  struct Bench *b = data;

  b->done = true;
  b->error = error;
  snprintf (b->text, sizeof b->text, "%.*s", (int)text_bytes, text != NULL ? text : "");
}

static int32_t
bench_fetch (struct Bench *b, const char *path)
{
  char *url = talloc_asprintf (b, "%s%s", b->url, path);
  struct BackendListPort *port = instances_http_new (b, b->loop, url, 60000);

  b->done = false;
  CU_ASSERT_EQUAL (port->fetch (port, b, bench_on_list, b), ERROR_NONE);
  while (!b->done)
    tevent_loop_once (b->events);
  talloc_free (port);
  return b->error;
}

static void
bench_on_post_done (void *data, const struct HttpResult *result)
{
  struct Bench *b = data;

  b->done = true;
  CU_ASSERT_EQUAL (result->status, 200);
}

static void
bench_post (struct Bench *b, const char *path, const char *body)
{
  char *url = talloc_asprintf (b, "%s%s", b->url, path);
  struct HttpRequest request = { .method = "POST", .url = url };

  request.body = (const uint8_t *)body;
  request.body_bytes = strlen (body);
  b->done = false;
  curl_loop_submit (b->loop, &request, NULL, bench_on_post_done, b);
  while (!b->done)
    tevent_loop_once (b->events);
}

static void
test_list_is_read (void)
{
  struct Bench *b = bench_new ();

  CU_ASSERT_EQUAL (bench_fetch (b, "/instances"), ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (b->text, "[]");
  bench_post (b, "/control/instances", "[{\"name\":\"e1\"}]");
  CU_ASSERT_EQUAL (bench_fetch (b, "/instances"), ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (b->text, "[{\"name\":\"e1\"}]");
  bench_free (b);
}

static void
test_failures_are_reported_as_unreachable (void)
{
  struct Bench *b = bench_new ();

  CU_ASSERT_EQUAL (bench_fetch (b, "/nothing"), ERROR_UNREACHABLE);
  bench_post (b, "/control", "{\"instances_down\":true}");
  CU_ASSERT_EQUAL (bench_fetch (b, "/instances"), ERROR_UNREACHABLE);
  bench_free (b);
}

static void
test_no_callback_after_the_owner_is_freed (void)
{
  struct Bench *b = bench_new ();
  struct BackendListPort *port = NULL;
  TALLOC_CTX *owner = talloc_new (b);
  char *url = talloc_asprintf (b, "%s/instances", b->url);

  port = instances_http_new (b, b->loop, url, 60000);
  CU_ASSERT_EQUAL (port->fetch (port, owner, bench_on_list, b), ERROR_NONE);
  talloc_free (owner);
  bench_post (b, "/control", "{}");
  CU_ASSERT_STRING_EQUAL (b->text, "");
  bench_free (b);
}

const char test_suite_name[] = "instances_http";
const struct TestCase test_cases[] = {
  { "list is read", test_list_is_read },
  { "failures are reported as unreachable", test_failures_are_reported_as_unreachable },
  { "no callback after the owner is freed", test_no_callback_after_the_owner_is_freed },
  { NULL, NULL },
};
