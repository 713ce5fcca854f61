/* The subset of backend servers that the gateways of this process's zone use. The zone's
 * aggregators derive it from the full list. */
#pragma once

#include "store_internal.h"

/* Rebuilds the subset if this process aggregates its zone and either the full list or the level
 * that the zone needs has changed. Sends the changes to the members. */
void
zone_servers_refresh (struct StoreReader *reader);

/* Returns whether to accept a subset from this sender: the sender is in the own zone, and this
 * process does not build the subset itself. */
bool
zone_servers_are_from (const struct Node *node, const char *sender);
