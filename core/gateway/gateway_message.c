#include "message_internal.h"

static void
text_pack (struct PackWriter *p, const struct TurnText *text)
{
  pack_string (p, text->turn);
  pack_string (p, text->previous);
  pack_string (p, text->server);
  pack_bytes (p, text->input, text->input_bytes);
  pack_bytes (p, text->output, text->output_bytes);
}

static void
text_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct TurnText *text)
{
  read_string (r, text->turn, sizeof text->turn);
  read_string (r, text->previous, sizeof text->previous);
  read_string (r, text->server, sizeof text->server);
  text->input = read_bytes (r, ctx, &text->input_bytes);
  text->output = read_bytes (r, ctx, &text->output_bytes);
}

void
turn_close_pack (struct PackWriter *p, const struct TurnClose *close)
{
  pack_u64 (p, close->id);
  pack_u64 (p, close->generation);
  pack_string (p, close->program);
  pack_u64 (p, close->charge_tokens);
  pack_bool (p, close->kept);
  pack_u64 (p, close->retention_ms);
  text_pack (p, &close->text);
  pack_u64 (p, close->session);
  pack_u64 (p, close->session_tokens);
  pack_string (p, close->customer);
}

void
turn_close_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct TurnClose *close)
{
  close->id = read_u64 (r, UINT64_MAX);
  close->generation = read_u64 (r, UINT64_MAX);
  read_string (r, close->program, sizeof close->program);
  close->charge_tokens = (uint32_t)read_u64 (r, UINT32_MAX);
  close->kept = read_bool (r);
  close->retention_ms = (uint32_t)read_u64 (r, UINT32_MAX);
  text_unpack (r, ctx, &close->text);
  /* Records written before sessions were added end here. */
  if (r->at == r->n_items)
    return;
  close->session = read_u64 (r, UINT64_MAX);
  close->session_tokens = (uint32_t)read_u64 (r, UINT32_MAX);
  /* Records written before customers were added end here. */
  if (r->at < r->n_items)
    read_string (r, close->customer, sizeof close->customer);
}

static void
open_pack (struct PackWriter *p, const struct TurnOpen *open)
{
  pack_u64 (p, open->id);
  pack_u64 (p, open->generation);
  pack_string (p, open->turn);
  pack_string (p, open->program);
  pack_string (p, open->previous);
  pack_u64 (p, open->reserve_tokens);
  pack_bool (p, open->want_history);
  for (size_t i = 0; i < TURN_SESSIONS_MAX; i++)
    pack_u64 (p, open->sessions[i]);
  pack_string (p, open->customer);
}

static void
open_unpack (struct PackReader *r, struct TurnOpen *open)
{
  open->id = read_u64 (r, UINT64_MAX);
  open->generation = read_u64 (r, UINT64_MAX);
  read_string (r, open->turn, sizeof open->turn);
  read_string (r, open->program, sizeof open->program);
  read_string (r, open->previous, sizeof open->previous);
  open->reserve_tokens = (uint32_t)read_u64 (r, UINT32_MAX);
  open->want_history = read_bool (r);
  for (size_t i = 0; i < TURN_SESSIONS_MAX; i++)
    open->sessions[i] = read_u64 (r, UINT64_MAX);
  read_string (r, open->customer, sizeof open->customer);
}

enum
{
  OPENED_N_CHAIN = 2, /* optional items: has_chain and origins */
  TURN_ORIGIN_N_ITEMS = 3
};

