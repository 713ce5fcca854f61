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
  TIMEOUT_MS = 400, /* of one call: only the tests of a hanging service wait for it */
  LONG_MS = 60000
};

struct Bench
{
  struct Platform *platform;
  struct tevent_context *events;
  struct CurlLoop *loop;
  struct KvPort *port;
  char url[64];
  bool answered, controlled;
  int32_t error; /* of the last answer */
  int64_t revision, lease_id, entry_revision;
  size_t n_entries;
  char key[32], value[32]; /* of its last entry */
  bool deleted, more;
};

static struct Bench *
bench_new (int64_t timeout_ms)
{
  struct PlatformOptions options = { .listen = "127.0.0.1:0" };
  struct Bench *b = talloc_zero (NULL, struct Bench);

  b->platform = platform_start (&options);
  b->events = tevent_context_init (b);
  b->loop = curl_loop_new (b, b->events);
  snprintf (b->url, sizeof b->url, "http://127.0.0.1:%u", (unsigned)platform_port (b->platform));
  b->port = kv_http_new (b, b->loop, b->url, timeout_ms);
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
bench_on_done (void *data, const struct KvResult *result)
{
  struct Bench *b = data;

  b->answered = true;
  b->error = result->error;
  b->revision = result->revision;
  b->lease_id = result->lease_id;
  b->n_entries = result->n_entries;
  b->more = result->more;
  if (result->n_entries > 0)
    {
      const struct KvEntry *last = &result->entries[result->n_entries - 1];

      snprintf (b->key, sizeof b->key, "%s", last->key);
      snprintf (b->value, sizeof b->value, "%.*s", (int)last->value_bytes,
                (const char *)last->value);
      b->entry_revision = last->mod_revision;
      b->deleted = last->deleted;
    }
}

static void
bench_start (struct Bench *b, const struct KvRequest *request)
{
  b->answered = false;
  CU_ASSERT_EQUAL (kv_submit (b->port, request, bench_on_done, b), ERROR_NONE);
  CU_ASSERT_FALSE (b->answered);
}

static int32_t
bench_wait (struct Bench *b)
{
  while (!b->answered)
    tevent_loop_once (b->events);
  return b->error;
}

static int32_t
bench_do (struct Bench *b, struct KvRequest request)
{
  bench_start (b, &request);
  return bench_wait (b);
}

static struct KvRequest
put_of (const char *key, const char *value, enum KvCondition condition, int64_t mod_revision)
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
get_of (const char *key)
{
  return (struct KvRequest){ .op = KV_OP_GET, .get.key = key };
}

static struct KvRequest
watch_of (const char *prefix, int64_t start_revision, int64_t wait_ms)
{
  struct KvRequest request = { .op = KV_OP_WATCH };

  request.watch.prefix = prefix;
  request.watch.start_revision = start_revision;
  request.watch.wait_ms = wait_ms;
  return request;
}

static void
bench_on_control (void *data, const struct HttpResult *result)
{
  struct Bench *b = data;

  b->controlled = true;
  CU_ASSERT_EQUAL (result->status, 200);
}

static void
bench_control (struct Bench *b, const char *json)
{
  char url[96];
  struct HttpRequest request = { .method = "POST", .url = url };

  snprintf (url, sizeof url, "%s/control", b->url);
  request.body = (const uint8_t *)json;
  request.body_bytes = strlen (json);
  b->controlled = false;
  curl_loop_submit (b->loop, &request, NULL, bench_on_control, b);
  while (!b->controlled)
    tevent_loop_once (b->events);
}

static void
test_conditions_and_their_conflicts (void)
{
  struct Bench *b = bench_new (LONG_MS);
  struct KvRequest delete_key = { .op = KV_OP_DELETE };
  int64_t first = 0;

  CU_ASSERT_EQUAL (bench_do (b, get_of ("a")), ERROR_NOT_FOUND);
  CU_ASSERT_EQUAL (bench_do (b, put_of ("a", "1", KV_IF_ABSENT, 0)), ERROR_NONE);
  first = b->revision;
  CU_ASSERT_EQUAL (bench_do (b, put_of ("a", "2", KV_IF_ABSENT, 0)), ERROR_CONFLICT);
  CU_ASSERT_EQUAL (b->n_entries, 1);
  CU_ASSERT_STRING_EQUAL (b->value, "1");
  CU_ASSERT_EQUAL (b->entry_revision, first);
  CU_ASSERT_EQUAL (bench_do (b, put_of ("a", "3", KV_IF_MOD_REVISION, first)), ERROR_NONE);
  CU_ASSERT_EQUAL (bench_do (b, put_of ("a", "4", KV_IF_MOD_REVISION, first)), ERROR_CONFLICT);
  CU_ASSERT_STRING_EQUAL (b->value, "3");
  CU_ASSERT_EQUAL (bench_do (b, put_of ("b", "4", KV_IF_MOD_REVISION, 9)), ERROR_CONFLICT);
  CU_ASSERT_EQUAL (b->n_entries, 0);
  delete_key.delete_key.key = "a";
  delete_key.delete_key.condition = KV_IF_MOD_REVISION;
  delete_key.delete_key.mod_revision = first;
  CU_ASSERT_EQUAL (bench_do (b, delete_key), ERROR_CONFLICT);
  delete_key.delete_key.condition = KV_IF_ALWAYS;
  CU_ASSERT_EQUAL (bench_do (b, delete_key), ERROR_NONE);
  CU_ASSERT_EQUAL (bench_do (b, get_of ("a")), ERROR_NOT_FOUND);
  bench_free (b);
}

static void
test_range_is_ordered_and_cut (void)
{
  struct Bench *b = bench_new (LONG_MS);
  struct KvRequest range = { .op = KV_OP_RANGE };

  range.range.prefix = "p/";
  CU_ASSERT_EQUAL (bench_do (b, range), ERROR_NONE);
  CU_ASSERT_EQUAL (b->n_entries, 0);
  bench_do (b, put_of ("p/2", "two", KV_IF_ALWAYS, 0));
  bench_do (b, put_of ("p/1", "one", KV_IF_ALWAYS, 0));
  bench_do (b, put_of ("q", "other", KV_IF_ALWAYS, 0));
  bench_do (b, put_of ("p/3", "", KV_IF_ALWAYS, 0));
  CU_ASSERT_EQUAL (bench_do (b, range), ERROR_NONE);
  CU_ASSERT_EQUAL (b->n_entries, 3);
  CU_ASSERT_STRING_EQUAL (b->key, "p/3");
  CU_ASSERT_STRING_EQUAL (b->value, "");
  range.range.limit = 2;
  range.range.start = "p/2";
  range.range.keys_only = true;
  CU_ASSERT_EQUAL (bench_do (b, range), ERROR_NONE);
  CU_ASSERT_EQUAL (b->n_entries, 2);
  CU_ASSERT_FALSE (b->more);
  range.range.start = NULL;
  CU_ASSERT_EQUAL (bench_do (b, range), ERROR_NONE);
  CU_ASSERT_TRUE (b->more);
  CU_ASSERT_STRING_EQUAL (b->key, "p/2");
  bench_free (b);
}

static void
test_values_up_to_the_limit (void)
{
  struct Bench *b = bench_new (LONG_MS);
  uint8_t *value = talloc_zero_array (b, uint8_t, KV_VALUE_MAX_BYTES + 1);
  struct KvRequest put = { .op = KV_OP_PUT, .put.key = "a", .put.value = value };

  put.put.value_bytes = KV_VALUE_MAX_BYTES;
  CU_ASSERT_EQUAL (bench_do (b, put), ERROR_NONE);
  CU_ASSERT_EQUAL (bench_do (b, get_of ("a")), ERROR_NONE);
  put.put.value_bytes++;
  CU_ASSERT_EQUAL (kv_submit (b->port, &put, bench_on_done, b), ERROR_TOO_LARGE);
  bench_free (b);
}

static void
test_lease_and_its_keys (void)
{
  struct Bench *b = bench_new (LONG_MS);
  struct KvRequest grant = { .op = KV_OP_LEASE_GRANT, .lease_grant.ttl_s = 600 };
  struct KvRequest put = put_of ("a", "1", KV_IF_ABSENT, 0);
  struct KvRequest keepalive = { .op = KV_OP_LEASE_KEEPALIVE };
  struct KvRequest revoke = { .op = KV_OP_LEASE_REVOKE };

  CU_ASSERT_EQUAL (bench_do (b, grant), ERROR_NONE);
  put.put.lease_id = keepalive.lease_keepalive.lease_id = revoke.lease_revoke.lease_id =
      b->lease_id;
  CU_ASSERT_EQUAL (bench_do (b, put), ERROR_NONE);
  CU_ASSERT_EQUAL (bench_do (b, keepalive), ERROR_NONE);
  CU_ASSERT_EQUAL (bench_do (b, revoke), ERROR_NONE);
  CU_ASSERT_EQUAL (bench_do (b, get_of ("a")), ERROR_NOT_FOUND);
  CU_ASSERT_EQUAL (bench_do (b, keepalive), ERROR_NOT_FOUND);
  CU_ASSERT_EQUAL (bench_do (b, revoke), ERROR_NOT_FOUND);
  CU_ASSERT_EQUAL (bench_do (b, put), ERROR_NOT_FOUND);
  bench_free (b);
}

/* An operator saves a change, is told that somebody else made it first, and that somebody is the
 * operator. The service applies the write and closes the kept connection without an answer; the
 * HTTP library sends the same write again by itself, and its condition no longer holds. */
static void
test_lost_answer_is_unknown_and_not_sent_again (void)
{
  struct Bench *b = bench_new (LONG_MS);
  int64_t before = 0;

  bench_do (b, put_of ("warm", "1", KV_IF_ALWAYS, 0)); /* leaves a kept connection */
  before = b->revision;
  bench_control (b, "{\"lose_answers\":1}");
  CU_ASSERT_EQUAL (bench_do (b, put_of ("a", "1", KV_IF_ABSENT, 0)), ERROR_UNKNOWN_EFFECT);
  CU_ASSERT_EQUAL (bench_do (b, get_of ("a")), ERROR_NONE);
  CU_ASSERT_EQUAL (b->revision, before + 1);
  bench_control (b, "{\"lose_writes\":1}");
  CU_ASSERT_EQUAL (bench_do (b, put_of ("b", "1", KV_IF_ABSENT, 0)), ERROR_UNKNOWN_EFFECT);
  CU_ASSERT_EQUAL (bench_do (b, get_of ("b")), ERROR_NOT_FOUND);
  bench_free (b);
}

static void
test_rate_limit_is_not_applied (void)
{
  struct Bench *b = bench_new (LONG_MS);

  bench_control (b, "{\"writes_per_s\":1}");
  while (bench_do (b, put_of ("a", "1", KV_IF_ALWAYS, 0)) == ERROR_NONE)
    continue;
  CU_ASSERT_EQUAL (b->error, ERROR_RATE_LIMITED);
  CU_ASSERT_EQUAL (bench_do (b, put_of ("b", "1", KV_IF_ALWAYS, 0)), ERROR_RATE_LIMITED);
  CU_ASSERT_EQUAL (bench_do (b, get_of ("b")), ERROR_NOT_FOUND);
  bench_free (b);
}

/* A service that hangs: a write may have arrived, a read never had an effect. */
static void
test_hanging_service (void)
{
  struct Bench *b = bench_new (TIMEOUT_MS);

  bench_control (b, "{\"down\":{\"mode\":\"hang\"}}");
  CU_ASSERT_EQUAL (bench_do (b, put_of ("a", "1", KV_IF_ALWAYS, 0)), ERROR_UNKNOWN_EFFECT);
  CU_ASSERT_EQUAL (bench_do (b, get_of ("a")), ERROR_UNREACHABLE);
  CU_ASSERT_EQUAL (bench_do (b, watch_of ("a", 1, TIMEOUT_MS)), ERROR_UNREACHABLE);
  bench_control (b, "{\"down\":null}");
  CU_ASSERT_EQUAL (bench_do (b, get_of ("a")), ERROR_NOT_FOUND);
  bench_free (b);
}

/* Nobody listens: the request certainly never left, so "not applied" is the truth. */
static void
test_closed_port_is_unreachable (void)
{
  struct Bench *b = bench_new (LONG_MS);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t bytes = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&address, bytes), 0);
  getsockname (fd, (struct sockaddr *)&address, &bytes);
  snprintf (b->url, sizeof b->url, "http://127.0.0.1:%u", (unsigned)ntohs (address.sin_port));
  b->port = kv_http_new (b, b->loop, b->url, LONG_MS);
  CU_ASSERT_EQUAL (bench_do (b, put_of ("a", "1", KV_IF_ALWAYS, 0)), ERROR_UNREACHABLE);
  CU_ASSERT_EQUAL (bench_do (b, get_of ("a")), ERROR_UNREACHABLE);
  CU_ASSERT_EQUAL (bench_do (b, watch_of ("a", 1, LONG_MS)), ERROR_UNREACHABLE);
  close (fd);
  bench_free (b);
}

