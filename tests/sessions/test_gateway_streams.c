#include "test_main.h"

#include "gateways.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Stream routes that keep no turns: /asks/ and /single/ are resumable, but /single/ allows one
 * attempt only; /plain/ is not resumable. */
static const char routes[] =
    "{\"name\":\"asks\",\"host\":\"x.example\",\"prefix\":\"/asks/\",\"kind\":\"stream\","
    "\"timeout_ms\":6000,\"service\":\"engines\",\"max_attempts\":2,\"retain\":false,"
    "\"sticky\":true,\"resumable\":true},"
    "{\"name\":\"single\",\"host\":\"x.example\",\"prefix\":\"/single/\",\"kind\":\"stream\","
    "\"timeout_ms\":6000,\"service\":\"engines\",\"max_attempts\":1,\"retain\":false,"
    "\"resumable\":true},"
    "{\"name\":\"plain\",\"host\":\"x.example\",\"prefix\":\"/plain/\",\"kind\":\"stream\","
    "\"timeout_ms\":6000,\"service\":\"engines\",\"max_attempts\":2,\"retain\":false}";

static struct Fleet *
streams_start (TALLOC_CTX *ctx, uint32_t n_gateways)
{
  struct Fleet *fleet = fleet_start (ctx, n_gateways, 3);

  installation_configure (fleet->installation, 2, routes);
  for (uint32_t i = 0; i < n_gateways; i++)
    CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[i].process, "version 2, 6 routes"));
  return fleet;
}

struct TestRequest
{
  uint32_t gateway;
  const char *path, *program, *id;
  uint32_t budget;          /* 0: none */
  const char *resume_after; /* NULL: from the start */
  const char *parts;        /* of its prompt; NULL: not specified */
};

static struct HttpReply *
send_request (struct Fleet *fleet, TALLOC_CTX *ctx, const struct TestRequest *request)
{
  char id[96], of[96], limit[64], after[64], parts[128];
  const char *headers[9] = { "Host: x.example", id, of, "X-Token-Count: 100,200",
                             "X-Deadline-Ms: 6000" };
  size_t n = 5;

  snprintf (id, sizeof id, "X-Request-Id: %s", request->id);
  snprintf (of, sizeof of, "X-Program-Id: %s", request->program);
  snprintf (limit, sizeof limit, "X-Token-Budget: %u", request->budget);
  if (request->budget > 0)
    headers[n++] = limit;
  if (request->resume_after != NULL)
    {
      snprintf (after, sizeof after, "Last-Event-Id: %s", request->resume_after);
      headers[n++] = after;
    }
  if (request->parts != NULL)
    {
      snprintf (parts, sizeof parts, "X-Prompt-Prefix: %s", request->parts);
      headers[n++] = parts;
    }
  return http_send (ctx, "POST", fleet->gateways[request->gateway].caller, request->path, headers,
                    "all");
}

static char *
events_of (TALLOC_CTX *ctx, const char *id, int first, int last)
{
  char *text = talloc_strdup (ctx, "");

  for (int i = first; i <= last; i++)
    text = talloc_asprintf_append (text, "id: %d\ndata: %s-%d\n\n", i, id, i);
  return text;
}

/* Earns retries: they are a share of all requests, so a gateway that has just started has none. */
static void
earn_retries (struct Fleet *fleet, TALLOC_CTX *ctx)
{
  for (int i = 0; i < 30; i++)
    CU_ASSERT_EQUAL (tool_send (fleet, ctx, 0, "/safe/1", "earned")->status, 200);
}

static void
engines_set_mode (struct Fleet *fleet, enum ServerMode mode)
{
  server_set_mode (fleet->installation, FIRST_ENGINE, mode);
  server_set_mode (fleet->installation, FIRST_ENGINE + 1, mode);
}

/* An engine fails in the middle of the third event. The stream resumes at the other engine after
 * the second event; the caller gets every event once, complete. */
static void
test_stream_resumes_at_another_server (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = streams_start (ctx, 1);
  uint32_t n_failed = CU_get_number_of_failures (), n_resumed = 0, used;

  earn_retries (fleet, ctx);
  /* The next stream is sent to the engine with an idle connection. */
  CU_ASSERT_EQUAL (
      send_request (fleet, ctx, &(struct TestRequest){ 0, "/asks/1", "p", "first", 0, NULL, NULL })
          ->status,
      200);
  used = server_runs (fleet->installation, FIRST_ENGINE) > 0 ? FIRST_ENGINE : FIRST_ENGINE + 1;
  server_set_mode (fleet->installation, used, SERVER_TRUNCATES);
  for (uint32_t i = 0; i < 6; i++)
    {
      char id[16];
      struct HttpReply *reply;

      snprintf (id, sizeof id, "a%u", i);
      reply =
          send_request (fleet, ctx, &(struct TestRequest){ 0, "/asks/1", "p", id, 0, NULL, NULL });
      CU_ASSERT_EQUAL (reply->status, 200);
      CU_ASSERT_STRING_EQUAL (reply->body, events_of (ctx, id, 1, 4));
      if (installation_runs_of (fleet->installation, id) == 1)
        continue;
      n_resumed++;
      CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, id), 2);
      CU_ASSERT_STRING_EQUAL (
          installation_header_of (fleet->installation, ctx, id, "Last-Event-Id"), "2");
    }
  CU_ASSERT (n_resumed > 0);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* The same failure on routes that do not allow a resume: one is not resumable, the other allows a
 * single attempt. The caller's stream is interrupted, and nothing runs a second time. */
