/* What the HTTP threads may read without asking the core: members and homes, published by RCU.
 *
 * The core builds a new snapshot at each change and publishes it; readers on the request path take
 * no lock. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/settings.h>

#include <talloc.h>

struct SnapshotMember
{
  char instance[NAME_MAX_BYTES + 1];
  char zone[NAME_MAX_BYTES + 1];
  char caller_address[ADDRESS_MAX_BYTES + 1];
  bool draining, suspected;
};

struct Snapshot
{
  struct SnapshotMember *members;
  size_t n_members;
  uint32_t n_partitions;
  int32_t *homes;   /* index into members for each partition, -1 for none */
  uint32_t keep_ms; /* how long a caller may keep an answer */
};

/* Core thread: publishes snapshot, whose ownership passes; the former one is freed once no reader
 * holds it. */
void
snapshot_publish (struct Snapshot *snapshot);

/* Addresses for program as a JSON object (belongs to ctx): its home first, then the caller's
 * availability zone, then the others; draining ones left out, suspected ones last. Any thread. */
char *
snapshot_rank (TALLOC_CTX *ctx, const char *program, const char *zone);