static void
opened_pack (struct PackWriter *p, const struct TurnOpened *opened)
{
  pack_u64 (p, opened->id);
  pack_i64 (p, opened->error);
  pack_bool (p, opened->complete);
  pack_bool (p, opened->has_turn);
  pack_array (p, 5 * opened->n_history);
  for (size_t i = 0; i < opened->n_history; i++)
    text_pack (p, &opened->history[i]);
  pack_array (p, 3 * opened->n_charges);
  for (size_t i = 0; i < opened->n_charges; i++)
    {
      pack_string (p, opened->charges[i].turn);
      pack_u64 (p, opened->charges[i].tokens);
      pack_bool (p, opened->charges[i].settled);
    }
  pack_u64 (p, opened->place.session);
  pack_u64 (p, opened->place.tokens);
  pack_string (p, opened->place.server);
  if (!opened->reports_chain)
    return;
  pack_bool (p, opened->has_chain);
  pack_array (p, TURN_ORIGIN_N_ITEMS * opened->n_history);
  for (size_t i = 0; i < opened->n_history; i++)
    {
      pack_string (p, opened->origins[i].program);
      pack_u64 (p, opened->origins[i].charge_tokens);
      pack_u64 (p, opened->origins[i].retention_ms);
    }
}

size_t
message_list_enter (struct PackReader *outer, struct PackReader *inner, size_t width)
{
  read_array (outer, inner);
  if (!inner->failed && inner->n_items % width == 0 && inner->n_items / width <= MESSAGE_ITEMS_MAX)
    return inner->n_items / width;
  outer->failed = true;
  inner->failed = true;
  return 0;
}

/* Unpacks the optional items of a response that reports chains. */
static void
opened_unpack_chain (struct PackReader *r, TALLOC_CTX *ctx, struct TurnOpened *opened)
{
  struct PackReader list;

  opened->reports_chain = true;
  opened->has_chain = read_bool (r);
  if (message_list_enter (r, &list, TURN_ORIGIN_N_ITEMS) != opened->n_history)
    list.failed = true;
  opened->origins = talloc_zero_array (ctx, struct TurnOrigin, opened->n_history);
  for (size_t i = 0; opened->origins != NULL && i < opened->n_history && !list.failed; i++)
    {
      struct TurnOrigin *origin = &opened->origins[i];

      read_string (&list, origin->program, sizeof origin->program);
      origin->charge_tokens = (uint32_t)read_u64 (&list, UINT32_MAX);
      origin->retention_ms = (uint32_t)read_u64 (&list, UINT32_MAX);
    }
  r->failed = r->failed || list.failed || opened->origins == NULL;
}

static void
opened_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct TurnOpened *opened)
{
  struct PackReader list;

  opened->id = read_u64 (r, UINT64_MAX);
  opened->error = (int32_t)read_i64 (r);
  opened->complete = read_bool (r);
  opened->has_turn = read_bool (r);
  opened->n_history = message_list_enter (r, &list, 5);
  opened->history = talloc_zero_array (ctx, struct TurnText, opened->n_history);
  for (size_t i = 0; opened->history != NULL && i < opened->n_history; i++)
    text_unpack (&list, ctx, &opened->history[i]);
  r->failed = r->failed || list.failed || opened->history == NULL;
  opened->n_charges = message_list_enter (r, &list, 3);
  opened->charges = talloc_zero_array (ctx, struct TurnCharge, opened->n_charges);
  for (size_t i = 0; opened->charges != NULL && i < opened->n_charges; i++)
    {
      struct TurnCharge *charge = &opened->charges[i];

      read_string (&list, charge->turn, sizeof charge->turn);
      charge->tokens = (uint32_t)read_u64 (&list, UINT32_MAX);
      charge->settled = read_bool (&list);
    }
  r->failed = r->failed || list.failed || opened->charges == NULL;
  opened->place.session = read_u64 (r, UINT64_MAX);
  opened->place.tokens = (uint32_t)read_u64 (r, UINT32_MAX);
  read_string (r, opened->place.server, sizeof opened->place.server);
  if (r->at < r->n_items)
    opened_unpack_chain (r, ctx, opened);
}

static void
digest_pack (struct PackWriter *p, const struct SlotDigest *digest)
{
  pack_string (p, digest->server);
  pack_u64 (p, digest->total);
  pack_u64 (p, digest->failed_permille);
  pack_array (p, digest->n_parts);
  for (uint32_t i = 0; i < digest->n_parts; i++)
    pack_u64 (p, digest->parts[i]);
}

