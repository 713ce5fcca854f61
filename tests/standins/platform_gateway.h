/* JSON gateway of the etcd API (v3), served from a Store. */
#pragma once

#include "fakes/store.h"

#include <jansson.h>

enum GatewayKind
{
  GATEWAY_NONE, /* no such path */
  GATEWAY_READ,
  GATEWAY_WRITE,
  GATEWAY_KEEPALIVE,
  GATEWAY_WATCH
};

enum GatewayKind
gateway_kind (const char *path);

/* Executes a unary call. Returns the HTTP status and sets *response to a new reference. *conflict
 * is true when the conditions of a transaction did not hold. */
uint32_t
gateway_call (struct Store *store,
              const char *path,
              const json_t *request,
              int64_t now_ms,
              json_t **response,
              bool *conflict);

json_t *
gateway_error (int32_t code, const char *message);

/* Position of a watch. gateway_watch_parse allocates both byte strings on its ctx. */
struct GatewayWatch
{
  struct Bytes key, range_end;
  int64_t next_revision;
};
bool
gateway_watch_parse (TALLOC_CTX *ctx,
                     const struct Store *store,
                     const json_t *request,
                     struct GatewayWatch *watch);
json_t *
gateway_watch_created (const struct Store *store);
/* Returns a message with the events from next_revision on, or the cancellation of the watch when
 * these are compacted, and advances next_revision. Returns NULL when there are no events. */
json_t *
gateway_watch_next (const struct Store *store, struct GatewayWatch *watch);
