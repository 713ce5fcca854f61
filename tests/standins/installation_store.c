#include "installation_internal.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

struct StoreItem *
installation_store_find (struct Installation *in, const char *key)
{
  for (size_t i = 0; i < in->n_items; i++)
    if (strcmp (in->items[i].key, key) == 0)
      return &in->items[i];
  return NULL;
}

void
installation_store_put (struct Installation *in, const char *key, const char *base64)
{
  struct StoreItem *item = installation_store_find (in, key);

  if (item == NULL && in->n_items < KEYS_MAX)
    {
      item = &in->items[in->n_items++];
      snprintf (item->key, sizeof item->key, "%s", key);
    }
  if (item == NULL)
    abort ();
  free (item->value);
  item->value = base64 != NULL ? strdup (base64) : NULL;
  item->deleted = base64 == NULL;
  item->revision = ++in->revision;
  pthread_cond_broadcast (&in->changed);
}

static json_t *
item_json (const struct StoreItem *item)
{
  if (item->deleted)
    return json_pack ("{s:s, s:I, s:b}", "key", item->key, "revision", (json_int_t)item->revision,
                      "deleted", 1);
  return json_pack ("{s:s, s:s, s:I, s:I, s:i}", "key", item->key, "value", item->value, "revision",
                    (json_int_t)item->revision, "created", (json_int_t)item->revision, "lease", 0);
}

static bool
item_has_prefix (const struct StoreItem *item, const char *prefix)
{
  return strncmp (item->key, prefix, strlen (prefix)) == 0;
}

static const char *
query_argument (struct MHD_Connection *connection, const char *name)
{
  const char *value = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);

  return value != NULL ? value : "";
}

/* Returns the first item after key `after` that starts with prefix, in key order, or NULL. */
static const struct StoreItem *
item_next (const struct Installation *in, const char *prefix, const char *after)
{
  const struct StoreItem *next = NULL;

  for (size_t i = 0; i < in->n_items; i++)
    {
      const struct StoreItem *item = &in->items[i];

      if (!item->deleted && item_has_prefix (item, prefix) && strcmp (item->key, after) > 0
          && (next == NULL || strcmp (item->key, next->key) < 0))
        next = item;
    }
  return next;
}

static json_t *
store_range (struct Installation *in, struct MHD_Connection *connection)
{
  const char *prefix = query_argument (connection, "prefix");
  const struct StoreItem *item = item_next (in, prefix, query_argument (connection, "after"));
  json_t *items = json_array ();

  for (; item != NULL; item = item_next (in, prefix, item->key))
    json_array_append_new (items, item_json (item));
  return json_pack ("{s:o, s:b, s:I}", "items", items, "has_more", 0, "at",
                    (json_int_t)in->revision);
}

/* Waits for a change after the revision in the argument "after". */
static json_t *
store_watch (struct Installation *in, struct MHD_Connection *connection, unsigned *status)
{
  const char *prefix = query_argument (connection, "prefix");
  int64_t after = atoll (query_argument (connection, "after"));
  long wait_ms = atol (query_argument (connection, "wait_ms"));
  json_t *events = json_array ();
  struct timespec deadline;

  if (after < in->compacted_revision)
    {
      *status = 410;
      return events;
    }
  clock_gettime (CLOCK_REALTIME, &deadline);
  deadline.tv_sec += wait_ms / 1000;
  deadline.tv_nsec += wait_ms % 1000 * 1000000;
  if (deadline.tv_nsec >= 1000000000)
    {
      deadline.tv_sec++;
      deadline.tv_nsec -= 1000000000;
    }
  for (;;)
    {
      for (size_t i = 0; i < in->n_items; i++)
        if (in->items[i].revision > after && item_has_prefix (&in->items[i], prefix))
          json_array_append_new (events, item_json (&in->items[i]));
      if (json_array_size (events) > 0 || in->ended
          || pthread_cond_timedwait (&in->changed, &in->lock, &deadline) != 0)
        break;
    }
  return json_pack ("{s:o, s:I}", "events", events, "at", (json_int_t)in->revision);
}

