#include <buckthornhead/kv_http.h>

#include <buckthornhead/base64.h>
#include <buckthornhead/counter.h>
#include <buckthornhead/error.h>

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

struct KvHttp
{
  struct KvPort port;
  struct CurlLoop *loop;
  char *url;
  int64_t timeout_ms;
};

/* A pending request. */
struct KvCall
{
  struct KvHttp *kv;
  enum KvOp op;
  KvDone done;
  void *data;
  struct CurlCall *http;
  struct KvResult result;
  char *line; /* of a watch's response, received so far */
  size_t line_bytes;
  bool watch_created; /* the service has confirmed the watch */
  bool watch_completed;
};

static const char *
kv_path (enum KvOp op)
{
  switch (op)
    {
    case KV_OP_GET:
    case KV_OP_RANGE:
      return "/v3/kv/range";
    case KV_OP_PUT:
    case KV_OP_DELETE:
      return "/v3/kv/txn";
    case KV_OP_LEASE_GRANT:
      return "/v3/lease/grant";
    case KV_OP_LEASE_KEEPALIVE:
      return "/v3/lease/keepalive";
    case KV_OP_LEASE_REVOKE:
      return "/v3/lease/revoke";
    case KV_OP_WATCH:
      return "/v3/watch";
    }
  return "/";
}

static bool
kv_op_is_read (enum KvOp op)
{
  return op == KV_OP_GET || op == KV_OP_RANGE || op == KV_OP_WATCH;
}

/* Building requests. */

static json_t *
base64_json (const void *bytes, size_t n_bytes)
{
  char *text = base64_text (NULL, bytes, n_bytes);
  json_t *value = json_string (text);

  talloc_free (text);
  return value;
}

static json_t *
key_json (const char *key)
{
  return base64_json (key, strlen (key));
}

/* The etcd JSON gateway encodes 64-bit numbers as strings. */
static json_t *
number_json (int64_t number)
{
  return json_sprintf ("%lld", (long long)number);
}

/* Returns the first key after all keys with prefix; one zero byte means no upper bound. */
static json_t *
prefix_end_json (const char *prefix)
{
  size_t n = strlen (prefix);
  char end[KV_KEY_MAX_BYTES + 1] = "";

  if (n == 0)
    return base64_json ("", 1);
  strncpy (end, prefix, sizeof end - 1);
  end[n - 1]++;
  return base64_json (end, n);
}

static json_t *
get_json (const char *key)
{
  return json_pack ("{s:o}", "key", key_json (key));
}

/* Returns a transaction that applies op only if condition holds, and else reads the key. */
static json_t *
conditional_json (const char *key, enum KvCondition condition, int64_t mod_revision, json_t *op)
{
  json_t *txn = json_pack ("{s:[o]}", "success", op);
  const char *target = condition == KV_IF_ABSENT ? "CREATE" : "MOD";
  const char *field = condition == KV_IF_ABSENT ? "create_revision" : "mod_revision";
  int64_t revision = condition == KV_IF_ABSENT ? 0 : mod_revision;

  if (condition == KV_IF_ALWAYS)
    return txn;
  json_object_set_new (txn, "compare",
                       json_pack ("[{s:s, s:s, s:o, s:o}]", "result", "EQUAL", "target", target,
                                  "key", key_json (key), field, number_json (revision)));
  json_object_set_new (txn, "failure", json_pack ("[{s:o}]", "request_range", get_json (key)));
  return txn;
}

static json_t *
put_json (const struct KvRequest *request)
{
  json_t *put = get_json (request->put.key);

  json_object_set_new (put, "value", base64_json (request->put.value, request->put.value_bytes));
  if (request->put.lease_id != 0)
    json_object_set_new (put, "lease", number_json (request->put.lease_id));
  return conditional_json (request->put.key, request->put.condition, request->put.mod_revision,
                           json_pack ("{s:o}", "request_put", put));
}

static json_t *
range_json (const struct KvRequest *request)
{
  const char *start = request->range.start != NULL ? request->range.start : request->range.prefix;
  json_t *range = json_pack ("{s:o, s:o, s:s, s:s}", "key", key_json (start), "range_end",
                             prefix_end_json (request->range.prefix), "sort_target", "KEY",
                             "sort_order", "ASCEND");

  if (request->range.limit > 0)
    json_object_set_new (range, "limit", number_json (request->range.limit));
  if (request->range.keys_only)
    json_object_set_new (range, "keys_only", json_true ());
  return range;
}

