#include "platform_gateway.h"

#include <buckthornhead/base64.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CODE_NOT_FOUND = 5 /* gRPC status code in error responses */
};

struct GatewayPath
{
  const char *path;
  enum GatewayKind kind;
};

static const struct GatewayPath paths[] = {
  { "/v3/kv/range", GATEWAY_READ },         { "/v3/kv/put", GATEWAY_WRITE },
  { "/v3/kv/txn", GATEWAY_WRITE },          { "/v3/kv/deleterange", GATEWAY_WRITE },
  { "/v3/lease/grant", GATEWAY_WRITE },     { "/v3/lease/revoke", GATEWAY_WRITE },
  { "/v3/kv/lease/revoke", GATEWAY_WRITE }, { "/v3/lease/keepalive", GATEWAY_KEEPALIVE },
  { "/v3/watch", GATEWAY_WATCH },
};

enum GatewayKind
gateway_kind (const char *path)
{
  for (size_t i = 0; i < sizeof paths / sizeof paths[0]; i++)
    if (strcmp (paths[i].path, path) == 0)
      return paths[i].kind;
  return GATEWAY_NONE;
}

json_t *
gateway_error (int32_t code, const char *message)
{
  return json_pack ("{s:s, s:i, s:s}", "error", message, "code", (int)code, "message", message);
}

/* Reads a 64-bit integer, which the gateway accepts as a string or as a number. */
static int64_t
get_number (const json_t *object, const char *name)
{
  const json_t *value = json_object_get (object, name);

  if (json_is_string (value))
    return strtoll (json_string_value (value), NULL, 10);
  return json_integer_value (value);
}

static void
set_number (json_t *object, const char *name, int64_t value)
{
  char text[24];

  if (value == 0)
    return; /* the gateway omits zero values */
  snprintf (text, sizeof text, "%lld", (long long)value);
  json_object_set_new (object, name, json_string (text));
}

static struct Bytes
get_bytes (TALLOC_CTX *ctx, const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  struct Bytes bytes = { (const uint8_t *)"", 0 };
  size_t n = 0;
  uint8_t *data = text != NULL ? base64_bytes (ctx, text, &n) : NULL;

  if (data != NULL)
    bytes = (struct Bytes){ data, n };
  return bytes;
}

static void
set_bytes (json_t *object, const char *name, struct Bytes bytes)
{
  char *text = NULL;

  if (bytes.n_bytes == 0)
    return;
  text = base64_text (NULL, bytes.data, bytes.n_bytes);
  json_object_set_new (object, name, json_string (text));
  talloc_free (text);
}

static json_t *
header_json (int64_t revision)
{
  json_t *header = json_pack ("{s:s, s:s}", "cluster_id", "1", "member_id", "1");

  set_number (header, "revision", revision);
  return header;
}

static json_t *
response_new (const struct Store *store)
{
  return json_pack ("{s:o}", "header", header_json (store_revision (store)));
}

static json_t *
kv_json (const struct StoreKey *kv, bool keys_only)
{
  json_t *object = json_object ();

  set_bytes (object, "key", kv->key);
  set_number (object, "create_revision", kv->create_revision);
  set_number (object, "mod_revision", kv->mod_revision);
  set_number (object, "version", kv->version);
  set_number (object, "lease", kv->lease);
  if (!keys_only)
    set_bytes (object, "value", kv->value);
  return object;
}

static json_t *
gateway_range (struct Store *store, TALLOC_CTX *ctx, const json_t *request)
{
  struct StoreKey *const *first = NULL;
  size_t n = store_range (store, get_bytes (ctx, request, "key"),
                          get_bytes (ctx, request, "range_end"), &first);
  size_t limit = (size_t)get_number (request, "limit");
  size_t n_returned = limit > 0 && limit < n ? limit : n;
  bool keys_only = json_is_true (json_object_get (request, "keys_only"));
  json_t *response = response_new (store);
  json_t *kvs = json_array ();

  for (size_t i = 0; i < n_returned; i++)
    json_array_append_new (kvs, kv_json (first[i], keys_only));
  if (n_returned > 0)
    json_object_set (response, "kvs", kvs);
  json_decref (kvs);
  set_number (response, "count", (int64_t)n);
  if (n_returned < n)
    json_object_set_new (response, "more", json_true ());
  return response;
}

