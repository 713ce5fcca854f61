/* Values of the key-value service, also as peers relay them: any input is rejected, or packs and
 * unpacks to the same bytes. The first byte selects the format. */
#include "fuzz.h"
#include "state_kind.h"

#include <config_entry.h>
#include <config_fold.h>
#include <ledger_state.h>
#include <member_entry.h>

#include <buckthornhead/partition.h>

#include <string.h>

/* A value that was unpacked and packed again. */
struct Packed
{
  uint8_t *bytes;
  size_t n_bytes;
};

typedef int32_t (*RepackFn) (TALLOC_CTX *ctx,
                             const uint8_t *bytes,
                             size_t n_bytes,
                             struct Packed *packed);

static int32_t
repack_group (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes, struct Packed *packed)
{
  struct PartitionGroup *group;
  int32_t error = partition_group_unpack (ctx, bytes, n_bytes, &group);

  if (error == ERROR_NONE)
    FUZZ_REQUIRE (partition_group_pack (ctx, group, &packed->bytes, &packed->n_bytes)
                  == ERROR_NONE);
  return error;
}

static int32_t
repack_change (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes, struct Packed *packed)
{
  struct ConfigChange *change;
  int32_t error = config_change_unpack (ctx, bytes, n_bytes, &change);

  if (error == ERROR_NONE)
    FUZZ_REQUIRE (config_change_pack (ctx, change, &packed->bytes, &packed->n_bytes) == ERROR_NONE);
  return error;
}

static int32_t
repack_transfer (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes, struct Packed *packed)
{
  struct ConfigTransfer transfer;
  int32_t error = config_transfer_unpack (ctx, bytes, n_bytes, &transfer);

  if (error == ERROR_NONE)
    FUZZ_REQUIRE (config_transfer_pack (ctx, &transfer, &packed->bytes, &packed->n_bytes)
                  == ERROR_NONE);
  return error;
}

static int32_t
repack_fold (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes, struct Packed *packed)
{
  struct ConfigFold *fold;
  int32_t error = config_fold_unpack (ctx, bytes, n_bytes, &fold);

  if (error != ERROR_NONE)
    return error;
  FUZZ_REQUIRE (config_fold_state (fold, ctx) != NULL);
  FUZZ_REQUIRE (config_fold_pack (fold, ctx, &packed->bytes, &packed->n_bytes) == ERROR_NONE);
  return ERROR_NONE;
}

static int32_t
repack_member (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes, struct Packed *packed)
{
  struct Member member;
  int32_t error = member_unpack (bytes, n_bytes, &member);

  if (error == ERROR_NONE)
    FUZZ_REQUIRE (member_pack (ctx, &member, &packed->bytes, &packed->n_bytes) == ERROR_NONE);
  return error;
}

static void
check_repacked (RepackFn repack, const uint8_t *bytes, size_t n_bytes)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Packed first;
  struct Packed second;

  if (repack (ctx, bytes, n_bytes, &first) == ERROR_NONE)
    {
      FUZZ_REQUIRE (repack (ctx, first.bytes, first.n_bytes, &second) == ERROR_NONE);
      FUZZ_REQUIRE (second.n_bytes == first.n_bytes);
      FUZZ_REQUIRE (memcmp (second.bytes, first.bytes, first.n_bytes) == 0);
    }
  talloc_free (ctx);
}

/* A program's snapshot is accepted or rejected. Freeing the ledger shows leaks and double frees to
 * the sanitizer. */
static void
check_snapshot (const uint8_t *bytes, size_t n_bytes)
{
  struct Ledger *ledger = ledger_new (NULL);

  ledger_unpack_program (ledger, bytes, n_bytes, 0, 1);
  talloc_free (ledger);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n_bytes)
{
  static const RepackFn repacks[] = {
    [STATE_GROUP] = repack_group, [STATE_CHANGE] = repack_change, [STATE_PARCEL] = repack_transfer,
    [STATE_FOLD] = repack_fold,   [STATE_MEMBER] = repack_member,
  };

  if (n_bytes == 0)
    return 0;
  if (data[0] % N_STATES == STATE_SNAPSHOT)
    check_snapshot (data + 1, n_bytes - 1);
  else
    check_repacked (repacks[data[0] % N_STATES], data + 1, n_bytes - 1);
  return 0;
}
