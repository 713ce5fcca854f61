/* The published JSON gateway of the key-value service, over the stand-in's store. */
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

/* Does one unary call; returns the HTTP status and gives a new answer. *conflict is set when the
 * conditions of a transaction did not hold. */
uint32_t
gateway_call (struct Store *store,
              const char *path,
              const json_t *request,
              int64_t now_ms,
              json_t **answer,
              bool *conflict);

json_t *
gateway_error (int32_t code, const char *message);

/* What a watch's create_request asks for; both byte strings belong to ctx. */
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
/* The events since next_revision, which it moves on; NULL when there are none. */
json_t *
gateway_watch_next (const struct Store *store, struct GatewayWatch *watch);
