/* Sends one configuration change and determines its result when the response is lost. */
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
  bool has_expected_revision; /* false: replaces any revision */
  uint64_t expected_revision; /* 0: the entry must not exist yet */
  uint64_t settle_ms;         /* how long to query the result after a lost response */
};

/* Generates a random version 4 UUID. */
int32_t
change_id_new (char change_id[NAME_MAX_BYTES + 1]);

/* Prints the change id to io->err, then sends the change. Returns an enum ExitCode. */
int
change_send (const struct OperatorClient *client,
             const struct ChangeRequest *change,
             bool json,
             const struct CommandIo *io);
