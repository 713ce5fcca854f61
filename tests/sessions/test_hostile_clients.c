/* Checks that a crowd of clients outside the limits neither ends a process nor makes it exceed its
 * memory and descriptors, and that ordinary requests are answered. */
#include "test_main.h"

#include "cluster.h"
#include "crowd.h"
#include "gateways.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MEMORY_MAX_KIB = 48 * 1024, /* of each process: the memory of its machine */
  DESCRIPTORS_MAX = 1000,
  BODY_MAX_BYTES = 1024 * 1024,
  RESPONSE_BYTES = 3 * 1024 * 1024,
  STREAM_EVENTS = 1000,
  STREAM_EVENT_BYTES = 4000,
  HOLD_MS = 1000,
  SLOW_HOLD_MS = 3000 /* of clients that read slowly */
};

#define GATEWAY_LIMITS "[limits]\nheld_memory = 18M\nconnections = 900\n"
#define REQUEST(path)                                                                              \
  "POST " path " HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: h%u\r\nX-Deadline-Ms: 3000\r\n"
#define TURN                                                                                       \
  "POST /turns/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: h%u\r\nX-Program-Id: p%u\r\n"        \
  "X-Token-Count: 100,200\r\nX-Deadline-Ms: 6000\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

static const struct CrowdPlan large_chunks = {
  .name = "large chunks, stopping short",
  .n_clients = 150,
  .head = REQUEST ("/safe/1") CHUNKED,
  .chunk_bytes = 64 * 1024,
  .n_pieces = 15,
};

static const struct CrowdPlan small_chunks = {
  .name = "small chunks, stopping short",
  .n_clients = 150,
  .head = REQUEST ("/safe/1") CHUNKED,
  .chunk_bytes = 3,
  .n_pieces = 240000,
};

static const struct CrowdPlan no_end = {
  .name = "chunks without an end",
  .n_clients = 150,
  .head = REQUEST ("/safe/1") CHUNKED,
  .chunk_bytes = 64 * 1024,
  .n_pieces = 160,
  .returns = true,
};

static const struct CrowdPlan announced = {
  .name = "announced bodies, stopping short",
  .n_clients = 150,
  .head = REQUEST ("/safe/1") "Content-Length: 1000000\r\n\r\n",
  .piece = "0123456789",
  .piece_bytes = 10,
  .n_pieces = 90000,
};

static const struct CrowdPlan announced_far_over = {
  .name = "announced far over the limit",
  .n_clients = 150,
  .head = REQUEST ("/safe/1") "Content-Length: 6000000000\r\n\r\n",
  .piece = "0123456789",
  .piece_bytes = 10,
  .n_pieces = 200000,
};

static const struct CrowdPlan many_small_bodies = {
  .name = "many small bodies, stopping short",
  .n_clients = 800,
  .head = REQUEST ("/safe/1") CHUNKED,
  .chunk_bytes = 4096,
  .n_pieces = 15,
};

static const struct CrowdPlan many_fields = {
  .name = "heads of many short fields",
  .n_clients = 800,
  .head = REQUEST ("/safe/1"),
  .piece = "a:\r\n",
  .piece_bytes = 4,
  .n_pieces = 12000,
};

static const struct CrowdPlan heads_without_end = {
  .name = "heads without an end",
  .n_clients = 1200,
  .head = REQUEST ("/safe/1") "X-A: ",
  .returns = true,
};

static const struct CrowdPlan hanging_server = {
  .name = "complete bodies for a server that hangs",
  .n_clients = 60,
  .head = REQUEST ("/once/1") CHUNKED,
  .chunk_bytes = 64 * 1024,
  .n_pieces = 15,
  .tail = "0\r\n\r\n",
};

static const struct CrowdPlan pipelined_input = {
  .name = "requests behind one in hand",
  .n_clients = 300,
  .head = REQUEST ("/once/1") "Content-Length: 0\r\n\r\n",
  .piece = "GET /safe/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: h\r\n\r\n",
  .piece_bytes = 59,
  .n_pieces = 4000,
};

static const struct CrowdPlan slow_readers = {
  .name = "slow readers",
  .n_clients = 100,
  .head = REQUEST ("/safe/1") "Content-Length: 0\r\n\r\n",
  .read_bytes = 80,
};

