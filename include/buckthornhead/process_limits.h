/* Limits that the operating system sets for this process. */
#pragma once

/* Logs that the process starts, and with which limits. */
void
process_limits_log (void);
