/* Crowds of clients outside the limits, at drawn moments of a soak run. */
#pragma once

#include "soak_load.h"

struct SoakCrowds;

/* Starts a thread that plays one drawn crowd after the other against the gateways. */
struct SoakCrowds *
soak_crowds_start (TALLOC_CTX *ctx, struct SoakLoad *load);

/* Ends it. A gateway that has used more memory than its machine has is a violation. */
void
soak_crowds_end (struct SoakCrowds *crowds);
