#include "operator.h"

#include "entry.h"
#include "fleet.h"
#include "home.h"
#include "status.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <uthash.h>

enum
{
  GATHER_TIMEOUT_MS = 1000, /* time limit; instances that have not responded by then are left out */
  /* Delay before the instances are queried again while a partition is being handed off. */
  GATHER_RETRY_MS = 50,
  TEXT_MAX_BYTES = 256 * 1024
};

/* A query for the programs of all instances. */
struct Gather
{
  struct Operator *operators;
  struct Exchange *exchange;
  json_t *programs;
  uint32_t n_partitions; /* whose programs are in the list */
  uint32_t n_waiting;
  int64_t deadline_ms;
  struct Timer *timer;
};

/* One instance's response to it. */
struct GatherPart
{
  struct Gather *gather;
  uint64_t id;
  uint8_t *body;
  size_t body_bytes;
  UT_hash_handle by_id;
};

struct Operator
{
  struct Core *core;
  uint64_t next_id;
  struct GatherPart *parts;
};

/* A change that is being appended to the configuration log. */
struct PendingChange
{
  struct Operator *operators;
  struct Exchange *exchange;
};

static void
operator_respond_json (struct Exchange *exchange, uint32_t status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  exchange_respond (exchange, status, text, strlen (text));
  free (text);
  json_decref (json);
}

static void
operator_respond_fault (struct Exchange *exchange, const struct Fault *fault)
{
  json_t *json = json_pack ("{s:{s:s,s:s,s:s}}", "error", "kind", error_name (fault->error),
                            "message", fault->message, "remedy", fault->remedy);

  operator_respond_json (exchange, error_http_status (fault->error), json);
}

static void
gather_finish (struct Gather *gather)
{
  uint32_t n_partitions = gather->operators->core->settings->n_partitions;
  struct GatherPart *part, *next;

  HASH_ITER (by_id, gather->operators->parts, part, next)
  if (part->gather == gather)
    HASH_DELETE (by_id, gather->operators->parts, part);
  operator_respond_json (
      gather->exchange, 200,
      json_pack ("{s:o, s:i}", "programs", gather->programs, "partitions_missing",
                 gather->n_partitions < n_partitions ? (int)(n_partitions - gather->n_partitions)
                                                     : 0));
  talloc_free (gather);
}

static void
gather_on_timeout (void *data)
{
  gather_finish (data);
}

static void
gather_query (struct Gather *gather, const char *instance, const char *service)
{
  struct Operator *operators = gather->operators;
  struct PeerMessage message = { .kind = PEER_REQUEST };
  uint64_t link = peer_net_link_to (operators->core->net, instance);
  struct GatherPart *part;

  if (link == PEER_LINK_NONE)
    return;
  part = talloc_zero (gather, struct GatherPart);
  part->gather = gather;
  part->id = operators->next_id++;
  message.request.id = part->id;
  message.request.op = REQUEST_LIST;
  snprintf (message.request.call.service, sizeof message.request.call.service, "%s", service);
  if (peer_net_send (operators->core->net, link, &message) != ERROR_NONE)
    {
      talloc_free (part);
      return;
    }
  HASH_ADD (by_id, operators->parts, id, sizeof part->id, part);
  gather->n_waiting++;
}

static void
gather_query_all (struct Gather *gather)
{
  struct Operator *operators = gather->operators;
  struct TimerService *timers = operators->core->timers;
  const struct FleetMember *members;
  size_t n = fleet_members (operators->core->fleet, &members);

  for (size_t i = 0; i < n; i++)
    gather_query (gather, members[i].instance, gather->exchange->query_name);
  if (gather->n_waiting == 0)
    gather_finish (gather);
  else
    gather->timer = timer_subscribe (gather, timers, gather->deadline_ms - timer_now_ms (timers), 0,
                                     gather_on_timeout, gather);
}

static void
gather_on_retry (void *data)
{
  gather_query_all (data);
}

/* Queries the instances again while programs of some partitions are missing: during a hand-off
 * neither the old nor the new home of a partition lists them, and a program that was just created
 * would seem not to exist. */