static void
test_watch (void)
{
  struct Bench *b = bench_new (LONG_MS);
  struct KvPort *writer = kv_http_new (b, b->loop, b->url, LONG_MS);
  struct KvRequest watch = watch_of ("a", 2, LONG_MS);
  struct KvRequest put = put_of ("a1", "1", KV_IF_ALWAYS, 0);
  struct KvRequest delete_key = { .op = KV_OP_DELETE, .delete_key.key = "a1" };
  struct Bench other = { 0 };

  CU_ASSERT_EQUAL (bench_do (b, watch_of ("a", 2, TIMEOUT_MS)), ERROR_NONE);
  CU_ASSERT_EQUAL (b->n_entries, 0);
  bench_start (b, &watch);
  kv_submit (writer, &put, bench_on_done, &other);
  CU_ASSERT_EQUAL (bench_wait (b), ERROR_NONE);
  CU_ASSERT_EQUAL (b->n_entries, 1);
  CU_ASSERT_STRING_EQUAL (b->key, "a1");
  CU_ASSERT_FALSE (b->deleted);
  bench_do (b, delete_key);
  CU_ASSERT_EQUAL (bench_do (b, watch_of ("a", b->revision, LONG_MS)), ERROR_NONE);
  CU_ASSERT_TRUE (b->deleted);
  /* Cut while it is held: not to be taken for a quiet one. */
  bench_start (b, &watch);
  bench_wait (b);
  watch.watch.start_revision = b->revision + 1;
  bench_start (b, &watch);
  bench_control (b, "{\"down\":{\"mode\":\"refuse\"}}");
  CU_ASSERT_EQUAL (bench_wait (b), ERROR_UNREACHABLE);
  bench_free (b);
}

const char test_suite_name[] = "kv_http";
const struct TestCase test_cases[] = {
  { "conditions and their conflicts", test_conditions_and_their_conflicts },
  { "range is ordered and cut", test_range_is_ordered_and_cut },
  { "values up to the limit", test_values_up_to_the_limit },
  { "lease and its keys", test_lease_and_its_keys },
  { "lost answer is unknown and not sent again", test_lost_answer_is_unknown_and_not_sent_again },
  { "rate limit is not applied", test_rate_limit_is_not_applied },
  { "hanging service", test_hanging_service },
  { "closed port is unreachable", test_closed_port_is_unreachable },
  { "watch", test_watch },
  { NULL, NULL },
};
