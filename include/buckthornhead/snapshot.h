/* Members and partition homes, published by RCU for the HTTP threads.
 *
 * The core thread builds and publishes a new snapshot after each change; readers on the request
 * path take no lock and send the core no message. */
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
  int32_t *homes;   /* for each partition an index into members, -1 for none */
  uint32_t keep_ms; /* how long a caller may cache the address list */
};

/* Publishes snapshot and takes ownership of it; the previous one is freed once no reader uses it.
 * Core thread only. */
void
snapshot_publish (struct Snapshot *snapshot);

/* Returns the members' caller addresses for program as a JSON object (belongs to ctx): its home
 * first, then members in the caller's availability zone, then the others. Draining members are left
 * out, suspected members come last. May be called from any thread. */
char *
snapshot_rank (TALLOC_CTX *ctx, const char *program, const char *zone);
