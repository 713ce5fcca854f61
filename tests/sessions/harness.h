/* Sessions with real processes: starts them, stops, kills and pauses them by process id, sends them
 * HTTP requests, waits for conditions.
 *
 * A test never asserts a speed: it waits for a condition with a generous limit, WAIT_LIMIT_MS.
 * Child processes are killed when the test exits, so that a failing test leaves none behind. */
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
  pid_t pid; /* 0: exited and reaped */
  int exit_status;
  const char *output_file; /* standard output and error, interleaved */
};

/* Creates a temporary folder and reserves a block of loopback ports; returns NULL on failure. */
struct Session *
session_new (TALLOC_CTX *ctx);
/* Kills the processes that still run and removes the folder; with keep_folder, keeps it and prints
 * its path. */
void
session_end (struct Session *session, bool keep_folder);

const char *
session_folder (const struct Session *session);
/* Returns a port of 127.0.0.1 that no other session uses. */
uint16_t
session_allocate_port (struct Session *session);
/* Returns the port of an address, IP:port. */
uint16_t
address_port (const char *address);
/* Returns a socket that listens on the port of 127.0.0.1, or -1 if the port is in use. */
int
session_hold_port (uint16_t port);
/* Writes text to a file in the session's folder and returns its path. */
const char *
session_write_file (struct Session *session, const char *name, const char *text);

/* argv ends with NULL; argv[0] is the executable's path. */
struct Process *
session_start (struct Session *session, const char *name, const char *const argv[]);
/* Limits the descriptors of the processes started next; 0: no lower limit than the test's. */
void
session_limit_descriptors (struct Session *session, uint32_t n);
bool
process_is_running (struct Process *process);
/* Returns false if the process has already exited. */
bool
process_signal (struct Process *process, int signal_number);
/* Waits until the process exits; returns false after WAIT_LIMIT_MS. exit_status is -signal if a
 * signal killed it. */
bool
process_wait (struct Process *process);
void
process_kill (struct Process *process); /* sends SIGKILL and waits */
/* Returns the processor time used so far. */
int64_t
process_cpu_ms (const struct Process *process);
/* Return the resident memory of the process, its peak so far, in KiB, and the number of its open
 * descriptors; 0 if the process has exited. */
uint64_t
process_memory_kib (const struct Process *process);
uint64_t
process_peak_memory_kib (const struct Process *process);
uint32_t
process_open_descriptors (const struct Process *process);
/* Returns all output so far. */
char *
process_output (TALLOC_CTX *ctx, const struct Process *process);

/* Paths of the two executables, from the environment that meson sets. */
const char *
daemon_path (void);
const char *
standin_path (void);

struct HttpReply
{
  uint32_t status; /* 0: no complete response */
  char *body;      /* talloc child of the reply */
  size_t n_bytes;
  json_t *json; /* NULL if text is not JSON */
  char ran[16]; /* X-Ran header */
};

/* Sends one request without retries. headers ends with NULL; headers and body may be NULL. May be
 * called on any thread. */
struct HttpReply *
http_send (TALLOC_CTX *ctx,
           const char *method,
           const char *address,
           const char *path,
           const char *const headers[],
           const char *body);
struct HttpReply *
http_get (TALLOC_CTX *ctx, const char *address, const char *path);
/* Sends POST /control to a stand-in. */
bool
standin_control (const char *address, const char *json);

typedef bool (*ConditionFn) (void *data);

/* Returns true once the condition holds, false after WAIT_LIMIT_MS. */
bool
wait_for (ConditionFn condition, void *data);
bool
wait_for_response (const char *address, const char *path);
void
sleep_ms (uint32_t ms);
int64_t
monotonic_ms (void);
