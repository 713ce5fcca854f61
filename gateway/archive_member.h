/* An archive's place in the set: it joins, copies, steps down, and stands in for those that are
 * gone.
 *
 * The archive that wants the change drives it, and the store decides between two that want one. */
#pragma once

#include "archive_copy.h"

struct ArchiveMember;

struct ArchiveMember *
archive_member_new (TALLOC_CTX *ctx,
                    struct Node *node,
                    struct Archive *archive,
                    struct DiskLog *log);

/* The machines that the operators want emptied. */
void
archive_member_take_retire (struct ArchiveMember *member, const struct Snapshot *snapshot);

/* Generation of a change for which everything is copied; 0 for none. */
uint64_t
archive_member_synced (const struct ArchiveMember *member);

void
archive_member_take_part (struct ArchiveMember *member,
                          const char *sender,
                          const struct CopyPart *part);