static void
test_stream_is_not_resumed_where_not_allowed (void)
{
  static const char *const paths[] = { "/plain/1", "/single/1" };
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = streams_start (ctx, 1);
  uint32_t n_failed = CU_get_number_of_failures ();

  earn_retries (fleet, ctx);
  engines_set_mode (fleet, SERVER_TRUNCATES);
  for (uint32_t i = 0; i < 2; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "b%u", i);
      CU_ASSERT_EQUAL (
          send_request (fleet, ctx, &(struct TestRequest){ 0, paths[i], "p", id, 0, NULL, NULL })
              ->status,
          0);
      CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, id), 1);
    }
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* A caller whose connection broke requests the rest of its stream with Last-Event-Id. It gets the
 * missing events; on a route that is not resumable it gets the stream from the start. */
static void
test_caller_gets_the_rest_of_its_stream (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = streams_start (ctx, 1);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct HttpReply *reply;

  reply = send_request (fleet, ctx, &(struct TestRequest){ 0, "/asks/1", "p", "c1", 0, "3", NULL });
  CU_ASSERT_STRING_EQUAL (reply->body, events_of (ctx, "c1", 4, 4));
  reply =
      send_request (fleet, ctx, &(struct TestRequest){ 0, "/plain/1", "p", "c2", 0, "3", NULL });
  CU_ASSERT_STRING_EQUAL (reply->body, events_of (ctx, "c2", 1, 4));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against a budget that is lost with a gateway: a looping program sends turns on a route
 * that keeps none through two gateways, one of which is killed and restarted. Together they return
 * no more tokens than the program's budget. */
static void
test_budget_holds_without_kept_turns (void)
{
  const uint32_t budget = 500, tokens_per_turn = 4 * TOKENS_PER_EVENT;
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = streams_start (ctx, 2);
  uint32_t n_failed = CU_get_number_of_failures (), n_rejected = 0, n_runs;

  for (uint32_t i = 0; n_rejected < 4 && i < 300; i++)
    {
      char id[16];
      struct HttpReply *reply;

      if (i == 2)
        {
          process_kill (fleet->gateways[0].process);
          gateway_start (fleet, 0);
        }
      snprintf (id, sizeof id, "d%u", i);
      reply = send_request (
          fleet, ctx, &(struct TestRequest){ i % 2, "/asks/1", "loop", id, budget, NULL, NULL });
      n_rejected += reply->status == 402;
      if (reply->status == 402)
        CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, id), 0);
    }
  n_runs = server_runs (fleet->installation, FIRST_ENGINE)
           + server_runs (fleet->installation, FIRST_ENGINE + 1);
  CU_ASSERT (n_runs >= 2);
  CU_ASSERT (n_runs * tokens_per_turn <= budget);
  CU_ASSERT_EQUAL (n_rejected, 4);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

enum
{
  N_ENGINES = 3,
  N_SESSIONS = 5,
  N_TURNS = 4
};

/* Server numbers of the engines: a third one is added to the two of every fleet. */
static const uint32_t engines[N_ENGINES] = { FIRST_ENGINE, FIRST_ENGINE + 1, TOOL_SERVER + 1 };

/* Lets every engine read the prompt part that all sessions share, so that a cached copy of it draws
 * no session to one engine. */
static void
warm_all_engines (struct Fleet *fleet, TALLOC_CTX *ctx)
{
  installation_add (fleet->installation, "engines", true, "a",
                    session_allocate_port (fleet->session));
  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[0].process, "1 changes, 4 listed"));
  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[1].process, "1 changes, 4 listed"));
  for (uint32_t i = 0; i < N_ENGINES; i++)
    {
      char id[16];
      const struct TestRequest request = { i % 2, "/asks/1", "warm", id, 0, NULL, "77:12000,9:10" };

      for (uint32_t j = 0; j < N_ENGINES; j++)
        server_set_mode (fleet->installation, engines[j],
                         j == i ? SERVER_RESPONDS : SERVER_REJECTS);
      snprintf (id, sizeof id, "warm%u", i);
      CU_ASSERT_EQUAL (send_request (fleet, ctx, &request)->status, 200);
    }
  for (uint32_t j = 0; j < N_ENGINES; j++)
    server_set_mode (fleet->installation, engines[j], SERVER_RESPONDS);
}

