/* Operators' queries: status, instances, backend servers, profiles, services, the audit trail. */
#pragma once

#include "core.h"

#include <jansson.h>

/* Returns the JSON for path ("/operator/status" and the others), or NULL when there is none. filter
 * is the name given in the query, or "". */
json_t *
status_json (struct Core *core, const char *path, const char *filter);
