#include "test_main.h"

#include "../gateway/credential.h"

#include <stdio.h>
#include <string.h>

static struct RouteTable *
make_table (uint64_t version, const char *customer, const char *key)
{
  struct RouteTable *table = talloc_zero (NULL, struct RouteTable);
  struct Customer entry = { .priority = 3 };
  struct Fault fault;

  table->version = version;
  table->customers = customer_table_new (table, 1);
  snprintf (entry.name, sizeof entry.name, "%s", customer);
  customer_table_add (table->customers, &entry, &fault);
  customer_table_add_key (table->customers, key, &fault);
  return table;
}

static struct Request
make_request (struct Front *front, const char *key)
{
  struct Request request = { .front = front };

  request.caller.credential = key != NULL ? CREDENTIAL_KEY : CREDENTIAL_NONE;
  request.caller.key = key;
  request.caller.key_bytes = key != NULL ? strlen (key) : 0;
  return request;
}

static void
test_key_identifies_customer (void)
{
  struct Front front = { .table = make_table (1, "alma", "k1") };
  struct Request known = make_request (&front, "k1"), unknown = make_request (&front, "k2");
  struct Request none = make_request (&front, NULL), open = make_request (&front, NULL);

  CU_ASSERT_TRUE (credential_is_valid (&known));
  CU_ASSERT_STRING_EQUAL (known.customer.name, "alma");
  CU_ASSERT_EQUAL (known.customer.priority, 3);
  CU_ASSERT_FALSE (credential_is_valid (&unknown));
  CU_ASSERT_FALSE (credential_is_valid (&none));
  open.route.is_public = true;
  CU_ASSERT_TRUE (credential_is_valid (&open));
  CU_ASSERT_STRING_EQUAL (open.customer.name, "");
  talloc_free (front.table);
}

/* Guards against a turn that runs after its key was revoked: the operators revoke the key while the
 * turn waits for an engine, the check after the slot grant fails, and the turn is sent to the next
 * server. A second check against the same configuration returned true, and the turn ran without a
 * customer. */
static void
test_revoked_key_stays_invalid (void)
{
  struct Front front = { .table = make_table (1, "alma", "k1") };
  struct RouteTable *first = front.table;
  struct Request request = make_request (&front, "k1");

  CU_ASSERT_TRUE (credential_is_valid (&request));
  front.table = make_table (2, "alma", "k9");
  CU_ASSERT_FALSE (credential_is_valid (&request));
  CU_ASSERT_FALSE (credential_is_valid (&request));
  talloc_free (front.table);
  talloc_free (first);
}

/* The key is assigned to another customer while the turn waits: the reservation was made for the
 * first customer, so the turn must not run for the second. */
static void
test_reassigned_key_invalidates_request (void)
{
  struct Front front = { .table = make_table (1, "alma", "k1") };
  struct RouteTable *first = front.table;
  struct Request request = make_request (&front, "k1");

  CU_ASSERT_TRUE (credential_is_valid (&request));
  front.table = make_table (2, "bela", "k1");
  CU_ASSERT_FALSE (credential_is_valid (&request));
  CU_ASSERT_STRING_EQUAL (request.customer.name, "alma");
  talloc_free (front.table);
  talloc_free (first);
}

/* The first configuration with customers arrives while a request without a key waits. */
static void
test_new_customers_require_keys (void)
{
  struct RouteTable without = { .version = 1 };
  struct Front front = { .table = &without };
  struct Request request = make_request (&front, NULL);

  CU_ASSERT_TRUE (credential_is_valid (&request));
  front.table = make_table (2, "alma", "k1");
  CU_ASSERT_FALSE (credential_is_valid (&request));
  talloc_free (front.table);
}

const char test_suite_name[] = "credential";
const struct TestCase test_cases[] = {
  { "a key identifies the customer", test_key_identifies_customer },
  { "a revoked key stays invalid", test_revoked_key_stays_invalid },
  { "a reassigned key invalidates the request", test_reassigned_key_invalidates_request },
  { "new customers require keys", test_new_customers_require_keys },
  { NULL, NULL },
};
