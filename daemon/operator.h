/* The operators' view and the changes they make; the paths are in docs/INTERFACE.md. */
#pragma once

#include "core.h"

struct Operator *
operator_new (struct Core *core);

/* Takes over the core's reference to exchange. */
void
operator_on_exchange (struct Operator *operators, struct Exchange *exchange);
void
operator_on_disconnect (struct Operator *operators, struct Exchange *exchange);
/* Part and end of another instance's list of programs. False when the id is not the operators'. */
bool
operator_on_chunk (struct Operator *operators, const struct PeerChunk *chunk);
bool
operator_on_answer (struct Operator *operators, const struct PeerAnswer *answer);