static json_t *
watch_json (const struct KvRequest *request)
{
  return json_pack ("{s:{s:o, s:o, s:o}}", "create_request", "key",
                    key_json (request->watch.prefix), "range_end",
                    prefix_end_json (request->watch.prefix), "start_revision",
                    number_json (request->watch.start_revision));
}

static json_t *
request_json (const struct KvRequest *request)
{
  switch (request->op)
    {
    case KV_OP_GET:
      return get_json (request->get.key);
    case KV_OP_PUT:
      return put_json (request);
    case KV_OP_DELETE:
      return conditional_json (
          request->delete_key.key, request->delete_key.condition, request->delete_key.mod_revision,
          json_pack ("{s:o}", "request_delete_range", get_json (request->delete_key.key)));
    case KV_OP_RANGE:
      return range_json (request);
    case KV_OP_LEASE_GRANT:
      return json_pack ("{s:o}", "TTL", number_json (request->lease_grant.ttl_s));
    case KV_OP_LEASE_KEEPALIVE:
      return json_pack ("{s:o}", "ID", number_json (request->lease_keepalive.lease_id));
    case KV_OP_LEASE_REVOKE:
      return json_pack ("{s:o}", "ID", number_json (request->lease_revoke.lease_id));
    case KV_OP_WATCH:
      return watch_json (request);
    }
  return NULL;
}

/* Reading responses. */

static int64_t
json_number (const json_t *object, const char *name)
{
  const json_t *value = json_object_get (object, name);

  if (json_is_string (value))
    return strtoll (json_string_value (value), NULL, 10);
  return json_integer_value (value);
}

static bool
entry_read (TALLOC_CTX *ctx, const json_t *kv, struct KvEntry *entry)
{
  const char *key = json_string_value (json_object_get (kv, "key"));
  const char *value = json_string_value (json_object_get (kv, "value"));
  size_t key_bytes = 0;

  if (key == NULL)
    return false;
  entry->key = (const char *)base64_bytes (ctx, key, &key_bytes);
  entry->value = base64_bytes (ctx, value != NULL ? value : "", &entry->value_bytes);
  entry->mod_revision = json_number (kv, "mod_revision");
  return entry->key != NULL && entry->value != NULL;
}

/* Reads the kvs of a range response; the field is missing when there are none. */
static bool
range_read (struct KvCall *call, const json_t *range)
{
  const json_t *kvs = json_object_get (range, "kvs");
  size_t n = json_array_size (kvs);
  struct KvEntry *entries = talloc_zero_array (call, struct KvEntry, n);

  for (size_t i = 0; i < n; i++)
    if (!entry_read (entries, json_array_get (kvs, i), &entries[i]))
      return false;
  call->result.entries = entries;
  call->result.n_entries = n;
  call->result.more = json_is_true (json_object_get (range, "more"));
  return true;
}

static int32_t
txn_read (struct KvCall *call, const json_t *response)
{
  const json_t *failure = json_array_get (json_object_get (response, "responses"), 0);

  if (json_is_true (json_object_get (response, "succeeded")))
    return ERROR_NONE;
  if (!range_read (call, json_object_get (failure, "response_range")))
    return ERROR_UNKNOWN_EFFECT;
  return ERROR_CONFLICT;
}

/* Reads the fields of a complete response. Returns error lost when they are not as in etcd's API.
 */
static int32_t
response_read (struct KvCall *call, const json_t *response, int32_t lost)
{
  const json_t *result = response;

  if (call->op == KV_OP_LEASE_KEEPALIVE)
    result = json_object_get (response, "result");
  if (json_object_get (result, "header") == NULL)
    return lost;
  call->result.revision = json_number (json_object_get (result, "header"), "revision");
  switch (call->op)
    {
    case KV_OP_GET:
      if (!range_read (call, result))
        return lost;
      return call->result.n_entries > 0 ? ERROR_NONE : ERROR_NOT_FOUND;
    case KV_OP_RANGE:
      return range_read (call, result) ? ERROR_NONE : lost;
    case KV_OP_PUT:
    case KV_OP_DELETE:
      return txn_read (call, result);
    case KV_OP_LEASE_GRANT:
      call->result.lease_id = json_number (result, "ID");
      return call->result.lease_id != 0 ? ERROR_NONE : lost;
    case KV_OP_LEASE_KEEPALIVE:
      return json_number (result, "TTL") > 0 ? ERROR_NONE : ERROR_NOT_FOUND;
    case KV_OP_LEASE_REVOKE:
    case KV_OP_WATCH:
      break;
    }
  return ERROR_NONE;
}