static const struct CrowdPlan slow_pipelines = {
  .name = "slow readers with many requests",
  .n_clients = 20,
  .head = REQUEST ("/safe/1") "Content-Length: 0\r\n\r\n",
  .piece = "GET /safe/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: h\r\n\r\n",
  .piece_bytes = 59,
  .n_pieces = 50,
  .read_bytes = 80,
};

static const struct CrowdPlan slow_streams = {
  .name = "slow readers of turns",
  .n_clients = 60,
  .head = TURN "Content-Length: 0\r\n\r\n",
  .read_bytes = 80,
};

static const struct CrowdPlan large_turns = {
  .name = "turns with large bodies",
  .n_clients = 60,
  .head = TURN CHUNKED,
  .chunk_bytes = 64 * 1024,
  .n_pieces = 15,
  .tail = "0\r\n\r\n",
  .read_bytes = 64 * 1024,
};

static const struct CrowdPlan directory_bodies = {
  .name = "bodies for a path without one",
  .n_clients = 150,
  .head = "POST /-/resolve HTTP/1.1\r\nHost: x.example\r\n" CHUNKED,
  .chunk_bytes = 64 * 1024,
  .n_pieces = 15,
};

/* To an instance that runs `serve`. */
#define SERVE_LIMITS "body_bytes = 1M\nconnections = 900\nheld_memory = 18M"
#define SERVE_REQUEST                                                                              \
  "POST /v1/services/field-desk/roster HTTP/1.1\r\nHost: x.example\r\nX-Attempt: 1\r\n"            \
  "Idempotency-Key: k%u\r\n"

static const struct CrowdPlan serve_large_chunks = {
  .name = "serve: large chunks, stopping short",
  .n_clients = 150,
  .head = SERVE_REQUEST CHUNKED,
  .chunk_bytes = 64 * 1024,
  .n_pieces = 15,
};

static const struct CrowdPlan serve_small_chunks = {
  .name = "serve: small chunks, stopping short",
  .n_clients = 150,
  .head = SERVE_REQUEST CHUNKED,
  .chunk_bytes = 3,
  .n_pieces = 240000,
};

static const struct CrowdPlan serve_small_bodies = {
  .name = "serve: many small bodies, stopping short",
  .n_clients = 800,
  .head = SERVE_REQUEST CHUNKED,
  .chunk_bytes = 4096,
  .n_pieces = 15,
};

static const struct CrowdPlan serve_no_end = {
  .name = "serve: chunks without an end",
  .n_clients = 150,
  .head = SERVE_REQUEST CHUNKED,
  .chunk_bytes = 64 * 1024,
  .n_pieces = 160,
  .returns = true,
};

static const struct CrowdPlan serve_announced_far_over = {
  .name = "serve: announced far over the limit",
  .n_clients = 150,
  .head = SERVE_REQUEST "Content-Length: 6000000000\r\n\r\n",
  .piece = "0123456789",
  .piece_bytes = 10,
  .n_pieces = 200000,
};

static struct Fleet *
hostile_start (TALLOC_CTX *ctx)
{
  struct Fleet *fleet = fleet_new (ctx);

  fleet->gateway_settings = GATEWAY_LIMITS;
  fleet_start_all (fleet, 1, 3, NULL, NULL);
  installation_set_body_max (fleet->installation, BODY_MAX_BYTES);
  installation_configure (fleet->installation, 2, "");
  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[0].process, "version 2, "));
  return fleet;
}

static void
check_process (struct Process *process, const char *crowd)
{
  uint64_t peak_kib;

  CU_ASSERT_TRUE_FATAL (process_is_running (process));
  peak_kib = process_peak_memory_kib (process);
  printf ("[%s: %s %llu KiB, %u descriptors] ", crowd, process->name, (unsigned long long)peak_kib,
          process_open_descriptors (process));
  CU_ASSERT (peak_kib <= MEMORY_MAX_KIB);
  CU_ASSERT (process_open_descriptors (process) <= DESCRIPTORS_MAX);
}

static void
check_fleet (struct Fleet *fleet, const char *crowd)
{
  check_process (fleet->gateways[0].process, crowd);
  for (uint32_t i = 0; i < fleet->n_archives; i++)
    check_process (fleet->archives[i].process, crowd);
}

