/* Gateways, archives and instances of serve that a test starts again and again. */
#pragma once

#include "cluster.h"

enum
{
  N_EACH = 5, /* subjects of each role */
  N_SUBJECTS = 3 * N_EACH
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
  const char *held_key; /* setting of the address that is in use */
  int held, held_peer;  /* sockets that use it; -1: none */
};

struct Subjects
{
  struct Cluster *cluster;
  struct Session *session; /* of the cluster */
  struct Subject subjects[N_SUBJECTS];
  uint32_t n_failed_before;
};

typedef bool (*SubjectFn) (struct Subject *subject);

/* Prepares the settings of all subjects; starts none. */
struct Subjects *
subjects_new (void);
/* Kills all processes; keeps their output if an assertion failed. */
void
subjects_free (struct Subjects *all);
/* Calls each for the first n subjects until all calls return true at once. */
void
subjects_until (struct Subjects *all, uint32_t n, SubjectFn each);

void
subject_start (struct Subjects *all, struct Subject *subject);
/* Returns true if the subject's output since its last start has the event. */
bool
subject_logged (const struct Subject *subject, const char *event);
/* Asserts; prints the subject's output if the assertion fails. */
void
subject_check (const struct Subject *subject, bool holds);
/* Asserts that the process completes a planned stop. */
void
subject_check_stopped (struct Subject *subject);

/* Returns the port of an address of the subject's settings. */
uint16_t
subject_port (const struct Subject *subject, const char *key);
/* Uses the port of held_key by a listener, or by the local end of a connection to another listener.
 */
void
subject_hold_port (struct Subject *subject, bool by_listener);
void
subject_release_port (struct Subject *subject);