/* Returns the engine that has run more requests than runs records, and updates runs. */
static uint32_t
engine_that_ran_last (struct Fleet *fleet, uint32_t runs[N_ENGINES])
{
  uint32_t ran = N_ENGINES;

  for (uint32_t i = 0; i < N_ENGINES; i++)
    {
      uint32_t now = server_runs (fleet->installation, engines[i]);

      if (now > runs[i])
        ran = i;
      runs[i] = now;
    }
  return ran;
}

/* Guards against prompts that are read again: consecutive turns of a session arrive at different
 * gateways on a route that keeps no turns. Each should still be sent to the engine that ran the
 * previous turn, which has the conversation in its cache. */
static void
test_session_stays_on_its_engine (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = streams_start (ctx, 2);
  uint32_t n_failed = CU_get_number_of_failures (), n_stayed = 0;
  uint32_t runs[N_ENGINES] = { 0 }, last[N_SESSIONS] = { 0 };

  warm_all_engines (fleet, ctx);
  engine_that_ran_last (fleet, runs);
  for (uint32_t turn = 0; turn < N_TURNS; turn++)
    for (uint32_t i = 0; i < N_SESSIONS; i++)
      {
        char id[16], program[16], parts[64];
        const struct TestRequest request = { turn % 2, "/asks/1", program, id, 4000, NULL, parts };
        uint32_t engine;

        snprintf (id, sizeof id, "e%u-%u", i, turn);
        snprintf (program, sizeof program, "p%u", i);
        snprintf (parts, sizeof parts, "77:12000,%x:%u", 100 + i, 1000 * (turn + 1));
        CU_ASSERT_EQUAL (send_request (fleet, ctx, &request)->status, 200);
        engine = engine_that_ran_last (fleet, runs);
        n_stayed += turn > 0 && engine == last[i];
        last[i] = engine;
      }
  /* The close of a turn occasionally reaches the archives after the next turn's query. */
  CU_ASSERT (n_stayed >= N_SESSIONS * (N_TURNS - 1) - 2);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Streams to callers that do not read: larger than the kernel's buffers between the processes. */
enum
{
  LONG_EVENTS = 6000,
  LONG_EVENT_BYTES = 4000,
  LATE_MS = 1000,
  /* 1 MB for the caller, in a buffer of up to twice its length, and the read that exceeded it. */
  HELD_EXPECTED_MAX_BYTES = 2 * (1024 + 128) * 1024
};

static const char slow_routes[] =
    "{\"name\":\"late\",\"host\":\"x.example\",\"prefix\":\"/late/\",\"kind\":\"stream\","
    "\"timeout_ms\":9000,\"service\":\"engines\",\"max_attempts\":2,\"retain\":false,"
    "\"resumable\":true},"
    "{\"name\":\"never\",\"host\":\"x.example\",\"prefix\":\"/never/\",\"kind\":\"stream\","
    "\"timeout_ms\":1200,\"service\":\"engines\",\"max_attempts\":2,\"retain\":false}";

static struct Fleet *
slow_start (TALLOC_CTX *ctx)
{
  struct Fleet *fleet = fleet_new (ctx);

  fleet->gateway_settings = "[limits]\nheld_memory = 32M\n";
  fleet_start_all (fleet, 1, 3, NULL, NULL);
  installation_configure (fleet->installation, 2, slow_routes);
  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[0].process, "version 2, 5 routes"));
  for (uint32_t i = FIRST_ENGINE; i < FIRST_ENGINE + 2; i++)
    {
      server_set_event_interval (fleet->installation, i, 0);
      server_set_stream (fleet->installation, i, LONG_EVENTS, LONG_EVENT_BYTES);
    }
  return fleet;
}

/* Sends a request and reads nothing of the response. */
static int
send_unread (const struct Fleet *fleet, const char *path)
{
  const char *address = fleet->gateways[0].caller;
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (address_port (address)) };
  char request[256];
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int n = snprintf (request, sizeof request,
                    "POST %s HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: s\r\nX-Program-Id: p\r\n"
                    "X-Token-Count: 100,200\r\nX-Deadline-Ms: 9000\r\nContent-Length: 3\r\n\r\nall",
                    path);

  to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  CU_ASSERT_EQUAL (send (fd, request, (size_t)n, 0), n);
  return fd;
}

