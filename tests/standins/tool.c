#include "http_server.h"
#include "standin.h"

#include <getopt.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  CRASH_EXIT_STATUS = 70,
  HANG_POLL_US = 50000
};

struct Tool
{
  const char *name;
  pthread_mutex_t lock;
  json_t *keys;  /* number of runs per idempotency key */
  json_t *paths; /* number of runs per path */
  uint64_t n_runs;
  /* Faults, set by POST /control. */
  bool hang, crash;
  uint32_t close_after_run;
  uint32_t status; /* 0: normal response; otherwise this status, without a run */
  uint32_t delay_ms;
};

static json_int_t
count_run (json_t *counts, const char *name)
{
  json_int_t n = json_integer_value (json_object_get (counts, name)) + 1;

  json_object_set_new (counts, name, json_integer (n));
  return n;
}

/* The side effect of a call. It is not idempotent: every run is counted. */
static json_t *
tool_run (struct Tool *tool, const struct StandinRequest *request)
{
  const char *key = standin_header (request, "Idempotency-Key");
  uint64_t hash = standin_hash (STANDIN_HASH_START, request->body, request->body_bytes);
  char result[32];

  tool->n_runs++;
  count_run (tool->paths, request->path);
  if (key[0] != '\0')
    count_run (tool->keys, key);
  snprintf (result, sizeof result, "%016" PRIx64, hash);
  return json_pack ("{s:s, s:s, s:s}", "service", tool->name, "path", request->path, "result",
                    result);
}

/* Waits until the fault "hang" is cleared. Returns false when the client disconnects first. */
static bool
tool_wait_while_hanging (struct Tool *tool, const struct StandinRequest *request)
{
  for (;;)
    {
      bool hang;

      if (standin_client_closed (request))
        return false;
      pthread_mutex_lock (&tool->lock);
      hang = tool->hang;
      pthread_mutex_unlock (&tool->lock);
      if (!hang)
        return true;
      usleep (HANG_POLL_US);
    }
}

static enum MHD_Result
tool_call (struct Tool *tool, struct StandinRequest *request)
{
  json_t *response;
  uint32_t status, delay_ms;
  bool close;

  if (!tool_wait_while_hanging (tool, request))
    return MHD_NO;
  pthread_mutex_lock (&tool->lock);
  if (tool->crash)
    _exit (CRASH_EXIT_STATUS);
  status = tool->status;
  delay_ms = tool->delay_ms;
  pthread_mutex_unlock (&tool->lock);
  if (status != 0)
    return standin_reply_json (request, status,
                               json_pack ("{s:{s:s}}", "error", "message", "refused"));
  usleep (delay_ms * 1000);
  pthread_mutex_lock (&tool->lock);
  response = tool_run (tool, request);
  close = tool->close_after_run > 0;
  tool->close_after_run -= close;
  pthread_mutex_unlock (&tool->lock);
  if (!close)
    return standin_reply_json (request, MHD_HTTP_OK, response);
  json_decref (response);
  return MHD_NO;
}

static enum MHD_Result
tool_reply_counts (struct Tool *tool, struct StandinRequest *request)
{
  json_t *counts;

  pthread_mutex_lock (&tool->lock);
  counts = json_pack ("{s:I, s:o, s:o}", "runs", (json_int_t)tool->n_runs, "keys",
                      json_deep_copy (tool->keys), "paths", json_deep_copy (tool->paths));
  pthread_mutex_unlock (&tool->lock);
  return standin_reply_json (request, MHD_HTTP_OK, counts);
}

static void
tool_set_fault (struct Tool *tool, const char *name, const json_t *value)
{
  uint32_t n = (uint32_t)json_integer_value (value);

  if (strcmp (name, "hang") == 0)
    tool->hang = json_is_true (value);
  else if (strcmp (name, "crash") == 0)
    tool->crash = json_is_true (value);
  else if (strcmp (name, "close_after_run") == 0)
    tool->close_after_run = n;
  else if (strcmp (name, "status") == 0)
    tool->status = n;
  else if (strcmp (name, "delay_ms") == 0)
    tool->delay_ms = n;
}

static enum MHD_Result
tool_control (struct Tool *tool, struct StandinRequest *request)
{
  json_t *faults = json_loads (request->body, 0, NULL);
  const char *name;
  json_t *value;

  pthread_mutex_lock (&tool->lock);
  json_object_foreach (faults, name, value) { tool_set_fault (tool, name, value); }
  pthread_mutex_unlock (&tool->lock);
  json_decref (faults);
  return standin_reply_json (request, MHD_HTTP_OK, json_pack ("{s:b}", "set", 1));
}

static enum MHD_Result
tool_handle (void *data, struct StandinRequest *request)
{
  struct Tool *tool = data;

  if (standin_is (request, "GET", "/counts"))
    return tool_reply_counts (tool, request);
  if (standin_is (request, "POST", "/control"))
    return tool_control (tool, request);
  if (strcmp (request->method, "POST") == 0)
    return tool_call (tool, request);
  return standin_reply_json (request, MHD_HTTP_NOT_FOUND,
                             json_pack ("{s:{s:s}}", "error", "message", "POST only"));
}

int
standin_tool_run (int argc, char **argv)
{
  static const struct option names[] = {
    { "listen", required_argument, NULL, 'l' },
    { "name", required_argument, NULL, 'n' },
    { NULL, 0, NULL, 0 },
  };
  struct Tool tool = { .name = "tool", .lock = PTHREAD_MUTEX_INITIALIZER };
  struct StandinService service = { .handle = tool_handle, .data = &tool };
  const char *listen = NULL;
  int option;

  while ((option = getopt_long (argc, argv, "", names, NULL)) != -1)
    switch (option)
      {
      case 'l':
        listen = optarg;
        break;
      case 'n':
        tool.name = optarg;
        break;
      default:
        return 2;
      }
  if (listen == NULL)
    return 2;
  tool.keys = json_object ();
  tool.paths = json_object ();
  standin_block_signals ();
  return standin_serve (listen, &service);
}
