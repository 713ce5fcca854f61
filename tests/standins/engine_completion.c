#include "engine_completion.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  BYTES_PER_TOKEN = 4,
  TOKENS_PER_MESSAGE = 4, /* overhead of a message for its role and framing */
  ANSWER_TOKENS_MIN = 8,
  ANSWER_TOKENS_SPREAD = 24,
  MAX_TOKENS_DEFAULT = 4096,
  WAIT_MS = 50, /* between checks whether the client has disconnected */
  STREAM_BLOCK_BYTES = 4096
};

/* One POST /v1/chat/completions. */
struct Completion
{
  struct EngineModel *model;
  const char *model_name;
  struct StandinRequest *request;
  struct EngineCall call;
  uint64_t hash; /* of the prompt */
  uint32_t turn;
  bool truncated; /* max_tokens truncates the answer */
  bool close_mid_stream, close_after_run;
  uint32_t sent_tokens;
  bool ended;
  char *pending; /* bytes of the stream; those after pending_sent are still to be sent */
  size_t pending_bytes, pending_sent;
};

static uint32_t
tokens_of (size_t n_bytes)
{
  return (uint32_t)(TOKENS_PER_MESSAGE + (n_bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
}

/* Writes token i of the answer: "answer <hash> turn n", followed by numbered words. */
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

/* Derives the length of the answer from the hash of the prompt, within min_tokens and max_tokens. A
 * length set as a fault overrides min_tokens. */
static void
completion_set_length (struct Completion *completion, const json_t *body, uint32_t answer_tokens)
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
  if (answer_tokens > 0)
    target = answer_tokens;
  completion->truncated = target > max;
  call->target_tokens = (uint32_t)(completion->truncated ? max : target);
  text = completion_text (completion);
  completion_add_message (completion, call->n_segments - 1, completion->hash, "assistant", text);
  free (text);
}

/* Makes the answer differ from that of every earlier run, on any engine. */
static void
completion_vary (struct Completion *completion, uint64_t n_varied)
{
  uint64_t salt[] = { (uint64_t)getpid (), n_varied };

  completion->hash = standin_hash (completion->hash, salt, sizeof salt);
}

static struct Completion *
completion_new (struct EngineModel *model,
                const char *model_name,
                struct StandinRequest *request,
                const json_t *body)
{
  struct Completion *completion = calloc (1, sizeof *completion);
  struct EngineFaults *faults;
  uint32_t answer_tokens;

  completion->model = model;
  completion->model_name = model_name;
  completion->request = request;
  completion->call.body = request->body;
  snprintf (completion->call.program, sizeof completion->call.program, "%s",
            standin_header (request, "X-Program"));
  snprintf (completion->call.key, sizeof completion->call.key, "%s",
            standin_header (request, "Idempotency-Key"));
  completion_read_messages (completion, json_object_get (body, "messages"));
  faults = engine_model_lock_faults (model);
  if (faults->vary)
    completion_vary (completion, ++faults->n_varied);
  answer_tokens = faults->answer_tokens;
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
  engine_model_unlock_faults (model);
  completion_set_length (completion, body, answer_tokens);
  engine_model_add (model, &completion->call);
  return completion;
}

static void
completion_free (struct Completion *completion)
{
  engine_model_remove (completion->model, &completion->call);
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
                    "model", completion->model_name, "choices", choice);
}

static const char *
completion_finish_reason (const struct Completion *completion)
{
  return completion->truncated ? "length" : "stop";
}

/* Returns false when the client disconnects or a fault loses the response. */
static bool
completion_wait_done (struct Completion *completion)
{
  enum EngineCallState state;
  uint32_t generated;

  do
    {
      if (standin_client_closed (completion->request))
        return false;
      state =
          engine_model_wait (completion->model, &completion->call, UINT32_MAX, WAIT_MS, &generated);
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
  json_t *response = completion_envelope (completion, "chat.completion", choice);

  free (text);
  json_object_set_new (response, "usage", completion_usage (completion));
  return standin_reply_json (completion->request, MHD_HTTP_OK, response);
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

/* Waits for the next part of the stream. Returns false when the stream is to be cut off. */
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
      if (standin_client_closed (completion->request))
        return false;
      state =
          engine_model_wait (completion->model, call, completion->sent_tokens, WAIT_MS, &generated);
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

enum MHD_Result
engine_complete (struct EngineModel *model, const char *model_name, struct StandinRequest *request)
{
  json_t *body = json_loads (request->body, 0, NULL);
  struct Completion *completion;
  enum MHD_Result result = MHD_NO;
  bool stream;

  if (!json_is_array (json_object_get (body, "messages")))
    {
      json_decref (body);
      return standin_reply_json (
          request, MHD_HTTP_BAD_REQUEST,
          json_pack ("{s:{s:s}}", "error", "message", "no messages in the body"));
    }
  stream = json_is_true (json_object_get (body, "stream"));
  completion = completion_new (model, model_name, request, body);
  json_decref (body);
  if (stream)
    return completion_reply_stream (completion);
  if (completion_wait_done (completion))
    result = completion_reply_whole (completion);
  completion_free (completion);
  return result;
}
