/* Checks that a condition of the machine that passes ends no process while it starts or ends. */
#include "cluster.h"
#include "test_main.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  N_EACH = 4, /* subjects of each role */
  N_SUBJECTS = 3 * N_EACH,
  BURST_PERIOD_US = 200,
  DRAW_MAX_US = 60 * 1000,
  N_ROUNDS = 2,
  SEED = 41
};

enum Role
{
  ROLE_GATEWAY,
  ROLE_ARCHIVE,
  ROLE_SERVE,
  N_ROLES
};

/* A process that is started again and again, each time with an output of its own. */
struct Subject
{
  enum Role role;
  char name[32];
  const char *file; /* settings */
  struct Process *process;
  uint32_t n_starts;
};

struct Subjects
{
  struct Cluster *cluster;
  struct Session *session; /* of the cluster */
  struct Subject subjects[N_SUBJECTS];
  uint32_t n_failed_before;
};

static const struct ClusterOptions cluster_options = { .n_instances = N_EACH };

static char *
listen_lines (struct Session *session, TALLOC_CTX *ctx, enum Role role)
{
  char *text = talloc_strdup (ctx, "[listen]\n");
  static const char *const names[] = { "peer", "metrics", "caller", "ready", "directory" };
  size_t n = role == ROLE_GATEWAY ? 5 : 2;

  for (size_t i = 0; i < n; i++)
    text = talloc_asprintf_append (text, "%s = 127.0.0.1:%u\n", names[i],
                                   session_allocate_port (session));
  return text;
}

/* Writes the settings of a gateway or archive without a store. */
static const char *
subject_write_settings (struct Session *session, const struct Subject *subject)
{
  char *folder = talloc_strdup (session, "");
  const char *file;
  char *text;

  if (subject->role == ROLE_ARCHIVE)
    folder = talloc_asprintf (session, "data_folder = %s/%s.data\n", session_folder (session),
                              subject->name);
  text = talloc_asprintf (session,
                          "[instance]\nname = %s\nzone = a\n%s%s[platform]\n"
                          "store = http://127.0.0.1:%u\n[stop]\ngrace = 6s\n",
                          subject->name, folder, listen_lines (session, folder, subject->role),
                          session_allocate_port (session));
  file = session_write_file (session, talloc_asprintf (text, "%s.ini", subject->name), text);
  talloc_free (text);
  talloc_free (folder);
  return file;
}

static struct Subjects *
subjects_new (void)
{
  static const char *const names[] = { "front", "store", "entry" };
  struct Cluster *cluster = cluster_start (NULL, &cluster_options);
  struct Subjects *all = talloc_zero (cluster, struct Subjects);

  all->cluster = cluster;
  all->session = cluster->session;
  all->n_failed_before = CU_get_number_of_failures ();
  for (uint32_t i = 0; i < N_SUBJECTS; i++)
    {
      struct Subject *s = &all->subjects[i];

      s->role = (enum Role) (i % N_ROLES);
      snprintf (s->name, sizeof s->name, "%s-%u", names[s->role], i / N_ROLES);
      if (s->role != ROLE_SERVE)
        s->file = subject_write_settings (all->session, s);
      else
        {
          process_kill (cluster->instances[i / N_ROLES].process);
          s->file = cluster->instances[i / N_ROLES].file;
        }
    }
  return all;
}

static void
subjects_free (struct Subjects *all)
{
  cluster_stop (all->cluster, CU_get_number_of_failures () > all->n_failed_before);
}

static void
subject_start (struct Subjects *all, struct Subject *subject)
{
  const char *command = subject->role == ROLE_SERVE ? "serve" : "gateway";
  const char *const argv[] = { daemon_path (), command, "--config", subject->file, NULL };
  char name[48];

  snprintf (name, sizeof name, "%s.%u", subject->name, subject->n_starts++);
  subject->process = session_start (all->session, name, argv);
}

static bool
subject_logged (const struct Subject *subject, const char *event)
{
  char *output = process_output (NULL, subject->process);
  char *text = talloc_asprintf (output, "\"event\":\"%s\"", event);
  bool found = strstr (output, text) != NULL;

  talloc_free (output);
  return found;
}

/* Prints what a failed assertion does not show. */
static void
subject_report (const struct Subject *subject)
{
  char *output = process_output (NULL, subject->process);

  fprintf (stderr, "\n%s: %s, exit status %d\n%s", subject->process->name,
           subject->process->pid != 0 ? "running" : "ended", subject->process->exit_status, output);
  talloc_free (output);
}

