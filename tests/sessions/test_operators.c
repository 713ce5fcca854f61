/* What operators see and do: ctl before real instances, so that its screens and the daemon's
 * answers can not drift apart. */
#include "calls.h"
#include "test_main.h"

#include <command.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ARGUMENTS_MAX = 16,
  N_INSTANCES = 3
};

static const struct ClusterOptions three_instances = { .n_instances = N_INSTANCES,
                                                       .n_engines = 1,
                                                       .n_tools = 1 };

struct Ctl
{
  int exit_code;
  char *out, *err;
};

/* ctl with the words of line, asking instance i. */
static struct Ctl *
ctl_run (struct Cluster *cluster, uint32_t i, const char *line)
{
  struct Ctl *ctl = talloc_zero (cluster, struct Ctl);
  char *words =
      talloc_asprintf (ctl, "ctl --operator %s %s", cluster->instances[i].operator_address, line);
  char *argv[ARGUMENTS_MAX + 1];
  char *rest = NULL;
  char *out = NULL;
  char *err = NULL;
  size_t out_bytes;
  size_t err_bytes;
  struct CommandIo io = { open_memstream (&out, &out_bytes), open_memstream (&err, &err_bytes) };
  int argc = 0;

  for (char *word = strtok_r (words, " ", &rest); word != NULL && argc < ARGUMENTS_MAX;
       word = strtok_r (NULL, " ", &rest))
    argv[argc++] = word;
  argv[argc] = NULL;
  ctl->exit_code = command_ctl (argc, argv, &io);
  fclose (io.out);
  fclose (io.err);
  ctl->out = talloc_strdup (ctl, out);
  ctl->err = talloc_strdup (ctl, err);
  free (out);
  free (err);
  return ctl;
}

static int
ctl_exit (struct Cluster *cluster, uint32_t i, const char *line)
{
  struct Ctl *ctl = ctl_run (cluster, i, line);
  int exit_code = ctl->exit_code;

  talloc_free (ctl);
  return exit_code;
}

/* The second line's cells: a "-" is a key that ctl asks for and the daemon does not send. */
static bool
first_row_is_complete (struct Cluster *cluster, const char *line)
{
  struct Ctl *ctl = ctl_run (cluster, 0, line);
  char *rest = NULL;
  char *row = strtok_r (ctl->out, "\n", &rest);
  bool complete = true;
  int n_cells = 0;

  row = row != NULL ? strtok_r (NULL, "\n", &rest) : NULL;
  if (row != NULL)
    for (char *cell = strtok_r (row, " ", &rest); cell != NULL; cell = strtok_r (NULL, " ", &rest))
      {
        complete = complete && strcmp (cell, "-") != 0;
        n_cells++;
      }
  if (!complete || n_cells == 0)
    fprintf (stderr, "%s: %d cells, one is missing\n", line, n_cells);
  talloc_free (ctl);
  return complete && n_cells > 0;
}

static bool
profile_is_everywhere (void *data)
{
  struct Cluster *cluster = data;
  struct Ctl *ctl = ctl_run (cluster, 0, "status");
  bool everywhere = strstr (ctl->out, "in force on 3 of 3 instances") != NULL
                    && strstr (ctl->out, "revision 0 ") == NULL;

  talloc_free (ctl);
  return everywhere;
}

static bool
third_is_drained (void *data)
{
  struct Cluster *cluster = data;
  struct Ctl *ctl = ctl_run (cluster, 0, "instances --json");
  json_t *body = json_loads (ctl->out, 0, NULL);
  json_t *instances = json_object_get (body, "instances");
  bool drained = false;

  for (size_t i = 0; i < json_array_size (instances); i++)
    {
      json_t *instance = json_array_get (instances, i);
      const char *name = json_string_value (json_object_get (instance, "instance"));
      const char *state = json_string_value (json_object_get (instance, "state"));

      if (name != NULL && state != NULL && strcmp (name, cluster->instances[2].name) == 0)
        drained = strcmp (state, "draining") == 0
                  && json_integer_value (json_object_get (instance, "partitions")) == 0;
    }
  json_decref (body);
  talloc_free (ctl);
  return drained;
}

