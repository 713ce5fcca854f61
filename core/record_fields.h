/* Serialization of fields shared by records, ledger snapshots and messages between instances. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/pack.h>

void
outcome_pack (struct PackWriter *writer, const struct Outcome *outcome);
/* Allocates the copy of the answer on ctx. */
void
outcome_read (struct PackReader *reader, TALLOC_CTX *ctx, struct Outcome *outcome);
