#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/partition.h>
#include <buckthornhead/record.h>

#include <stdlib.h>
#include <string.h>

static struct CallKey
key_of (const char *program, uint64_t sequence)
{
  struct CallKey key = { .sequence = sequence, .branch = MAIN_BRANCH };

  snprintf (key.program, sizeof key.program, "%s", program);
  return key;
}

enum
{
  N_KINDS = RECORD_HELD /* kinds are numbered from 1 */
};

/* Returns a slot with one record of each kind. */
static struct Slot
slot_of_all_kinds (struct Record records[N_KINDS])
{
  static const uint8_t body[] = "answer";
  struct Slot slot = { .kind = SLOT_RECORDS,
                       .writer = "malda-1.7",
                       .batch_id = 3,
                       .replay_from = 2,
                       .records = records,
                       .n_records = N_KINDS };

  memset (records, 0, N_KINDS * sizeof records[0]);
  for (uint32_t i = 0; i < N_KINDS; i++)
    {
      records[i].kind = (enum RecordKind) (i + RECORD_PROGRAM);
      records[i].partition = 5;
      records[i].epoch = 9;
    }
  snprintf (records[0].program.program, sizeof records[0].program.program, "%s", "p");
  records[0].program.created_unix_ms = -1;
  records[0].program.budget_tokens = UINT64_MAX;
  records[1].intent.key = key_of ("p", 1);
  records[1].intent.reserved_tokens = 70;
  records[2].outcome.key = key_of ("p", 1);
  records[2].outcome.outcome.error = ERROR_BACKEND;
  records[2].outcome.outcome.ran = RAN_YES;
  records[2].outcome.outcome.response = body;
  records[2].outcome.outcome.response_bytes = sizeof body;
  records[2].outcome.request = body;
  records[2].outcome.request_bytes = 3;
  snprintf (records[3].end.program, sizeof records[3].end.program, "%s", "p");
  records[3].end.reason = END_TURN_LIMIT;
  snprintf (records[4].released.backend, sizeof records[4].released.backend, "%s", "engine-1");
  snprintf (records[8].released.backend, sizeof records[8].released.backend, "%s", "engine-2");
  records[5].snapshot.state = body;
  records[5].snapshot.state_bytes = sizeof body;
  records[5].snapshot.n_parts = 1;
  records[7].intent.key = key_of ("p", 2);
  return slot;
}

