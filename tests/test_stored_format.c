/* Guards against a renamed, reordered or renumbered field or kind that changes the bytes of
 * messages and of stored values: running processes and disks of an earlier version hold the bytes
 * in stored_format/fixtures.h and exchange them with this one. */
#include "stored_format/fixtures.h"
#include "test_main.h"

#include "../adapters/disk_frame.h"
#include "../core/config_fold.h"
#include "../core/ledger_state.h"
#include "../core/member_entry.h"

#include <buckthornhead/gateway_message.h>
#include <buckthornhead/pack.h>
#include <buckthornhead/peer_message.h>
#include <buckthornhead/record.h>
#include <buckthornhead/scheduling/replica_set.h>
#include <buckthornhead/spool.h>

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  N_FIXTURES = sizeof fixtures / sizeof fixtures[0],
  PEER_LENGTH_BYTES = 4
};

/* Unpacks stored bytes and packs the values again. */
typedef int32_t (*RepackFn) (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes);

static uint32_t n_checked;

static const uint8_t body[] = "{\"messages\":[\"request body\"]}";
static const uint8_t reply[] = "the reply";
static const uint8_t nested[] = { 0x93, 0x01, 0x00, 0xff };

static uint8_t *
fixture_bytes (TALLOC_CTX *ctx, const char *name, size_t *n_bytes)
{
  for (size_t i = 0; i < N_FIXTURES; i++)
    {
      const char *hex = fixtures[i].hex;
      uint8_t *bytes;

      if (strcmp (fixtures[i].name, name) != 0)
        continue;
      *n_bytes = strlen (hex) / 2;
      bytes = talloc_zero_array (ctx, uint8_t, *n_bytes + 1);
      for (size_t at = 0; bytes != NULL && at < *n_bytes; at++)
        {
          char digits[3] = { hex[2 * at], hex[2 * at + 1] };

          bytes[at] = (uint8_t)strtoul (digits, NULL, 16);
        }
      return bytes;
    }
  return NULL;
}

static bool
same_bytes (const char *what,
            const char *name,
            const uint8_t *bytes,
            size_t n_bytes,
            const uint8_t *stored,
            size_t n_stored)
{
  size_t at = 0;

  while (stored != NULL && at < n_bytes && at < n_stored && bytes[at] == stored[at])
    at++;
  if (stored != NULL && n_bytes == n_stored && at == n_bytes)
    return true;
  printf ("\n%s %s: differs from the fixture at byte %zu: ", name, what, at);
  for (size_t i = 0; i < n_bytes; i++)
    printf ("%02x", bytes[i]);
  printf ("\n");
  return false;
}

/* Checks that the packed bytes are those of the fixture, and that the fixture's bytes are read as
 * the same values: packing what was read gives the fixture again, and packing writes every stored
 * field in its place. */
static void
check_stored (
    const char *name, int32_t error, const uint8_t *packed, size_t n_packed, RepackFn repack)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  size_t n_stored = 0, n_again = 0;
  uint8_t *stored = fixture_bytes (ctx, name, &n_stored), *again = NULL;

  n_checked++;
  CU_ASSERT_EQUAL_FATAL (error, ERROR_NONE);
  CU_ASSERT (same_bytes ("packed", name, packed, n_packed, stored, n_stored));
  if (stored != NULL)
    {
      error = repack (ctx, stored, n_stored, &again, &n_again);
      if (error != ERROR_NONE)
        printf ("\n%s: the fixture is not read: %s\n", name, error_name (error));
      CU_ASSERT_EQUAL (error, ERROR_NONE);
      if (error == ERROR_NONE)
        CU_ASSERT (same_bytes ("read and packed", name, again, n_again, stored, n_stored));
    }
  talloc_free (ctx);
}

/* Returns bit variant of n. Booleans of one structure have different n, so that no two of them are
 * equal in all variants. */
static bool
flag (uint32_t variant, uint32_t n)
{
  return n >> variant & 1;
}

static const char *
variant_name (TALLOC_CTX *ctx, const char *name, uint32_t variant)
{
  return talloc_asprintf (ctx, "%s/%u", name, (unsigned)variant);
}

static void
fill_digest (uint8_t *digest, uint8_t first)
{
  for (uint32_t i = 0; i < DIGEST_BYTES; i++)
    digest[i] = (uint8_t)(first + i);
}

static void
fill_status (struct NodeStatus *status, uint32_t variant)
{
  *status = (struct NodeStatus){ .node = "front-1",
                                 .zone = "zone-a",
                                 .peer_address = "10.0.0.1:7000",
                                 .caller_address = "10.0.0.1:8000",
                                 .start = 1ULL << 40,
                                 .version = 301,
                                 .ready = flag (variant, 1),
                                 .leaving = flag (variant, 2),
                                 .overloaded = flag (variant, 3),
                                 .reaches_archives = flag (variant, 4),
                                 .complete = flag (variant, 5),
                                 .is_archive = flag (variant, 6),
                                 .synced = 302,
                                 .set_generation = 70003,
                                 .config_version = 304 };
}

static const enum ArchiveStage stages[] = { ARCHIVE_STAGE_STABLE, ARCHIVE_STAGE_STARTING,
                                            ARCHIVE_STAGE_ENDING };

static void
fill_set (struct ArchiveSet *set, uint32_t variant)
{
  *set = (struct ArchiveSet){ .generation = 411, .stage = stages[variant] };
  archive_names_add (&set->members, "archive-1");
  archive_names_add (&set->members, "archive-2");
  archive_names_add (&set->former, "archive-3");
}

static const enum SnapshotKind snapshot_kinds[] = { SNAPSHOT_ROUTES,   SNAPSHOT_SERVERS,
                                                    SNAPSHOT_NODES,    SNAPSHOT_RETIRE,
                                                    SNAPSHOT_ZONE,     SNAPSHOT_FLEET,
                                                    SNAPSHOT_CONTACTS, SNAPSHOT_SUBSET };

enum
{
  N_SNAPSHOT_KINDS = sizeof snapshot_kinds / sizeof snapshot_kinds[0]
};

