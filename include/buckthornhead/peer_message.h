/* Messages between instances and their serialization.
 *
 * A frame on the wire is a length of four bytes, big endian, and one msgpack array whose first item
 * is the kind. Requests have an id that their responses repeat; the opener of the connection
 * assigns the ids. Modules of one process exchange the same messages without a connection. */
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
  PEER_REQUEST = 3,  /* from the receiving instance to the home */
  PEER_DISPATCH = 4, /* from the home to the owner of a backend server */
  PEER_CANCEL = 5,   /* cancels the request or dispatch .id */
  PEER_CHUNK = 6,    /* part of a response */
  PEER_RESPONSE = 7, /* final response to a request, a dispatch or a release */
  PEER_RELEASE = 8,  /* from the home to the owner: release a program's memory */
  PEER_CONFIG_REQUEST = 9,
  PEER_CONFIG_ENTRY = 10,
  PEER_QUARANTINE = 11,   /* a backend server failed while it ran a request */
  PEER_SPOOL_PUT = 12,    /* store a journal record on disk while the platform is down */
  PEER_SPOOL_DROP = 13,   /* the writer's journal contains all records up to .number */
  PEER_SPOOL_READ = 14,   /* seal the writer's spool, then send its records */
  PEER_SPOOL_RECORD = 15, /* one record in response to PEER_SPOOL_READ */
  PEER_MAP_CHANGED = 16,  /* the sender gained or released partitions: read the map */
  PEER_GATEWAY = 17       /* between gateways and archives, see gateway_message.h */
};

/* Operation that the instance which received a call requests from its home. */
enum RequestOp
{
  REQUEST_CREATE = 1,
  REQUEST_CALL = 2,
  REQUEST_VIEW = 3,
  REQUEST_HISTORY = 4,
  REQUEST_END = 5,
  REQUEST_LIST = 6,                /* programs of the home, for operators */
  REQUEST_CALL_WITHOUT_PROGRAM = 7 /* a call without a program; one is created for it */
};

/* Outcome counters of one instance; the operators' status is their sum over the instances. */
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
  bool has_disk; /* registered to store spools */
  uint32_t partitions, programs, in_flight, waiting;
  struct PeerOutcomes outcomes;
  size_t n_digests;
  struct PolicyServer *digests; /* of the instance's own backend servers */
};

struct PeerRequest
{
  uint64_t id;
  enum RequestOp op;
  /* The caller declares that it has not sent the call before, so a rejection means "not run". */
  bool first_attempt;
  bool forwarded;   /* forwarded once already; never forwarded again */
  struct Call call; /* for the other operations .body is their JSON */
};

struct PeerDispatch
{
  uint64_t id;
  char backend[NAME_MAX_BYTES + 1];
  struct Call call;
  uint64_t attained_tokens;
  uint32_t cached_tokens_hint;
  uint32_t timeout_ms;
  bool suspect; /* was running on a server that failed; never runs at the same time as another
                   suspect */
};

struct PeerChunk
{
  uint64_t id;
  uint32_t status;
  const uint8_t *bytes;
  size_t n_bytes;
};

struct PeerResponse
{
  uint64_t id;
  struct Outcome outcome; /* .response: the rest of the body, after the chunks */
  struct Fault fault;     /* .error equals outcome.error */
  uint32_t retry_after_ms;
  uint64_t expected_sequence;
  bool event_stream;   /* the response consists of server-sent events */
  bool server_crashed; /* the backend server failed while it ran the call */
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
    struct PeerResponse response;
    struct
    {
      uint64_t id;
      char program[PROGRAM_ID_MAX_BYTES + 1];
      char backend[NAME_MAX_BYTES + 1];
    } release;
    struct
    {
      uint64_t from;
    } config_request;
    struct
    {
      const uint8_t *bytes;
      size_t n_bytes;
    } config_entry, gateway;
    struct
    {
      uint8_t digest[DIGEST_BYTES];
      char server[NAME_MAX_BYTES + 1]; /* the server that failed */
    } quarantine;
    struct
    {
      uint64_t id, number;
      char writer[INCARNATION_MAX_BYTES + 1]; /* incarnation */
      const uint8_t *bytes;
      size_t n_bytes;
    } spool; /* for put, drop, read and record, which each use some of the fields */
  };
};

/* Packs message as a frame that belongs to ctx. Returns ERROR_TOO_LARGE or ERROR_NO_MEMORY. */
int32_t
peer_message_pack (TALLOC_CTX *ctx,
                   const struct PeerMessage *message,
                   uint8_t **frame,
                   size_t *n_bytes);

/* Unpacks the bytes after the frame's length. Returns ERROR_INVALID for malformed bytes. */
int32_t
peer_message_unpack (TALLOC_CTX *ctx,
                     const uint8_t *bytes,
                     size_t n_bytes,
                     struct PeerMessage **message);
