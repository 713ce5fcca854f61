#include <buckthornhead/caller_http.h>

#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <jansson.h>
#include <nettle/sha2.h>

enum
{
  MAX_TOKENS_DEFAULT = 512,
  BYTES_PER_TOKEN = 4, /* common estimate for prompts */
  DERIVED_ID_BYTES = 16
};

/* Input and output of parsing one request. */
struct ParseContext
{
  struct Exchange *exchange;
  struct PeerRequest *request;
  struct Call *call;
  const struct Settings *settings;
  const char *path;
  HeaderFn header;
  HeaderFn query;
  void *data;
  struct Fault *fault;
};

static bool
name_is_valid (const char *name)
{
  size_t n = 0;

  for (; name[n] != '\0'; n++)
    if (!isalnum ((unsigned char)name[n]) && strchr ("._-", name[n]) == NULL)
      return false;
  return n > 0 && n <= NAME_MAX_BYTES;
}

static int32_t
parse_name (struct ParseContext *parse, const char *what, const char *text, char *name)
{
  if (text == NULL || !name_is_valid (text))
    return fault_set (parse->fault, ERROR_INVALID, "use 1 to 64 letters, digits, '.', '_' or '-'",
                      "%s is missing or not a valid name", what);
  snprintf (name, NAME_MAX_BYTES + 1, "%s", text);
  return ERROR_NONE;
}

static int32_t
parse_bool (struct ParseContext *parse, const char *name, bool default_value, bool *value)
{
  const char *text = parse->header (parse->data, name);

  *value = default_value;
  if (text == NULL)
    return ERROR_NONE;
  *value = strcmp (text, "true") == 0;
  if (!*value && strcmp (text, "false") != 0)
    return fault_set (parse->fault, ERROR_INVALID, "send true or false",
                      "header %s must be true or false", name);
  return ERROR_NONE;
}

static int32_t
parse_uint (struct ParseContext *parse, const char *what, const char *text, uint64_t *value)
{
  char *end;

  if (text == NULL || !isdigit ((unsigned char)text[0]) || strlen (text) > 18)
    return fault_set (parse->fault, ERROR_INVALID, "send a decimal integer",
                      "%s is missing or not an integer", what);
  *value = strtoull (text, &end, 10);
  if (*end != '\0')
    return fault_set (parse->fault, ERROR_INVALID, "send a decimal integer", "%s is not an integer",
                      what);
  return ERROR_NONE;
}

/* Returns the nesting depth of a JSON text, so that deep nesting is rejected before the recursive
 * parser uses up its stack. */
static uint32_t
json_text_depth (const uint8_t *text, size_t n_bytes)
{
  uint32_t depth = 0, deepest = 0;
  bool in_string = false;

  for (size_t i = 0; i < n_bytes; i++)
    {
      if (in_string && text[i] == '\\')
        i++;
      else if (text[i] == '"')
        in_string = !in_string;
      else if (!in_string && (text[i] == '{' || text[i] == '['))
        deepest = ++depth > deepest ? depth : deepest;
      else if (!in_string && (text[i] == '}' || text[i] == ']') && depth > 0)
        depth--;
    }
  return deepest;
}

static int32_t
parse_json (struct ParseContext *parse, json_t **json)
{
  const struct Exchange *exchange = parse->exchange;
  json_error_t error;

  *json = NULL;
  if (json_text_depth (exchange->body, exchange->body_bytes) > parse->settings->json_depth_max)
    return fault_set (parse->fault, ERROR_INVALID, "reduce the nesting of the JSON body",
                      "the body is nested deeper than %u levels", parse->settings->json_depth_max);
  *json = json_loadb ((const char *)exchange->body, exchange->body_bytes, JSON_REJECT_DUPLICATES,
                      &error);
  if (*json == NULL)
    return fault_set (parse->fault, ERROR_INVALID, "send one JSON object",
                      "the body is not valid JSON: line %d: %.120s", error.line, error.text);
  if (!json_is_object (*json))
    {
      json_decref (*json);
      *json = NULL;
      return fault_set (parse->fault, ERROR_INVALID, "send one JSON object",
                        "the body is not a JSON object");
    }
  return ERROR_NONE;
}

