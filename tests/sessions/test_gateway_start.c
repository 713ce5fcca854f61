/* Checks that a condition of the machine that passes ends no process while it starts or ends. */
#include "gateways.h"
#include "subjects.h"
#include "test_main.h"

#include "fakes/raw_socket.h"

#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum
{
  DRAW_MAX_US = 60 * 1000,
  N_ROUNDS = 2,
  HELD_MS = 1500,
  ATTEMPTS_MS = 1500,
  ATTEMPT_PERIOD_MS = 5,
  N_ATTEMPTS = 100, /* in the test for leaks */
  ATTEMPTS_MAX_GROWN_KB = 1024,
  CUT_MS = 300, /* until settings that are cut are completed */
  CUTS_MAX = 256,
  EXIT_USAGE = 2,
  SEED = 41
};

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

/* Addresses in use. */

static bool
subject_is_metrics_case (const struct Subject *subject)
{
  return strcmp (subject->held_key, "metrics") == 0;
}

static bool
subject_waits (struct Subject *subject)
{
  return !process_is_running (subject->process)
         || subject_logged (subject, subject_is_metrics_case (subject) ? "metrics_not_served"
                                                                       : "start_delayed");
}

static void
subjects_start_without_port (struct Subjects *all, bool by_listener)
{
  static const char *const keys[N_ROLES][N_EACH] = {
    { "caller", "ready", "directory", "peer", "metrics" },
    { "peer", "metrics", "peer", "metrics", "peer" },
    { "caller", "operator", "peer", "caller", "operator" },
  };

  for (uint32_t i = 0; i < N_SUBJECTS; i++)
    {
      struct Subject *s = &all->subjects[i];

      s->held_key = keys[s->role][i / N_ROLES];
      subject_hold_port (s, by_listener);
      subject_start (all, s);
    }
  subjects_until (all, N_SUBJECTS, subject_waits);
}

static bool
subject_is_served (struct Subject *subject)
{
  return !process_is_running (subject->process)
         || (subject_logged (subject, "started")
             && (!subject_is_metrics_case (subject) || subject_logged (subject, "metrics_served")));
}

/* Guards against lines that each attempt to start logs again. */
static void
subject_check_no_event_repeats (struct Subject *subject)
{
  static const char *const events[] = { "start_delayed", "descriptor_shares", "disk_opened",
                                        "archive_clock" };

  for (size_t i = 0; i < sizeof events / sizeof events[0]; i++)
    {
      char text[64];

      snprintf (text, sizeof text, "\"event\":\"%s\"", events[i]);
      subject_check (subject, process_count_output (subject->process, text) <= 1);
    }
}

static void
check_port_in_use_for_a_moment (bool by_listener)
{
  struct Subjects *all = subjects_new ();

  subjects_start_without_port (all, by_listener);
  sleep_ms (HELD_MS);
  for (uint32_t i = 0; i < N_SUBJECTS; i++)
    {
      struct Subject *s = &all->subjects[i];

      subject_check (s, process_is_running (s->process));
      subject_check (s, subject_logged (s, "started") == subject_is_metrics_case (s));
      subject_check_no_event_repeats (s);
      subject_release_port (s);
    }
  subjects_until (all, N_SUBJECTS, subject_is_served);
  for (uint32_t i = 0; i < N_SUBJECTS; i++)
    subject_check (&all->subjects[i], process_is_running (all->subjects[i].process));
  subjects_free (all);
}

static void
test_port_of_another_listener_ends_no_start (void)
{
  check_port_in_use_for_a_moment (true);
}

static void
test_port_of_an_outgoing_connection_ends_no_start (void)
{
  check_port_in_use_for_a_moment (false);
}

/* Causes attempts to start by SIGHUP, and returns whether one accepts a connection meanwhile. */
static bool
subject_accepts_during_attempts (struct Subject *subject)
{
  static const char *const keys[] = { "caller", "ready", "directory", "peer" };
  int64_t end_ms = monotonic_ms () + ATTEMPTS_MS, signal_ms = 0;
  uint16_t ports[4];

  for (size_t i = 0; i < 4; i++)
    ports[i] = strcmp (keys[i], subject->held_key) != 0 ? subject_port (subject, keys[i]) : 0;
  for (uint32_t i = 0; monotonic_ms () < end_ms; i++)
    {
      int fd = ports[i % 4] != 0 ? raw_connect (ports[i % 4]) : -1;

      if (fd >= 0)
        {
          close (fd);
          return true;
        }
      if (monotonic_ms () >= signal_ms)
        {
          process_signal (subject->process, SIGHUP);
          signal_ms = monotonic_ms () + ATTEMPT_PERIOD_MS;
        }
    }
  return false;
}

