/* Checks that a backend server that the platform lists as leaving gets no new calls after a few
 * seconds. It still responds and has prefixes of running programs in its cache, so it would be
 * chosen again. */
#include "calls.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

enum
{
  BATCH_SIZE = 8,
  BATCHES_AFTER = 4,
  LEAVING = 1 /* index of the leaving engine */
};

static const struct ClusterOptions two_engines = {
  .n_instances = 3, .n_engines = 2, .n_tools = 1, .n_data_folders = 2
};

/* A set of programs that make one call each per batch. */
struct Load
{
  struct Cluster *cluster;
  char programs[BATCH_SIZE][32];
  uint64_t sequence;
};

static struct Load *
load_new (struct Cluster *cluster)
{
  struct Load *load = talloc_zero (cluster, struct Load);

  load->cluster = cluster;
  for (uint32_t i = 0; i < BATCH_SIZE; i++)
    {
      snprintf (load->programs[i], sizeof load->programs[i], "load-%u", i);
      CU_ASSERT_TRUE (create_program (cluster, i % 3, load->programs[i]));
    }
  return load;
}

static void
load_run_batch (struct Load *load)
{
  struct CallThread threads[BATCH_SIZE];

  load->sequence++;
  for (uint32_t i = 0; i < BATCH_SIZE; i++)
    {
      struct TestCall call = { .address = load->cluster->instances[i % 3].address,
                               .program = load->programs[i],
                               .sequence = load->sequence,
                               .first_attempt = true };

      call.body = chat_body (load->cluster, "negotiation", load->programs[i], 30, false);
      call_thread_start (&threads[i], &call);
    }
  for (uint32_t i = 0; i < BATCH_SIZE; i++)
    {
      call_thread_join (&threads[i]);
      CU_ASSERT_EQUAL (threads[i].reply->status, 200);
      talloc_free (threads[i].reply);
    }
}

/* Returns whether two consecutive batches ran on the other engine only. */
static bool
load_avoids_leaving_engine (void *data)
{
  struct Load *load = data;
  size_t before = engine_log_size (load->cluster, LEAVING);

  load_run_batch (load);
  load_run_batch (load);
  return engine_log_size (load->cluster, LEAVING) == before;
}

static void
assert_no_new_work (struct Load *load)
{
  size_t before;

  CU_ASSERT_TRUE (wait_for (load_avoids_leaving_engine, load));
  before = engine_log_size (load->cluster, LEAVING);
  for (uint32_t i = 0; i < BATCHES_AFTER; i++)
    load_run_batch (load);
  CU_ASSERT_EQUAL (engine_log_size (load->cluster, LEAVING), before);
}

/* Only the platform's list, which lags, reports that an engine is leaving; the engine itself still
 * responds. The next turns of running programs are sent to the other engine although their prefixes
 * are cached on the leaving one. A stream that runs there at that moment is not interrupted. */
static void
test_leaving_in_the_list_only (void)
{
  struct Cluster *cluster = cluster_start (NULL, &two_engines);
  struct Load *load = load_new (cluster);
  struct TestCall call = { .address = cluster->instances[0].address,
                           .program = "streaming",
                           .sequence = 1,
                           .first_attempt = true,
                           .body = chat_body (cluster, "negotiation", "long", 600, true) };
  struct CallThread thread;

  load_run_batch (load);
  load_run_batch (load);
  CU_ASSERT_TRUE (engine_log_size (cluster, LEAVING) > 0);
  CU_ASSERT_TRUE (create_program (cluster, 0, "streaming"));
  call_thread_start (&thread, &call);
  CU_ASSERT_TRUE (wait_for_engine_runs (cluster, "streaming", 1));
  CU_ASSERT_TRUE (cluster_set_engine_leaving (cluster, LEAVING));
  assert_no_new_work (load);
  call_thread_join (&thread);
  CU_ASSERT_PTR_NOT_NULL (strstr (thread.reply->body, "data: [DONE]"));
  CU_ASSERT_EQUAL (cluster_engine_runs (cluster, "streaming"), 1);
  talloc_free (thread.reply);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The same while the platform's key-value service is down; the programs' turns are still served. */
static void
test_leaving_during_outage (void)
{
  struct Cluster *cluster = cluster_start (NULL, &two_engines);
  struct Load *load = load_new (cluster);

  load_run_batch (load);
  CU_ASSERT_TRUE (standin_control (cluster->platform.address, "{\"down\":{\"mode\":\"refuse\"}}"));
  CU_ASSERT_TRUE (cluster_set_engine_leaving (cluster, LEAVING));
  assert_no_new_work (load);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

const char test_suite_name[] = "leaving server";
const struct TestCase test_cases[] = {
  { "leaving in the list only", test_leaving_in_the_list_only },
  { "leaving while the key-value service is down", test_leaving_during_outage },
  { NULL, NULL },
};
