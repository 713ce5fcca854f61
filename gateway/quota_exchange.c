#include "quota_exchange.h"

#include "quota_members.h"
#include "quotas.h"
#include "relay.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/customers/quota_lease.h>
#include <buckthornhead/log.h>

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

enum
{
  CHECK_INTERVAL_MS = 100, /* between two reads of the set of gateways */
  /* A gateway whose loop was blocked for this long may have been replaced as an owner. */
  PAUSED_MS = 500,
  /* After a pause, peers' messages that wait in the sockets are read within this time. */
  RESUMED_WAIT_MS = 400,
  /* An owner responds within a few milliseconds; as for the owners of slots. */
  OWNER_TIMEOUT_MS = 60,
  ANSWER_TIMEOUT_MS = 200,
  /* A grant or a turn that is used later than this after its time counts as lost. */
  GRANT_LATE_MS = 100,
  LOGGED_FROM_PERMILLE = 700 /* fraction of a limit from which on admissions are logged */
};

enum WaitStage
{
  WAIT_FIRST,  /* the owner was asked */
  WAIT_SECOND, /* the next gateway was asked, too */
  WAIT_TURN    /* a token was granted for a later time */
};

/* A request that waits for a token. */
struct QuotaWait
{
  struct QuotaExchange *exchange;
  struct Request *request;
  uint64_t id;
  enum QuotaRequestKind kind;
  enum WaitStage stage;
  char owner[NAME_MAX_BYTES + 1]; /* the gateway that was asked first */
  int64_t requested_ms;
  int64_t turn_ms; /* WAIT_TURN only: when the token may be used */
  uint32_t used_permille;
  struct Timer *timer;
  UT_hash_handle hh;
};

struct QuotaExchange
{
  struct Front *front;
  struct QuotaOwner *owner; /* buckets of the customers that this gateway owns */
  struct QuotaLeases *leases;
  struct QuotaMembers *members;
  struct QuotaWait *waits; /* by id */
  uint32_t window_ms;
  int64_t checked_ms; /* last check of the set of gateways */
  int64_t resumed_ms; /* end of the last pause; 0: none */
};

static int64_t
exchange_now_ms (const struct QuotaExchange *exchange)
{
  return timer_now_ms (exchange->front->node->timers);
}

/* The set of gateways */

/* Returns true if the set of gateways has changed. */
static bool
exchange_check (struct QuotaExchange *exchange, int64_t now_ms)
{
  int64_t since_ms = now_ms - exchange->checked_ms;
  bool changed;

  if (since_ms > PAUSED_MS)
    {
      exchange->resumed_ms = now_ms;
      quota_owner_empty (exchange->owner, now_ms);
      log_event (LOG_LEVEL_WARNING, "quota_buckets_emptied", NULL,
                 "if it recurs, find what pauses the process",
                 "no event was handled for %lld ms: other gateways may have granted meanwhile",
                 (long long)since_ms);
    }
  exchange->checked_ms = now_ms;
  changed = quota_members_refresh (exchange->members, now_ms);
  quota_owner_set_share (exchange->owner, quota_members_share (exchange->members), now_ms);
  return changed;
}

/* Messages and timers may be handled after a pause before the timer of the check. */
static void
exchange_check_pause (struct QuotaExchange *exchange, int64_t now_ms)
{
  if (now_ms - exchange->checked_ms > PAUSED_MS)
    exchange_check (exchange, now_ms);
}

/* Decides on tokens of a customer that this gateway owns. */
static struct QuotaGrant
exchange_decide (struct QuotaExchange *exchange,
                 const struct QuotaAsk *ask,
                 int64_t owned_since_ms,
                 int64_t now_ms)
{
  if (quota_owner_take_over (exchange->owner, ask->customer, owned_since_ms))
    log_event (LOG_LEVEL_INFO, "quota_owner_changed", NULL, NULL,
               "this gateway grants the limit of %s, beginning with no tokens %lld ms ago",
               ask->customer, (long long)(now_ms - owned_since_ms));
  return quota_owner_decide (exchange->owner, ask, now_ms);
}

/* Waiting */

static int
wait_free (struct QuotaWait *wait)
{
  HASH_DEL (wait->exchange->waits, wait);
  wait->request->quota_wait = NULL;
  if (wait->stage == WAIT_TURN)
    quota_exchange_refund (wait->exchange, wait->request->customer.name);
  return 0;
}

