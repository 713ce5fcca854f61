#include <buckthornhead/route.h>

#include <buckthornhead/error.h>

#include <ctype.h>
#include <string.h>
#include <uthash.h>

enum
{
  KEY_MAX_BYTES = 2048 /* of a host and a prefix; longer paths have no longer prefixes */
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

/* Index. */

struct RouteIndexRow
{
  const char *key; /* host in lower case, then the prefix */
  const struct Route *route;
  UT_hash_handle hh;
};

struct RouteIndex
{
  struct RouteIndexRow *rows;
};

static int
index_free (struct RouteIndex *index)
{
  HASH_CLEAR (hh, index->rows);
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
  struct RouteIndexRow *row, *before = NULL;
  char *key = talloc_asprintf (index, "%s%s", route->host, route->prefix);

  if (key == NULL)
    return ERROR_NO_MEMORY;
  lower_case (key, strlen (route->host));
  HASH_FIND_STR (index->rows, key, before);
  if (before != NULL)
    return ERROR_NONE; /* of two with one prefix the first counts */
  row = talloc_zero (index, struct RouteIndexRow);
  if (row == NULL)
    return ERROR_NO_MEMORY;
  row->key = key;
  row->route = route;
  HASH_ADD_KEYPTR (hh, index->rows, row->key, strlen (row->key), row);
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

/* Prefixes begin and end with a slash: of a path only what ends with one is looked up, the longest
 * first. Answers the load of configurations with thousands of routes. */
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
      struct RouteIndexRow *row = NULL;

      if (path[n - 1] != '/')
        continue;
      HASH_FIND (hh, table->index->rows, key, host_bytes + n, row);
      if (row != NULL)
        return row->route;
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
