/* Limits that the operating system sets for this process. */
#pragma once

#include <stdint.h>

/* Logs that the process starts, and with which limits. */
void
process_limits_log (void);

/* Returns how many descriptors the process may have open, UINT64_MAX for no limit. */
uint64_t
process_limits_descriptors (void);
