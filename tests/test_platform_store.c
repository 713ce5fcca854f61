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

struct Fixture
{
  struct tevent_context *events;
  struct KvPort *store;
  int listen_fd, fd;
  char request[4096]; /* as received by the store */
  bool answered;
  struct KvResult result;
  char key[64], value[64]; /* of the last entry */
};

static struct Fixture *
fixture_new (void)
{
  struct Fixture *f = talloc_zero (NULL, struct Fixture);
  uint16_t port;
  char url[64];

  f->events = tevent_context_init (f);
  f->listen_fd = raw_listen (&port);
  f->fd = -1;
  snprintf (url, sizeof url, "http://127.0.0.1:%u", port);
  f->store = platform_store_new (f, curl_loop_new (f, f->events), url, TIMEOUT_MS);
  return f;
}

static void
fixture_free (struct Fixture *f)
{
  if (f->fd >= 0)
    close (f->fd);
  close (f->listen_fd);
  talloc_free (f);
}

static void
fixture_on_done (void *data, const struct KvResult *result)
{
  struct Fixture *f = data;

  f->answered = true;
  f->result = *result;
  if (result->n_entries == 0)
    return;
  snprintf (f->key, sizeof f->key, "%s", result->entries[result->n_entries - 1].key);
  snprintf (f->value, sizeof f->value, "%.*s",
            (int)result->entries[result->n_entries - 1].value_bytes,
            (const char *)result->entries[result->n_entries - 1].value);
}

/* Submits request and waits until the store has received it up to the text wanted. */
static void
fixture_submit (struct Fixture *f, const struct KvRequest *request, const char *wanted)
{
  f->answered = false;
  f->request[0] = '\0';
  CU_ASSERT_EQUAL (kv_submit (f->store, request, fixture_on_done, f), ERROR_NONE);
  if (f->fd < 0)
    f->fd = raw_accept (f->listen_fd, f->events);
  CU_ASSERT_TRUE (raw_read_until (f->fd, f->events, wanted, f->request, sizeof f->request));
}

static void
fixture_respond (struct Fixture *f, const char *status, const char *body)
{
  char text[1024];

  snprintf (text, sizeof text,
            "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
            status, strlen (body), body);
  raw_send (f->fd, text);
  CU_ASSERT_TRUE (events_until (f->events, &f->answered));
}

static void
test_keys_and_ranges_are_read (void)
{
  struct Fixture *f = fixture_new ();
  struct KvRequest get = { .op = KV_OP_GET, .get.key = "my/a b" };
  struct KvRequest range = { .op = KV_OP_RANGE, .range.prefix = "my/" };

  fixture_submit (f, &get, "GET /-/kv-key?key=my/a%20b HTTP/1.1");
  fixture_respond (f, "200 OK",
                   "{\"key\":\"my/a b\",\"value\":\"bm9kZS0x\",\"revision\":412,\"at\":530}");
  CU_ASSERT_EQUAL (f->result.error, ERROR_NONE);
  CU_ASSERT_EQUAL (f->result.revision, 530);
  CU_ASSERT_STRING_EQUAL (f->value, "node-1");
  fixture_submit (f, &get, "kv-key");
  fixture_respond (f, "404 Not Found", "{}");
  CU_ASSERT_EQUAL (f->result.error, ERROR_NOT_FOUND);
  fixture_submit (f, &range, "GET /-/kv-range?prefix=my/ HTTP/1.1");
  fixture_respond (f, "200 OK",
                   "{\"items\":[{\"key\":\"my/x\",\"value\":\"\",\"revision\":1},{\"key\":\"my/y\","
                   "\"value\":\"eQ==\",\"revision\":2}],\"has_more\":true,\"at\":9}");
  CU_ASSERT_EQUAL (f->result.n_entries, 2);
  CU_ASSERT_TRUE (f->result.more);
  CU_ASSERT_STRING_EQUAL (f->key, "my/y");
  fixture_free (f);
}

