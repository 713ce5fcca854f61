#include "test_main.h"

#include "../gateway/first_id.h"

#include <buckthornhead/gateway_message.h>
#include <buckthornhead/peer_table.h>

enum
{
  N_STARTS = 8
};

/* A process that returns with the clock of its previous one must not repeat its ids. */
static void
test_starts_at_one_time_share_no_ids (void)
{
  uint64_t starts[N_STARTS];

  for (uint32_t i = 0; i < N_STARTS; i++)
    {
      starts[i] = first_id ();
      CU_ASSERT_EQUAL ((starts[i] + PEER_TABLE_IDS_MAX) & (COPY_WANT_CLOCK | COPY_WANT_FILE), 0);
      for (uint32_t j = 0; j < i; j++)
        {
          CU_ASSERT (starts[i] - starts[j] >= PEER_TABLE_IDS_MAX);
          CU_ASSERT (starts[j] - starts[i] >= PEER_TABLE_IDS_MAX);
        }
    }
}

const char test_suite_name[] = "first_id";
const struct TestCase test_cases[] = {
  { "starts at one time share no ids", test_starts_at_one_time_share_no_ids },
  { NULL, NULL },
};
