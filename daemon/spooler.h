/* Spooling: lets repeatable calls complete while the platform's service is unavailable.
 *
 * A home sends each journal record that cannot be written yet to two instances with a disk, in
 * different availability zones. Once both have acknowledged it, it counts as durable; it stays
 * queued for the journal. An instance that takes over from a home seals the home's spool on all
 * registered disks but at most one, which include a disk of each pair, and appends the spooled
 * records to those of the journal.
 *
 * Disks are registered at <prefix>disk/<disk id>. The id is created with the spool, so an emptied
 * disk counts as another one. */
#pragma once

#include "core.h"

#include <buckthornhead/spool.h>

struct Spooler;

struct Spooler *
spooler_new (struct Core *core, struct Spool *spool);

/* Returns true once this instance's disk is registered. */
bool
spooler_has_disk (const struct Spooler *spooler);

/* Starts the writer of a new incarnation with record number 1, and discards pending records. */
void
spooler_start_writer (struct Spooler *spooler, const char *incarnation);
/* Stores a packed record on two disks and sets *number to the record's number. Calls
 * done (data, ERROR_NONE) in the order of the puts; waits while no two disks can be reached. */
int32_t
spooler_put (struct Spooler *spooler,
             const uint8_t *record,
             size_t n_bytes,
             JournalDone done,
             void *data,
             uint64_t *number);
/* Cancels the put of record number, whose requester was freed or has its response from the journal:
 * its done is not called any more. */
void
spooler_cancel_put (struct Spooler *spooler, uint64_t number);

/* Deletes all records up to number from the disks: the journal has them. */
void
spooler_drop (struct Spooler *spooler, uint64_t number);

/* Handles a PEER_SPOOL message: a request to this instance's disk, or a record that it collects. */
void
spooler_on_message (struct Spooler *spooler, uint64_t link, const struct PeerMessage *message);

/* Seals and collects the spool of incarnation for a takeover. Retries until all registered disks
 * but one have responded. done gets the records in ascending order, without duplicates, and valid
 * only during the call. */
int32_t
spooler_collect (struct Spooler *spooler,
                 TALLOC_CTX *ctx,
                 const char *incarnation,
                 HomesSpoolDone done,
                 void *data);

/* Handles a response to a message of this module. Returns false when the id is not its own. */
bool
spooler_on_response (struct Spooler *spooler, uint64_t link, const struct PeerResponse *response);
void
spooler_on_link_closed (struct Spooler *spooler, uint64_t link);
