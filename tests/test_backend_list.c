#include "test_main.h"

#include "fakes/fake_timer.h"

#include <buckthornhead/backend_list.h>
#include <buckthornhead/error.h>

#include <string.h>

enum
{
  POLL_MS = 1000
};

/* A list that the test writes. */
struct Bench
{
  struct InstancesPort port;
  struct TimerService *timers;
  const char *text; /* NULL: it can not be read */
  InstancesDone done;
  void *done_data;
  struct BackendSetting servers[4];
  bool leaving[4];
  size_t n_servers;
  uint32_t n_changes, n_fetches;
};

static void
bench_answer (void *data)
{
  struct Bench *bench = data;

  bench->done (bench->done_data, bench->text != NULL ? ERROR_NONE : ERROR_UNREACHABLE, bench->text,
               bench->text != NULL ? strlen (bench->text) : 0);
}

static int32_t
bench_fetch (struct InstancesPort *port, TALLOC_CTX *owner, InstancesDone done, void *data)
{
  struct Bench *bench = (struct Bench *)port;

  bench->done = done;
  bench->done_data = data;
  bench->n_fetches++;
  timer_subscribe (owner, bench->timers, 1, 0, bench_answer, bench);
  return ERROR_NONE;
}

static void
bench_on_changed (void *data,
                  const struct BackendSetting *listed,
                  const bool *leaving,
                  size_t n_listed)
{
  struct Bench *bench = data;

  CU_ASSERT_FATAL (n_listed <= 4);
  for (size_t i = 0; i < n_listed; i++)
    {
      bench->servers[i] = listed[i];
      bench->leaving[i] = leaving[i];
    }
  bench->n_servers = n_listed;
  bench->n_changes++;
}

static struct Bench *
bench_new (const char *text)
{
  struct Bench *bench = talloc_zero (NULL, struct Bench);
  struct BackendListOptions options = { .poll_ms = POLL_MS, .seed = 1 };

  bench->port.fetch = bench_fetch;
  bench->timers = fake_timer_new (bench);
  bench->text = text;
  options.changed = bench_on_changed;
  options.data = bench;
  backend_list_new (bench, &bench->port, bench->timers, &options);
  fake_timer_advance (bench->timers, 10);
  return bench;
}

#define SERVER(name, state)                                                                        \
  "{\"name\":\"" name "\",\"address\":\"127.0.0.1:9\",\"zone\":\"zg-a\",\"kind\":\"engine\","      \
  "\"target\":\"m\",\"incarnation\":\"1\",\"state\":\"" state "\"}"

static const char both_live[] = "[" SERVER ("e2", "live") "," SERVER ("e1", "live") "]";
static const char one_leaving[] = "[" SERVER ("e1", "leaving") "," SERVER ("e2", "live") "]";
static const char one_gone[] = "[" SERVER ("e2", "live") "]";

static void
bench_list (struct Bench *bench, const char *text)
{
  bench->text = text;
  fake_timer_advance (bench->timers, 2 * POLL_MS);
}

/* A backend server is about to leave: the platform lists it as leaving, then not at all. Within
 * two polls of either it is known to get no new work. */
static void
test_leaving_server_is_told (void)
{
  struct Bench *t = bench_new (both_live);

  CU_ASSERT_EQUAL (t->n_servers, 2);
  CU_ASSERT_STRING_EQUAL (t->servers[0].name, "e1");
  CU_ASSERT_FALSE (t->leaving[0] || t->leaving[1]);
  bench_list (t, one_leaving);
  CU_ASSERT_TRUE (t->leaving[0]);
  CU_ASSERT_FALSE (t->leaving[1]);
  bench_list (t, one_gone);
  CU_ASSERT_EQUAL (t->n_servers, 1);
  CU_ASSERT_STRING_EQUAL (t->servers[0].name, "e2");
  CU_ASSERT_EQUAL (t->n_changes, 3);
  bench_list (t, one_gone);
  CU_ASSERT_EQUAL (t->n_changes, 3);
  talloc_free (t);
}

/* The list can not be read, or what comes is no list: all servers go on working as they were. */
static void
test_unreadable_list_changes_nothing (void)
{
  static const char *const texts[] = { NULL, "", "{}", "[", "null" };
  struct Bench *t = bench_new (both_live);

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    bench_list (t, texts[i]);
  CU_ASSERT_EQUAL (t->n_changes, 1);
  CU_ASSERT_EQUAL (t->n_servers, 2);
  CU_ASSERT_TRUE (t->n_fetches > 5);
  bench_list (t, "[]");
  CU_ASSERT_EQUAL (t->n_servers, 0);
  talloc_free (t);
}

static void
test_items_are_checked_one_by_one (void)
{
  struct Bench *t = bench_new ("[3,{},{\"name\":\"e1\"}," SERVER ("e/1", "live") "," SERVER (
      "e1", "leaving") "," SERVER ("e1", "live") "]");

  CU_ASSERT_EQUAL (t->n_servers, 1);
  CU_ASSERT_STRING_EQUAL (t->servers[0].name, "e1");
  CU_ASSERT_FALSE (t->leaving[0]);
  CU_ASSERT_EQUAL (t->servers[0].kind, CALL_TARGET_ENGINE);
  talloc_free (t);
}

const char test_suite_name[] = "backend_list";
const struct TestCase test_cases[] = {
  { "leaving server is told", test_leaving_server_is_told },
  { "unreadable list changes nothing", test_unreadable_list_changes_nothing },
  { "items are checked one by one", test_items_are_checked_one_by_one },
  { NULL, NULL },
};
