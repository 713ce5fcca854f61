/* Measures the time of policy decisions: placement over N servers, and the steps of a call through
 * a queue in which M programs wait. Prints a table and checks nothing. */
#include <buckthornhead/policy.h>

#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
  ROUNDS = 200000,
  SERVERS_MAX = 2000,
  PROGRAMS = 20000,
  NS_PER_S = 1000000000
};

static const struct PolicyWeights weights = { .rule = POLICY_PROGRAM,
                                              .cache_weight_permille = 300,
                                              .ageing_ms = 60000,
                                              .share = 100,
                                              .pause_keep_ms = 60000 };

static int64_t
clock_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * NS_PER_S + now.tv_nsec;
}

static void
program_name (char *name, size_t bytes, uint64_t i)
{
  snprintf (name, bytes, "program-%llu", (unsigned long long)i);
}

static double
measure_placement (size_t n_servers)
{
  static struct PolicyServer servers[SERVERS_MAX];
  static struct Call calls[PROGRAMS];
  struct Placement *placement = placement_new (NULL);
  struct Outcome outcome = { .charge_tokens = 4000, .cached_tokens = 3000 };
  int64_t begin, ns;

  memset (servers, 0, sizeof servers);
  for (size_t i = 0; i < n_servers; i++)
    {
      snprintf (servers[i].name, sizeof servers[i].name, "engine-%zu", i);
      servers[i].usable = true;
      servers[i].limit = 16;
      servers[i].in_flight = (uint32_t)(i % 7);
      servers[i].pace_us_per_token = 20000;
      servers[i].prefill_us_per_token = 90;
    }
  for (size_t i = 0; i < PROGRAMS; i++)
    {
      memset (&calls[i], 0, sizeof calls[i]);
      program_name (calls[i].key.program, sizeof calls[i].key.program, i);
      snprintf (calls[i].key.branch, sizeof calls[i].key.branch, "%s", MAIN_BRANCH);
      calls[i].prompt_tokens = 4000;
      placement_record_outcome (placement, &calls[i], servers[i % n_servers].name, &outcome, 0);
    }
  begin = clock_ns ();
  for (size_t i = 0; i < ROUNDS; i++)
    {
      struct Fault fault;

      placement_choose (placement, &weights, servers, n_servers, &calls[i * 7919 % PROGRAMS],
                        (int64_t)(i / 100), &fault);
    }
  ns = clock_ns () - begin;
  talloc_free (placement);
  return (double)ns / ROUNDS;
}

static struct DispatchItem
make_item (uint64_t id)
{
  struct DispatchItem item = { .id = id,
                               .prompt_tokens = 1000 + (uint32_t)(id * 7919 % 8000),
                               .max_tokens = 200,
                               .attained_tokens = id * 104729 % 100000 };

  program_name (item.program, sizeof item.program, id);
  snprintf (item.service, sizeof item.service, "service-%d", (int)(id % 5));
  return item;
}

/* Returns the time of push, pop, first token, and end of a call while n_waiting others wait. */
static double
measure_queue (size_t n_waiting, size_t *n_sent)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 32);
  struct Outcome outcome = { .charge_tokens = 5000, .cached_tokens = 100 };
  uint64_t id = 0, sent = 0;
  int64_t begin, ns, now = 0;
  struct Fault fault;
  uint32_t retry_after_ms;

  dispatch_queue_report_cache (queue, 100000);
  for (size_t i = 0; i < n_waiting; i++)
    {
      struct DispatchItem item = make_item (++id);

      dispatch_queue_push (queue, &weights, &item, (uint32_t)id, now, &retry_after_ms, &fault);
    }
  *n_sent = 0;
  begin = clock_ns ();
  for (size_t i = 0; i < ROUNDS; i++)
    {
      struct DispatchItem item = make_item (++id);

      now += 10;
      dispatch_queue_push (queue, &weights, &item, (uint32_t)id, now, &retry_after_ms, &fault);
      if (!dispatch_queue_pop (queue, now, &sent))
        continue;
      ++*n_sent;
      dispatch_queue_first_token (queue, sent, now + 1);
      dispatch_queue_finished (queue, sent, &outcome, now + 2);
      dispatch_queue_program_ended (queue, item.program);
    }
  ns = clock_ns () - begin;
  talloc_free (queue);
  return (double)ns / ROUNDS;
}

int
main (void)
{
  static const size_t servers[] = { 3, 9, 20, 200, 2000 };
  static const size_t waiting[] = { 0, 10, 100, 1000, 10000, 100000 };

  puts ("placement_choose, 20,000 programs in the table");
  for (size_t i = 0; i < sizeof servers / sizeof servers[0]; i++)
    printf ("  %5zu servers   %7.0f ns per decision\n", servers[i], measure_placement (servers[i]));
  puts ("push, pop, first token, and end of a call");
  for (size_t i = 0; i < sizeof waiting / sizeof waiting[0]; i++)
    {
      size_t n_sent;
      double ns = measure_queue (waiting[i], &n_sent);

      printf ("  %6zu waiting  %7.0f ns per call, %zu of %d sent\n", waiting[i], ns, n_sent,
              ROUNDS);
    }
  return 0;
}
