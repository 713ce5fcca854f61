/* The daemon: one instance, from its settings to its planned stop. */
#pragma once

#include <buckthornhead/settings.h>

/* Runs until a planned stop (SIGTERM, SIGINT) is complete. ERROR_NONE after one, else the error
 * that kept it from starting or made it stop; the log says more. */
int32_t
daemon_run (const struct Settings *settings);
