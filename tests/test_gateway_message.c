#include "test_main.h"

#include <buckthornhead/gateway_message.h>
#include <buckthornhead/pack.h>

#include <stdio.h>
#include <string.h>

/* Packs and unpacks message, and checks that truncated bytes are rejected. The result belongs to
 * ctx. */
static struct GatewayMessage *
round_trip (TALLOC_CTX *ctx, const struct GatewayMessage *message)
{
  struct GatewayMessage *unpacked = NULL;
  uint8_t *bytes;
  size_t n_bytes;

  CU_ASSERT_EQUAL_FATAL (gateway_message_pack (ctx, message, &bytes, &n_bytes), ERROR_NONE);
  CU_ASSERT_EQUAL_FATAL (gateway_message_unpack (ctx, bytes, n_bytes, &unpacked), ERROR_NONE);
  CU_ASSERT_EQUAL (unpacked->kind, message->kind);
  for (size_t length = 0; length < n_bytes; length++)
    {
      struct GatewayMessage *none;

      CU_ASSERT_EQUAL (gateway_message_unpack (ctx, bytes, length, &none), ERROR_INVALID);
    }
  return unpacked;
}

static void
test_turn_requests_round_trip (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct GatewayMessage message = { .kind = GATEWAY_TURN_OPEN };
  struct GatewayMessage *unpacked;

  message.open = (struct TurnOpen){ .id = 7,
                                    .generation = 3,
                                    .customer = "alma",
                                    .turn = "t2",
                                    .program = "p",
                                    .previous = "t1",
                                    .reserve_tokens = 589,
                                    .want_history = true };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->open.id, 7);
  CU_ASSERT_EQUAL (unpacked->open.generation, 3);
  CU_ASSERT_STRING_EQUAL (unpacked->open.customer, "alma");
  CU_ASSERT_STRING_EQUAL (unpacked->open.previous, "t1");
  CU_ASSERT_EQUAL (unpacked->open.reserve_tokens, 589);
  CU_ASSERT_TRUE (unpacked->open.want_history);
  message.kind = GATEWAY_TURN_READ;
  message.read = (struct TurnRead){ .id = 8, .customer = "alma", .turn = "t1" };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_STRING_EQUAL (unpacked->read.customer, "alma");
  CU_ASSERT_STRING_EQUAL (unpacked->read.turn, "t1");
  talloc_free (ctx);
}

static void
test_quota_messages_round_trip (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct GatewayMessage message = { .kind = GATEWAY_QUOTA_REQUEST };
  struct GatewayMessage *unpacked;

  message.quota_ask = (struct QuotaAsk){
    .id = 9, .customer = "alma", .kind = QUOTA_REQUEST_UNDER_WAY, .n_wanted = 8
  };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->quota_ask.id, 9);
  CU_ASSERT_STRING_EQUAL (unpacked->quota_ask.customer, "alma");
  CU_ASSERT_EQUAL (unpacked->quota_ask.kind, QUOTA_REQUEST_UNDER_WAY);
  CU_ASSERT_EQUAL (unpacked->quota_ask.n_wanted, 8);
  message.kind = GATEWAY_QUOTA_GRANT;
  message.quota_grant = (struct QuotaGrant){ .id = 9,
                                             .customer = "alma",
                                             .n_granted = 4,
                                             .valid_ms = 250,
                                             .wait_ms = 120,
                                             .program_size = 11,
                                             .used_permille = 710 };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->quota_grant.id, 9);
  CU_ASSERT_STRING_EQUAL (unpacked->quota_grant.customer, "alma");
  CU_ASSERT_EQUAL (unpacked->quota_grant.n_granted, 4);
  CU_ASSERT_EQUAL (unpacked->quota_grant.valid_ms, 250);
  CU_ASSERT_EQUAL (unpacked->quota_grant.wait_ms, 120);
  CU_ASSERT_EQUAL (unpacked->quota_grant.program_size, 11);
  CU_ASSERT_EQUAL (unpacked->quota_grant.used_permille, 710);
  message.kind = GATEWAY_QUOTA_RETURN;
  message.quota_return = (struct QuotaReturn){ .customer = "bela", .n_tokens = 3 };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_STRING_EQUAL (unpacked->quota_return.customer, "bela");
  CU_ASSERT_EQUAL (unpacked->quota_return.n_tokens, 3);
  talloc_free (ctx);
}