static const enum ErrorKind errors[] = {
  ERROR_NONE,           ERROR_INVALID,      ERROR_NO_MEMORY,
  ERROR_NOT_FOUND,      ERROR_CONFLICT,     ERROR_UNREACHABLE,
  ERROR_UNKNOWN_EFFECT, ERROR_RATE_LIMITED, ERROR_TIMEOUT,
  ERROR_FENCED,         ERROR_NOT_OWNER,    ERROR_OUT_OF_ORDER,
  ERROR_BUDGET,         ERROR_DEADLINE,     ERROR_ENDED,
  ERROR_MAY_HAVE_RUN,   ERROR_QUARANTINED,  ERROR_OVERLOADED,
  ERROR_DRAINING,       ERROR_BACKEND,      ERROR_PLATFORM_DOWN,
  ERROR_CANCELLED,      ERROR_IO,           ERROR_UNAUTHORIZED,
  ERROR_TOO_LARGE,      ERROR_UNKNOWN_CALL,
};

static struct TurnText texts[] = {
  { "turn-2", "turn-1", "server-2", body, sizeof body, reply, sizeof reply },
  { "turn-1", "", "server-1", nested, sizeof nested, body, sizeof body },
};
static struct TurnCharge charges[] = { { "turn-3", 501, true }, { "turn-4", 502, false } };
static struct SnapshotItem items[] = {
  { .key = "servers/a", .value = body, .value_bytes = sizeof body },
  { .key = "servers/b", .value = nested, .value_bytes = sizeof nested, .removed = true },
};
static struct ReplicaLoad loads[] = { { "server-5", 511 }, { "server-6", 512 } };
static struct SlotDigest slot_digests[] = {
  { .server = "server-7",
    .total = 521,
    .failed_permille = 522,
    .parts = { 1ULL << 50, 523 },
    .n_parts = 2 },
  { .server = "server-8", .total = 524, .failed_permille = 525 },
};
static struct CustomerUsage usages[] = { { "alma", 531, 532, 533 }, { "bela", 534, 535, 536 } };

static void
fill_open (struct GatewayMessage *m, uint32_t variant)
{
  (void)variant;
  m->open = (struct TurnOpen){ .id = 1ULL << 41,
                               .generation = 102,
                               .customer = "alma",
                               .turn = "turn-2",
                               .program = "program-1",
                               .previous = "turn-1",
                               .reserve_tokens = 103,
                               .want_history = true,
                               .sessions = { 104, 105 } };
}

static void
fill_read (struct GatewayMessage *m, uint32_t variant)
{
  (void)variant;
  m->read = (struct TurnRead){ .id = 106, .customer = "alma", .turn = "turn-2" };
}

static void
fill_opened (struct GatewayMessage *m, uint32_t variant)
{
  static struct TurnOrigin origins[] = { { "program-1", 503, 60000 }, { "program-2", 504, 30000 } };
  bool reports_chain = variant == 2;

  m->opened = (struct TurnOpened){ .id = 107 | (reports_chain ? TURN_WITH_CHAIN : 0),
                                   .error = ERROR_FENCED,
                                   .complete = flag (variant, 1),
                                   .has_turn = flag (variant, 2),
                                   .history = texts,
                                   .n_history = 2,
                                   .reports_chain = reports_chain,
                                   .has_chain = reports_chain,
                                   .origins = reports_chain ? origins : NULL,
                                   .charges = charges,
                                   .n_charges = 2,
                                   .place = { 1ULL << 42, 108, "server-3" } };
}

static void
fill_close (struct GatewayMessage *m, uint32_t variant)
{
  (void)variant;
  m->close = (struct TurnClose){ .id = 109,
                                 .generation = 110,
                                 .customer = "alma",
                                 .program = "program-1",
                                 .charge_tokens = 111,
                                 .kept = true,
                                 .retention_ms = 60000,
                                 .session = 1ULL << 43,
                                 .session_tokens = 112,
                                 .text = texts[0] };
}

static void
fill_closed (struct GatewayMessage *m, uint32_t variant)
{
  m->closed = (struct TurnClosed){ .id = 113, .error = errors[variant] };
}

static void
fill_heartbeat (struct GatewayMessage *m, uint32_t variant)
{
  static const enum LoadScope scopes[] = { LOADS_OF_PROCESS, LOADS_OF_ZONE, LOADS_OF_FLEET };
  struct Heartbeat *heartbeat = &m->heartbeat;

  fill_status (&heartbeat->status, variant);
  fill_set (&heartbeat->set, variant);
  for (uint32_t i = 0; i < N_SNAPSHOT_KINDS; i++)
    heartbeat->marks[i] =
        (struct StateMark){ snapshot_kinds[i], 120 + i, (1ULL << 63) + i, 140 + i };
  heartbeat->n_marks = N_SNAPSHOT_KINDS;
  heartbeat->scope = scopes[variant];
  heartbeat->server_level = 114;
  heartbeat->loads = loads;
  heartbeat->n_loads = 2;
}

static void
fill_snapshot (struct GatewayMessage *m, uint32_t variant)
{
  m->snapshot = (struct Snapshot){ .kind = SNAPSHOT_SUBSET,
                                   .revision = 1LL << 44,
                                   .age_ms = 151,
                                   .content = 1ULL << 61,
                                   .base = 1ULL << 62,
                                   .after_gap = flag (variant, 1),
                                   .level = 152,
                                   .unchanged = flag (variant, 2),
                                   .items = items,
                                   .n_items = 2 };
}

static void
fill_copy_want (struct GatewayMessage *m, uint32_t variant)
{
  (void)variant;
  m->copy_want = (struct CopyWant){ .id = 153, .cursor = 1ULL << 33 };
}

static void
fill_copy_part (struct GatewayMessage *m, uint32_t variant)
{
  m->copy_part = (struct CopyPart){ .id = 154,
                                    .next = 1ULL << 34,
                                    .last = flag (variant, 1),
                                    .complete = flag (variant, 2),
                                    .records = nested,
                                    .records_bytes = sizeof nested,
                                    .has_clock = variant == 2,
                                    .now_unix_ms = 1LL << 40,
                                    .floor_unix_ms = 1LL << 39 };
}

