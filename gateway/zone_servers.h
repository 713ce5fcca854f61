/* The backend servers that the gateways of this process's zone use, drawn up by the zone's
 * aggregators out of the whole list. */
#pragma once

#include "store_internal.h"

/* Draws the subset up anew if this process aggregates its zone and something has changed: the list,
 * or how much of it the zone needs. Sends what has changed to the members. */
void
zone_servers_refresh (struct StoreReader *reader);

/* Whether a subset of this sender is to be taken: it is of the own zone, and this process does not
 * draw it up itself. */
bool
zone_servers_are_from (const struct Node *node, const char *sender);
