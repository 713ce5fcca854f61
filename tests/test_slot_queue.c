#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/scheduling/slot_queue.h>

#include <stdio.h>
#include <string.h>

enum
{
  SLOTS = 2,
  GRANTED = SLOTS + 1 /* and one that is on its way */
};

static struct SlotAsk
ask_of (const char *asker, uint64_t id, bool continues, int64_t program_due_ms)
{
  struct SlotAsk ask = {
    .id = id, .continues = continues, .program_due_ms = program_due_ms, .due_ms = 3000
  };

  snprintf (ask.asker, sizeof ask.asker, "%s", asker);
  return ask;
}

static struct SlotState
ask (struct SlotQueues *queues, const struct SlotAsk *a)
{
  const struct SlotServer server = { "e", SLOTS, 3000 };
  struct SlotState state;

  CU_ASSERT_EQUAL (slot_queue_ask (queues, &server, a, 0, &state), ERROR_NONE);
  return state;
}

/* Fills the server with requests 1 to GRANTED of gateway "g". */
static struct SlotQueues *
full_server (void)
{
  struct SlotQueues *queues = slot_queues_new (NULL);

  for (uint64_t id = 1; id <= GRANTED; id++)
    {
      struct SlotAsk a = ask_of ("g", id, true, 2000);

      CU_ASSERT_TRUE (ask (queues, &a).granted);
    }
  return queues;
}

static uint64_t
next_id (struct SlotQueues *queues, int64_t now_ms)
{
  struct SlotAsk granted;
  struct SlotState state;

  return slot_queue_next (queues, "e", now_ms, &granted, &state) ? granted.id : 0;
}

/* More turns than the engine can run: programs that are nearly done wait behind new ones and behind
 * those that are late already, and all end late. Here the turn of a program that can still be in
 * time goes first, a late one last. */
static void
test_what_can_be_in_time_goes_first (void)
{
  struct SlotQueues *queues = full_server ();
  const struct SlotAsk late = ask_of ("g", 10, true, 100);
  const struct SlotAsk fresh = ask_of ("g", 11, false, 1200);
  const struct SlotAsk slack = ask_of ("h", 12, true, 2500);
  const struct SlotAsk urgent = ask_of ("h", 13, true, 900);

  CU_ASSERT_FALSE (ask (queues, &late).granted);
  CU_ASSERT_EQUAL (ask (queues, &fresh).ahead, 0);
  CU_ASSERT_EQUAL (ask (queues, &slack).ahead, 0);
  CU_ASSERT_EQUAL (ask (queues, &urgent).ahead, 0);
  CU_ASSERT_EQUAL (ask (queues, &late).ahead, 3);
  CU_ASSERT_EQUAL (next_id (queues, 0), 0);
  for (uint64_t id = 1; id <= GRANTED; id++)
    slot_queue_done (queues, "e", "g", id, SLOT_SERVED, 350);
  CU_ASSERT_EQUAL (next_id (queues, 350), 13);
  CU_ASSERT_EQUAL (next_id (queues, 350), 12);
  CU_ASSERT_EQUAL (next_id (queues, 350), 11);
  CU_ASSERT_EQUAL (next_id (queues, 350), 0);
  slot_queue_done (queues, "e", "h", 13, SLOT_SERVED, 700);
  CU_ASSERT_EQUAL (next_id (queues, 700), 10);
  talloc_free (queues);
}

/* A grant is lost with its link. The asker asks again, and is told that it may send; it does not
 * take a second slot. */
/* Two customers wait for the same engine, and the operators have ranked them. The one ranked first
 * goes first, also when the other's program is due sooner; but not before a program under way,
 * whose turns would be lost, nor when it is late whatever happens. */