static void
fill_relay (struct GatewayMessage *m, uint32_t variant)
{
  (void)variant;
  m->relay = (struct Relay){
    .to = "front-2", .from = "front-3", .message = nested, .message_bytes = sizeof nested
  };
}

static void
fill_slot_request (struct GatewayMessage *m, uint32_t variant)
{
  m->slot_request = (struct SlotRequestMessage){ .id = 161,
                                                 .server = "server-4",
                                                 .slots = 162,
                                                 .capacity_tokens = 1ULL << 35,
                                                 .customer_priority = 163,
                                                 .priority = 164,
                                                 .under_way = flag (variant, 1),
                                                 .has_program_deadline = flag (variant, 2),
                                                 .program_left_ms = -40000,
                                                 .left_ms = 2900,
                                                 .part = 1ULL << 60,
                                                 .part_tokens = 165 };
}

static void
fill_slot_state (struct GatewayMessage *m, uint32_t variant)
{
  (void)variant;
  m->slot_state = (struct SlotStateMessage){
    .id = 166, .state = { .granted = true, .total = 167, .ahead = 168, .wait_ms = 169 }
  };
}

static void
fill_slot_done (struct GatewayMessage *m, uint32_t variant)
{
  static const enum SlotOutcome outcomes[] = { SLOT_NOT_USED, SLOT_SERVED, SLOT_FAILED };

  m->slot_done =
      (struct SlotDoneMessage){ .id = 170, .server = "server-4", .outcome = outcomes[variant] };
}

static void
fill_nothing (struct GatewayMessage *m, uint32_t variant)
{
  (void)m;
  (void)variant;
}

static void
fill_snapshot_want (struct GatewayMessage *m, uint32_t variant)
{
  m->snapshot_want = snapshot_kinds[variant];
}

static void
fill_digests (struct GatewayMessage *m, uint32_t variant)
{
  (void)variant;
  m->digests = (struct Digests){ slot_digests, 2 };
}

static void
fill_uses (struct GatewayMessage *m, uint32_t variant)
{
  static const enum UsageScope scopes[] = { USAGE_OF_GATEWAY, USAGE_OF_ZONE, USAGE_OF_FLEET };

  m->usages = (struct UsageReport){
    .scope = scopes[variant], .zone = "zone-a", .usages = usages, .n_usages = 2
  };
}

static void
fill_paces (struct GatewayMessage *m, uint32_t variant)
{
  static struct PaceRow rows[] = { { "server-7", 191, 192000, 193, 194, 195 },
                                   { .server = "server-8", .report_percent = 196 } };

  (void)variant;
  m->paces = (struct Paces){ rows, 2 };
}

static void
fill_quota_request (struct GatewayMessage *m, uint32_t variant)
{
  static const enum QuotaRequestKind kinds[] = { QUOTA_REQUEST_SINGLE, QUOTA_REQUEST_BEGIN,
                                                 QUOTA_REQUEST_UNDER_WAY };

  m->quota_ask =
      (struct QuotaAsk){ .id = 601, .customer = "alma", .kind = kinds[variant], .n_wanted = 6 };
}

static void
fill_quota_grant (struct GatewayMessage *m, uint32_t variant)
{
  (void)variant;
  m->quota_grant = (struct QuotaGrant){ .id = 602,
                                        .customer = "alma",
                                        .n_granted = 5,
                                        .valid_ms = 250,
                                        .wait_ms = 603,
                                        .program_size = 11,
                                        .used_permille = 604 };
}

static void
fill_quota_return (struct GatewayMessage *m, uint32_t variant)
{
  (void)variant;
  m->quota_return = (struct QuotaReturn){ .customer = "alma", .n_tokens = 2 };
}

static const struct
{
  const char *name;
  enum GatewayKind kind;
  uint32_t n_variants;
  void (*fill) (struct GatewayMessage *m, uint32_t variant);
} gateway_kinds[] = {
  { "turn_open", GATEWAY_TURN_OPEN, 1, fill_open },
  { "turn_read", GATEWAY_TURN_READ, 1, fill_read },
  { "turn_opened", GATEWAY_TURN_OPENED, 3, fill_opened },
  { "turn_close", GATEWAY_TURN_CLOSE, 1, fill_close },
  { "turn_closed", GATEWAY_TURN_CLOSED, sizeof errors / sizeof errors[0], fill_closed },
  { "heartbeat", GATEWAY_HEARTBEAT, 3, fill_heartbeat },
  { "snapshot", GATEWAY_SNAPSHOT, 2, fill_snapshot },
  { "copy_want", GATEWAY_COPY_WANT, 1, fill_copy_want },
  { "copy_part", GATEWAY_COPY_PART, 3, fill_copy_part },
  { "relay", GATEWAY_RELAY, 1, fill_relay },
  { "slot_ask", GATEWAY_SLOT_REQUEST, 2, fill_slot_request },
  { "slot_state", GATEWAY_SLOT_STATE, 1, fill_slot_state },
  { "slot_done", GATEWAY_SLOT_DONE, 3, fill_slot_done },
  { "alive", GATEWAY_ALIVE, 1, fill_nothing },
  { "snapshot_want", GATEWAY_SNAPSHOT_WANT, N_SNAPSHOT_KINDS, fill_snapshot_want },
  { "digests", GATEWAY_DIGESTS, 1, fill_digests },
  { "probe", GATEWAY_PROBE, 1, fill_nothing },
  { "uses", GATEWAY_USAGES, 3, fill_uses },
  { "paces", GATEWAY_PACES, 1, fill_paces },
  { "quota_request", GATEWAY_QUOTA_REQUEST, 3, fill_quota_request },
  { "quota_grant", GATEWAY_QUOTA_GRANT, 1, fill_quota_grant },
  { "quota_return", GATEWAY_QUOTA_RETURN, 1, fill_quota_return },
};

static int32_t
repack_gateway (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes)
{
  struct GatewayMessage *m;
  int32_t error = gateway_message_unpack (ctx, stored, n_stored, &m);

  if (error != ERROR_NONE)
    return error;
  /* Pack the items that were read, not the bytes kept for forwarding. */
  if (m->kind == GATEWAY_SNAPSHOT)
    m->snapshot.packed_items = NULL;
  return gateway_message_pack (ctx, m, bytes, n_bytes);
}

