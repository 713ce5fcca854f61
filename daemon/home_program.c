#include "home_internal.h"

#include <buckthornhead/counter.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

enum
{
  GRANT_DIVISOR = 20 /* divides the budget for grant_tokens, a takeover's charge per branch */
};

/* A request whose response is sent once its record is durable. */
struct HomePending
{
  struct Home *home;
  uint64_t link, id;
  bool first_attempt;
  enum EndReason reason;
  bool exists;
  char program[PROGRAM_ID_MAX_BYTES + 1];
};

static json_t *
program_json (const struct LedgerProgramView *view)
{
  static const char *const reasons[] = { "",         "done",    "cancelled",  "over_budget",
                                         "deadline", "looping", "caller_gone" };
  char digest[2 * DIGEST_BYTES + 1];
  json_t *json;

  for (size_t i = 0; i < DIGEST_BYTES; i++)
    snprintf (digest + 2 * i, 3, "%02x", view->history_digest[i]);
  json = json_pack ("{s:s,s:s,s:s,s:I,s:I,s:I,s:i,s:i,s:i,s:s,s:I,s:s}", "program", view->program,
                    "service", view->service, "parent", view->parent, "budget_tokens",
                    (json_int_t)view->budget_tokens, "charged_tokens",
                    (json_int_t)view->charged_tokens, "reserved_tokens",
                    (json_int_t)view->reserved_tokens, "turns", (int)view->turns, "turn_limit",
                    (int)view->turn_limit, "in_flight", (int)view->in_flight, "state",
                    view->ended ? reasons[view->end_reason] : "running", "created_unix_ms",
                    (json_int_t)view->created_unix_ms, "history_digest", digest);
  if (view->deadline_unix_ms > 0)
    json_object_set_new (json, "deadline_unix_ms", json_integer (view->deadline_unix_ms));
  if (view->n_unreleased_servers > 0)
    json_object_set_new (json, "backends_to_release", json_integer (view->n_unreleased_servers));
  return json;
}

static void
home_reply_json_value (struct Home *home, uint64_t link, uint64_t id, uint32_t status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  home_reply_json (home, link, id, status, text);
  free (text);
  json_decref (json);
}

static void
home_refuse_unknown_program (struct Home *home, uint64_t link, const struct PeerRequest *request)
{
  struct Fault fault;

  fault_set (&fault, ERROR_NOT_FOUND, "create the program first", "program %s is not known",
             request->call.key.program);
  home_refuse (home, link, request->id, request->first_attempt, &fault, 0, 0);
}

static struct HomePending *
home_pending_new (struct Home *home, uint64_t link, const struct PeerRequest *request)
{
  struct HomePending *pending = talloc_zero (home->incarnation_ctx, struct HomePending);

  pending->home = home;
  pending->link = link;
  pending->id = request->id;
  pending->first_attempt = request->first_attempt;
  snprintf (pending->program, sizeof pending->program, "%s", request->call.key.program);
  return pending;
}

static void
home_pending_fail (struct HomePending *pending, int32_t error)
{
  struct PeerResponse reply = { .id = pending->id };

  reply.outcome.error =
      fault_set (&reply.fault, error, NULL, "the journal did not accept the record");
  reply.outcome.ran = error == ERROR_PLATFORM_DOWN ? RAN_NO : RAN_MAYBE;
  home_reply (pending->home, pending->link, &reply);
  talloc_free (pending);
}

static void
home_on_created (void *data, int32_t error)
{
  struct HomePending *pending = data;
  json_t *json;

  if (error != ERROR_NONE)
    {
      home_pending_fail (pending, error);
      return;
    }
  if (!pending->exists)
    {
      counter_add (COUNTER_PROGRAMS_CREATED, 1);
      pending->home->core->outcomes.created++;
    }
  json = json_pack ("{s:s,s:s,s:b}", "program", pending->program, "home",
                    pending->home->core->settings->caller_listen, "existed", pending->exists);
  home_reply_json_value (pending->home, pending->link, pending->id, pending->exists ? 200 : 201,
                         json);
  talloc_free (pending);
}

static uint64_t
json_number (const json_t *json, const char *name, uint64_t fallback)
{
  const json_t *value = json_object_get (json, name);

  return json_is_integer (value) ? (uint64_t)json_integer_value (value) : fallback;
}

