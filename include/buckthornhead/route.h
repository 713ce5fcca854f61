/* Routes and services as configured by the operators, in one immutable table per version.
 *
 * The platform's dialect builds the table and the gateway looks up routes in it. Does no I/O. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/customers/customer_table.h>
#include <buckthornhead/http_server.h>

#include <talloc.h>

enum RouteKind
{
  ROUTE_REPEATABLE, /* idempotent: may run more than once */
  ROUTE_ONCE,       /* runs at most once per attempt of the caller */
  ROUTE_STREAM      /* responds with a stream of events; runs at most once unless it is resumable */
};

/* A service that receives a share of a route's requests. */
struct RouteTarget
{
  char service[NAME_MAX_BYTES + 1];
  uint32_t weight;
};

struct Route
{
  char name[NAME_MAX_BYTES + 1];
  const char *host;
  const char *prefix; /* of the path; begins and ends with a slash */
  enum RouteKind kind;
  uint32_t timeout_ms;   /* longest time that a request is kept waiting */
  uint32_t objective_ms; /* target time to the response */
  uint32_t priority;     /* 0: the most urgent */
  uint32_t max_attempts; /* number of backend servers that a request may be sent to */
  bool warms_up;         /* a server that recently served the request's object is faster */
  bool resumable;        /* an interrupted stream may be resumed on another server */
  bool is_public;        /* needs no key; the server is sent no customer */
  bool retains_turns;    /* requests are turns that carry only the new part of the conversation */
  uint32_t retention_ms; /* time for which a turn and its chain are kept */
  struct RouteTarget *targets;
  size_t n_targets;
};

struct Service
{
  char name[NAME_MAX_BYTES + 1];
  uint32_t connections_max; /* per backend server, over all gateways */
  bool is_engine;
  uint32_t tokens_per_event; /* of a streamed response; engines only */
  uint64_t capacity_tokens;  /* of the prompt cache of one engine; 0: unknown */
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

/* Returns true if a request of the route may run more than once. */
bool
route_is_idempotent (const struct Route *route);

/* Builds the index, which belongs to ctx, once .routes is complete. Fails with ERROR_NO_MEMORY. */
int32_t
route_table_index (TALLOC_CTX *ctx, struct RouteTable *table);

/* Returns the route of host with the longest prefix of path; NULL if there is none. The port of
 * host and the query of path are ignored. The table must be indexed. */
const struct Route *
route_table_find (const struct RouteTable *table, const char *host, const char *path);

/* Returns NULL if the table has no such service. */
const struct Service *
route_table_service (const struct RouteTable *table, const char *name);

/* Chooses a service by the targets' weights. draw may be any number. */
const char *
route_choose_service (const struct Route *route, uint64_t draw);
