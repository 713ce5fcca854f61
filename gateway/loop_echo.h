/* Measures how long events of this process wait for its processor: a byte that it sends to itself
 * waits behind what callers and servers have sent. Timers would not tell, the loop serves them
 * first. */
#pragma once

#include "node.h"

#include <buckthornhead/scheduling/address_choice.h>

struct LoopEcho;

/* NULL without memory or descriptors. */
struct LoopEcho *
loop_echo_new (TALLOC_CTX *ctx, struct Node *node);

bool
loop_echo_is_strained (const struct LoopEcho *echo);
