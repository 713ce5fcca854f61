#include <buckthornhead/not_run.h>

static enum NotRunEvidence
rejection_evidence (enum HttpAttribution attribution)
{
  switch (attribution)
    {
    case HTTP_ATTRIBUTED_BY_ID:
      return NOT_RUN_REJECTED_BY_ID;
    case HTTP_ATTRIBUTED_BY_CONNECTION:
      return NOT_RUN_REJECTED_BY_CONNECTION;
    case HTTP_NOT_ATTRIBUTED:
      break;
    }
  return NOT_RUN_NONE;
}

enum NotRunEvidence
not_run_judge (const struct AttemptEnd *attempt)
{
  switch (attempt->end)
    {
    case HTTP_END_NOT_SENT:
      return NOT_RUN_NOT_SENT;
    case HTTP_END_COMPLETE:
    case HTTP_END_CLOSED:
      return attempt->rejected ? rejection_evidence (attempt->attribution) : NOT_RUN_NONE;
    case HTTP_END_BROKEN:
    case HTTP_END_MALFORMED:
      break;
    }
  return NOT_RUN_NONE;
}

const char *
not_run_name (enum NotRunEvidence evidence)
{
  switch (evidence)
    {
    case NOT_RUN_NONE:
      return "it may have run";
    case NOT_RUN_NOT_SENT:
      return "nothing was sent";
    case NOT_RUN_REJECTED_BY_ID:
      return "rejected with its id";
    case NOT_RUN_REJECTED_BY_CONNECTION:
      return "rejected without an id, on a connection of its own";
    }
  return "unknown";
}
