/* The daemon: runs one instance, from its settings to its planned stop. */
#pragma once

#include <buckthornhead/settings.h>

/* Runs until a planned stop (SIGTERM, SIGINT) is complete. Returns ERROR_NONE then, else the error
 * that prevented the start; fault, zeroed by the caller, has the details, and is logged unless it
 * may pass (error_may_pass). */
int32_t
daemon_run (const struct Settings *settings, struct Fault *fault);
