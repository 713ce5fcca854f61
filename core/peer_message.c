#include <buckthornhead/pack.h>
#include <buckthornhead/peer_message.h>

#include <string.h>

enum
{
  FRAME_LENGTH_BYTES = 4
};

static void
call_pack (msgpack_packer *p, const struct Call *call)
{
  msgpack_pack_array (p, 16);
  pack_string (p, call->key.program);
  pack_string (p, call->key.branch);
  msgpack_pack_uint64 (p, call->key.sequence);
  pack_string (p, call->service);
  msgpack_pack_uint64 (p, call->target_kind);
  pack_string (p, call->target);
  pack_string (p, call->path);
  msgpack_pack_uint64 (p, call->idempotent);
  msgpack_pack_uint64 (p, call->stream);
  msgpack_pack_uint64 (p, call->max_tokens);
  msgpack_pack_uint64 (p, call->prompt_tokens);
  msgpack_pack_int64 (p, call->deadline_ms);
  pack_bytes (p, call->digest, DIGEST_BYTES);
  pack_bytes (p, call->body, call->body_bytes);
  msgpack_pack_uint64 (p, 0); /* kept for later versions */
  msgpack_pack_uint64 (p, 0);
}

static void
call_unpack (struct PackReader *outer, TALLOC_CTX *ctx, struct Call *call)
{
  struct PackReader r = pack_reader_array (outer);

  pack_read_string (&r, call->key.program, sizeof call->key.program);
  pack_read_string (&r, call->key.branch, sizeof call->key.branch);
  call->key.sequence = pack_read_uint (&r, UINT64_MAX);
  pack_read_string (&r, call->service, sizeof call->service);
  call->target_kind = (enum CallTarget)pack_read_uint (&r, CALL_TARGET_SERVICE);
  pack_read_string (&r, call->target, sizeof call->target);
  pack_read_string (&r, call->path, sizeof call->path);
  call->idempotent = pack_read_uint (&r, 1) != 0;
  call->stream = pack_read_uint (&r, 1) != 0;
  call->max_tokens = (uint32_t)pack_read_uint (&r, UINT32_MAX);
  call->prompt_tokens = (uint32_t)pack_read_uint (&r, UINT32_MAX);
  call->deadline_ms = pack_read_int (&r);
  pack_read_exact (&r, call->digest, DIGEST_BYTES);
  call->body = pack_read_bytes (&r, ctx, &call->body_bytes);
  outer->bad = outer->bad || r.bad;
}

static void
outcome_pack (msgpack_packer *p, const struct Outcome *outcome)
{
  msgpack_pack_array (p, 7);
  msgpack_pack_int32 (p, outcome->error);
  msgpack_pack_uint64 (p, outcome->ran);
  msgpack_pack_uint64 (p, outcome->status);
  msgpack_pack_uint64 (p, outcome->charge_tokens);
  msgpack_pack_uint64 (p, outcome->cached_tokens);
  pack_string (p, outcome->backend);
  pack_bytes (p, outcome->answer, outcome->answer_bytes);
}

static void
outcome_unpack (struct PackReader *outer, TALLOC_CTX *ctx, struct Outcome *outcome)
{
  struct PackReader r = pack_reader_array (outer);

  outcome->error = (int32_t)pack_read_int (&r);
  outcome->ran = (enum RanState)pack_read_uint (&r, RAN_MAYBE);
  outcome->status = (uint32_t)pack_read_uint (&r, UINT32_MAX);
  outcome->charge_tokens = pack_read_uint (&r, UINT64_MAX);
  outcome->cached_tokens = (uint32_t)pack_read_uint (&r, UINT32_MAX);
  pack_read_string (&r, outcome->backend, sizeof outcome->backend);
  outcome->answer = pack_read_bytes (&r, ctx, &outcome->answer_bytes);
  outer->bad = outer->bad || r.bad;
}

static void
digest_pack (msgpack_packer *p, const struct PolicyServer *digest)
{
  msgpack_pack_array (p, 8);
  pack_string (p, digest->name);
  msgpack_pack_uint64 (p, digest->usable);
  msgpack_pack_uint64 (p, digest->in_flight);
  msgpack_pack_uint64 (p, digest->waiting);
  msgpack_pack_uint64 (p, digest->limit);
  msgpack_pack_uint64 (p, digest->reported_running);
  msgpack_pack_uint64 (p, digest->service_ms_per_call);
  msgpack_pack_uint64 (p, digest->prefill_us_per_token);
}

