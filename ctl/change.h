/* Sending one change of the configuration, and settling it when its answer is lost. */
#pragma once

#include "ctl.h"

#include <buckthornhead/call.h>

enum
{
  CHANGE_REASON_MAX_BYTES = 255
};

struct ChangeRequest
{
  const char *kind; /* "profile", "service" or "drain" */
  const char *name;
  const char *text;
  const char *who;
  const char *reason;
  char change_id[NAME_MAX_BYTES + 1];
  bool expects;               /* false: whatever the present revision is */
  uint64_t expected_revision; /* 0: it must not exist yet */
  uint64_t settle_ms;         /* how long a lost answer is asked for */
};

/* A random version 4 UUID. */
int32_t
change_id_new (char change_id[NAME_MAX_BYTES + 1]);

/* Prints the id, then sends. Returns the exit code. */
int
change_send (const struct OperatorClient *client,
             const struct ChangeRequest *change,
             bool json,
             const struct CommandIo *io);
