/* Messages among gateways and archives; they travel in peer messages of kind PEER_GATEWAY. */
#pragma once

#include <buckthornhead/archive_set.h>
#include <buckthornhead/customers/use_board.h>
#include <buckthornhead/node_status.h>
#include <buckthornhead/scheduling/slot_queue.h>
#include <buckthornhead/settings.h>
#include <buckthornhead/turn.h>

enum GatewayKind
{
  GATEWAY_TURN_OPEN = 1,
  GATEWAY_TURN_READ = 2,
  GATEWAY_TURN_OPENED = 3, /* the answer to both */
  GATEWAY_TURN_CLOSE = 4,
  GATEWAY_TURN_CLOSED = 5,
  GATEWAY_HEARTBEAT = 6,
  GATEWAY_SNAPSHOT = 7,  /* what the sender read in the platform's store */
  GATEWAY_COPY_WANT = 8, /* an archive whose disk is new asks another for its records */
  GATEWAY_COPY_PART = 9,
  GATEWAY_RELAY = 10,         /* for another process, which the sender can not reach itself */
  GATEWAY_SLOT_ASK = 11,      /* may this request be sent to a server that the receiver owns? */
  GATEWAY_SLOT_STATE = 12,    /* the answer, and again when it has changed */
  GATEWAY_SLOT_DONE = 13,     /* the request has ended, or will not be sent */
  GATEWAY_ALIVE = 14,         /* the answer to a probe; no fields */
  GATEWAY_SNAPSHOT_WANT = 15, /* the whole of a snapshot, of which the changes do not fit */
  GATEWAY_DIGESTS = 16,       /* of the servers that the sender owns */
  GATEWAY_PROBE = 17,         /* asks for GATEWAY_ALIVE; no fields */
  GATEWAY_USES = 18           /* what customers used of their limits */
};

/* Requests on their way to one backend server, as one gateway counts them. */
struct ReplicaLoad
{
  char replica[NAME_MAX_BYTES + 1];
  uint32_t in_flight;
};

/* A list or document that processes hold copies of. The first four are what one read of the
 * platform's store gave, for peers that then need not read it; of the backend servers only those
 * who would read next and aggregators hold all. Lists of processes: peer_table.h. */
enum SnapshotKind
{
  SNAPSHOT_ROUTES = 1,   /* the operators' configuration */
  SNAPSHOT_SERVERS = 2,  /* the list of backend servers */
  SNAPSHOT_NODES = 3,    /* the system's own processes, and the set of archives */
  SNAPSHOT_RETIRE = 4,   /* machines that the operators want emptied */
  SNAPSHOT_ZONE = 5,     /* live processes of the sender's zone, which it aggregates */
  SNAPSHOT_FLEET = 6,    /* live processes of all zones, for the members of the sender's zone */
  SNAPSHOT_CONTACTS = 7, /* a few live processes of each zone, for one that starts */
  SNAPSHOT_SUBSET = 8    /* backend servers that gateways of the sender's zone use */
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
  bool gone; /* among changes only: it is not there any more */
};

struct Snapshot
{
  enum SnapshotKind kind;
  int64_t revision; /* of the store when it was read; a lower one is never taken */
  uint32_t age_ms;  /* since the read was sent, when this was sent on */
  uint64_t content; /* equal for equal items */
  uint64_t base;    /* not 0: items are what differs from the snapshot with this content */
  bool after_gap;   /* nobody had read the store for a while before: what is gone may come back */
  uint32_t level;   /* SUBSET only: see server_subset.h */
  bool unchanged;   /* the items are those of the last snapshot with this content, and left out */
  struct SnapshotItem *items;
  size_t n_items;
  uint8_t *packed_items; /* as they travel, if they were packed before; NULL: not yet */
  size_t packed_items_bytes;
};

/* Which copy of one kind of state the sender holds. */
struct StateMark
{
  enum SnapshotKind kind;
  int64_t revision;
  uint64_t content;
  uint32_t age_ms; /* since it was current for certain */
};

enum
{
  STATE_MARKS_MAX = SNAPSHOT_KIND_MAX
};

/* Whose requests in flight a heartbeat counts. */
enum LoadScope
{
  LOADS_OF_PROCESS = 0, /* the sender's own: it reports to an aggregator of its zone */
  LOADS_OF_ZONE = 1,    /* from an aggregator to those of other zones */
  LOADS_OF_FLEET = 2    /* from an aggregator to the members of its zone */
};

/* One process about itself and what it holds, every few hundred milliseconds. */
struct Heartbeat
{
  struct NodeStatus status;
  struct ArchiveSet set; /* generation 0: the receivers know it */
  struct StateMark marks[STATE_MARKS_MAX];
  size_t n_marks;
  enum LoadScope scope;
  uint32_t server_level;     /* of the subset of servers that the process would have */
  struct ReplicaLoad *loads; /* of servers that have no owner */
  size_t n_loads;
};

struct CopyWant
{
  uint64_t id;
  uint64_t cursor; /* 0: from the start */
};

struct CopyPart
{
  uint64_t id;
  uint64_t next; /* cursor of the next part */
  bool last;
  bool complete;          /* the sender's own state */
  const uint8_t *records; /* as they stand in its log */
  size_t records_bytes;
};

struct Relay
{
  char to[NAME_MAX_BYTES + 1], from[NAME_MAX_BYTES + 1];
  const uint8_t *message; /* packed */
  size_t message_bytes;
};

/* Times are what is left when the message is sent: clocks of two machines differ. */
struct SlotAskMessage
{
  uint64_t id; /* of the request, unique at the sender */
  char server[NAME_MAX_BYTES + 1];
  uint32_t slots; /* of the server */
  uint64_t capacity_tokens;
  uint32_t customer_priority;
  uint32_t priority;
  bool continues;
  bool has_program_due;
  int64_t program_left_ms; /* negative: its program is late already */
  int64_t left_ms;
  uint64_t part; /* largest shared part of the prompt; 0: none */
  uint32_t part_tokens;
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

struct SlotDoneMessage
{
  uint64_t id;
  enum SlotOutcome outcome;
  char server[NAME_MAX_BYTES + 1];
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
    struct SlotAskMessage slot_ask;
    struct SlotStateMessage slot_state;
    struct SlotDoneMessage slot_done;
    struct Digests digests;
    struct UseReport uses;
  };
};

/* Packs message; the bytes belong to ctx. ERROR_NO_MEMORY. */
int32_t
gateway_message_pack (TALLOC_CTX *ctx,
                      const struct GatewayMessage *message,
                      uint8_t **bytes,
                      size_t *n_bytes);

/* Packs the items of a snapshot that is sent more than once, and keeps the bytes with it. Whole
 * lists are what a fleet that starts costs: of 3,000 servers each of 60 members of a zone gets 320
 * KB from its aggregators, whose links take 30 Mbit/s. ERROR_NO_MEMORY. */
int32_t
snapshot_pack_items (struct Snapshot *snapshot);

/* ERROR_INVALID for anything malformed. */
int32_t
gateway_message_unpack (TALLOC_CTX *ctx,
                        const uint8_t *bytes,
                        size_t n_bytes,
                        struct GatewayMessage **message);

/* The fields of a close, which are also an archive's record on disk. */
struct PackWriter;
struct PackReader;
void
turn_close_pack (struct PackWriter *p, const struct TurnClose *close);
void
turn_close_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct TurnClose *close);
