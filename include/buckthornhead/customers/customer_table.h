/* Configured customers: the keys and the limits of each.
 *
 * One immutable table per version of the configuration, part of the route table of that version.
 * Keys are stored as configured and never leave this module: no error message or log line contains
 * one. Does no I/O. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/error.h>

#include <talloc.h>

enum
{
  CUSTOMER_KEY_MAX_BYTES = 4096,
  /* Above what any fleet of gateways could serve: a larger value is a configuration error. */
  CUSTOMER_RATE_MAX_PER_S = 10 * 1000 * 1000
};

struct Customer
{
  char name[NAME_MAX_BYTES + 1];
  uint32_t priority; /* 0: most urgent, the default */
  double rate_per_s; /* requests per second over all gateways; 0: unlimited */
  double burst;      /* requests in addition to the rate, once per window */
};

struct CustomerTable;

/* n_customers_max: number of customers that will be added. Returns NULL when out of memory. */
struct CustomerTable *
customer_table_new (TALLOC_CTX *ctx, size_t n_customers_max);

/* Returns ERROR_INVALID with fault for an empty or duplicate name, or a limit out of range. */
int32_t
customer_table_add (struct CustomerTable *table,
                    const struct Customer *customer,
                    struct Fault *fault);

/* Adds a key to the customer that was added last. Returns ERROR_INVALID with fault if the key is
 * empty, too long or belongs to another customer, or ERROR_NO_MEMORY. Adding a key again has no
 * effect. */
int32_t
customer_table_add_key (struct CustomerTable *table, const char *key, struct Fault *fault);

/* Returns the customer that the key belongs to, or NULL for an unknown key. */
const struct Customer *
customer_table_find_key (const struct CustomerTable *table, const char *key, size_t key_bytes);

/* Returns NULL if no customer has that name. */
const struct Customer *
customer_table_find (const struct CustomerTable *table, const char *name);

size_t
customer_table_count (const struct CustomerTable *table);

/* Customers are indexed in the order of the configuration. */
const struct Customer *
customer_table_at (const struct CustomerTable *table, size_t i);
