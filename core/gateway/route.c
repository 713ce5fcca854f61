#include <buckthornhead/route.h>

#include <buckthornhead/error.h>

#include <ctype.h>
#include <string.h>
#include <uthash.h>

enum
{
  KEY_MAX_BYTES = 2048 /* host and path; a longer path is truncated for the lookup */
};

bool
route_is_idempotent (const struct Route *route)
{
  switch (route->kind)
    {
    case ROUTE_REPEATABLE:
      return true;
    case ROUTE_STREAM:
      return route->resumable;
    case ROUTE_ONCE:
      break;
    }
  return false;
}

struct RouteIndexEntry
{
  const char *key; /* lower-case host followed by the prefix */
  const struct Route *route;
  UT_hash_handle hh;
};

struct RouteIndex
{
  struct RouteIndexEntry *entries;
};

static int
index_free (struct RouteIndex *index)
{
  HASH_CLEAR (hh, index->entries);
  return 0;
}

static void
lower_case (char *text, size_t n)
{
  for (size_t i = 0; i < n; i++)
    text[i] = (char)tolower ((unsigned char)text[i]);
}

static int32_t
index_add (struct RouteIndex *index, const struct Route *route)
{
  struct RouteIndexEntry *entry, *existing = NULL;
  char *key = talloc_asprintf (index, "%s%s", route->host, route->prefix);

  if (key == NULL)
    return ERROR_NO_MEMORY;
  lower_case (key, strlen (route->host));
  HASH_FIND_STR (index->entries, key, existing);
  if (existing != NULL)
    return ERROR_NONE; /* of duplicate prefixes the first wins */
  entry = talloc_zero (index, struct RouteIndexEntry);
  if (entry == NULL)
    return ERROR_NO_MEMORY;
  entry->key = key;
  entry->route = route;
  HASH_ADD_KEYPTR (hh, index->entries, entry->key, strlen (entry->key), entry);
  return ERROR_NONE;
}

int32_t
route_table_index (TALLOC_CTX *ctx, struct RouteTable *table)
{
  int32_t error = ERROR_NONE;

  table->index = talloc_zero (ctx, struct RouteIndex);
  if (table->index == NULL)
    return ERROR_NO_MEMORY;
  talloc_set_destructor (table->index, index_free);
  for (size_t i = 0; i < table->n_routes && error == ERROR_NONE; i++)
    error = index_add (table->index, &table->routes[i]);
  return error;
}

/* Looks up each part of the path that ends with a slash, longest first, since prefixes end with
 * one. The cost of a lookup does not grow with the number of routes, which may be thousands. */
const struct Route *
route_table_find (const struct RouteTable *table, const char *host, const char *path)
{
  size_t host_bytes = strcspn (host, ":"), path_bytes = strcspn (path, "?");
  char key[KEY_MAX_BYTES];

  if (host_bytes + path_bytes > sizeof key)
    path_bytes = host_bytes < sizeof key ? sizeof key - host_bytes : 0;
  if (host_bytes > sizeof key)
    return NULL;
  memcpy (key, host, host_bytes);
  lower_case (key, host_bytes);
  memcpy (key + host_bytes, path, path_bytes);
  for (size_t n = path_bytes; n > 0; n--)
    {
      struct RouteIndexEntry *entry = NULL;

      if (path[n - 1] != '/')
        continue;
      HASH_FIND (hh, table->index->entries, key, host_bytes + n, entry);
      if (entry != NULL)
        return entry->route;
    }
  return NULL;
}

const struct Service *
route_table_service (const struct RouteTable *table, const char *name)
{
  for (size_t i = 0; i < table->n_services; i++)
    if (strcmp (table->services[i].name, name) == 0)
      return &table->services[i];
  return NULL;
}

const char *
route_choose_service (const struct Route *route, uint64_t draw)
{
  uint64_t total = 0;

  for (size_t i = 0; i < route->n_targets; i++)
    total += route->targets[i].weight;
  if (total == 0)
    return route->n_targets > 0 ? route->targets[0].service : "";
  draw %= total;
  for (size_t i = 0; i < route->n_targets; i++)
    {
      if (draw < route->targets[i].weight)
        return route->targets[i].service;
      draw -= route->targets[i].weight;
    }
  return "";
}