static void
digest_unpack (struct PackReader *r, struct SlotDigest *digest)
{
  struct PackReader list;

  read_string (r, digest->server, sizeof digest->server);
  digest->total = (uint32_t)read_u64 (r, UINT32_MAX);
  digest->failed_permille = (uint32_t)read_u64 (r, 1000);
  read_array (r, &list);
  if (list.n_items > SLOT_PARTS_MAX)
    list.failed = true;
  for (size_t i = 0; i < list.n_items && !list.failed; i++)
    digest->parts[digest->n_parts++] = read_u64 (&list, UINT64_MAX);
  r->failed = r->failed || list.failed;
}

static void
digests_pack (struct PackWriter *p, const struct SlotDigest *digests, size_t n_digests)
{
  pack_array (p, 4 * n_digests);
  for (size_t i = 0; i < n_digests; i++)
    digest_pack (p, &digests[i]);
}

static struct SlotDigest *
digests_unpack (struct PackReader *r, TALLOC_CTX *ctx, size_t *n_digests)
{
  struct PackReader list;
  struct SlotDigest *digests;

  *n_digests = message_list_enter (r, &list, 4);
  digests = talloc_zero_array (ctx, struct SlotDigest, *n_digests);
  for (size_t i = 0; digests != NULL && i < *n_digests; i++)
    digest_unpack (&list, &digests[i]);
  r->failed = r->failed || list.failed || digests == NULL;
  return digests;
}

/* Optional items of a part of a copy: the sender's clock. */
enum
{
  COPY_PART_N_CLOCK = 2
};

static void
copy_part_pack (struct PackWriter *p, const struct CopyPart *part)
{
  pack_u64 (p, part->id);
  pack_u64 (p, part->next);
  pack_bool (p, part->last);
  pack_bool (p, part->complete);
  pack_bytes (p, part->records, part->records_bytes);
  if (!part->has_clock)
    return;
  pack_i64 (p, part->now_unix_ms);
  pack_i64 (p, part->floor_unix_ms);
}

static void
copy_part_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct CopyPart *part)
{
  part->id = read_u64 (r, UINT64_MAX);
  part->next = read_u64 (r, UINT64_MAX);
  part->last = read_bool (r);
  part->complete = read_bool (r);
  part->records = read_bytes (r, ctx, &part->records_bytes);
  part->has_clock = r->at < r->n_items;
  if (!part->has_clock)
    return;
  part->now_unix_ms = read_i64 (r);
  part->floor_unix_ms = read_i64 (r);
}

/* Optional items of a slot request: those of ranks and plain servers, and after them those for a
 * new owner. */
enum
{
  SLOT_REQUEST_N_RANK = 3,
  SLOT_REQUEST_N_HELD = 3
};

static size_t
slot_request_n_optional (const struct SlotRequestMessage *slot_request)
{
  if (slot_request->waited_ms != 0 || slot_request->is_granted)
    return SLOT_REQUEST_N_RANK + SLOT_REQUEST_N_HELD;
  if (slot_request->program != 0 || slot_request->customer != 0
      || slot_request->first_service_ms != 0)
    return SLOT_REQUEST_N_RANK;
  return 0;
}

static void
slot_request_pack (struct PackWriter *p, const struct SlotRequestMessage *slot_request)
{
  pack_u64 (p, slot_request->id);
  pack_string (p, slot_request->server);
  pack_u64 (p, slot_request->slots);
  pack_u64 (p, slot_request->customer_priority);
  pack_u64 (p, slot_request->priority);
  pack_bool (p, slot_request->under_way);
  pack_bool (p, slot_request->has_program_deadline);
  pack_i64 (p, slot_request->program_left_ms);
  pack_i64 (p, slot_request->left_ms);
  pack_u64 (p, slot_request->capacity_tokens);
  pack_u64 (p, slot_request->part);
  pack_u64 (p, slot_request->part_tokens);
  if (slot_request_n_optional (slot_request) == 0)
    return;
  pack_u64 (p, slot_request->program);
  pack_u64 (p, slot_request->customer);
  pack_u64 (p, slot_request->first_service_ms);
  if (slot_request_n_optional (slot_request) == SLOT_REQUEST_N_RANK)
    return;
  pack_u64 (p, slot_request->waited_ms);
  pack_bool (p, slot_request->is_granted);
  pack_u64 (p, slot_request->granted_for_ms);
}

