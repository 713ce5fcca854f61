#include "test_main.h"

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
static const struct RouteTable table = { .version = 7, .routes = routes, .n_routes = 4 };

static const char *
found (const char *host, const char *path)
{
  const struct Route *route = route_table_find (&table, host, path);

  return route != NULL ? route->name : "none";
}

static void
test_the_longest_prefix_of_the_host_wins (void)
{
  CU_ASSERT_STRING_EQUAL (found ("a.example", "/shop/cart/1"), "cart");
  CU_ASSERT_STRING_EQUAL (found ("a.example", "/shop/1?x=/cart/"), "shop");
  CU_ASSERT_STRING_EQUAL (found ("a.example", "/shopping"), "all");
  CU_ASSERT_STRING_EQUAL (found ("b.example", "/shop/1"), "other");
  CU_ASSERT_STRING_EQUAL (found ("b.example", "/"), "none");
  CU_ASSERT_STRING_EQUAL (found ("c.example", "/shop/"), "none");
}

static void
test_a_host_may_have_a_port_and_any_case (void)
{
  CU_ASSERT_STRING_EQUAL (found ("A.Example:8080", "/shop/1"), "shop");
  CU_ASSERT_STRING_EQUAL (found ("a.example.", "/shop/1"), "none");
}

static void
test_weights_share_the_draws (void)
{
  uint32_t n_next = 0;

  for (uint64_t draw = 0; draw < 1000; draw++)
    n_next += strcmp (route_choose_service (&routes[1], draw), "shop-next") == 0;
  CU_ASSERT_EQUAL (n_next, 100);
  CU_ASSERT_STRING_EQUAL (route_choose_service (&routes[0], 12345), "api");
}

/* All weights at nothing: an operator drains a split by mistake. Callers are still served. */
static void
test_no_weight_at_all_takes_the_first (void)
{
  struct RouteTarget none[] = { { "x", 0 }, { "y", 0 } };
  struct Route route = { .targets = none, .n_targets = 2 };

  CU_ASSERT_STRING_EQUAL (route_choose_service (&route, 3), "x");
}

const char test_suite_name[] = "route";
const struct TestCase test_cases[] = {
  { "the longest prefix of the host wins", test_the_longest_prefix_of_the_host_wins },
  { "a host may have a port and any case", test_a_host_may_have_a_port_and_any_case },
  { "weights share the draws", test_weights_share_the_draws },
  { "no weight at all takes the first", test_no_weight_at_all_takes_the_first },
  { NULL, NULL },
};