/* Guards against callers that are accepted by a gateway that does not start, and reset. */
static void
test_gateway_accepts_none_until_all_ports_are_free (void)
{
  static const char *const keys[] = { "caller", "ready", "directory", "peer" };
  struct Subjects *all = subjects_new ();
  struct Subject *s = &all->subjects[ROLE_GATEWAY];

  for (size_t i = 0; i < 4; i++)
    {
      s->held_key = keys[i];
      subject_hold_port (s, true);
      subject_start (all, s);
      CU_ASSERT_TRUE (process_wait_for_output (s->process, "start_delayed"));
      subject_check (s, !subject_accepts_during_attempts (s));
      process_signal (s->process, SIGTERM);
      subject_check_stopped (s);
      subject_release_port (s);
    }
  subjects_free (all);
}

static void
test_stop_while_a_port_is_in_use (void)
{
  struct Subjects *all = subjects_new ();

  subjects_start_without_port (all, true);
  for (uint32_t i = 0; i < N_SUBJECTS; i++)
    process_signal (all->subjects[i].process, i % 2 == 0 ? SIGTERM : SIGINT);
  for (uint32_t i = 0; i < N_SUBJECTS; i++)
    {
      subject_check_stopped (&all->subjects[i]);
      subject_release_port (&all->subjects[i]);
    }
  subjects_free (all);
}

/* What a process holds between two attempts. */
struct Holdings
{
  uint32_t n_descriptors, n_threads, resident_kb;
};

static uint32_t
count_entries (pid_t pid, const char *name)
{
  char path[64];
  uint32_t n = 0;
  DIR *dir;

  snprintf (path, sizeof path, "/proc/%d/%s", (int)pid, name);
  dir = opendir (path);
  while (dir != NULL && readdir (dir) != NULL)
    n++;
  if (dir != NULL)
    closedir (dir);
  return n;
}

static uint32_t
count_resident_kb (pid_t pid)
{
  char path[64];
  unsigned long pages = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/statm", (int)pid);
  file = fopen (path, "r");
  if (file == NULL || fscanf (file, "%*u %lu", &pages) != 1)
    pages = 0;
  if (file != NULL)
    fclose (file);
  return (uint32_t)(pages * (unsigned long)sysconf (_SC_PAGESIZE) / 1024);
}

/* Causes attempts by SIGHUP, then lets the process wait, too. */
static struct Holdings
subject_repeat_attempts (struct Subject *subject)
{
  struct Holdings held;

  for (uint32_t i = 0; i < N_ATTEMPTS; i++)
    {
      process_signal (subject->process, SIGHUP);
      sleep_ms (5);
    }
  sleep_ms (100);
  held.n_descriptors = count_entries (subject->process->pid, "fd");
  held.n_threads = count_entries (subject->process->pid, "task");
  held.resident_kb = count_resident_kb (subject->process->pid);
  return held;
}

static void
check_attempts_leak_nothing (struct Subjects *all, struct Subject *subject, const char *held_key)
{
  struct Holdings first, last;

  subject->held_key = held_key;
  subject_hold_port (subject, true);
  subject_start (all, subject);
  CU_ASSERT_TRUE (process_wait_for_output (subject->process, "start_delayed"));
  first = subject_repeat_attempts (subject);
  last = subject_repeat_attempts (subject);
  subject_check (subject, last.n_descriptors <= first.n_descriptors);
  subject_check (subject, last.n_threads <= first.n_threads);
  subject_check (subject, last.resident_kb <= first.resident_kb + ATTEMPTS_MAX_GROWN_KB);
  subject_release_port (subject);
}