static void
digest_unpack (struct PackReader *outer, struct PolicyServer *digest)
{
  struct PackReader r = pack_reader_array (outer);

  pack_read_string (&r, digest->name, sizeof digest->name);
  digest->usable = pack_read_uint (&r, 1) != 0;
  digest->in_flight = (uint32_t)pack_read_uint (&r, UINT32_MAX);
  digest->waiting = (uint32_t)pack_read_uint (&r, UINT32_MAX);
  digest->limit = (uint32_t)pack_read_uint (&r, UINT32_MAX);
  digest->reported_running = (uint32_t)pack_read_uint (&r, UINT32_MAX);
  digest->service_ms_per_call = (uint32_t)pack_read_uint (&r, UINT32_MAX);
  digest->prefill_us_per_token = (uint32_t)pack_read_uint (&r, UINT32_MAX);
  outer->bad = outer->bad || r.bad;
}

enum
{
  N_OUTCOMES = 10
};

/* The fields of outcomes in the order in which they travel. */
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
heartbeat_pack (msgpack_packer *p, const struct PeerHeartbeat *heartbeat)
{
  struct PeerOutcomes outcomes = heartbeat->outcomes;
  uint64_t *fields[N_OUTCOMES];

  pack_string (p, heartbeat->instance);
  msgpack_pack_uint64 (p, heartbeat->config_revision);
  msgpack_pack_uint64 (p, heartbeat->draining);
  msgpack_pack_uint64 (p, heartbeat->platform_up);
  msgpack_pack_uint64 (p, heartbeat->partitions);
  msgpack_pack_uint64 (p, heartbeat->programs);
  msgpack_pack_uint64 (p, heartbeat->in_flight);
  msgpack_pack_uint64 (p, heartbeat->waiting);
  outcomes_fields (&outcomes, fields);
  msgpack_pack_array (p, N_OUTCOMES);
  for (size_t i = 0; i < N_OUTCOMES; i++)
    msgpack_pack_uint64 (p, *fields[i]);
  msgpack_pack_array (p, heartbeat->n_digests);
  for (size_t i = 0; i < heartbeat->n_digests; i++)
    digest_pack (p, &heartbeat->digests[i]);
}

static void
heartbeat_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct PeerHeartbeat *heartbeat)
{
  uint64_t *fields[N_OUTCOMES];
  struct PackReader counts, digests;

  pack_read_string (r, heartbeat->instance, sizeof heartbeat->instance);
  heartbeat->config_revision = pack_read_uint (r, UINT64_MAX);
  heartbeat->draining = pack_read_uint (r, 1) != 0;
  heartbeat->platform_up = pack_read_uint (r, 1) != 0;
  heartbeat->partitions = (uint32_t)pack_read_uint (r, UINT32_MAX);
  heartbeat->programs = (uint32_t)pack_read_uint (r, UINT32_MAX);
  heartbeat->in_flight = (uint32_t)pack_read_uint (r, UINT32_MAX);
  heartbeat->waiting = (uint32_t)pack_read_uint (r, UINT32_MAX);
  counts = pack_reader_array (r);
  outcomes_fields (&heartbeat->outcomes, fields);
  for (size_t i = 0; i < N_OUTCOMES; i++)
    *fields[i] = pack_read_uint (&counts, UINT64_MAX);
  digests = pack_reader_array (r);
  if (digests.bad || digests.n_items > PEER_DIGESTS_MAX)
    {
      r->bad = true;
      return;
    }
  heartbeat->n_digests = digests.n_items;
  heartbeat->digests = talloc_zero_array (ctx, struct PolicyServer, digests.n_items);
  for (size_t i = 0; i < heartbeat->n_digests; i++)
    digest_unpack (&digests, &heartbeat->digests[i]);
  r->bad = r->bad || counts.bad || digests.bad;
}

static void
answer_pack (msgpack_packer *p, const struct PeerAnswer *answer)
{
  msgpack_pack_uint64 (p, answer->id);
  outcome_pack (p, &answer->outcome);
  msgpack_pack_int32 (p, answer->fault.error);
  pack_string (p, answer->fault.message);
  pack_string (p, answer->fault.remedy);
  msgpack_pack_uint64 (p, answer->retry_after_ms);
  msgpack_pack_uint64 (p, answer->expected_sequence);
  msgpack_pack_uint64 (p, answer->event_stream);
  msgpack_pack_uint64 (p, answer->server_died);
}

