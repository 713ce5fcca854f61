#include "test_main.h"

#include <buckthornhead/descriptor_shares.h>

#include <string.h>

static const struct DescriptorShares wanted = { .callers = 2000,
                                                .ready = 1000,
                                                .directory = 1000,
                                                .metrics = 16,
                                                .operators = 100,
                                                .servers = 100000 };

static struct DescriptorShares
shares_of (uint64_t limit)
{
  struct DescriptorShares shares;
  struct Fault fault;

  CU_ASSERT_EQUAL (descriptor_shares (limit, &wanted, &shares, &fault), ERROR_NONE);
  return shares;
}

/* Guards against callers who use up the descriptors that serving them takes. */
static void
test_the_shares_leave_a_reserve (void)
{
  for (uint64_t limit = DESCRIPTORS_MIN; limit <= 1000 * 1000; limit += limit < 5000 ? 1 : 997)
    {
      struct DescriptorShares s = shares_of (limit);
      uint64_t sum =
          (uint64_t)s.callers + s.ready + s.directory + s.metrics + s.operators + s.servers;

      CU_ASSERT (s.callers >= 4 && s.ready >= 2 && s.directory >= 2 && s.metrics >= 2
                 && s.operators >= 2);
      CU_ASSERT (s.servers >= 2);
      CU_ASSERT (sum + limit / 8 < limit);
    }
}

static void
test_no_share_exceeds_what_is_wanted (void)
{
  struct DescriptorShares s = shares_of (UINT64_MAX);

  CU_ASSERT_EQUAL (memcmp (&s, &wanted, sizeof s), 0);
}

/* Guards against a gateway with usual limits that holds fewer callers than it is set to. */
static void
test_usual_limits_hold_the_callers (void)
{
  CU_ASSERT_EQUAL (shares_of (3900).callers, 2000);
  CU_ASSERT_EQUAL (shares_of (4096).callers, 2000);
  CU_ASSERT (shares_of (1024).callers >= 500);
}

static void
test_too_low_a_limit_is_an_error (void)
{
  struct DescriptorShares shares;
  struct Fault fault;

  CU_ASSERT_EQUAL (descriptor_shares (DESCRIPTORS_MIN - 1, &wanted, &shares, &fault),
                   ERROR_INVALID);
  CU_ASSERT_PTR_NOT_NULL (strstr (fault.message, "39 descriptors and needs at least 40"));
  CU_ASSERT_EQUAL (shares.callers, 0);
}

const char test_suite_name[] = "descriptor_shares";
const struct TestCase test_cases[] = {
  { "the shares leave a reserve", test_the_shares_leave_a_reserve },
  { "no share exceeds what is wanted", test_no_share_exceeds_what_is_wanted },
  { "usual limits hold the callers", test_usual_limits_hold_the_callers },
  { "too low a limit is an error", test_too_low_a_limit_is_an_error },
  { NULL, NULL },
};