static void
parse_compute_digest (struct ParseContext *parse)
{
  struct Call *call = parse->call;
  struct sha256_ctx hash;
  uint8_t kind = (uint8_t)call->target_kind;

  sha256_init (&hash);
  sha256_update (&hash, 1, &kind);
  sha256_update (&hash, sizeof call->target, (const uint8_t *)call->target);
  sha256_update (&hash, strlen (call->path) + 1, (const uint8_t *)call->path);
  sha256_update (&hash, parse->exchange->body_bytes, parse->exchange->body);
  sha256_digest (&hash, DIGEST_BYTES, call->digest);
}

/* Derives a program id from the service and the caller's key: a retry through any instance yields
 * the same id. */
static void
derive_program_id (char *id, const char *prefix, const char *service, const char *key)
{
  struct sha256_ctx hash;
  uint8_t digest[DERIVED_ID_BYTES];
  int n;

  sha256_init (&hash);
  sha256_update (&hash, strlen (service) + 1, (const uint8_t *)service);
  sha256_update (&hash, strlen (key), (const uint8_t *)key);
  sha256_digest (&hash, sizeof digest, digest);
  n = snprintf (id, PROGRAM_ID_MAX_BYTES + 1, "%s-", prefix);
  for (size_t i = 0; i < sizeof digest; i++)
    n += snprintf (id + n, (size_t)(PROGRAM_ID_MAX_BYTES + 1 - n), "%02x", digest[i]);
}

static int32_t
random_program_id (struct ParseContext *parse, char *id)
{
  uint64_t bits[2];

  if (getrandom (bits, sizeof bits, 0) != sizeof bits)
    return fault_set (parse->fault, ERROR_IO, NULL, "the system provides no random numbers");
  snprintf (id, PROGRAM_ID_MAX_BYTES + 1, "p-%016" PRIx64 "%016" PRIx64, bits[0], bits[1]);
  return ERROR_NONE;
}

/* Uses the request body unchanged. */
static void
parse_use_raw_body (struct ParseContext *parse)
{
  parse->call->body = parse->exchange->body;
  parse->call->body_bytes = parse->exchange->body_bytes;
}

/* Builds the body for the engine with its messages first: the body of a turn then begins with the
 * messages of the previous turn, and the home stores only the difference. */
static int32_t
parse_write_chat (struct ParseContext *parse, json_t *json)
{
  struct Call *call = parse->call;
  char *messages = json_dumps (json_object_get (json, "messages"), JSON_COMPACT);
  char *rest, *body;

  json_object_del (json, "messages");
  rest = json_dumps (json, JSON_COMPACT);
  /* Skips the opening brackets of both JSON texts; CHAT_BODY_HEAD already contains them. */
  body = talloc_asprintf (parse->exchange, CHAT_BODY_HEAD "%s,%s", messages + 1, rest + 1);
  if (body != NULL)
    {
      call->body = (const uint8_t *)body;
      call->body_bytes = strlen (body);
      call->messages_end = (uint32_t)(strlen (CHAT_BODY_HEAD) + strlen (messages) - 2);
    }
  free (messages);
  free (rest);
  if (body == NULL)
    return fault_set (parse->fault, ERROR_NO_MEMORY, NULL, "out of memory");
  return ERROR_NONE;
}

/* Parses a chat completion, and sets max_tokens and include_usage in the body for the engine: it
 * must not generate more tokens than are reserved, and must report its usage. */
