/* Read and write quorums of archives, and the merging of their responses.
 *
 * A turn or a reservation is acknowledged once it is durable on "write" archives. A query is
 * complete once "read" archives have responded that have every record they ever acknowledged. Any
 * write quorum intersects any read quorum, so that a query returns all acknowledged records without
 * a leader or an election. Does no I/O. */
#pragma once

#include <buckthornhead/turn.h>

struct ArchiveQuorum
{
  uint32_t write, read;
};

/* Returns the quorums of n_archives, of which tolerated may lose their disks at once. All archives
 * must respond if there are no more than tolerated. */
struct ArchiveQuorum
archive_quorum (uint32_t n_archives, uint32_t tolerated);

/* Merges more into charges, a talloc array of *n items that belongs to ctx, with one item per turn.
 * A settled charge replaces a reservation. Fails with ERROR_NO_MEMORY. */
int32_t
turn_charges_merge (TALLOC_CTX *ctx,
                    struct TurnCharge **charges,
                    size_t *n,
                    const struct TurnCharge *more,
                    size_t n_more);

/* Returns true if any turn was charged or has a reservation. Rejected attempts are settled with a
 * charge of 0. */
bool
turn_charges_any (const struct TurnCharge *charges, size_t n);

/* Returns true if a turn of up to max_tokens fits into the rest of budget_tokens. Reservations
 * count in full, since their turns may produce that many tokens. */
bool
turn_budget_allows (const struct TurnCharge *charges,
                    size_t n,
                    uint64_t budget_tokens,
                    uint32_t max_tokens);