/* Returns NULL when out of memory. */
static struct QuotaWait *
wait_new (struct QuotaExchange *exchange, struct Request *request, enum QuotaRequestKind kind)
{
  struct QuotaWait *wait = talloc_zero (request, struct QuotaWait);

  if (wait == NULL)
    return NULL;
  wait->exchange = exchange;
  wait->request = request;
  wait->kind = kind;
  wait->id = node_next_id (exchange->front->node);
  HASH_ADD (hh, exchange->waits, id, sizeof wait->id, wait);
  talloc_set_destructor (wait, wait_free);
  request->quota_wait = wait;
  return wait;
}

static void
wait_on_timer (void *data);

static void
wait_arm (struct QuotaWait *wait, int64_t delay_ms)
{
  TALLOC_FREE (wait->timer);
  wait->timer =
      timer_subscribe (wait, wait->exchange->front->node->timers, delay_ms, 0, wait_on_timer, wait);
}

static struct QuotaAsk
wait_ask (const struct QuotaWait *wait)
{
  const char *customer = wait->request->customer.name;
  struct QuotaAsk ask = { .id = wait->id, .kind = wait->kind };

  ask.n_wanted = quota_leases_wanted (wait->exchange->leases, customer, wait->kind,
                                      exchange_now_ms (wait->exchange));
  snprintf (ask.customer, sizeof ask.customer, "%s", customer);
  return ask;
}

static void
request_log_admitted (const struct Request *request, uint32_t used_permille, const char *owner)
{
  if (used_permille < LOGGED_FROM_PERMILLE)
    return;
  log_request (LOG_LEVEL_INFO, "admitted_near_limit", request->caller.id, request->caller.program,
               "customer %s: %u of 1000 of its tokens spent, granted by %s, %lld ms after arrival",
               request->customer.name, used_permille, owner,
               (long long)(timer_now_ms (request->front->node->timers) - request->arrived_ms));
}

static void
exchange_reject (struct QuotaExchange *exchange,
                 struct Request *request,
                 const struct QuotaGrant *grant,
                 const char *owner)
{
  char detail[192];

  counter_add (COUNTER_REQUESTS_OVER_LIMIT, 1);
  counter_add (COUNTER_QUOTA_REJECTED, 1);
  if (quota_leases_note_rejected (exchange->leases, request->customer.name, exchange->window_ms,
                                  exchange_now_ms (exchange)))
    log_event (LOG_LEVEL_NOTICE, "customer_over_limit", NULL,
               "raise the customer's limit, or inform the customer",
               "%s: %u of 1000 of its tokens spent at its owner %s, %u requests per program",
               request->customer.name, grant->used_permille, owner, grant->program_size);
  snprintf (detail, sizeof detail,
            "customer %s: %u of 1000 of its tokens spent at its owner %s, next in %u ms",
            request->customer.name, grant->used_permille, owner, grant->wait_ms);
  request_reject_over_limit (request, grant->wait_ms, detail);
}

/* Applies a response. Returns true if the request may pass now; otherwise it waits or is freed. */
static bool
exchange_apply (struct QuotaExchange *exchange,
                struct QuotaWait *wait,
                const struct QuotaGrant *grant,
                const char *owner)
{
  struct Request *request = wait->request;
  int64_t now_ms = exchange_now_ms (exchange);

  if (grant->n_granted == 0)
    {
      exchange_reject (exchange, request, grant, owner);
      return false;
    }
  counter_add (COUNTER_QUOTA_GRANTED, grant->n_granted);
  if (grant->n_granted > 1)
    quota_leases_add (exchange->leases, request->customer.name, wait->kind, grant->n_granted - 1,
                      wait->requested_ms + grant->valid_ms);
  wait->used_permille = grant->used_permille;
  if (grant->wait_ms > 0)
    {
      wait->stage = WAIT_TURN;
      wait->turn_ms = now_ms + grant->wait_ms;
      wait_arm (wait, grant->wait_ms);
      return false;
    }
  request->admitted_ms = now_ms;
  request_log_admitted (request, grant->used_permille, owner);
  talloc_free (wait);
  return true;
}

static void
wait_fail (struct QuotaWait *wait)
{
  char detail[NAME_MAX_BYTES + 64];

  counter_add (COUNTER_QUOTA_TIMEOUTS, 1);
  snprintf (detail, sizeof detail, "no response from %s, which owns the customer's limit",
            wait->owner);
  request_fail (wait->request, FAILURE_UNCERTAIN, detail);
}