static int32_t
parse_chat_body (struct ParseContext *parse)
{
  struct Call *call = parse->call;
  json_t *json, *model, *limit;
  int32_t error = parse_json (parse, &json);

  if (error != ERROR_NONE)
    return error;
  model = json_object_get (json, "model");
  limit = json_object_get (json, "max_tokens");
  if (limit == NULL)
    limit = json_object_get (json, "max_completion_tokens");
  error = parse_name (parse, "\"model\"", json_string_value (model), call->target);
  if (error != ERROR_NONE)
    goto out;
  if (!json_is_array (json_object_get (json, "messages")))
    {
      error = fault_set (parse->fault, ERROR_INVALID, "send \"messages\" as an array",
                         "\"messages\" is missing or not an array");
      goto out;
    }
  if (limit != NULL
      && (!json_is_integer (limit) || json_integer_value (limit) < 1
          || json_integer_value (limit) > UINT32_MAX))
    {
      error = fault_set (parse->fault, ERROR_INVALID, "send a positive integer",
                         "\"max_tokens\" is out of range");
      goto out;
    }
  call->max_tokens = limit != NULL ? (uint32_t)json_integer_value (limit) : MAX_TOKENS_DEFAULT;
  call->stream = json_is_true (json_object_get (json, "stream"));
  call->prompt_tokens = (uint32_t)(parse->exchange->body_bytes / BYTES_PER_TOKEN);
  json_object_set_new (json, "max_tokens", json_integer (call->max_tokens));
  if (call->stream)
    json_object_set_new (json, "stream_options", json_pack ("{s:b}", "include_usage", 1));
  error = parse_write_chat (parse, json);

out:
  json_decref (json);
  return error;
}

static int32_t
parse_service_path (struct ParseContext *parse, const char *path)
{
  if (path == NULL || path[0] != '/' || strlen (path) >= sizeof parse->call->path)
    return fault_set (parse->fault, ERROR_INVALID,
                      "send a path that starts with '/' and has at most 127 characters",
                      "the service's path is missing or too long");
  for (const char *c = path; *c != '\0'; c++)
    if ((unsigned char)*c <= ' ' || (unsigned char)*c >= 127)
      return fault_set (parse->fault, ERROR_INVALID, "use printable ASCII without spaces",
                        "the service's path contains an invalid character");
  snprintf (parse->call->path, sizeof parse->call->path, "%s", path);
  return ERROR_NONE;
}

/* Parses target, flags and body of a call, after its program, branch and sequence. */
static int32_t
parse_target (struct ParseContext *parse)
{
  struct Call *call = parse->call;
  const char *service = parse->header (parse->data, "X-Target-Service");
  const char *path = parse->header (parse->data, "X-Target-Path");
  uint64_t deadline_ms = 0;
  int32_t error;

  if (parse->header (parse->data, "X-Deadline-Ms") != NULL)
    {
      error = parse_uint (parse, "header X-Deadline-Ms",
                          parse->header (parse->data, "X-Deadline-Ms"), &deadline_ms);
      if (error != ERROR_NONE)
        return error;
      call->deadline_ms = (int64_t)deadline_ms;
    }
  call->target_kind = service != NULL ? CALL_TARGET_SERVICE : CALL_TARGET_ENGINE;
  error = parse_bool (parse, "Idempotent", service == NULL, &call->idempotent);
  if (error != ERROR_NONE)
    return error;
  if (service != NULL)
    {
      error = parse_name (parse, "header X-Target-Service", service, call->target);
      if (error == ERROR_NONE)
        error = parse_service_path (parse, path != NULL ? path : "/");
      parse_use_raw_body (parse);
    }
  else
    error = parse_chat_body (parse);
  if (error == ERROR_NONE)
    parse_compute_digest (parse);
  return error;
}

