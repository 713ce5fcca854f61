/* A gateway or an archive, from its settings to its planned stop. */
#pragma once

#include <buckthornhead/gateway_settings.h>

/* Runs until a planned stop (SIGTERM, SIGINT) is complete. ERROR_NONE after one, else the error
 * that kept it from starting; the log says more. */
int32_t
gateway_run (const struct GatewaySettings *settings);
