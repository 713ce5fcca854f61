/* Routes and services as the operators configured them: one immutable table a version.
 *
 * Pure: decoded by whoever speaks the operators' format, looked up by the gateway. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/customers/customer_table.h>
#include <buckthornhead/http_server.h>

#include <talloc.h>

enum RouteKind
{
  ROUTE_REPEATABLE, /* idempotent: may run more than once */
  ROUTE_ONCE,       /* runs at most once for each attempt of the caller */
  ROUTE_STREAM      /* the answer is a stream of events; runs at most once unless it is resumable */
};

/* A service that takes a share of a route's requests. */
struct RouteTarget
{
  char service[NAME_MAX_BYTES + 1];
  uint32_t weight;
};

struct Route
{
  char name[NAME_MAX_BYTES + 1];
  const char *host;
  const char *prefix; /* of the path, from slash to slash */
  enum RouteKind kind;
  uint32_t timeout_ms;   /* longest time that a request is kept waiting */
  uint32_t objective_ms; /* time within which an answer is worth most */
  uint32_t priority;     /* 0: the most urgent */
  uint32_t max_attempts; /* backend servers that one request may be sent to */
  bool warms_up;         /* a server that had a request's object lately is faster */
  bool resumable;        /* a stream that broke off may go on at another server */
  bool is_public;        /* no key is needed, and no customer is told to the server */
  bool keeps_turns;      /* requests are turns that carry only what is new */
  uint32_t retention_ms; /* how long a turn and its chain are kept */
  struct RouteTarget *targets;
  size_t n_targets;
};

struct Service
{
  char name[NAME_MAX_BYTES + 1];
  uint32_t connections_max; /* of each backend server, for all callers together */
  bool is_engine;
  uint32_t tokens_per_event; /* of a stream's answer; engines only */
  uint64_t capacity_tokens;  /* of one engine's memory for prompts; 0: not known */
};

struct RouteTable
{
  uint64_t version;
  struct Route *routes; /* talloc children of the table */
  size_t n_routes;
  struct RouteIndex *index; /* of .routes, by host and prefix */
  struct Service *services;
  size_t n_services;
  struct CustomerTable *customers; /* NULL: requests need no key */
  struct HttpLimits limits;
};

/* Whether a request of the route may run more than once. */
bool
route_is_idempotent (const struct Route *route);

/* Draws up the index, which belongs to ctx, once .routes is complete. ERROR_NO_MEMORY. */
int32_t
route_table_index (TALLOC_CTX *ctx, struct RouteTable *table);

/* The route of host whose prefix is the longest that begins path; NULL when there is none. host may
 * have a port, which is ignored; path may have a query. The table is indexed. */
const struct Route *
route_table_find (const struct RouteTable *table, const char *host, const char *path);

/* NULL when the table has no such service. */
const struct Service *
route_table_service (const struct RouteTable *table, const char *name);

/* The service that a request with this draw (any number) goes to, by the targets' weights. */
const char *
route_choose_service (const struct Route *route, uint64_t draw);
