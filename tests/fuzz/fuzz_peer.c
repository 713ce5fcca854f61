/* Frames between instances: any input is rejected, or is a message that packs and unpacks to the
 * same bytes. */
#include "fuzz.h"

#include <buckthornhead/peer_message.h>

#include <string.h>

enum
{
  FRAME_LENGTH_BYTES = 4
};

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n_bytes)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerMessage *message;
  struct PeerMessage *unpacked;
  uint8_t *frame;
  uint8_t *repacked;
  size_t frame_bytes;
  size_t repacked_bytes;

  if (peer_message_unpack (ctx, data, n_bytes, &message) == ERROR_NONE)
    {
      FUZZ_REQUIRE (peer_message_pack (ctx, message, &frame, &frame_bytes) == ERROR_NONE);
      FUZZ_REQUIRE (frame_bytes > FRAME_LENGTH_BYTES);
      FUZZ_REQUIRE (peer_message_unpack (ctx, frame + FRAME_LENGTH_BYTES,
                                         frame_bytes - FRAME_LENGTH_BYTES, &unpacked)
                    == ERROR_NONE);
      FUZZ_REQUIRE (peer_message_pack (ctx, unpacked, &repacked, &repacked_bytes) == ERROR_NONE);
      FUZZ_REQUIRE (repacked_bytes == frame_bytes && memcmp (repacked, frame, repacked_bytes) == 0);
    }
  talloc_free (ctx);
  return 0;
}
