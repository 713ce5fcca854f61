/* Checks that an accepted profile change is in force on every instance within seconds and never
 * reverts, that a refused one has no effect, and that a change is made once when its response is
 * lost. */
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
  uint32_t instance; /* index of the instance that receives it */
  const char *change_id, *who;
  const char *text; /* of profile "dawn", escaped for JSON */
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
change_send_status (struct Change *change)
{
  uint32_t status = 0;

  change_send (change);
  status = change->reply->status;
  talloc_free (change->reply);
  return status;
}

/* Returns the revision of profile "dawn" on an instance, 0 if it has none. */
static int64_t
dawn_revision (struct Cluster *cluster, uint32_t i)
{
  struct HttpReply *reply =
      http_get (cluster, cluster->instances[i].operator_address, "/operator/profiles/dawn");
  int64_t revision = json_integer_value (json_object_get (reply->json, "revision"));

  talloc_free (reply);
  return revision;
}

struct RevisionWanted
{
  struct Cluster *cluster;
  int64_t revision;
};

static bool
in_force_everywhere (void *data)
{
  const struct RevisionWanted *wanted = data;

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

/* Six operators change the same profile at the same time, through all instances. One change
 * succeeds and is in force everywhere, five get a conflict, and the audit trail has two changes. */
static void
test_concurrent_changes (void)
{
  enum
  {
    N_CHANGES = 6
  };
  static const char *const ids[N_CHANGES] = { "r1", "r2", "r3", "r4", "r5", "r6" };
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct Change first = { .cluster = cluster, .change_id = "c1", .who = "asha", .text = share_1 };
  struct RevisionWanted wanted = { cluster, 1 };
  struct Change changes[N_CHANGES];
  uint32_t n_accepted = 0;

  CU_ASSERT_EQUAL (change_send_status (&first), 200);
  CU_ASSERT_TRUE (wait_for (in_force_everywhere, &wanted));
  for (uint32_t i = 0; i < N_CHANGES; i++)
    {
      changes[i] = first;
      changes[i].instance = i % 3;
      changes[i].change_id = ids[i];
      changes[i].text = share_2;
      changes[i].expected_revision = 1;
      pthread_create (&changes[i].thread, NULL, change_send, &changes[i]);
    }
  for (uint32_t i = 0; i < N_CHANGES; i++)
    {
      pthread_join (changes[i].thread, NULL);
      n_accepted += changes[i].reply->status == 200;
      CU_ASSERT_TRUE (changes[i].reply->status == 200 || changes[i].reply->status == 409);
      talloc_free (changes[i].reply);
    }
  CU_ASSERT_EQUAL (n_accepted, 1);
  wanted.revision = 2;
  CU_ASSERT_TRUE (wait_for (in_force_everywhere, &wanted));
  CU_ASSERT_EQUAL (audit_length (cluster, 2), 2);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The platform stores a change and its response is lost. The operator gets the actual result, and
 * the same result for a repeat through another instance: the change was made once. */
static void
test_platform_response_lost (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct Change change = { .cluster = cluster, .change_id = "c1", .who = "ivo", .text = share_1 };
  struct RevisionWanted wanted = { cluster, 1 };

  CU_ASSERT_TRUE (standin_control (cluster->platform.address, "{\"lose_answers\":1}"));
  CU_ASSERT_EQUAL (change_send_status (&change), 200);
  change.instance = 1;
  CU_ASSERT_EQUAL (change_send_status (&change), 200);
  CU_ASSERT_TRUE (wait_for (in_force_everywhere, &wanted));
  CU_ASSERT_EQUAL (audit_length (cluster, 0), 1);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* An instance is replaced while the platform is down. A change is refused and has no effect, then
 * or later; the new instance gets the configuration from its peers. */
static void
test_instance_replaced_in_an_outage (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct Change change = { .cluster = cluster, .change_id = "c1", .who = "asha", .text = share_1 };
  struct RevisionWanted wanted = { cluster, 1 };

  CU_ASSERT_EQUAL (change_send_status (&change), 200);
  CU_ASSERT_TRUE (wait_for (in_force_everywhere, &wanted));
  CU_ASSERT_TRUE (standin_control (cluster->platform.address, "{\"down\":{\"mode\":\"refuse\"}}"));
  change.change_id = "c2";
  change.text = share_2;
  change.expected_revision = 1;
  CU_ASSERT_EQUAL (change_send_status (&change), 503);
  process_kill (cluster->instances[2].process);
  CU_ASSERT_TRUE (cluster_start_instance (cluster, 2));
  CU_ASSERT_TRUE (wait_for (in_force_everywhere, &wanted));
  CU_ASSERT_TRUE (standin_control (cluster->platform.address, "{\"down\":null}"));
  CU_ASSERT_EQUAL (audit_length (cluster, 0), 1);
  change.change_id = "c3";
  CU_ASSERT_EQUAL (change_send_status (&change), 200);
  wanted.revision = 2;
  CU_ASSERT_TRUE (wait_for (in_force_everywhere, &wanted));
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

const char test_suite_name[] = "configuration";
const struct TestCase test_cases[] = {
  { "concurrent changes", test_concurrent_changes },
  { "platform's response is lost", test_platform_response_lost },
  { "instance replaced in an outage", test_instance_replaced_in_an_outage },
  { NULL, NULL },
};
