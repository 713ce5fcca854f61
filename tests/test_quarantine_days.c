#include "test_main.h"

#include <buckthornhead/scheduling/quarantine.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Drawn days of requests, servers and crashes on virtual time, in steps of a millisecond. */

enum
{
  N_DAYS = 1000,
  DAY_MS = 30000,
  SERVERS_MAX = 12,
  RUNS_MAX = 64,
  N_FREQUENT = 5, /* requests that are sent again and again, among others that are sent once */
  CRASHING = N_FREQUENT,
  ATTEMPTS_MAX = 2, /* of a caller */
  SENDS_MAX = 2,    /* of an attempt */
  RETRY_MS = 100,
  CRASH_AFTER_MS = 50,
  /* What the users allow. */
  DENIED_FREE = 5,
  DENIED_OF = 500,
  LATE_AFTER_MS = 3000,
  LATE_MAX = 3
};

enum RunState
{
  RUN_UNUSED,
  RUN_ON_SERVER,
  RUN_WAITS /* for its caller's next attempt */
};

struct Run
{
  enum RunState state;
  uint32_t request, server, n_attempts, n_sends;
  int64_t sent_ms, due_ms;
};

struct Day
{
  unsigned seed;
  struct Quarantine *quarantine;
  uint32_t n_servers, n_unique;
  int64_t up_ms[SERVERS_MAX]; /* when the server is up; in the past: it is */
  uint32_t n_starts[SERVERS_MAX];
  struct Run runs[RUNS_MAX];
  uint32_t n_sound, n_denied, n_crashes, n_late;
  int64_t third_crash_ms;
};

static uint32_t
draw (struct Day *day, uint32_t n)
{
  return (uint32_t)rand_r (&day->seed) % n;
}

static void
digest_of (uint32_t request, uint8_t digest[DIGEST_BYTES])
{
  memset (digest, 0, DIGEST_BYTES);
  memcpy (digest, &request, sizeof request);
}

static bool
run_send (struct Day *day, struct Run *run, int64_t now_ms)
{
  uint32_t first = draw (day, day->n_servers);

  for (uint32_t i = 0; i < day->n_servers; i++)
    {
      uint32_t server = (first + i) % day->n_servers;

      if (day->up_ms[server] > now_ms)
        continue;
      run->state = RUN_ON_SERVER;
      run->server = server;
      run->sent_ms = now_ms;
      run->due_ms = now_ms + (run->request == CRASHING ? CRASH_AFTER_MS : 10 + draw (day, 50));
      run->n_sends++;
      if (run->request == CRASHING && day->third_crash_ms > 0
          && now_ms > day->third_crash_ms + LATE_AFTER_MS)
        day->n_late++;
      return true;
    }
  return false;
}

static void
run_wait (struct Run *run, int64_t now_ms)
{
  run->state = run->n_attempts < ATTEMPTS_MAX ? RUN_WAITS : RUN_UNUSED;
  run->due_ms = now_ms + RETRY_MS;
}

static void
run_attempt (struct Day *day, struct Run *run, int64_t now_ms)
{
  uint8_t digest[DIGEST_BYTES];
  enum QuarantineVerdict verdict;

  digest_of (run->request, digest);
  verdict = quarantine_check (day->quarantine, digest, now_ms).verdict;
  run->n_attempts++;
  run->n_sends = verdict == VERDICT_TRIAL ? SENDS_MAX - 1 : 0;
  if (verdict == VERDICT_TRIAL)
    quarantine_begin_trial (day->quarantine, digest, now_ms);
  if (verdict == VERDICT_HELD && run->request != CRASHING)
    day->n_denied++;
  if (verdict == VERDICT_HELD || !run_send (day, run, now_ms))
    run_wait (run, now_ms);
}

static void
day_arrive (struct Day *day, uint32_t request, int64_t now_ms)
{
  for (size_t i = 0; i < RUNS_MAX; i++)
    if (day->runs[i].state == RUN_UNUSED)
      {
        day->runs[i] = (struct Run){ .request = request };
        day->n_sound += request != CRASHING;
        run_attempt (day, &day->runs[i], now_ms);
        return;
      }
}

