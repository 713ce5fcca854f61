/* Archive: keeps turns and charges on this machine's disk, for all gateways. */
#pragma once

#include "node.h"

struct Archive;

/* Opens the disk and registers with node, which is started afterwards. ERROR_IO with fault. */
int32_t
archive_new (TALLOC_CTX *ctx, struct Node *node, struct Archive **archive, struct Fault *fault);
