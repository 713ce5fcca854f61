#include <buckthornhead/backend_list.h>

#include "jitter.h"

#include <buckthornhead/config_key.h>
#include <buckthornhead/error.h>
#include <buckthornhead/json_items.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

enum
{
  BACKENDS_INITIAL = 32,
  LOGGED_ITEM_BYTES = 200 /* of an item that is not understood */
};

struct ListedBackend
{
  struct BackendSetting setting;
  bool leaving;
};

struct BackendList
{
  struct BackendListPort *port;
  struct TimerService *timers;
  struct BackendListOptions options;
  struct Timer *poll_timer;
  struct ListedBackend *backends; /* the last valid list, sorted by name */
  size_t n_backends;
  bool received; /* a valid list, at least once */
};

static bool
field_copy (const json_t *item, const char *name, char *text, size_t text_bytes)
{
  const char *value = json_string_value (json_object_get (item, name));

  if (value == NULL || strlen (value) >= text_bytes)
    return false;
  snprintf (text, text_bytes, "%s", value);
  return true;
}

static bool
kind_parse (const char *name, enum CallTarget *kind)
{
  *kind = strcmp (name, "engine") == 0 ? CALL_TARGET_ENGINE : CALL_TARGET_SERVICE;
  return *kind == CALL_TARGET_ENGINE || strcmp (name, "service") == 0;
}

/* Every state other than "live" counts as leaving, so that the server gets no new work. */
static bool
backend_parse (const json_t *item, struct ListedBackend *backend)
{
  struct BackendSetting *setting = &backend->setting;
  char kind[16];
  char state[16];
  char ip[46];
  uint16_t port = 0;

  memset (backend, 0, sizeof *backend);
  if (!field_copy (item, "name", setting->name, sizeof setting->name)
      || !field_copy (item, "address", setting->address, sizeof setting->address)
      || !field_copy (item, "zone", setting->zone, sizeof setting->zone)
      || !field_copy (item, "target", setting->target, sizeof setting->target)
      || !field_copy (item, "kind", kind, sizeof kind)
      || !field_copy (item, "state", state, sizeof state))
    return false;
  backend->leaving = strcmp (state, "live") != 0;
  return config_name_is_valid (setting->name) && kind_parse (kind, &setting->kind)
         && address_parse (setting->address, ip, &port) == ERROR_NONE;
}

static int
backend_compare (const void *a, const void *b)
{
  const struct ListedBackend *left = a;
  const struct ListedBackend *right = b;
  int order = strcmp (left->setting.name, right->setting.name);

  return order != 0 ? order : (int)left->leaving - (int)right->leaving;
}

/* Sorts by name and removes duplicates. An outdated list may contain a server twice, before and
 * after it was replaced; the live entry, which sorts first, is kept. */
static size_t
backends_sort (struct ListedBackend *backends, size_t n)
{
  size_t n_kept = 0;

  qsort (backends, n, sizeof *backends, backend_compare);
  for (size_t i = 0; i < n; i++)
    if (n_kept == 0 || strcmp (backends[n_kept - 1].setting.name, backends[i].setting.name) != 0)
      backends[n_kept++] = backends[i];
  return n_kept;
}

static void
backend_list_notify (struct BackendList *list)
{
  struct BackendSetting *settings = talloc_array (list, struct BackendSetting, list->n_backends);
  bool *leaving = talloc_array (list, bool, list->n_backends);

  for (size_t i = 0; i < list->n_backends; i++)
    {
      settings[i] = list->backends[i].setting;
      leaving[i] = list->backends[i].leaving;
    }
  list->options.changed (list->options.data, settings, leaving, list->n_backends);
  talloc_free (settings);
  talloc_free (leaving);
}

static void
backend_list_replace (struct BackendList *list, struct ListedBackend *backends, size_t n)
{
  bool same = list->received && n == list->n_backends
              && (n == 0 || memcmp (backends, list->backends, n * sizeof *backends) == 0);

  list->received = true;
  talloc_free (list->backends);
  list->backends = backends;
  list->n_backends = n;
  if (!same)
    backend_list_notify (list);
}

/* Appends a server to the array; an item that cannot be parsed is skipped, so that its server gets
 * no work. Returns false when out of memory. */
static bool
backends_add (TALLOC_CTX *ctx,
              struct ListedBackend **backends,
              size_t *n,
              const char *text,
              size_t text_bytes)
{
  struct ListedBackend *grown;
  json_t *item;

  if (*n == talloc_array_length (*backends))
    {
      grown = talloc_realloc (ctx, *backends, struct ListedBackend, 2 * *n);
      if (grown == NULL)
        return false;
      *backends = grown;
    }
  item = json_loadb (text, text_bytes, JSON_DECODE_ANY, NULL);
  if (backend_parse (item, &(*backends)[*n]))
    (*n)++;
  else
    log_event (LOG_LEVEL_WARNING, "listed_server_not_understood", NULL,
               "correct the item in the platform's server list", "%.*s",
               (int)(text_bytes < LOGGED_ITEM_BYTES ? text_bytes : LOGGED_ITEM_BYTES), text);
  json_decref (item);
  return true;
}

/* Replaces the list by an array of items; a text that is none changes nothing. */
static void
backend_list_parse (struct BackendList *list, const char *text, size_t text_bytes)
{
  struct ListedBackend *backends = talloc_zero_array (list, struct ListedBackend, BACKENDS_INITIAL);
  struct JsonItems items;
  const char *item;
  size_t item_bytes, n = 0;
  bool has_memory = backends != NULL;

  json_items_begin (&items, text, text_bytes);
  while (has_memory && json_items_next (&items, &item, &item_bytes))
    has_memory = backends_add (list, &backends, &n, item, item_bytes);
  if (has_memory && items.ended)
    backend_list_replace (list, backends, backends_sort (backends, n));
  else
    talloc_free (backends);
}

static void
backend_list_schedule_poll (struct BackendList *list);

static void
backend_list_on_fetched (void *data, int32_t error, const char *text, size_t text_bytes)
{
  struct BackendList *list = data;

  if (error == ERROR_NONE && text != NULL)
    backend_list_parse (list, text, text_bytes);
  backend_list_schedule_poll (list);
}

static void
backend_list_poll (void *data)
{
  struct BackendList *list = data;

  if (list->port->fetch (list->port, list, backend_list_on_fetched, list) != ERROR_NONE)
    backend_list_schedule_poll (list);
}

static void
backend_list_schedule_poll (struct BackendList *list)
{
  uint32_t delay_ms = jitter_ms (&list->options.seed, list->options.poll_ms);

  TALLOC_FREE (list->poll_timer);
  list->poll_timer = timer_subscribe (list, list->timers, delay_ms, 0, backend_list_poll, list);
}

struct BackendList *
backend_list_new (TALLOC_CTX *ctx,
                  struct BackendListPort *port,
                  struct TimerService *timers,
                  const struct BackendListOptions *options)
{
  struct BackendList *list = talloc_zero (ctx, struct BackendList);

  if (list == NULL)
    return NULL;
  list->port = port;
  list->timers = timers;
  list->options = *options;
  backend_list_poll (list);
  return list;
}
