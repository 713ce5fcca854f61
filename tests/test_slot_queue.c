#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/scheduling/slot_queue.h>

#include <stdio.h>
#include <string.h>

enum
{
  SLOTS = 2,
  GRANTED = SLOTS + 1 /* and one in transit */
};

static struct SlotRequest
make_request (const char *requester, uint64_t id, bool continues, int64_t program_deadline_ms)
{
  struct SlotRequest request = { .id = id,
                                 .under_way = continues,
                                 .program_deadline_ms = program_deadline_ms,
                                 .deadline_ms = 3000 };

  snprintf (request.requester, sizeof request.requester, "%s", requester);
  return request;
}

static struct SlotState
request (struct SlotQueues *queues, const struct SlotRequest *a)
{
  const struct SlotServer server = { "e", SLOTS, 3000 };
  struct SlotState state;

  CU_ASSERT_EQUAL (slot_queue_request (queues, &server, a, 0, &state), ERROR_NONE);
  return state;
}

/* Fills the server with requests 1 to GRANTED of gateway "g". */
static struct SlotQueues *
full_server (void)
{
  struct SlotQueues *queues = slot_queues_new (NULL);

  for (uint64_t id = 1; id <= GRANTED; id++)
    {
      struct SlotRequest a = make_request ("g", id, true, 2000);

      CU_ASSERT_TRUE (request (queues, &a).granted);
    }
  return queues;
}

static uint64_t
next_id (struct SlotQueues *queues, int64_t now_ms)
{
  struct SlotRequest granted;
  struct SlotState state;

  return slot_queue_next (queues, "e", now_ms, &granted, &state) ? granted.id : 0;
}

/* When turns exceed the engine's capacity, order of arrival makes all programs late: those that are
 * nearly done wait behind new ones and behind late ones. Turns of programs that can still meet
 * their deadlines must go first, and late ones last. */