/* One shift: a profile is created, seen everywhere, edited from what was shown, raced; a service
 * runs under it; an instance is drained and taken back; the audit trail has it all. */
static void
test_a_shift (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  const char *shown;
  struct Ctl *ctl;

  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, "profile apply " SOURCE_FOLDER "/examples/hiring.ini"),
                   EXIT_CODE_OK);
  CU_ASSERT_TRUE (wait_for (profile_is_everywhere, cluster));
  CU_ASSERT_EQUAL (ctl_exit (cluster, 1, "profile apply " SOURCE_FOLDER "/examples/hiring.ini"),
                   EXIT_CODE_CONFLICT);
  ctl = ctl_run (cluster, 1, "profile show hiring");
  CU_ASSERT_EQUAL (ctl->exit_code, EXIT_CODE_OK);
  shown = session_write_file (cluster->session, "shown.ini", ctl->out);
  talloc_free (ctl);
  ctl = talloc_zero (cluster, struct Ctl);
  ctl->out = talloc_asprintf (ctl, "profile apply %s", shown);
  CU_ASSERT_EQUAL (ctl_exit (cluster, 1, ctl->out), EXIT_CODE_OK);
  CU_ASSERT_EQUAL (ctl_exit (cluster, 1, ctl->out), EXIT_CODE_CONFLICT);
  talloc_free (ctl);
  CU_ASSERT_EQUAL (ctl_exit (cluster, 1, "service set hiring-agents --profile hiring"),
                   EXIT_CODE_OK);
  CU_ASSERT_EQUAL (ctl_exit (cluster, 1, "service set hiring-agents --profile nosuch"),
                   EXIT_CODE_USAGE);
  ctl = talloc_zero (cluster, struct Ctl);
  ctl->out = talloc_asprintf (ctl, "drain %s", cluster->instances[2].name);
  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, ctl->out), EXIT_CODE_OK);
  CU_ASSERT_TRUE (wait_for (third_is_drained, cluster));
  ctl->out = talloc_asprintf (ctl, "drain %s --off", cluster->instances[2].name);
  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, ctl->out), EXIT_CODE_OK);
  talloc_free (ctl);
  ctl = ctl_run (cluster, 0, "audit --json");
  CU_ASSERT_PTR_NOT_NULL (strstr (ctl->out, "\"revision\": 5"));
  CU_ASSERT_PTR_NULL (strstr (ctl->out, "\"revision\": 6"));
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* Each table's columns are fields that the daemon sends. */
static void
test_tables_have_no_gaps (void)
{
  static const char *const tables[] = {
    "instances", "backends", "programs", "profile list", "service list", "audit --kind service",
  };
  struct Cluster *cluster = cluster_start (NULL, &three_instances);

  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, "profile apply " SOURCE_FOLDER "/examples/menu.ini"),
                   EXIT_CODE_OK);
  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, "service set menu-agents --profile menu --reason tables"),
                   EXIT_CODE_OK);
  CU_ASSERT_TRUE (create_program (cluster, 0, "tables-1"));
  for (size_t i = 0; i < sizeof tables / sizeof tables[0]; i++)
    CU_ASSERT_TRUE (first_row_is_complete (cluster, tables[i]));
  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, "programs tables-1"), EXIT_CODE_OK);
  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, "programs tables-2"), EXIT_CODE_FAILED);
  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, "counters"), EXIT_CODE_OK);
  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, "watch --count 1"), EXIT_CODE_OK);
  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, "change nosuch"), EXIT_CODE_FAILED);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* A shift lists programs while an instance leaves as planned and joins again, and its partitions
 * are handed over and back. Between the moment in which one instance loses a partition and the
 * other gains it, neither listed its programs: some were missing, as if they did not exist. */