static void
slot_request_unpack (struct PackReader *r, struct SlotRequestMessage *slot_request)
{
  slot_request->id = read_u64 (r, UINT64_MAX);
  read_string (r, slot_request->server, sizeof slot_request->server);
  slot_request->slots = (uint32_t)read_u64 (r, UINT32_MAX);
  slot_request->customer_priority = (uint32_t)read_u64 (r, UINT32_MAX);
  slot_request->priority = (uint32_t)read_u64 (r, UINT32_MAX);
  slot_request->under_way = read_bool (r);
  slot_request->has_program_deadline = read_bool (r);
  slot_request->program_left_ms = read_i64 (r);
  slot_request->left_ms = read_i64 (r);
  slot_request->capacity_tokens = read_u64 (r, UINT64_MAX);
  slot_request->part = read_u64 (r, UINT64_MAX);
  slot_request->part_tokens = (uint32_t)read_u64 (r, UINT32_MAX);
  if (r->at == r->n_items)
    return;
  slot_request->program = read_u64 (r, UINT64_MAX);
  slot_request->customer = read_u64 (r, UINT64_MAX);
  slot_request->first_service_ms = (uint32_t)read_u64 (r, UINT32_MAX);
  if (r->at == r->n_items)
    return;
  slot_request->waited_ms = (uint32_t)read_u64 (r, UINT32_MAX);
  slot_request->is_granted = read_bool (r);
  slot_request->granted_for_ms = (uint32_t)read_u64 (r, UINT32_MAX);
}

static void
slot_done_pack (struct PackWriter *p, const struct SlotDoneMessage *done)
{
  pack_u64 (p, done->id);
  pack_string (p, done->server);
  pack_u64 (p, done->outcome);
  if (done->sample_us == 0)
    return;
  pack_u64 (p, done->sample_us);
  pack_u64 (p, done->work_kind);
  pack_u64 (p, done->work_time_percent);
}

static void
slot_done_unpack (struct PackReader *r, struct SlotDoneMessage *done)
{
  done->id = read_u64 (r, UINT64_MAX);
  read_string (r, done->server, sizeof done->server);
  done->outcome = (enum SlotOutcome)read_u64 (r, SLOT_FULL);
  if (r->at == r->n_items)
    return;
  done->sample_us = (uint32_t)read_u64 (r, UINT32_MAX);
  done->work_kind = (uint32_t)read_u64 (r, UINT32_MAX);
  done->work_time_percent = (uint32_t)read_u64 (r, UINT32_MAX);
}

static void
slot_state_pack (struct PackWriter *p, const struct SlotStateMessage *message)
{
  pack_u64 (p, message->id);
  pack_bool (p, message->state.granted);
  pack_u64 (p, message->state.total);
  pack_u64 (p, message->state.ahead);
  pack_u64 (p, message->state.wait_ms);
  if (message->state.service_ms != 0)
    pack_u64 (p, message->state.service_ms);
}

static void
slot_state_unpack (struct PackReader *r, struct SlotStateMessage *message)
{
  message->id = read_u64 (r, UINT64_MAX);
  message->state.granted = read_bool (r);
  message->state.total = (uint32_t)read_u64 (r, UINT32_MAX);
  message->state.ahead = (uint32_t)read_u64 (r, UINT32_MAX);
  message->state.wait_ms = (uint32_t)read_u64 (r, UINT32_MAX);
  if (r->at < r->n_items)
    message->state.service_ms = (uint32_t)read_u64 (r, UINT32_MAX);
}