static void
test_programs_that_can_end_in_time_go_first (void)
{
  struct SlotQueues *queues = full_server ();
  const struct SlotRequest late = make_request ("g", 10, true, 100);
  const struct SlotRequest fresh = make_request ("g", 11, false, 1200);
  const struct SlotRequest slack = make_request ("h", 12, true, 2500);
  const struct SlotRequest urgent = make_request ("h", 13, true, 900);

  CU_ASSERT_FALSE (request (queues, &late).granted);
  CU_ASSERT_EQUAL (request (queues, &fresh).ahead, 0);
  CU_ASSERT_EQUAL (request (queues, &slack).ahead, 0);
  CU_ASSERT_EQUAL (request (queues, &urgent).ahead, 0);
  CU_ASSERT_EQUAL (request (queues, &late).ahead, 3);
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

/* Requests of a customer with a higher priority go first, even if another customer's program has an
 * earlier deadline; but not before programs under way, whose work would be lost, nor when their own
 * program can't meet its deadline. */
static void
test_a_customers_priority_goes_before_a_programs_deadline (void)
{
  struct SlotQueues *queues = full_server ();
  struct SlotRequest low = make_request ("h", 20, false, 1500),
                     high = make_request ("h", 21, false, 2500);
  struct SlotRequest under_way = make_request ("h", 22, true, 2800),
                     late = make_request ("h", 23, false, 10);

  low.customer_priority = 2;
  under_way.customer_priority = 2;
  high.priority = 9;
  request (queues, &low);
  request (queues, &high);
  request (queues, &under_way);
  request (queues, &late);
  for (uint64_t id = 1; id <= GRANTED; id++)
    slot_queue_done (queues, "e", "g", id, SLOT_SERVED, 0);
  CU_ASSERT_EQUAL (next_id (queues, 0), 22);
  CU_ASSERT_EQUAL (next_id (queues, 0), 21);
  CU_ASSERT_EQUAL (next_id (queues, 0), 20);
  talloc_free (queues);
}

/* A grant may be lost with its connection. The gateway then repeats the request and receives the
 * grant again, without taking a second slot. */
static void
test_asking_again_takes_no_second_slot (void)
{
  struct SlotQueues *queues = full_server ();
  const struct SlotRequest waiting = make_request ("h", 10, true, 2000);
  const struct SlotRequest first = make_request ("g", 1, true, 2000);

  CU_ASSERT_FALSE (request (queues, &waiting).granted);
  slot_queue_done (queues, "e", "g", 2, SLOT_SERVED, 300);
  CU_ASSERT_EQUAL (next_id (queues, 300), 10);
  CU_ASSERT_TRUE (request (queues, &waiting).granted);
  CU_ASSERT_TRUE (request (queues, &first).granted);
  CU_ASSERT_EQUAL (request (queues, &first).total, GRANTED);
  /* Ids are per gateway: the same id of another gateway is a different request. */
  slot_queue_done (queues, "e", "h", 1, SLOT_SERVED, 300);
  CU_ASSERT_EQUAL (request (queues, &first).total, GRANTED);
  talloc_free (queues);
}

struct LiveGateway
{
  const char *name;
  uint64_t start; /* of its process; later requests have larger ids */
  uint32_t n_each;
};

static bool
is_live (void *data, const char *requester, uint64_t id)
{
  struct LiveGateway *live = data;

  return strcmp (requester, live->name) == 0 && id > live->start;
}

static void
on_each (void *data, const char *server)
{
  struct LiveGateway *live = data;

  CU_ASSERT_STRING_EQUAL (server, "e");
  live->n_each++;
}

/* A gateway that crashes never reports the ends of its requests. Its slots must be freed once it is
 * no longer live, and granted to waiting requests. */
static void
test_a_crashed_gateways_slots_are_freed (void)
{
  struct SlotQueues *queues = full_server ();
  struct LiveGateway live = { "h", 0, 0 };
  const struct SlotRequest waiting = make_request ("h", 10, true, 2000);

  CU_ASSERT_FALSE (request (queues, &waiting).granted);
  slot_queues_expire (queues, 100, is_live, on_each, &live);
  CU_ASSERT_EQUAL (live.n_each, 1);
  CU_ASSERT_EQUAL (next_id (queues, 100), 10);
  /* A request of a live gateway that never reports its end expires after its caller's deadline. */
  slot_queues_expire (queues, 4001, is_live, on_each, &live);
  CU_ASSERT_EQUAL (live.n_each, 1);
  CU_ASSERT_EQUAL (request (queues, &waiting).total, 1);
  talloc_free (queues);
}

/* Guards against slots that stay taken for requests of a gateway's previous process, when it starts
 * again before it is found to be down. */
static void
test_a_restarted_gateways_slots_are_freed (void)
{
  struct SlotQueues *queues = full_server ();
  struct LiveGateway live = { "g", GRANTED - 1, 0 };

  slot_queues_expire (queues, 100, is_live, on_each, &live);
  CU_ASSERT_EQUAL (request (queues, &(struct SlotRequest){ .requester = "g", .id = GRANTED }).total,
                   1);
  talloc_free (queues);
}

/* The estimated wait follows the measured service times, so that a request that can't be served
 * before its deadline can be rejected at once. */
static void
test_the_wait_follows_the_service_time (void)
{
  struct SlotQueues *queues = full_server ();
  struct SlotRequest waiting = make_request ("h", 10, true, 2000);

  CU_ASSERT_EQUAL (request (queues, &waiting).wait_ms, SLOT_FIRST_SERVICE_MS / SLOTS);
  for (uint64_t id = 20; id < 200; id++)
    {
      struct SlotRequest other = make_request ("g", id, true, 1000);

      slot_queue_done (queues, "e", "g", id < 23 ? id - 19 : id - 3, SLOT_SERVED, 1000);
      request (queues, &other);
    }
  CU_ASSERT (request (queues, &waiting).wait_ms > SLOT_FIRST_SERVICE_MS / SLOTS);
  talloc_free (queues);
}

/* An engine's cache has room for some shared parts, and its owner reports the most recently sent
 * ones. Otherwise a gateway that never used the engine would have other engines read these parts
 * again. */
static void
test_the_digest_reports_the_cache_contents (void)
{
  struct SlotQueues *queues = slot_queues_new (NULL);
  struct SlotDigest *digests;
  size_t n;

  for (uint64_t id = 1; id <= 5; id++)
    {
      struct SlotRequest a = make_request ("g", id, true, 2000);

      a.part = id <= 4 ? id : 3;
      a.part_tokens = 500;
      request (queues, &a);
      slot_queue_done (queues, "e", "g", id, SLOT_SERVED, 0);
    }
  digests = slot_queues_digest (queues, NULL, true, 0, &n);
  CU_ASSERT_EQUAL (n, 0);
  talloc_free (digests);
  digests = slot_queues_digest (queues, NULL, false, 0, &n);
  CU_ASSERT_EQUAL_FATAL (n, 1);
  CU_ASSERT_STRING_EQUAL (digests[0].server, "e");
  CU_ASSERT_EQUAL (digests[0].total, 0);
  /* Half of 3,000 tokens is room for three parts; part 3 was sent again after part 4. */
  CU_ASSERT_EQUAL_FATAL (digests[0].n_parts, 3);
  CU_ASSERT_EQUAL (digests[0].parts[0], 3);
  CU_ASSERT_EQUAL (digests[0].parts[1], 4);
  CU_ASSERT_EQUAL (digests[0].parts[2], 2);
  talloc_free (digests);
  talloc_free (queues);
}

/* When an engine fails all requests, the gateways that sent them report this to its owner, which
 * reports the failure rate to all gateways. Requests that were never sent don't count. */
static void
test_the_digest_reports_the_failure_rate (void)
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

/* An engine that crashes and restarts under its id has an empty cache. Its owner must stop
 * reporting the cache contents of the previous process. */
static void
test_a_restarted_server_is_reset (void)
{
  struct SlotQueues *queues = slot_queues_new (NULL);
  struct SlotRequest a = make_request ("g", 1, true, 2000);
  struct SlotDigest *digests;
  size_t n;

  a.part = 7;
  a.part_tokens = 100;
  request (queues, &a);
  slot_queue_done (queues, "e", "g", 1, SLOT_FAILED, 10);
  digests = slot_queues_digest (queues, queues, false, 10, &n);
  CU_ASSERT_EQUAL (digests[0].n_parts, 1);
  CU_ASSERT (digests[0].failed_permille > 0);
  slot_queue_restarted (queues, "e");
  slot_queue_restarted (queues, "never used");
  digests = slot_queues_digest (queues, queues, false, 10, &n);
  CU_ASSERT_EQUAL (n, 1);
  CU_ASSERT_EQUAL (digests[0].n_parts, 0);
  CU_ASSERT_EQUAL (digests[0].failed_permille, 0);
  talloc_free (queues);
}

static struct SlotState
request_plain (struct SlotQueues *queues, uint64_t id, int64_t now_ms)
{
  const struct SlotServer server = { "p", SLOTS, 0, 50 };
  struct SlotRequest a = make_request ("g", id, true, 2000);
  struct SlotState state;

  CU_ASSERT_EQUAL (slot_queue_request (queues, &server, &a, now_ms, &state), ERROR_NONE);
  return state;
}

/* A plain server that rejects a granted request is full with work that its owner does not know of.
 * Granting it as many requests as it has slots would make it reject further ones. */
static void
test_a_full_plain_server_gets_fewer_requests (void)
{
  struct SlotQueues *queues = slot_queues_new (NULL);
  struct SlotRequest granted;
  struct SlotState state;

  for (uint64_t id = 1; id <= GRANTED; id++)
    CU_ASSERT_TRUE (request_plain (queues, id, 0).granted);
  CU_ASSERT_FALSE (request_plain (queues, 10, 0).granted);
  slot_queue_done (queues, "p", "g", 1, SLOT_FULL, 10);
  CU_ASSERT_FALSE (slot_queue_next (queues, "p", 10, &granted, &state));
  /* One slot remains, however often the server rejects. */
  slot_queue_done (queues, "p", "g", 2, SLOT_FULL, 10);
  slot_queue_done (queues, "p", "g", 3, SLOT_FULL, 10);
  CU_ASSERT_TRUE (slot_queue_next (queues, "p", 10, &granted, &state));
  CU_ASSERT_TRUE (request_plain (queues, 11, 20).granted);
  CU_ASSERT_FALSE (request_plain (queues, 12, 20).granted);
  CU_ASSERT_FALSE (slot_queue_next (queues, "p", 109, &granted, &state));
  CU_ASSERT_TRUE (slot_queue_next (queues, "p", 110, &granted, &state));
  CU_ASSERT_EQUAL (granted.id, 12);
  talloc_free (queues);
}

/* Guards against an average in whole milliseconds, which stays up to 15 ms below the true one: a
 * request would be accepted that cannot be served in time. A queue of an engine reports none. */
static void
test_a_plain_servers_service_time_is_measured (void)
{
  struct SlotQueues *queues = slot_queues_new (NULL);
  const struct SlotRequest engine = make_request ("g", 1, true, 2000);

  CU_ASSERT_EQUAL (request (queues, &engine).service_ms, 0);
  for (uint64_t id = 1; id <= 100; id++)
    {
      int64_t now_ms = (int64_t)id * 100, took_ms = id <= 20 ? 10 : 20;
      struct SlotState state = request_plain (queues, id, now_ms);

      if (id == 1)
        CU_ASSERT_EQUAL (state.service_ms, 50);
      /* The initial value counts as four samples. */
      if (id == 2)
        CU_ASSERT_EQUAL (state.service_ms, 42);
      slot_queue_done (queues, "p", "g", id, SLOT_SERVED, now_ms + took_ms);
    }
  CU_ASSERT_EQUAL (request_plain (queues, 101, 20000).service_ms, 20);
  slot_queue_restarted (queues, "p");
  CU_ASSERT_EQUAL (request_plain (queues, 102, 20000).service_ms, 50);
  talloc_free (queues);
}

/* Order by rank. */

static struct SlotState
request_by_rank (struct SlotQueues *queues, const struct SlotRequest *a, int64_t now_ms)
{
  const struct SlotServer server = {
    .id = "e", .slots = SLOTS, .capacity_tokens = 3000, .order = SLOT_ORDER_BY_RANK
  };
  struct SlotState state;

  CU_ASSERT_EQUAL (slot_queue_request (queues, &server, a, now_ms, &state), ERROR_NONE);
  return state;
}

static struct SlotRequest
make_ranked (uint64_t id, uint64_t customer, uint32_t priority, int64_t program_deadline_ms)
{
  struct SlotRequest a = make_request ("g", id, true, program_deadline_ms);

  a.customer = customer;
  a.program = id;
  a.priority = priority;
  a.deadline_ms = 60000;
  return a;
}

/* Guards against a shortage in which turns of a low rank, which are due sooner, fail those of the
 * highest rank. A customer's priority comes before the route's. */
static void
test_ranks_decide_among_customers (void)
{
  struct SlotQueues *queues = full_server ();
  const struct SlotRequest low = make_ranked (10, 1, 2, 1000), high = make_ranked (11, 2, 0, 2000);
  struct SlotRequest other = make_ranked (12, 3, 0, 900);

  other.customer_priority = 1;
  request_by_rank (queues, &low, 0);
  CU_ASSERT_EQUAL (request_by_rank (queues, &high, 0).ahead, 0);
  CU_ASSERT_EQUAL (request_by_rank (queues, &other, 0).ahead, 2);
  slot_queue_done (queues, "e", "g", 1, SLOT_SERVED, 0);
  CU_ASSERT_EQUAL (next_id (queues, 0), 11);
  talloc_free (queues);
}

/* Guards against long programs of a high priority that make many short ones late where nobody
 * ranks customers. */
static void
test_deadlines_decide_without_customers (void)
{
  struct SlotQueues *queues = full_server ();
  const struct SlotRequest high = make_ranked (10, 0, 0, 2000), low = make_ranked (11, 0, 1, 1000);

  request_by_rank (queues, &high, 0);
  CU_ASSERT_EQUAL (request_by_rank (queues, &low, 0).ahead, 0);
  talloc_free (queues);
}

/* Guards against a late program whose turn is rejected and returns behind later ones each time. */
static void
test_a_late_program_keeps_its_place (void)
{
  struct SlotQueues *queues = full_server ();
  struct SlotRequest early = make_ranked (10, 0, 0, 0);
  const struct SlotRequest late = make_ranked (11, 0, 0, 0);

  request_by_rank (queues, &early, 100);
  slot_queue_done (queues, "e", "g", 10, SLOT_NOT_USED, 200);
  request_by_rank (queues, &late, 300);
  early.id = 12;
  CU_ASSERT_EQUAL (request_by_rank (queues, &early, 400).ahead, 0);
  talloc_free (queues);
}

/* Guards against an estimate from the number of requests ahead, which stays short while requests of
 * a higher rank arrive and go ahead. */
static void
test_the_expected_wait_follows_those_that_wait (void)
{
  struct SlotQueues *queues = full_server ();
  const struct SlotRequest first = make_ranked (10, 0, 0, 5000);
  const struct SlotRequest next = make_ranked (11, 0, 0, 6000);

  request_by_rank (queues, &first, 0);
  CU_ASSERT_EQUAL (request_by_rank (queues, &next, 1500).wait_ms, 1500);
  talloc_free (queues);
}

/* Guards against a program of a low rank that begins and delays programs under way with each of its
 * turns. */
static void
test_a_program_of_low_rank_begins_after_those_that_wait (void)
{
  struct SlotQueues *queues = full_server ();
  const struct SlotRequest waiting = make_ranked (10, 1, 2, 90000);
  struct SlotRequest low = make_ranked (11, 2, 2, 80000), high = make_ranked (12, 2, 0, 80000);

  low.under_way = false;
  high.under_way = false;
  request_by_rank (queues, &waiting, 0);
  CU_ASSERT_EQUAL (request_by_rank (queues, &low, 1000).wait_ms, 1000);
  CU_ASSERT (request_by_rank (queues, &high, 1000).wait_ms < 1000);
  talloc_free (queues);
}

const char test_suite_name[] = "slot_queue";
const struct TestCase test_cases[] = {
  { "programs that can end in time go first", test_programs_that_can_end_in_time_go_first },
  { "asking again takes no second slot", test_asking_again_takes_no_second_slot },
  { "a crashed gateway's slots are freed", test_a_crashed_gateways_slots_are_freed },
  { "a restarted gateway's slots are freed", test_a_restarted_gateways_slots_are_freed },
  { "the digest reports the cache contents", test_the_digest_reports_the_cache_contents },
  { "the digest reports the failure rate", test_the_digest_reports_the_failure_rate },
  { "the wait follows the service time", test_the_wait_follows_the_service_time },
  { "a restarted server is reset", test_a_restarted_server_is_reset },
  { "a full plain server gets fewer requests", test_a_full_plain_server_gets_fewer_requests },
  { "a plain server's service time is measured", test_a_plain_servers_service_time_is_measured },
  { "a customer's priority goes before a program's deadline",
    test_a_customers_priority_goes_before_a_programs_deadline },
  { "ranks decide among customers", test_ranks_decide_among_customers },
  { "deadlines decide without customers", test_deadlines_decide_without_customers },
  { "a late program keeps its place", test_a_late_program_keeps_its_place },
  { "the expected wait follows those that wait", test_the_expected_wait_follows_those_that_wait },
  { "a program of low rank begins after those that wait",
    test_a_program_of_low_rank_begins_after_those_that_wait },
  { NULL, NULL },
};
