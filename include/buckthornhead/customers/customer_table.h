/* Customers as the operators configured them: whose a key is, and what each customer may send.
 *
 * One immutable table a version of the configuration, part of the route table of that version. Keys
 * are held as they were configured and never leave this module: neither an error nor a log line
 * names one. Pure. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/error.h>

#include <talloc.h>

enum
{
  CUSTOMER_KEY_MAX_BYTES = 4096,
  /* More a second than any gateway of a fleet could take: a slip of the pen. */
  CUSTOMER_RATE_MAX_PER_S = 10 * 1000 * 1000
};

struct Customer
{
  char name[NAME_MAX_BYTES + 1];
  uint32_t priority; /* 0: the most urgent, and where none is configured */
  double rate_per_s; /* requests over all gateways; 0: no limit */
  double burst;      /* requests beyond the rate, once */
};

struct CustomerTable;

/* n_customers_max: that will be added. NULL without memory. */
struct CustomerTable *
customer_table_new (TALLOC_CTX *ctx, size_t n_customers_max);

/* ERROR_INVALID with fault: no name, one that another customer has, or a limit out of bounds. */
int32_t
customer_table_add (struct CustomerTable *table,
                    const struct Customer *customer,
                    struct Fault *fault);

/* A key of the customer that was added last. ERROR_INVALID with fault: empty, too long, or another
 * customer's; ERROR_NO_MEMORY. The same key twice is one. */
int32_t
customer_table_add_key (struct CustomerTable *table, const char *key, struct Fault *fault);

/* Whose key it is; NULL: nobody's. */
const struct Customer *
customer_table_find_key (const struct CustomerTable *table, const char *key, size_t key_bytes);

/* NULL: no customer has that name. */
const struct Customer *
customer_table_find (const struct CustomerTable *table, const char *name);

size_t
customer_table_count (const struct CustomerTable *table);

/* In the order of the configuration. */
const struct Customer *
customer_table_at (const struct CustomerTable *table, size_t i);
