/* An archive's membership of the set: it joins, copies, leaves, and replaces members that failed.
 *
 * The archive that joins or leaves drives the change; the store's compare-and-swap resolves
 * conflicts between two archives. */
#pragma once

#include "archive_copy.h"

struct ArchiveMember;

struct ArchiveMember *
archive_member_new (TALLOC_CTX *ctx,
                    struct Node *node,
                    struct Archive *archive,
                    struct DiskLog *log);

/* Replaces the list of the instances that the operators retire by that of snapshot. */
void
archive_member_set_retiring (struct ArchiveMember *member, const struct Snapshot *snapshot);

/* Returns the generation of the last change for which this archive has copied everything; 0 for
 * none. */
uint64_t
archive_member_synced_generation (const struct ArchiveMember *member);