static uint64_t
held_bytes (const struct Fleet *fleet)
{
  static const char name[] = "\nbuckthornhead_held_bytes ";
  struct HttpReply *reply = http_get (NULL, fleet->gateways[0].metrics, "/metrics");
  const char *at = reply->body != NULL ? strstr (reply->body, name) : NULL;
  uint64_t n = at != NULL ? strtoull (at + strlen (name), NULL, 10) : UINT64_MAX;

  talloc_free (reply);
  return n;
}

/* Reads to the last chunk or the end of the connection; returns whether the last chunk came. */
static bool
read_stream (int fd, uint64_t *n_bytes)
{
  static char text[64 * 1024 + 1];
  ssize_t n;

  *n_bytes = 0;
  while ((n = recv (fd, text, sizeof text - 1, 0)) > 0)
    {
      text[n] = '\0';
      *n_bytes += (uint64_t)n;
      if (n >= 5 && strcmp (text + n - 5, "0\r\n\r\n") == 0)
        return true;
    }
  return false;
}

/* A caller begins to read a second after its engine has begun to send 24 MB. Guards against a
 * gateway that holds all of it, and against one that closes the connection at a bound: the engine
 * must wait, and the caller get everything. */
static void
test_slow_caller_slows_down_its_engine (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = slow_start (ctx);
  uint32_t n_failed = CU_get_number_of_failures ();
  int fd = send_unread (fleet, "/late/1");
  uint64_t n_held, n_bytes;

  sleep_ms (LATE_MS);
  n_held = held_bytes (fleet);
  CU_ASSERT (n_held >= 1024 * 1024);
  CU_ASSERT (n_held <= HELD_EXPECTED_MAX_BYTES);
  CU_ASSERT_TRUE (read_stream (fd, &n_bytes));
  CU_ASSERT (n_bytes > LONG_EVENTS * LONG_EVENT_BYTES);
  CU_ASSERT (held_bytes (fleet) < 64 * 1024);
  close (fd);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* A caller reads nothing for its route's timeout. Guards against memory that stays occupied, and
 * against a truncated stream that looks complete. */
static void
test_caller_that_never_reads_is_disconnected (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = slow_start (ctx);
  uint32_t n_failed = CU_get_number_of_failures ();
  int fd = send_unread (fleet, "/never/1");
  uint64_t n_bytes;

  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[0].process, "caller_stalled"));
  CU_ASSERT (held_bytes (fleet) < 64 * 1024);
  CU_ASSERT_FALSE (read_stream (fd, &n_bytes));
  close (fd);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* An engine sends 24 MB in a turn whose text is retained. Guards against a gateway that holds all
 * of it: the turn fails over 8 MB, and its stream does not look complete. */
static void
test_retained_turn_is_bounded (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = slow_start (ctx);
  uint32_t n_failed = CU_get_number_of_failures ();
  int fd = send_unread (fleet, "/turns/1");
  uint64_t n_bytes;

  CU_ASSERT_FALSE (read_stream (fd, &n_bytes));
  CU_ASSERT (n_bytes > 4 * 1024 * 1024);
  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[0].process, "too large to hold"));
  CU_ASSERT (held_bytes (fleet) < 64 * 1024);
  close (fd);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* An engine sends one event without an end, on routes that forward whole events and on routes that
 * forward bytes as they come. Guards against an event that grows in the gateway until the request's
 * deadline. */
static void
test_event_without_an_end_is_bounded (void)
{
  static const char *const paths[] = { "/late/1", "/never/1" };
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = slow_start (ctx);
  uint32_t n_failed = CU_get_number_of_failures ();

  engines_set_mode (fleet, SERVER_ENDLESS_EVENT);
  for (uint32_t i = 0; i < 2; i++)
    {
      int fd = send_unread (fleet, paths[i]);
      uint64_t n_bytes;

      CU_ASSERT_FALSE (read_stream (fd, &n_bytes));
      CU_ASSERT (n_bytes < 16 * 1024 * 1024);
      close (fd);
    }
  CU_ASSERT_EQUAL (process_count_output (fleet->gateways[0].process, "too large to hold"), 2);
  CU_ASSERT (held_bytes (fleet) < 64 * 1024);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "sessions: gateway and streams";
const struct TestCase test_cases[] = {
  { "a stream resumes at another server", test_stream_resumes_at_another_server },
  { "a stream is not resumed where not allowed", test_stream_is_not_resumed_where_not_allowed },
  { "a caller gets the rest of its stream", test_caller_gets_the_rest_of_its_stream },
  { "a budget holds without kept turns", test_budget_holds_without_kept_turns },
  { "a session stays on its engine", test_session_stays_on_its_engine },
  { "a slow caller slows down its engine", test_slow_caller_slows_down_its_engine },
  { "a retained turn is bounded", test_retained_turn_is_bounded },
  { "an event without an end is bounded", test_event_without_an_end_is_bounded },
  { "a caller that never reads is disconnected", test_caller_that_never_reads_is_disconnected },
  { NULL, NULL },
};
