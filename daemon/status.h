/* What operators read: status, instances, backend servers, profiles, services, the audit trail. */
#pragma once

#include "core.h"

#include <jansson.h>

/* The JSON at path ("/operator/status" and the others), or NULL when there is nothing. filter is
 * the name that the query asked for, or "". */
json_t *
status_json (struct Core *core, const char *path, const char *filter);
