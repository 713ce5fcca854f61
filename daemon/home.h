/* Home of programs: the one instance that orders a program's calls, charges its budget and writes
 * to the journal.
 *
 * Entries send PEER_REQUEST; the home responds with PEER_CHUNKs and one PEER_RESPONSE over the same
 * link. It sends calls to the owners of backend servers as PEER_DISPATCH. */
#pragma once

#include "core.h"

struct Home *
home_new (struct Core *core);

/* Handles the registration of a new incarnation: starts a new journal, ledger and homes under it.
 * Calls in flight under the previous one fail with ERROR_FENCED. */
int32_t
home_start (struct Home *home, const char *incarnation);

void
home_set_members (struct Home *home, const struct HomesMember *members, size_t n_members);

void
home_on_request (struct Home *home, uint64_t link, const struct PeerRequest *request);
/* Handles an entry's report that its caller has disconnected. The call continues, and its outcome
 * is stored. */
void
home_on_cancel (struct Home *home, uint64_t link, uint64_t id);
/* Handle messages of an owner. Return false when the id does not belong to this home. */
bool
home_on_chunk (struct Home *home, const struct PeerChunk *chunk);
bool
home_on_response (struct Home *home, const struct PeerResponse *reply);
void
home_on_link_closed (struct Home *home, uint64_t link);
/* Handles the crash of a backend server, seen by any instance, while it ran a request with this
 * digest. */
void
home_on_server_crash (struct Home *home, const uint8_t digest[DIGEST_BYTES], const char *server);

/* Handles a peer's report that the partition map has changed. */
void
home_on_map_hint (struct Home *home);

/* Returns the incarnation of the home of partition, or NULL. */
const char *
home_lookup (const struct Home *home, uint32_t partition);
void
home_count (const struct Home *home, uint32_t *partitions, uint32_t *programs);

/* Returns the number of home_start calls. A request made under an earlier number is void. */
uint64_t
home_n_starts (const struct Home *home);

/* Cancels a planned stop. */
void
home_cancel_hand_off (struct Home *home);
/* Hands off every partition for a planned stop; calls done (data, 0) when this instance has none
 * left. */
void
home_hand_off_all (struct Home *home, JournalDone done, void *data);

/* Returns a JSON object with the programs homed here, restricted to service unless that is "", and
 * the number of partitions owned by this instance. The string belongs to ctx. */
char *
home_list_json (struct Home *home, TALLOC_CTX *ctx, const char *service);
