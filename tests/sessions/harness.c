#include "harness.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <curl/curl.h>

enum
{
  /* Below the ephemeral ports of the system. */
  PORT_FIRST = 12000,
  PORTS_PER_BLOCK = 64,
  N_BLOCKS = 256,
  POLL_MS = 10,
  HTTP_LIMIT_MS = 60000,
  EXIT_EXEC_FAILED = 127
};

struct Session
{
  char folder[256];
  int block_lock; /* socket bound to the block's first port; reserves the block for one session */
  uint16_t next_port, last_port;
  struct Process *processes;
  uint32_t descriptors; /* limit of the processes started next; 0: the own one */
};

int64_t
monotonic_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
sleep_ms (uint32_t ms)
{
  usleep (ms * 1000);
}

/* Returns a socket bound to the port, or -1 if the port is in use. Without reuse, a port also
 * counts as in use for the minute in which closed connections of an earlier test stay in TIME_WAIT,
 * and a test program with many tests would run out of ports. A block lock must not be shared, so it
 * is bound without reuse. */
static int
port_bind (uint16_t port, int reuse)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  if (fd >= 0 && bind (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static bool
session_reserve_ports (struct Session *session)
{
  for (uint32_t i = 0; i < N_BLOCKS; i++)
    {
      uint32_t block = (i + (uint32_t)getpid ()) % N_BLOCKS;
      uint16_t first = (uint16_t)(PORT_FIRST + block * PORTS_PER_BLOCK);

      session->block_lock = port_bind (first, 0);
      if (session->block_lock < 0)
        continue;
      session->next_port = first + 1;
      session->last_port = first + PORTS_PER_BLOCK - 1;
      return true;
    }
  return false;
}

struct Session *
session_new (TALLOC_CTX *ctx)
{
  struct Session *session = talloc_zero (ctx, struct Session);
  const char *base = getenv ("TMPDIR");

  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  snprintf (session->folder, sizeof session->folder, "%s/buckthornhead-XXXXXX",
            base != NULL ? base : "/tmp");
  if (mkdtemp (session->folder) == NULL || !session_reserve_ports (session))
    {
      talloc_free (session);
      return NULL;
    }
  return session;
}

static int
remove_entry (const char *path, const struct stat *status, int kind, struct FTW *walk)
{
  (void)status;
  (void)kind;
  (void)walk;
  return remove (path);
}

void
session_end (struct Session *session, bool keep_folder)
{
  for (struct Process *process = session->processes; process != NULL; process = process->next)
    process_kill (process);
  close (session->block_lock);
  if (keep_folder)
    fprintf (stderr, "process output kept in %s\n", session->folder);
  else
    nftw (session->folder, remove_entry, 8, FTW_DEPTH | FTW_PHYS);
  talloc_free (session);
}

const char *
session_folder (const struct Session *session)
{
  return session->folder;
}

uint16_t
session_allocate_port (struct Session *session)
{
  while (session->next_port < session->last_port)
    {
      uint16_t port = session->next_port++;
      int fd = port_bind (port, 1);

      if (fd >= 0)
        {
          close (fd);
          return port;
        }
    }
  fprintf (stderr, "no free port left in the session's block\n");
  abort ();
}

uint16_t
address_port (const char *address)
{
  return (uint16_t)atoi (strchr (address, ':') + 1);
}

int
session_hold_port (uint16_t port)
{
  int fd = port_bind (port, 1);

  /* With a full queue, connecting would block its thread for minutes. */
  if (fd >= 0 && listen (fd, SOMAXCONN) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

const char *
session_write_file (struct Session *session, const char *name, const char *text)
{
  const char *path = talloc_asprintf (session, "%s/%s", session->folder, name);
  FILE *file = fopen (path, "w");

  if (file == NULL)
    return NULL;
  fputs (text, file);
  fclose (file);
  return path;
}

void
session_limit_descriptors (struct Session *session, uint32_t n)
{
  session->descriptors = n;
}

/* Runs in the child process after the fork. */
static void
lower_descriptor_limit (uint32_t n)
{
  struct rlimit limit;

  if (n == 0 || getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur <= n)
    return;
  limit.rlim_cur = n;
  setrlimit (RLIMIT_NOFILE, &limit);
}

static void
process_exec (const struct Process *process, const char *const argv[], pid_t parent)
{
  int output = open (process->output_file, O_WRONLY | O_CREAT | O_APPEND, 0600);

  /* A test that crashes must not leave its children running. The check of the parent covers a
   * crash between fork and prctl. */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (output < 0 || getppid () != parent)
    _exit (EXIT_EXEC_FAILED);
  dup2 (output, STDOUT_FILENO);
  dup2 (output, STDERR_FILENO);
  signal (SIGPIPE, SIG_DFL);
  lower_descriptor_limit (process->session->descriptors);
  execv (argv[0], (char *const *)argv);
  _exit (EXIT_EXEC_FAILED);
}

struct Process *
session_start (struct Session *session, const char *name, const char *const argv[])
{
  struct Process *process = talloc_zero (session, struct Process);
  pid_t parent = getpid ();

  process->session = session;
  snprintf (process->name, sizeof process->name, "%s", name);
  process->output_file = talloc_asprintf (process, "%s/%s.log", session->folder, name);
  process->pid = fork ();
  if (process->pid == 0)
    process_exec (process, argv, parent);
  if (process->pid < 0)
    {
      talloc_free (process);
      return NULL;
    }
  process->next = session->processes;
  session->processes = process;
  return process;
}

bool
process_is_running (struct Process *process)
{
  int status;

  if (process->pid == 0)
    return false;
  if (waitpid (process->pid, &status, WNOHANG) != process->pid)
    return true;
  process->pid = 0;
  process->exit_status = WIFSIGNALED (status) ? -WTERMSIG (status) : WEXITSTATUS (status);
  return false;
}

bool
process_signal (struct Process *process, int signal_number)
{
  return process_is_running (process) && kill (process->pid, signal_number) == 0;
}

static bool
process_has_exited (void *data)
{
  return !process_is_running (data);
}

bool
process_wait (struct Process *process)
{
  return wait_for (process_has_exited, process);
}

void
process_kill (struct Process *process)
{
  if (process_signal (process, SIGKILL))
    process_wait (process);
}

int64_t
process_cpu_ms (const struct Process *process)
{
  char path[64], text[1024];
  unsigned long user = 0, system = 0;
  size_t n;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/stat", (int)process->pid);
  file = fopen (path, "r");
  if (file == NULL)
    return 0;
  n = fread (text, 1, sizeof text - 1, file);
  fclose (file);
  text[n] = '\0';
  /* After the name in parentheses: state, ten numbers, then the times in clock ticks. */
  if (strrchr (text, ')') == NULL
      || sscanf (strrchr (text, ')') + 1, " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
                 &user, &system)
             != 2)
    return 0;
  return (int64_t)(user + system) * 1000 / sysconf (_SC_CLK_TCK);
}

/* Returns a size in KiB from the process's status; name such as "VmRSS:". */
static uint64_t
process_status_kib (const struct Process *process, const char *name)
{
  unsigned long long kib = 0;
  char line[256];
  FILE *file;

  snprintf (line, sizeof line, "/proc/%d/status", (int)process->pid);
  file = fopen (line, "r");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    if (strncmp (line, name, strlen (name)) == 0)
      {
        kib = strtoull (line + strlen (name), NULL, 10);
        break;
      }
  if (file != NULL)
    fclose (file);
  return kib;
}

uint64_t
process_memory_kib (const struct Process *process)
{
  return process_status_kib (process, "VmRSS:");
}

uint64_t
process_peak_memory_kib (const struct Process *process)
{
  return process_status_kib (process, "VmHWM:");
}

uint32_t
process_open_descriptors (const struct Process *process)
{
  char path[64];
  uint32_t n = 0;
  DIR *folder;

  snprintf (path, sizeof path, "/proc/%d/fd", (int)process->pid);
  folder = opendir (path);
  if (folder == NULL)
    return 0;
  for (struct dirent *entry = readdir (folder); entry != NULL; entry = readdir (folder))
    n += entry->d_name[0] != '.';
  closedir (folder);
  return n;
}

char *
process_output (TALLOC_CTX *ctx, const struct Process *process)
{
  FILE *file = fopen (process->output_file, "r");
  char *text = talloc_strdup (ctx, "");
  char chunk[4096];
  size_t n;

  while (file != NULL && (n = fread (chunk, 1, sizeof chunk, file)) > 0)
    text = talloc_strndup_append_buffer (text, chunk, n);
  if (file != NULL)
    fclose (file);
  return text;
}

static const char *
path_from_environment (const char *name)
{
  const char *path = getenv (name);

  if (path == NULL)
    {
      fprintf (stderr, "%s is not set: run this test through `make test` or `meson test`\n", name);
      exit (2);
    }
  return path;
}

const char *
daemon_path (void)
{
  return path_from_environment ("BUCKTHORNHEAD");
}

const char *
standin_path (void)
{
  return path_from_environment ("BUCKTHORNHEAD_STANDIN");
}

static size_t
http_on_body (char *bytes, size_t size, size_t n, void *data)
{
  struct HttpReply *reply = data;

  reply->body = talloc_realloc (reply, reply->body, char, reply->n_bytes + size * n + 1);
  memcpy (reply->body + reply->n_bytes, bytes, size * n);
  reply->n_bytes += size * n;
  reply->body[reply->n_bytes] = '\0';
  return size * n;
}

static int
http_reply_free (struct HttpReply *reply)
{
  json_decref (reply->json);
  return 0;
}

static void
http_read_headers (CURL *easy, struct HttpReply *reply)
{
  struct curl_header *header;

  if (curl_easy_header (easy, "X-Ran", 0, CURLH_HEADER, -1, &header) == CURLHE_OK)
    snprintf (reply->ran, sizeof reply->ran, "%s", header->value);
}

struct HttpReply *
http_send (TALLOC_CTX *ctx,
           const char *method,
           const char *address,
           const char *path,
           const char *const headers[],
           const char *body)
{
  struct HttpReply *reply = talloc_zero (ctx, struct HttpReply);
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");
  char *url = talloc_asprintf (reply, "http://%s%s", address, path);
  CURL *easy = curl_easy_init ();
  long status = 0;

  talloc_set_destructor (reply, http_reply_free);
  reply->body = talloc_strdup (reply, "");
  for (size_t i = 0; headers != NULL && headers[i] != NULL; i++)
    list = curl_slist_append (list, headers[i]);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)HTTP_LIMIT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, http_on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, reply);
  if (body != NULL)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, list);
  if (curl_easy_perform (easy) == CURLE_OK)
    {
      curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
      http_read_headers (easy, reply);
    }
  reply->status = (uint32_t)status;
  reply->json = json_loadb (reply->body, reply->n_bytes, JSON_DECODE_ANY, NULL);
  curl_easy_cleanup (easy);
  curl_slist_free_all (list);
  return reply;
}

struct HttpReply *
http_get (TALLOC_CTX *ctx, const char *address, const char *path)
{
  return http_send (ctx, "GET", address, path, NULL, NULL);
}

bool
standin_control (const char *address, const char *json)
{
  struct HttpReply *reply = http_send (NULL, "POST", address, "/control", NULL, json);
  bool done = reply->status == 200;

  talloc_free (reply);
  return done;
}

bool
wait_for (ConditionFn condition, void *data)
{
  int64_t deadline_ms = monotonic_ms () + WAIT_LIMIT_MS;

  while (!condition (data))
    {
      if (monotonic_ms () > deadline_ms)
        return false;
      sleep_ms (POLL_MS);
    }
  return true;
}

struct ResponseWanted
{
  const char *address, *path;
};

static bool
address_responds (void *data)
{
  const struct ResponseWanted *wanted = data;
  struct HttpReply *reply = http_get (NULL, wanted->address, wanted->path);
  bool responds = reply->status != 0;

  talloc_free (reply);
  return responds;
}

bool
wait_for_response (const char *address, const char *path)
{
  struct ResponseWanted wanted = { address, path };

  return wait_for (address_responds, &wanted);
}
