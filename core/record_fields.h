/* Packing of the parts that records, ledger snapshots and messages between instances share. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/pack.h>

void
outcome_pack (struct PackWriter *writer, const struct Outcome *outcome);
/* The answer's copy belongs to ctx. */
void
outcome_read (struct PackReader *reader, TALLOC_CTX *ctx, struct Outcome *outcome);