/* Plays the crowd against an address of the gateway while ordinary requests are sent. */
static void
gateway_meets (struct Fleet *fleet, const struct CrowdPlan *plan, const char *address)
{
  struct Crowd *crowd = crowd_new (fleet, plan, address_port (address));

  crowd_play (crowd, plan->read_bytes > 0 ? SLOW_HOLD_MS : HOLD_MS);
  check_fleet (fleet, plan->name);
  crowd_start (crowd);
  CU_ASSERT_TRUE (wait_for (tool_is_served, fleet));
  crowd_stop (crowd);
  talloc_free (crowd);
  CU_ASSERT_TRUE (wait_for (tool_is_served, fleet));
  check_fleet (fleet, "afterwards");
}

static void
test_gateway_meets (const struct CrowdPlan *plan)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = hostile_start (ctx);
  uint32_t n_failed = CU_get_number_of_failures ();

  gateway_meets (fleet, plan, fleet->gateways[0].caller);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

#define GATEWAY_TEST(plan)                                                                         \
  static void test_##plan (void) { test_gateway_meets (&(plan)); }

GATEWAY_TEST (large_chunks)
GATEWAY_TEST (small_chunks)
GATEWAY_TEST (no_end)
GATEWAY_TEST (announced)
GATEWAY_TEST (announced_far_over)
GATEWAY_TEST (many_small_bodies)
GATEWAY_TEST (many_fields)
GATEWAY_TEST (heads_without_end)
GATEWAY_TEST (large_turns)

static void
test_hanging_server (const struct CrowdPlan *plan)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = hostile_start (ctx);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct Crowd *crowd;

  server_set_mode (fleet->installation, TOOL_SERVER, SERVER_HANGS);
  crowd = crowd_new (fleet, plan, address_port (fleet->gateways[0].caller));
  crowd_play (crowd, HOLD_MS);
  check_fleet (fleet, plan->name);
  server_set_mode (fleet->installation, TOOL_SERVER, SERVER_RESPONDS);
  crowd_start (crowd);
  CU_ASSERT_TRUE (wait_for (tool_is_served, fleet));
  crowd_stop (crowd);
  check_fleet (fleet, "afterwards");
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

static void
test_complete_bodies (void)
{
  test_hanging_server (&hanging_server);
}

static void
test_input_behind_a_request (void)
{
  test_hanging_server (&pipelined_input);
}

static void
test_slow_readers (const struct CrowdPlan *plan)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = hostile_start (ctx);
  uint32_t n_failed = CU_get_number_of_failures ();

  server_set_body (fleet->installation, TOOL_SERVER, RESPONSE_BYTES);
  for (uint32_t i = FIRST_ENGINE; i < FIRST_ENGINE + 2; i++)
    {
      server_set_event_interval (fleet->installation, i, 0);
      server_set_stream (fleet->installation, i, STREAM_EVENTS, STREAM_EVENT_BYTES);
    }
  gateway_meets (fleet, plan, fleet->gateways[0].caller);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

static void
test_responses_read_slowly (void)
{
  test_slow_readers (&slow_readers);
}

static void
test_pipelines_read_slowly (void)
{
  test_slow_readers (&slow_pipelines);
}

static void
test_turns_read_slowly (void)
{
  test_slow_readers (&slow_streams);
}

