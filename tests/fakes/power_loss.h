/* Disk that loses power: the calls of a data folder over real files. What was not synced may be
 * undone.
 *
 * Remembers the content of each file at its last sync, and what each name stood for at the last
 * sync of its folder. Only files and folders that are created through it are known. */
#pragma once

#include <stdint.h>

/* Replaces the system's calls, with nothing remembered. */
void
power_loss_start (void);

/* Restores the system's calls. */
void
power_loss_stop (void);

/* After n more calls the disk refuses the next n_failing ones. */
void
power_loss_fail_after (uint32_t n, uint32_t n_failing);

/* Ends the refusals. What is unsynced stays so: a process that was killed starts again. */
void
power_loss_restart (void);

/* Returns how often a folder was synced since the start. */
uint32_t
power_loss_folder_syncs (void);

/* Loses power: keeps or undoes each unsynced name, and keeps, cuts, tears or undoes each unsynced
 * content, each by itself as drawn from seed. Call it while the folder's files are closed. */
void
power_loss_strike (uint64_t seed);
