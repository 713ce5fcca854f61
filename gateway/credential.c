#include "credential.h"

#include <string.h>

/* Returns the customer that owns the caller's key; NULL when there is none. Sets *needs_key when
 * the request must not pass without a customer. */
static const struct Customer *
credential_customer (const struct Request *request, bool *needs_key)
{
  const struct RouteTable *table = request->front->table;
  const struct CallerRequest *caller = &request->caller;

  *needs_key = table->customers != NULL && !request->route.is_public;
  if (!*needs_key || caller->credential != CREDENTIAL_KEY)
    return NULL;
  return customer_table_find_key (table->customers, caller->key, caller->key_bytes);
}

bool
credential_check (struct Request *request)
{
  bool needs_key;
  const struct Customer *customer = credential_customer (request, &needs_key);

  request->key_checked = true;
  request->key_version = request->front->table->version;
  request->key_valid = customer != NULL || !needs_key;
  if (customer != NULL)
    request->customer = *customer;
  return request->key_valid;
}

const char *
credential_problem (const struct CallerRequest *caller)
{
  switch (caller->credential)
    {
    case CREDENTIAL_NONE:
      return "the request has no key";
    case CREDENTIAL_KEY:
      return "no customer has this key";
    case CREDENTIAL_UNREADABLE:
      return "several keys, or a malformed one";
    }
  return "";
}

bool
credential_is_valid (struct Request *request)
{
  bool needs_key;
  const struct Customer *customer;

  if (!request->key_checked)
    return credential_check (request);
  if (request->key_version == request->front->table->version || !request->key_valid)
    return request->key_valid;
  customer = credential_customer (request, &needs_key);
  request->key_version = request->front->table->version;
  request->key_valid = strcmp (customer != NULL ? customer->name : "", request->customer.name) == 0
                       && (customer != NULL || !needs_key);
  return request->key_valid;
}
