/* Serves counters and latency histograms in the Prometheus text format. */
#pragma once

#include "node.h"

enum
{
  METRICS_CONNECTIONS_MAX = 16 /* a few collectors with small, short requests */
};

struct Front;

/* Opens the listener; does nothing when no address is configured. In a gateway, where front is not
 * NULL, /customers lists the customers' usage against their limits and /servers the backend servers
 * as JSON. A listener that cannot be opened is logged, and opened once its address is available:
 * requests never wait for monitoring. */
void
metrics_listen (struct Node *node, struct Front *front);
