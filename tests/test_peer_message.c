#include "test_main.h"

#include <buckthornhead/peer_message.h>

#include <string.h>

static void
roundtrip (const struct PeerMessage *in, struct PeerMessage **out)
{
  uint8_t *frame;
  size_t n_bytes;

  CU_ASSERT_EQUAL_FATAL (peer_message_pack (NULL, in, &frame, &n_bytes), ERROR_NONE);
  CU_ASSERT_EQUAL_FATAL (peer_message_unpack (NULL, frame + 4, n_bytes - 4, out), ERROR_NONE);
  CU_ASSERT_EQUAL ((*out)->kind, in->kind);
  talloc_free (frame);
}

static void
test_dispatch_keeps_every_field (void)
{
  struct PeerMessage in = { .kind = PEER_DISPATCH };
  struct PeerMessage *out;
  struct Call *call = &in.dispatch.call;

  in.dispatch.id = UINT64_MAX;
  strcpy (in.dispatch.backend, "engine-1");
  in.dispatch.timeout_ms = 900;
  in.dispatch.attained_tokens = 1ULL << 40;
  strcpy (call->key.program, "p-1");
  strcpy (call->key.branch, "main");
  call->key.sequence = 130;
  call->target_kind = CALL_TARGET_SERVICE;
  call->idempotent = true;
  call->deadline_ms = -1;
  call->body = (const uint8_t *)"{}";
  call->body_bytes = 2;
  memset (call->digest, 7, DIGEST_BYTES);
  roundtrip (&in, &out);
  CU_ASSERT_EQUAL (out->dispatch.id, UINT64_MAX);
  CU_ASSERT_EQUAL (out->dispatch.timeout_ms, 900);
  CU_ASSERT_EQUAL (out->dispatch.attained_tokens, 1ULL << 40);
  CU_ASSERT_STRING_EQUAL (out->dispatch.call.key.program, "p-1");
  CU_ASSERT_EQUAL (out->dispatch.call.key.sequence, 130);
  CU_ASSERT_EQUAL (out->dispatch.call.target_kind, CALL_TARGET_SERVICE);
  CU_ASSERT_TRUE (out->dispatch.call.idempotent);
  CU_ASSERT_FALSE (out->dispatch.call.stream);
  CU_ASSERT_EQUAL (out->dispatch.call.deadline_ms, -1);
  CU_ASSERT_EQUAL (out->dispatch.call.body_bytes, 2);
  CU_ASSERT_EQUAL (memcmp (out->dispatch.call.digest, call->digest, DIGEST_BYTES), 0);
  talloc_free (out);
}

static void
test_heartbeat_carries_digests (void)
{
  struct PolicyServer digests[2] = { { .name = "a", .in_flight = 3 }, { .name = "b", .limit = 9 } };
  struct PeerMessage in = { .kind = PEER_HEARTBEAT };
  struct PeerMessage *out;

  digests[0].wait_new_ms = 41;
  digests[0].wait_kept_ms = 7;
  digests[0].pace_us_per_token = 9000;
  digests[0].programs = 12;
  in.heartbeat.outcomes.cached_tokens = 5;
  in.heartbeat.digests = digests;
  in.heartbeat.n_digests = 2;
  roundtrip (&in, &out);
  CU_ASSERT_EQUAL (out->heartbeat.n_digests, 2);
  CU_ASSERT_EQUAL (out->heartbeat.digests[1].limit, 9);
  CU_ASSERT_EQUAL (out->heartbeat.digests[0].wait_new_ms, 41);
  CU_ASSERT_EQUAL (out->heartbeat.digests[0].wait_kept_ms, 7);
  CU_ASSERT_EQUAL (out->heartbeat.digests[0].pace_us_per_token, 9000);
  CU_ASSERT_EQUAL (out->heartbeat.digests[0].programs, 12);
  CU_ASSERT_EQUAL (out->heartbeat.outcomes.cached_tokens, 5);
  talloc_free (out);
}

/* A peer of another version, or a port scanner, sends malformed frames. Every truncation of a valid
 * frame must be rejected; a flipped bit must give an error or a message, never a crash. */
static void
test_malformed_frames_are_rejected (void)
{
  struct PeerMessage in = { .kind = PEER_RESPONSE };
  uint8_t *frame;
  size_t n_bytes;

  in.response.outcome.response = (const uint8_t *)"whole";
  in.response.outcome.response_bytes = 5;
  CU_ASSERT_EQUAL_FATAL (peer_message_pack (NULL, &in, &frame, &n_bytes), ERROR_NONE);
  for (size_t cut = 0; cut < n_bytes - 4; cut++)
    {
      struct PeerMessage *out;

      CU_ASSERT_EQUAL (peer_message_unpack (NULL, frame + 4, cut, &out), ERROR_INVALID);
      CU_ASSERT_PTR_NULL (out);
    }
  for (size_t i = 4; i < n_bytes; i++)
    for (int bit = 0; bit < 8; bit++)
      {
        struct PeerMessage *out;

        frame[i] ^= (uint8_t)(1 << bit);
        peer_message_unpack (NULL, frame + 4, n_bytes - 4, &out);
        talloc_free (out);
        frame[i] ^= (uint8_t)(1 << bit);
      }
  talloc_free (frame);
}

const char test_suite_name[] = "peer_message";
const struct TestCase test_cases[] = {
  { "dispatch keeps every field", test_dispatch_keeps_every_field },
  { "heartbeat carries digests", test_heartbeat_carries_digests },
  { "malformed frames are rejected", test_malformed_frames_are_rejected },
  { NULL, NULL },
};
