#include "standins/platform.h"
#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/kv_http.h>

#include <string.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  TIMEOUT_MS = 400, /* call timeout of tests that run into it */
  LONG_MS = 60000
};

struct Fixture
{
  struct Platform *platform;
  struct tevent_context *events;
  struct CurlLoop *loop;
  struct KvPort *port;
  char url[64];
  bool answered, controlled;
  int32_t error; /* of the last result */
  int64_t revision, lease_id, entry_revision;
  size_t n_entries;
  char key[32], value[32]; /* of the last result's last entry */
  bool deleted, more;
};

static struct Fixture *
fixture_new (int64_t timeout_ms)
{
  struct PlatformOptions options = { .listen = "127.0.0.1:0" };
  struct Fixture *f = talloc_zero (NULL, struct Fixture);

  f->platform = platform_start (&options);
  f->events = tevent_context_init (f);
  f->loop = curl_loop_new (f, f->events);
  snprintf (f->url, sizeof f->url, "http://127.0.0.1:%u", (unsigned)platform_port (f->platform));
  f->port = kv_http_new (f, f->loop, f->url, timeout_ms);
  return f;
}

static void
fixture_free (struct Fixture *f)
{
  TALLOC_FREE (f->loop);
  platform_stop (f->platform);
  talloc_free (f);
}

static void
fixture_on_done (void *data, const struct KvResult *result)
{
  struct Fixture *f = data;

  f->answered = true;
  f->error = result->error;
  f->revision = result->revision;
  f->lease_id = result->lease_id;
  f->n_entries = result->n_entries;
  f->more = result->more;
  if (result->n_entries > 0)
    {
      const struct KvEntry *last = &result->entries[result->n_entries - 1];

      snprintf (f->key, sizeof f->key, "%s", last->key);
      snprintf (f->value, sizeof f->value, "%.*s", (int)last->value_bytes,
                (const char *)last->value);
      f->entry_revision = last->mod_revision;
      f->deleted = last->deleted;
    }
}

static void
fixture_start (struct Fixture *f, const struct KvRequest *request)
{
  f->answered = false;
  CU_ASSERT_EQUAL (kv_submit (f->port, request, fixture_on_done, f), ERROR_NONE);
  CU_ASSERT_FALSE (f->answered);
}

static int32_t
fixture_wait (struct Fixture *f)
{
  while (!f->answered)
    tevent_loop_once (f->events);
  return f->error;
}

static int32_t
fixture_call (struct Fixture *f, struct KvRequest request)
{
  fixture_start (f, &request);
  return fixture_wait (f);
}

static struct KvRequest
put_request (const char *key, const char *value, enum KvCondition condition, int64_t mod_revision)
{
  struct KvRequest request = { .op = KV_OP_PUT };

  request.put.key = key;
  request.put.value = (const uint8_t *)value;
  request.put.value_bytes = strlen (value);
  request.put.condition = condition;
  request.put.mod_revision = mod_revision;
  return request;
}

static struct KvRequest
get_request (const char *key)
{
  return (struct KvRequest){ .op = KV_OP_GET, .get.key = key };
}

static struct KvRequest
watch_request (const char *prefix, int64_t start_revision, int64_t wait_ms)
{
  struct KvRequest request = { .op = KV_OP_WATCH };

  request.watch.prefix = prefix;
  request.watch.start_revision = start_revision;
  request.watch.wait_ms = wait_ms;
  return request;
}

static void
fixture_on_control (void *data, const struct HttpResult *result)
{
  struct Fixture *f = data;

  f->controlled = true;
  CU_ASSERT_EQUAL (result->status, 200);
}

static void
fixture_control (struct Fixture *f, const char *json)
{
  char url[96];
  struct HttpRequest request = { .method = "POST", .url = url };

  snprintf (url, sizeof url, "%s/control", f->url);
  request.body = (const uint8_t *)json;
  request.body_bytes = strlen (json);
  f->controlled = false;
  curl_loop_submit (f->loop, &request, NULL, fixture_on_control, f);
  while (!f->controlled)
    tevent_loop_once (f->events);
}

