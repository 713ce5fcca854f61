/* Copies other archives' records to this one, to replace a lost disk or before the set changes. */
#pragma once

#include "archive_record.h"
#include "node.h"

#include <buckthornhead/copy_progress.h>
#include <buckthornhead/disk_log.h>
#include <buckthornhead/retention_clock.h>

struct Archive;
struct ArchiveCopy;
struct TurnIndex;

/* Returns the clock of the archive's stamps. */
const struct RetentionClock *
archive_clock (const struct Archive *archive);

/* These return what the archive consists of. */
struct DiskLog *
archive_log (const struct Archive *archive);
const struct TurnIndex *
archive_index (const struct Archive *archive);
struct Node *
archive_node (const struct Archive *archive);

/* Stores a record of another archive, stamped by this archive's clock. Returns false if the turn
 * has already closed here. */
bool
archive_store_copied (struct Archive *archive, const struct ArchiveRecord *record);

/* Returns the progress of the records passed to archive_store_copied. */
struct CopyProgress *
archive_copy_progress (struct Archive *archive);

struct ArchiveCopyOptions
{
  /* Returns whether this archive may be copied from. */
  bool (*is_source) (void *data, const char *archive);
  /* Returns whether all records of these archives are sufficient; done is called once they are
   * durable here. */
  bool (*is_sufficient) (void *data, const struct ArchiveNames *archives);
  void (*done) (void *data);
  void *data;
};

/* Starts a copy. It calls done once and then frees itself; until then the ends of the sources'
 * records count from now on. NULL without memory. */
struct ArchiveCopy *
archive_copy_new (TALLOC_CTX *ctx,
                  struct Node *node,
                  struct Archive *archive,
                  const struct ArchiveCopyOptions *options);

/* Continues the copy for another purpose: the end of a source's records counts only if it is
 * requested settle_ms from now or later. */
void
archive_copy_require (struct ArchiveCopy *copy, int64_t settle_ms);

/* Responds to another archive that copies from this one, with the records that it still needs. */
void
archive_copy_send_part (struct Archive *archive, uint64_t link, const struct CopyWant *want);
