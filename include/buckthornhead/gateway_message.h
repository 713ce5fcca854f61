/* Messages among gateways and archives, carried in peer messages of kind PEER_GATEWAY. */
#pragma once

#include <buckthornhead/archive_set.h>
#include <buckthornhead/customers/quota_owner.h>
#include <buckthornhead/customers/use_board.h>
#include <buckthornhead/node_status.h>
#include <buckthornhead/scheduling/quarantine.h>
#include <buckthornhead/scheduling/server_pace.h>
#include <buckthornhead/scheduling/slot_queue.h>
#include <buckthornhead/settings.h>
#include <buckthornhead/turn.h>

enum GatewayKind
{
  GATEWAY_TURN_OPEN = 1,
  GATEWAY_TURN_READ = 2,
  GATEWAY_TURN_OPENED = 3, /* response to GATEWAY_TURN_OPEN and GATEWAY_TURN_READ */
  GATEWAY_TURN_CLOSE = 4,
  GATEWAY_TURN_CLOSED = 5,
  GATEWAY_HEARTBEAT = 6,
  GATEWAY_SNAPSHOT = 7,  /* state read from the platform's store, or a list of processes */
  GATEWAY_COPY_WANT = 8, /* an archive with a new disk requests the records of another archive */
  GATEWAY_COPY_PART = 9,
  GATEWAY_RELAY = 10, /* a message to be forwarded to a process that the sender cannot reach */
  GATEWAY_SLOT_REQUEST = 11,  /* requests a slot on a backend server that the receiver owns */
  GATEWAY_SLOT_STATE = 12,    /* response to GATEWAY_SLOT_REQUEST, sent again on each change */
  GATEWAY_SLOT_DONE = 13,     /* the request has ended or will not be sent */
  GATEWAY_ALIVE = 14,         /* response to GATEWAY_PROBE; no fields */
  GATEWAY_SNAPSHOT_WANT = 15, /* requests a full snapshot, as when changes do not apply */
  GATEWAY_DIGESTS = 16,       /* load and cache contents of the servers that the sender owns */
  GATEWAY_PROBE = 17,         /* requests GATEWAY_ALIVE; no fields */
  GATEWAY_USAGES = 18,        /* customers' usage of their limits */
  GATEWAY_QUOTA_REQUEST = 19, /* requests tokens of a customer that the receiver owns */
  GATEWAY_QUOTA_GRANT = 20,   /* response to GATEWAY_QUOTA_REQUEST */
  GATEWAY_QUOTA_RETURN = 21,  /* tokens of a request that ran on no server */
  GATEWAY_PACES = 22,         /* speed of the servers that the sender owns */
  GATEWAY_SUSPECTS = 23       /* requests that were running on servers that crashed */
};

enum
{
  GATEWAY_KIND_MAX = GATEWAY_SUSPECTS
};

/* Number of requests in flight to one backend server, as counted by the sender. */
struct ReplicaLoad
{
  char server[NAME_MAX_BYTES + 1];
  uint32_t in_flight;
};

/* A replicated list or document. The first four are results of reading the platform's store,
 * forwarded so that peers need not read it. Only aggregators and the processes next in line to read
 * the store hold the full list of backend servers. For lists of processes, see peer_table.h. */
enum SnapshotKind
{
  SNAPSHOT_ROUTES = 1,   /* the operators' configuration */
  SNAPSHOT_SERVERS = 2,  /* the list of backend servers */
  SNAPSHOT_NODES = 3,    /* the system's own processes, and the set of archives */
  SNAPSHOT_RETIRE = 4,   /* instances that operators are retiring */
  SNAPSHOT_ZONE = 5,     /* live processes of the zone that the sender aggregates */
  SNAPSHOT_FLEET = 6,    /* live processes of all zones, sent to the sender's own zone */
  SNAPSHOT_CONTACTS = 7, /* a few live processes of each zone, for a starting process */
  SNAPSHOT_SUBSET = 8    /* backend servers used by the gateways of the sender's zone */
};