static void
test_attempts_leak_nothing (void)
{
  static const char *const gateway_keys[] = { "caller", "ready", "directory", "peer" };
  struct Subjects *all = subjects_new ();

  /* AddressSanitizer keeps freed memory, up to this limit. */
  setenv ("ASAN_OPTIONS", "quarantine_size_mb=1", 0);
  check_attempts_leak_nothing (all, &all->subjects[ROLE_ARCHIVE], "peer");
  check_attempts_leak_nothing (all, &all->subjects[ROLE_SERVE], "caller");
  for (uint32_t i = 0; i < 4; i++)
    check_attempts_leak_nothing (all, &all->subjects[ROLE_GATEWAY + i * N_ROLES], gateway_keys[i]);
  subjects_free (all);
}

/* Starts a process whose data folder is a file for a moment. */
static void
check_file_in_place_of_folder (struct Subjects *all, struct Subject *subject, const char *name)
{
  const char *folder = talloc_asprintf (all, "%s/%s", session_folder (all->session), name);
  const char *away = talloc_asprintf (all, "%s.away", folder);
  bool had_folder = rename (folder, away) == 0;

  session_write_file (all->session, name, "");
  subject_start (all, subject);
  CU_ASSERT_TRUE (process_wait_for_output (subject->process, "start_delayed"));
  unlink (folder);
  if (had_folder)
    CU_ASSERT_EQUAL (rename (away, folder), 0);
  CU_ASSERT_TRUE (process_wait_for_output (subject->process, "\"started\""));
  subject_check (subject, process_is_running (subject->process));
}

static void
test_unusable_data_folder_ends_no_start (void)
{
  struct Subjects *all = subjects_new ();

  check_file_in_place_of_folder (all, &all->subjects[ROLE_ARCHIVE], "store-0.data");
  check_file_in_place_of_folder (all, &all->subjects[ROLE_SERVE], "data-1");
  subjects_free (all);
}

/* Settings that are being written. */

/* The last line is wrong, so that a process that reads the whole settings ends with a message about
 * it, and about nothing else. */
static const char wrong_settings[] = "[instance]\nname = front\nzone = a\n"
                                     "[listen]\ncaller = 127.0.0.1:1\nready = 127.0.0.1:2\n"
                                     "directory = 127.0.0.1:3\npeer = 127.0.0.1:4\n"
                                     "[platform]\nstore = http://127.0.0.1:5\n"
                                     "[stop]\ngrace = never\n";

/* A file whose writer has written only its beginning; every other one has the time of a wall clock
 * that was far behind. */
struct CutFile
{
  int fd; /* of the writer; -1 once it is complete */
  const char *rest;
  int64_t written_ms;
};

