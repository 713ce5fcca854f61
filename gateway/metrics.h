/* Counters and latency histograms on the address of the settings, in the Prometheus text format. */
#pragma once

#include "node.h"

struct Front;

/* In a gateway, whose front is not NULL, /customers there lists how customers stand with their
 * limits, as JSON. Without the address: nothing. A listener that can not be opened is logged, and
 * the process goes on without it: nobody's request waits for the monitoring. */
void
metrics_listen (struct Node *node, struct Front *front);