static void
answer_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct PeerAnswer *answer)
{
  answer->id = pack_read_uint (r, UINT64_MAX);
  outcome_unpack (r, ctx, &answer->outcome);
  answer->fault.error = (int32_t)pack_read_int (r);
  pack_read_string (r, answer->fault.message, sizeof answer->fault.message);
  pack_read_string (r, answer->fault.remedy, sizeof answer->fault.remedy);
  answer->retry_after_ms = (uint32_t)pack_read_uint (r, UINT32_MAX);
  answer->expected_sequence = pack_read_uint (r, UINT64_MAX);
  answer->event_stream = pack_read_uint (r, 1) != 0;
  answer->server_died = pack_read_uint (r, 1) != 0;
}

static void
dispatch_pack (msgpack_packer *p, const struct PeerDispatch *dispatch)
{
  msgpack_pack_uint64 (p, dispatch->id);
  pack_string (p, dispatch->backend);
  call_pack (p, &dispatch->call);
  msgpack_pack_uint64 (p, dispatch->attained_tokens);
  msgpack_pack_uint64 (p, dispatch->cached_tokens_hint);
  msgpack_pack_uint64 (p, dispatch->timeout_ms);
  msgpack_pack_uint64 (p, dispatch->release_after);
}

static void
dispatch_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct PeerDispatch *dispatch)
{
  dispatch->id = pack_read_uint (r, UINT64_MAX);
  pack_read_string (r, dispatch->backend, sizeof dispatch->backend);
  call_unpack (r, ctx, &dispatch->call);
  dispatch->attained_tokens = pack_read_uint (r, UINT64_MAX);
  dispatch->cached_tokens_hint = (uint32_t)pack_read_uint (r, UINT32_MAX);
  dispatch->timeout_ms = (uint32_t)pack_read_uint (r, UINT32_MAX);
  dispatch->release_after = pack_read_uint (r, 1) != 0;
}

static void
request_pack (msgpack_packer *p, const struct PeerRequest *request)
{
  msgpack_pack_uint64 (p, request->id);
  msgpack_pack_uint64 (p, request->op);
  msgpack_pack_uint64 (p, request->first_attempt);
  msgpack_pack_uint64 (p, request->forwarded);
  call_pack (p, &request->call);
}

static void
request_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct PeerRequest *request)
{
  request->id = pack_read_uint (r, UINT64_MAX);
  request->op = (enum RequestOp)pack_read_uint (r, REQUEST_LONE);
  request->first_attempt = pack_read_uint (r, 1) != 0;
  request->forwarded = pack_read_uint (r, 1) != 0;
  call_unpack (r, ctx, &request->call);
}

/* Number of msgpack items of each kind, the kind itself included. */
static uint32_t
message_n_items (enum PeerKind kind)
{
  switch (kind)
    {
    case PEER_HELLO:
      return 4;
    case PEER_HEARTBEAT:
      return 11;
    case PEER_REQUEST:
      return 6;
    case PEER_DISPATCH:
      return 8;
    case PEER_CANCEL:
    case PEER_CONFIG_WANT:
    case PEER_CONFIG_ENTRY:
    case PEER_QUARANTINE:
      return 2;
    case PEER_CHUNK:
    case PEER_RELEASE:
      return 4;
    case PEER_ANSWER:
      return 10;
    }
  return 0;
}

static void
message_pack_body (msgpack_packer *p, const struct PeerMessage *message)
{
  switch (message->kind)
    {
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
      msgpack_pack_uint64 (p, message->cancel.id);
      break;
    case PEER_CHUNK:
      msgpack_pack_uint64 (p, message->chunk.id);
      msgpack_pack_uint64 (p, message->chunk.status);
      pack_bytes (p, message->chunk.bytes, message->chunk.n_bytes);
      break;
    case PEER_ANSWER:
      answer_pack (p, &message->answer);
      break;
    case PEER_RELEASE:
      msgpack_pack_uint64 (p, message->release.id);
      pack_string (p, message->release.program);
      pack_string (p, message->release.backend);
      break;
    case PEER_CONFIG_WANT:
      msgpack_pack_uint64 (p, message->config_want.from);
      break;
    case PEER_CONFIG_ENTRY:
      pack_bytes (p, message->config_entry.bytes, message->config_entry.n_bytes);
      break;
    case PEER_QUARANTINE:
      pack_bytes (p, message->quarantine.digest, DIGEST_BYTES);
      break;
    }
}

