/* Decides on what evidence an attempt at a server counts as not run. Only such an attempt of a
 * request that may run once is followed by another one. Does no I/O. */
#pragma once

#include <buckthornhead/http_message.h>

enum NotRunEvidence
{
  NOT_RUN_NONE,                  /* the request may have run */
  NOT_RUN_NOT_SENT,              /* no byte of it was sent */
  NOT_RUN_REJECTED_BY_ID,        /* a whole rejection has its id */
  NOT_RUN_REJECTED_BY_CONNECTION /* one has no id, and nothing else was sent on the connection */
};

struct AttemptEnd
{
  enum HttpEnd end;
  bool rejected; /* the response's head says that the server did not run the request */
  enum HttpAttribution attribution; /* of the response; valid if .rejected */
};

enum NotRunEvidence
not_run_judge (const struct AttemptEnd *attempt);

/* For the log. */
const char *
not_run_name (enum NotRunEvidence evidence);
