#include "engine_model.h"
#include "http_server.h"
#include "standin.h"

#include <getopt.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  BYTES_PER_TOKEN = 4,
  TOKENS_PER_MESSAGE = 4, /* for its role and framing */
  ANSWER_TOKENS_MIN = 8,
  ANSWER_TOKENS_SPREAD = 24,
  MAX_TOKENS_DEFAULT = 4096,
  WAIT_MS = 50, /* between looks whether the client has gone */
  STREAM_BLOCK_BYTES = 4096
};

struct Engine
{
  struct EngineOptions options;
  struct EngineModel *model;
  pthread_mutex_t lock; /* of the orders */
  int64_t fencing;
  json_t *orders;
};

/* One POST /v1/chat/completions. */
struct Completion
{
  struct Engine *engine;
  struct StandinRequest *request;
  struct EngineCall call;
  uint64_t hash; /* of the prompt */
  uint32_t turn;
  bool limited; /* max_tokens cut the answer */
  bool close_mid_stream, close_after_run;
  uint32_t sent_tokens;
  bool ended;
  char *pending; /* bytes of the stream not yet given to microhttpd */
  size_t pending_bytes, pending_sent;
};

static uint32_t
tokens_of (size_t n_bytes)
{
  return (uint32_t)(TOKENS_PER_MESSAGE + (n_bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
}

/* Token i of the answer: "answer <hash> turn n" and then numbered words. */
static void
completion_token (const struct Completion *completion, uint32_t i, char token[32])
{
  switch (i)
    {
    case 0:
      snprintf (token, 32, "answer");
      break;
    case 1:
      snprintf (token, 32, " %08" PRIx32, (uint32_t)(completion->hash ^ completion->hash >> 32));
      break;
    case 2:
      snprintf (token, 32, " turn");
      break;
    case 3:
      snprintf (token, 32, " %" PRIu32, completion->turn);
      break;
    default:
      snprintf (token, 32, " w%" PRIu32, i);
      break;
    }
}

static char *
completion_text (const struct Completion *completion)
{
  char *text = calloc (completion->call.target_tokens + 1, 32);
  char *end = text;

  for (uint32_t i = 0; i < completion->call.target_tokens; i++)
    {
      char token[32];

      completion_token (completion, i, token);
      end = stpcpy (end, token);
    }
  return text;
}

static uint64_t
completion_add_message (
    struct Completion *completion, size_t i, uint64_t hash, const char *role, const char *content)
{
  hash = standin_hash (hash, role, strlen (role) + 1);
  hash = standin_hash (hash, content, strlen (content) + 1);
  completion->call.segments[i].hash = hash;
  completion->call.segments[i].tokens = tokens_of (strlen (content));
  return hash;
}

static void
completion_read_messages (struct Completion *completion, const json_t *messages)
{
  struct EngineCall *call = &completion->call;
  uint64_t hash = STANDIN_HASH_START;
  size_t n = json_array_size (messages);

  call->segments = calloc (n + 1, sizeof *call->segments);
  call->n_segments = n + 1;
  completion->turn = 1;
  for (size_t i = 0; i < n; i++)
    {
      const json_t *message = json_array_get (messages, i);
      const json_t *content = json_object_get (message, "content");
      const char *role = json_string_value (json_object_get (message, "role"));
      char *text = json_is_string (content) ? strdup (json_string_value (content))
                                            : json_dumps (content, JSON_ENCODE_ANY | JSON_COMPACT);

      role = role != NULL ? role : "";
      hash = completion_add_message (completion, i, hash, role, text != NULL ? text : "");
      free (text);
      call->prompt_tokens += call->segments[i].tokens;
      completion->turn += strcmp (role, "assistant") == 0;
    }
  completion->hash = hash;
}

/* Length of the answer: by the prompt's hash, within min_tokens and max_tokens. */
static void
completion_set_length (struct Completion *completion, const json_t *body)
{
  json_int_t max = json_integer_value (json_object_get (body, "max_completion_tokens"));
  json_int_t min = json_integer_value (json_object_get (body, "min_tokens"));
  json_int_t target = ANSWER_TOKENS_MIN + (json_int_t)(completion->hash % ANSWER_TOKENS_SPREAD);
  struct EngineCall *call = &completion->call;
  char *text;

  if (max <= 0)
    max = json_integer_value (json_object_get (body, "max_tokens"));
  if (max <= 0)
    max = MAX_TOKENS_DEFAULT;
  if (target < min)
    target = min;
  completion->limited = target > max;
  call->target_tokens = (uint32_t)(completion->limited ? max : target);
  text = completion_text (completion);
  completion_add_message (completion, call->n_segments - 1, completion->hash, "assistant", text);
  free (text);
}

static struct Completion *
completion_new (struct Engine *engine, struct StandinRequest *request, const json_t *body)
{
  struct Completion *completion = calloc (1, sizeof *completion);
  struct EngineFaults *faults;

  completion->engine = engine;
  completion->request = request;
  completion->call.body = request->body;
  snprintf (completion->call.program, sizeof completion->call.program, "%s",
            standin_header (request, "X-Program"));
  snprintf (completion->call.key, sizeof completion->call.key, "%s",
            standin_header (request, "Idempotency-Key"));
  completion_read_messages (completion, json_object_get (body, "messages"));
  completion_set_length (completion, body);
  faults = engine_model_lock_faults (engine->model);
  if (faults->close_after_run > 0)
    {
      faults->close_after_run--;
      completion->close_after_run = true;
    }
  else if (faults->close_mid_stream > 0)
    {
      faults->close_mid_stream--;
      completion->close_mid_stream = true;
    }
  engine_model_unlock_faults (engine->model);
  engine_model_add (engine->model, &completion->call);
  return completion;
}

static void
completion_free (struct Completion *completion)
{
  engine_model_remove (completion->engine->model, &completion->call);
  free (completion->call.segments);
  free (completion->pending);
  free (completion);
}

static json_t *
completion_usage (const struct Completion *completion)
{
  const struct EngineCall *call = &completion->call;

  return json_pack ("{s:i, s:i, s:i, s:{s:i}}", "prompt_tokens", (int)call->prompt_tokens,
                    "completion_tokens", (int)call->generated_tokens, "total_tokens",
                    (int)(call->prompt_tokens + call->generated_tokens), "prompt_tokens_details",
                    "cached_tokens", (int)call->cached_tokens);
}

static json_t *
completion_envelope (const struct Completion *completion, const char *object, json_t *choice)
{
  char id[40];

  snprintf (id, sizeof id, "chatcmpl-%016" PRIx64, completion->hash);
  return json_pack ("{s:s, s:s, s:i, s:s, s:[o]}", "id", id, "object", object, "created", 0,
                    "model", completion->engine->options.model, "choices", choice);
}

static const char *
completion_finish_reason (const struct Completion *completion)
{
  return completion->limited ? "length" : "stop";
}

/* False when the client has gone or the answer is to be lost. */
static bool
completion_wait_done (struct Completion *completion)
{
  enum EngineCallState state;
  uint32_t generated;

  do
    {
      if (standin_client_gone (completion->request))
        return false;
      state = engine_model_wait (completion->engine->model, &completion->call, UINT32_MAX, WAIT_MS,
                                 &generated);
    }
  while (state == ENGINE_CALL_WAITING || state == ENGINE_CALL_RUNNING);
  return !completion->close_after_run && !completion->close_mid_stream;
}

static enum MHD_Result
completion_reply_whole (struct Completion *completion)
{
  char *text = completion_text (completion);
  json_t *choice =
      json_pack ("{s:i, s:{s:s, s:s}, s:s}", "index", 0, "message", "role", "assistant", "content",
                 text, "finish_reason", completion_finish_reason (completion));
  json_t *answer = completion_envelope (completion, "chat.completion", choice);

  free (text);
  json_object_set_new (answer, "usage", completion_usage (completion));
  return standin_reply_json (completion->request, MHD_HTTP_OK, answer);
}

static void
completion_append (struct Completion *completion, const char *text)
{
  size_t n = strlen (text);

  completion->pending = realloc (completion->pending, completion->pending_bytes + n);
  memcpy (completion->pending + completion->pending_bytes, text, n);
  completion->pending_bytes += n;
}

static void
completion_append_json (struct Completion *completion, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT | JSON_PRESERVE_ORDER);

  completion_append (completion, "data: ");
  completion_append (completion, text);
  completion_append (completion, "\n\n");
  free (text);
  json_decref (json);
}

static void
completion_append_token (struct Completion *completion, uint32_t i)
{
  char token[32];
  json_t *choice;

  completion_token (completion, i, token);
  choice = json_pack ("{s:i, s:{s:s, s:s}, s:n}", "index", 0, "delta", "role", "assistant",
                      "content", token, "finish_reason");
  completion_append_json (completion,
                          completion_envelope (completion, "chat.completion.chunk", choice));
}

static void
completion_append_end (struct Completion *completion)
{
  json_t *choice = json_pack ("{s:i, s:{}, s:s}", "index", 0, "delta", "finish_reason",
                              completion_finish_reason (completion));
  json_t *last = completion_envelope (completion, "chat.completion.chunk", choice);

  json_object_set_new (last, "usage", completion_usage (completion));
  completion_append_json (completion, last);
  completion_append (completion, "data: [DONE]\n\n");
  completion->ended = true;
}

/* Waits for more of the stream. False when it breaks off here. */
static bool
completion_fill (struct Completion *completion)
{
  struct EngineCall *call = &completion->call;
  uint32_t generated = 0;
  enum EngineCallState state;

  completion->pending_bytes = 0;
  completion->pending_sent = 0;
  do
    {
      if (standin_client_gone (completion->request))
        return false;
      state = engine_model_wait (completion->engine->model, call, completion->sent_tokens, WAIT_MS,
                                 &generated);
    }
  while (state != ENGINE_CALL_DONE && generated <= completion->sent_tokens);
  if (completion->close_mid_stream && generated > call->target_tokens / 2)
    return false;
  while (completion->sent_tokens < generated)
    completion_append_token (completion, completion->sent_tokens++);
  if (state == ENGINE_CALL_DONE)
    {
      if (completion->close_after_run)
        return false;
      completion_append_end (completion);
    }
  return true;
}

static ssize_t
completion_read_stream (void *data, uint64_t position, char *buffer, size_t max_bytes)
{
  struct Completion *completion = data;
  size_t n;

  (void)position;
  if (completion->pending_sent == completion->pending_bytes)
    {
      if (completion->ended)
        return MHD_CONTENT_READER_END_OF_STREAM;
      if (!completion_fill (completion))
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
  n = completion->pending_bytes - completion->pending_sent;
  if (n > max_bytes)
    n = max_bytes;
  memcpy (buffer, completion->pending + completion->pending_sent, n);
  completion->pending_sent += n;
  return (ssize_t)n;
}

static void
completion_free_stream (void *data)
{
  completion_free (data);
}

static enum MHD_Result
completion_reply_stream (struct Completion *completion)
{
  struct MHD_Connection *connection = completion->request->connection;
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, completion_read_stream, completion,
      completion_free_stream);
  enum MHD_Result result;

  MHD_add_response_header (response, "Content-Type", "text/event-stream");
  result = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
engine_reply_error (struct StandinRequest *request, uint32_t status, const char *message)
{
  return standin_reply_json (request, status, json_pack ("{s:{s:s}}", "error", "message", message));
}

static enum MHD_Result
engine_complete (struct Engine *engine, struct StandinRequest *request)
{
  json_t *body = json_loads (request->body, 0, NULL);
  struct Completion *completion;
  enum MHD_Result result = MHD_NO;
  bool stream;

  if (!json_is_array (json_object_get (body, "messages")))
    {
      json_decref (body);
      return engine_reply_error (request, MHD_HTTP_BAD_REQUEST, "no messages in the body");
    }
  stream = json_is_true (json_object_get (body, "stream"));
  completion = completion_new (engine, request, body);
  json_decref (body);
  if (stream)
    return completion_reply_stream (completion);
  if (completion_wait_done (completion))
    result = completion_reply_whole (completion);
  completion_free (completion);
  return result;
}

static enum MHD_Result
engine_release (struct Engine *engine, struct StandinRequest *request)
{
  json_t *body = json_loads (request->body, 0, NULL);
  const char *program = json_string_value (json_object_get (body, "program"));
  struct EngineFaults *faults = engine_model_lock_faults (engine->model);
  bool ignored = faults->ignore_release;
  bool lost = faults->lose_release > 0;
  enum MHD_Result result;

  faults->lose_release -= lost;
  engine_model_unlock_faults (engine->model);
  if (lost)
    result = MHD_NO;
  else if (program == NULL)
    result = engine_reply_error (request, MHD_HTTP_BAD_REQUEST, "no program in the body");
  else if (ignored)
    result = engine_reply_error (request, MHD_HTTP_SERVICE_UNAVAILABLE, "release ignored");
  else
    result =
        standin_reply_json (request, MHD_HTTP_OK,
                            json_pack ("{s:b, s:I}", "released", 1, "tokens",
                                       (json_int_t)engine_model_release (engine->model, program)));
  json_decref (body);
  return result;
}

static enum MHD_Result
engine_reply_load (struct Engine *engine, struct StandinRequest *request)
{
  struct EngineLoad load = engine_model_load (engine->model);

  return standin_reply_json (
      request, MHD_HTTP_OK,
      json_pack ("{s:i, s:i, s:I, s:I, s:I, s:s}", "running", (int)load.running, "waiting",
                 (int)load.waiting, "cache_used_tokens", (json_int_t)load.used_tokens,
                 "cache_capacity_tokens", (json_int_t)engine->options.cache_tokens, "last_event",
                 (json_int_t)load.last_event, "engine_incarnation", engine->options.incarnation));
}

static enum MHD_Result
engine_reply_events (struct Engine *engine, struct StandinRequest *request)
{
  uint64_t after = strtoull (standin_argument (request, "after"), NULL, 10);

  return standin_reply_json (request, MHD_HTTP_OK,
                             json_pack ("{s:s, s:o}", "engine_incarnation",
                                        engine->options.incarnation, "events",
                                        engine_model_events (engine->model, after)));
}

static enum MHD_Result
engine_reply_held (struct Engine *engine, struct StandinRequest *request)
{
  const char *program = standin_argument (request, "program");
  uint64_t tokens = engine_model_held_tokens (engine->model, program);

  return standin_reply_json (
      request, MHD_HTTP_OK,
      json_pack ("{s:b, s:I}", "held", tokens > 0, "tokens", (json_int_t)tokens));
}

static enum MHD_Result
engine_take_order (struct Engine *engine, struct StandinRequest *request)
{
  json_t *order = json_loads (request->body, 0, NULL);
  json_int_t fencing = json_integer_value (json_object_get (order, "fencing"));
  enum MHD_Result result;

  pthread_mutex_lock (&engine->lock);
  if (engine->options.fencing && fencing < engine->fencing)
    {
      json_decref (order);
      result = standin_reply_json (request, MHD_HTTP_CONFLICT,
                                   json_pack ("{s:{s:s}, s:I}", "error", "message",
                                              "old fencing number", "fencing", engine->fencing));
      goto out;
    }
  if (fencing > engine->fencing)
    engine->fencing = fencing;
  json_array_append_new (engine->orders, order != NULL ? order : json_object ());
  result = standin_reply_json (request, MHD_HTTP_OK, json_pack ("{s:b}", "taken", 1));

out:
  pthread_mutex_unlock (&engine->lock);
  return result;
}

static enum MHD_Result
engine_reply_orders (struct Engine *engine, struct StandinRequest *request)
{
  json_t *orders;

  pthread_mutex_lock (&engine->lock);
  orders = json_deep_copy (engine->orders);
  pthread_mutex_unlock (&engine->lock);
  return standin_reply_json (request, MHD_HTTP_OK, json_pack ("{s:o}", "orders", orders));
}

static void
engine_set_fault (struct EngineFaults *faults, const char *name, const json_t *value)
{
  uint32_t n = (uint32_t)json_integer_value (value);

  if (strcmp (name, "crash_on") == 0)
    snprintf (faults->crash_on, sizeof faults->crash_on, "%s",
              json_is_string (value) ? json_string_value (value) : "");
  else if (strcmp (name, "close_after_run") == 0)
    faults->close_after_run = n;
  else if (strcmp (name, "close_mid_stream") == 0)
    faults->close_mid_stream = n;
  else if (strcmp (name, "lose_release") == 0)
    faults->lose_release = n;
  else if (strcmp (name, "ignore_release") == 0)
    faults->ignore_release = json_is_true (value);
  else if (strcmp (name, "hang") == 0)
    faults->hang = json_is_true (value);
  else if (strcmp (name, "slow_factor") == 0 && json_number_value (value) > 0)
    faults->slow_factor = json_number_value (value);
}

static enum MHD_Result
engine_control (struct Engine *engine, struct StandinRequest *request)
{
  json_t *wanted = json_loads (request->body, 0, NULL);
  struct EngineFaults *faults = engine_model_lock_faults (engine->model);
  const char *name;
  json_t *value;

  json_object_foreach (wanted, name, value) { engine_set_fault (faults, name, value); }
  engine_model_unlock_faults (engine->model);
  json_decref (wanted);
  return standin_reply_json (request, MHD_HTTP_OK, json_pack ("{s:b}", "set", 1));
}

static enum MHD_Result
engine_handle (void *data, struct StandinRequest *request)
{
  struct Engine *engine = data;

  if (standin_is (request, "POST", "/v1/chat/completions"))
    return engine_complete (engine, request);
  if (standin_is (request, "POST", "/release"))
    return engine_release (engine, request);
  if (standin_is (request, "GET", "/load"))
    return engine_reply_load (engine, request);
  if (standin_is (request, "GET", "/events"))
    return engine_reply_events (engine, request);
  if (standin_is (request, "GET", "/held"))
    return engine_reply_held (engine, request);
  if (standin_is (request, "POST", "/orders"))
    return engine_take_order (engine, request);
  if (standin_is (request, "GET", "/orders"))
    return engine_reply_orders (engine, request);
  if (standin_is (request, "GET", "/log"))
    return standin_reply_json (request, MHD_HTTP_OK,
                               json_pack ("{s:o}", "calls", engine_model_log (engine->model)));
  if (standin_is (request, "POST", "/control"))
    return engine_control (engine, request);
  return engine_reply_error (request, MHD_HTTP_NOT_FOUND, "no such path");
}

static bool
engine_parse_options (int argc, char **argv, struct EngineOptions *options, const char **listen)
{
  static const struct option names[] = {
    { "listen", required_argument, NULL, 'l' },
    { "name", required_argument, NULL, 'n' },
    { "model", required_argument, NULL, 'm' },
    { "tokens-per-second", required_argument, NULL, 't' },
    { "prefill-tokens-per-second", required_argument, NULL, 'p' },
    { "max-batch", required_argument, NULL, 'b' },
    { "cache-tokens", required_argument, NULL, 'c' },
    { "report-lag-ms", required_argument, NULL, 'r' },
    { "fencing", required_argument, NULL, 'f' },
    { "incarnation", required_argument, NULL, 'i' },
    { NULL, 0, NULL, 0 },
  };
  int option;

  while ((option = getopt_long (argc, argv, "", names, NULL)) != -1)
    switch (option)
      {
      case 'l':
        *listen = optarg;
        break;
      case 'n':
        options->name = optarg;
        break;
      case 'm':
        options->model = optarg;
        break;
      case 't':
        options->tokens_per_second = strtod (optarg, NULL);
        break;
      case 'p':
        options->prefill_tokens_per_second = strtod (optarg, NULL);
        break;
      case 'b':
        options->max_batch = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'c':
        options->cache_tokens = strtoull (optarg, NULL, 10);
        break;
      case 'r':
        options->report_lag_ms = strtoll (optarg, NULL, 10);
        break;
      case 'f':
        options->fencing = strcmp (optarg, "ignore") != 0;
        break;
      case 'i':
        options->incarnation = optarg;
        break;
      default:
        return false;
      }
  return *listen != NULL && options->tokens_per_second > 0 && options->prefill_tokens_per_second > 0
         && options->max_batch > 0;
}

int
standin_engine_run (int argc, char **argv)
{
  struct EngineOptions options = { .name = "engine",
                                   .model = "model",
                                   .tokens_per_second = 50,
                                   .prefill_tokens_per_second = 8000,
                                   .max_batch = 16,
                                   .cache_tokens = 200000,
                                   .fencing = true };
  struct Engine engine = { .lock = PTHREAD_MUTEX_INITIALIZER };
  struct StandinService service = { .handle = engine_handle, .data = &engine };
  const char *listen = NULL;
  char incarnation[32];

  snprintf (incarnation, sizeof incarnation, "%" PRIx64, (uint64_t)time (NULL));
  options.incarnation = incarnation;
  if (!engine_parse_options (argc, argv, &options, &listen))
    {
      fprintf (stderr, "engine: bad options; run without arguments for the list\n");
      return 2;
    }
  engine.options = options;
  engine.orders = json_array ();
  engine.model = engine_model_new (NULL, &options);
  standin_block_signals ();
  if (!engine_model_start (engine.model))
    return 1;
  return standin_serve (listen, &service);
}