static void
test_a_listing_misses_nothing_while_partitions_move (void)
{
  enum
  {
    N_PROGRAMS = 24,
    N_MOVES = 3
  };
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  const struct ClusterNode *moved = &cluster->instances[2];
  uint32_t n_listed = 0, n_with_gaps = 0;

  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, "profile apply " SOURCE_FOLDER "/examples/menu.ini"),
                   EXIT_CODE_OK);
  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, "service set menu-agents --profile menu --reason list"),
                   EXIT_CODE_OK);
  CU_ASSERT_TRUE (cluster_wait_partitions_stable (cluster));
  for (uint32_t i = 0; i < N_PROGRAMS; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "listed-%u", i);
      CU_ASSERT_TRUE (create_program (cluster, 0, name));
    }
  for (uint32_t i = 0; i < 2 * N_MOVES; i++)
    {
      int64_t until_ms = monotonic_ms () + 2500;

      if (i % 2 == 0)
        process_signal (moved->process, SIGTERM);
      else
        CU_ASSERT_TRUE (cluster_start_instance (cluster, 2));
      while (monotonic_ms () < until_ms || (i % 2 == 0 && process_is_alive (moved->process)))
        {
          struct HttpReply *reply =
              http_get (NULL, cluster->instances[0].operator_address, "/operator/programs");
          const json_t *body = reply->json;

          if (reply->status == 200
              && json_integer_value (json_object_get (body, "partitions_missing")) == 0)
            {
              n_listed++;
              n_with_gaps += json_array_size (json_object_get (body, "programs")) != N_PROGRAMS;
            }
          talloc_free (reply);
        }
    }
  CU_ASSERT (n_listed > 0);
  CU_ASSERT_EQUAL (n_with_gaps, 0);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

static bool
all_have_joined (void *data)
{
  struct Cluster *cluster = data;
  uint32_t n_complete = 0;

  for (uint32_t i = 0; i < N_INSTANCES; i++)
    {
      struct Ctl *ctl = ctl_run (cluster, i, "status");

      if (strstr (ctl->out, "up for 3 of 3 instances") != NULL)
        n_complete++;
      talloc_free (ctl);
    }
  return n_complete == N_INSTANCES;
}

static bool
platform_is_seen_down (void *data)
{
  struct Ctl *ctl = ctl_run (data, 0, "status");
  bool down = strstr (ctl->out, "up for 0 of 3 instances") != NULL
              && strstr (ctl->out, "Needs a person:") != NULL;

  talloc_free (ctl);
  return down;
}

static bool
profile_is_taken (void *data)
{
  return ctl_exit (data, 0, "profile apply " SOURCE_FOLDER "/examples/hiring.ini") == EXIT_CODE_OK;
}

/* The platform is down when an operator changes a profile: refused and not applied, now or later.
 * The status says why. The answer to a change that is made when it is back gets lost: applied once.
 */
static void
test_changes_meet_an_outage (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct Ctl *ctl;

  /* An instance that has not joined yet is in nobody's status. */
  CU_ASSERT_TRUE (wait_for (all_have_joined, cluster));
  CU_ASSERT_TRUE (http_control (cluster->platform.address, "{\"down\":{\"mode\":\"refuse\"}}"));
  CU_ASSERT_TRUE (wait_for (platform_is_seen_down, cluster));
  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, "profile apply " SOURCE_FOLDER "/examples/menu.ini"),
                   EXIT_CODE_FAILED);
  CU_ASSERT_TRUE (http_control (cluster->platform.address, "{\"down\":null}"));
  CU_ASSERT_TRUE (wait_for (profile_is_taken, cluster));
  CU_ASSERT_TRUE (http_control (cluster->platform.address, "{\"lose_answers\":2}"));
  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, "service set hiring-agents --profile hiring --settle 30s"),
                   EXIT_CODE_OK);
  ctl = ctl_run (cluster, 0, "audit --json");
  CU_ASSERT_PTR_NULL (strstr (ctl->out, "\"menu\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (ctl->out, "\"revision\": 2"));
  CU_ASSERT_PTR_NULL (strstr (ctl->out, "\"revision\": 3"));
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

const char test_suite_name[] = "operators";
const struct TestCase test_cases[] = {
  { "a shift", test_a_shift },
  { "tables have no gaps", test_tables_have_no_gaps },
  { "a listing misses nothing while partitions move",
    test_a_listing_misses_nothing_while_partitions_move },
  { "changes meet an outage", test_changes_meet_an_outage },
  { NULL, NULL },
};