static void
test_gateway_messages (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);

  for (size_t i = 0; i < sizeof gateway_kinds / sizeof gateway_kinds[0]; i++)
    for (uint32_t variant = 0; variant < gateway_kinds[i].n_variants; variant++)
      {
        struct GatewayMessage message = { .kind = gateway_kinds[i].kind };
        const char *name = variant_name (ctx, gateway_kinds[i].name, variant);
        uint8_t *bytes = NULL;
        size_t n_bytes = 0;
        int32_t error;

        gateway_kinds[i].fill (&message, variant);
        error = gateway_message_pack (ctx, &message, &bytes, &n_bytes);
        check_stored (name, error, bytes, n_bytes, repack_gateway);
      }
  talloc_free (ctx);
}

enum
{
  TURN_CLOSE_FIELDS = 14
};

static int32_t
pack_close (TALLOC_CTX *ctx, const struct TurnClose *close, uint8_t **bytes, size_t *n_bytes)
{
  struct PackWriter *p = pack_writer_new (ctx, false);

  pack_array (p, TURN_CLOSE_FIELDS);
  turn_close_pack (p, close);
  return pack_finish (p, ctx, bytes, n_bytes);
}

static int32_t
repack_close (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes)
{
  struct TurnClose close = { 0 };
  struct PackReader r;

  if (pack_open (ctx, stored, n_stored, &r) == NULL)
    return ERROR_INVALID;
  turn_close_unpack (&r, ctx, &close);
  return read_end (&r) == ERROR_NONE ? pack_close (ctx, &close, bytes, n_bytes) : ERROR_INVALID;
}

/* The fields of a closed turn, as archives also write them to their disks. */
static void
test_closed_turn (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct GatewayMessage message = { 0 };
  uint8_t *bytes = NULL;
  size_t n_bytes = 0;
  int32_t error;

  fill_close (&message, 0);
  error = pack_close (ctx, &message.close, &bytes, &n_bytes);
  check_stored ("closed_turn", error, bytes, n_bytes, repack_close);
  talloc_free (ctx);
}

static struct PolicyServer policy_servers[] = {
  { .name = "server-1",
    .usable = true,
    .in_flight = 601,
    .waiting = 602,
    .limit = 603,
    .reported_running = 604,
    .service_ms_per_call = 605,
    .prefill_us_per_token = 606,
    .wait_new_ms = 607,
    .wait_kept_ms = 608,
    .pace_us_per_token = 609,
    .programs = 610 },
  { .name = "server-2", .limit = 611 },
};

static void
fill_call (struct Call *call, uint32_t variant)
{
  static const enum CallTarget targets[] = { CALL_TARGET_ENGINE, CALL_TARGET_SERVICE };

  *call = (struct Call){ .key = { "program-1", "branch-1", 621 },
                         .service = "service-1",
                         .target_kind = targets[variant % 2],
                         .target = "model-1",
                         .path = "/v1/path",
                         .idempotent = flag (variant % 2, 1),
                         .stream = flag (variant % 2, 2),
                         .max_tokens = 622,
                         .prompt_tokens = 623,
                         .deadline_ms = -624,
                         .body = body,
                         .body_bytes = sizeof body,
                         .messages_end = 9 };
  fill_digest (call->digest, 0x20);
}

static void
fill_outcome (struct Outcome *outcome, uint32_t variant)
{
  static const enum RanState ran[] = { RAN_NO, RAN_YES, RAN_MAYBE };

  *outcome = (struct Outcome){ .error = ERROR_MAY_HAVE_RUN,
                               .ran = ran[variant],
                               .status = 503,
                               .charge_tokens = 1ULL << 36,
                               .cached_tokens = 631,
                               .backend = "server-3",
                               .response = reply,
                               .response_bytes = sizeof reply };
}

static void
fill_peer_heartbeat (struct PeerHeartbeat *heartbeat, uint32_t variant)
{
  *heartbeat = (struct PeerHeartbeat){ .instance = "instance-1",
                                       .config_revision = 1ULL << 37,
                                       .draining = flag (variant, 1),
                                       .platform_up = flag (variant, 2),
                                       .has_disk = flag (variant, 3),
                                       .partitions = 641,
                                       .programs = 642,
                                       .in_flight = 643,
                                       .waiting = 644,
                                       .outcomes = { .created = 651,
                                                     .done = 652,
                                                     .cancelled = 653,
                                                     .over_budget = 654,
                                                     .late = 655,
                                                     .refused = 656,
                                                     .may_have_run = 657,
                                                     .program_ms = 658,
                                                     .prefix_tokens = 659,
                                                     .cached_tokens = 660 },
                                       .n_digests = 2,
                                       .digests = policy_servers };
}

static void
fill_peer_request (struct PeerRequest *request, uint32_t variant)
{
  static const enum RequestOp ops[] = { REQUEST_CREATE,
                                        REQUEST_CALL,
                                        REQUEST_VIEW,
                                        REQUEST_HISTORY,
                                        REQUEST_END,
                                        REQUEST_LIST,
                                        REQUEST_CALL_WITHOUT_PROGRAM };

  request->id = 661;
  request->op = ops[variant];
  request->first_attempt = flag (variant % 2, 1);
  request->forwarded = flag (variant % 2, 2);
  fill_call (&request->call, variant);
}

static void
fill_peer_dispatch (struct PeerDispatch *dispatch, uint32_t variant)
{
  dispatch->id = 662;
  snprintf (dispatch->backend, sizeof dispatch->backend, "server-4");
  fill_call (&dispatch->call, variant);
  dispatch->attained_tokens = 1ULL << 38;
  dispatch->cached_tokens_hint = 663;
  dispatch->timeout_ms = 664;
  dispatch->suspect = true;
}