static void
subject_check (const struct Subject *subject, bool holds)
{
  CU_ASSERT_TRUE (holds);
  if (!holds)
    subject_report (subject);
}

static void
subject_check_stopped (struct Subject *subject)
{
  subject_check (subject, process_wait (subject->process) && subject->process->exit_status == 0
                              && subject_logged (subject, "stopped"));
}

typedef bool (*SubjectFn) (struct Subject *subject);

/* Calls each for every subject until all calls return true at once. */
static void
subjects_until (struct Subjects *all, uint32_t n, SubjectFn each)
{
  int64_t end_ms = monotonic_ms () + WAIT_LIMIT_MS;
  bool done = false;

  while (!done && monotonic_ms () < end_ms)
    {
      done = true;
      for (uint32_t i = 0; i < n; i++)
        done = each (&all->subjects[i]) && done;
      usleep (BURST_PERIOD_US);
    }
  CU_ASSERT_TRUE (done);
}

static bool
hang_up_until_started (struct Subject *subject)
{
  if (subject_logged (subject, "starting"))
    process_signal (subject->process, SIGHUP);
  return !process_is_running (subject->process) || subject_logged (subject, "started");
}

static bool
signal_until_ended (struct Subject *subject)
{
  if (subject_logged (subject, "stop_asked"))
    {
      process_signal (subject->process, SIGHUP);
      process_signal (subject->process, SIGTERM);
    }
  return !process_is_running (subject->process);
}

static void
test_bursts_of_signals_end_no_process (void)
{
  struct Subjects *all = subjects_new ();

  for (uint32_t i = 0; i < N_ROLES; i++)
    subject_start (all, &all->subjects[i]);
  subjects_until (all, N_ROLES, hang_up_until_started);
  for (uint32_t i = 0; i < N_ROLES; i++)
    subject_check (&all->subjects[i], process_signal (all->subjects[i].process, SIGTERM));
  subjects_until (all, N_ROLES, signal_until_ended);
  for (uint32_t i = 0; i < N_ROLES; i++)
    subject_check_stopped (&all->subjects[i]);
  subjects_free (all);
}

/* Signals of one subject. A signal before main has the default action, so that a process may end by
 * one before it logs anything. */
static void
subject_draw_signals (struct Subject *subject)
{
  uint32_t kinds = 1 + (uint32_t)rand () % 3;

  usleep ((uint32_t)rand () % DRAW_MAX_US / N_SUBJECTS);
  if ((kinds & 1) != 0)
    process_signal (subject->process, SIGHUP);
  if ((kinds & 2) != 0)
    process_signal (subject->process, SIGTERM);
}

static bool
subject_ended_before_main (struct Subject *subject)
{
  return !process_is_running (subject->process) && subject->process->exit_status < 0
         && !subject_logged (subject, "starting");
}

static bool
subject_is_settled (struct Subject *subject)
{
  return !process_is_running (subject->process) || subject_logged (subject, "started");
}

static void
subject_check_draw (struct Subject *subject)
{
  if (subject_ended_before_main (subject))
    return;
  process_signal (subject->process, SIGTERM);
  subject_check_stopped (subject);
}

static void
test_signals_at_drawn_moments_end_no_process (void)
{
  struct Subjects *all = subjects_new ();

  srand (SEED);
  for (uint32_t round = 0; round < N_ROUNDS; round++)
    {
      for (uint32_t i = 0; i < N_SUBJECTS; i++)
        subject_start (all, &all->subjects[i]);
      for (uint32_t i = 0; i < N_SUBJECTS; i++)
        subject_draw_signals (&all->subjects[i]);
      subjects_until (all, N_SUBJECTS, subject_is_settled);
      for (uint32_t i = 0; i < N_SUBJECTS; i++)
        process_signal (all->subjects[i].process, SIGTERM);
      for (uint32_t i = 0; i < N_SUBJECTS; i++)
        subject_check_draw (&all->subjects[i]);
    }
  subjects_free (all);
}

const char test_suite_name[] = "start of processes";
const struct TestCase test_cases[] = {
  { "bursts of signals end no process", test_bursts_of_signals_end_no_process },
  { "signals at drawn moments end no process", test_signals_at_drawn_moments_end_no_process },
  { NULL, NULL },
};