static void
run_break (struct Day *day, struct Run *run, int64_t now_ms)
{
  struct CrashRecord crash = { .sent_ms = run->sent_ms, .ended_ms = now_ms };
  uint8_t digest[DIGEST_BYTES];

  digest_of (run->request, digest);
  snprintf (crash.server, sizeof crash.server, "%u", run->server);
  crash.started_unix_ms = day->n_starts[run->server];
  quarantine_record_crash (day->quarantine, digest, &crash, now_ms);
  if (run->n_sends == SENDS_MAX || quarantine_contains (day->quarantine, digest)
      || !run_send (day, run, now_ms))
    run_wait (run, now_ms);
}

static void
server_crash (struct Day *day, uint32_t server, int64_t now_ms)
{
  if (day->up_ms[server] > now_ms)
    return;
  day->up_ms[server] = now_ms + 2000 + draw (day, 2000);
  for (size_t i = 0; i < RUNS_MAX; i++)
    if (day->runs[i].state == RUN_ON_SERVER && day->runs[i].server == server)
      run_break (day, &day->runs[i], now_ms);
  day->n_starts[server]++;
}

/* A rack or a part of the servers fails at once. */
static void
day_fail_some (struct Day *day, int64_t now_ms)
{
  uint32_t n = 1 + draw (day, day->n_servers / 2), first = draw (day, day->n_servers);

  for (uint32_t i = 0; i < n; i++)
    server_crash (day, (first + i) % day->n_servers, now_ms);
}

static void
run_step (struct Day *day, struct Run *run, int64_t now_ms)
{
  uint8_t digest[DIGEST_BYTES];

  if (run->state == RUN_UNUSED || run->due_ms > now_ms)
    return;
  if (run->state == RUN_WAITS)
    run_attempt (day, run, now_ms);
  else if (run->request == CRASHING)
    {
      if (++day->n_crashes == 3)
        day->third_crash_ms = now_ms;
      server_crash (day, run->server, now_ms);
    }
  else
    {
      run->state = RUN_UNUSED;
      digest_of (run->request, digest);
      quarantine_record_complete (day->quarantine, digest, now_ms);
    }
}

static void
day_play (struct Day *day, bool has_crashing_request)
{
  static const struct QuarantineOptions options = { .has_trials = true, .same_event_ms = 5 };

  day->quarantine = quarantine_new (NULL, &options);
  day->n_servers = 3 + draw (day, SERVERS_MAX - 2);
  for (int64_t now_ms = 1; now_ms <= DAY_MS; now_ms++)
    {
      for (size_t i = 0; i < RUNS_MAX; i++)
        run_step (day, &day->runs[i], now_ms);
      if (draw (day, 20) == 0)
        day_arrive (day, draw (day, 3) == 0 ? draw (day, N_FREQUENT) : 1000 + day->n_unique++,
                    now_ms);
      if (draw (day, 4000) == 0)
        day_fail_some (day, now_ms);
      if (has_crashing_request && draw (day, 1000) == 0)
        day_arrive (day, CRASHING, now_ms);
    }
  talloc_free (day->quarantine);
}

/* Guards against sound requests that are rejected because ordinary failures of servers, one after
 * the other or at once, are taken for their fault. */
static void
test_ordinary_crashes_reject_few_requests (void)
{
  for (uint32_t n = 0; n < N_DAYS; n++)
    {
      struct Day day = { .seed = 1000 + n };

      day_play (&day, false);
      CU_ASSERT (day.n_denied <= DENIED_FREE + day.n_sound / DENIED_OF);
    }
}

/* Guards against a request that crashes servers and is sent on beside ordinary failures. */
static void
test_crashing_request_is_found_among_ordinary_crashes (void)
{
  for (uint32_t n = 0; n < N_DAYS; n++)
    {
      struct Day day = { .seed = 5000 + n };

      day_play (&day, true);
      CU_ASSERT (day.n_late <= LATE_MAX);
    }
}

const char test_suite_name[] = "days of the quarantine";
const struct TestCase test_cases[] = {
  { "ordinary crashes reject few requests", test_ordinary_crashes_reject_few_requests },
  { "a crashing request is found among ordinary crashes",
    test_crashing_request_is_found_among_ordinary_crashes },
  { NULL, NULL },
};