static uint64_t
min_u64 (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

/* Fills in the record of a new program: the caller's settings, capped by its service's profile. */
static void
home_program_record (struct Home *home,
                     const struct Call *call,
                     const json_t *json,
                     struct Record *record)
{
  struct Profile profile;
  uint64_t deadline_ms;
  const char *parent = json_string_value (json_object_get (json, "parent"));

  fleet_profile (home->core->fleet, call->service, &profile);
  memset (record, 0, sizeof *record);
  record->kind = RECORD_PROGRAM;
  record->partition = home_partition (home, call->key.program);
  homes_owns (home->homes, record->partition, &record->epoch);
  snprintf (record->program.program, sizeof record->program.program, "%s", call->key.program);
  snprintf (record->program.service, sizeof record->program.service, "%s", call->service);
  snprintf (record->program.parent, sizeof record->program.parent, "%s",
            parent != NULL ? parent : "");
  record->program.budget_tokens =
      min_u64 (json_number (json, "budget_tokens", profile.program_budget_tokens),
               profile.program_budget_tokens);
  record->program.turn_limit =
      (uint32_t)min_u64 (json_number (json, "turn_limit", profile.turn_limit), profile.turn_limit);
  record->program.created_unix_ms = core_unix_ms ();
  deadline_ms = json_number (json, "deadline_ms", (uint64_t)profile.program_deadline_s * 1000);
  if (profile.program_deadline_s > 0)
    deadline_ms = min_u64 (deadline_ms, (uint64_t)profile.program_deadline_s * 1000);
  if (deadline_ms > 0)
    record->program.deadline_unix_ms = record->program.created_unix_ms + (int64_t)deadline_ms;
  record->program.grant_tokens =
      min_u64 (profile.reserve_tokens_max, record->program.budget_tokens / GRANT_DIVISOR);
  memcpy (record->program.create_digest, call->digest, DIGEST_BYTES);
}

/* Adds a program to the ledger, or refuses the request. A program that exists already is accepted
 * during an outage, too, so that a resend gets the stored response. */
static bool
home_add_to_ledger (struct Home *home,
                    uint64_t link,
                    const struct PeerRequest *request,
                    const struct Record *record,
                    bool *exists)
{
  struct Fault fault;
  uint32_t retry_after_ms = 0;

  if (ledger_create_program (home->ledger, record, exists, &fault) == ERROR_NONE)
    {
      if (*exists || journal_is_writable (home->journal))
        return true;
      ledger_abandon_program (home->ledger, record->program.program);
      fault_set (&fault, ERROR_PLATFORM_DOWN, NULL,
                 "the platform's key-value service does not accept journal writes");
      retry_after_ms = RETRY_AFTER_OUTAGE_MS;
    }
  home_refuse (home, link, request->id, request->first_attempt, &fault, retry_after_ms, 0);
  return false;
}

void
home_on_create (struct Home *home, uint64_t link, const struct PeerRequest *request)
{
  json_t *json = json_loadb ((const char *)request->call.body, request->call.body_bytes, 0, NULL);
  struct HomePending *pending;
  struct Record record;
  bool exists = false;

  home_program_record (home, &request->call, json, &record);
  json_decref (json);
  if (!home_add_to_ledger (home, link, request, &record, &exists))
    return;
  pending = home_pending_new (home, link, request);
  pending->exists = exists;
  if (exists)
    home_on_created (pending, ERROR_NONE);
  else
    home_write (home, &record, record.program.program, home_on_created, pending);
}

static void
home_on_lone_created (void *data, int32_t error)
{
  struct HomePending *pending = data;

  if (error == ERROR_NONE)
    pending->home->core->outcomes.created++;
  talloc_free (pending);
}

/* The call starts before its program's record is durable: its own records follow that one in the
 * journal. */
void
home_on_lone (struct Home *home, uint64_t link, const struct PeerRequest *request)
{
  struct Record record;
  bool exists = false;

  home_program_record (home, &request->call, NULL, &record);
  memset (record.program.create_digest, 0, DIGEST_BYTES);
  record.program.turn_limit = 1;
  if (!home_add_to_ledger (home, link, request, &record, &exists))
    return;
  if (!exists)
    home_write (home, &record, record.program.program, home_on_lone_created,
                home_pending_new (home, link, request));
  home_on_call (home, link, request);
}

void
home_on_view (struct Home *home, uint64_t link, const struct PeerRequest *request)
{
  struct LedgerProgramView view;

  if (ledger_view_program (home->ledger, request->call.key.program, &view))
    home_reply_json_value (home, link, request->id, 200, program_json (&view));
  else
    home_refuse_unknown_program (home, link, request);
}

/* Parses bytes as JSON; returns them as a JSON string when they are not valid JSON. */
static json_t *
json_from_bytes (const uint8_t *bytes, size_t n_bytes)
{
  json_t *json = json_loadb ((const char *)bytes, n_bytes, JSON_DECODE_ANY, NULL);

  if (json == NULL)
    json = json_stringn ((const char *)bytes, n_bytes);
  return json != NULL ? json : json_null ();
}

static void
home_add_turn (void *data,
               const struct CallKey *key,
               const struct Outcome *outcome,
               const uint8_t *request,
               size_t request_bytes)
{
  json_t *turns = data;
  json_t *turn = json_pack ("{s:s,s:I,s:s,s:i,s:s,s:I}", "branch", key->branch, "sequence",
                            (json_int_t)key->sequence, "ran", ran_name (outcome->ran), "status",
                            (int)outcome->status, "backend", outcome->backend, "charge_tokens",
                            (json_int_t)outcome->charge_tokens);

  json_object_set_new (turn, "request", json_from_bytes (request, request_bytes));
  json_object_set_new (turn, "answer",
                       json_from_bytes (outcome->response, outcome->response_bytes));
  json_array_append_new (turns, turn);
}

void
home_on_history (struct Home *home, uint64_t link, const struct PeerRequest *request)
{
  struct LedgerProgramView view;
  json_t *json, *turns;

  if (!ledger_view_program (home->ledger, request->call.key.program, &view))
    {
      home_refuse_unknown_program (home, link, request);
      return;
    }
  turns = json_array ();
  ledger_each_turn (home->ledger, request->call.key.program, home_add_turn, turns);
  json = program_json (&view);
  json_object_set_new (json, "history", turns);
  home_reply_json_value (home, link, request->id, 200, json);
}

static void
home_count_end (struct Home *home, const struct LedgerProgramView *view, enum EndReason reason)
{
  struct PeerOutcomes *outcomes = &home->core->outcomes;
  uint64_t duration_ms = (uint64_t)(core_unix_ms () - view->created_unix_ms);

  switch (reason)
    {
    case END_DONE:
      outcomes->done++;
      outcomes->program_ms += duration_ms;
      counter_add (COUNTER_PROGRAMS_DONE, 1);
      counter_add (COUNTER_PROGRAM_MS, duration_ms);
      break;
    case END_OVER_BUDGET:
    case END_TURN_LIMIT:
      outcomes->over_budget++;
      counter_add (COUNTER_PROGRAMS_OVER_BUDGET, 1);
      break;
    case END_DEADLINE:
      outcomes->late++;
      counter_add (COUNTER_PROGRAMS_LATE, 1);
      break;
    case END_CANCELLED:
    case END_CALLER_DISCONNECTED:
      outcomes->cancelled++;
      counter_add (COUNTER_PROGRAMS_CANCELLED, 1);
      break;
    }
}

static void
home_on_ended (void *data, int32_t error)
{
  struct HomePending *pending = data;
  struct Home *home = pending->home;
  struct LedgerProgramView view;

  if (error != ERROR_NONE)
    {
      if (pending->link != PEER_LINK_NONE)
        home_pending_fail (pending, error);
      else
        talloc_free (pending);
      return;
    }
  if (ledger_view_program (home->ledger, pending->program, &view))
    {
      home_count_end (home, &view, pending->reason);
      if (pending->link != PEER_LINK_NONE)
        home_reply_json_value (home, pending->link, pending->id, 200, program_json (&view));
    }
  home_cancel_program (home, pending->program);
  placement_forget (home->placement, pending->program);
  home_history_forget (home, pending->program);
  home_uncertain_forget (home, pending->program);
  talloc_free (pending);
}

void
home_end_program (struct Home *home, const char *program, enum EndReason reason)
{
  struct PeerRequest request = { 0 };
  struct HomePending *pending;
  struct Record record;

  if (ledger_end_program (home->ledger, program, reason, &record) != ERROR_NONE)
    return;
  snprintf (request.call.key.program, sizeof request.call.key.program, "%s", program);
  pending = home_pending_new (home, PEER_LINK_NONE, &request);
  pending->reason = reason;
  home_write (home, &record, program, home_on_ended, pending);
}

void
home_on_end (struct Home *home, uint64_t link, const struct PeerRequest *request)
{
  struct HomePending *pending;
  struct Record record;
  enum EndReason reason =
      strcmp (request->call.target, "cancelled") == 0 ? END_CANCELLED : END_DONE;

  switch (ledger_end_program (home->ledger, request->call.key.program, reason, &record))
    {
    case ERROR_NONE:
      pending = home_pending_new (home, link, request);
      pending->reason = reason;
      home_write (home, &record, request->call.key.program, home_on_ended, pending);
      break;
    case ERROR_ENDED: /* a resend: respond with the program's state */
      home_on_view (home, link, request);
      break;
    default:
      home_refuse_unknown_program (home, link, request);
      break;
    }
}

struct ProgramList
{
  json_t *programs;
  const char *service;
};

static void
home_add_program (void *data, const struct LedgerProgramView *view)
{
  struct ProgramList *list = data;

  if (list->service[0] == '\0' || strcmp (list->service, view->service) == 0)
    json_array_append_new (list->programs, program_json (view));
}

char *
home_list_json (struct Home *home, TALLOC_CTX *ctx, const char *service)
{
  struct ProgramList list = { json_array (), service };
  uint32_t n_partitions, n_programs;
  json_t *body;
  char *text, *copy;

  if (home->ledger != NULL)
    ledger_each_program (home->ledger, home_add_program, &list);
  home_count (home, &n_partitions, &n_programs);
  body = json_pack ("{s:i, s:o}", "partitions", (int)n_partitions, "programs", list.programs);
  text = json_dumps (body, JSON_COMPACT);
  copy = talloc_strdup (ctx, text);
  free (text);
  json_decref (body);
  return copy;
}

void
home_on_list (struct Home *home, uint64_t link, const struct PeerRequest *request)
{
  char *json = home_list_json (home, NULL, request->call.service);

  home_reply_json (home, link, request->id, 200, json);
  talloc_free (json);
}
