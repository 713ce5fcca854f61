/* Runs a scripted program like an agent service and prints one JSON line per step.
 *
 * Script: {"steps": [STEP...]}. A step has one of these keys, and may have "expect", an object
 * whose members must equal those of the step's line:
 *   "create": body of POST /v1/programs
 *   "call": {"model", "system"?, "user"? | "tool_result": true, "max_tokens"?, "min_tokens"?,
 *            "stream"?} or {"service", "path", "body"?, "idempotent"?}; "again": true repeats the
 *            last call with the same sequence number and body
 *   "lone": {"service", "path", "key", "body"?, "again"?}: a call without a program
 *   "pause_ms": the run time of a tool on the caller's side
 *   "sub_agents": [{"branch", "steps"}...], run concurrently
 *   "state", "history": true
 *   "end": reason */
#include "caller_client.h"
#include "standin.h"

#include <getopt.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>

enum
{
  REQUEST_TIMEOUT_MS = 60000,
  HEADERS_MAX = 4,
  HEADER_BYTES = 256
};

/* A branch of a program: the main one or that of a sub-agent. */
struct Agent
{
  struct CallerOptions options;
  struct CallerClient *client;
  char program[80];
  char branch[80];
  uint64_t sequence; /* of the last call */
  json_t *messages;
  char *last_body;   /* of the last call */
  char *tool_result; /* response body of the last service call */
  json_t *lines;     /* output lines of the steps, in order */
  bool unmet;        /* the "expect" of some step was not met */
  const json_t *steps;
};

static void
agent_run (struct Agent *agent);

static const char *
json_text_or (const json_t *object, const char *name, const char *fallback)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text != NULL ? text : fallback;
}

static void
agent_init (struct Agent *agent, const struct CallerOptions *options, const char *branch)
{
  memset (agent, 0, sizeof *agent);
  agent->options = *options;
  agent->client = caller_client_new (options);
  agent->messages = json_array ();
  agent->lines = json_array ();
  snprintf (agent->branch, sizeof agent->branch, "%s", branch);
}

static void
agent_clear (struct Agent *agent)
{
  caller_client_free (agent->client);
  json_decref (agent->messages);
  json_decref (agent->lines);
  free (agent->tool_result);
  free (agent->last_body);
}

static void
line_add_response (json_t *line, const struct CallerResponse *response)
{
  json_object_set_new (line, "status", json_integer (response->status));
  if (response->ran[0] != '\0')
    json_object_set_new (line, "ran", json_string (response->ran));
  if (response->has_charge)
    json_object_set_new (line, "charge_tokens", json_integer ((json_int_t)response->charge_tokens));
  if (response->n_attempts > 1)
    json_object_set_new (line, "attempts", json_integer (response->n_attempts));
  if (response->error != NULL)
    json_object_set (line, "error", response->error);
}

static void
agent_create (struct Agent *agent, const json_t *body, json_t *line)
{
  char *text = json_dumps (body, JSON_COMPACT);
  struct CallerRequest request = {
    .method = "POST",
    .path = "/v1/programs",
    .program = json_text_or (body, "program", ""),
    .body = text,
  };
  struct CallerResponse response;

  caller_client_send (agent->client, &request, &response);
  snprintf (agent->program, sizeof agent->program, "%s",
            json_text_or (response.body, "program", ""));
  line_add_response (line, &response);
  json_object_set_new (line, "program", json_string (agent->program));
  caller_response_clear (&response);
  free (text);
}

static void
agent_add_message (struct Agent *agent, const char *role, const char *content)
{
  if (content != NULL)
    json_array_append_new (agent->messages,
                           json_pack ("{s:s, s:s}", "role", role, "content", content));
}

static json_t *
agent_chat_body (struct Agent *agent, const json_t *call)
{
  static const char *const copied[] = { "max_tokens", "min_tokens" };
  json_t *body = json_pack ("{s:s}", "model", json_text_or (call, "model", ""));

  agent_add_message (agent, "system", json_text_or (call, "system", NULL));
  agent_add_message (agent, "user", json_text_or (call, "user", NULL));
  if (json_is_true (json_object_get (call, "tool_result")))
    agent_add_message (agent, "tool", agent->tool_result);
  json_object_set (body, "messages", agent->messages);
  for (size_t i = 0; i < sizeof copied / sizeof copied[0]; i++)
    if (json_object_get (call, copied[i]) != NULL)
      json_object_set (body, copied[i], json_object_get (call, copied[i]));
  if (json_is_true (json_object_get (call, "stream")))
    json_object_set_new (body, "stream", json_true ());
  return body;
}

static void
agent_read_chat_response (struct Agent *agent,
                          const struct CallerResponse *response,
                          bool stream,
                          bool keep_message,
                          json_t *line)
{
  const json_t *choice = json_array_get (json_object_get (response->body, "choices"), 0);
  const char *content =
      stream ? response->text : json_text_or (json_object_get (choice, "message"), "content", NULL);

  if (content == NULL || response->error != NULL || response->status != 200)
    return;
  json_object_set_new (line, "answer", json_string (content));
  if (keep_message)
    agent_add_message (agent, "assistant", content);
}

