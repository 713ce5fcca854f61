/* Serves the operators' queries and changes; docs/INTERFACE.md lists the paths. */
#pragma once

#include "core.h"

struct Operator *
operator_new (struct Core *core);

/* Takes over the core's reference to exchange. */
void
operator_on_exchange (struct Operator *operators, struct Exchange *exchange);
void
operator_on_disconnect (struct Operator *operators, struct Exchange *exchange);
/* Handle a part and the end of another instance's list of programs. Return false when the id
 * belongs to no open query. */
bool
operator_on_chunk (struct Operator *operators, const struct PeerChunk *chunk);
bool
operator_on_response (struct Operator *operators, const struct PeerResponse *response);
