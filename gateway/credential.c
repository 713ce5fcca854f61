#include "credential.h"

#include <string.h>

bool
credential_check (struct Request *request)
{
  const struct RouteTable *table = request->front->table;
  const struct CallerRequest *caller = &request->caller;
  const struct Customer *customer = NULL;

  memset (&request->customer, 0, sizeof request->customer);
  request->key_checked = true;
  request->key_version = table->version;
  if (table->customers == NULL || request->route.is_public)
    return true;
  if (caller->credential == CREDENTIAL_KEY)
    customer = customer_table_find_key (table->customers, caller->key, caller->key_bytes);
  if (customer == NULL)
    return false;
  request->customer = *customer;
  if (customer->has_priority)
    request->route.priority = customer->priority;
  return true;
}

const char *
credential_words (const struct CallerRequest *caller)
{
  switch (caller->credential)
    {
    case CREDENTIAL_NONE:
      return "no key";
    case CREDENTIAL_KEY:
      return "a key that no customer has";
    case CREDENTIAL_UNREADABLE:
      return "no single key can be read";
    }
  return "";
}

bool
credential_holds (struct Request *request)
{
  struct Customer before = request->customer;
  bool first = !request->key_checked;

  if (!first && request->key_version == request->front->table->version)
    return true;
  return credential_check (request) && (first || strcmp (before.name, request->customer.name) == 0);
}
