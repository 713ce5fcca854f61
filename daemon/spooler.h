/* Spooling: what lets repeatable calls go on to their ends while the platform's service is down.
 *
 * A home sends each journal record that waits to two disk-bearing instances of different
 * availability zones; with both acknowledged it counts as durable, and stays queued for the
 * journal. Whoever takes over from a home seals its spool on all registered disks but at most one,
 * which meets each pair, and takes the records behind those of the journal.
 *
 * Disks are registered at <prefix>disk/<disk id>, ids made with the spool: an emptied disk is
 * another one. */
#pragma once

#include "core.h"

#include <buckthornhead/spool.h>

struct Spooler;

struct Spooler *
spooler_new (struct Core *core, struct Spool *spool);

/* True once this instance's disk stands in the registry. */
bool
spooler_has_disk (const struct Spooler *spooler);

/* Writer: a new incarnation writes from number 1 on; what was under way is forgotten. */
void
spooler_start_writer (struct Spooler *spooler, const char *incarnation);
/* Keeps a packed record on two disks; done (data, ERROR_NONE) in the order of the calls. While no
 * two disks can be reached it waits. Its number goes to *number. */
int32_t
spooler_put (struct Spooler *spooler,
             const uint8_t *record,
             size_t n_bytes,
             JournalDone done,
             void *data,
             uint64_t *number);
/* The asker of number is gone, or has its answer from the journal: its done is not called any more.
 */
void
spooler_forget (struct Spooler *spooler, uint64_t number);

/* The journal has every record up to number. */
void
spooler_drop (struct Spooler *spooler, uint64_t number);

/* Holder. */
void
spooler_on_message (struct Spooler *spooler, uint64_t link, const struct PeerMessage *message);

/* Taker: seals and collects the spool of incarnation; records ascending, without repeats, valid
 * during done only. Tries until all registered disks but one have answered. */
int32_t
spooler_collect (struct Spooler *spooler,
                 TALLOC_CTX *ctx,
                 const char *incarnation,
                 HomesSpoolDone done,
                 void *data);

/* Answers to the messages that this module sent. False when the id is not its own. */
bool
spooler_on_answer (struct Spooler *spooler, uint64_t link, const struct PeerAnswer *answer);
void
spooler_on_link_closed (struct Spooler *spooler, uint64_t link);