static void
test_conditions_are_written_and_conflicts_read (void)
{
  struct Fixture *f = fixture_new ();
  struct KvRequest put = { .op = KV_OP_PUT };

  put.put.key = "my/k";
  put.put.value = (const uint8_t *)"node-1";
  put.put.value_bytes = 6;
  put.put.condition = KV_IF_ABSENT;
  fixture_submit (f, &put, "\"remove\":[]}");
  CU_ASSERT_PTR_NOT_NULL (strstr (f->request, "POST /-/kv-txn HTTP/1.1"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (f->request, "\"expected_revision\":[{\"key\":\"my/k\",\"revision\":0}]"));
  CU_ASSERT_PTR_NOT_NULL (strstr (f->request, "{\"key\":\"my/k\",\"value\":\"bm9kZS0x\"}"));
  fixture_respond (f, "200 OK", "{\"revision\":412}");
  CU_ASSERT_EQUAL (f->result.revision, 412);
  put.put.condition = KV_IF_MOD_REVISION;
  put.put.mod_revision = 400;
  fixture_submit (f, &put, "\"revision\":400");
  fixture_respond (f, "412 Precondition Failed",
                   "{\"items\":[{\"key\":\"my/k\",\"value\":\"eQ==\",\"revision\":412}]}");
  CU_ASSERT_EQUAL (f->result.error, ERROR_CONFLICT);
  CU_ASSERT_STRING_EQUAL (f->value, "y");
  fixture_free (f);
}

/* Callers decide by the error whether to repeat a write: a rejected write was not applied, one with
 * a missing or malformed response may have been applied. */
static void
test_errors_distinguish_rejected_and_unknown_writes (void)
{
  struct Fixture *f = fixture_new ();
  struct KvRequest delete_key = { .op = KV_OP_DELETE };

  delete_key.delete_key.key = "my/k";
  fixture_submit (f, &delete_key, "\"remove\":[\"my/k\"]");
  fixture_respond (f, "503 Service Unavailable", "{}");
  CU_ASSERT_EQUAL (f->result.error, ERROR_UNREACHABLE);
  fixture_submit (f, &delete_key, "\"remove\"");
  fixture_respond (f, "429 Too Many Requests", "{}");
  CU_ASSERT_EQUAL (f->result.error, ERROR_RATE_LIMITED);
  fixture_submit (f, &delete_key, "\"remove\"");
  fixture_respond (f, "200 OK", "no JSON");
  CU_ASSERT_EQUAL (f->result.error, ERROR_UNKNOWN_EFFECT);
  fixture_submit (f, &delete_key, "\"remove\"");
  CU_ASSERT_TRUE (events_until (f->events, &f->answered));
  CU_ASSERT_EQUAL (f->result.error, ERROR_UNKNOWN_EFFECT);
  fixture_free (f);
}

static void
test_watches_continue_after_last_revision_seen (void)
{
  struct Fixture *f = fixture_new ();
  struct KvRequest watch = { .op = KV_OP_WATCH };

  watch.watch.prefix = "op/";
  watch.watch.start_revision = 412;
  watch.watch.wait_ms = 1000;
  fixture_submit (f, &watch, "GET /-/kv-watch?prefix=op/&after=411&wait_ms=1000 HTTP/1.1");
  fixture_respond (
      f, "200 OK",
      "{\"events\":[{\"key\":\"op/config\",\"revision\":413,\"deleted\":true}],\"at\":413}");
  CU_ASSERT_EQUAL (f->result.error, ERROR_NONE);
  CU_ASSERT_EQUAL (f->result.revision, 413);
  CU_ASSERT_STRING_EQUAL (f->key, "op/config");
  fixture_submit (f, &watch, "kv-watch");
  fixture_respond (f, "410 Gone", "{}");
  CU_ASSERT_EQUAL (f->result.error, ERROR_NOT_FOUND);
  fixture_free (f);
}

const char test_suite_name[] = "platform_store";
const struct TestCase test_cases[] = {
  { "keys and ranges are read", test_keys_and_ranges_are_read },
  { "conditions are written, conflicts read", test_conditions_are_written_and_conflicts_read },
  { "errors distinguish rejected and unknown writes",
    test_errors_distinguish_rejected_and_unknown_writes },
  { "watches continue after the last revision seen",
    test_watches_continue_after_last_revision_seen },
  { NULL, NULL },
};