static void
test_own_paths (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = hostile_start (ctx);
  uint32_t n_failed = CU_get_number_of_failures ();

  gateway_meets (fleet, &directory_bodies, fleet->gateways[0].directory);
  gateway_meets (fleet, &directory_bodies, fleet->gateways[0].ready);
  CU_ASSERT_TRUE (gateway_wait_ready (fleet, 0));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

static const struct ClusterOptions one_instance = {
  .n_instances = 1, .n_engines = 1, .n_tools = 1, .limits = SERVE_LIMITS
};

static bool
instance_answers (void *data)
{
  static uint32_t n;
  const struct Cluster *cluster = data;
  char key[48];
  const char *const headers[] = { "X-Attempt: 1", key, NULL };
  struct HttpReply *reply;
  bool served;

  snprintf (key, sizeof key, "Idempotency-Key: ordinary-%u", n++);
  reply = http_send (NULL, "POST", cluster->instances[0].address, "/v1/services/field-desk/roster",
                     headers, "{\"gang\":12}");
  served = reply->status == 200;
  talloc_free (reply);
  return served;
}

/* Plays the crowd against an instance while ordinary requests are sent. */
static void
test_instance_meets (const struct CrowdPlan *plan)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Cluster *cluster = cluster_start (ctx, &one_instance);
  uint32_t n_failed = CU_get_number_of_failures ();
  const struct ClusterNode *node = &cluster->instances[0];
  struct Crowd *crowd;

  CU_ASSERT_TRUE (wait_for (instance_answers, cluster));
  crowd = crowd_new (ctx, plan, address_port (node->address));
  crowd_play (crowd, HOLD_MS);
  check_process (node->process, plan->name);
  crowd_start (crowd);
  CU_ASSERT_TRUE (wait_for (instance_answers, cluster));
  crowd_stop (crowd);
  talloc_free (crowd);
  CU_ASSERT_TRUE (wait_for (instance_answers, cluster));
  check_process (node->process, "afterwards");
  cluster_stop (cluster, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

#define INSTANCE_TEST(plan)                                                                        \
  static void test_##plan (void) { test_instance_meets (&(plan)); }

INSTANCE_TEST (serve_large_chunks)
INSTANCE_TEST (serve_small_chunks)
INSTANCE_TEST (serve_small_bodies)
INSTANCE_TEST (serve_no_end)
INSTANCE_TEST (serve_announced_far_over)

static bool
gateway_has_returned_memory (void *data)
{
  const struct Fleet *fleet = data;

  return process_memory_kib (fleet->gateways[0].process) <= MEMORY_MAX_KIB / 2;
}

/* Guards against memory that a process keeps after the clients have left. */
static void
test_memory_is_returned (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = hostile_start (ctx);
  uint32_t n_failed = CU_get_number_of_failures ();

  gateway_meets (fleet, &large_chunks, fleet->gateways[0].caller);
  CU_ASSERT_TRUE (wait_for (gateway_has_returned_memory, fleet));
  printf ("[returned: %llu KiB] ",
          (unsigned long long)process_memory_kib (fleet->gateways[0].process));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against processes without a bound where no setting asks for one. */
static void
test_memory_is_bounded_by_default (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  CU_ASSERT_EQUAL (process_count_output (fleet->gateways[0].process, "memory_bounded"), 1);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against bounds that reject the largest request inside the limits while nothing else runs.
 */
static void
test_largest_request_is_served_in_calm (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = hostile_start (ctx);
  uint32_t n_failed = CU_get_number_of_failures ();
  char *body = talloc_array (ctx, char, BODY_MAX_BYTES + 1);
  const char *const with_length[] = { "Host: x.example", "X-Request-Id: l", "X-Deadline-Ms: 3000",
                                      "Expect:", NULL };
  const char *const chunked[] = { "Host: x.example",
                                  "X-Request-Id: c",
                                  "X-Deadline-Ms: 3000",
                                  "Transfer-Encoding: chunked",
                                  "Expect:",
                                  NULL };

  memset (body, 'b', BODY_MAX_BYTES);
  body[BODY_MAX_BYTES] = '\0';
  CU_ASSERT_EQUAL (
      http_send (ctx, "POST", fleet->gateways[0].caller, "/once/1", with_length, body)->status,
      200);
  CU_ASSERT_EQUAL (
      http_send (ctx, "POST", fleet->gateways[0].caller, "/once/1", chunked, body)->status, 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "sessions: hostile clients";
const struct TestCase test_cases[] = {
  { "large chunks", test_large_chunks },
  { "small chunks", test_small_chunks },
  { "chunks without an end", test_no_end },
  { "announced bodies", test_announced },
  { "announced far over the limit", test_announced_far_over },
  { "many small bodies", test_many_small_bodies },
  { "heads of many short fields", test_many_fields },
  { "heads without an end", test_heads_without_end },
  { "complete bodies", test_complete_bodies },
  { "input behind a request", test_input_behind_a_request },
  { "responses read slowly", test_responses_read_slowly },
  { "pipelines read slowly", test_pipelines_read_slowly },
  { "turns read slowly", test_turns_read_slowly },
  { "turns with large bodies", test_large_turns },
  { "bodies for the ready and directory listeners", test_own_paths },
  { "serve large chunks", test_serve_large_chunks },
  { "serve small chunks", test_serve_small_chunks },
  { "serve many small bodies", test_serve_small_bodies },
  { "serve chunks without an end", test_serve_no_end },
  { "serve announced far over the limit", test_serve_announced_far_over },
  { "memory is bounded by default", test_memory_is_bounded_by_default },
  { "memory is returned", test_memory_is_returned },
  { "the largest request is served in calm", test_largest_request_is_served_in_calm },
  { NULL, NULL },
};
