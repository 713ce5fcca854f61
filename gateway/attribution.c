#include "attribution.h"

#include <buckthornhead/log.h>
#include <buckthornhead/scheduling/response_ids.h>

struct Attribution
{
  struct Front *front;
  struct ResponseIdTable *ids;
};

static int64_t
attribution_now_ms (const struct Attribution *attribution)
{
  return timer_now_ms (attribution->front->node->timers);
}

struct Attribution *
attribution_new (struct Front *front)
{
  struct Attribution *attribution = talloc_zero (front, struct Attribution);

  if (attribution == NULL)
    return NULL;
  attribution->front = front;
  attribution->ids = response_ids_new (attribution);
  if (attribution->ids == NULL)
    TALLOC_FREE (attribution);
  return attribution;
}

void
attribution_record (struct Attribution *attribution, const char *service, bool has_id)
{
  if (!response_ids_record (attribution->ids, service, has_id, attribution_now_ms (attribution)))
    return;
  log_event (LOG_LEVEL_NOTICE, "response_ids", NULL, NULL, "service %s: %s", service,
             has_id ? "rejections have the id of their request, connections are reused"
                    : "a response has no id, each request gets a connection of its own");
}

bool
attribution_record_stray (struct Attribution *attribution, const char *service, bool has_ended)
{
  int64_t now_ms = attribution_now_ms (attribution);

  if (!has_ended && response_ids_of (attribution->ids, service, now_ms) == RESPONSE_IDS_PRESENT)
    return false;
  attribution_record (attribution, service, false);
  return true;
}

/* Returns whether the server may have no room for another request, as far as its load is known. */
static bool
replica_may_be_full (const struct Replica *replica)
{
  return replica->in_flight + replica->peers_in_flight > replica->entry.slots;
}

enum HttpConnectionUse
attribution_connection_use (const struct Attribution *attribution,
                            const char *service,
                            const struct Replica *replica)
{
  switch (response_ids_of (attribution->ids, service, attribution_now_ms (attribution)))
    {
    case RESPONSE_IDS_PRESENT:
      break;
    case RESPONSE_IDS_MISSING:
      return HTTP_CONNECTION_EXCLUSIVE;
    case RESPONSE_IDS_UNKNOWN:
      return replica_may_be_full (replica) ? HTTP_CONNECTION_NEW : HTTP_CONNECTION_SHARED;
    }
  return HTTP_CONNECTION_SHARED;
}
