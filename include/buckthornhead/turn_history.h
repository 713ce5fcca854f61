/* The turns before a turn, as a gateway collects them from the archives, and the choice of the
 * archive that is queried next. Does no I/O. */
#pragma once

#include <buckthornhead/archive_order.h>
#include <buckthornhead/turn.h>

struct TurnHistory;

/* Returns an empty history that ends with the turn newest; "": complete, without turns. NULL: no
 * memory. */
struct TurnHistory *
turn_history_new (TALLOC_CTX *ctx, const char *newest);

/* Adds copies of the texts of n turns, in any order, and their origins, which may be NULL; known
 * texts are skipped. Fails with ERROR_NO_MEMORY. */
int32_t
turn_history_add (struct TurnHistory *history,
                  const struct TurnText *turns,
                  const struct TurnOrigin *origins,
                  size_t n);

/* Returns the newest turn that no archive has sent yet; NULL when the history is complete. */
const char *
turn_history_missing (const struct TurnHistory *history);

/* Returns the text of the newest turn; NULL if there is none or it is missing. */
const struct TurnText *
turn_history_newest (const struct TurnHistory *history);

/* Returns the length in bytes of the inputs and outputs from the newest turn to the missing one. */
size_t
turn_history_bytes (const struct TurnHistory *history);

/* Writes the inputs and outputs of a complete history, oldest first, so that they end at end. From
 * then on the history's texts are these bytes, which must outlive it. */
void
turn_history_move (struct TurnHistory *history, uint8_t *end);

/* Returns whether the history is complete and has the origins of all turns, so that another archive
 * can store it. */
bool
turn_history_is_storable (const struct TurnHistory *history);

/* Returns the number of turns from the newest to the missing one. */
size_t
turn_history_count (const struct TurnHistory *history);

/* Fills in the texts, program, charge and retention of turn i, counted from the oldest of a
 * storable history. Texts belong to the history. */
void
turn_history_fill_close (const struct TurnHistory *history, size_t i, struct TurnClose *close);

/* Records that an archive responded without the missing turn. It is not queried for it again. */
void
turn_history_note_lacking (struct TurnHistory *history, const char *archive);

/* Records that an archive's response ended before the missing turn. The others are queried for it
 * first. */
void
turn_history_note_end (struct TurnHistory *history, const char *archive);

/* Returns the archive to query for the missing turn, the first one of the candidates that has not
 * been queried for it; those that did not respond are queried again after the others. NULL when
 * all have responded, or none has for several rounds. Belongs to candidates. */
const char *
turn_history_next_reader (struct TurnHistory *history,
                          const struct ArchiveCandidate *candidates,
                          size_t n);

/* Describes what is missing and what each candidate responded, for the log. Belongs to ctx; NULL:
 * no memory. */
char *
turn_history_describe (const struct TurnHistory *history,
                       TALLOC_CTX *ctx,
                       const struct ArchiveCandidate *candidates,
                       size_t n);