static void
uses_pack (struct PackWriter *p, const struct UsageReport *report)
{
  pack_u64 (p, report->scope);
  pack_string (p, report->zone);
  pack_array (p, 4 * report->n_usages);
  for (size_t i = 0; i < report->n_usages; i++)
    {
      pack_string (p, report->usages[i].customer);
      pack_u64 (p, report->usages[i].taken);
      pack_u64 (p, report->usages[i].begun);
      pack_u64 (p, report->usages[i].wanted);
    }
}

static void
uses_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct UsageReport *report)
{
  struct PackReader list;

  report->scope = (enum UsageScope)read_u64 (r, USAGE_OF_FLEET);
  read_string (r, report->zone, sizeof report->zone);
  report->n_usages = message_list_enter (r, &list, 4);
  report->usages = talloc_zero_array (ctx, struct CustomerUsage, report->n_usages);
  for (size_t i = 0; report->usages != NULL && i < report->n_usages; i++)
    {
      struct CustomerUsage *usage = &report->usages[i];

      read_string (&list, usage->customer, sizeof usage->customer);
      usage->taken = (uint32_t)read_u64 (&list, UINT32_MAX);
      usage->begun = (uint32_t)read_u64 (&list, UINT32_MAX);
      usage->wanted = (uint32_t)read_u64 (&list, UINT32_MAX);
    }
  r->failed = r->failed || list.failed || report->usages == NULL;
}

static void
paces_pack (struct PackWriter *p, const struct Paces *paces)
{
  pack_array (p, 6 * paces->n_items);
  for (size_t i = 0; i < paces->n_items; i++)
    {
      pack_string (p, paces->items[i].server);
      pack_u64 (p, paces->items[i].kind);
      pack_u64 (p, paces->items[i].mean_us);
      pack_u64 (p, paces->items[i].service_ms);
      pack_u64 (p, paces->items[i].report_percent);
      pack_u64 (p, paces->items[i].report_age_ms);
    }
}

static void
paces_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct Paces *paces)
{
  struct PackReader list;

  paces->n_items = message_list_enter (r, &list, 6);
  paces->items = talloc_zero_array (ctx, struct PaceRow, paces->n_items);
  for (size_t i = 0; paces->items != NULL && i < paces->n_items; i++)
    {
      struct PaceRow *row = &paces->items[i];

      read_string (&list, row->server, sizeof row->server);
      row->kind = (uint32_t)read_u64 (&list, UINT32_MAX);
      row->mean_us = (uint32_t)read_u64 (&list, UINT32_MAX);
      row->service_ms = (uint32_t)read_u64 (&list, UINT32_MAX);
      row->report_percent = (uint32_t)read_u64 (&list, UINT32_MAX);
      row->report_age_ms = (uint32_t)read_u64 (&list, UINT32_MAX);
    }
  r->failed = r->failed || list.failed || paces->items == NULL;
}

static void
quota_ask_pack (struct PackWriter *p, const struct QuotaAsk *ask)
{
  pack_u64 (p, ask->id);
  pack_string (p, ask->customer);
  pack_u64 (p, ask->kind);
  pack_u64 (p, ask->n_wanted);
}

static void
quota_ask_unpack (struct PackReader *r, struct QuotaAsk *ask)
{
  ask->id = read_u64 (r, UINT64_MAX);
  read_string (r, ask->customer, sizeof ask->customer);
  ask->kind = (enum QuotaRequestKind)read_u64 (r, QUOTA_REQUEST_UNDER_WAY);
  ask->n_wanted = (uint32_t)read_u64 (r, QUOTA_LEASE_TOKENS_MAX);
}

static void
quota_grant_pack (struct PackWriter *p, const struct QuotaGrant *grant)
{
  pack_u64 (p, grant->id);
  pack_string (p, grant->customer);
  pack_u64 (p, grant->n_granted);
  pack_u64 (p, grant->valid_ms);
  pack_u64 (p, grant->wait_ms);
  pack_u64 (p, grant->program_size);
  pack_u64 (p, grant->used_permille);
}

