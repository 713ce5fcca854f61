/* Which connections the requests to each service may use, so that each response can be attributed
 * to its request. */
#pragma once

#include "front.h"

struct Attribution;

struct Attribution *
attribution_new (struct Front *front);

/* Records a response of one of the service's servers that could be attributed: a rejection that has
 * the request's id, or any response that has none. */
void
attribution_record (struct Attribution *attribution, const char *service, bool has_id);

/* Records a response without an id that could not be attributed. has_ended: no other response to
 * the request that waited for one has come. Returns whether it may have been that request's own. */
bool
attribution_record_stray (struct Attribution *attribution, const char *service, bool has_ended);

/* Returns which connections to replica a request may use. */
enum HttpConnectionUse
attribution_connection_use (const struct Attribution *attribution,
                            const char *service,
                            const struct Replica *replica);