enum
{
  SNAPSHOT_KIND_MAX = SNAPSHOT_SUBSET
};

struct SnapshotItem
{
  char key[256];
  const uint8_t *value;
  size_t value_bytes;
  bool removed; /* the item was removed; only in a snapshot of changes */
};

struct Snapshot
{
  enum SnapshotKind kind;
  int64_t revision; /* of the store when it was read; a lower one is ignored */
  uint32_t age_ms;  /* time from the start of the read to the sending of this message */
  uint64_t content; /* hash of the full list of items */
  uint64_t base;    /* items are changes against the snapshot with this content; 0: the full list */
  bool after_gap;   /* no process had read the store for some time: removed items may reappear */
  uint32_t level;   /* SNAPSHOT_SUBSET only; see server_subset.h */
  bool unchanged;   /* items are omitted: same as in the previous snapshot with this content */
  struct SnapshotItem *items;
  size_t n_items;
  uint8_t *packed_items; /* items in wire format; NULL until they are packed */
  size_t packed_items_bytes;
};

/* The version of one kind of snapshot that the sender holds. */
struct StateMark
{
  enum SnapshotKind kind;
  int64_t revision;
  uint64_t content;
  uint32_t age_ms; /* time since the snapshot was last confirmed to be current */
};

enum
{
  STATE_MARKS_MAX = SNAPSHOT_KIND_MAX
};

/* The processes whose requests in flight a heartbeat counts. */
enum LoadScope
{
  LOADS_OF_PROCESS = 0, /* the sender's own, reported to an aggregator of its zone */
  LOADS_OF_ZONE = 1,    /* sum of the zone, from an aggregator to those of other zones */
  LOADS_OF_FLEET = 2    /* sum of all zones, from an aggregator to its own zone */
};

/* A process's status and the versions of the state that it holds, sent every few hundred
 * milliseconds. */
struct Heartbeat
{
  struct NodeStatus status;
  struct ArchiveSet set; /* generation 0: omitted, since the receivers have it */
  struct StateMark marks[STATE_MARKS_MAX];
  size_t n_marks;
  enum LoadScope scope;
  uint32_t server_level;     /* level that the process requests for its subset of servers */
  struct ReplicaLoad *loads; /* only of backend servers without an owner */
  size_t n_loads;
};

/* Set in the id of a request for records by processes that read the clock in the response. Earlier
 * versions return the id unchanged, and read no response with a clock. */
#define COPY_WANT_CLOCK (1ULL << 63)
/* Set likewise if the response is to end with the file in which it begins. Earlier versions ignore
 * it. */
#define COPY_WANT_FILE (1ULL << 62)

struct CopyWant
{
  uint64_t id;
  uint64_t cursor; /* position in the receiver's log; 0: the start */
};

struct CopyPart
{
  uint64_t id;
  uint64_t next; /* cursor for requesting the next part */
  bool last;
  bool complete;          /* the sender has every record that it ever acknowledged */
  const uint8_t *records; /* frames copied from the sender's log */
  size_t records_bytes;
  bool has_clock; /* with the next two: the sender's retention clock (retention_clock.h) */
  int64_t now_unix_ms, floor_unix_ms;
};

struct Relay
{
  char to[NAME_MAX_BYTES + 1], from[NAME_MAX_BYTES + 1];
  const uint8_t *message; /* packed */
  size_t message_bytes;
};

