#include "platform_gateway.h"

#include <buckthornhead/base64.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CODE_NOT_FOUND = 5 /* of the gateway's error answers */
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

/* 64-bit numbers come as strings or as numbers. */
static int64_t
number_of (const json_t *object, const char *name)
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
    return; /* the gateway leaves zero values out */
  snprintf (text, sizeof text, "%lld", (long long)value);
  json_object_set_new (object, name, json_string (text));
}

static struct Bytes
bytes_of (TALLOC_CTX *ctx, const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  struct Bytes bytes = { (const uint8_t *)"", 0 };
  size_t n = 0;
  uint8_t *at = text != NULL ? base64_bytes (ctx, text, &n) : NULL;

  if (at != NULL)
    bytes = (struct Bytes){ at, n };
  return bytes;
}

static void
set_bytes (json_t *object, const char *name, struct Bytes bytes)
{
  char *text = NULL;

  if (bytes.n == 0)
    return;
  text = base64_text (NULL, bytes.at, bytes.n);
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
answer_new (const struct Store *store)
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
  size_t n = store_range (store, bytes_of (ctx, request, "key"),
                          bytes_of (ctx, request, "range_end"), &first);
  size_t limit = (size_t)number_of (request, "limit");
  size_t n_given = limit > 0 && limit < n ? limit : n;
  bool keys_only = json_is_true (json_object_get (request, "keys_only"));
  json_t *answer = answer_new (store);
  json_t *kvs = json_array ();

  for (size_t i = 0; i < n_given; i++)
    json_array_append_new (kvs, kv_json (first[i], keys_only));
  if (n_given > 0)
    json_object_set (answer, "kvs", kvs);
  json_decref (kvs);
  set_number (answer, "count", (int64_t)n);
  if (n_given < n)
    json_object_set_new (answer, "more", json_true ());
  return answer;
}

static bool
gateway_put (struct Store *store, TALLOC_CTX *ctx, const json_t *request)
{
  return store_put (store, bytes_of (ctx, request, "key"), bytes_of (ctx, request, "value"),
                    number_of (request, "lease"));
}

static size_t
gateway_delete (struct Store *store, TALLOC_CTX *ctx, const json_t *request)
{
  return store_delete (store, bytes_of (ctx, request, "key"), bytes_of (ctx, request, "range_end"));
}

static bool
gateway_compare (struct Store *store, TALLOC_CTX *ctx, const json_t *compare)
{
  struct StoreKey *const *first = NULL;
  struct Bytes one = { (const uint8_t *)"", 0 };
  bool exists = store_range (store, bytes_of (ctx, compare, "key"), one, &first) > 0;
  const char *target = json_string_value (json_object_get (compare, "target"));
  const char *result = json_string_value (json_object_get (compare, "result"));
  int64_t actual = 0;
  int64_t wanted = 0;

  if (target == NULL || strcmp (target, "VERSION") == 0)
    {
      actual = exists ? first[0]->version : 0;
      wanted = number_of (compare, "version");
    }
  else if (strcmp (target, "CREATE") == 0)
    {
      actual = exists ? first[0]->create_revision : 0;
      wanted = number_of (compare, "create_revision");
    }
  else
    {
      actual = exists ? first[0]->mod_revision : 0;
      wanted = number_of (compare, "mod_revision");
    }
  if (result == NULL || strcmp (result, "EQUAL") == 0)
    return actual == wanted;
  if (strcmp (result, "GREATER") == 0)
    return actual > wanted;
  if (strcmp (result, "LESS") == 0)
    return actual < wanted;
  return actual != wanted;
}

/* One request of a transaction's branch; NULL when a lease is gone. */
static json_t *
gateway_branch_op (struct Store *store, TALLOC_CTX *ctx, const json_t *op)
{
  const json_t *put = json_object_get (op, "request_put");
  const json_t *range = json_object_get (op, "request_range");
  const json_t *delete_range = json_object_get (op, "request_delete_range");
  json_t *inner = NULL;

  if (put != NULL)
    {
      if (!gateway_put (store, ctx, put))
        return NULL;
      return json_pack ("{s:{s:o}}", "response_put", "header",
                        header_json (store_revision (store) + 1));
    }
  if (range != NULL)
    return json_pack ("{s:o}", "response_range", gateway_range (store, ctx, range));
  inner = json_object ();
  set_number (inner, "deleted", (int64_t)gateway_delete (store, ctx, delete_range));
  return json_pack ("{s:o}", "response_delete_range", inner);
}

