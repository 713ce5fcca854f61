/* Journal slots: any input is rejected, or is a slot that packs and unpacks to the same bytes. A
 * damaged slot that is accepted would corrupt histories at a takeover. */
#include "fuzz.h"

#include <buckthornhead/error.h>
#include <buckthornhead/record.h>

#include <string.h>

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n_bytes)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Slot *slot;
  struct Slot *unpacked;
  uint8_t *packed;
  uint8_t *repacked;
  size_t packed_bytes;
  size_t repacked_bytes;

  if (slot_unpack (ctx, data, n_bytes, &slot) == ERROR_NONE)
    {
      FUZZ_REQUIRE (slot_pack (ctx, slot, &packed, &packed_bytes) == ERROR_NONE);
      FUZZ_REQUIRE (slot_unpack (ctx, packed, packed_bytes, &unpacked) == ERROR_NONE);
      FUZZ_REQUIRE (slot_pack (ctx, unpacked, &repacked, &repacked_bytes) == ERROR_NONE);
      FUZZ_REQUIRE (repacked_bytes == packed_bytes
                    && memcmp (repacked, packed, repacked_bytes) == 0);
    }
  talloc_free (ctx);
  return 0;
}
