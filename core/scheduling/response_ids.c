#include <buckthornhead/scheduling/response_ids.h>

#include <string.h>
#include <uthash.h>

enum
{
  RESPONSE_IDS_REMEMBERED_MS = 10 * 60 * 1000
};

struct ServiceResponses
{
  char *service;
  bool present;
  int64_t missing_until_ms; /* 0: no response without an id */
  UT_hash_handle hh;
};

struct ResponseIdTable
{
  struct ServiceResponses *services;
};

static int
table_free (struct ResponseIdTable *table)
{
  HASH_CLEAR (hh, table->services);
  return 0;
}

struct ResponseIdTable *
response_ids_new (TALLOC_CTX *ctx)
{
  struct ResponseIdTable *table = talloc_zero (ctx, struct ResponseIdTable);

  if (table != NULL)
    talloc_set_destructor (table, table_free);
  return table;
}

static struct ServiceResponses *
table_find (const struct ResponseIdTable *table, const char *service)
{
  struct ServiceResponses *responses = NULL;

  HASH_FIND_STR (table->services, service, responses);
  return responses;
}

/* Returns NULL when out of memory. */
static struct ServiceResponses *
table_add (struct ResponseIdTable *table, const char *service)
{
  struct ServiceResponses *responses = table_find (table, service);

  if (responses != NULL)
    return responses;
  responses = talloc_zero (table, struct ServiceResponses);
  if (responses == NULL)
    return NULL;
  responses->service = talloc_strdup (responses, service);
  if (responses->service == NULL)
    {
      talloc_free (responses);
      return NULL;
    }
  HASH_ADD_KEYPTR (hh, table->services, responses->service, strlen (service), responses);
  return responses;
}

static enum ResponseIds
responses_state (const struct ServiceResponses *responses, int64_t now_ms)
{
  if (responses == NULL)
    return RESPONSE_IDS_UNKNOWN;
  if (now_ms < responses->missing_until_ms)
    return RESPONSE_IDS_MISSING;
  return responses->present ? RESPONSE_IDS_PRESENT : RESPONSE_IDS_UNKNOWN;
}

bool
response_ids_record (struct ResponseIdTable *table,
                     const char *service,
                     bool present,
                     int64_t now_ms)
{
  struct ServiceResponses *responses = table_add (table, service);
  enum ResponseIds before = responses_state (responses, now_ms);

  if (responses == NULL)
    return false;
  if (!present)
    {
      responses->present = false;
      responses->missing_until_ms = now_ms + RESPONSE_IDS_REMEMBERED_MS;
    }
  else if (before != RESPONSE_IDS_MISSING)
    responses->present = true;
  return responses_state (responses, now_ms) != before;
}

enum ResponseIds
response_ids_of (const struct ResponseIdTable *table, const char *service, int64_t now_ms)
{
  return responses_state (table_find (table, service), now_ms);
}
