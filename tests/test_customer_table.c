#include "test_main.h"

#include <buckthornhead/customers/customer_table.h>

#include <stdio.h>
#include <string.h>

static int32_t
add (struct CustomerTable *table, const char *name, double rate_per_s, struct Fault *fault)
{
  struct Customer customer = { .rate_per_s = rate_per_s, .burst = rate_per_s };

  snprintf (customer.name, sizeof customer.name, "%s", name);
  return customer_table_add (table, &customer, fault);
}

static const char *
customer_of (const struct CustomerTable *table, const char *key)
{
  const struct Customer *customer = customer_table_find_key (table, key, strlen (key));

  return customer != NULL ? customer->name : "unknown";
}

static void
test_key_belongs_to_one_customer (void)
{
  struct CustomerTable *table = customer_table_new (NULL, 2);
  struct Fault fault;

  CU_ASSERT_EQUAL (add (table, "alma", 10, &fault), ERROR_NONE);
  CU_ASSERT_EQUAL (customer_table_add_key (table, "k1", &fault), ERROR_NONE);
  CU_ASSERT_EQUAL (customer_table_add_key (table, "k2", &fault), ERROR_NONE);
  CU_ASSERT_EQUAL (customer_table_add_key (table, "k2", &fault), ERROR_NONE);
  CU_ASSERT_EQUAL (add (table, "bela", 0, &fault), ERROR_NONE);
  CU_ASSERT_EQUAL (customer_table_add_key (table, "k3", &fault), ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (customer_of (table, "k1"), "alma");
  CU_ASSERT_STRING_EQUAL (customer_of (table, "k2"), "alma");
  CU_ASSERT_STRING_EQUAL (customer_of (table, "k3"), "bela");
  /* Keys are compared whole and case-sensitively. */
  CU_ASSERT_STRING_EQUAL (customer_of (table, "k"), "unknown");
  CU_ASSERT_STRING_EQUAL (customer_of (table, "K1"), "unknown");
  CU_ASSERT_STRING_EQUAL (customer_of (table, "k11"), "unknown");
  CU_ASSERT_STRING_EQUAL (customer_of (table, ""), "unknown");
  CU_ASSERT_EQUAL (customer_table_count (table), 2);
  CU_ASSERT_EQUAL (customer_table_find (table, "alma")->rate_per_s, 10);
  CU_ASSERT_PTR_NULL (customer_table_find (table, "k1"));
  talloc_free (table);
}

/* Configuration errors name the customer concerned, and no message contains a key. */
static void
test_errors_name_customers_but_no_keys (void)
{
  struct CustomerTable *table = customer_table_new (NULL, 3);
  struct Fault fault;

  CU_ASSERT_EQUAL (add (table, "", 1, &fault), ERROR_INVALID);
  CU_ASSERT_EQUAL (add (table, "alma", -1, &fault), ERROR_INVALID);
  CU_ASSERT_EQUAL (add (table, "alma", 1e12, &fault), ERROR_INVALID);
  CU_ASSERT_EQUAL (add (table, "alma", 1, &fault), ERROR_NONE);
  CU_ASSERT_EQUAL (customer_table_add_key (table, "", &fault), ERROR_INVALID);
  CU_ASSERT_EQUAL (customer_table_add_key (table, "secret", &fault), ERROR_NONE);
  CU_ASSERT_EQUAL (add (table, "alma", 1, &fault), ERROR_INVALID);
  CU_ASSERT_PTR_NOT_NULL (strstr (fault.message, "alma"));
  CU_ASSERT_EQUAL (add (table, "bela", 1, &fault), ERROR_NONE);
  CU_ASSERT_EQUAL (customer_table_add_key (table, "secret", &fault), ERROR_INVALID);
  CU_ASSERT_PTR_NOT_NULL (strstr (fault.message, "alma and bela"));
  CU_ASSERT_PTR_NULL (strstr (fault.message, "secret"));
  talloc_free (table);
}

static void
test_thousands_of_customers_are_found (void)
{
  const uint32_t n_customers = 7300, n_keys = 3;
  struct CustomerTable *table = customer_table_new (NULL, n_customers);
  struct Fault fault;
  char name[40], key[60];
  uint32_t n_found = 0;

  for (uint32_t i = 0; i < n_customers; i++)
    {
      snprintf (name, sizeof name, "customer-%u", i);
      add (table, name, 2, &fault);
      for (uint32_t k = 0; k < n_keys; k++)
        {
          snprintf (key, sizeof key, "key-%u-of-%u", k, i);
          customer_table_add_key (table, key, &fault);
        }
    }
  for (uint32_t i = 0; i < n_customers; i++)
    {
      snprintf (name, sizeof name, "customer-%u", i);
      snprintf (key, sizeof key, "key-%u-of-%u", i % n_keys, i);
      n_found += strcmp (customer_of (table, key), name) == 0;
    }
  CU_ASSERT_EQUAL (n_found, n_customers);
  talloc_free (table);
}

const char test_suite_name[] = "customer_table";
const struct TestCase test_cases[] = {
  { "a key belongs to one customer", test_key_belongs_to_one_customer },
  { "errors name customers but no keys", test_errors_name_customers_but_no_keys },
  { "thousands of customers are found", test_thousands_of_customers_are_found },
  { NULL, NULL },
};