/* Returns the error for an HTTP status. The gateway also sends 503 for a proposal that timed out
 * inside etcd and may still be applied. So only statuses that are sent before a proposal is made
 * count as "not applied"; all others return lost. */
static int32_t
status_error (uint32_t status, int32_t lost)
{
  switch (status)
    {
    case 200:
      return ERROR_NONE;
    case 400:
      return ERROR_INVALID;
    case 401:
    case 403:
      return ERROR_UNAUTHORIZED;
    case 404:
      return ERROR_NOT_FOUND;
    case 413:
      return ERROR_TOO_LARGE;
    case 429:
      return ERROR_RATE_LIMITED;
    default:
      return lost;
    }
}

/* A read changes nothing, so one without a response is treated as never sent. */
static int32_t
http_error (const struct KvCall *call, const struct HttpResult *http)
{
  int32_t lost = kv_op_is_read (call->op) ? ERROR_UNREACHABLE : ERROR_UNKNOWN_EFFECT;

  if (!http->sent)
    return ERROR_UNREACHABLE;
  if (!http->whole)
    return lost;
  return status_error (http->status, lost);
}

static void
kv_call_complete (struct KvCall *call, int32_t error)
{
  call->http = NULL;
  call->result.error = error;
  if (error != ERROR_NONE && error != ERROR_CONFLICT && error != ERROR_NOT_FOUND)
    counter_add (COUNTER_KV_FAILURES, 1);
  talloc_steal (NULL, call); /* done may free the port */
  call->done (call->data, &call->result);
  talloc_free (call);
}

static void
kv_call_on_done (void *data, const struct HttpResult *http)
{
  struct KvCall *call = data;
  int32_t lost = kv_op_is_read (call->op) ? ERROR_UNREACHABLE : ERROR_UNKNOWN_EFFECT;
  int32_t error = http_error (call, http);
  json_t *response = NULL;

  if (error == ERROR_NONE)
    {
      response = json_loadb ((const char *)http->body, http->body_bytes, 0, NULL);
      error = response_read (call, response, lost);
      json_decref (response);
    }
  kv_call_complete (call, error);
}

static bool
watch_read_events (struct KvCall *call, const json_t *events)
{
  size_t n = json_array_size (events);
  struct KvEntry *entries = talloc_zero_array (call, struct KvEntry, n);

  for (size_t i = 0; i < n; i++)
    {
      const json_t *event = json_array_get (events, i);
      const char *type = json_string_value (json_object_get (event, "type"));

      if (!entry_read (entries, json_object_get (event, "kv"), &entries[i]))
        return false;
      entries[i].deleted = type != NULL && strcmp (type, "DELETE") == 0;
    }
  call->result.entries = entries;
  call->result.n_entries = n;
  return true;
}

/* Reads one message of a watch. Returns whether it completes the watch. */
static bool
watch_read_line (struct KvCall *call)
{
  json_t *message = json_loadb (call->line, call->line_bytes, 0, NULL);
  const json_t *result = json_object_get (message, "result");
  const json_t *events = json_object_get (result, "events");
  bool completed = true;

  if (result == NULL)
    call->result.error = ERROR_UNREACHABLE;
  else if (json_is_true (json_object_get (result, "canceled")))
    call->result.error = ERROR_NOT_FOUND; /* start_revision has been compacted */
  else if (json_array_size (events) > 0)
    call->result.error = watch_read_events (call, events) ? ERROR_NONE : ERROR_UNREACHABLE;
  else
    completed = false;
  call->watch_created = call->watch_created || result != NULL;
  if (result != NULL)
    call->result.revision = json_number (json_object_get (result, "header"), "revision");
  json_decref (message);
  call->line_bytes = 0;
  return completed;
}

