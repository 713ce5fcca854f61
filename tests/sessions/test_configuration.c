/* Promise: an accepted profile change is in force everywhere within seconds and never reverts. */
#include "calls.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

static const struct ClusterOptions three_instances = { .n_instances = 3 };

static const char share_1[] = "[profile]\\nname = dawn\\nshare = 1\\n";
static const char share_2[] = "[profile]\\nname = dawn\\nshare = 2\\n";

struct Change
{
  struct Cluster *cluster;
  uint32_t instance; /* that it is sent to */
  const char *change_id, *who;
  const char *text; /* of profile "dawn", as JSON has it */
  int64_t expected_revision;
  struct HttpReply *reply;
  pthread_t thread;
};

static void *
change_send (void *data)
{
  struct Change *change = data;
  char *body = talloc_asprintf (
      NULL,
      "{\"kind\":\"profile\",\"name\":\"dawn\",\"text\":\"%s\",\"change_id\":\"%s\",\"who\":\"%s\","
      "\"reason\":\"test\",\"expected_revision\":%lld}",
      change->text, change->change_id, change->who, (long long)change->expected_revision);

  change->reply =
      http_send (NULL, "POST", change->cluster->instances[change->instance].operator_address,
                 "/operator/changes", NULL, body);
  talloc_free (body);
  return NULL;
}

static uint32_t
change_status (struct Change *change)
{
  uint32_t status = 0;

  change_send (change);
  status = change->reply->status;
  talloc_free (change->reply);
  return status;
}

/* Revision of profile "dawn" at an instance, 0 when it has none. */
static int64_t
dawn_revision (struct Cluster *cluster, uint32_t i)
{
  struct HttpReply *reply =
      http_get (cluster, cluster->instances[i].operator_address, "/operator/profiles/dawn");
  int64_t revision = json_integer_value (json_object_get (reply->json, "revision"));

  talloc_free (reply);
  return revision;
}

struct Wanted
{
  struct Cluster *cluster;
  int64_t revision;
};

static bool
in_force_everywhere (void *data)
{
  const struct Wanted *wanted = data;

  for (uint32_t i = 0; i < wanted->cluster->options.n_instances; i++)
    if (dawn_revision (wanted->cluster, i) != wanted->revision)
      return false;
  return true;
}

static size_t
audit_length (struct Cluster *cluster, uint32_t i)
{
  struct HttpReply *reply =
      http_get (cluster, cluster->instances[i].operator_address, "/operator/audit");
  size_t n = json_array_size (json_object_get (reply->json, "changes"));

  talloc_free (reply);
  return n;
}

/* Six operators save their own edit of one profile at the same moment, through all instances. One
 * wins and is in force everywhere; five are told of the conflict; the audit trail has two changes.
 */
static void
test_operators_race (void)
{
  enum
  {
    N = 6
  };
  static const char *const ids[N] = { "r1", "r2", "r3", "r4", "r5", "r6" };
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct Change first = { .cluster = cluster, .change_id = "c1", .who = "asha", .text = share_1 };
  struct Wanted wanted = { cluster, 1 };
  struct Change races[N];
  uint32_t n_won = 0;

  CU_ASSERT_EQUAL (change_status (&first), 200);
  CU_ASSERT_TRUE (wait_for (in_force_everywhere, &wanted));
  for (uint32_t i = 0; i < N; i++)
    {
      races[i] = first;
      races[i].instance = i % 3;
      races[i].change_id = ids[i];
      races[i].text = share_2;
      races[i].expected_revision = 1;
      pthread_create (&races[i].thread, NULL, change_send, &races[i]);
    }
  for (uint32_t i = 0; i < N; i++)
    {
      pthread_join (races[i].thread, NULL);
      n_won += races[i].reply->status == 200;
      CU_ASSERT_TRUE (races[i].reply->status == 200 || races[i].reply->status == 409);
      talloc_free (races[i].reply);
    }
  CU_ASSERT_EQUAL (n_won, 1);
  wanted.revision = 2;
  CU_ASSERT_TRUE (wait_for (in_force_everywhere, &wanted));
  CU_ASSERT_EQUAL (audit_length (cluster, 2), 2);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The platform takes a change and its answer is lost. The operator gets the one true answer, and
 * the same again when asking through another instance: the change was made once. */
static void
test_platforms_answer_is_lost (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct Change change = { .cluster = cluster, .change_id = "c1", .who = "ivo", .text = share_1 };
  struct Wanted wanted = { cluster, 1 };

  CU_ASSERT_TRUE (http_control (cluster->platform.address, "{\"lose_answers\":1}"));
  CU_ASSERT_EQUAL (change_status (&change), 200);
  change.instance = 1;
  CU_ASSERT_EQUAL (change_status (&change), 200);
  CU_ASSERT_TRUE (wait_for (in_force_everywhere, &wanted));
  CU_ASSERT_EQUAL (audit_length (cluster, 0), 1);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The platform is down and an instance is replaced meanwhile. A change is refused and has no
 * effect, then or later; the new instance has the configuration from its peers. */
static void
test_instance_replaced_in_an_outage (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct Change change = { .cluster = cluster, .change_id = "c1", .who = "asha", .text = share_1 };
  struct Wanted wanted = { cluster, 1 };

  CU_ASSERT_EQUAL (change_status (&change), 200);
  CU_ASSERT_TRUE (wait_for (in_force_everywhere, &wanted));
  CU_ASSERT_TRUE (http_control (cluster->platform.address, "{\"down\":{\"mode\":\"refuse\"}}"));
  change.change_id = "c2";
  change.text = share_2;
  change.expected_revision = 1;
  CU_ASSERT_EQUAL (change_status (&change), 503);
  process_kill (cluster->instances[2].process);
  CU_ASSERT_TRUE (cluster_start_instance (cluster, 2));
  CU_ASSERT_TRUE (wait_for (in_force_everywhere, &wanted));
  CU_ASSERT_TRUE (http_control (cluster->platform.address, "{\"down\":null}"));
  CU_ASSERT_EQUAL (audit_length (cluster, 0), 1);
  change.change_id = "c3";
  CU_ASSERT_EQUAL (change_status (&change), 200);
  wanted.revision = 2;
  CU_ASSERT_TRUE (wait_for (in_force_everywhere, &wanted));
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

const char test_suite_name[] = "configuration";
const struct TestCase test_cases[] = {
  { "operators race", test_operators_race },
  { "platform's answer is lost", test_platforms_answer_is_lost },
  { "instance replaced in an outage", test_instance_replaced_in_an_outage },
  { NULL, NULL },
};
