#include <buckthornhead/customers/customer_table.h>

#include <string.h>
#include <uthash.h>

struct CustomerEntry
{
  struct Customer customer;
  UT_hash_handle hh;
};

struct CustomerKey
{
  const char *text;
  const struct Customer *customer;
  UT_hash_handle hh;
};

struct CustomerTable
{
  struct CustomerEntry *entries; /* talloc array */
  size_t n_entries, n_entries_max;
  struct CustomerEntry *by_name;
  struct CustomerKey *by_key;
};

static int
table_free (struct CustomerTable *table)
{
  HASH_CLEAR (hh, table->by_name);
  HASH_CLEAR (hh, table->by_key);
  return 0;
}

struct CustomerTable *
customer_table_new (TALLOC_CTX *ctx, size_t n_customers_max)
{
  struct CustomerTable *table = talloc_zero (ctx, struct CustomerTable);

  if (table == NULL)
    return NULL;
  table->entries = talloc_zero_array (table, struct CustomerEntry, n_customers_max);
  if (table->entries == NULL)
    {
      talloc_free (table);
      return NULL;
    }
  table->n_entries_max = n_customers_max;
  talloc_set_destructor (table, table_free);
  return table;
}

static bool
limit_is_in_range (double limit)
{
  return limit >= 0 && limit <= CUSTOMER_RATE_MAX_PER_S;
}

int32_t
customer_table_add (struct CustomerTable *table,
                    const struct Customer *customer,
                    struct Fault *fault)
{
  struct CustomerEntry *entry;

  if (customer->name[0] == '\0')
    return fault_set (fault, ERROR_INVALID, "set a name for each customer",
                      "a customer has no name");
  if (customer_table_find (table, customer->name) != NULL)
    return fault_set (fault, ERROR_INVALID, "set a unique name for each customer",
                      "duplicate customer name %s", customer->name);
  if (!limit_is_in_range (customer->rate_per_s) || !limit_is_in_range (customer->burst))
    return fault_set (fault, ERROR_INVALID, "set rate and burst to values from 0 to 10,000,000",
                      "customer %s has a rate or burst out of range", customer->name);
  if (table->n_entries == table->n_entries_max)
    return fault_set (fault, ERROR_INVALID, NULL, "more customers than the table was created for");
  entry = &table->entries[table->n_entries++];
  entry->customer = *customer;
  HASH_ADD_STR (table->by_name, customer.name, entry);
  return ERROR_NONE;
}

int32_t
customer_table_add_key (struct CustomerTable *table, const char *key, struct Fault *fault)
{
  const struct Customer *customer = &table->entries[table->n_entries - 1].customer;
  size_t n_bytes = strlen (key);
  const struct Customer *other = customer_table_find_key (table, key, n_bytes);
  struct CustomerKey *entry;

  if (n_bytes == 0 || n_bytes > CUSTOMER_KEY_MAX_BYTES)
    return fault_set (fault, ERROR_INVALID, "use keys of 1 to 4,096 bytes",
                      "a key of customer %s is %zu bytes long", customer->name, n_bytes);
  if (other == customer)
    return ERROR_NONE;
  if (other != NULL)
    return fault_set (fault, ERROR_INVALID, "use each key for one customer only",
                      "customers %s and %s share a key", other->name, customer->name);
  entry = talloc_zero (table, struct CustomerKey);
  if (entry == NULL)
    return ERROR_NO_MEMORY;
  entry->text = talloc_strdup (entry, key);
  if (entry->text == NULL)
    return ERROR_NO_MEMORY;
  entry->customer = customer;
  HASH_ADD_KEYPTR (hh, table->by_key, entry->text, n_bytes, entry);
  return ERROR_NONE;
}

const struct Customer *
customer_table_find_key (const struct CustomerTable *table, const char *key, size_t key_bytes)
{
  struct CustomerKey *entry = NULL;

  HASH_FIND (hh, table->by_key, key, key_bytes, entry);
  return entry != NULL ? entry->customer : NULL;
}

const struct Customer *
customer_table_find (const struct CustomerTable *table, const char *name)
{
  struct CustomerEntry *entry = NULL;

  HASH_FIND_STR (table->by_name, name, entry);
  return entry != NULL ? &entry->customer : NULL;
}

size_t
customer_table_count (const struct CustomerTable *table)
{
  return table->n_entries;
}

const struct Customer *
customer_table_at (const struct CustomerTable *table, size_t i)
{
  return &table->entries[i].customer;
}