static void
watch_on_chunk (void *data, uint32_t status, const uint8_t *bytes, size_t n_bytes)
{
  struct KvCall *call = data;

  if (status != 200)
    return;
  call->line = talloc_realloc (call, call->line, char, call->line_bytes + n_bytes);
  for (size_t i = 0; i < n_bytes && !call->watch_completed; i++)
    {
      if (bytes[i] != '\n')
        call->line[call->line_bytes++] = (char)bytes[i];
      else
        call->watch_completed = watch_read_line (call);
    }
  if (call->watch_completed)
    curl_call_stop (call->http);
}

/* A watch that the service confirmed and that saw no change completes empty at its deadline. One
 * that was never confirmed fails: the caller must not take it for a watch without changes. */
static void
watch_on_done (void *data, const struct HttpResult *http)
{
  struct KvCall *call = data;
  int32_t error = ERROR_UNREACHABLE;

  if (call->watch_completed)
    error = call->result.error;
  else if (http->timed_out && call->watch_created)
    error = ERROR_NONE;
  else if (http->whole && http->status != 200)
    error = status_error (http->status, ERROR_UNREACHABLE);
  kv_call_complete (call, error);
}

static int
kv_call_free (struct KvCall *call)
{
  talloc_free (call->http);
  return 0;
}

static int32_t
request_check (const struct KvRequest *request)
{
  const char *key = NULL;

  if (request->op == KV_OP_GET)
    key = request->get.key;
  else if (request->op == KV_OP_PUT)
    key = request->put.key;
  else if (request->op == KV_OP_DELETE)
    key = request->delete_key.key;
  else if (request->op == KV_OP_RANGE)
    key = request->range.prefix;
  else if (request->op == KV_OP_WATCH)
    key = request->watch.prefix;
  if (key != NULL && strlen (key) > KV_KEY_MAX_BYTES)
    return ERROR_INVALID;
  if (request->op == KV_OP_PUT && request->put.value_bytes > KV_VALUE_MAX_BYTES)
    return ERROR_TOO_LARGE;
  return ERROR_NONE;
}

static struct CurlCall *
kv_call_send (struct KvCall *call, const struct KvRequest *request)
{
  static const char *const headers[] = { "Content-Type: application/json", NULL };
  bool watch = request->op == KV_OP_WATCH;
  json_t *json = request_json (request);
  char *body = json_dumps (json, JSON_COMPACT);
  char *url = talloc_asprintf (call, "%s%s", call->kv->url, kv_path (request->op));
  struct HttpRequest http = { .method = "POST", .url = url, .headers = headers };
  struct CurlCall *sent = NULL;

  json_decref (json);
  if (body == NULL || url == NULL)
    goto out;
  http.body = (const uint8_t *)body;
  http.body_bytes = strlen (body);
  http.connect_timeout_ms = call->kv->timeout_ms;
  http.timeout_ms = watch ? request->watch.wait_ms : call->kv->timeout_ms;
  sent = curl_loop_submit (call->kv->loop, &http, watch ? watch_on_chunk : NULL,
                           watch ? watch_on_done : kv_call_on_done, call);

out:
  free (body);
  return sent;
}

static int32_t
kv_http_submit (struct KvPort *port, const struct KvRequest *request, KvDone done, void *data)
{
  struct KvHttp *kv = (struct KvHttp *)port;
  struct KvCall *call = NULL;
  int32_t error = request_check (request);

  if (error != ERROR_NONE)
    return error;
  call = talloc_zero (kv, struct KvCall);
  if (call == NULL)
    return ERROR_NO_MEMORY;
  call->kv = kv;
  call->op = request->op;
  call->done = done;
  call->data = data;
  call->http = kv_call_send (call, request);
  if (call->http == NULL)
    {
      talloc_free (call);
      return ERROR_NO_MEMORY;
    }
  talloc_set_destructor (call, kv_call_free);
  counter_add (kv_op_is_read (request->op) ? COUNTER_KV_READS : COUNTER_KV_WRITES, 1);
  return ERROR_NONE;
}

struct KvPort *
kv_http_new (TALLOC_CTX *ctx, struct CurlLoop *loop, const char *url, int64_t timeout_ms)
{
  struct KvHttp *kv = talloc_zero (ctx, struct KvHttp);

  if (kv == NULL)
    return NULL;
  kv->port.submit = kv_http_submit;
  kv->loop = loop;
  kv->timeout_ms = timeout_ms;
  kv->url = talloc_strdup (kv, url);
  if (kv->url == NULL)
    TALLOC_FREE (kv);
  return kv != NULL ? &kv->port : NULL;
}