static void
test_slot_messages_round_trip (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct SlotDigest digest = {
    .server = "i-3", .total = 4, .failed_permille = 20, .parts = { 7, 8 }, .n_parts = 2
  };
  struct PaceRow pace = { "i-4", 0xffffffffU, 24000, 350, 55, 120 };
  struct GatewayMessage message = { .kind = GATEWAY_SLOT_REQUEST };
  struct GatewayMessage *unpacked;

  message.slot_request = (struct SlotRequestMessage){ .id = 5,
                                                      .server = "i-1",
                                                      .slots = 12,
                                                      .customer_priority = 2,
                                                      .priority = 1,
                                                      .under_way = true,
                                                      .has_program_deadline = true,
                                                      .program_left_ms = -40,
                                                      .left_ms = 2900 };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->slot_request.id, 5);
  CU_ASSERT_STRING_EQUAL (unpacked->slot_request.server, "i-1");
  CU_ASSERT_EQUAL (unpacked->slot_request.slots, 12);
  CU_ASSERT_EQUAL (unpacked->slot_request.customer_priority, 2);
  CU_ASSERT_EQUAL (unpacked->slot_request.priority, 1);
  CU_ASSERT_TRUE (unpacked->slot_request.under_way);
  CU_ASSERT_TRUE (unpacked->slot_request.has_program_deadline);
  CU_ASSERT_EQUAL (unpacked->slot_request.program_left_ms, -40);
  CU_ASSERT_EQUAL (unpacked->slot_request.left_ms, 2900);
  message.slot_request.program = 77;
  message.slot_request.customer = 78;
  message.slot_request.first_service_ms = 30;
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->slot_request.program, 77);
  CU_ASSERT_EQUAL (unpacked->slot_request.customer, 78);
  CU_ASSERT_EQUAL (unpacked->slot_request.first_service_ms, 30);
  CU_ASSERT_FALSE (unpacked->slot_request.is_granted);
  message.slot_request.waited_ms = 410;
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->slot_request.waited_ms, 410);
  CU_ASSERT_FALSE (unpacked->slot_request.is_granted);
  message.slot_request.is_granted = true;
  message.slot_request.granted_for_ms = 90;
  message.slot_request.waited_ms = 0;
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_TRUE (unpacked->slot_request.is_granted);
  CU_ASSERT_EQUAL (unpacked->slot_request.granted_for_ms, 90);
  message.kind = GATEWAY_SLOT_DONE;
  message.slot_done = (struct SlotDoneMessage){ .id = 6,
                                                .server = "i-1",
                                                .outcome = SLOT_SERVED,
                                                .sample_us = 41000,
                                                .work_kind = 9,
                                                .work_time_percent = 120 };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->slot_done.outcome, SLOT_SERVED);
  CU_ASSERT_EQUAL (unpacked->slot_done.sample_us, 41000);
  CU_ASSERT_EQUAL (unpacked->slot_done.work_kind, 9);
  CU_ASSERT_EQUAL (unpacked->slot_done.work_time_percent, 120);
  message.kind = GATEWAY_SLOT_STATE;
  message.slot_state = (struct SlotStateMessage){
    .id = 6, .state = { .granted = true, .total = 14, .ahead = 2, .wait_ms = 90 }
  };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_TRUE (unpacked->slot_state.state.granted);
  CU_ASSERT_EQUAL (unpacked->slot_state.state.total, 14);
  CU_ASSERT_EQUAL (unpacked->slot_state.state.ahead, 2);
  CU_ASSERT_EQUAL (unpacked->slot_state.state.wait_ms, 90);
  CU_ASSERT_EQUAL (unpacked->slot_state.state.service_ms, 0);
  message.slot_state.state.service_ms = 41;
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->slot_state.state.wait_ms, 90);
  CU_ASSERT_EQUAL (unpacked->slot_state.state.service_ms, 41);
  message.kind = GATEWAY_SLOT_DONE;
  message.slot_done = (struct SlotDoneMessage){ .id = 7, .server = "i-2", .outcome = SLOT_FAILED };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->slot_done.id, 7);
  CU_ASSERT_STRING_EQUAL (unpacked->slot_done.server, "i-2");
  CU_ASSERT_EQUAL (unpacked->slot_done.outcome, SLOT_FAILED);
  message.slot_done.outcome = SLOT_FULL;
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->slot_done.outcome, SLOT_FULL);
  message.kind = GATEWAY_ALIVE;
  round_trip (ctx, &message);
  message.kind = GATEWAY_DIGESTS;
  message.digests = (struct Digests){ &digest, 1 };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL_FATAL (unpacked->digests.n_items, 1);
  CU_ASSERT_STRING_EQUAL (unpacked->digests.items[0].server, "i-3");
  CU_ASSERT_EQUAL (unpacked->digests.items[0].failed_permille, 20);
  CU_ASSERT_EQUAL (unpacked->digests.items[0].n_parts, 2);
  CU_ASSERT_EQUAL (unpacked->digests.items[0].parts[1], 8);
  message.kind = GATEWAY_PACES;
  message.paces = (struct Paces){ &pace, 1 };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL_FATAL (unpacked->paces.n_items, 1);
  CU_ASSERT_STRING_EQUAL (unpacked->paces.items[0].server, "i-4");
  CU_ASSERT_EQUAL (unpacked->paces.items[0].kind, 0xffffffffU);
  CU_ASSERT_EQUAL (unpacked->paces.items[0].mean_us, 24000);
  CU_ASSERT_EQUAL (unpacked->paces.items[0].service_ms, 350);
  CU_ASSERT_EQUAL (unpacked->paces.items[0].report_percent, 55);
  CU_ASSERT_EQUAL (unpacked->paces.items[0].report_age_ms, 120);
  message.kind = GATEWAY_SNAPSHOT_WANT;
  message.snapshot_want = SNAPSHOT_SERVERS;
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->snapshot_want, SNAPSHOT_SERVERS);
  talloc_free (ctx);
}

