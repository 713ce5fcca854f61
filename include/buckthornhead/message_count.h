/* Counters of messages among gateways and archives, by kind and direction. They show what each kind
 * costs a process in a deployment of any size. */
#pragma once

#include <buckthornhead/gateway_message.h>

enum MessageDirection
{
  MESSAGE_SENT,
  MESSAGE_RECEIVED,
  N_MESSAGE_DIRECTIONS
};

/* Counts one message. Wait-free. */
void
message_count_add (enum MessageDirection direction, enum GatewayKind kind, size_t n_bytes);

uint64_t
message_count_read (enum MessageDirection direction, enum GatewayKind kind);

/* Returns the counters of kinds that occurred, in Prometheus text format. The text belongs to ctx;
 * NULL without memory. */
char *
message_count_render (TALLOC_CTX *ctx);