static void
agent_read_service_response (struct Agent *agent,
                             const struct CallerResponse *response,
                             json_t *line)
{
  if (response->error != NULL || response->status == 0)
    return;
  free (agent->tool_result);
  agent->tool_result = strdup (response->text);
  if (response->body != NULL)
    json_object_set (line, "answer", response->body);
  else
    json_object_set_new (line, "answer", json_string (response->text));
}

/* Returns the body to send, which agent->last_body keeps, and sets the sequence number. */
static const char *
agent_next_body (struct Agent *agent, const json_t *call)
{
  json_t *body;

  if (json_is_true (json_object_get (call, "again")) && agent->last_body != NULL)
    return agent->last_body;
  agent->sequence++;
  body = json_object_get (call, "service") != NULL ? json_incref (json_object_get (call, "body"))
                                                   : agent_chat_body (agent, call);
  free (agent->last_body);
  agent->last_body = body != NULL ? json_dumps (body, JSON_COMPACT) : strdup ("");
  json_decref (body);
  return agent->last_body;
}

static void
agent_call (struct Agent *agent, const json_t *call, json_t *line)
{
  const char *service = json_text_or (call, "service", NULL);
  char headers[HEADERS_MAX][HEADER_BYTES];
  const char *header_list[HEADERS_MAX];
  struct CallerRequest request = { .method = "POST", .program = agent->program };
  struct CallerResponse response;
  char path[256];

  request.body = agent_next_body (agent, call);
  request.is_resend = json_is_true (json_object_get (call, "again"));
  snprintf (path, sizeof path, "/v1/programs/%s/calls?branch=%s&sequence=%" PRIu64, agent->program,
            agent->branch, agent->sequence);
  request.path = path;
  request.stream = service == NULL && json_is_true (json_object_get (call, "stream"));
  request.headers = header_list;
  for (size_t i = 0; i < HEADERS_MAX; i++)
    header_list[i] = headers[i];
  if (json_object_get (call, "idempotent") != NULL)
    snprintf (headers[request.n_headers++], HEADER_BYTES, "Idempotent: %s",
              json_is_true (json_object_get (call, "idempotent")) ? "true" : "false");
  if (service != NULL)
    {
      snprintf (headers[request.n_headers++], HEADER_BYTES, "X-Target-Service: %s", service);
      snprintf (headers[request.n_headers++], HEADER_BYTES, "X-Target-Path: %s",
                json_text_or (call, "path", "/"));
    }
  caller_client_send (agent->client, &request, &response);
  json_object_set_new (line, "branch", json_string (agent->branch));
  json_object_set_new (line, "sequence", json_integer ((json_int_t)agent->sequence));
  line_add_response (line, &response);
  if (service != NULL)
    agent_read_service_response (agent, &response, line);
  else
    agent_read_chat_response (agent, &response, request.stream, !request.is_resend, line);
  caller_response_clear (&response);
}

static void
agent_call_without_program (struct Agent *agent, const json_t *call, json_t *line)
{
  const json_t *body = json_object_get (call, "body");
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : strdup ("");
  char key[HEADER_BYTES];
  const char *header = key;
  char path[256];
  struct CallerRequest request = {
    .method = "POST",
    .path = path,
    .program = "",
    .headers = &header,
    .n_headers = 1,
    .body = text,
    .is_resend = json_is_true (json_object_get (call, "again")),
  };
  struct CallerResponse response;

  snprintf (key, sizeof key, "Idempotency-Key: %s", json_text_or (call, "key", ""));
  snprintf (path, sizeof path, "/v1/services/%s%s", json_text_or (call, "service", ""),
            json_text_or (call, "path", "/"));
  caller_client_send (agent->client, &request, &response);
  line_add_response (line, &response);
  agent_read_service_response (agent, &response, line);
  caller_response_clear (&response);
  free (text);
}

/* Sends the requests of the steps "state", "history" and "end". */
static void
agent_query (struct Agent *agent, const char *subpath, const char *reason, json_t *line)
{
  char path[256];
  char *body = NULL;
  struct CallerRequest request = { .method = "GET", .path = path, .program = agent->program };
  struct CallerResponse response;

  snprintf (path, sizeof path, "/v1/programs/%s%s%s", agent->program, subpath[0] != '\0' ? "/" : "",
            subpath);
  if (reason != NULL)
    {
      json_t *json = json_pack ("{s:s}", "reason", reason);

      body = json_dumps (json, JSON_COMPACT);
      json_decref (json);
      request.method = "POST";
      request.body = body;
    }
  caller_client_send (agent->client, &request, &response);
  line_add_response (line, &response);
  if (response.body != NULL && response.error == NULL)
    json_object_set (line, "answer", response.body);
  caller_response_clear (&response);
  free (body);
}

static void *
sub_agent_thread (void *data)
{
  agent_run (data);
  return NULL;
}