static bool
gateway_put (struct Store *store, TALLOC_CTX *ctx, const json_t *request)
{
  return store_put (store, get_bytes (ctx, request, "key"), get_bytes (ctx, request, "value"),
                    get_number (request, "lease"));
}

static size_t
gateway_delete (struct Store *store, TALLOC_CTX *ctx, const json_t *request)
{
  return store_delete (store, get_bytes (ctx, request, "key"),
                       get_bytes (ctx, request, "range_end"));
}

static bool
gateway_compare (struct Store *store, TALLOC_CTX *ctx, const json_t *compare)
{
  struct StoreKey *const *first = NULL;
  struct Bytes key_only = { (const uint8_t *)"", 0 };
  bool exists = store_range (store, get_bytes (ctx, compare, "key"), key_only, &first) > 0;
  const char *target = json_string_value (json_object_get (compare, "target"));
  const char *result = json_string_value (json_object_get (compare, "result"));
  int64_t actual = 0;
  int64_t expected = 0;

  if (target == NULL || strcmp (target, "VERSION") == 0)
    {
      actual = exists ? first[0]->version : 0;
      expected = get_number (compare, "version");
    }
  else if (strcmp (target, "CREATE") == 0)
    {
      actual = exists ? first[0]->create_revision : 0;
      expected = get_number (compare, "create_revision");
    }
  else
    {
      actual = exists ? first[0]->mod_revision : 0;
      expected = get_number (compare, "mod_revision");
    }
  if (result == NULL || strcmp (result, "EQUAL") == 0)
    return actual == expected;
  if (strcmp (result, "GREATER") == 0)
    return actual > expected;
  if (strcmp (result, "LESS") == 0)
    return actual < expected;
  return actual != expected;
}

/* Executes one operation of a transaction. Returns NULL when the lease of a put does not exist. */
static json_t *
gateway_branch_op (struct Store *store, TALLOC_CTX *ctx, const json_t *op)
{
  const json_t *put = json_object_get (op, "request_put");
  const json_t *range = json_object_get (op, "request_range");
  const json_t *delete_range = json_object_get (op, "request_delete_range");
  json_t *deleted = NULL;

  if (put != NULL)
    {
      if (!gateway_put (store, ctx, put))
        return NULL;
      return json_pack ("{s:{s:o}}", "response_put", "header",
                        header_json (store_revision (store) + 1));
    }
  if (range != NULL)
    return json_pack ("{s:o}", "response_range", gateway_range (store, ctx, range));
  deleted = json_object ();
  set_number (deleted, "deleted", (int64_t)gateway_delete (store, ctx, delete_range));
  return json_pack ("{s:o}", "response_delete_range", deleted);
}

static uint32_t
gateway_txn (
    struct Store *store, TALLOC_CTX *ctx, const json_t *request, json_t **response, bool *conflict)
{
  const json_t *compares = json_object_get (request, "compare");
  const json_t *operations = NULL;
  json_t *responses = json_array ();
  bool holds = true;
  bool lease_missing = false;

  for (size_t i = 0; i < json_array_size (compares); i++)
    holds = holds && gateway_compare (store, ctx, json_array_get (compares, i));
  *conflict = !holds;
  operations = json_object_get (request, holds ? "success" : "failure");
  store_begin (store);
  for (size_t i = 0; i < json_array_size (operations) && !lease_missing; i++)
    {
      json_t *op_response = gateway_branch_op (store, ctx, json_array_get (operations, i));

      lease_missing = op_response == NULL;
      if (!lease_missing)
        json_array_append_new (responses, op_response);
    }
  store_end (store);
  if (lease_missing)
    {
      json_decref (responses);
      *response = gateway_error (CODE_NOT_FOUND, "etcdserver: requested lease not found");
      return 404;
    }
  *response = response_new (store);
  if (holds)
    json_object_set_new (*response, "succeeded", json_true ());
  json_object_set_new (*response, "responses", responses);
  return 200;
}

