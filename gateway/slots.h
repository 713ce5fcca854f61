/* Slots of backend servers: requests them from a server's owner, and grants them as an owner. Plain
 * servers have owners only while the decision plain_queues is active for their service.
 *
 * Each server has one owner at a time, a live gateway of its availability zone that all gateways
 * select by the same hash. The owner orders requests with core/scheduling/slot_queue.c. When it
 * does not respond, the next one is queried, and then this gateway itself. When the owner changes,
 * requests report their slots to the new one. */
#pragma once

#include "front.h"

#include <buckthornhead/scheduling/slot_queue.h>

/* Returns the live gateway of zone that owns key, the id of a server or any other one; NULL when
 * there is none. With zone NULL, gateways of all zones are candidates. */
const char *
gateway_owner (const struct Front *front, const char *key, const char *zone);

struct Slots *
slots_new (struct Front *front);

/* Requests a slot from the owner of request->replica; request_on_slot_granted is called once the
 * request may be sent. */
void
slots_request (struct Request *request);

/* Releases the request's slot, or its place in the queue, and reports its outcome to the owner. */
void
slots_release (struct Request *request);

/* Notes that the server rejected the request because it is full: if it is a plain server, its owner
 * learns of it with slots_release. */
void
slots_note_full (struct Request *request);

/* Queries the next owner for requests that wait for a response of the gateway name, whose link was
 * closed or whose instance refused a connection. */
void
slots_peer_lost (struct Slots *slots, const char *name);

/* Messages. */
void
slots_on_request (struct Slots *slots,
                  uint64_t link,
                  const char *sender,
                  const struct SlotRequestMessage *slot_request);
void
slots_on_state (struct Front *front, const char *sender, const struct SlotStateMessage *message);
void
slots_on_done (struct Slots *slots, const char *sender, const struct SlotDoneMessage *done);

/* Discards the state that this gateway, as owner, tracked of a server that has restarted. */
void
slots_server_restarted (struct Slots *slots, const char *server);

/* Returns the mean duration of a request at a server that this gateway owns, in milliseconds; 0 if
 * it has no queue for it. */
uint32_t
slots_service_ms (const struct Slots *slots, const char *server);

/* Returns digests of the servers that this gateway owns, or only of the busy ones; allocated on
 * ctx. */
struct SlotDigest *
slots_digest (struct Slots *slots, TALLOC_CTX *ctx, bool busy_only, size_t *n_digests);

/* Drops requests of gateways that are no longer live; called every few hundred milliseconds. */
void
slots_expire (struct Slots *slots);