static void
gather_on_all_answers (struct Gather *gather)
{
  struct Core *core = gather->operators->core;
  int64_t now_ms = timer_now_ms (core->timers);

  if (gather->n_partitions >= core->settings->n_partitions
      || now_ms + GATHER_RETRY_MS >= gather->deadline_ms)
    {
      gather_finish (gather);
      return;
    }
  TALLOC_FREE (gather->timer);
  json_array_clear (gather->programs);
  gather->n_partitions = 0;
  gather->timer =
      timer_subscribe (gather, core->timers, GATHER_RETRY_MS, 0, gather_on_retry, gather);
}

static void
operator_list_programs (struct Operator *operators, struct Exchange *exchange)
{
  struct Gather *gather = talloc_zero (operators, struct Gather);

  gather->operators = operators;
  gather->exchange = exchange;
  gather->programs = json_array ();
  gather->deadline_ms = timer_now_ms (operators->core->timers) + GATHER_TIMEOUT_MS;
  gather_query_all (gather);
}

bool
operator_on_chunk (struct Operator *operators, const struct PeerChunk *chunk)
{
  struct GatherPart *part;

  HASH_FIND (by_id, operators->parts, &chunk->id, sizeof chunk->id, part);
  if (part == NULL)
    return false;
  part->body = talloc_realloc (part, part->body, uint8_t, part->body_bytes + chunk->n_bytes);
  memcpy (part->body + part->body_bytes, chunk->bytes, chunk->n_bytes);
  part->body_bytes += chunk->n_bytes;
  return true;
}

bool
operator_on_response (struct Operator *operators, const struct PeerResponse *response)
{
  struct GatherPart *part;
  struct Gather *gather;
  json_t *body;

  HASH_FIND (by_id, operators->parts, &response->id, sizeof response->id, part);
  if (part == NULL)
    return false;
  gather = part->gather;
  HASH_DELETE (by_id, operators->parts, part);
  body = json_loadb ((const char *)part->body, part->body_bytes, 0, NULL);
  json_array_extend (gather->programs, json_object_get (body, "programs"));
  gather->n_partitions += (uint32_t)json_integer_value (json_object_get (body, "partitions"));
  json_decref (body);
  if (--gather->n_waiting == 0)
    gather_on_all_answers (gather);
  return true;
}

/* Requests a program's state and history from its home, in the same way as for a caller. */
static void
operator_show_program (struct Operator *operators, struct Exchange *exchange, const char *program)
{
  exchange->request.op = REQUEST_HISTORY;
  snprintf (exchange->request.call.key.program, sizeof exchange->request.call.key.program, "%s",
            program);
  entry_on_exchange (operators->core->entry, exchange);
}

static void
operator_on_change_done (void *data, int32_t error, uint64_t revision, const struct Fault *fault)
{
  struct PendingChange *pending = data;
  struct Exchange *exchange = pending->exchange;

  if (error == ERROR_NONE)
    operator_respond_json (exchange, 200, json_pack ("{s:I}", "revision", (json_int_t)revision));
  else
    operator_respond_fault (exchange, fault);
  talloc_free (pending);
}

/* Copies a text field. Returns false when it is too long, or required and missing. */
static bool
change_copy_text (const json_t *json, const char *name, bool required, char *text, size_t size)
{
  const char *value = json_string_value (json_object_get (json, name));

  text[0] = '\0';
  if (value == NULL)
    return !required;
  if (strlen (value) >= size || (required && value[0] == '\0'))
    return false;
  snprintf (text, size, "%s", value);
  return true;
}