/* Asks the owner of the customer. Returns true if the request may pass now. */
static bool
wait_ask_first (struct QuotaWait *wait)
{
  struct QuotaExchange *exchange = wait->exchange;
  struct GatewayMessage message = { .kind = GATEWAY_QUOTA_REQUEST };
  struct QuotaOwners owners;
  struct QuotaGrant grant;

  /* A late response to an earlier request must not be applied to this request. */
  HASH_DEL (exchange->waits, wait);
  wait->id = node_next_id (exchange->front->node);
  HASH_ADD (hh, exchange->waits, id, sizeof wait->id, wait);
  wait->requested_ms = exchange_now_ms (exchange);
  wait->stage = WAIT_FIRST;
  owners = quota_members_owners (exchange->members, wait->request->customer.name);
  if (owners.first == NULL)
    {
      request_fail (wait->request, FAILURE_UNCERTAIN, "no gateway can own the customer's limit");
      return false;
    }
  snprintf (wait->owner, sizeof wait->owner, "%s", owners.first);
  message.quota_ask = wait_ask (wait);
  counter_add (COUNTER_QUOTA_REQUESTED, 1);
  if (owners.is_own)
    {
      message.quota_ask.n_wanted = 1;
      grant =
          exchange_decide (exchange, &message.quota_ask, owners.owned_since_ms, wait->requested_ms);
      return exchange_apply (exchange, wait, &grant, wait->owner);
    }
  /* Without a link the next gateway is asked at once. */
  wait_arm (wait, node_send (exchange->front->node, wait->owner, &message) == ERROR_NONE
                      ? OWNER_TIMEOUT_MS
                      : 0);
  return false;
}

/* Asks the next gateway by hash when the owner has not responded. If there is none, or it is this
 * gateway, which considers the owner live, the request is sent to the owner through another
 * gateway. */
static void
wait_ask_second (struct QuotaWait *wait)
{
  struct Node *node = wait->exchange->front->node;
  struct QuotaOwners owners =
      quota_members_owners (wait->exchange->members, wait->request->customer.name);
  struct GatewayMessage message = { .kind = GATEWAY_QUOTA_REQUEST };

  wait->stage = WAIT_SECOND;
  message.quota_ask = wait_ask (wait);
  log_request (LOG_LEVEL_INFO, "quota_owner_silent", wait->request->caller.id,
               wait->request->caller.program, "%s owns the limit of %s: %s is asked", wait->owner,
               wait->request->customer.name, owners.second != NULL ? owners.second : "no other");
  if (owners.second == NULL || strcmp (owners.second, node->settings->instance) == 0)
    relay_send (node, wait->owner, &message);
  else
    node_send (node, owners.second, &message);
  wait_arm (wait, wait->requested_ms + ANSWER_TIMEOUT_MS - exchange_now_ms (wait->exchange));
}

static bool
wait_owner_changed (const struct QuotaWait *wait)
{
  struct QuotaOwners owners =
      quota_members_owners (wait->exchange->members, wait->request->customer.name);

  return owners.first != NULL && strcmp (owners.first, wait->owner) != 0;
}

static void
wait_ask_again (struct QuotaWait *wait)
{
  struct Request *request = wait->request;

  if (wait_ask_first (wait))
    front_dispatch (request);
}

/* Called when a granted token may be used. */
static void
wait_take_turn (struct QuotaWait *wait)
{
  struct Request *request = wait->request;
  int64_t now_ms = exchange_now_ms (wait->exchange);

  /* A token that is used much later than granted would count in another window. */
  if (now_ms - wait->turn_ms > GRANT_LATE_MS)
    {
      wait_ask_again (wait);
      return;
    }
  request->admitted_ms = now_ms;
  request_log_admitted (request, wait->used_permille, wait->owner);
  wait->stage = WAIT_FIRST; /* the token is used: it is not returned */
  talloc_free (wait);
  front_dispatch (request);
}

static void
wait_on_timer (void *data)
{
  struct QuotaWait *wait = data;

  exchange_check_pause (wait->exchange, exchange_now_ms (wait->exchange));
  wait->timer = NULL;
  if (wait->stage == WAIT_TURN)
    wait_take_turn (wait);
  else if (wait_owner_changed (wait))
    wait_ask_again (wait);
  else if (wait->stage == WAIT_FIRST)
    wait_ask_second (wait);
  else
    wait_fail (wait);
}

/* Sends the waiting requests whose owner has changed to the new one. */
static void
exchange_ask_again (struct QuotaExchange *exchange)
{
  struct QuotaWait *wait, *next;

  HASH_ITER (hh, exchange->waits, wait, next)
  {
    if (wait->stage != WAIT_TURN && wait_owner_changed (wait))
      wait_ask_again (wait);
  }
}

