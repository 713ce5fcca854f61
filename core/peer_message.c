#include "record_fields.h"

#include <buckthornhead/pack.h>
#include <buckthornhead/peer_message.h>

#include <string.h>

enum
{
  FRAME_LENGTH_BYTES = 4,
  OUTCOME_FIELDS = 7 /* number of items that outcome_pack writes */
};

static void
call_pack (struct PackWriter *p, const struct Call *call)
{
  pack_array (p, 15);
  pack_string (p, call->key.program);
  pack_string (p, call->key.branch);
  pack_u64 (p, call->key.sequence);
  pack_string (p, call->service);
  pack_u64 (p, call->target_kind);
  pack_string (p, call->target);
  pack_string (p, call->path);
  pack_u64 (p, call->idempotent);
  pack_u64 (p, call->stream);
  pack_u64 (p, call->max_tokens);
  pack_u64 (p, call->prompt_tokens);
  pack_i64 (p, call->deadline_ms);
  pack_bytes (p, call->digest, DIGEST_BYTES);
  pack_bytes (p, call->body, call->body_bytes);
  pack_u64 (p, call->messages_end);
}

static void
call_unpack (struct PackReader *outer, TALLOC_CTX *ctx, struct Call *call)
{
  struct PackReader r;

  read_array (outer, &r);
  read_string (&r, call->key.program, sizeof call->key.program);
  read_string (&r, call->key.branch, sizeof call->key.branch);
  call->key.sequence = read_u64 (&r, UINT64_MAX);
  read_string (&r, call->service, sizeof call->service);
  call->target_kind = (enum CallTarget)read_u64 (&r, CALL_TARGET_SERVICE);
  read_string (&r, call->target, sizeof call->target);
  read_string (&r, call->path, sizeof call->path);
  call->idempotent = read_u64 (&r, 1) != 0;
  call->stream = read_u64 (&r, 1) != 0;
  call->max_tokens = (uint32_t)read_u64 (&r, UINT32_MAX);
  call->prompt_tokens = (uint32_t)read_u64 (&r, UINT32_MAX);
  call->deadline_ms = read_i64 (&r);
  read_fixed (&r, call->digest, DIGEST_BYTES);
  call->body = read_bytes (&r, ctx, &call->body_bytes);
  call->messages_end = (uint32_t)read_u64 (&r, UINT32_MAX);
  if (call->messages_end > call->body_bytes)
    r.failed = true;
  outer->failed = outer->failed || r.failed;
}

static void
digest_pack (struct PackWriter *p, const struct PolicyServer *digest)
{
  pack_array (p, 12);
  pack_string (p, digest->name);
  pack_u64 (p, digest->usable);
  pack_u64 (p, digest->in_flight);
  pack_u64 (p, digest->waiting);
  pack_u64 (p, digest->limit);
  pack_u64 (p, digest->reported_running);
  pack_u64 (p, digest->service_ms_per_call);
  pack_u64 (p, digest->prefill_us_per_token);
  pack_u64 (p, digest->wait_new_ms);
  pack_u64 (p, digest->wait_kept_ms);
  pack_u64 (p, digest->pace_us_per_token);
  pack_u64 (p, digest->programs);
}

static void
digest_unpack (struct PackReader *outer, struct PolicyServer *digest)
{
  struct PackReader r;

  read_array (outer, &r);
  read_string (&r, digest->name, sizeof digest->name);
  digest->usable = read_u64 (&r, 1) != 0;
  digest->in_flight = (uint32_t)read_u64 (&r, UINT32_MAX);
  digest->waiting = (uint32_t)read_u64 (&r, UINT32_MAX);
  digest->limit = (uint32_t)read_u64 (&r, UINT32_MAX);
  digest->reported_running = (uint32_t)read_u64 (&r, UINT32_MAX);
  digest->service_ms_per_call = (uint32_t)read_u64 (&r, UINT32_MAX);
  digest->prefill_us_per_token = (uint32_t)read_u64 (&r, UINT32_MAX);
  digest->wait_new_ms = (uint32_t)read_u64 (&r, UINT32_MAX);
  digest->wait_kept_ms = (uint32_t)read_u64 (&r, UINT32_MAX);
  digest->pace_us_per_token = (uint32_t)read_u64 (&r, UINT32_MAX);
  digest->programs = (uint32_t)read_u64 (&r, UINT32_MAX);
  outer->failed = outer->failed || r.failed;
}

enum
{
  N_OUTCOMES = 10
};

