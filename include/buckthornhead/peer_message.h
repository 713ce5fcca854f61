/* Messages between instances, and how they are packed.
 *
 * One frame on the wire: four bytes of length, big endian, then one msgpack array whose first item
 * is the kind. Requests carry an id that their answers repeat; ids belong to the connection's
 * opener. Between modules of one process the same messages travel without a connection. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/error.h>
#include <buckthornhead/partition.h>
#include <buckthornhead/policy.h>

enum
{
  PEER_FRAME_MAX_BYTES = 16 * 1024 * 1024,
  PEER_DIGESTS_MAX = 512
};

enum PeerKind
{
  PEER_HELLO = 1,
  PEER_HEARTBEAT = 2,
  PEER_REQUEST = 3,  /* entry to home */
  PEER_DISPATCH = 4, /* home to owner of a backend server */
  PEER_CANCEL = 5,   /* the request or dispatch .id is no longer wanted */
  PEER_CHUNK = 6,    /* part of an answer */
  PEER_ANSWER = 7,   /* end of a request, a dispatch or a release */
  PEER_RELEASE = 8,  /* home to owner: drop a program's memory */
  PEER_CONFIG_WANT = 9,
  PEER_CONFIG_ENTRY = 10,
  PEER_QUARANTINE = 11,   /* a backend server died while it ran a request */
  PEER_SPOOL_PUT = 12,    /* keep a journal record on disk while the platform is down */
  PEER_SPOOL_DROP = 13,   /* the writer's journal has all up to .number */
  PEER_SPOOL_READ = 14,   /* a taker: seal the writer's spool, then send what it holds */
  PEER_SPOOL_RECORD = 15, /* one record of the answer to it */
  PEER_MAP_CHANGED = 16,  /* the sender gained or left partitions: read the map now */
  PEER_GATEWAY = 17       /* among gateways and archives: gateway_message.h */
};

/* What an entry asks of a home. */
enum RequestOp
{
  REQUEST_CREATE = 1,
  REQUEST_CALL = 2,
  REQUEST_VIEW = 3,
  REQUEST_HISTORY = 4,
  REQUEST_END = 5,
  REQUEST_LIST = 6, /* programs homed there, for operators */
  REQUEST_LONE = 7  /* a call that needs no program: its program is made on the way */
};

/* Outcome counts of one instance, summed for the operators' status. */
struct PeerOutcomes
{
  uint64_t created, done, cancelled, over_budget, late, refused, may_have_run;
  uint64_t program_ms, prefix_tokens, cached_tokens;
};

struct PeerHeartbeat
{
  char instance[NAME_MAX_BYTES + 1];
  uint64_t config_revision;
  bool draining, platform_up;
  bool has_disk; /* registered as a place for spools */
  uint32_t partitions, programs, in_flight, waiting;
  struct PeerOutcomes outcomes;
  size_t n_digests;
  struct PolicyServer *digests; /* of the backend servers it owns */
};

struct PeerRequest
{
  uint64_t id;
  enum RequestOp op;
  /* The caller says that it never sent this before, so that a refusal here means "not run". */
  bool first_attempt;
  bool forwarded;   /* came over one hop already: never passed on again */
  struct Call call; /* .body holds the JSON of the other operations */
};

struct PeerDispatch
{
  uint64_t id;
  char backend[NAME_MAX_BYTES + 1];
  struct Call call;
  uint64_t attained_tokens;
  uint32_t cached_tokens_hint;
  uint32_t timeout_ms;
  bool suspect; /* was running on a server that died: runs beside no other suspect */
};

struct PeerChunk
{
  uint64_t id;
  uint32_t status;
  const uint8_t *bytes;
  size_t n_bytes;
};

struct PeerAnswer
{
  uint64_t id;
  struct Outcome outcome; /* .answer: the rest of the body that no chunk has brought */
  struct Fault fault;     /* .error repeats outcome.error */
  uint32_t retry_after_ms;
  uint64_t expected_sequence;
  bool event_stream; /* the answer's bytes are server-sent events */
  bool server_died;  /* the backend server was lost while it ran the call */
};

struct PeerMessage
{
  enum PeerKind kind;
  union
  {
    struct
    {
      char instance[NAME_MAX_BYTES + 1];
      char incarnation[INCARNATION_MAX_BYTES + 1];
      char zone[NAME_MAX_BYTES + 1];
    } hello;
    struct PeerHeartbeat heartbeat;
    struct PeerRequest request;
    struct PeerDispatch dispatch;
    struct
    {
      uint64_t id;
    } cancel;
    struct PeerChunk chunk;
    struct PeerAnswer answer;
    struct
    {
      uint64_t id;
      char program[PROGRAM_ID_MAX_BYTES + 1];
      char backend[NAME_MAX_BYTES + 1];
    } release;
    struct
    {
      uint64_t from;
    } config_want;
    struct
    {
      const uint8_t *bytes;
      size_t n_bytes;
    } config_entry, gateway;
    struct
    {
      uint8_t digest[DIGEST_BYTES];
      char server[NAME_MAX_BYTES + 1]; /* that died while it ran the request */
    } quarantine;
    struct
    {
      uint64_t id, number;
      char writer[INCARNATION_MAX_BYTES + 1]; /* incarnation */
      const uint8_t *bytes;
      size_t n_bytes;
    } spool; /* put, drop, read and record, as far as each needs */
  };
};

/* Packs message with its frame's length in front; the result belongs to ctx. */
int32_t
peer_message_pack (TALLOC_CTX *ctx,
                   const struct PeerMessage *message,
                   uint8_t **frame,
                   size_t *n_bytes);

/* Unpacks what follows the length. ERROR_INVALID for anything malformed. */
int32_t
peer_message_unpack (TALLOC_CTX *ctx,
                     const uint8_t *bytes,
                     size_t n_bytes,
                     struct PeerMessage **message);