static void
quota_grant_unpack (struct PackReader *r, struct QuotaGrant *grant)
{
  grant->id = read_u64 (r, UINT64_MAX);
  read_string (r, grant->customer, sizeof grant->customer);
  grant->n_granted = (uint32_t)read_u64 (r, QUOTA_LEASE_TOKENS_MAX);
  grant->valid_ms = (uint32_t)read_u64 (r, QUOTA_LEASE_VALID_MS);
  grant->wait_ms = (uint32_t)read_u64 (r, QUOTA_RETRY_MAX_MS);
  grant->program_size = (uint32_t)read_u64 (r, UINT32_MAX);
  grant->used_permille = (uint32_t)read_u64 (r, 1000);
}

static void
quota_return_pack (struct PackWriter *p, const struct QuotaReturn *returned)
{
  pack_string (p, returned->customer);
  pack_u64 (p, returned->n_tokens);
}

static void
quota_return_unpack (struct PackReader *r, struct QuotaReturn *returned)
{
  read_string (r, returned->customer, sizeof returned->customer);
  returned->n_tokens = (uint32_t)read_u64 (r, QUOTA_LEASE_TOKENS_MAX);
}

/* Returns the number of packed items of a message, its kind included, without optional ones. */
static size_t
message_n_items (enum GatewayKind kind)
{
  switch (kind)
    {
    case GATEWAY_ALIVE:
    case GATEWAY_PROBE:
      return 1;
    case GATEWAY_TURN_OPEN:
      return 11;
    case GATEWAY_TURN_OPENED:
      return 10;
    case GATEWAY_TURN_READ:
      return 4;
    case GATEWAY_TURN_CLOSED:
    case GATEWAY_COPY_WANT:
      return 3;
    case GATEWAY_TURN_CLOSE:
      return 15;
    case GATEWAY_HEARTBEAT:
      return 7;
    case GATEWAY_RELAY:
    case GATEWAY_USAGES:
    case GATEWAY_SUSPECTS:
      return 4;
    case GATEWAY_SNAPSHOT:
      return 10;
    case GATEWAY_QUOTA_REQUEST:
      return 5;
    case GATEWAY_QUOTA_GRANT:
      return 8;
    case GATEWAY_QUOTA_RETURN:
      return 3;
    case GATEWAY_SNAPSHOT_WANT:
    case GATEWAY_DIGESTS:
    case GATEWAY_PACES:
      return 2;
    case GATEWAY_COPY_PART:
    case GATEWAY_SLOT_STATE:
      return 6;
    case GATEWAY_SLOT_REQUEST:
      return 13;
    case GATEWAY_SLOT_DONE:
      return 4;
    }
  return 0;
}

/* Returns the number of optional items that are packed at the end of the message. */
static size_t
message_n_optional_items (const struct GatewayMessage *message)
{
  switch (message->kind)
    {
    case GATEWAY_TURN_OPENED:
      return message->opened.reports_chain ? OPENED_N_CHAIN : 0;
    case GATEWAY_COPY_PART:
      return message->copy_part.has_clock ? COPY_PART_N_CLOCK : 0;
    case GATEWAY_SLOT_REQUEST:
      return slot_request_n_optional (&message->slot_request);
    case GATEWAY_SLOT_STATE:
      return message->slot_state.state.service_ms != 0 ? 1 : 0;
    case GATEWAY_SLOT_DONE:
      return message->slot_done.sample_us != 0 ? 3 : 0;
    default:
      return 0;
    }
}