static int32_t
parse_call (struct ParseContext *parse,
            const char *program,
            const char *branch,
            const char *sequence)
{
  struct Call *call = parse->call;
  int32_t error = parse_name (parse, "the program's id", program, call->key.program);

  parse->request->op = REQUEST_CALL;
  if (error == ERROR_NONE)
    error =
        parse_name (parse, "the branch", branch != NULL ? branch : MAIN_BRANCH, call->key.branch);
  if (error == ERROR_NONE)
    error = parse_uint (parse, "the sequence number", sequence, &call->key.sequence);
  if (error == ERROR_NONE && call->key.sequence == 0)
    error = fault_set (parse->fault, ERROR_INVALID, "number the calls of a branch from 1",
                       "the sequence number is 0");
  return error == ERROR_NONE ? parse_target (parse) : error;
}

static int32_t
parse_create_numbers (struct ParseContext *parse, json_t *json)
{
  static const char *const names[] = { "budget_tokens", "deadline_ms", "turn_limit" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      json_t *value = json_object_get (json, names[i]);

      if (value != NULL && (!json_is_integer (value) || json_integer_value (value) < 1))
        return fault_set (parse->fault, ERROR_INVALID, "send a positive integer, or omit the field",
                          "\"%s\" is not a positive integer", names[i]);
    }
  return ERROR_NONE;
}

static int32_t
parse_create_id (struct ParseContext *parse, json_t *json)
{
  const char *program = json_string_value (json_object_get (json, "program"));
  const char *key = json_string_value (json_object_get (json, "idempotency_key"));

  if (program != NULL)
    return parse_name (parse, "\"program\"", program, parse->call->key.program);
  if (key == NULL)
    return random_program_id (parse, parse->call->key.program);
  derive_program_id (parse->call->key.program, "k", parse->call->service, key);
  return ERROR_NONE;
}

static int32_t
parse_create (struct ParseContext *parse)
{
  json_t *json;
  const char *parent;
  char checked[NAME_MAX_BYTES + 1];
  int32_t error = parse_json (parse, &json);

  if (error != ERROR_NONE)
    return error;
  parse->request->op = REQUEST_CREATE;
  error = parse_name (parse, "\"service\"", json_string_value (json_object_get (json, "service")),
                      parse->call->service);
  parent = json_string_value (json_object_get (json, "parent"));
  if (error == ERROR_NONE && parent != NULL)
    error = parse_name (parse, "\"parent\"", parent, checked);
  if (error == ERROR_NONE)
    error = parse_create_numbers (parse, json);
  if (error == ERROR_NONE)
    error = parse_create_id (parse, json);
  json_decref (json);
  parse_use_raw_body (parse);
  parse_compute_digest (parse);
  return error;
}

static int32_t
parse_end (struct ParseContext *parse, const char *program)
{
  json_t *json;
  const char *reason;
  int32_t error = parse_name (parse, "the program's id", program, parse->call->key.program);

  if (error == ERROR_NONE)
    error = parse_json (parse, &json);
  if (error != ERROR_NONE)
    return error;
  parse->request->op = REQUEST_END;
  reason = json_string_value (json_object_get (json, "reason"));
  if (reason == NULL || (strcmp (reason, "done") != 0 && strcmp (reason, "cancelled") != 0))
    error = fault_set (parse->fault, ERROR_INVALID, "send \"done\" or \"cancelled\"",
                       "\"reason\" must be \"done\" or \"cancelled\"");
  else
    snprintf (parse->call->target, sizeof parse->call->target, "%s", reason);
  json_decref (json);
  return error;
}

/* Parses a lone call, which becomes a program of one call. The program id derives from the service
 * and the caller's key, so that a retry through any instance reaches the same home and record. */
