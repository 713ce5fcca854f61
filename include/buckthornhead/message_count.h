/* Messages among gateways and archives, counted by kind: what each kind costs a process, at every
 * size, without a trial. */
#pragma once

#include <buckthornhead/gateway_message.h>

enum MessageWay
{
  MESSAGE_SENT,
  MESSAGE_RECEIVED,
  N_MESSAGE_WAYS
};

/* Wait-free. */
void
message_count_add (enum MessageWay way, enum GatewayKind kind, size_t n_bytes);

uint64_t
message_count_read (enum MessageWay way, enum GatewayKind kind);

/* Prometheus text exposition of kinds that were seen; belongs to ctx. NULL without memory. */
char *
message_count_render (TALLOC_CTX *ctx);