static void
message_unpack_body (struct PackReader *r, TALLOC_CTX *ctx, struct PeerMessage *message)
{
  switch (message->kind)
    {
    case PEER_HELLO:
      pack_read_string (r, message->hello.instance, sizeof message->hello.instance);
      pack_read_string (r, message->hello.incarnation, sizeof message->hello.incarnation);
      pack_read_string (r, message->hello.zone, sizeof message->hello.zone);
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
      message->cancel.id = pack_read_uint (r, UINT64_MAX);
      break;
    case PEER_CHUNK:
      message->chunk.id = pack_read_uint (r, UINT64_MAX);
      message->chunk.status = (uint32_t)pack_read_uint (r, UINT32_MAX);
      message->chunk.bytes = pack_read_bytes (r, ctx, &message->chunk.n_bytes);
      break;
    case PEER_ANSWER:
      answer_unpack (r, ctx, &message->answer);
      break;
    case PEER_RELEASE:
      message->release.id = pack_read_uint (r, UINT64_MAX);
      pack_read_string (r, message->release.program, sizeof message->release.program);
      pack_read_string (r, message->release.backend, sizeof message->release.backend);
      break;
    case PEER_CONFIG_WANT:
      message->config_want.from = pack_read_uint (r, UINT64_MAX);
      break;
    case PEER_CONFIG_ENTRY:
      message->config_entry.bytes = pack_read_bytes (r, ctx, &message->config_entry.n_bytes);
      break;
    case PEER_QUARANTINE:
      pack_read_exact (r, message->quarantine.digest, DIGEST_BYTES);
      break;
    default:
      r->bad = true;
    }
}

int32_t
peer_message_pack (TALLOC_CTX *ctx,
                   const struct PeerMessage *message,
                   uint8_t **frame,
                   size_t *n_bytes)
{
  int32_t error = ERROR_NONE;
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, message_n_items (message->kind));
  msgpack_pack_uint64 (&packer, message->kind);
  message_pack_body (&packer, message);
  if (buffer.size > PEER_FRAME_MAX_BYTES)
    {
      error = ERROR_TOO_LARGE;
      goto out;
    }
  *n_bytes = FRAME_LENGTH_BYTES + buffer.size;
  *frame = talloc_array (ctx, uint8_t, *n_bytes);
  if (*frame == NULL)
    {
      error = ERROR_NO_MEMORY;
      goto out;
    }
  for (int i = 0; i < FRAME_LENGTH_BYTES; i++)
    (*frame)[i] = (uint8_t)(buffer.size >> (8 * (FRAME_LENGTH_BYTES - 1 - i)));
  memcpy (*frame + FRAME_LENGTH_BYTES, buffer.data, buffer.size);

out:
  msgpack_sbuffer_destroy (&buffer);
  return error;
}

int32_t
peer_message_unpack (TALLOC_CTX *ctx,
                     const uint8_t *bytes,
                     size_t n_bytes,
                     struct PeerMessage **message)
{
  int32_t error = ERROR_INVALID;
  size_t offset = 0;
  struct PackReader reader;
  msgpack_unpacked unpacked;
  struct PeerMessage *m = talloc_zero (ctx, struct PeerMessage);

  msgpack_unpacked_init (&unpacked);
  if (m == NULL
      || msgpack_unpack_next (&unpacked, (const char *)bytes, n_bytes, &offset)
             != MSGPACK_UNPACK_SUCCESS
      || offset != n_bytes)
    goto out;
  reader = pack_reader_open (&unpacked.data, 1);
  m->kind = (enum PeerKind)pack_read_uint (&reader, PEER_QUARANTINE);
  if (reader.bad || reader.n_items != message_n_items (m->kind))
    goto out;
  message_unpack_body (&reader, m, m);
  if (!reader.bad)
    error = ERROR_NONE;

out:
  msgpack_unpacked_destroy (&unpacked);
  if (error != ERROR_NONE)
    TALLOC_FREE (m);
  *message = m;
  return error;
}