static void
test_conditions_and_their_conflicts (void)
{
  struct Fixture *f = fixture_new (LONG_MS);
  struct KvRequest delete_key = { .op = KV_OP_DELETE };
  int64_t first = 0;

  CU_ASSERT_EQUAL (fixture_call (f, get_request ("a")), ERROR_NOT_FOUND);
  CU_ASSERT_EQUAL (fixture_call (f, put_request ("a", "1", KV_IF_ABSENT, 0)), ERROR_NONE);
  first = f->revision;
  CU_ASSERT_EQUAL (fixture_call (f, put_request ("a", "2", KV_IF_ABSENT, 0)), ERROR_CONFLICT);
  CU_ASSERT_EQUAL (f->n_entries, 1);
  CU_ASSERT_STRING_EQUAL (f->value, "1");
  CU_ASSERT_EQUAL (f->entry_revision, first);
  CU_ASSERT_EQUAL (fixture_call (f, put_request ("a", "3", KV_IF_MOD_REVISION, first)), ERROR_NONE);
  CU_ASSERT_EQUAL (fixture_call (f, put_request ("a", "4", KV_IF_MOD_REVISION, first)),
                   ERROR_CONFLICT);
  CU_ASSERT_STRING_EQUAL (f->value, "3");
  CU_ASSERT_EQUAL (fixture_call (f, put_request ("b", "4", KV_IF_MOD_REVISION, 9)), ERROR_CONFLICT);
  CU_ASSERT_EQUAL (f->n_entries, 0);
  delete_key.delete_key.key = "a";
  delete_key.delete_key.condition = KV_IF_MOD_REVISION;
  delete_key.delete_key.mod_revision = first;
  CU_ASSERT_EQUAL (fixture_call (f, delete_key), ERROR_CONFLICT);
  delete_key.delete_key.condition = KV_IF_ALWAYS;
  CU_ASSERT_EQUAL (fixture_call (f, delete_key), ERROR_NONE);
  CU_ASSERT_EQUAL (fixture_call (f, get_request ("a")), ERROR_NOT_FOUND);
  fixture_free (f);
}

static void
test_range_is_ordered_and_cut (void)
{
  struct Fixture *f = fixture_new (LONG_MS);
  struct KvRequest range = { .op = KV_OP_RANGE };

  range.range.prefix = "p/";
  CU_ASSERT_EQUAL (fixture_call (f, range), ERROR_NONE);
  CU_ASSERT_EQUAL (f->n_entries, 0);
  fixture_call (f, put_request ("p/2", "two", KV_IF_ALWAYS, 0));
  fixture_call (f, put_request ("p/1", "one", KV_IF_ALWAYS, 0));
  fixture_call (f, put_request ("q", "other", KV_IF_ALWAYS, 0));
  fixture_call (f, put_request ("p/3", "", KV_IF_ALWAYS, 0));
  CU_ASSERT_EQUAL (fixture_call (f, range), ERROR_NONE);
  CU_ASSERT_EQUAL (f->n_entries, 3);
  CU_ASSERT_STRING_EQUAL (f->key, "p/3");
  CU_ASSERT_STRING_EQUAL (f->value, "");
  range.range.limit = 2;
  range.range.start = "p/2";
  range.range.keys_only = true;
  CU_ASSERT_EQUAL (fixture_call (f, range), ERROR_NONE);
  CU_ASSERT_EQUAL (f->n_entries, 2);
  CU_ASSERT_FALSE (f->more);
  range.range.start = NULL;
  CU_ASSERT_EQUAL (fixture_call (f, range), ERROR_NONE);
  CU_ASSERT_TRUE (f->more);
  CU_ASSERT_STRING_EQUAL (f->key, "p/2");
  fixture_free (f);
}

static void
test_values_up_to_the_limit (void)
{
  struct Fixture *f = fixture_new (LONG_MS);
  uint8_t *value = talloc_zero_array (f, uint8_t, KV_VALUE_MAX_BYTES + 1);
  struct KvRequest put = { .op = KV_OP_PUT, .put.key = "a", .put.value = value };

  put.put.value_bytes = KV_VALUE_MAX_BYTES;
  CU_ASSERT_EQUAL (fixture_call (f, put), ERROR_NONE);
  CU_ASSERT_EQUAL (fixture_call (f, get_request ("a")), ERROR_NONE);
  put.put.value_bytes++;
  CU_ASSERT_EQUAL (kv_submit (f->port, &put, fixture_on_done, f), ERROR_TOO_LARGE);
  fixture_free (f);
}