static void
fill_peer_response (struct PeerResponse *response, uint32_t variant)
{
  response->id = 665;
  fill_outcome (&response->outcome, variant);
  response->fault = (struct Fault){ ERROR_OUT_OF_ORDER, "a message", "a remedy" };
  response->retry_after_ms = 666;
  response->expected_sequence = 667;
  response->event_stream = flag (variant, 1);
  response->server_crashed = flag (variant, 2);
}

static void
fill_peer (struct PeerMessage *m, uint32_t variant)
{
  switch (m->kind)
    {
    case PEER_HELLO:
      snprintf (m->hello.instance, sizeof m->hello.instance, "instance-1");
      snprintf (m->hello.incarnation, sizeof m->hello.incarnation, "instance-1.671");
      snprintf (m->hello.zone, sizeof m->hello.zone, "zone-a");
      break;
    case PEER_HEARTBEAT:
      fill_peer_heartbeat (&m->heartbeat, variant);
      break;
    case PEER_REQUEST:
      fill_peer_request (&m->request, variant);
      break;
    case PEER_DISPATCH:
      fill_peer_dispatch (&m->dispatch, variant);
      break;
    case PEER_CANCEL:
      m->cancel.id = 672;
      break;
    case PEER_CHUNK:
      m->chunk = (struct PeerChunk){ 673, 200, body, sizeof body };
      break;
    case PEER_RESPONSE:
      fill_peer_response (&m->response, variant);
      break;
    case PEER_RELEASE:
      m->release.id = 674;
      snprintf (m->release.program, sizeof m->release.program, "program-2");
      snprintf (m->release.backend, sizeof m->release.backend, "server-5");
      break;
    case PEER_CONFIG_REQUEST:
      m->config_request.from = 675;
      break;
    case PEER_CONFIG_ENTRY:
      m->config_entry.bytes = nested;
      m->config_entry.n_bytes = sizeof nested;
      break;
    case PEER_QUARANTINE:
      fill_digest (m->quarantine.digest, 0x40);
      snprintf (m->quarantine.server, sizeof m->quarantine.server, "server-6");
      break;
    case PEER_SPOOL_PUT:
    case PEER_SPOOL_DROP:
    case PEER_SPOOL_READ:
    case PEER_SPOOL_RECORD:
      m->spool.id = 676;
      m->spool.number = 677;
      snprintf (m->spool.writer, sizeof m->spool.writer, "instance-2.678");
      m->spool.bytes = reply;
      m->spool.n_bytes = sizeof reply;
      break;
    case PEER_MAP_CHANGED:
      break;
    case PEER_GATEWAY:
      m->gateway.bytes = body;
      m->gateway.n_bytes = sizeof body;
      break;
    }
}

static const struct
{
  const char *name;
  enum PeerKind kind;
  uint32_t n_variants;
} peer_kinds[] = {
  { "peer_hello", PEER_HELLO, 1 },
  { "peer_heartbeat", PEER_HEARTBEAT, 2 },
  { "peer_request", PEER_REQUEST, 7 },
  { "peer_dispatch", PEER_DISPATCH, 2 },
  { "peer_cancel", PEER_CANCEL, 1 },
  { "peer_chunk", PEER_CHUNK, 1 },
  { "peer_answer", PEER_RESPONSE, 3 },
  { "peer_release", PEER_RELEASE, 1 },
  { "peer_config_want", PEER_CONFIG_REQUEST, 1 },
  { "peer_config_entry", PEER_CONFIG_ENTRY, 1 },
  { "peer_quarantine", PEER_QUARANTINE, 1 },
  { "peer_spool_put", PEER_SPOOL_PUT, 1 },
  { "peer_spool_drop", PEER_SPOOL_DROP, 1 },
  { "peer_spool_read", PEER_SPOOL_READ, 1 },
  { "peer_spool_record", PEER_SPOOL_RECORD, 1 },
  { "peer_map_changed", PEER_MAP_CHANGED, 1 },
  { "peer_gateway", PEER_GATEWAY, 1 },
};

static int32_t
repack_peer (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes)
{
  struct PeerMessage *m;
  int32_t error =
      peer_message_unpack (ctx, stored + PEER_LENGTH_BYTES, n_stored - PEER_LENGTH_BYTES, &m);

  return error == ERROR_NONE ? peer_message_pack (ctx, m, bytes, n_bytes) : error;
}

static void
test_peer_messages (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);

  for (size_t i = 0; i < sizeof peer_kinds / sizeof peer_kinds[0]; i++)
    for (uint32_t variant = 0; variant < peer_kinds[i].n_variants; variant++)
      {
        struct PeerMessage message = { .kind = peer_kinds[i].kind };
        const char *name = variant_name (ctx, peer_kinds[i].name, variant);
        uint8_t *bytes = NULL;
        size_t n_bytes = 0;
        int32_t error;

        fill_peer (&message, variant);
        error = peer_message_pack (ctx, &message, &bytes, &n_bytes);
        check_stored (name, error, bytes, n_bytes, repack_peer);
      }
  talloc_free (ctx);
}

static void
fill_created (struct Record *record)
{
  record->kind = RECORD_PROGRAM;
  record->partition = 700;
  record->epoch = 701;
  snprintf (record->program.program, sizeof record->program.program, "program-1");
  snprintf (record->program.service, sizeof record->program.service, "service-1");
  snprintf (record->program.parent, sizeof record->program.parent, "program-0");
  record->program.budget_tokens = 1ULL << 39;
  record->program.created_unix_ms = 1700000000001;
  record->program.deadline_unix_ms = 1700000000002;
  record->program.turn_limit = 702;
  record->program.grant_tokens = 703;
  fill_digest (record->program.create_digest, 0x60);
}