static void
test_suspects_round_trip (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct SuspectRecord record = {
    .digest = { 1, 2 },
    .crashes = { { "i-1", 77, 300, 250, false }, { "i-2", 0, 100, 100, true } },
    .n_crashes = 2,
    .cleared_ms = SUSPECT_AGE_NONE,
    .trial_ms = 40,
    .trial_level = 1,
  };
  struct GatewayMessage message = { .kind = GATEWAY_SUSPECTS };
  const struct SuspectRecord *item;
  struct GatewayMessage *unpacked;

  message.suspects = (struct SuspectReport){ .wants_reply = true, .items = &record, .n_items = 1 };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_TRUE (unpacked->suspects.wants_reply);
  CU_ASSERT_FALSE (unpacked->suspects.is_reply);
  CU_ASSERT_EQUAL_FATAL (unpacked->suspects.n_items, 1);
  item = &unpacked->suspects.items[0];
  CU_ASSERT_EQUAL (memcmp (item->digest, record.digest, DIGEST_BYTES), 0);
  CU_ASSERT_EQUAL (item->cleared_ms, SUSPECT_AGE_NONE);
  CU_ASSERT_EQUAL (item->trial_ms, 40);
  CU_ASSERT_EQUAL (item->trial_level, 1);
  CU_ASSERT_EQUAL_FATAL (item->n_crashes, 2);
  CU_ASSERT_STRING_EQUAL (item->crashes[0].server, "i-1");
  CU_ASSERT_EQUAL (item->crashes[0].started_unix_ms, 77);
  CU_ASSERT_EQUAL (item->crashes[0].sent_ms, 300);
  CU_ASSERT_EQUAL (item->crashes[0].ended_ms, 250);
  CU_ASSERT_FALSE (item->crashes[0].discounted);
  CU_ASSERT_TRUE (item->crashes[1].discounted);
  talloc_free (ctx);
}

