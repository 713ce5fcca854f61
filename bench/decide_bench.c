/* Measures the time of a gateway's decisions on a request by the size of the configuration.
 *
 * decide_bench [--rounds N]
 *
 * Prints a JSON line for each decision and size: nanoseconds per request, and the bytes of the
 * table that is searched. Run it twice, and compare figures of the same instance only. */
#include <buckthornhead/customers/quota.h>
#include <buckthornhead/route.h>

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

enum
{
  ROUNDS = 200000,
  KEYS_PER_CUSTOMER = 3
};

static int64_t
now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static void
report (const char *decision, uint32_t size, int64_t elapsed_ns, uint32_t rounds, size_t n_bytes)
{
  printf ("{\"decision\":\"%s\",\"size\":%u,\"ns_a_request\":%.1f,\"table_bytes\":%zu}\n", decision,
          size, (double)elapsed_ns / rounds, n_bytes);
}

static void
bench_routes (uint32_t n_routes, uint32_t rounds)
{
  struct RouteTable *table = talloc_zero (NULL, struct RouteTable);
  char path[64];
  uint32_t n_found = 0;
  int64_t begin_ns;

  table->n_routes = n_routes;
  table->routes = talloc_zero_array (table, struct Route, n_routes);
  for (uint32_t i = 0; i < n_routes; i++)
    {
      table->routes[i].host = "x.example";
      table->routes[i].prefix = talloc_asprintf (table, "/route%u/", i);
    }
  route_table_index (table, table);
  begin_ns = now_ns ();
  for (uint32_t i = 0; i < rounds; i++)
    {
      snprintf (path, sizeof path, "/route%u/4b", i * 7919 % n_routes);
      n_found += route_table_find (table, "x.example", path) != NULL;
    }
  report ("route", n_routes, now_ns () - begin_ns, rounds, talloc_total_size (table));
  if (n_found != rounds)
    abort ();
  talloc_free (table);
}

static struct CustomerTable *
customers_new (uint32_t n_customers)
{
  struct CustomerTable *table = customer_table_new (NULL, n_customers);
  struct Fault fault;

  for (uint32_t i = 0; i < n_customers; i++)
    {
      struct Customer customer = { .rate_per_s = 2.5, .burst = 2.5 };
      char key[64];

      snprintf (customer.name, sizeof customer.name, "customer-%u", i);
      customer_table_add (table, &customer, &fault);
      for (uint32_t k = 0; k < KEYS_PER_CUSTOMER; k++)
        {
          snprintf (key, sizeof key, "j3nr26tta828m82t%uk%u", i, k);
          customer_table_add_key (table, key, &fault);
        }
    }
  return table;
}

static void
bench_keys (const struct CustomerTable *table, uint32_t n_customers, uint32_t rounds)
{
  uint32_t n_found = 0;
  int64_t begin_ns = now_ns ();
  char key[64];

  for (uint32_t i = 0; i < rounds; i++)
    {
      int n = snprintf (key, sizeof key, "j3nr26tta828m82t%uk%u", i * 7919 % n_customers,
                        i % KEYS_PER_CUSTOMER);

      n_found += customer_table_find_key (table, key, (size_t)n) != NULL;
    }
  report ("key", n_customers, now_ns () - begin_ns, rounds, talloc_total_size (table));
  if (n_found != rounds)
    abort ();
}

static void
bench_limits (const struct CustomerTable *table, uint32_t n_customers, uint32_t rounds)
{
  const struct QuotaRules rules = { QUOTA_BY_REPORTS, 5000, 20, true };
  struct QuotaLedger *ledger = quota_ledger_new (NULL, &rules, "front-1", 0);
  int64_t begin_ns;

  quota_ledger_configure (ledger, table, 0);
  begin_ns = now_ns ();
  for (uint32_t i = 0; i < rounds; i++)
    {
      const struct Customer *customer = customer_table_at (table, i * 7919 % n_customers);
      int64_t now_ms = 10000 + i / 9 * 1000 / 9;

      quota_count_demand (ledger, customer->name, QUOTA_REQUEST_UNDER_WAY, now_ms);
      quota_admit (ledger, customer->name, QUOTA_REQUEST_UNDER_WAY, now_ms);
    }
  report ("limit", n_customers, now_ns () - begin_ns, rounds, talloc_total_size (ledger));
  talloc_free (ledger);
}

int
main (int argc, char **argv)
{
  struct arg_int *rounds = arg_int0 (NULL, "rounds", "N", "requests per line (200000)");
  struct arg_end *end = arg_end (4);
  void *table[] = { rounds, end };
  static const uint32_t routes[] = { 50, 500, 1900 }, customers[] = { 79, 7300 };
  uint32_t n;

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      return 1;
    }
  n = rounds->count > 0 ? (uint32_t)rounds->ival[0] : ROUNDS;
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    bench_routes (routes[i], n);
  for (size_t i = 0; i < sizeof customers / sizeof customers[0]; i++)
    {
      struct CustomerTable *list = customers_new (customers[i]);

      bench_keys (list, customers[i], n);
      bench_limits (list, customers[i], n);
      talloc_free (list);
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return 0;
}