bool
quota_exchange_must_wait (struct QuotaExchange *exchange)
{
  int64_t now_ms = exchange_now_ms (exchange);

  exchange_check_pause (exchange, now_ms);
  if (quota_members_known (exchange->members) == 1)
    return front_is_starting (exchange->front);
  return exchange->resumed_ms > 0 && now_ms - exchange->resumed_ms < RESUMED_WAIT_MS
         && quota_members_is_isolated (exchange->members);
}

bool
quota_exchange_admit (struct QuotaExchange *exchange,
                      struct Request *request,
                      enum QuotaRequestKind kind)
{
  int64_t now_ms = exchange_now_ms (exchange);
  struct QuotaWait *wait;

  exchange_check_pause (exchange, now_ms);
  if (request->customer.rate_per_s <= 0)
    return true;
  /* Not logged: leases are granted only while half of the customer's tokens are left. */
  if (quota_leases_take (exchange->leases, request->customer.name, kind, now_ms))
    {
      request->admitted_ms = now_ms;
      return true;
    }
  wait = wait_new (exchange, request, kind);
  if (wait == NULL)
    {
      request_fail (request, FAILURE_UNCERTAIN, "out of memory for the customer's limit");
      return false;
    }
  return wait_ask_first (wait);
}

static void
exchange_return (struct QuotaExchange *exchange, const char *to, const struct QuotaReturn *returned)
{
  struct GatewayMessage message = { .kind = GATEWAY_QUOTA_RETURN, .quota_return = *returned };

  counter_add (COUNTER_QUOTA_RETURNED, returned->n_tokens);
  node_send (exchange->front->node, to, &message);
}

void
quota_exchange_refund (struct QuotaExchange *exchange, const char *customer)
{
  struct QuotaOwners owners = quota_members_owners (exchange->members, customer);
  struct QuotaReturn returned = { .n_tokens = 1 };

  snprintf (returned.customer, sizeof returned.customer, "%s", customer);
  if (owners.is_own)
    quota_owner_return (exchange->owner, &returned, exchange_now_ms (exchange));
  else if (owners.first != NULL)
    exchange_return (exchange, owners.first, &returned);
}

/* Messages */

static void
exchange_on_grant (struct QuotaExchange *exchange,
                   const char *sender,
                   const struct QuotaGrant *grant)
{
  struct QuotaWait *wait = NULL;
  struct QuotaReturn returned = { .n_tokens = grant->n_granted };
  struct Request *request;

  HASH_FIND (hh, exchange->waits, &grant->id, sizeof grant->id, wait);
  if (wait == NULL || wait->stage == WAIT_TURN)
    {
      /* The request has ended, or another gateway has granted its token. */
      memcpy (returned.customer, grant->customer, sizeof returned.customer);
      if (grant->n_granted > 0)
        exchange_return (exchange, sender, &returned);
      return;
    }
  /* After a suspension of this gateway the response is old: its timer asks again. */
  if (exchange_now_ms (exchange) - wait->requested_ms > ANSWER_TIMEOUT_MS + GRANT_LATE_MS)
    return;
  request = wait->request;
  if (exchange_apply (exchange, wait, grant, sender))
    front_dispatch (request);
}

static void
exchange_on_ask (struct QuotaExchange *exchange,
                 uint64_t link,
                 const char *sender,
                 const struct GatewayMessage *message)
{
  struct Node *node = exchange->front->node;
  const struct QuotaAsk *ask = &message->quota_ask;
  struct QuotaOwners owners = quota_members_owners (exchange->members, ask->customer);
  struct GatewayMessage response = { .kind = GATEWAY_QUOTA_GRANT };

  if (owners.is_own)
    {
      response.quota_grant =
          exchange_decide (exchange, ask, owners.owned_since_ms, exchange_now_ms (exchange));
      node_answer (node, link, &response);
    }
  else if (owners.first != NULL && !relay_is_link (link))
    relay_forward (node, owners.first, sender, message);
}

void
quota_exchange_on_message (struct QuotaExchange *exchange,
                           uint64_t link,
                           const char *sender,
                           const struct GatewayMessage *message)
{
  int64_t now_ms = exchange_now_ms (exchange);

  exchange_check_pause (exchange, now_ms);
  switch (message->kind)
    {
    case GATEWAY_QUOTA_REQUEST:
      exchange_on_ask (exchange, link, sender, message);
      break;
    case GATEWAY_QUOTA_GRANT:
      exchange_on_grant (exchange, sender, &message->quota_grant);
      break;
    case GATEWAY_QUOTA_RETURN:
      quota_owner_return (exchange->owner, &message->quota_return, now_ms);
      break;
    default:
      break;
    }
}