/* Guards against crashes in the future, which would count for ever, and against too many. */
static void
test_absurd_suspects_are_malformed (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct SuspectRecord good = { .crashes = { { "i-1", 0, 20, 10, false } }, .n_crashes = 1 };
  struct SuspectRecord bad[4] = { good, good, good, good };

  bad[0].crashes[0].ended_ms = -5;
  bad[1].crashes[0].sent_ms = 9;
  bad[2].cleared_ms = (int64_t)SUSPECT_AGE_MAX_MS + 1;
  bad[3].trial_level = QUARANTINE_TRIALS_MAX + 1;
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      struct GatewayMessage message = { .kind = GATEWAY_SUSPECTS };
      struct GatewayMessage *unpacked;
      uint8_t *bytes;
      size_t n_bytes;

      message.suspects = (struct SuspectReport){ .items = &bad[i], .n_items = 1 };
      CU_ASSERT_EQUAL (gateway_message_pack (ctx, &message, &bytes, &n_bytes), ERROR_NONE);
      CU_ASSERT_EQUAL (gateway_message_unpack (ctx, bytes, n_bytes, &unpacked), ERROR_INVALID);
    }
  talloc_free (ctx);
}

static void
test_turn_responses_round_trip (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct GatewayMessage message = { .kind = GATEWAY_TURN_OPENED };
  struct TurnText history[2] = { { .turn = "t2", .previous = "t1", .server = "i-1" },
                                 { .turn = "t1" } };
  struct TurnOrigin origins[2] = { { "p", 76, 60000 }, { "q", 19, 30000 } };
  struct TurnCharge charges[1] = { { .turn = "t1", .tokens = 38, .settled = true } };
  struct GatewayMessage *unpacked;

  history[0].input = (const uint8_t *)"in\0x";
  history[0].input_bytes = 4;
  message.opened = (struct TurnOpened){ .id = 9,
                                        .complete = true,
                                        .has_turn = true,
                                        .history = history,
                                        .n_history = 2,
                                        .charges = charges,
                                        .n_charges = 1,
                                        .place = { 7, 1400, "i-2" } };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->opened.n_history, 2);
  CU_ASSERT_EQUAL (unpacked->opened.history[0].input_bytes, 4);
  CU_ASSERT_EQUAL (memcmp (unpacked->opened.history[0].input, "in\0x", 4), 0);
  CU_ASSERT_STRING_EQUAL (unpacked->opened.history[0].server, "i-1");
  CU_ASSERT_EQUAL (unpacked->opened.charges[0].tokens, 38);
  CU_ASSERT_TRUE (unpacked->opened.charges[0].settled);
  CU_ASSERT_EQUAL (unpacked->opened.place.session, 7);
  CU_ASSERT_EQUAL (unpacked->opened.place.tokens, 1400);
  CU_ASSERT_STRING_EQUAL (unpacked->opened.place.server, "i-2");
  CU_ASSERT_FALSE (unpacked->opened.reports_chain);
  CU_ASSERT_PTR_NULL (unpacked->opened.origins);
  message.opened.reports_chain = true;
  message.opened.has_chain = true;
  message.opened.origins = origins;
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_TRUE (unpacked->opened.reports_chain);
  CU_ASSERT_TRUE (unpacked->opened.has_chain);
  CU_ASSERT_STRING_EQUAL (unpacked->opened.origins[1].program, "q");
  CU_ASSERT_EQUAL (unpacked->opened.origins[0].charge_tokens, 76);
  CU_ASSERT_EQUAL (unpacked->opened.origins[0].retention_ms, 60000);
  talloc_free (ctx);
}