static void
test_lease_and_its_keys (void)
{
  struct Fixture *f = fixture_new (LONG_MS);
  struct KvRequest grant = { .op = KV_OP_LEASE_GRANT, .lease_grant.ttl_s = 600 };
  struct KvRequest put = put_request ("a", "1", KV_IF_ABSENT, 0);
  struct KvRequest keepalive = { .op = KV_OP_LEASE_KEEPALIVE };
  struct KvRequest revoke = { .op = KV_OP_LEASE_REVOKE };

  CU_ASSERT_EQUAL (fixture_call (f, grant), ERROR_NONE);
  put.put.lease_id = keepalive.lease_keepalive.lease_id = revoke.lease_revoke.lease_id =
      f->lease_id;
  CU_ASSERT_EQUAL (fixture_call (f, put), ERROR_NONE);
  CU_ASSERT_EQUAL (fixture_call (f, keepalive), ERROR_NONE);
  CU_ASSERT_EQUAL (fixture_call (f, revoke), ERROR_NONE);
  CU_ASSERT_EQUAL (fixture_call (f, get_request ("a")), ERROR_NOT_FOUND);
  CU_ASSERT_EQUAL (fixture_call (f, keepalive), ERROR_NOT_FOUND);
  CU_ASSERT_EQUAL (fixture_call (f, revoke), ERROR_NOT_FOUND);
  CU_ASSERT_EQUAL (fixture_call (f, put), ERROR_NOT_FOUND);
  fixture_free (f);
}

/* The service applies a conditional write and closes the kept-alive connection without a response.
 * If the HTTP library then sent the write again by itself, its condition would no longer hold, and
 * an operator would get a conflict with their own change. */
static void
test_lost_response_is_unknown_and_write_not_sent_again (void)
{
  struct Fixture *f = fixture_new (LONG_MS);
  int64_t before = 0;

  /* Leaves an idle kept-alive connection. */
  fixture_call (f, put_request ("warm", "1", KV_IF_ALWAYS, 0));
  before = f->revision;
  fixture_control (f, "{\"lose_answers\":1}");
  CU_ASSERT_EQUAL (fixture_call (f, put_request ("a", "1", KV_IF_ABSENT, 0)), ERROR_UNKNOWN_EFFECT);
  CU_ASSERT_EQUAL (fixture_call (f, get_request ("a")), ERROR_NONE);
  CU_ASSERT_EQUAL (f->revision, before + 1);
  fixture_control (f, "{\"lose_writes\":1}");
  CU_ASSERT_EQUAL (fixture_call (f, put_request ("b", "1", KV_IF_ABSENT, 0)), ERROR_UNKNOWN_EFFECT);
  CU_ASSERT_EQUAL (fixture_call (f, get_request ("b")), ERROR_NOT_FOUND);
  fixture_free (f);
}

static void
test_rate_limit_is_not_applied (void)
{
  struct Fixture *f = fixture_new (LONG_MS);

  fixture_control (f, "{\"writes_per_s\":1}");
  while (fixture_call (f, put_request ("a", "1", KV_IF_ALWAYS, 0)) == ERROR_NONE)
    continue;
  CU_ASSERT_EQUAL (f->error, ERROR_RATE_LIMITED);
  CU_ASSERT_EQUAL (fixture_call (f, put_request ("b", "1", KV_IF_ALWAYS, 0)), ERROR_RATE_LIMITED);
  CU_ASSERT_EQUAL (fixture_call (f, get_request ("b")), ERROR_NOT_FOUND);
  fixture_free (f);
}