/* Lists the fields of outcomes in the order in which they are packed. */
static void
outcomes_fields (struct PeerOutcomes *outcomes, uint64_t *fields[N_OUTCOMES])
{
  fields[0] = &outcomes->created;
  fields[1] = &outcomes->done;
  fields[2] = &outcomes->cancelled;
  fields[3] = &outcomes->over_budget;
  fields[4] = &outcomes->late;
  fields[5] = &outcomes->refused;
  fields[6] = &outcomes->may_have_run;
  fields[7] = &outcomes->program_ms;
  fields[8] = &outcomes->prefix_tokens;
  fields[9] = &outcomes->cached_tokens;
}

static void
heartbeat_pack (struct PackWriter *p, const struct PeerHeartbeat *heartbeat)
{
  struct PeerOutcomes outcomes = heartbeat->outcomes;
  uint64_t *fields[N_OUTCOMES];

  pack_string (p, heartbeat->instance);
  pack_u64 (p, heartbeat->config_revision);
  pack_u64 (p, heartbeat->draining);
  pack_u64 (p, heartbeat->platform_up);
  pack_u64 (p, heartbeat->has_disk);
  pack_u64 (p, heartbeat->partitions);
  pack_u64 (p, heartbeat->programs);
  pack_u64 (p, heartbeat->in_flight);
  pack_u64 (p, heartbeat->waiting);
  outcomes_fields (&outcomes, fields);
  pack_array (p, N_OUTCOMES);
  for (size_t i = 0; i < N_OUTCOMES; i++)
    pack_u64 (p, *fields[i]);
  pack_array (p, heartbeat->n_digests);
  for (size_t i = 0; i < heartbeat->n_digests; i++)
    digest_pack (p, &heartbeat->digests[i]);
}

static void
heartbeat_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct PeerHeartbeat *heartbeat)
{
  uint64_t *fields[N_OUTCOMES];
  struct PackReader counts, digests;

  read_string (r, heartbeat->instance, sizeof heartbeat->instance);
  heartbeat->config_revision = read_u64 (r, UINT64_MAX);
  heartbeat->draining = read_u64 (r, 1) != 0;
  heartbeat->platform_up = read_u64 (r, 1) != 0;
  heartbeat->has_disk = read_u64 (r, 1) != 0;
  heartbeat->partitions = (uint32_t)read_u64 (r, UINT32_MAX);
  heartbeat->programs = (uint32_t)read_u64 (r, UINT32_MAX);
  heartbeat->in_flight = (uint32_t)read_u64 (r, UINT32_MAX);
  heartbeat->waiting = (uint32_t)read_u64 (r, UINT32_MAX);
  read_array (r, &counts);
  outcomes_fields (&heartbeat->outcomes, fields);
  for (size_t i = 0; i < N_OUTCOMES; i++)
    *fields[i] = read_u64 (&counts, UINT64_MAX);
  read_array (r, &digests);
  if (digests.failed || digests.n_items > PEER_DIGESTS_MAX)
    {
      r->failed = true;
      return;
    }
  heartbeat->n_digests = digests.n_items;
  heartbeat->digests = talloc_zero_array (ctx, struct PolicyServer, digests.n_items);
  for (size_t i = 0; i < heartbeat->n_digests; i++)
    digest_unpack (&digests, &heartbeat->digests[i]);
  r->failed = r->failed || counts.failed || digests.failed;
}

static void
response_pack (struct PackWriter *p, const struct PeerResponse *response)
{
  pack_u64 (p, response->id);
  pack_array (p, OUTCOME_FIELDS);
  outcome_pack (p, &response->outcome);
  pack_i64 (p, response->fault.error);
  pack_string (p, response->fault.message);
  pack_string (p, response->fault.remedy);
  pack_u64 (p, response->retry_after_ms);
  pack_u64 (p, response->expected_sequence);
  pack_u64 (p, response->event_stream);
  pack_u64 (p, response->server_crashed);
}

static void
response_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct PeerResponse *response)
{
  struct PackReader outcome;

  response->id = read_u64 (r, UINT64_MAX);
  read_array (r, &outcome);
  outcome_read (&outcome, ctx, &response->outcome);
  r->failed = r->failed || read_end (&outcome) != ERROR_NONE;
  response->fault.error = (int32_t)read_i64 (r);
  read_string (r, response->fault.message, sizeof response->fault.message);
  read_string (r, response->fault.remedy, sizeof response->fault.remedy);
  response->retry_after_ms = (uint32_t)read_u64 (r, UINT32_MAX);
  response->expected_sequence = read_u64 (r, UINT64_MAX);
  response->event_stream = read_u64 (r, 1) != 0;
  response->server_crashed = read_u64 (r, 1) != 0;
}

static void
dispatch_pack (struct PackWriter *p, const struct PeerDispatch *dispatch)
{
  pack_u64 (p, dispatch->id);
  pack_string (p, dispatch->backend);
  call_pack (p, &dispatch->call);
  pack_u64 (p, dispatch->attained_tokens);
  pack_u64 (p, dispatch->cached_tokens_hint);
  pack_u64 (p, dispatch->timeout_ms);
  pack_u64 (p, dispatch->suspect);
}