static void
test_turn_closes_round_trip (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct GatewayMessage message = { .kind = GATEWAY_TURN_CLOSE };
  struct GatewayMessage *unpacked;

  message.close = (struct TurnClose){ .id = 1,
                                      .generation = 4,
                                      .program = "p",
                                      .charge_tokens = 76,
                                      .kept = true,
                                      .retention_ms = 60000,
                                      .session = 7,
                                      .session_tokens = 1400 };
  snprintf (message.close.text.turn, sizeof message.close.text.turn, "t3");
  message.close.text.output = (const uint8_t *)"a\n";
  message.close.text.output_bytes = 2;
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->close.charge_tokens, 76);
  CU_ASSERT_EQUAL (unpacked->close.text.output_bytes, 2);
  CU_ASSERT_TRUE (unpacked->close.kept);
  CU_ASSERT_EQUAL (unpacked->close.session, 7);
  CU_ASSERT_EQUAL (unpacked->close.session_tokens, 1400);
  message.kind = GATEWAY_TURN_CLOSED;
  message.closed = (struct TurnClosed){ .id = 1, .error = ERROR_FENCED };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->closed.error, ERROR_FENCED);
  talloc_free (ctx);
}

static void
test_heartbeats_round_trip (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct GatewayMessage message = { .kind = GATEWAY_HEARTBEAT };
  struct Heartbeat *heartbeat = &message.heartbeat;
  struct ReplicaLoad loads[1] = { { .server = "i-1", .in_flight = 5 } };
  struct GatewayMessage *unpacked;

  heartbeat->status = (struct NodeStatus){ .node = "front-1",
                                           .zone = "a",
                                           .peer_address = "10.0.0.1:7",
                                           .caller_address = "10.0.0.1:8",
                                           .start = 9,
                                           .version = 3,
                                           .ready = true,
                                           .leaving = true,
                                           .synced = 6,
                                           .set_generation = 7,
                                           .config_version = 12 };
  heartbeat->loads = loads;
  heartbeat->n_loads = 1;
  heartbeat->scope = LOADS_OF_ZONE;
  heartbeat->set = archive_set_first (&heartbeat->set, "storage-1");
  heartbeat->marks[0] = (struct StateMark){ SNAPSHOT_ZONE, 4, 1ULL << 63, 0 };
  heartbeat->n_marks = 1;
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_STRING_EQUAL (unpacked->heartbeat.status.node, "front-1");
  CU_ASSERT_EQUAL (unpacked->heartbeat.status.start, 9);
  CU_ASSERT_EQUAL (unpacked->heartbeat.status.version, 3);
  CU_ASSERT_TRUE (node_status_is_equal (&unpacked->heartbeat.status, &heartbeat->status));
  CU_ASSERT_EQUAL (unpacked->heartbeat.loads[0].in_flight, 5);
  CU_ASSERT_EQUAL (unpacked->heartbeat.scope, LOADS_OF_ZONE);
  CU_ASSERT_TRUE (archive_set_has (&unpacked->heartbeat.set, "storage-1"));
  CU_ASSERT_EQUAL_FATAL (unpacked->heartbeat.n_marks, 1);
  CU_ASSERT_EQUAL (unpacked->heartbeat.marks[0].content, 1ULL << 63);
  message.kind = GATEWAY_PROBE;
  round_trip (ctx, &message);
  talloc_free (ctx);
}

