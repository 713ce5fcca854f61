#include "test_main.h"

#include "fakes/fake_timer.h"

#include <buckthornhead/backend_list.h>
#include <buckthornhead/error.h>

#include <string.h>

enum
{
  POLL_MS = 1000,
  NESTING = 100 * 1000
};

/* A platform list whose content the test sets. */
struct Fixture
{
  struct BackendListPort port;
  struct TimerService *timers;
  const char *text; /* NULL: fetching the list fails */
  BackendListDone done;
  void *done_data;
  struct BackendSetting servers[4];
  bool leaving[4];
  size_t n_servers;
  uint32_t n_changes, n_fetches;
};

static void
fixture_respond (void *data)
{
  struct Fixture *fixture = data;

  fixture->done (fixture->done_data, fixture->text != NULL ? ERROR_NONE : ERROR_UNREACHABLE,
                 fixture->text, fixture->text != NULL ? strlen (fixture->text) : 0);
}

static int32_t
fixture_fetch (struct BackendListPort *port, TALLOC_CTX *owner, BackendListDone done, void *data)
{
  struct Fixture *fixture = (struct Fixture *)port;

  fixture->done = done;
  fixture->done_data = data;
  fixture->n_fetches++;
  timer_subscribe (owner, fixture->timers, 1, 0, fixture_respond, fixture);
  return ERROR_NONE;
}

static void
fixture_on_changed (void *data,
                    const struct BackendSetting *listed,
                    const bool *leaving,
                    size_t n_listed)
{
  struct Fixture *fixture = data;

  CU_ASSERT_FATAL (n_listed <= 4);
  for (size_t i = 0; i < n_listed; i++)
    {
      fixture->servers[i] = listed[i];
      fixture->leaving[i] = leaving[i];
    }
  fixture->n_servers = n_listed;
  fixture->n_changes++;
}

static struct Fixture *
fixture_new (const char *text)
{
  struct Fixture *fixture = talloc_zero (NULL, struct Fixture);
  struct BackendListOptions options = { .poll_ms = POLL_MS, .seed = 1 };

  fixture->port.fetch = fixture_fetch;
  fixture->timers = fake_timer_new (fixture);
  fixture->text = text;
  options.changed = fixture_on_changed;
  options.data = fixture;
  backend_list_new (fixture, &fixture->port, fixture->timers, &options);
  fake_timer_advance (fixture->timers, 10);
  return fixture;
}

#define SERVER(name, state)                                                                        \
  "{\"name\":\"" name "\",\"address\":\"127.0.0.1:9\",\"zone\":\"zg-a\",\"kind\":\"engine\","      \
  "\"target\":\"m\",\"incarnation\":\"1\",\"state\":\"" state "\"}"

static const char both_live[] = "[" SERVER ("e2", "live") "," SERVER ("e1", "live") "]";
static const char one_leaving[] = "[" SERVER ("e1", "leaving") "," SERVER ("e2", "live") "]";
static const char one_removed[] = "[" SERVER ("e2", "live") "]";

static void
fixture_set_list (struct Fixture *fixture, const char *text)
{
  fixture->text = text;
  fake_timer_advance (fixture->timers, 2 * POLL_MS);
}

/* The platform lists a backend server as leaving, then removes it from the list. Both changes have
 * to be reported within two polls, so that the server gets no new work. */
static void
test_leaving_server_is_reported (void)
{
  struct Fixture *t = fixture_new (both_live);

  CU_ASSERT_EQUAL (t->n_servers, 2);
  CU_ASSERT_STRING_EQUAL (t->servers[0].name, "e1");
  CU_ASSERT_FALSE (t->leaving[0] || t->leaving[1]);
  fixture_set_list (t, one_leaving);
  CU_ASSERT_TRUE (t->leaving[0]);
  CU_ASSERT_FALSE (t->leaving[1]);
  fixture_set_list (t, one_removed);
  CU_ASSERT_EQUAL (t->n_servers, 1);
  CU_ASSERT_STRING_EQUAL (t->servers[0].name, "e2");
  CU_ASSERT_EQUAL (t->n_changes, 3);
  fixture_set_list (t, one_removed);
  CU_ASSERT_EQUAL (t->n_changes, 3);
  talloc_free (t);
}

/* When the list cannot be fetched or is not a JSON array, the previous servers must stay in use. */
static void
test_unreadable_list_changes_nothing (void)
{
  static const char *const texts[] = { NULL, "", "{}", "[", "null" };
  struct Fixture *t = fixture_new (both_live);

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    fixture_set_list (t, texts[i]);
  CU_ASSERT_EQUAL (t->n_changes, 1);
  CU_ASSERT_EQUAL (t->n_servers, 2);
  CU_ASSERT_TRUE (t->n_fetches > 5);
  fixture_set_list (t, "[]");
  CU_ASSERT_EQUAL (t->n_servers, 0);
  talloc_free (t);
}

static void
test_items_are_checked_one_by_one (void)
{
  struct Fixture *t = fixture_new ("[3,{},{\"name\":\"e1\"}," SERVER ("e/1", "live") "," SERVER (
      "e1", "leaving") "," SERVER ("e1", "live") "]");

  CU_ASSERT_EQUAL (t->n_servers, 1);
  CU_ASSERT_STRING_EQUAL (t->servers[0].name, "e1");
  CU_ASSERT_FALSE (t->leaving[0]);
  CU_ASSERT_EQUAL (t->servers[0].kind, CALL_TARGET_ENGINE);
  talloc_free (t);
}

/* Guards against one odd item that makes the whole list unreadable, so that it is no longer
 * followed. */
static void
test_odd_items_do_not_hide_the_others (void)
{
  static const char *const odd[] = {
    "{\"name\":\"e3\",\"slots\":99999999999999999999}",
    "{\"name\":\"e3\",\"weight\":1e999}",
    "{\"name\":\"e3\",\"text\":\"\\ud800\"}",
    "{\"name\":\"e3\",\"text\":\"\\u0000\"}",
    "{\"name\":\"\xff\"}",
    "{\"name\":\"a]b,c\\\"]\"}",
    "{\"name\":\"e3\",\"address\":\"127.0.0.1:65536\"}",
    "nonsense",
  };
  struct Fixture *t = fixture_new ("[]");
  char *deep = talloc_zero_array (t, char, 2 * NESTING + 1);

  memset (deep, '[', NESTING);
  memset (deep + NESTING, ']', NESTING);
  for (size_t i = 0; i <= sizeof odd / sizeof odd[0]; i++)
    {
      const char *item = i < sizeof odd / sizeof odd[0] ? odd[i] : deep;

      fixture_set_list (t, "[]");
      CU_ASSERT_EQUAL (t->n_servers, 0);
      fixture_set_list (
          t, talloc_asprintf (t, "[" SERVER ("e2", "live") " , %s,\n" SERVER ("e1", "live") "] ",
                              item));
      CU_ASSERT_EQUAL (t->n_servers, 2);
    }
  talloc_free (t);
}

const char test_suite_name[] = "backend_list";
const struct TestCase test_cases[] = {
  { "leaving server is reported", test_leaving_server_is_reported },
  { "unreadable list changes nothing", test_unreadable_list_changes_nothing },
  { "items are checked one by one", test_items_are_checked_one_by_one },
  { "odd items do not hide the others", test_odd_items_do_not_hide_the_others },
  { NULL, NULL },
};