static uint32_t
gateway_txn (
    struct Store *store, TALLOC_CTX *ctx, const json_t *request, json_t **answer, bool *conflict)
{
  const json_t *compares = json_object_get (request, "compare");
  const json_t *branch = NULL;
  json_t *responses = json_array ();
  bool holds = true;
  bool lease_gone = false;

  for (size_t i = 0; i < json_array_size (compares); i++)
    holds = holds && gateway_compare (store, ctx, json_array_get (compares, i));
  *conflict = !holds;
  branch = json_object_get (request, holds ? "success" : "failure");
  store_begin (store);
  for (size_t i = 0; i < json_array_size (branch) && !lease_gone; i++)
    {
      json_t *response = gateway_branch_op (store, ctx, json_array_get (branch, i));

      lease_gone = response == NULL;
      if (!lease_gone)
        json_array_append_new (responses, response);
    }
  store_end (store);
  if (lease_gone)
    {
      json_decref (responses);
      *answer = gateway_error (CODE_NOT_FOUND, "etcdserver: requested lease not found");
      return 404;
    }
  *answer = answer_new (store);
  if (holds)
    json_object_set_new (*answer, "succeeded", json_true ());
  json_object_set_new (*answer, "responses", responses);
  return 200;
}

static uint32_t
gateway_lease (
    struct Store *store, const char *path, const json_t *request, int64_t now_ms, json_t **answer)
{
  int64_t id = number_of (request, "ID");

  if (strcmp (path, "/v3/lease/grant") == 0)
    {
      int64_t ttl_s = number_of (request, "TTL");

      id = store_grant (store, ttl_s, now_ms);
      *answer = answer_new (store);
      set_number (*answer, "ID", id);
      set_number (*answer, "TTL", ttl_s);
      return 200;
    }
  if (strcmp (path, "/v3/lease/keepalive") == 0)
    {
      json_t *result = answer_new (store);

      set_number (result, "ID", id);
      set_number (result, "TTL", store_keepalive (store, id, now_ms));
      *answer = json_pack ("{s:o}", "result", result);
      return 200;
    }
  if (!store_revoke (store, id))
    {
      *answer = gateway_error (CODE_NOT_FOUND, "etcdserver: requested lease not found");
      return 404;
    }
  *answer = answer_new (store);
  return 200;
}

uint32_t
gateway_call (struct Store *store,
              const char *path,
              const json_t *request,
              int64_t now_ms,
              json_t **answer,
              bool *conflict)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t status = 200;

  *conflict = false;
  if (strcmp (path, "/v3/kv/range") == 0)
    *answer = gateway_range (store, ctx, request);
  else if (strcmp (path, "/v3/kv/txn") == 0)
    status = gateway_txn (store, ctx, request, answer, conflict);
  else if (strcmp (path, "/v3/kv/put") == 0)
    {
      bool put = false;

      store_begin (store);
      put = gateway_put (store, ctx, request);
      store_end (store);
      status = put ? 200 : 404;
      *answer = put ? answer_new (store)
                    : gateway_error (CODE_NOT_FOUND, "etcdserver: requested lease not found");
    }
  else if (strcmp (path, "/v3/kv/deleterange") == 0)
    {
      size_t n = 0;

      store_begin (store);
      n = gateway_delete (store, ctx, request);
      store_end (store);
      *answer = answer_new (store);
      set_number (*answer, "deleted", (int64_t)n);
    }
  else
    status = gateway_lease (store, path, request, now_ms, answer);
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
  watch->key = bytes_of (ctx, create, "key");
  watch->range_end = bytes_of (ctx, create, "range_end");
  watch->next_revision = number_of (create, "start_revision");
  if (watch->next_revision == 0)
    watch->next_revision = store_revision (store) + 1;
  return true;
}

json_t *
gateway_watch_created (const struct Store *store)
{
  json_t *result = answer_new (store);

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
      result = answer_new (store);
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
  result = answer_new (store);
  json_object_set_new (result, "events", events);
  return json_pack ("{s:o}", "result", result);
}
