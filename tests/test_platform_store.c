#include "test_main.h"

#include "fakes/raw_socket.h"

#include <buckthornhead/error.h>

#include <platform.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  TIMEOUT_MS = 400
};

struct Bench
{
  struct tevent_context *events;
  struct KvPort *store;
  int listen_fd, fd;
  char request[4096]; /* as the store gets it */
  bool answered;
  struct KvResult result;
  char key[64], value[64]; /* of the last entry */
};

static struct Bench *
bench_new (void)
{
  struct Bench *b = talloc_zero (NULL, struct Bench);
  uint16_t port;
  char url[64];

  b->events = tevent_context_init (b);
  b->listen_fd = raw_listen (&port);
  b->fd = -1;
  snprintf (url, sizeof url, "http://127.0.0.1:%u", port);
  b->store = platform_store_new (b, curl_loop_new (b, b->events), url, TIMEOUT_MS);
  return b;
}

static void
bench_free (struct Bench *b)
{
  if (b->fd >= 0)
    close (b->fd);
  close (b->listen_fd);
  talloc_free (b);
}

static void
bench_on_done (void *data, const struct KvResult *result)
{
  struct Bench *b = data;

  b->answered = true;
  b->result = *result;
  if (result->n_entries == 0)
    return;
  snprintf (b->key, sizeof b->key, "%s", result->entries[result->n_entries - 1].key);
  snprintf (b->value, sizeof b->value, "%.*s",
            (int)result->entries[result->n_entries - 1].value_bytes,
            (const char *)result->entries[result->n_entries - 1].value);
}

/* Submits request and waits until the store has read it up to wanted. */
static void
bench_ask (struct Bench *b, const struct KvRequest *request, const char *wanted)
{
  b->answered = false;
  b->request[0] = '\0';
  CU_ASSERT_EQUAL (kv_submit (b->store, request, bench_on_done, b), ERROR_NONE);
  if (b->fd < 0)
    b->fd = raw_accept (b->listen_fd, b->events);
  CU_ASSERT_TRUE (raw_read_until (b->fd, b->events, wanted, b->request, sizeof b->request));
}

static void
bench_answer (struct Bench *b, const char *status, const char *body)
{
  char text[1024];

  snprintf (text, sizeof text,
            "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
            status, strlen (body), body);
  raw_send (b->fd, text);
  CU_ASSERT_TRUE (events_until (b->events, &b->answered));
}

static void
test_keys_and_ranges_are_read (void)
{
  struct Bench *b = bench_new ();
  struct KvRequest get = { .op = KV_OP_GET, .get.key = "my/a b" };
  struct KvRequest range = { .op = KV_OP_RANGE, .range.prefix = "my/" };

  bench_ask (b, &get, "GET /-/kv-key?key=my/a%20b HTTP/1.1");
  bench_answer (b, "200 OK",
                "{\"key\":\"my/a b\",\"value\":\"bm9kZS0x\",\"revision\":412,\"at\":530}");
  CU_ASSERT_EQUAL (b->result.error, ERROR_NONE);
  CU_ASSERT_EQUAL (b->result.revision, 530);
  CU_ASSERT_STRING_EQUAL (b->value, "node-1");
  bench_ask (b, &get, "kv-key");
  bench_answer (b, "404 Not Found", "{}");
  CU_ASSERT_EQUAL (b->result.error, ERROR_NOT_FOUND);
  bench_ask (b, &range, "GET /-/kv-range?prefix=my/ HTTP/1.1");
  bench_answer (b, "200 OK",
                "{\"items\":[{\"key\":\"my/x\",\"value\":\"\",\"revision\":1},{\"key\":\"my/y\","
                "\"value\":\"eQ==\",\"revision\":2}],\"has_more\":true,\"at\":9}");
  CU_ASSERT_EQUAL (b->result.n_entries, 2);
  CU_ASSERT_TRUE (b->result.more);
  CU_ASSERT_STRING_EQUAL (b->key, "my/y");
  bench_free (b);
}