static void
test_a_customers_rank_goes_before_its_programs_time (void)
{
  struct SlotQueues *queues = full_server ();
  struct SlotAsk low = ask_of ("h", 20, false, 1500), high = ask_of ("h", 21, false, 2500);
  struct SlotAsk under_way = ask_of ("h", 22, true, 2800), late = ask_of ("h", 23, false, 10);

  low.customer_priority = 2;
  under_way.customer_priority = 2;
  high.priority = 9;
  ask (queues, &low);
  ask (queues, &high);
  ask (queues, &under_way);
  ask (queues, &late);
  for (uint64_t id = 1; id <= GRANTED; id++)
    slot_queue_done (queues, "e", "g", id, SLOT_SERVED, 0);
  CU_ASSERT_EQUAL (next_id (queues, 0), 22);
  CU_ASSERT_EQUAL (next_id (queues, 0), 21);
  CU_ASSERT_EQUAL (next_id (queues, 0), 20);
  talloc_free (queues);
}

static void
test_asking_again_takes_no_second_slot (void)
{
  struct SlotQueues *queues = full_server ();
  const struct SlotAsk waiting = ask_of ("h", 10, true, 2000);
  const struct SlotAsk first = ask_of ("g", 1, true, 2000);

  CU_ASSERT_FALSE (ask (queues, &waiting).granted);
  slot_queue_done (queues, "e", "g", 2, SLOT_SERVED, 300);
  CU_ASSERT_EQUAL (next_id (queues, 300), 10);
  CU_ASSERT_TRUE (ask (queues, &waiting).granted);
  CU_ASSERT_TRUE (ask (queues, &first).granted);
  CU_ASSERT_EQUAL (ask (queues, &first).total, GRANTED);
  /* The same id of another gateway is another request. */
  slot_queue_done (queues, "e", "h", 1, SLOT_SERVED, 300);
  CU_ASSERT_EQUAL (ask (queues, &first).total, GRANTED);
  talloc_free (queues);
}

struct Live
{
  const char *name;
  uint32_t n_each;
};

static bool
is_live (void *data, const char *asker)
{
  struct Live *live = data;

  return strcmp (asker, live->name) == 0;
}

static void
on_each (void *data, const char *server)
{
  struct Live *live = data;

  CU_ASSERT_STRING_EQUAL (server, "e");
  live->n_each++;
}

/* A gateway dies with all its requests: the ends are never told. Its slots are free again once it
 * counts as gone, and whoever waits is granted. */
static void
test_a_dead_gateways_slots_are_free_again (void)
{
  struct SlotQueues *queues = full_server ();
  struct Live live = { "h", 0 };
  const struct SlotAsk waiting = ask_of ("h", 10, true, 2000);

  CU_ASSERT_FALSE (ask (queues, &waiting).granted);
  slot_queues_expire (queues, 100, is_live, on_each, &live);
  CU_ASSERT_EQUAL (live.n_each, 1);
  CU_ASSERT_EQUAL (next_id (queues, 100), 10);
  /* One that lives but never tells is forgotten after its caller's time. */
  slot_queues_expire (queues, 4001, is_live, on_each, &live);
  CU_ASSERT_EQUAL (live.n_each, 1);
  CU_ASSERT_EQUAL (ask (queues, &waiting).total, 1);
  talloc_free (queues);
}

/* What cannot be served in the time that its caller waits is told so at once, by what requests have
 * taken lately. */
static void
test_the_wait_follows_what_requests_take (void)
{
  struct SlotQueues *queues = full_server ();
  struct SlotAsk waiting = ask_of ("h", 10, true, 2000);

  CU_ASSERT_EQUAL (ask (queues, &waiting).wait_ms, SLOT_FIRST_SERVICE_MS / SLOTS);
  for (uint64_t id = 20; id < 200; id++)
    {
      struct SlotAsk other = ask_of ("g", id, true, 1000);

      slot_queue_done (queues, "e", "g", id < 23 ? id - 19 : id - 3, SLOT_SERVED, 1000);
      ask (queues, &other);
    }
  CU_ASSERT (ask (queues, &waiting).wait_ms > SLOT_FIRST_SERVICE_MS / SLOTS);
  talloc_free (queues);
}

/* An engine's cache has room for some shared parts. Its owner tells everyone which it has been sent
 * last: a gateway that never sent there itself must not make others read what lies here. */
