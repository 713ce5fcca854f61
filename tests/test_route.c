#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/route.h>

#include <string.h>

static struct RouteTarget shop_targets[] = { { "shop", 90 }, { "shop-next", 10 } };
static struct RouteTarget api_targets[] = { { "api", 1 } };
static struct Route routes[] = {
  { .name = "all", .host = "a.example", .prefix = "/", .targets = api_targets, .n_targets = 1 },
  { .name = "shop",
    .host = "a.example",
    .prefix = "/shop/",
    .targets = shop_targets,
    .n_targets = 2 },
  { .name = "cart",
    .host = "a.example",
    .prefix = "/shop/cart/",
    .targets = api_targets,
    .n_targets = 1 },
  { .name = "other",
    .host = "b.example",
    .prefix = "/shop/",
    .targets = api_targets,
    .n_targets = 1 },
};
static struct RouteTable table = { .version = 7, .routes = routes, .n_routes = 4 };

static const char *
find_name (const char *host, const char *path)
{
  const struct Route *route;

  if (table.index == NULL)
    CU_ASSERT_EQUAL (route_table_index (NULL, &table), ERROR_NONE);
  route = route_table_find (&table, host, path);

  return route != NULL ? route->name : "none";
}

static void
test_longest_prefix_of_host_wins (void)
{
  CU_ASSERT_STRING_EQUAL (find_name ("a.example", "/shop/cart/1"), "cart");
  CU_ASSERT_STRING_EQUAL (find_name ("a.example", "/shop/1?x=/cart/"), "shop");
  CU_ASSERT_STRING_EQUAL (find_name ("a.example", "/shopping"), "all");
  CU_ASSERT_STRING_EQUAL (find_name ("b.example", "/shop/1"), "other");
  CU_ASSERT_STRING_EQUAL (find_name ("b.example", "/"), "none");
  CU_ASSERT_STRING_EQUAL (find_name ("c.example", "/shop/"), "none");
}

static void
test_host_may_have_port_and_any_case (void)
{
  CU_ASSERT_STRING_EQUAL (find_name ("A.Example:8080", "/shop/1"), "shop");
  CU_ASSERT_STRING_EQUAL (find_name ("a.example.", "/shop/1"), "none");
}

static void
test_services_are_chosen_by_weight (void)
{
  uint32_t n_next = 0;

  for (uint64_t draw = 0; draw < 1000; draw++)
    n_next += strcmp (route_choose_service (&routes[1], draw), "shop-next") == 0;
  CU_ASSERT_EQUAL (n_next, 100);
  CU_ASSERT_STRING_EQUAL (route_choose_service (&routes[0], 12345), "api");
}

/* Among thousands of routes of two hosts, with some prefixes nested, each path matches the longest
 * prefix. A path longer than the lookup limit still matches; an overlong host matches none. */
static void
test_thousands_of_routes (void)
{
  enum
  {
    N = 2000
  };
  struct RouteTable *many = talloc_zero (NULL, struct RouteTable);
  char path[4096];

  many->n_routes = N;
  many->routes = talloc_zero_array (many, struct Route, N);
  for (uint32_t i = 0; i < N; i++)
    {
      many->routes[i].host = i % 2 == 0 ? "a.example" : "b.example";
      many->routes[i].prefix = i % 4 < 2 ? talloc_asprintf (many, "/r%u/", i)
                                         : talloc_asprintf (many, "/r%u/deep/", i - 2);
    }
  CU_ASSERT_EQUAL (route_table_index (many, many), ERROR_NONE);
  CU_ASSERT_PTR_EQUAL (route_table_find (many, "a.example", "/r1200/x/y?z=/r4/"),
                       &many->routes[1200]);
  CU_ASSERT_PTR_EQUAL (route_table_find (many, "a.example", "/r1200/deep/y"), &many->routes[1202]);
  CU_ASSERT_PTR_EQUAL (route_table_find (many, "B.example:80", "/r1201/deep"), &many->routes[1201]);
  CU_ASSERT_PTR_NULL (route_table_find (many, "b.example", "/r1200/x"));
  CU_ASSERT_PTR_NULL (route_table_find (many, "a.example", ""));
  memset (path, 'x', sizeof path);
  memcpy (path, "/r1200/", 7);
  path[sizeof path - 1] = '\0';
  CU_ASSERT_PTR_EQUAL (route_table_find (many, "a.example", path), &many->routes[1200]);
  path[0] = 'x';
  CU_ASSERT_PTR_NULL (route_table_find (many, path, path));
  talloc_free (many);
}

/* An operator sets all weights to 0 by mistake. Calls must still be served. */
static void
test_zero_weights_choose_first_service (void)
{
  struct RouteTarget none[] = { { "x", 0 }, { "y", 0 } };
  struct Route route = { .targets = none, .n_targets = 2 };

  CU_ASSERT_STRING_EQUAL (route_choose_service (&route, 3), "x");
}

const char test_suite_name[] = "route";
const struct TestCase test_cases[] = {
  { "the longest prefix of the host wins", test_longest_prefix_of_host_wins },
  { "a host may have a port and any case", test_host_may_have_port_and_any_case },
  { "services are chosen by weight", test_services_are_chosen_by_weight },
  { "zero weights choose the first service", test_zero_weights_choose_first_service },
  { "thousands of routes", test_thousands_of_routes },
  { NULL, NULL },
};