static void
test_conditions_are_written_and_conflicts_read (void)
{
  struct Bench *b = bench_new ();
  struct KvRequest put = { .op = KV_OP_PUT };

  put.put.key = "my/k";
  put.put.value = (const uint8_t *)"node-1";
  put.put.value_bytes = 6;
  put.put.condition = KV_IF_ABSENT;
  bench_ask (b, &put, "\"remove\":[]}");
  CU_ASSERT_PTR_NOT_NULL (strstr (b->request, "POST /-/kv-txn HTTP/1.1"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (b->request, "\"expected_revision\":[{\"key\":\"my/k\",\"revision\":0}]"));
  CU_ASSERT_PTR_NOT_NULL (strstr (b->request, "{\"key\":\"my/k\",\"value\":\"bm9kZS0x\"}"));
  bench_answer (b, "200 OK", "{\"revision\":412}");
  CU_ASSERT_EQUAL (b->result.revision, 412);
  put.put.condition = KV_IF_MOD_REVISION;
  put.put.mod_revision = 400;
  bench_ask (b, &put, "\"revision\":400");
  bench_answer (b, "412 Precondition Failed",
                "{\"items\":[{\"key\":\"my/k\",\"value\":\"eQ==\",\"revision\":412}]}");
  CU_ASSERT_EQUAL (b->result.error, ERROR_CONFLICT);
  CU_ASSERT_STRING_EQUAL (b->value, "y");
  bench_free (b);
}

/* What is known of a write decides what may be done next: refused means not applied, an answer that
 * never came may be either. */
static void
test_errors_say_what_is_known_of_a_write (void)
{
  struct Bench *b = bench_new ();
  struct KvRequest delete_key = { .op = KV_OP_DELETE };

  delete_key.delete_key.key = "my/k";
  bench_ask (b, &delete_key, "\"remove\":[\"my/k\"]");
  bench_answer (b, "503 Service Unavailable", "{}");
  CU_ASSERT_EQUAL (b->result.error, ERROR_UNREACHABLE);
  bench_ask (b, &delete_key, "\"remove\"");
  bench_answer (b, "429 Too Many Requests", "{}");
  CU_ASSERT_EQUAL (b->result.error, ERROR_RATE_LIMITED);
  bench_ask (b, &delete_key, "\"remove\"");
  bench_answer (b, "200 OK", "no JSON");
  CU_ASSERT_EQUAL (b->result.error, ERROR_UNKNOWN_EFFECT);
  bench_ask (b, &delete_key, "\"remove\"");
  CU_ASSERT_TRUE (events_until (b->events, &b->answered));
  CU_ASSERT_EQUAL (b->result.error, ERROR_UNKNOWN_EFFECT);
  bench_free (b);
}

static void
test_watches_go_on_from_what_was_seen (void)
{
  struct Bench *b = bench_new ();
  struct KvRequest watch = { .op = KV_OP_WATCH };

  watch.watch.prefix = "op/";
  watch.watch.start_revision = 412;
  watch.watch.wait_ms = 1000;
  bench_ask (b, &watch, "GET /-/kv-watch?prefix=op/&after=411&wait_ms=1000 HTTP/1.1");
  bench_answer (
      b, "200 OK",
      "{\"events\":[{\"key\":\"op/config\",\"revision\":413,\"deleted\":true}],\"at\":413}");
  CU_ASSERT_EQUAL (b->result.error, ERROR_NONE);
  CU_ASSERT_EQUAL (b->result.revision, 413);
  CU_ASSERT_STRING_EQUAL (b->key, "op/config");
  bench_ask (b, &watch, "kv-watch");
  bench_answer (b, "410 Gone", "{}");
  CU_ASSERT_EQUAL (b->result.error, ERROR_NOT_FOUND);
  bench_free (b);
}

const char test_suite_name[] = "platform_store";
const struct TestCase test_cases[] = {
  { "keys and ranges are read", test_keys_and_ranges_are_read },
  { "conditions are written, conflicts read", test_conditions_are_written_and_conflicts_read },
  { "errors say what is known of a write", test_errors_say_what_is_known_of_a_write },
  { "watches go on from what was seen", test_watches_go_on_from_what_was_seen },
  { NULL, NULL },
};