/* Start */

static void
exchange_on_timer (void *data)
{
  struct QuotaExchange *exchange = data;

  if (exchange_check (exchange, exchange_now_ms (exchange)))
    exchange_ask_again (exchange);
}

void
quota_exchange_configure (struct QuotaExchange *exchange)
{
  int64_t now_ms = exchange_now_ms (exchange);
  const struct RouteTable *table = exchange->front->table;

  quota_leases_clear (exchange->leases);
  quota_members_clear_owners (exchange->members);
  exchange_check (exchange, now_ms);
  quota_owner_configure (exchange->owner, table != NULL ? table->customers : NULL, now_ms);
}

/* Requests that still wait are freed later: their waits and timers must not refer to the exchange.
 */
static int
exchange_free (struct QuotaExchange *exchange)
{
  struct QuotaWait *wait, *next;

  HASH_ITER (hh, exchange->waits, wait, next)
  {
    HASH_DEL (exchange->waits, wait);
    talloc_set_destructor (wait, NULL);
    wait->request->quota_wait = NULL;
    talloc_free (wait);
  }
  return 0;
}

struct QuotaExchange *
quota_exchange_new (TALLOC_CTX *ctx, struct Front *front, const struct QuotaRules *rules)
{
  struct QuotaExchange *exchange = talloc_zero (ctx, struct QuotaExchange);

  if (exchange == NULL)
    return NULL;
  exchange->front = front;
  exchange->window_ms = rules->window_ms;
  exchange->checked_ms = exchange_now_ms (exchange);
  exchange->owner = quota_owner_new (exchange, rules, exchange->checked_ms);
  exchange->leases = quota_leases_new (exchange);
  exchange->members = quota_members_new (exchange, front);
  if (exchange->owner == NULL || exchange->leases == NULL || exchange->members == NULL)
    {
      talloc_free (exchange);
      return NULL;
    }
  talloc_set_destructor (exchange, exchange_free);
  timer_subscribe (exchange, front->node->timers, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS,
                   exchange_on_timer, exchange);
  return exchange;
}

/* Owner's view */

static json_t *
view_json (const char *customer, const char *owner, const struct QuotaOwnerView *view)
{
  return json_pack ("{s:s, s:s, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:I, s:I}", "customer", customer,
                    "owner", owner, "rate_per_s", view->rate_per_s, "burst", view->burst,
                    "request_tokens", view->request_tokens, "request_capacity",
                    view->request_capacity, "program_tokens", view->program_tokens,
                    "program_capacity", view->program_capacity, "program_needs_requests",
                    view->program_size, "granted", (json_int_t)view->n_granted, "rejected",
                    (json_int_t)view->n_rejected);
}

static json_t *
other_json (const struct Customer *customer, const char *owner)
{
  return json_pack ("{s:s, s:s, s:f, s:f}", "customer", customer->name, "owner", owner,
                    "rate_per_s", customer->rate_per_s, "burst", customer->burst);
}

static json_t *
customer_json (struct QuotaExchange *exchange, const struct Customer *customer)
{
  struct QuotaOwners owners = quota_members_owners (exchange->members, customer->name);
  const char *owner = owners.first != NULL ? owners.first : "";
  struct QuotaOwnerView view;

  if (owners.is_own
      && quota_owner_view (exchange->owner, customer->name, exchange_now_ms (exchange), &view))
    return view_json (customer->name, owner, &view);
  return other_json (customer, owner);
}

char *
quota_exchange_render (struct QuotaExchange *exchange, TALLOC_CTX *ctx)
{
  const struct RouteTable *table = exchange->front->table;
  size_t n =
      table != NULL && table->customers != NULL ? customer_table_count (table->customers) : 0;
  json_t *list = json_array ();
  json_t *body =
      json_pack ("{s:f, s:o}", "share", quota_members_share (exchange->members), "customers", list);
  char *text, *copy;

  for (size_t i = 0; i < n; i++)
    {
      const struct Customer *customer = customer_table_at (table->customers, i);

      if (customer->rate_per_s > 0)
        json_array_append_new (list, customer_json (exchange, customer));
    }
  text = json_dumps (body, JSON_COMPACT | JSON_REAL_PRECISION (6));
  copy = text != NULL ? talloc_strdup (ctx, text) : NULL;
  free (text);
  json_decref (body);
  return copy;
}
