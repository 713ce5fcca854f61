/* Archive: stores turns and charges on this instance's disk, for all gateways. */
#pragma once

#include "node.h"

struct Archive;

/* Opens the disk log and sets node's handler; the caller starts node afterwards. Returns
 * ERROR_NO_MEMORY or ERROR_IO with fault. */
int32_t
archive_new (TALLOC_CTX *ctx, struct Node *node, struct Archive **archive, struct Fault *fault);