static void
test_other_kinds_round_trip (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct SnapshotItem items[1] = {
    { .key = "servers/i-1", .value = (const uint8_t *)"{}", .value_bytes = 2 }
  };
  struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT };
  struct GatewayMessage *unpacked;

  message.snapshot = (struct Snapshot){
    .kind = SNAPSHOT_SERVERS, .revision = 530, .age_ms = 12, .items = items, .n_items = 1
  };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_STRING_EQUAL (unpacked->snapshot.items[0].key, "servers/i-1");
  message.kind = GATEWAY_COPY_PART;
  message.copy_part =
      (struct CopyPart){ .id = 2, .next = 1ULL << 33, .last = true, .complete = true };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->copy_part.next, 1ULL << 33);
  CU_ASSERT_FALSE (unpacked->copy_part.has_clock);
  message.copy_part.has_clock = true;
  message.copy_part.now_unix_ms = 1790000000000;
  message.copy_part.floor_unix_ms = -5;
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_TRUE (unpacked->copy_part.has_clock);
  CU_ASSERT_EQUAL (unpacked->copy_part.now_unix_ms, 1790000000000);
  CU_ASSERT_EQUAL (unpacked->copy_part.floor_unix_ms, -5);
  message.kind = GATEWAY_COPY_WANT;
  message.copy_want = (struct CopyWant){ .id = 2, .cursor = 5 };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->copy_want.cursor, 5);
  message.kind = GATEWAY_RELAY;
  message.relay = (struct Relay){
    .to = "storage-1", .from = "front-1", .message = (const uint8_t *)"x", .message_bytes = 1
  };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_STRING_EQUAL (unpacked->relay.from, "front-1");
  talloc_free (ctx);
}

/* When 300 instances start together, each of 60 members of a zone receives the list of 3,000
 * servers from an aggregator on a 30 Mbit/s link. Uncompressed, that took five seconds and delayed
 * the configuration behind it. The list must be packed once and shrink to less than a third. */
static void
test_long_lists_are_compressed (void)
{
  enum
  {
    N_SERVERS = 3000
  };
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT }, *unpacked;
  struct Snapshot *list = talloc_zero (ctx, struct Snapshot);
  size_t n_plain = 0, n_bytes;
  uint8_t *bytes;

  list->kind = SNAPSHOT_SERVERS;
  list->items = talloc_zero_array (list, struct SnapshotItem, N_SERVERS);
  list->n_items = N_SERVERS;
  for (uint32_t i = 0; i < N_SERVERS; i++)
    {
      struct SnapshotItem *item = &list->items[i];
      uint32_t id = i * 2654435761U;

      snprintf (item->key, sizeof item->key, "servers/i-%08x", id);
      item->value = (uint8_t *)talloc_asprintf (
          list, "i-%08x hiring-agents 10.%u.%u.%u:8029 zone-%u 6 0 17%08u", id, i % 5, id >> 24,
          id >> 16 & 255, i % 5, id % 99999999);
      item->value_bytes = strlen ((const char *)item->value);
      n_plain += strlen (item->key) + item->value_bytes;
    }
  CU_ASSERT_EQUAL_FATAL (snapshot_pack_items (list), ERROR_NONE);
  message.snapshot = *list;
  CU_ASSERT_EQUAL_FATAL (gateway_message_pack (ctx, &message, &bytes, &n_bytes), ERROR_NONE);
  CU_ASSERT (n_bytes < n_plain / 3);
  CU_ASSERT_EQUAL_FATAL (gateway_message_unpack (ctx, bytes, n_bytes, &unpacked), ERROR_NONE);
  CU_ASSERT_EQUAL_FATAL (unpacked->snapshot.n_items, N_SERVERS);
  CU_ASSERT_STRING_EQUAL (unpacked->snapshot.items[2999].key, list->items[2999].key);
  CU_ASSERT_EQUAL (
      memcmp (unpacked->snapshot.items[7].value, list->items[7].value, list->items[7].value_bytes),
      0);
  talloc_free (ctx);
}

/* A process of a newer version may send a kind that this version does not have. */
static void
test_unknown_kind_is_rejected (void)
{
  const uint8_t bytes[] = { 0x92, 0x7f, 0x01 };
  struct GatewayMessage *message;

  CU_ASSERT_EQUAL (gateway_message_unpack (NULL, bytes, sizeof bytes, &message), ERROR_INVALID);
  CU_ASSERT_PTR_NULL (message);
}

/* Reports the usage of as many customers as a gateway serves in five seconds, and prints the size
 * of the message. */
