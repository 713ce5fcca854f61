/* Home of programs: the one place that orders a program's calls, charges its budget and talks to
 * the journal.
 *
 * Entries send PEER_REQUEST; chunks and one PEER_ANSWER go back over the same link. Calls go to the
 * owners of backend servers as PEER_DISPATCH. */
#pragma once

#include "core.h"

struct Home *
home_new (struct Core *core);

/* A new incarnation was registered: starts journal, ledger and homes afresh under it. Whatever was
 * in flight under the former one is answered as fenced. */
int32_t
home_start (struct Home *home, const char *incarnation);

void
home_set_members (struct Home *home, const struct HomesMember *members, size_t n_members);

void
home_on_request (struct Home *home, uint64_t link, const struct PeerRequest *request);
/* From an entry: its caller is gone. The call goes on; its answer is kept. */
void
home_on_cancel (struct Home *home, uint64_t link, uint64_t id);
/* From an owner. False when the id is none of this home's. */
bool
home_on_chunk (struct Home *home, const struct PeerChunk *chunk);
bool
home_on_answer (struct Home *home, const struct PeerAnswer *reply);
void
home_on_link_closed (struct Home *home, uint64_t link);
/* Some instance saw a backend server die while it ran a request with this digest. */
void
home_on_death (struct Home *home, const uint8_t digest[DIGEST_BYTES], const char *server);

/* A peer says that the partition map has changed. */
void
home_on_map_hint (struct Home *home);

/* Incarnation of the home of partition, or NULL. */
const char *
home_lookup (const struct Home *home, uint32_t partition);
void
home_count (const struct Home *home, uint32_t *partitions, uint32_t *programs);

/* Grows with each home_start: what was asked of an earlier one is void. */
uint64_t
home_era (const struct Home *home);

/* Planned stop: hands every partition over; done (data, 0) when none is left here. */
/* The stop is called off. */
void
home_serve_again (struct Home *home);
void
home_hand_off_all (struct Home *home, JournalDone done, void *data);

/* Programs homed here, of one service unless it is "", and how many partitions they are of, as a
 * JSON object; belongs to ctx. */
char *
home_list_json (struct Home *home, TALLOC_CTX *ctx, const char *service);
