/* Journal slots: any bytes are refused or are a slot that packs and unpacks to the same again. A
 * damaged slot that is taken as good would mix up histories at a takeover. */
#include "fuzz.h"

#include <buckthornhead/error.h>
#include <buckthornhead/record.h>

#include <string.h>

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n_bytes)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Slot *slot;
  struct Slot *back;
  uint8_t *packed;
  uint8_t *again;
  size_t packed_bytes;
  size_t again_bytes;

  if (slot_unpack (ctx, data, n_bytes, &slot) == ERROR_NONE)
    {
      FUZZ_REQUIRE (slot_pack (ctx, slot, &packed, &packed_bytes) == ERROR_NONE);
      FUZZ_REQUIRE (slot_unpack (ctx, packed, packed_bytes, &back) == ERROR_NONE);
      FUZZ_REQUIRE (slot_pack (ctx, back, &again, &again_bytes) == ERROR_NONE);
      FUZZ_REQUIRE (again_bytes == packed_bytes && memcmp (again, packed, again_bytes) == 0);
    }
  talloc_free (ctx);
  return 0;
}
