/* Sessions with real processes: starts them, stops, kills and pauses them by process id, speaks
 * HTTP to them, waits for conditions.
 *
 * A test never asserts a speed: it waits for a condition with a generous limit, WAIT_LIMIT_MS.
 * Children die with the test, so a failing one leaves nothing behind. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <jansson.h>
#include <talloc.h>

enum
{
  WAIT_LIMIT_MS = 30000,
  PROCESS_ARGUMENTS_MAX = 24
};

struct Session;

/* A child process. */
struct Process
{
  struct Session *session;
  struct Process *next;
  char name[64];
  pid_t pid; /* 0: ended and waited for */
  int exit_status;
  const char *output_file; /* its standard output and error, in order */
};

/* Takes a folder for temporary files and a block of loopback ports; NULL when it can not. */
struct Session *
session_new (TALLOC_CTX *ctx);
/* Kills what still runs and removes the folder (kept, and named, when keep_folder). */
void
session_end (struct Session *session, bool keep_folder);

const char *
session_folder (const struct Session *session);
/* A port of 127.0.0.1 that no other session gets. */
uint16_t
session_port (struct Session *session);
/* Writes text to a file of the folder and gives its path. */
const char *
session_write_file (struct Session *session, const char *name, const char *text);

/* argv ends with NULL; argv[0] is the program's path. */
struct Process *
session_start (struct Session *session, const char *name, const char *const argv[]);
bool
process_is_alive (struct Process *process);
/* False when it had ended already. */
bool
process_signal (struct Process *process, int signal_number);
/* Waits for its end; false when the limit passes first. exit_status is -signal when killed. */
bool
process_wait (struct Process *process);
void
process_kill (struct Process *process); /* SIGKILL, and waits */
/* All it printed so far. */
char *
process_output (TALLOC_CTX *ctx, const struct Process *process);

/* Paths of the two programs, from the environment that meson sets. */
const char *
daemon_path (void);
const char *
standin_path (void);

struct HttpReply
{
  uint32_t status; /* 0: no whole answer came */
  char *text;      /* talloc child of the reply */
  size_t n_bytes;
  json_t *json; /* NULL unless text is JSON */
  char ran[16]; /* header X-Ran */
};

/* One request, no resend; headers end with NULL and may be NULL, as may body. Any thread. */
struct HttpReply *
http_send (TALLOC_CTX *ctx,
           const char *method,
           const char *address,
           const char *path,
           const char *const headers[],
           const char *body);
struct HttpReply *
http_get (TALLOC_CTX *ctx, const char *address, const char *path);
/* POST /control of a stand-in. */
bool
http_control (const char *address, const char *json);

typedef bool (*ConditionFn) (void *data);

/* True once the condition holds; false when WAIT_LIMIT_MS pass first. */
bool
wait_for (ConditionFn condition, void *data);
bool
wait_for_answer (const char *address, const char *path);
void
sleep_ms (uint32_t ms);
int64_t
monotonic_ms (void);