static void
test_round_trip_of_every_kind (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Record records[N_KINDS];
  struct Slot slot = slot_of_all_kinds (records), *unpacked = NULL;
  uint8_t *packed, *repacked;
  size_t bytes, repacked_bytes, sum = 0;

  CU_ASSERT_EQUAL_FATAL (slot_pack (ctx, &slot, &packed, &bytes), ERROR_NONE);
  CU_ASSERT_EQUAL_FATAL (slot_unpack (ctx, packed, bytes, &unpacked), ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (unpacked->writer, "malda-1.7");
  CU_ASSERT_EQUAL (unpacked->batch_id, 3);
  CU_ASSERT_EQUAL (unpacked->replay_from, 2);
  CU_ASSERT_EQUAL_FATAL (unpacked->n_records, N_KINDS);
  CU_ASSERT_EQUAL (unpacked->records[0].program.created_unix_ms, -1);
  CU_ASSERT_EQUAL (unpacked->records[2].outcome.outcome.error, ERROR_BACKEND);
  CU_ASSERT_EQUAL (unpacked->records[3].end.reason, END_TURN_LIMIT);
  CU_ASSERT_EQUAL_FATAL (slot_pack (ctx, unpacked, &repacked, &repacked_bytes), ERROR_NONE);
  CU_ASSERT_EQUAL_FATAL (repacked_bytes, bytes);
  CU_ASSERT_EQUAL (memcmp (repacked, packed, bytes), 0);
  for (size_t i = 0; i < N_KINDS; i++)
    sum += record_packed_bytes (&records[i]);
  CU_ASSERT (bytes - sum <= SLOT_HEADER_MAX_BYTES);
  talloc_free (ctx);
}

/* Guards against a replay that accepts a truncated or corrupt value and so mixes up histories. Each
 * truncation must be rejected; each changed byte must be rejected or give a well-formed slot. */
static void
test_malformed_slot_is_rejected (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Record records[N_KINDS];
  struct Slot slot = slot_of_all_kinds (records), *unpacked = NULL;
  static const uint8_t huge_array[] = { 0xdd, 0xff, 0xff, 0xff, 0xff };
  uint8_t *packed;
  size_t bytes;

  CU_ASSERT_EQUAL_FATAL (slot_pack (ctx, &slot, &packed, &bytes), ERROR_NONE);
  for (size_t n = 0; n < bytes; n++)
    CU_ASSERT_EQUAL (slot_unpack (ctx, packed, n, &unpacked), ERROR_INVALID);
  srand (7);
  for (size_t n = 0; n < bytes; n++)
    {
      uint8_t original = packed[n];

      packed[n] = (uint8_t)rand ();
      if (slot_unpack (ctx, packed, bytes, &unpacked) == ERROR_NONE)
        CU_ASSERT (record_packed_bytes (&unpacked->records[0]) > 0);
      packed[n] = original;
    }
  CU_ASSERT_EQUAL (slot_unpack (ctx, huge_array, sizeof huge_array, &unpacked), ERROR_INVALID);
  talloc_free (ctx);
}

static void
test_round_trip_of_partition_group (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PartitionEntry entries[2] = {
    { .epoch = 3, .home = "b.2", .n_journals = 2, .journals = { "a.1", "b.2" } },
  };
  struct PartitionGroup group = { .n_entries = 2, .entries = entries }, *unpacked = NULL;
  uint8_t *packed;
  size_t bytes;

  CU_ASSERT_EQUAL_FATAL (partition_group_pack (ctx, &group, &packed, &bytes), ERROR_NONE);
  CU_ASSERT_EQUAL_FATAL (partition_group_unpack (ctx, packed, bytes, &unpacked), ERROR_NONE);
  CU_ASSERT_EQUAL (unpacked->n_entries, 2);
  CU_ASSERT_EQUAL (unpacked->entries[0].epoch, 3);
  CU_ASSERT_STRING_EQUAL (unpacked->entries[0].journals[1], "b.2");
  CU_ASSERT_STRING_EQUAL (unpacked->entries[1].home, "");
  CU_ASSERT_EQUAL (partition_group_unpack (ctx, packed, bytes - 1, &unpacked), ERROR_INVALID);
  talloc_free (ctx);
}

/* When a member leaves, only its keys may move. The order of the names must not matter. */
static void
test_rendezvous_moves_only_removed_members_keys (void)
{
  static const char *const names[] = { "a", "b", "c" };
  static const char *const reversed[] = { "c", "b", "a" };
  static const char *const remaining[] = { "a", "b" };
  int n_moved = 0;

  for (int i = 0; i < 300; i++)
    {
      char key[16];
      const char *before;

      snprintf (key, sizeof key, "partition-%d", i);
      before = names[rendezvous_pick (key, names, 3)];
      CU_ASSERT_STRING_EQUAL (before, reversed[rendezvous_pick (key, reversed, 3)]);
      if (strcmp (before, "c") == 0)
        n_moved++;
      else
        CU_ASSERT_STRING_EQUAL (before, remaining[rendezvous_pick (key, remaining, 2)]);
    }
  CU_ASSERT (n_moved > 60 && n_moved < 140);
  CU_ASSERT_EQUAL (rendezvous_pick ("k", names, 0), -1);
  CU_ASSERT (partition_of ("p", 64) < 64);
}

const char test_suite_name[] = "record";
const struct TestCase test_cases[] = {
  { "round trip of every record kind", test_round_trip_of_every_kind },
  { "malformed slot is rejected", test_malformed_slot_is_rejected },
  { "round trip of a partition group", test_round_trip_of_partition_group },
  { "rendezvous moves only the removed member's keys",
    test_rendezvous_moves_only_removed_members_keys },
  { NULL, NULL },
};