static void
dispatch_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct PeerDispatch *dispatch)
{
  dispatch->id = read_u64 (r, UINT64_MAX);
  read_string (r, dispatch->backend, sizeof dispatch->backend);
  call_unpack (r, ctx, &dispatch->call);
  dispatch->attained_tokens = read_u64 (r, UINT64_MAX);
  dispatch->cached_tokens_hint = (uint32_t)read_u64 (r, UINT32_MAX);
  dispatch->timeout_ms = (uint32_t)read_u64 (r, UINT32_MAX);
  dispatch->suspect = read_u64 (r, 1) != 0;
}

static void
request_pack (struct PackWriter *p, const struct PeerRequest *request)
{
  pack_u64 (p, request->id);
  pack_u64 (p, request->op);
  pack_u64 (p, request->first_attempt);
  pack_u64 (p, request->forwarded);
  call_pack (p, &request->call);
}

static void
request_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct PeerRequest *request)
{
  request->id = read_u64 (r, UINT64_MAX);
  request->op = (enum RequestOp)read_u64 (r, REQUEST_CALL_WITHOUT_PROGRAM);
  request->first_attempt = read_u64 (r, 1) != 0;
  request->forwarded = read_u64 (r, 1) != 0;
  call_unpack (r, ctx, &request->call);
}

/* Returns the number of msgpack items of a message, including its kind. */
static uint32_t
message_n_items (enum PeerKind kind)
{
  switch (kind)
    {
    case PEER_HELLO:
      return 4;
    case PEER_HEARTBEAT:
      return 12;
    case PEER_REQUEST:
      return 6;
    case PEER_DISPATCH:
      return 8;
    case PEER_CANCEL:
    case PEER_CONFIG_REQUEST:
    case PEER_CONFIG_ENTRY:
    case PEER_GATEWAY:
      return 2;
    case PEER_MAP_CHANGED:
      return 1;
    case PEER_QUARANTINE:
      return 3;
    case PEER_SPOOL_PUT:
    case PEER_SPOOL_DROP:
    case PEER_SPOOL_READ:
    case PEER_SPOOL_RECORD:
      return 5;
    case PEER_CHUNK:
    case PEER_RELEASE:
      return 4;
    case PEER_RESPONSE:
      return 10;
    }
  return 0;
}

static void
message_pack_body (struct PackWriter *p, const struct PeerMessage *message)
{
  switch (message->kind)
    {
    case PEER_MAP_CHANGED:
      break;
    case PEER_HELLO:
      pack_string (p, message->hello.instance);
      pack_string (p, message->hello.incarnation);
      pack_string (p, message->hello.zone);
      break;
    case PEER_HEARTBEAT:
      heartbeat_pack (p, &message->heartbeat);
      break;
    case PEER_REQUEST:
      request_pack (p, &message->request);
      break;
    case PEER_DISPATCH:
      dispatch_pack (p, &message->dispatch);
      break;
    case PEER_CANCEL:
      pack_u64 (p, message->cancel.id);
      break;
    case PEER_CHUNK:
      pack_u64 (p, message->chunk.id);
      pack_u64 (p, message->chunk.status);
      pack_bytes (p, message->chunk.bytes, message->chunk.n_bytes);
      break;
    case PEER_RESPONSE:
      response_pack (p, &message->response);
      break;
    case PEER_RELEASE:
      pack_u64 (p, message->release.id);
      pack_string (p, message->release.program);
      pack_string (p, message->release.backend);
      break;
    case PEER_CONFIG_REQUEST:
      pack_u64 (p, message->config_request.from);
      break;
    case PEER_CONFIG_ENTRY:
      pack_bytes (p, message->config_entry.bytes, message->config_entry.n_bytes);
      break;
    case PEER_GATEWAY:
      pack_bytes (p, message->gateway.bytes, message->gateway.n_bytes);
      break;
    case PEER_QUARANTINE:
      pack_bytes (p, message->quarantine.digest, DIGEST_BYTES);
      pack_string (p, message->quarantine.server);
      break;
    case PEER_SPOOL_PUT:
    case PEER_SPOOL_DROP:
    case PEER_SPOOL_READ:
    case PEER_SPOOL_RECORD:
      pack_u64 (p, message->spool.id);
      pack_u64 (p, message->spool.number);
      pack_string (p, message->spool.writer);
      pack_bytes (p, message->spool.bytes, message->spool.n_bytes);
      break;
    }
}