/* The service hangs: a write may have been applied, a read has no effect. */
static void
test_hanging_service (void)
{
  struct Fixture *f = fixture_new (TIMEOUT_MS);

  fixture_control (f, "{\"down\":{\"mode\":\"hang\"}}");
  CU_ASSERT_EQUAL (fixture_call (f, put_request ("a", "1", KV_IF_ALWAYS, 0)), ERROR_UNKNOWN_EFFECT);
  CU_ASSERT_EQUAL (fixture_call (f, get_request ("a")), ERROR_UNREACHABLE);
  CU_ASSERT_EQUAL (fixture_call (f, watch_request ("a", 1, TIMEOUT_MS)), ERROR_UNREACHABLE);
  fixture_control (f, "{\"down\":null}");
  CU_ASSERT_EQUAL (fixture_call (f, get_request ("a")), ERROR_NOT_FOUND);
  fixture_free (f);
}

/* No process listens on the port: the request was never sent, so the error must mean that it
 * was not applied. */
static void
test_closed_port_is_unreachable (void)
{
  struct Fixture *f = fixture_new (LONG_MS);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t bytes = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&address, bytes), 0);
  getsockname (fd, (struct sockaddr *)&address, &bytes);
  snprintf (f->url, sizeof f->url, "http://127.0.0.1:%u", (unsigned)ntohs (address.sin_port));
  f->port = kv_http_new (f, f->loop, f->url, LONG_MS);
  CU_ASSERT_EQUAL (fixture_call (f, put_request ("a", "1", KV_IF_ALWAYS, 0)), ERROR_UNREACHABLE);
  CU_ASSERT_EQUAL (fixture_call (f, get_request ("a")), ERROR_UNREACHABLE);
  CU_ASSERT_EQUAL (fixture_call (f, watch_request ("a", 1, LONG_MS)), ERROR_UNREACHABLE);
  close (fd);
  fixture_free (f);
}

static void
test_watch (void)
{
  struct Fixture *f = fixture_new (LONG_MS);
  struct KvPort *writer = kv_http_new (f, f->loop, f->url, LONG_MS);
  struct KvRequest watch = watch_request ("a", 2, LONG_MS);
  struct KvRequest put = put_request ("a1", "1", KV_IF_ALWAYS, 0);
  struct KvRequest delete_key = { .op = KV_OP_DELETE, .delete_key.key = "a1" };
  struct Fixture other = { 0 };

  CU_ASSERT_EQUAL (fixture_call (f, watch_request ("a", 2, TIMEOUT_MS)), ERROR_NONE);
  CU_ASSERT_EQUAL (f->n_entries, 0);
  fixture_start (f, &watch);
  kv_submit (writer, &put, fixture_on_done, &other);
  CU_ASSERT_EQUAL (fixture_wait (f), ERROR_NONE);
  CU_ASSERT_EQUAL (f->n_entries, 1);
  CU_ASSERT_STRING_EQUAL (f->key, "a1");
  CU_ASSERT_FALSE (f->deleted);
  fixture_call (f, delete_key);
  CU_ASSERT_EQUAL (fixture_call (f, watch_request ("a", f->revision, LONG_MS)), ERROR_NONE);
  CU_ASSERT_TRUE (f->deleted);
  /* A watch whose connection is cut must fail, and not look like one without changes. */
  fixture_start (f, &watch);
  fixture_wait (f);
  watch.watch.start_revision = f->revision + 1;
  fixture_start (f, &watch);
  fixture_control (f, "{\"down\":{\"mode\":\"refuse\"}}");
  CU_ASSERT_EQUAL (fixture_wait (f), ERROR_UNREACHABLE);
  fixture_free (f);
}

const char test_suite_name[] = "kv_http";
const struct TestCase test_cases[] = {
  { "conditions and their conflicts", test_conditions_and_their_conflicts },
  { "range is ordered and cut", test_range_is_ordered_and_cut },
  { "values up to the limit", test_values_up_to_the_limit },
  { "lease and its keys", test_lease_and_its_keys },
  { "lost response is unknown and the write not sent again",
    test_lost_response_is_unknown_and_write_not_sent_again },
  { "rate limit is not applied", test_rate_limit_is_not_applied },
  { "hanging service", test_hanging_service },
  { "closed port is unreachable", test_closed_port_is_unreachable },
  { "watch", test_watch },
  { NULL, NULL },
};