static int32_t
parse_lone (struct ParseContext *parse, const char *rest)
{
  struct Call *call = parse->call;
  const char *key = parse->header (parse->data, "Idempotency-Key");
  const char *slash = strchr (rest, '/');
  char target[NAME_MAX_BYTES + 1] = "";
  int32_t error;

  parse->request->op = REQUEST_CALL_WITHOUT_PROGRAM;
  if (slash != NULL && slash - rest <= NAME_MAX_BYTES)
    snprintf (target, sizeof target, "%.*s", (int)(slash - rest), rest);
  error = parse_name (parse, "the service", target, call->target);
  if (error == ERROR_NONE)
    error = parse_service_path (parse, slash);
  if (error == ERROR_NONE && (key == NULL || key[0] == '\0' || strlen (key) > 200))
    error =
        fault_set (parse->fault, ERROR_INVALID, "send 1 to 200 characters, the same for each retry",
                   "header Idempotency-Key is missing or too long");
  if (error == ERROR_NONE)
    error = parse_bool (parse, "Idempotent", false, &call->idempotent);
  if (error != ERROR_NONE)
    return error;
  call->target_kind = CALL_TARGET_SERVICE;
  snprintf (call->service, sizeof call->service, "%s", target);
  snprintf (call->key.branch, sizeof call->key.branch, MAIN_BRANCH);
  call->key.sequence = 1;
  derive_program_id (call->key.program, "lone", target, key);
  parse_use_raw_body (parse);
  parse_compute_digest (parse);
  return ERROR_NONE;
}

/* Parses the part of a path that follows "/v1/programs/": a program id and an optional verb. */
static int32_t
parse_program_path (struct ParseContext *parse, bool post, const char *rest)
{
  char program[PROGRAM_ID_MAX_BYTES + 1] = "";
  const char *slash = strchr (rest, '/');
  const char *verb = slash != NULL ? slash + 1 : "";
  size_t n = slash != NULL ? (size_t)(slash - rest) : strlen (rest);

  if (n <= PROGRAM_ID_MAX_BYTES)
    snprintf (program, sizeof program, "%.*s", (int)n, rest);
  if (post && strcmp (verb, "calls") == 0)
    return parse_call (parse, program, parse->query (parse->data, "branch"),
                       parse->query (parse->data, "sequence"));
  if (post && strcmp (verb, "end") == 0)
    return parse_end (parse, program);
  if (!post && verb[0] == '\0')
    parse->request->op = REQUEST_VIEW;
  else if (!post && strcmp (verb, "history") == 0)
    parse->request->op = REQUEST_HISTORY;
  else
    return fault_set (parse->fault, ERROR_NOT_FOUND, "see docs/INTERFACE.md",
                      "no such path or method");
  return parse_name (parse, "the program's id", program, parse->call->key.program);
}

bool
caller_request_is_first (HeaderFn header, void *data)
{
  const char *attempt = header (data, "X-Attempt");

  return attempt != NULL && strcmp (attempt, "1") == 0;
}

int32_t
caller_request_parse (struct Exchange *exchange,
                      const struct Settings *settings,
                      const char *method,
                      const char *path,
                      HeaderFn header,
                      HeaderFn query,
                      void *data,
                      struct Fault *fault)
{
  static const char programs[] = "/v1/programs/";
  static const char services[] = "/v1/services/";
  struct ParseContext parse = {
    exchange, &exchange->request, &exchange->request.call, settings, path, header, query, data,
    fault
  };
  bool post = strcmp (method, "POST") == 0;

  exchange->request.first_attempt = caller_request_is_first (header, data);
  if (post && strcmp (path, "/v1/programs") == 0)
    return parse_create (&parse);
  if (post && strcmp (path, "/v1/chat/completions") == 0)
    return parse_call (&parse, header (data, "X-Program"), header (data, "X-Branch"),
                       header (data, "X-Sequence"));
  if (strncmp (path, programs, strlen (programs)) == 0)
    return parse_program_path (&parse, post, path + strlen (programs));
  if (post && strncmp (path, services, strlen (services)) == 0)
    return parse_lone (&parse, path + strlen (services));
  return fault_set (fault, ERROR_NOT_FOUND, "see docs/INTERFACE.md", "no such path or method");
}