static uint32_t
gateway_lease (
    struct Store *store, const char *path, const json_t *request, int64_t now_ms, json_t **response)
{
  int64_t id = get_number (request, "ID");

  if (strcmp (path, "/v3/lease/grant") == 0)
    {
      int64_t ttl_s = get_number (request, "TTL");

      id = store_grant (store, ttl_s, now_ms);
      *response = response_new (store);
      set_number (*response, "ID", id);
      set_number (*response, "TTL", ttl_s);
      return 200;
    }
  if (strcmp (path, "/v3/lease/keepalive") == 0)
    {
      json_t *result = response_new (store);

      set_number (result, "ID", id);
      set_number (result, "TTL", store_keepalive (store, id, now_ms));
      *response = json_pack ("{s:o}", "result", result);
      return 200;
    }
  if (!store_revoke (store, id))
    {
      *response = gateway_error (CODE_NOT_FOUND, "etcdserver: requested lease not found");
      return 404;
    }
  *response = response_new (store);
  return 200;
}

uint32_t
gateway_call (struct Store *store,
              const char *path,
              const json_t *request,
              int64_t now_ms,
              json_t **response,
              bool *conflict)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t status = 200;

  *conflict = false;
  if (strcmp (path, "/v3/kv/range") == 0)
    *response = gateway_range (store, ctx, request);
  else if (strcmp (path, "/v3/kv/txn") == 0)
    status = gateway_txn (store, ctx, request, response, conflict);
  else if (strcmp (path, "/v3/kv/put") == 0)
    {
      bool put = false;

      store_begin (store);
      put = gateway_put (store, ctx, request);
      store_end (store);
      status = put ? 200 : 404;
      *response = put ? response_new (store)
                      : gateway_error (CODE_NOT_FOUND, "etcdserver: requested lease not found");
    }
  else if (strcmp (path, "/v3/kv/deleterange") == 0)
    {
      size_t n = 0;

      store_begin (store);
      n = gateway_delete (store, ctx, request);
      store_end (store);
      *response = response_new (store);
      set_number (*response, "deleted", (int64_t)n);
    }
  else
    status = gateway_lease (store, path, request, now_ms, response);
  talloc_free (ctx);
  return status;
}

bool
gateway_watch_parse (TALLOC_CTX *ctx,
                     const struct Store *store,
                     const json_t *request,
                     struct GatewayWatch *watch)
{
  const json_t *create = json_object_get (request, "create_request");

  if (create == NULL)
    return false;
  watch->key = get_bytes (ctx, create, "key");
  watch->range_end = get_bytes (ctx, create, "range_end");
  watch->next_revision = get_number (create, "start_revision");
  if (watch->next_revision == 0)
    watch->next_revision = store_revision (store) + 1;
  return true;
}

json_t *
gateway_watch_created (const struct Store *store)
{
  json_t *result = response_new (store);

  json_object_set_new (result, "created", json_true ());
  return json_pack ("{s:o}", "result", result);
}

json_t *
gateway_watch_next (const struct Store *store, struct GatewayWatch *watch)
{
  json_t *events = NULL;
  json_t *result = NULL;

  if (watch->next_revision <= store_compacted (store))
    {
      result = response_new (store);
      json_object_set_new (result, "canceled", json_true ());
      set_number (result, "compact_revision", store_compacted (store));
      watch->next_revision = store_revision (store) + 1;
      return json_pack ("{s:o}", "result", result);
    }
  events = json_array ();
  for (const struct StoreEvent *e = store_events (store); e != NULL; e = e->next)
    {
      json_t *event = NULL;

      if (e->kv.mod_revision < watch->next_revision
          || !bytes_in_range (e->kv.key, watch->key, watch->range_end))
        continue;
      event = json_pack ("{s:o}", "kv", kv_json (&e->kv, e->deleted));
      if (e->deleted)
        json_object_set_new (event, "type", json_string ("DELETE"));
      json_array_append_new (events, event);
    }
  watch->next_revision = store_revision (store) + 1;
  if (json_array_size (events) == 0)
    {
      json_decref (events);
      return NULL;
    }
  result = response_new (store);
  json_object_set_new (result, "events", events);
  return json_pack ("{s:o}", "result", result);
}
