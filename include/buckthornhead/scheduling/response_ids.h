/* Whether the servers of a service put the id of the request into their responses, rejections among
 * them.
 *
 * A response without an id can only be attributed by its connection. If that has carried other
 * requests, the response may belong to one of them: a rejection then proves nothing, and the
 * request may run all the same. So connections are not reused to servers that are known to leave
 * the id out. Does no I/O. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

enum ResponseIds
{
  RESPONSE_IDS_UNKNOWN, /* no rejection seen yet; servers may have ids in other responses only */
  RESPONSE_IDS_PRESENT, /* in rejections */
  RESPONSE_IDS_MISSING  /* in at least one response */
};

struct ResponseIdTable;

struct ResponseIdTable *
response_ids_new (TALLOC_CTX *ctx);

/* Records a rejection with an id, or any response without one, by a server of the service. Returns
 * whether what is known has changed. A missing id counts for ten minutes, whatever other servers of
 * the service send. */
bool
response_ids_record (struct ResponseIdTable *table,
                     const char *service,
                     bool present,
                     int64_t now_ms);

enum ResponseIds
response_ids_of (const struct ResponseIdTable *table, const char *service, int64_t now_ms);
