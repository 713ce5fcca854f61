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
owner (const struct CustomerTable *table, const char *key)
{
  const struct Customer *customer = customer_table_find_key (table, key, strlen (key));

  return customer != NULL ? customer->name : "nobody";
}

static void
test_a_key_is_one_customers (void)
{
  struct CustomerTable *table = customer_table_new (NULL, 2);
  struct Fault fault;

  CU_ASSERT_EQUAL (add (table, "alma", 10, &fault), ERROR_NONE);
  CU_ASSERT_EQUAL (customer_table_add_key (table, "k1", &fault), ERROR_NONE);
  CU_ASSERT_EQUAL (customer_table_add_key (table, "k2", &fault), ERROR_NONE);
  CU_ASSERT_EQUAL (customer_table_add_key (table, "k2", &fault), ERROR_NONE);
  CU_ASSERT_EQUAL (add (table, "bela", 0, &fault), ERROR_NONE);
  CU_ASSERT_EQUAL (customer_table_add_key (table, "k3", &fault), ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (owner (table, "k1"), "alma");
  CU_ASSERT_STRING_EQUAL (owner (table, "k2"), "alma");
  CU_ASSERT_STRING_EQUAL (owner (table, "k3"), "bela");
  /* Compared whole: neither a beginning nor another case will do. */
  CU_ASSERT_STRING_EQUAL (owner (table, "k"), "nobody");
  CU_ASSERT_STRING_EQUAL (owner (table, "K1"), "nobody");
  CU_ASSERT_STRING_EQUAL (owner (table, "k11"), "nobody");
  CU_ASSERT_STRING_EQUAL (owner (table, ""), "nobody");
  CU_ASSERT_EQUAL (customer_table_count (table), 2);
  CU_ASSERT_EQUAL (customer_table_find (table, "alma")->rate_per_s, 10);
  CU_ASSERT_PTR_NULL (customer_table_find (table, "k1"));
  talloc_free (table);
}

/* The operators' slips: each is refused by its name, and no message tells a key. */
static void
test_slips_are_named_and_keys_are_not (void)
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
      n_found += strcmp (owner (table, key), name) == 0;
    }
  CU_ASSERT_EQUAL (n_found, n_customers);
  talloc_free (table);
}

const char test_suite_name[] = "customer_table";
const struct TestCase test_cases[] = {
  { "a key is one customer's", test_a_key_is_one_customers },
  { "slips are named and keys are not", test_slips_are_named_and_keys_are_not },
  { "thousands of customers are found", test_thousands_of_customers_are_found },
  { NULL, NULL },
};
