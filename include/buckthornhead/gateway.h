/* Runs a gateway or an archive from its start to its planned stop. */
#pragma once

#include <buckthornhead/gateway_settings.h>

/* Runs until a planned stop (SIGTERM or SIGINT) is complete. Returns ERROR_NONE, or the error that
 * prevented the start or ended the event loop. fault, zeroed by the caller, is filled in if the
 * process did not start; it is logged unless it may pass (error_may_pass). */
int32_t
gateway_run (const struct GatewaySettings *settings, struct Fault *fault);
