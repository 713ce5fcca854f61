/* Shared by the files of slots: slots.c requests slots, slot_owner.c chooses a server's owner and
 * grants slots as one. */
#pragma once

#include "slots.h"

struct Slots
{
  struct Front *front;
  struct SlotQueues *queues; /* for the servers that this gateway owns */
};

/* Returns the gateway that owns the server: one of its availability zone, or of any if that has
 * none. NULL when there is none. */
const char *
slots_owner (const struct Front *front, const struct Replica *replica);