/* Runs the sub-agents concurrently; their lines are in the order of the script. */
static void
agent_run_sub_agents (struct Agent *agent, const json_t *list, json_t *line)
{
  size_t n = json_array_size (list);
  struct Agent *sub_agents = calloc (n, sizeof *sub_agents);
  pthread_t *threads = calloc (n, sizeof *threads);
  json_t *sub_lines = json_array ();

  for (size_t i = 0; i < n; i++)
    {
      const json_t *item = json_array_get (list, i);

      agent_init (&sub_agents[i], &agent->options, json_text_or (item, "branch", "sub"));
      snprintf (sub_agents[i].program, sizeof sub_agents[i].program, "%s", agent->program);
      sub_agents[i].steps = json_object_get (item, "steps");
      pthread_create (&threads[i], NULL, sub_agent_thread, &sub_agents[i]);
    }
  for (size_t i = 0; i < n; i++)
    {
      pthread_join (threads[i], NULL);
      agent->unmet |= sub_agents[i].unmet;
      json_array_append (sub_lines, sub_agents[i].lines);
      agent_clear (&sub_agents[i]);
    }
  json_object_set_new (line, "sub_agents", sub_lines);
  free (threads);
  free (sub_agents);
}

static void
agent_check_expected (struct Agent *agent, const json_t *expected, json_t *line)
{
  json_t *unmet = json_object ();
  const char *name;
  json_t *value;

  json_object_foreach ((json_t *)expected, name, value)
  {
    if (!json_equal (json_object_get (line, name), value))
      json_object_set (unmet, name, value);
  }
  if (json_object_size (unmet) > 0)
    {
      agent->unmet = true;
      json_object_set (line, "unmet", unmet);
    }
  json_decref (unmet);
}

static const char *
agent_run_step (struct Agent *agent, const json_t *step, json_t *line)
{
  const json_t *value;

  if ((value = json_object_get (step, "create")) != NULL)
    return agent_create (agent, value, line), "create";
  if ((value = json_object_get (step, "call")) != NULL)
    return agent_call (agent, value, line), "call";
  if ((value = json_object_get (step, "lone")) != NULL)
    return agent_call_without_program (agent, value, line), "lone";
  if ((value = json_object_get (step, "pause_ms")) != NULL)
    return usleep ((useconds_t)json_integer_value (value) * 1000), "pause";
  if ((value = json_object_get (step, "sub_agents")) != NULL)
    return agent_run_sub_agents (agent, value, line), "sub_agents";
  if (json_object_get (step, "state") != NULL)
    return agent_query (agent, "", NULL, line), "state";
  if (json_object_get (step, "history") != NULL)
    return agent_query (agent, "history", NULL, line), "history";
  if ((value = json_object_get (step, "end")) != NULL)
    return agent_query (agent, "end", json_string_value (value), line), "end";
  return "unknown step";
}

static void
agent_run (struct Agent *agent)
{
  size_t i;
  json_t *step;

  json_array_foreach (agent->steps, i, step)
  {
    json_t *line = json_pack ("{s:s}", "do", "");

    json_object_set_new (line, "do", json_string (agent_run_step (agent, step, line)));
    agent_check_expected (agent, json_object_get (step, "expect"), line);
    json_array_append_new (agent->lines, line);
    if (strcmp (agent->branch, "main") == 0)
      {
        char *text = json_dumps (line, JSON_COMPACT | JSON_PRESERVE_ORDER);

        puts (text);
        fflush (stdout);
        free (text);
      }
  }
}

int
standin_caller_run (int argc, char **argv)
{
  static const struct option names[] = {
    { "entry", required_argument, NULL, 'e' },
    { "script", required_argument, NULL, 's' },
    { "give-up-ms", required_argument, NULL, 'g' },
    { NULL, 0, NULL, 0 },
  };
  struct CallerOptions options = { .timeout_ms = REQUEST_TIMEOUT_MS };
  const char *script_file = NULL;
  json_error_t error;
  json_t *script;
  struct Agent agent;
  bool unmet;
  int option;

  while ((option = getopt_long (argc, argv, "", names, NULL)) != -1)
    switch (option)
      {
      case 'e':
        options.entries = optarg;
        break;
      case 's':
        script_file = optarg;
        break;
      case 'g':
        options.timeout_ms = strtoll (optarg, NULL, 10);
        break;
      default:
        return 2;
      }
  if (options.entries == NULL || options.entries[0] == '\0' || script_file == NULL)
    {
      fprintf (stderr, "caller: --entry IP:PORT[,IP:PORT...] --script FILE\n");
      return 2;
    }
  script = json_load_file (script_file, 0, &error);
  if (script == NULL)
    {
      fprintf (stderr, "%s:%d: %s\n", script_file, error.line, error.text);
      return 2;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  agent_init (&agent, &options, "main");
  agent.steps = json_object_get (script, "steps");
  if (agent.client == NULL)
    return 2;
  agent_run (&agent);
  unmet = agent.unmet;
  agent_clear (&agent);
  json_decref (script);
  return unmet ? 1 : 0;
}