static void
test_the_digest_tells_what_the_cache_holds (void)
{
  struct SlotQueues *queues = slot_queues_new (NULL);
  struct SlotDigest *digests;
  size_t n;

  for (uint64_t id = 1; id <= 5; id++)
    {
      struct SlotAsk a = ask_of ("g", id, true, 2000);

      a.part = id <= 4 ? id : 3;
      a.part_tokens = 500;
      ask (queues, &a);
      slot_queue_done (queues, "e", "g", id, SLOT_SERVED, 0);
    }
  digests = slot_queues_digest (queues, NULL, true, 0, &n);
  CU_ASSERT_EQUAL (n, 0);
  talloc_free (digests);
  digests = slot_queues_digest (queues, NULL, false, 0, &n);
  CU_ASSERT_EQUAL_FATAL (n, 1);
  CU_ASSERT_STRING_EQUAL (digests[0].server, "e");
  CU_ASSERT_EQUAL (digests[0].total, 0);
  /* Half of 3,000 tokens: three parts, 3 again after 4. */
  CU_ASSERT_EQUAL_FATAL (digests[0].n_parts, 3);
  CU_ASSERT_EQUAL (digests[0].parts[0], 3);
  CU_ASSERT_EQUAL (digests[0].parts[1], 4);
  CU_ASSERT_EQUAL (digests[0].parts[2], 2);
  talloc_free (digests);
  talloc_free (queues);
}

/* An engine answers everything at once with failures. Its owner hears of it from whoever sent
 * there, and tells all; a request that was never sent says nothing of the engine. */
static void
test_the_digest_tells_how_often_the_server_fails (void)
{
  struct SlotQueues *queues = full_server ();
  struct SlotDigest *digests;
  size_t n;

  digests = slot_queues_digest (queues, NULL, true, 0, &n);
  CU_ASSERT_EQUAL (n, 1);
  talloc_free (digests);
  slot_queue_done (queues, "e", "g", 1, SLOT_FAILED, 0);
  slot_queue_done (queues, "e", "g", 2, SLOT_FAILED, 0);
  slot_queue_done (queues, "e", "g", 3, SLOT_NOT_USED, 0);
  digests = slot_queues_digest (queues, NULL, false, 0, &n);
  CU_ASSERT_EQUAL_FATAL (n, 1);
  CU_ASSERT (digests[0].failed_permille > 200);
  talloc_free (digests);
  talloc_free (queues);
}

/* An engine crashes and is back under its id, its cache empty. Its owner must not go on reporting
 * all gateways that it holds what the process before it held. */
static void
test_a_restarted_server_holds_nothing (void)
{
  struct SlotQueues *queues = slot_queues_new (NULL);
  struct SlotAsk a = ask_of ("g", 1, true, 2000);
  struct SlotDigest *digests;
  size_t n;

  a.part = 7;
  a.part_tokens = 100;
  ask (queues, &a);
  slot_queue_done (queues, "e", "g", 1, SLOT_FAILED, 10);
  digests = slot_queues_digest (queues, queues, false, 10, &n);
  CU_ASSERT_EQUAL (digests[0].n_parts, 1);
  CU_ASSERT (digests[0].failed_permille > 0);
  slot_queue_restarted (queues, "e");
  slot_queue_restarted (queues, "never asked for");
  digests = slot_queues_digest (queues, queues, false, 10, &n);
  CU_ASSERT_EQUAL (n, 1);
  CU_ASSERT_EQUAL (digests[0].n_parts, 0);
  CU_ASSERT_EQUAL (digests[0].failed_permille, 0);
  talloc_free (queues);
}

const char test_suite_name[] = "slot_queue";
const struct TestCase test_cases[] = {
  { "what can be in time goes first", test_what_can_be_in_time_goes_first },
  { "asking again takes no second slot", test_asking_again_takes_no_second_slot },
  { "a dead gateway's slots are free again", test_a_dead_gateways_slots_are_free_again },
  { "the digest tells what the cache holds", test_the_digest_tells_what_the_cache_holds },
  { "the digest tells how often the server fails",
    test_the_digest_tells_how_often_the_server_fails },
  { "the wait follows what requests take", test_the_wait_follows_what_requests_take },
  { "a restarted server holds nothing", test_a_restarted_server_holds_nothing },
  { "a customer's rank goes before its program's time",
    test_a_customers_rank_goes_before_its_programs_time },
  { NULL, NULL },
};
