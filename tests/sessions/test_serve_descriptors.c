/* Checks that an instance with fewer descriptors than its callers want keeps serving. */
#include "test_main.h"

#include "cluster.h"
#include "fakes/raw_socket.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  DESCRIPTORS = 64,
  N_CALLERS = 100,
  FULL_MS = 3000,
  CPU_PERCENT_MAX = 33 /* threads that spin take more than 100 */
};

static const struct ClusterOptions one_instance = {
  .n_instances = 1, .n_engines = 1, .n_tools = 1, .instance_descriptors = DESCRIPTORS
};

/* Guards against HTTP threads that spin when callers want more connections than the instance has
 * descriptors. */
static void
test_an_instance_full_of_callers_does_not_spin (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct Cluster *cluster = cluster_start (ctx, &one_instance);
  const struct ClusterNode *node = &cluster->instances[0];
  int fds[N_CALLERS];
  int64_t cpu_ms, start_ms;

  for (uint32_t i = 0; i < N_CALLERS; i++)
    fds[i] = raw_connect (address_port (node->address));
  start_ms = monotonic_ms ();
  cpu_ms = process_cpu_ms (node->process);
  sleep_ms (FULL_MS);
  cpu_ms = process_cpu_ms (node->process) - cpu_ms;
  CU_ASSERT (cpu_ms * 100 < (monotonic_ms () - start_ms) * CPU_PERCENT_MAX);
  CU_ASSERT (wait_for_response (node->operator_address, "/"));
  for (uint32_t i = 0; i < N_CALLERS; i++)
    close (fds[i]);
  CU_ASSERT (wait_for_response (node->address, "/v1/connect"));
  cluster_stop (cluster, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "serve_descriptors";
const struct TestCase test_cases[] = {
  { "an instance full of callers does not spin", test_an_instance_full_of_callers_does_not_spin },
  { NULL, NULL },
};
