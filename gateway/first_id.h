/* Ids of a process's requests. */
#pragma once

#include <stdint.h>

/* Returns a random number from which a process counts the ids of its requests, and which is the
 * number of its start. The wall clock would repeat the ids of the previous process after it was set
 * back. */
uint64_t
first_id (void);