static void
fill_record (struct Record *record)
{
  switch (record->kind)
    {
    case RECORD_PROGRAM:
      fill_created (record);
      break;
    case RECORD_INTENT:
    case RECORD_NOT_SENT:
      record->intent.key = (struct CallKey){ "program-1", "branch-1", 711 };
      fill_digest (record->intent.digest, 0x80);
      record->intent.reserved_tokens = 712;
      record->intent.idempotent = true;
      break;
    case RECORD_OUTCOME:
      record->outcome.key = (struct CallKey){ "program-2", "branch-2", 713 };
      fill_digest (record->outcome.digest, 0xa0);
      fill_outcome (&record->outcome.outcome, 2);
      record->outcome.request = body;
      record->outcome.request_bytes = sizeof body;
      record->outcome.idempotent = true;
      break;
    case RECORD_END:
      snprintf (record->end.program, sizeof record->end.program, "program-3");
      break;
    case RECORD_RELEASED:
    case RECORD_HELD:
      snprintf (record->released.program, sizeof record->released.program, "program-4");
      snprintf (record->released.backend, sizeof record->released.backend, "server-4");
      break;
    case RECORD_SNAPSHOT:
      snprintf (record->snapshot.program, sizeof record->snapshot.program, "program-5");
      record->snapshot.part = 714;
      record->snapshot.n_parts = 715;
      record->snapshot.state = nested;
      record->snapshot.state_bytes = sizeof nested;
      break;
    case RECORD_HANDOFF:
      break;
    }
}

static int32_t
repack_slot (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes)
{
  struct Slot *slot;
  int32_t error = slot_unpack (ctx, stored, n_stored, &slot);

  return error == ERROR_NONE ? slot_pack (ctx, slot, bytes, n_bytes) : error;
}

/* A slot whose records were packed one by one, as the journal packs them. */
static void
check_slot (TALLOC_CTX *ctx, const char *name, const struct Slot *slot)
{
  struct PackedRecord *packed = talloc_zero_array (ctx, struct PackedRecord, slot->n_records);
  uint8_t *bytes = NULL;
  size_t n_bytes = 0;
  int32_t error = slot_pack (ctx, slot, &bytes, &n_bytes);

  check_stored (name, error, bytes, n_bytes, repack_slot);
  for (size_t i = 0; i < slot->n_records; i++)
    CU_ASSERT_EQUAL (
        record_pack (ctx, &slot->records[i], (uint8_t **)&packed[i].bytes, &packed[i].n_bytes),
        ERROR_NONE);
  error = slot_pack_records (ctx, slot, packed, slot->n_records, &bytes, &n_bytes);
  check_stored (name, error, bytes, n_bytes, repack_slot);
}

static void
test_journal_slots (void)
{
  static const enum RecordKind kinds[] = { RECORD_PROGRAM,  RECORD_INTENT,   RECORD_OUTCOME,
                                           RECORD_RELEASED, RECORD_SNAPSHOT, RECORD_HANDOFF,
                                           RECORD_NOT_SENT, RECORD_HELD,     RECORD_END,
                                           RECORD_END,      RECORD_END,      RECORD_END,
                                           RECORD_END,      RECORD_END };
  static const enum EndReason reasons[] = { END_DONE,     END_CANCELLED,  END_OVER_BUDGET,
                                            END_DEADLINE, END_TURN_LIMIT, END_CALLER_DISCONNECTED };
  enum
  {
    N_RECORDS = sizeof kinds / sizeof kinds[0]
  };
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Record records[N_RECORDS] = { 0 };
  struct Slot slot = { .kind = SLOT_RECORDS,
                       .writer = "instance-1.721",
                       .batch_id = 722,
                       .replay_from = 723,
                       .records = records,
                       .n_records = N_RECORDS };
  uint32_t n_ends = 0;

  for (uint32_t i = 0; i < N_RECORDS; i++)
    {
      records[i].kind = kinds[i];
      records[i].partition = 730 + i;
      records[i].epoch = 760 + i;
      fill_record (&records[i]);
      if (kinds[i] == RECORD_END)
        records[i].end.reason = reasons[n_ends++];
    }
  check_slot (ctx, "slot", &slot);
  slot.kind = SLOT_SEAL;
  slot.n_records = 0;
  check_slot (ctx, "seal", &slot);
  talloc_free (ctx);
}

static const enum ConfigChangeKind change_kinds[] = { CONFIG_CHANGE_PROFILE, CONFIG_CHANGE_SERVICE,
                                                      CONFIG_CHANGE_DRAIN };

static void
fill_change (struct ConfigChange *change, uint32_t variant)
{
  static const char *const given[] = { "[profile]\nname = fast\n", "fast", "on" };

  *change = (struct ConfigChange){ .kind = change_kinds[variant],
                                   .name = "fast",
                                   .author = "asha",
                                   .reason = "a reason",
                                   .when_unix_ms = 1700000000003,
                                   .expected_revision = 801,
                                   .text = given[variant],
                                   .before = "the text before",
                                   .revision = variant + 1 };
  snprintf (change->change_id, sizeof change->change_id, "change-%u", (unsigned)variant);
}

static int32_t
repack_change (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes)
{
  struct ConfigChange *change;
  int32_t error = config_change_unpack (ctx, stored, n_stored, &change);

  return error == ERROR_NONE ? config_change_pack (ctx, change, bytes, n_bytes) : error;
}

static int32_t
repack_transfer (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes)
{
  struct ConfigTransfer transfer = { 0 };
  int32_t error = config_transfer_unpack (ctx, stored, n_stored, &transfer);

  return error == ERROR_NONE ? config_transfer_pack (ctx, &transfer, bytes, n_bytes) : error;
}

static int32_t
repack_fold (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes)
{
  struct ConfigFold *fold;
  int32_t error = config_fold_unpack (ctx, stored, n_stored, &fold);

  return error == ERROR_NONE ? config_fold_pack (fold, ctx, bytes, n_bytes) : error;
}

static void
test_configuration (void)
{
  static const enum ConfigTransferKind parcels[] = { CONFIG_TRANSFER_ENTRY,
                                                     CONFIG_TRANSFER_CHECKPOINT };
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct ConfigFold *fold = config_fold_new (ctx);
  uint8_t *bytes = NULL;
  size_t n_bytes = 0;
  int32_t error;

  for (uint32_t i = 0; i < sizeof change_kinds / sizeof change_kinds[0]; i++)
    {
      struct ConfigChange change;

      fill_change (&change, i);
      error = config_change_pack (ctx, &change, &bytes, &n_bytes);
      check_stored (variant_name (ctx, "config_change", i), error, bytes, n_bytes, repack_change);
      config_fold_apply (fold, &change);
    }
  for (uint32_t i = 0; i < sizeof parcels / sizeof parcels[0]; i++)
    {
      struct ConfigTransfer transfer = { parcels[i], 802, nested, sizeof nested };

      error = config_transfer_pack (ctx, &transfer, &bytes, &n_bytes);
      check_stored (variant_name (ctx, "config_parcel", i), error, bytes, n_bytes, repack_transfer);
    }
  error = config_fold_pack (fold, ctx, &bytes, &n_bytes);
  check_stored ("config_checkpoint", error, bytes, n_bytes, repack_fold);
  talloc_free (ctx);
}