static void
message_unpack_body (struct PackReader *r, TALLOC_CTX *ctx, struct PeerMessage *message)
{
  switch (message->kind)
    {
    case PEER_MAP_CHANGED:
      break;
    case PEER_HELLO:
      read_string (r, message->hello.instance, sizeof message->hello.instance);
      read_string (r, message->hello.incarnation, sizeof message->hello.incarnation);
      read_string (r, message->hello.zone, sizeof message->hello.zone);
      break;
    case PEER_HEARTBEAT:
      heartbeat_unpack (r, ctx, &message->heartbeat);
      break;
    case PEER_REQUEST:
      request_unpack (r, ctx, &message->request);
      break;
    case PEER_DISPATCH:
      dispatch_unpack (r, ctx, &message->dispatch);
      break;
    case PEER_CANCEL:
      message->cancel.id = read_u64 (r, UINT64_MAX);
      break;
    case PEER_CHUNK:
      message->chunk.id = read_u64 (r, UINT64_MAX);
      message->chunk.status = (uint32_t)read_u64 (r, UINT32_MAX);
      message->chunk.bytes = read_bytes (r, ctx, &message->chunk.n_bytes);
      break;
    case PEER_RESPONSE:
      response_unpack (r, ctx, &message->response);
      break;
    case PEER_RELEASE:
      message->release.id = read_u64 (r, UINT64_MAX);
      read_string (r, message->release.program, sizeof message->release.program);
      read_string (r, message->release.backend, sizeof message->release.backend);
      break;
    case PEER_CONFIG_REQUEST:
      message->config_request.from = read_u64 (r, UINT64_MAX);
      break;
    case PEER_CONFIG_ENTRY:
      message->config_entry.bytes = read_bytes (r, ctx, &message->config_entry.n_bytes);
      break;
    case PEER_GATEWAY:
      message->gateway.bytes = read_bytes (r, ctx, &message->gateway.n_bytes);
      break;
    case PEER_QUARANTINE:
      read_fixed (r, message->quarantine.digest, DIGEST_BYTES);
      read_string (r, message->quarantine.server, sizeof message->quarantine.server);
      break;
    case PEER_SPOOL_PUT:
    case PEER_SPOOL_DROP:
    case PEER_SPOOL_READ:
    case PEER_SPOOL_RECORD:
      message->spool.id = read_u64 (r, UINT64_MAX);
      message->spool.number = read_u64 (r, UINT64_MAX);
      read_string (r, message->spool.writer, sizeof message->spool.writer);
      message->spool.bytes = read_bytes (r, ctx, &message->spool.n_bytes);
      break;
    default:
      r->failed = true;
    }
}

int32_t
peer_message_pack (TALLOC_CTX *ctx,
                   const struct PeerMessage *message,
                   uint8_t **frame,
                   size_t *n_bytes)
{
  struct PackWriter *writer = pack_writer_new (ctx, false);
  const uint8_t length_placeholder[FRAME_LENGTH_BYTES] = { 0 };
  size_t length;
  int32_t error;

  if (writer == NULL)
    return ERROR_NO_MEMORY;
  pack_raw (writer, length_placeholder, FRAME_LENGTH_BYTES);
  pack_array (writer, message_n_items (message->kind));
  pack_u64 (writer, message->kind);
  message_pack_body (writer, message);
  error = pack_finish (writer, ctx, frame, n_bytes);
  if (error != ERROR_NONE)
    return error;
  length = *n_bytes - FRAME_LENGTH_BYTES;
  if (length > PEER_FRAME_MAX_BYTES)
    {
      TALLOC_FREE (*frame);
      return ERROR_TOO_LARGE;
    }
  for (int i = 0; i < FRAME_LENGTH_BYTES; i++)
    (*frame)[i] = (uint8_t)(length >> (8 * (FRAME_LENGTH_BYTES - 1 - i)));
  return ERROR_NONE;
}

int32_t
peer_message_unpack (TALLOC_CTX *ctx,
                     const uint8_t *bytes,
                     size_t n_bytes,
                     struct PeerMessage **message)
{
  struct PackReader reader;
  struct PeerMessage *m = talloc_zero (ctx, struct PeerMessage);
  void *document = m != NULL ? pack_open (m, bytes, n_bytes, &reader) : NULL;

  *message = NULL;
  if (document == NULL)
    goto fail;
  m->kind = (enum PeerKind)read_u64 (&reader, PEER_GATEWAY);
  if (reader.failed || reader.n_items != message_n_items (m->kind))
    goto fail;
  message_unpack_body (&reader, m, m);
  if (read_end (&reader) != ERROR_NONE)
    goto fail;
  talloc_free (document);
  *message = m;
  return ERROR_NONE;

fail:
  talloc_free (m);
  return ERROR_INVALID;
}