static const char *
cut_file_write (struct Session *session, struct CutFile *cut, const char *text, size_t at)
{
  static const struct timespec long_ago[2] = { { 1000, 0 }, { 1000, 0 } };
  const char *file = talloc_asprintf (session, "%s/cut-%zu.ini", session_folder (session), at);

  cut->fd = open (file, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  cut->rest = text + at;
  cut->written_ms = monotonic_ms ();
  CU_ASSERT_EQUAL (write (cut->fd, text, at), (ssize_t)at);
  if (at % 2 != 0)
    CU_ASSERT_EQUAL (futimens (cut->fd, long_ago), 0);
  return file;
}

static void
cut_file_complete (struct CutFile *cut)
{
  CU_ASSERT_EQUAL (write (cut->fd, cut->rest, strlen (cut->rest)), (ssize_t)strlen (cut->rest));
  close (cut->fd);
  cut->fd = -1;
}

/* Completes the files that have been cut for CUT_MS. Starting all processes can take longer than
 * one of them waits for its settings. */
static void
cut_files_complete_due (struct CutFile *cuts, size_t n)
{
  for (size_t i = 0; i < n; i++)
    if (cuts[i].fd >= 0 && monotonic_ms () - cuts[i].written_ms >= CUT_MS)
      cut_file_complete (&cuts[i]);
}

/* Guards against settings that are read while they are written. */
static void
test_cut_settings_are_never_used (void)
{
  struct Session *session = session_new (NULL);
  struct Process *processes[CUTS_MAX];
  struct CutFile cuts[CUTS_MAX];
  uint32_t n_failed = CU_get_number_of_failures ();
  size_t n = strlen (wrong_settings);

  for (size_t i = 0; i < n; i++)
    {
      const char *file = cut_file_write (session, &cuts[i], wrong_settings, i);
      const char *const argv[] = { daemon_path (), "gateway", "--config", file, NULL };
      char name[32];

      snprintf (name, sizeof name, "cut-%zu", i);
      processes[i] = session_start (session, name, argv);
      cut_files_complete_due (cuts, i + 1);
    }
  sleep_ms (CUT_MS);
  cut_files_complete_due (cuts, n);
  for (size_t i = 0; i < n; i++)
    {
      CU_ASSERT_TRUE (process_wait (processes[i]));
      CU_ASSERT_EQUAL (processes[i]->exit_status, EXIT_USAGE);
      CU_ASSERT_EQUAL (process_count_output (processes[i], "[stop] grace"), 1);
      CU_ASSERT_EQUAL (process_count_output (processes[i], "\n"), 1);
    }
  session_end (session, CU_get_number_of_failures () > n_failed);
}

static char *
file_text (TALLOC_CTX *ctx, const char *path)
{
  const struct Process as_output = { .output_file = path };

  return process_output (ctx, &as_output);
}

static void
test_completed_settings_start_each_role (void)
{
  struct Subjects *all = subjects_new ();
  struct CutFile cuts[N_SUBJECTS];

  srand (SEED);
  for (uint32_t i = 0; i < N_SUBJECTS; i++)
    {
      struct Subject *s = &all->subjects[i];
      const char *text = file_text (all, s->file);

      /* The start differs, so that each file has a name of its own. */
      s->file = cut_file_write (all->session, &cuts[i], text,
                                i + (size_t)rand () % (strlen (text) / N_SUBJECTS) * N_SUBJECTS);
      subject_start (all, s);
    }
  sleep_ms (CUT_MS);
  for (uint32_t i = 0; i < N_SUBJECTS; i++)
    {
      subject_check (&all->subjects[i], !subject_logged (&all->subjects[i], "starting"));
      cut_file_complete (&cuts[i]);
    }
  subjects_until (all, N_SUBJECTS, subject_is_settled);
  for (uint32_t i = 0; i < N_SUBJECTS; i++)
    subject_check (&all->subjects[i], process_is_running (all->subjects[i].process));
  subjects_free (all);
}

/* Guards against a start that fails while a writer replaces the settings. */
static void
test_settings_missing_for_a_moment_start_each_role (void)
{
  struct Subjects *all = subjects_new ();
  const char *away[N_SUBJECTS];

  for (uint32_t i = 0; i < N_SUBJECTS; i++)
    {
      struct Subject *s = &all->subjects[i];

      away[i] = talloc_asprintf (all, "%s.away", s->file);
      CU_ASSERT_EQUAL (rename (s->file, away[i]), 0);
      subject_start (all, s);
    }
  sleep_ms (CUT_MS);
  for (uint32_t i = 0; i < N_SUBJECTS; i++)
    CU_ASSERT_EQUAL (rename (away[i], all->subjects[i].file), 0);
  subjects_until (all, N_SUBJECTS, subject_is_settled);
  for (uint32_t i = 0; i < N_SUBJECTS; i++)
    subject_check (&all->subjects[i], process_is_running (all->subjects[i].process));
  subjects_free (all);
}

const char test_suite_name[] = "start of processes";
const struct TestCase test_cases[] = {
  { "bursts of signals end no process", test_bursts_of_signals_end_no_process },
  { "signals at drawn moments end no process", test_signals_at_drawn_moments_end_no_process },
  { "port of another listener ends no start", test_port_of_another_listener_ends_no_start },
  { "port of an outgoing connection ends no start",
    test_port_of_an_outgoing_connection_ends_no_start },
  { "gateway accepts none until all ports are free",
    test_gateway_accepts_none_until_all_ports_are_free },
  { "stop while a port is in use", test_stop_while_a_port_is_in_use },
  { "attempts leak nothing", test_attempts_leak_nothing },
  { "unusable data folder ends no start", test_unusable_data_folder_ends_no_start },
  { "cut settings are never used", test_cut_settings_are_never_used },
  { "completed settings start each role", test_completed_settings_start_each_role },
  { "settings missing for a moment start each role",
    test_settings_missing_for_a_moment_start_each_role },
  { NULL, NULL },
};
