/* Measures how long events of this process wait for the processor, by a byte that the process sends
 * to itself through a pipe and that queues behind input from callers and servers. A timer could not
 * measure this, because the event loop handles timers first. */
#pragma once

#include "node.h"

#include <buckthornhead/scheduling/address_choice.h>

struct LoopEcho;

/* NULL without memory or file descriptors. */
struct LoopEcho *
loop_echo_new (TALLOC_CTX *ctx, struct Node *node);

bool
loop_echo_is_overloaded (const struct LoopEcho *echo);
