/* Runs a long-running process: reads its settings and starts it, again from scratch for as long as
 * a condition of the machine prevents the start. */
#pragma once

#include "command.h"

#include <buckthornhead/error.h>
#include <buckthornhead/settings.h>

struct ProcessRole
{
  /* Like settings_load. */
  int32_t (*load) (TALLOC_CTX *ctx, const char *file, void **settings, struct ConfigFaults *faults);
  /* Runs until a planned stop is complete. Fills in fault, which is zeroed, if the process did not
   * start; logs a fault that does not pass (error_may_pass). */
  int32_t (*run) (const void *settings, struct Fault *fault);
};

/* Returns an enum ExitCode. */
int
run_process (const struct ProcessRole *role, const char *file, const struct CommandIo *io);