/* Returns whether a message of the kind may have that many items, with its kind itself. */
static bool
message_may_have_items (enum GatewayKind kind, size_t n_items)
{
  size_t n_fixed = message_n_items (kind);

  if (n_items == n_fixed)
    return true;
  switch (kind)
    {
    case GATEWAY_COPY_PART:
      return n_items == n_fixed + COPY_PART_N_CLOCK;
    case GATEWAY_TURN_OPENED:
      return n_items == n_fixed + OPENED_N_CHAIN;
    case GATEWAY_SLOT_REQUEST:
      return n_items == n_fixed + SLOT_REQUEST_N_RANK
             || n_items == n_fixed + SLOT_REQUEST_N_RANK + SLOT_REQUEST_N_HELD;
    case GATEWAY_SLOT_STATE:
      return n_items == n_fixed + 1;
    case GATEWAY_SLOT_DONE:
      return n_items == n_fixed + 3;
    default:
      return false;
    }
}

int32_t
gateway_message_pack (TALLOC_CTX *ctx,
                      const struct GatewayMessage *message,
                      uint8_t **bytes,
                      size_t *n_bytes)
{
  struct PackWriter *p = pack_writer_new (ctx, false);

  if (p == NULL)
    return ERROR_NO_MEMORY;
  pack_array (p, message_n_items (message->kind) + message_n_optional_items (message));
  pack_u64 (p, message->kind);
  switch (message->kind)
    {
    case GATEWAY_TURN_OPEN:
      open_pack (p, &message->open);
      break;
    case GATEWAY_TURN_READ:
      pack_u64 (p, message->read.id);
      pack_string (p, message->read.turn);
      pack_string (p, message->read.customer);
      break;
    case GATEWAY_TURN_OPENED:
      opened_pack (p, &message->opened);
      break;
    case GATEWAY_TURN_CLOSE:
      turn_close_pack (p, &message->close);
      break;
    case GATEWAY_TURN_CLOSED:
      pack_u64 (p, message->closed.id);
      pack_i64 (p, message->closed.error);
      break;
    case GATEWAY_HEARTBEAT:
      heartbeat_pack (p, &message->heartbeat);
      break;
    case GATEWAY_SNAPSHOT:
      snapshot_pack (p, &message->snapshot);
      break;
    case GATEWAY_COPY_WANT:
      pack_u64 (p, message->copy_want.id);
      pack_u64 (p, message->copy_want.cursor);
      break;
    case GATEWAY_COPY_PART:
      copy_part_pack (p, &message->copy_part);
      break;
    case GATEWAY_RELAY:
      pack_string (p, message->relay.to);
      pack_string (p, message->relay.from);
      pack_bytes (p, message->relay.message, message->relay.message_bytes);
      break;
    case GATEWAY_SLOT_REQUEST:
      slot_request_pack (p, &message->slot_request);
      break;
    case GATEWAY_SLOT_STATE:
      slot_state_pack (p, &message->slot_state);
      break;
    case GATEWAY_SLOT_DONE:
      slot_done_pack (p, &message->slot_done);
      break;
    case GATEWAY_ALIVE:
    case GATEWAY_PROBE:
      break;
    case GATEWAY_SNAPSHOT_WANT:
      pack_u64 (p, message->snapshot_want);
      break;
    case GATEWAY_DIGESTS:
      digests_pack (p, message->digests.items, message->digests.n_items);
      break;
    case GATEWAY_USAGES:
      uses_pack (p, &message->usages);
      break;
    case GATEWAY_PACES:
      paces_pack (p, &message->paces);
      break;
    case GATEWAY_SUSPECTS:
      suspects_pack (p, &message->suspects);
      break;
    case GATEWAY_QUOTA_REQUEST:
      quota_ask_pack (p, &message->quota_ask);
      break;
    case GATEWAY_QUOTA_GRANT:
      quota_grant_pack (p, &message->quota_grant);
      break;
    case GATEWAY_QUOTA_RETURN:
      quota_return_pack (p, &message->quota_return);
      break;
    }
  return pack_finish (p, ctx, bytes, n_bytes);
}