static int32_t
repack_group (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes)
{
  struct PartitionGroup *group;
  int32_t error = partition_group_unpack (ctx, stored, n_stored, &group);

  return error == ERROR_NONE ? partition_group_pack (ctx, group, bytes, n_bytes) : error;
}

static int32_t
repack_member (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes)
{
  struct Member member;
  int32_t error = member_unpack (stored, n_stored, &member);

  return error == ERROR_NONE ? member_pack (ctx, &member, bytes, n_bytes) : error;
}

static void
test_partitions_and_members (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PartitionEntry entries[] = { { .epoch = 812,
                                        .base_epoch = 811,
                                        .home = "instance-1.813",
                                        .n_journals = 2,
                                        .journals = { "instance-2.814", "instance-1.813" } },
                                      { 0 } };
  struct PartitionGroup group = { .n_entries = 2, .entries = entries };
  struct Member member = { .instance = "instance-1",
                           .incarnation = "instance-1.815",
                           .zone = "zone-a",
                           .caller_address = "10.0.0.1:8000",
                           .peer_address = "10.0.0.1:7000",
                           .draining = true };
  uint8_t *bytes = NULL;
  size_t n_bytes = 0;
  int32_t error = partition_group_pack (ctx, &group, &bytes, &n_bytes);

  check_stored ("partition_group", error, bytes, n_bytes, repack_group);
  error = member_pack (ctx, &member, &bytes, &n_bytes);
  check_stored ("member", error, bytes, n_bytes, repack_member);
  talloc_free (ctx);
}

static int32_t
repack_set (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes)
{
  struct ArchiveSet set;
  int32_t error = archive_set_decode (stored, n_stored, &set);

  return error == ERROR_NONE ? archive_set_encode (ctx, &set, bytes, n_bytes) : error;
}

static int32_t
repack_status (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes)
{
  struct NodeStatus status;
  int32_t error = node_status_decode (stored, n_stored, &status);

  return error == ERROR_NONE ? node_status_encode (ctx, &status, bytes, n_bytes) : error;
}

static void
test_archive_sets_and_statuses (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);

  for (uint32_t variant = 0; variant < 3; variant++)
    {
      struct ArchiveSet set;
      struct NodeStatus status;
      uint8_t *bytes = NULL;
      size_t n_bytes = 0;
      int32_t error;

      fill_set (&set, variant);
      error = archive_set_encode (ctx, &set, &bytes, &n_bytes);
      check_stored (variant_name (ctx, "archive_set", variant), error, bytes, n_bytes, repack_set);
      fill_status (&status, variant);
      error = node_status_encode (ctx, &status, &bytes, &n_bytes);
      check_stored (variant_name (ctx, "node_status", variant), error, bytes, n_bytes,
                    repack_status);
    }
  talloc_free (ctx);
}

static int32_t
repack_program (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes)
{
  struct Ledger *ledger = ledger_new (ctx);
  int32_t error = ledger_unpack_program (ledger, stored, n_stored, 700, 701);

  return error == ERROR_NONE ? ledger_pack_program (ledger, ctx, "program-1", bytes, n_bytes)
                             : error;
}

static void
test_ledger_snapshot (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_new (ctx);
  struct Record created = { 0 };
  struct LedgerTurn turn = { .key = { "program-1", MAIN_BRANCH, 821 },
                             .idempotent = true,
                             .request = body,
                             .request_bytes = sizeof body };
  struct LedgerProgram *program;
  struct LedgerBranch *branch;
  uint8_t *bytes = NULL;
  size_t n_bytes = 0;
  int32_t error;

  fill_created (&created);
  fill_digest (turn.digest, 0xc0);
  fill_outcome (&turn.outcome, 1);
  program = ledger_insert (ledger, &created);
  CU_ASSERT_PTR_NOT_NULL_FATAL (program);
  if (program == NULL)
    return;
  branch = program_get_or_add_branch (program, MAIN_BRANCH);
  branch->last_sequence = 822;
  branch->journaled = true;
  branch = program_get_or_add_branch (program, "branch-2");
  branch->last_sequence = 823;
  branch->in_flight.active = true;
  branch->in_flight.intent_applied = true;
  branch->in_flight.reserved_tokens = 824;
  branch->in_flight.idempotent = true;
  fill_digest (branch->in_flight.digest, 0xe0);
  CU_ASSERT_EQUAL (program_add_turn (program, &turn), ERROR_NONE);
  CU_ASSERT_EQUAL (program_add_holder (program, "server-1"), ERROR_NONE);
  CU_ASSERT_EQUAL (program_add_holder (program, "server-2"), ERROR_NONE);
  program->charged_tokens = 825;
  program->ended = true;
  program->end_reason = END_TURN_LIMIT;
  error = ledger_pack_program (ledger, ctx, "program-1", &bytes, &n_bytes);
  check_stored ("ledger_program", error, bytes, n_bytes, repack_program);
  talloc_free (ctx);
}

static int32_t
frame_pack (
    TALLOC_CTX *ctx, const uint8_t *record, size_t n_record, uint8_t **bytes, size_t *n_bytes)
{
  *n_bytes = FRAME_HEADER_BYTES + n_record;
  *bytes = talloc_zero_array (ctx, uint8_t, *n_bytes);
  if (*bytes == NULL)
    return ERROR_NO_MEMORY;
  disk_frame_write_header (*bytes, record, n_record);
  memcpy (*bytes + FRAME_HEADER_BYTES, record, n_record);
  return ERROR_NONE;
}

