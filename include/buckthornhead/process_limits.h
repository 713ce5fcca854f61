/* Limits that the operating system sets for this process. */
#pragma once

#include <buckthornhead/descriptor_shares.h>

/* Logs that the process starts, and with which limits. */
void
process_limits_log (void);

/* Divides the descriptors that the process may open, see descriptor_shares, and logs the
 * result, but not again for each attempt to start. */
int32_t
process_limits_divide (const struct DescriptorShares *wanted,
                       struct DescriptorShares *shares,
                       struct Fault *fault);

/* Makes the C library return the memory of large buffers to the system as soon as they are freed.
 * Called before other threads start. */
void
process_limit_kept_memory (void);

/* Returns the bound on held memory: setting_bytes, or if that is 0 the share of the machine's
 * memory; 0 if its size is unknown. */
uint64_t
process_held_max_bytes (uint64_t setting_bytes);

/* Logs the bound on held memory. */
void
process_limits_log_held (uint64_t max_bytes);