/* Returns whether all conditions hold, and adds the current state of their keys to items. */
static bool
conditions_hold (struct Installation *in, const json_t *conditions, json_t *items)
{
  bool all_hold = true;

  for (size_t i = 0; i < json_array_size (conditions); i++)
    {
      const json_t *condition = json_array_get (conditions, i);
      const char *key = json_string_value (json_object_get (condition, "key"));
      const struct StoreItem *item = installation_store_find (in, key);
      int64_t revision = item != NULL && !item->deleted ? item->revision : 0;

      all_hold =
          all_hold && revision == json_integer_value (json_object_get (condition, "revision"));
      json_array_append_new (items, revision > 0
                                        ? item_json (item)
                                        : json_pack ("{s:s, s:i}", "key", key, "revision", 0));
    }
  return all_hold;
}

static json_t *
store_txn (struct Installation *in, const char *text, unsigned *status)
{
  json_t *body = json_loads (text, 0, NULL), *items = json_array (), *reply;
  const json_t *puts = json_object_get (body, "puts"), *removals = json_object_get (body, "remove");

  if (!conditions_hold (in, json_object_get (body, "expected_revision"), items))
    {
      json_decref (body);
      *status = 412;
      return json_pack ("{s:o}", "items", items);
    }
  for (size_t i = 0; i < json_array_size (puts); i++)
    installation_store_put (
        in, json_string_value (json_object_get (json_array_get (puts, i), "key")),
        json_string_value (json_object_get (json_array_get (puts, i), "value")));
  for (size_t i = 0; i < json_array_size (removals); i++)
    installation_store_put (in, json_string_value (json_array_get (removals, i)), NULL);
  reply = json_pack ("{s:I}", "revision", (json_int_t)in->revision);
  json_decref (items);
  json_decref (body);
  return reply;
}

static json_t *
store_get (struct Installation *in, struct MHD_Connection *connection, unsigned *status)
{
  const struct StoreItem *item = installation_store_find (in, query_argument (connection, "key"));
  json_t *reply;

  if (item == NULL || item->deleted)
    {
      *status = 404;
      return json_object ();
    }
  reply = item_json (item);
  json_object_set_new (reply, "at", json_integer (in->revision));
  return reply;
}

static json_t *
store_dispatch (struct Installation *in,
                struct MHD_Connection *connection,
                const char *path,
                const char *body,
                unsigned *status)
{
  if (strcmp (path, "/-/kv-key") == 0)
    return store_get (in, connection, status);
  if (strcmp (path, "/-/kv-range") == 0)
    return store_range (in, connection);
  if (strcmp (path, "/-/kv-watch") == 0)
    return store_watch (in, connection, status);
  if (strcmp (path, "/-/kv-txn") == 0)
    return store_txn (in, body, status);
  *status = 404;
  return json_object ();
}

static enum MHD_Result
store_on_request (void *data,
                  struct MHD_Connection *connection,
                  const char *url,
                  const char *method,
                  const char *version,
                  const char *upload,
                  size_t *upload_bytes,
                  void **state)
{
  struct Installation *in = data;
  enum MHD_Result result;
  struct MHD_Response *response;
  unsigned status = 200;
  json_t *reply;
  char *text;

  (void)method;
  (void)version;
  if (!request_collect (state, upload, upload_bytes, &result))
    return result;
  pthread_mutex_lock (&in->lock);
  in->n_store_calls++;
  while (in->store_mode == STORE_HANGS && !in->ended)
    pthread_cond_wait (&in->changed, &in->lock);
  if (in->store_mode == STORE_UNAVAILABLE)
    {
      status = 503;
      reply = json_object ();
    }
  else
    reply = store_dispatch (in, connection, url, ((struct RequestBody *)*state)->bytes, &status);
  pthread_mutex_unlock (&in->lock);
  text = json_dumps (reply, JSON_COMPACT);
  json_decref (reply);
  response = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

int
installation_store_start (struct Installation *in, uint16_t port)
{
  in->store = MHD_start_daemon (MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
                                port, NULL, NULL, store_on_request, in, MHD_OPTION_NOTIFY_COMPLETED,
                                request_completed, in, MHD_OPTION_END);
  return in->store != NULL ? 0 : -1;
}