/* Times are relative to the sending of the message, since clocks of two instances differ. */
struct SlotRequestMessage
{
  uint64_t id; /* of the request, unique per sender */
  char server[NAME_MAX_BYTES + 1];
  uint32_t slots; /* requests that the server runs at a time */
  uint64_t capacity_tokens;
  uint32_t customer_priority;
  uint32_t priority;
  bool under_way;
  bool has_program_deadline;
  int64_t program_left_ms; /* until the program's deadline; negative: already missed */
  int64_t left_ms;
  uint64_t part; /* id of the largest part of the prompt shared with other requests; 0: none */
  uint32_t part_tokens;
  /* Optional items, packed if one of them is set. */
  uint64_t program;          /* hash of the program's id; 0: not reported */
  uint64_t customer;         /* hash of the customer's name; 0: none */
  uint32_t first_service_ms; /* service time until the queue has measured it; 0: default */
  uint32_t waited_ms;        /* since the first query of an owner */
  /* Reports a slot that another owner granted, or that is used without a grant. */
  bool is_granted;
  uint32_t granted_for_ms; /* how long ago; valid with is_granted */
};

struct SlotStateMessage
{
  uint64_t id;
  struct SlotState state;
};

struct Digests
{
  struct SlotDigest *items;
  size_t n_items;
};

struct Paces
{
  struct PaceRow *items;
  size_t n_items;
};

enum
{
  SUSPECT_AGE_NONE = -1,
  SUSPECT_AGE_MAX_MS = 7 * 24 * 3600 * 1000
};

/* What the sender knows of requests that were running on servers that crashed. The times of the
 * records are ages in ms at the sending of the message; SUSPECT_AGE_NONE: it did not happen. */
struct SuspectReport
{
  bool wants_reply; /* the sender has just started and asks for all quarantined requests */
  bool is_reply;    /* all that are quarantined, in reply to that */
  struct SuspectRecord *items;
  size_t n_items;
};

struct SlotDoneMessage
{
  uint64_t id;
  enum SlotOutcome outcome;
  char server[NAME_MAX_BYTES + 1];
  /* Optional items, packed if sample_us is set. */
  uint32_t sample_us;         /* measured duration, see server_pace.h; 0: none */
  uint32_t work_kind;         /* hash of the route's name: samples of one kind are comparable */
  uint32_t work_time_percent; /* reported by the server with this response; 0: none */
};

struct GatewayMessage
{
  enum GatewayKind kind;
  union
  {
    struct TurnOpen open;
    struct TurnRead read;
    struct TurnOpened opened;
    struct TurnClose close;
    struct TurnClosed closed;
    struct Heartbeat heartbeat;
    struct Snapshot snapshot;
    enum SnapshotKind snapshot_want;
    struct CopyWant copy_want;
    struct CopyPart copy_part;
    struct Relay relay;
    struct SlotRequestMessage slot_request;
    struct SlotStateMessage slot_state;
    struct SlotDoneMessage slot_done;
    struct Digests digests;
    struct UsageReport usages;
    struct Paces paces;
    struct SuspectReport suspects;
    struct QuotaAsk quota_ask;
    struct QuotaGrant quota_grant;
    struct QuotaReturn quota_return;
  };
};

/* Packs message. The bytes belong to ctx. Fails with ERROR_NO_MEMORY. */
int32_t
gateway_message_pack (TALLOC_CTX *ctx,
                      const struct GatewayMessage *message,
                      uint8_t **bytes,
                      size_t *n_bytes);

/* Packs the items of a snapshot that is sent to several peers and stores the bytes in it. At the
 * start of the fleet full lists dominate the traffic: a list of 3,000 servers is 320 KB for each of
 * the 60 members of a zone, sent by aggregators on 30 Mbit/s links. Fails with ERROR_NO_MEMORY. */
int32_t
snapshot_pack_items (struct Snapshot *snapshot);

/* Unpacks a message, which belongs to ctx. Fails with ERROR_INVALID when the bytes are malformed.
 */
int32_t
gateway_message_unpack (TALLOC_CTX *ctx,
                        const uint8_t *bytes,
                        size_t n_bytes,
                        struct GatewayMessage **message);

/* Pack and unpack the fields of TurnClose, which archives also write to their disks. */
struct PackWriter;
struct PackReader;
void
turn_close_pack (struct PackWriter *p, const struct TurnClose *close);
void
turn_close_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct TurnClose *close);