static int32_t
change_parse (const json_t *json, struct ConfigChange *change, struct Fault *fault)
{
  const char *kind = json_string_value (json_object_get (json, "kind"));
  const json_t *expected = json_object_get (json, "expected_revision");

  memset (change, 0, sizeof *change);
  if (kind != NULL && strcmp (kind, "profile") == 0)
    change->kind = CONFIG_CHANGE_PROFILE;
  else if (kind != NULL && strcmp (kind, "service") == 0)
    change->kind = CONFIG_CHANGE_SERVICE;
  else if (kind != NULL && strcmp (kind, "drain") == 0)
    change->kind = CONFIG_CHANGE_DRAIN;
  else
    return fault_set (fault, ERROR_INVALID, "send \"profile\", \"service\" or \"drain\"",
                      "\"kind\" is not a known kind of change");
  if (!change_copy_text (json, "name", true, change->name, sizeof change->name)
      || !change_copy_text (json, "change_id", true, change->change_id, sizeof change->change_id)
      || !change_copy_text (json, "who", true, change->author, sizeof change->author)
      || !change_copy_text (json, "reason", false, change->reason, sizeof change->reason))
    return fault_set (fault, ERROR_INVALID,
                      "send name, change_id and who, each up to 64 characters",
                      "a field is missing or too long");
  change->text = json_string_value (json_object_get (json, "text"));
  if (change->text == NULL || strlen (change->text) > TEXT_MAX_BYTES)
    return fault_set (fault, ERROR_INVALID, "send \"text\", up to 256 KB",
                      "\"text\" is missing or too long");
  change->expected_revision = UINT64_MAX;
  if (json_is_integer (expected) && json_integer_value (expected) >= 0)
    change->expected_revision = (uint64_t)json_integer_value (expected);
  change->when_unix_ms = core_unix_ms ();
  return ERROR_NONE;
}

static void
operator_change (struct Operator *operators, struct Exchange *exchange)
{
  json_t *json = json_loadb ((const char *)exchange->body, exchange->body_bytes, 0, NULL);
  struct PendingChange *pending = NULL;
  struct ConfigChange change;
  struct Fault fault;
  int32_t error;

  if (!json_is_object (json))
    {
      fault_set (&fault, ERROR_INVALID, "send one JSON object", "the body is not a JSON object");
      goto reject;
    }
  if (change_parse (json, &change, &fault) != ERROR_NONE)
    goto reject;
  pending = talloc_zero (operators, struct PendingChange);
  pending->operators = operators;
  pending->exchange = exchange;
  error = config_log_apply (operators->core->config, &change, operator_on_change_done, pending);
  json_decref (json);
  if (error == ERROR_NONE)
    return;
  fault_set (&fault, error, NULL, "the change could not be applied");
  operator_on_change_done (pending, error, 0, &fault);
  return;

reject:
  json_decref (json);
  operator_respond_fault (exchange, &fault);
}

void
operator_on_exchange (struct Operator *operators, struct Exchange *exchange)
{
  static const char programs[] = "/operator/programs/";
  struct Core *core = operators->core;
  bool post = strcmp (exchange->method, "POST") == 0;
  struct Fault fault;
  json_t *json;

  if (post && strcmp (exchange->path, "/operator/changes") == 0)
    {
      operator_change (operators, exchange);
      return;
    }
  if (!post && strcmp (exchange->path, "/operator/programs") == 0)
    {
      operator_list_programs (operators, exchange);
      return;
    }
  if (!post && strncmp (exchange->path, programs, strlen (programs)) == 0)
    {
      operator_show_program (operators, exchange, exchange->path + strlen (programs));
      return;
    }
  json = post ? NULL : status_json (core, exchange->path, exchange->query_name);
  if (json != NULL)
    {
      operator_respond_json (exchange, 200, json);
      return;
    }
  fault_set (&fault, ERROR_NOT_FOUND, NULL, "nothing found at %s", exchange->path);
  operator_respond_fault (exchange, &fault);
}

void
operator_on_disconnect (struct Operator *operators, struct Exchange *exchange)
{
  /* An operation in progress still ends the exchange, so only the HTTP side's reference is
   * released. The entry ends an exchange that was passed to it. */
  if (exchange->core != NULL)
    entry_on_disconnect (operators->core->entry, exchange);
  else
    exchange_release (exchange);
}

struct Operator *
operator_new (struct Core *core)
{
  struct Operator *operators = talloc_zero (core, struct Operator);

  if (operators == NULL)
    return NULL;
  operators->core = core;
  operators->next_id = OPERATOR_ID_BASE;
  return operators;
}
