/* Shared by the files of slots: slots.c requests slots, slot_owner.c chooses a server's owner and
 * grants slots as one. */
#pragma once

#include "slots.h"

#include <buckthornhead/scheduling/slot_hold.h>

struct Slots
{
  struct Front *front;
  struct SlotQueues *queues; /* for the servers that this gateway owns */
  uint64_t gateways;         /* slots_hash_gateways when the holds last followed it */
  uint64_t n_peer_changes;   /* PeerTable.n_changes then */
  int64_t followed_ms;
};

/* Sets *owner to this gateway. */
void
slots_own_gateway (const struct Front *front, struct SlotOwner *owner);

/* Sets *owner to the gateway that owns the server: one of its availability zone, or of any if that
 * has none, or this one. Leaves out the start of a gateway excluded;
 * NULL: none. */
void
slots_find_owner (const struct Front *front,
                  const struct Replica *replica,
                  const struct SlotOwner *excluded,
                  struct SlotOwner *owner);

/* Returns a hash of the gateways that may own servers; it changes when an owner may have changed.
 */
uint64_t
slots_hash_gateways (const struct Front *front);

/* Returns how many requests of this gateway have a slot of the server. */
uint32_t
slots_count_held (const struct Front *front, const char *server);
