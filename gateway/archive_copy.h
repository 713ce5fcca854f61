/* Copies other archives' records to this one, to replace a lost disk or before the set changes. */
#pragma once

#include "node.h"

#include <buckthornhead/copy_progress.h>
#include <buckthornhead/disk_log.h>
#include <buckthornhead/retention_clock.h>

struct Archive;
struct ArchiveCopy;

enum ArchiveRecordKind
{
  ARCHIVE_RECORD_OPEN = 1, /* a reservation */
  ARCHIVE_RECORD_CLOSE = 2
};

struct ArchiveRecord
{
  enum ArchiveRecordKind kind;
  int64_t unix_ms; /* when it was written, by the clock of the archive that has it */
  struct TurnOpen open;
  struct TurnClose close;
};

/* Returns ERROR_INVALID for malformed input. The turn's texts belong to ctx. */
int32_t
archive_record_unpack (TALLOC_CTX *ctx,
                       const uint8_t *bytes,
                       size_t n_bytes,
                       struct ArchiveRecord *record);

/* Returns the clock of the archive's stamps. */
const struct RetentionClock *
archive_clock (const struct Archive *archive);

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

/* Responds to another archive that copies from this one. */
void
archive_copy_send_part (struct Node *node,
                        struct DiskLog *log,
                        const struct RetentionClock *clock,
                        uint64_t link,
                        const struct CopyWant *want);
