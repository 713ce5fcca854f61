/* Since when programs have been waiting at a server's owner.
 *
 * A rejected request comes back as a new one. Without this record it would wait behind all that
 * arrived meanwhile, and under lasting shortage be rejected again until its program fails. Does no
 * I/O; times are in milliseconds of any monotonic clock. */
#pragma once

#include <stdint.h>

#include <talloc.h>

struct WaitingPrograms;

/* Returns NULL when out of memory. */
struct WaitingPrograms *
waiting_programs_new (TALLOC_CTX *ctx);

/* Returns the time since which the program (a hash of its id; 0: none) waits, which is now_ms
 * unless it waited within the last seconds. */
int64_t
waiting_programs_since (struct WaitingPrograms *programs, uint64_t program, int64_t now_ms);

/* Removes programs that have not waited for some seconds. */
void
waiting_programs_expire (struct WaitingPrograms *programs, int64_t now_ms);