static void
message_unpack_body (struct PackReader *r, TALLOC_CTX *ctx, struct GatewayMessage *m)
{
  switch (m->kind)
    {
    case GATEWAY_TURN_OPEN:
      open_unpack (r, &m->open);
      break;
    case GATEWAY_TURN_READ:
      m->read.id = read_u64 (r, UINT64_MAX);
      read_string (r, m->read.turn, sizeof m->read.turn);
      read_string (r, m->read.customer, sizeof m->read.customer);
      break;
    case GATEWAY_TURN_OPENED:
      opened_unpack (r, ctx, &m->opened);
      break;
    case GATEWAY_TURN_CLOSE:
      turn_close_unpack (r, ctx, &m->close);
      break;
    case GATEWAY_TURN_CLOSED:
      m->closed.id = read_u64 (r, UINT64_MAX);
      m->closed.error = (int32_t)read_i64 (r);
      break;
    case GATEWAY_HEARTBEAT:
      heartbeat_unpack (r, ctx, &m->heartbeat);
      break;
    case GATEWAY_SNAPSHOT:
      snapshot_unpack (r, ctx, &m->snapshot);
      break;
    case GATEWAY_COPY_WANT:
      m->copy_want.id = read_u64 (r, UINT64_MAX);
      m->copy_want.cursor = read_u64 (r, UINT64_MAX);
      break;
    case GATEWAY_COPY_PART:
      copy_part_unpack (r, ctx, &m->copy_part);
      break;
    case GATEWAY_RELAY:
      read_string (r, m->relay.to, sizeof m->relay.to);
      read_string (r, m->relay.from, sizeof m->relay.from);
      m->relay.message = read_bytes (r, ctx, &m->relay.message_bytes);
      break;
    case GATEWAY_SLOT_REQUEST:
      slot_request_unpack (r, &m->slot_request);
      break;
    case GATEWAY_SLOT_STATE:
      slot_state_unpack (r, &m->slot_state);
      break;
    case GATEWAY_SLOT_DONE:
      slot_done_unpack (r, &m->slot_done);
      break;
    case GATEWAY_ALIVE:
    case GATEWAY_PROBE:
      break;
    case GATEWAY_SNAPSHOT_WANT:
      m->snapshot_want = (enum SnapshotKind)read_u64 (r, SNAPSHOT_KIND_MAX);
      break;
    case GATEWAY_DIGESTS:
      m->digests.items = digests_unpack (r, ctx, &m->digests.n_items);
      break;
    case GATEWAY_USAGES:
      uses_unpack (r, ctx, &m->usages);
      break;
    case GATEWAY_PACES:
      paces_unpack (r, ctx, &m->paces);
      break;
    case GATEWAY_SUSPECTS:
      suspects_unpack (r, ctx, &m->suspects);
      break;
    case GATEWAY_QUOTA_REQUEST:
      quota_ask_unpack (r, &m->quota_ask);
      break;
    case GATEWAY_QUOTA_GRANT:
      quota_grant_unpack (r, &m->quota_grant);
      break;
    case GATEWAY_QUOTA_RETURN:
      quota_return_unpack (r, &m->quota_return);
      break;
    default:
      r->failed = true;
    }
}

int32_t
gateway_message_unpack (TALLOC_CTX *ctx,
                        const uint8_t *bytes,
                        size_t n_bytes,
                        struct GatewayMessage **message)
{
  struct PackReader reader;
  struct GatewayMessage *m = talloc_zero (ctx, struct GatewayMessage);
  void *opened = m != NULL ? pack_open (m, bytes, n_bytes, &reader) : NULL;

  *message = NULL;
  if (opened == NULL)
    goto fail;
  m->kind = (enum GatewayKind)read_u64 (&reader, GATEWAY_KIND_MAX);
  if (reader.failed || !message_may_have_items (m->kind, reader.n_items))
    goto fail;
  message_unpack_body (&reader, m, m);
  if (read_end (&reader) != ERROR_NONE)
    goto fail;
  talloc_free (opened);
  *message = m;
  return ERROR_NONE;

fail:
  talloc_free (m);
  return ERROR_INVALID;
}
