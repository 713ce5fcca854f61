#include "test_main.h"

#include "../gateway/credential.h"

#include <stdio.h>
#include <string.h>

static struct RouteTable *
table_of (uint64_t version, const char *customer, const char *key)
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
request_of (struct Front *front, const char *key)
{
  struct Request request = { .front = front };

  request.caller.credential = key != NULL ? CREDENTIAL_KEY : CREDENTIAL_NONE;
  request.caller.key = key;
  request.caller.key_bytes = key != NULL ? strlen (key) : 0;
  return request;
}

static void
test_a_key_says_whose_a_request_is (void)
{
  struct Front front = { .table = table_of (1, "alma", "k1") };
  struct Request known = request_of (&front, "k1"), unknown = request_of (&front, "k2");
  struct Request none = request_of (&front, NULL), open = request_of (&front, NULL);

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

/* A turn waits for its engine while the operators take its caller's key away. The engine's owner
 * lets it go, the key is found gone, and the turn is offered to the next server: asked a second
 * time about the same configuration, the check must not forget what it found. It ran there, for
 * nobody.
 */
static void
test_a_key_that_is_gone_stays_gone (void)
{
  struct Front front = { .table = table_of (1, "alma", "k1") };
  struct RouteTable *first = front.table;
  struct Request request = request_of (&front, "k1");

  CU_ASSERT_TRUE (credential_is_valid (&request));
  front.table = table_of (2, "alma", "k9");
  CU_ASSERT_FALSE (credential_is_valid (&request));
  CU_ASSERT_FALSE (credential_is_valid (&request));
  talloc_free (front.table);
  talloc_free (first);
}

/* The key goes to another customer while the turn waits: what was reserved under the first one's
 * name does not run under the second's. */
static void
test_a_key_that_moves_takes_no_request_along (void)
{
  struct Front front = { .table = table_of (1, "alma", "k1") };
  struct RouteTable *first = front.table;
  struct Request request = request_of (&front, "k1");

  CU_ASSERT_TRUE (credential_is_valid (&request));
  front.table = table_of (2, "bela", "k1");
  CU_ASSERT_FALSE (credential_is_valid (&request));
  CU_ASSERT_STRING_EQUAL (request.customer.name, "alma");
  talloc_free (front.table);
  talloc_free (first);
}

/* The first configuration with customers comes while a request waits that needed no key so far. */
static void
test_customers_that_are_new_ask_for_keys (void)
{
  struct RouteTable without = { .version = 1 };
  struct Front front = { .table = &without };
  struct Request request = request_of (&front, NULL);

  CU_ASSERT_TRUE (credential_is_valid (&request));
  front.table = table_of (2, "alma", "k1");
  CU_ASSERT_FALSE (credential_is_valid (&request));
  talloc_free (front.table);
}

const char test_suite_name[] = "credential";
const struct TestCase test_cases[] = {
  { "a key says whose a request is", test_a_key_says_whose_a_request_is },
  { "a key that is gone stays gone", test_a_key_that_is_gone_stays_gone },
  { "a key that moves takes no request along", test_a_key_that_moves_takes_no_request_along },
  { "customers that are new ask for keys", test_customers_that_are_new_ask_for_keys },
  { NULL, NULL },
};
