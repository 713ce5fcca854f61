#include "subjects.h"

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  CALL_PERIOD_US = 200 /* of subjects_until */
};

static const struct ClusterOptions cluster_options = { .n_instances = N_EACH, .n_data_folders = 1 };

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

/* Writes the settings of a gateway or archive whose store does not respond. */
static const char *
subject_write_settings (struct Session *session, const struct Subject *subject, uint16_t store)
{
  char *folder = talloc_strdup (session, "");
  const char *file;
  char *text;

  if (subject->role == ROLE_ARCHIVE)
    folder = talloc_asprintf (session, "data_folder = %s/%s.data\n", session_folder (session),
                              subject->name);
  text =
      talloc_asprintf (session,
                       "[instance]\nname = %s\nzone = a\n%s%s[platform]\n"
                       "store = http://127.0.0.1:%u\n[stop]\ngrace = 6s\n",
                       subject->name, folder, listen_lines (session, folder, subject->role), store);
  file = session_write_file (session, talloc_asprintf (text, "%s.ini", subject->name), text);
  talloc_free (text);
  talloc_free (folder);
  return file;
}

struct Subjects *
subjects_new (void)
{
  static const char *const names[] = { "front", "store", "entry" };
  struct Cluster *cluster = cluster_start (NULL, &cluster_options);
  struct Subjects *all = talloc_zero (cluster, struct Subjects);
  uint16_t store = session_allocate_port (cluster->session);

  all->cluster = cluster;
  all->session = cluster->session;
  all->n_failed_before = CU_get_number_of_failures ();
  for (uint32_t i = 0; i < N_SUBJECTS; i++)
    {
      struct Subject *s = &all->subjects[i];

      s->held = s->held_peer = -1;
      s->role = (enum Role) (i % N_ROLES);
      snprintf (s->name, sizeof s->name, "%s-%u", names[s->role], i / N_ROLES);
      if (s->role != ROLE_SERVE)
        s->file = subject_write_settings (all->session, s, store);
      else
        {
          process_kill (cluster->instances[i / N_ROLES].process);
          s->file = cluster->instances[i / N_ROLES].file;
        }
    }
  return all;
}

void
subjects_free (struct Subjects *all)
{
  cluster_stop (all->cluster, CU_get_number_of_failures () > all->n_failed_before);
}

void
subject_start (struct Subjects *all, struct Subject *subject)
{
  const char *command = subject->role == ROLE_SERVE ? "serve" : "gateway";
  const char *const argv[] = { daemon_path (), command, "--config", subject->file, NULL };
  char name[48];

  snprintf (name, sizeof name, "%s.%u", subject->name, subject->n_starts++);
  subject->process = session_start (all->session, name, argv);
}

bool
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

void
subject_check (const struct Subject *subject, bool holds)
{
  CU_ASSERT_TRUE (holds);
  if (!holds)
    subject_report (subject);
}

void
subject_check_stopped (struct Subject *subject)
{
  subject_check (subject, process_wait (subject->process) && subject->process->exit_status == 0
                              && subject_logged (subject, "stopped"));
}

void
subjects_until (struct Subjects *all, uint32_t n, SubjectFn each)
{
  int64_t end_ms = monotonic_ms () + WAIT_LIMIT_MS;
  bool done = false;

  while (!done && monotonic_ms () < end_ms)
    {
      done = true;
      for (uint32_t i = 0; i < n; i++)
        done = each (&all->subjects[i]) && done;
      usleep (CALL_PERIOD_US);
    }
  CU_ASSERT_TRUE (done);
}

uint16_t
subject_port (const struct Subject *subject, const char *key)
{
  char line[256], format[64];
  unsigned port = 0;
  FILE *file = fopen (subject->file, "r");

  snprintf (format, sizeof format, "%s = 127.0.0.1:", key);
  while (file != NULL && port == 0 && fgets (line, sizeof line, file) != NULL)
    if (strncmp (line, format, strlen (format)) == 0)
      port = (unsigned)atoi (line + strlen (format));
  if (file != NULL)
    fclose (file);
  return (uint16_t)port;
}

/* Returns a socket that is bound to a port of 127.0.0.1 and does not share it with any listener. */
static int
socket_bind (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int reuse = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  /* Earlier connections may still be in TIME_WAIT. */
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  CU_ASSERT_EQUAL (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  reuse = 0;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  return fd;
}

void
subject_hold_port (struct Subject *subject, bool by_listener)
{
  struct sockaddr_in address;
  socklen_t size = sizeof address;

  subject->held = socket_bind (subject_port (subject, subject->held_key));
  if (by_listener)
    {
      listen (subject->held, 1);
      return;
    }
  subject->held_peer = socket_bind (0);
  listen (subject->held_peer, 1);
  getsockname (subject->held_peer, (struct sockaddr *)&address, &size);
  CU_ASSERT_EQUAL (connect (subject->held, (struct sockaddr *)&address, size), 0);
}

void
subject_release_port (struct Subject *subject)
{
  close (subject->held);
  if (subject->held_peer >= 0)
    close (subject->held_peer);
  subject->held = subject->held_peer = -1;
}
