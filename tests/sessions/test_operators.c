/* Runs ctl against real instances. Guards against differences between the fields that ctl reads and
 * those that the daemon sends, and against wrong results for operators during outages and hand-offs
 * of partitions. */
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

/* Runs ctl against instance i with the arguments in line, separated by spaces. */
static struct Ctl *
ctl_run (struct Cluster *cluster, uint32_t i, const char *line)
{
  struct Ctl *ctl = talloc_zero (cluster, struct Ctl);
  char *arguments =
      talloc_asprintf (ctl, "ctl --operator %s %s", cluster->instances[i].operator_address, line);
  char *argv[ARGUMENTS_MAX + 1];
  char *rest = NULL;
  char *out = NULL;
  char *err = NULL;
  size_t out_bytes;
  size_t err_bytes;
  struct CommandIo io = { open_memstream (&out, &out_bytes), open_memstream (&err, &err_bytes) };
  int argc = 0;

  for (char *argument = strtok_r (arguments, " ", &rest); argument != NULL && argc < ARGUMENTS_MAX;
       argument = strtok_r (NULL, " ", &rest))
    argv[argc++] = argument;
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

/* Returns whether no cell of the first row is "-", which ctl prints for a key that the daemon does
 * not send. */
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
    fprintf (stderr, "%s: row of %d cells is empty or has a cell without a value\n", line, n_cells);
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
third_instance_is_drained (void *data)
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

/* An operator's usual work: a profile is created, in force everywhere, edited from the output of
 * "profile show" and changed with an outdated revision; a service is set to it; an instance is
 * drained and put back; the audit trail has all changes. */
static void
test_operator_work (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  const char *shown_file;
  struct Ctl *ctl;

  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, "profile apply " SOURCE_FOLDER "/examples/hiring.ini"),
                   EXIT_CODE_OK);
  CU_ASSERT_TRUE (wait_for (profile_is_everywhere, cluster));
  CU_ASSERT_EQUAL (ctl_exit (cluster, 1, "profile apply " SOURCE_FOLDER "/examples/hiring.ini"),
                   EXIT_CODE_CONFLICT);
  ctl = ctl_run (cluster, 1, "profile show hiring");
  CU_ASSERT_EQUAL (ctl->exit_code, EXIT_CODE_OK);
  shown_file = session_write_file (cluster->session, "shown.ini", ctl->out);
  talloc_free (ctl);
  ctl = talloc_zero (cluster, struct Ctl);
  ctl->out = talloc_asprintf (ctl, "profile apply %s", shown_file);
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
  CU_ASSERT_TRUE (wait_for (third_instance_is_drained, cluster));
  ctl->out = talloc_asprintf (ctl, "drain %s --off", cluster->instances[2].name);
  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, ctl->out), EXIT_CODE_OK);
  talloc_free (ctl);
  ctl = ctl_run (cluster, 0, "audit --json");
  CU_ASSERT_PTR_NOT_NULL (strstr (ctl->out, "\"revision\": 5"));
  CU_ASSERT_PTR_NULL (strstr (ctl->out, "\"revision\": 6"));
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* Each column of a table is a field that the daemon sends. */
static void
test_tables_have_all_columns (void)
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

/* An operator lists programs while an instance is stopped and started again, and its partitions are
 * handed over and back. The fault: between the moments at which one instance loses a partition and
 * another gains it, neither listed its programs, and they were missing without any sign of it. */
static void
test_program_list_complete_during_handoff (void)
{
  enum
  {
    N_PROGRAMS = 24,
    N_MOVES = 3
  };
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  const struct ClusterNode *restarted = &cluster->instances[2];
  uint32_t n_listed = 0, n_incomplete = 0;

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
      int64_t end_ms = monotonic_ms () + 2500;

      if (i % 2 == 0)
        process_signal (restarted->process, SIGTERM);
      else
        CU_ASSERT_TRUE (cluster_start_instance (cluster, 2));
      while (monotonic_ms () < end_ms || (i % 2 == 0 && process_is_running (restarted->process)))
        {
          struct HttpReply *reply =
              http_get (NULL, cluster->instances[0].operator_address, "/operator/programs");
          const json_t *body = reply->json;

          if (reply->status == 200
              && json_integer_value (json_object_get (body, "partitions_missing")) == 0)
            {
              n_listed++;
              n_incomplete += json_array_size (json_object_get (body, "programs")) != N_PROGRAMS;
            }
          talloc_free (reply);
        }
    }
  CU_ASSERT (n_listed > 0);
  CU_ASSERT_EQUAL (n_incomplete, 0);
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
status_shows_platform_down (void *data)
{
  struct Ctl *ctl = ctl_run (data, 0, "status");
  bool down = strstr (ctl->out, "up for 0 of 3 instances") != NULL
              && strstr (ctl->out, "Needs a person:") != NULL;

  talloc_free (ctl);
  return down;
}

static bool
profile_is_accepted (void *data)
{
  return ctl_exit (data, 0, "profile apply " SOURCE_FOLDER "/examples/hiring.ini") == EXIT_CODE_OK;
}

/* The platform is down when an operator changes a profile: the change is refused and never applied,
 * and the status reports the outage. After it, the response to a change is lost; the change is
 * applied once. */
static void
test_changes_during_outage (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct Ctl *ctl;

  /* An instance that has not joined yet is missing in every instance's status. */
  CU_ASSERT_TRUE (wait_for (all_have_joined, cluster));
  CU_ASSERT_TRUE (standin_control (cluster->platform.address, "{\"down\":{\"mode\":\"refuse\"}}"));
  CU_ASSERT_TRUE (wait_for (status_shows_platform_down, cluster));
  CU_ASSERT_EQUAL (ctl_exit (cluster, 0, "profile apply " SOURCE_FOLDER "/examples/menu.ini"),
                   EXIT_CODE_FAILED);
  CU_ASSERT_TRUE (standin_control (cluster->platform.address, "{\"down\":null}"));
  CU_ASSERT_TRUE (wait_for (profile_is_accepted, cluster));
  CU_ASSERT_TRUE (standin_control (cluster->platform.address, "{\"lose_answers\":2}"));
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
  { "operator's usual work", test_operator_work },
  { "tables have all columns", test_tables_have_all_columns },
  { "program list is complete while partitions move", test_program_list_complete_during_handoff },
  { "changes during an outage", test_changes_during_outage },
  { NULL, NULL },
};
