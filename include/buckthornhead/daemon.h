/* The daemon: runs one instance, from its settings to its planned stop. */
#pragma once

#include <buckthornhead/settings.h>

/* Runs until a planned stop (SIGTERM, SIGINT) is complete. Returns ERROR_NONE then, else the error
 * that prevented the start; the log has the details. */
int32_t
daemon_run (const struct Settings *settings);