static void
test_customer_usage_round_trips (void)
{
  enum
  {
    N = 45
  };
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct CustomerUsage usages[N] = { 0 };
  struct GatewayMessage message = { .kind = GATEWAY_USAGES };
  struct GatewayMessage *unpacked;
  uint8_t *bytes;
  size_t n_bytes;

  for (uint32_t i = 0; i < N; i++)
    {
      snprintf (usages[i].customer, sizeof usages[i].customer, "name%u", 1000 + i);
      usages[i].taken = i % 4;
      usages[i].begun = 11 * (i % 2);
      usages[i].wanted = 200 * i;
    }
  message.usages =
      (struct UsageReport){ .scope = USAGE_OF_ZONE, .zone = "z", .usages = usages, .n_usages = N };
  unpacked = round_trip (ctx, &message);
  CU_ASSERT_EQUAL (unpacked->usages.scope, USAGE_OF_ZONE);
  CU_ASSERT_STRING_EQUAL (unpacked->usages.zone, "z");
  CU_ASSERT_EQUAL_FATAL (unpacked->usages.n_usages, N);
  for (uint32_t i = 0; i < N; i++)
    {
      CU_ASSERT_STRING_EQUAL (unpacked->usages.usages[i].customer, usages[i].customer);
      CU_ASSERT_EQUAL (unpacked->usages.usages[i].taken, usages[i].taken);
      CU_ASSERT_EQUAL (unpacked->usages.usages[i].begun, usages[i].begun);
      CU_ASSERT_EQUAL (unpacked->usages.usages[i].wanted, usages[i].wanted);
    }
  CU_ASSERT_EQUAL (gateway_message_pack (ctx, &message, &bytes, &n_bytes), ERROR_NONE);
  printf ("%d customers in %zu bytes ", N, n_bytes);
  talloc_free (ctx);
}

/* Records written before customers were added lack the last field and belong to no customer. */
static void
test_close_without_customer_unpacks (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PackWriter *p = pack_writer_new (ctx, false);
  struct TurnClose close = { 0 };
  struct PackReader r;
  uint8_t *bytes;
  size_t n_bytes;

  pack_array (p, 13);
  pack_u64 (p, 4);
  pack_u64 (p, 3);
  pack_string (p, "p");
  pack_u64 (p, 76);
  pack_bool (p, true);
  pack_u64 (p, 60000);
  pack_string (p, "t1");
  pack_string (p, "");
  pack_string (p, "i-1");
  pack_bytes (p, (const uint8_t *)"in", 2);
  pack_bytes (p, (const uint8_t *)"out", 3);
  pack_u64 (p, 9);
  pack_u64 (p, 1000);
  CU_ASSERT_EQUAL (pack_finish (p, ctx, &bytes, &n_bytes), ERROR_NONE);
  CU_ASSERT_PTR_NOT_NULL (pack_open (ctx, bytes, n_bytes, &r));
  turn_close_unpack (&r, ctx, &close);
  CU_ASSERT_EQUAL (read_end (&r), ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (close.customer, "");
  CU_ASSERT_STRING_EQUAL (close.text.turn, "t1");
  CU_ASSERT_EQUAL (close.session_tokens, 1000);
  talloc_free (ctx);
}

const char test_suite_name[] = "gateway_message";
const struct TestCase test_cases[] = {
  { "turn requests round trip", test_turn_requests_round_trip },
  { "quota messages", test_quota_messages_round_trip },
  { "slot messages round trip", test_slot_messages_round_trip },
  { "suspects round trip", test_suspects_round_trip },
  { "absurd suspects are malformed", test_absurd_suspects_are_malformed },
  { "turn responses round trip", test_turn_responses_round_trip },
  { "turn closes round trip", test_turn_closes_round_trip },
  { "long lists are compressed", test_long_lists_are_compressed },
  { "heartbeats round trip", test_heartbeats_round_trip },
  { "other kinds round trip", test_other_kinds_round_trip },
  { "an unknown kind is rejected", test_unknown_kind_is_rejected },
  { "customer usage round trips", test_customer_usage_round_trips },
  { "a close without a customer unpacks", test_close_without_customer_unpacks },
  { NULL, NULL },
};