static int32_t
repack_frame (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes)
{
  int64_t length = disk_frame_check (stored, n_stored);

  return length > 0 ? frame_pack (ctx, stored + FRAME_HEADER_BYTES, (size_t)length, bytes, n_bytes)
                    : ERROR_INVALID;
}

static void
test_disk_frame (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint8_t *bytes = NULL;
  size_t n_bytes = 0;
  int32_t error = frame_pack (ctx, body, sizeof body, &bytes, &n_bytes);

  check_stored ("disk_frame", error, bytes, n_bytes, repack_frame);
  talloc_free (ctx);
}

struct SpoolContent
{
  uint64_t numbers[4];
  const uint8_t *records[4];
  size_t record_bytes[4];
  size_t n;
  bool sealed;
};

static char spool_folder[64], spool_path[128];
static const char spool_writer[] = "instance-3.831";

static void
make_spool_folder (void)
{
  snprintf (spool_folder, sizeof spool_folder, "/tmp/buckthornhead-stored-XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (spool_folder));
  snprintf (spool_path, sizeof spool_path, "%s/spool-%s", spool_folder, spool_writer);
}

static void
remove_spool_folder (void)
{
  unlink (spool_path);
  snprintf (spool_path, sizeof spool_path, "%s/disk-id", spool_folder);
  unlink (spool_path);
  rmdir (spool_folder);
}

/* Returns the bytes of the file that a spool with this content writes. */
static int32_t
spool_pack (TALLOC_CTX *ctx, const struct SpoolContent *content, uint8_t **bytes, size_t *n_bytes)
{
  struct Spool *spool;
  struct Fault fault;
  int32_t error;

  make_spool_folder ();
  error = spool_open (ctx, spool_folder, &spool, &fault);
  for (size_t i = 0; i < content->n && error == ERROR_NONE; i++)
    error = spool_put (spool, spool_writer, content->numbers[i], content->records[i],
                       content->record_bytes[i]);
  if (error == ERROR_NONE)
    error = content->sealed ? spool_seal (spool, spool_writer) : spool_sync (spool);
  *bytes = disk_file_read (ctx, spool_path, n_bytes);
  remove_spool_folder ();
  return error;
}

static void
spool_collect (void *data, uint64_t number, const uint8_t *record, size_t n_bytes)
{
  struct SpoolContent *content = data;

  if (content->n == sizeof content->numbers / sizeof content->numbers[0])
    return;
  content->numbers[content->n] = number;
  content->records[content->n] = record;
  content->record_bytes[content->n++] = n_bytes;
}

static int32_t
repack_spool (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes)
{
  struct SpoolContent content = { 0 };
  struct Spool *spool;
  struct Fault fault;
  int32_t error;
  int fd;

  make_spool_folder ();
  fd = open (spool_path, O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
  CU_ASSERT (fd >= 0 && disk_file_write (fd, stored, n_stored));
  if (fd >= 0)
    close (fd);
  error = spool_open (ctx, spool_folder, &spool, &fault);
  if (error == ERROR_NONE)
    {
      spool_each (spool, spool_writer, spool_collect, &content);
      content.sealed = spool_put (spool, spool_writer, UINT64_MAX, NULL, 0) == ERROR_FENCED;
    }
  remove_spool_folder ();
  return error == ERROR_NONE ? spool_pack (ctx, &content, bytes, n_bytes) : error;
}

static void
test_spool_file (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct SpoolContent content = { .numbers = { 832, 833 },
                                  .records = { body, nested },
                                  .record_bytes = { sizeof body, sizeof nested },
                                  .n = 2,
                                  .sealed = true };
  uint8_t *bytes = NULL;
  size_t n_bytes = 0;
  int32_t error = spool_pack (ctx, &content, &bytes, &n_bytes);

  check_stored ("spool_file", error, bytes, n_bytes, repack_spool);
  talloc_free (ctx);
}

static int32_t
pack_replica (TALLOC_CTX *ctx, const struct ReplicaEntry *entry, uint8_t **bytes, size_t *n_bytes)
{
  *bytes = replica_entry_pack (ctx, entry, n_bytes);
  return *bytes != NULL ? ERROR_NONE : ERROR_NO_MEMORY;
}

static int32_t
repack_replica (
    TALLOC_CTX *ctx, const uint8_t *stored, size_t n_stored, uint8_t **bytes, size_t *n_bytes)
{
  struct ReplicaEntry entry;
  int32_t error = replica_entry_unpack (stored, n_stored, &entry);

  return error == ERROR_NONE ? pack_replica (ctx, &entry, bytes, n_bytes) : error;
}

/* A backend server in the lists that snapshots carry. */
static void
test_backend_server (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct ReplicaEntry entry = { .id = "server-9",
                                .service = "service-2",
                                .address = "10.0.0.9:8029",
                                .zone = "zone-b",
                                .slots = 841,
                                .draining = true,
                                .started_unix_ms = 1700000000004 };
  uint8_t *bytes = NULL;
  size_t n_bytes = 0;
  int32_t error = pack_replica (ctx, &entry, &bytes, &n_bytes);

  check_stored ("backend_server", error, bytes, n_bytes, repack_replica);
  talloc_free (ctx);
}

/* A fixture without a check guards nothing. The two slots are checked twice. */
static void
test_every_fixture_was_checked (void)
{
  CU_ASSERT_EQUAL (n_checked, N_FIXTURES + 2);
}

const char test_suite_name[] = "stored_format";
const struct TestCase test_cases[] = {
  { "gateway messages", test_gateway_messages },
  { "a closed turn", test_closed_turn },
  { "peer messages", test_peer_messages },
  { "journal slots", test_journal_slots },
  { "configuration", test_configuration },
  { "partitions and members", test_partitions_and_members },
  { "archive sets and statuses", test_archive_sets_and_statuses },
  { "a ledger snapshot", test_ledger_snapshot },
  { "a disk frame", test_disk_frame },
  { "a spool file", test_spool_file },
  { "a backend server", test_backend_server },
  { "every fixture was checked", test_every_fixture_was_checked },
  { NULL, NULL },
};
