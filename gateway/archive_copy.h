/* An archive copies what others hold: to stand for a disk that was lost, or before the set changes.
 */
#pragma once

#include "node.h"

#include <buckthornhead/copy_progress.h>
#include <buckthornhead/disk_log.h>

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
  int64_t unix_ms; /* when it was first written */
  struct TurnOpen open;
  struct TurnClose close;
};

/* ERROR_INVALID for anything malformed. The texts belong to ctx. */
int32_t
archive_record_unpack (TALLOC_CTX *ctx,
                       const uint8_t *bytes,
                       size_t n_bytes,
                       struct ArchiveRecord *record);

/* A record of another archive: kept here, too, unless it is already. */
void
archive_take_copy (struct Archive *archive, const struct ArchiveRecord *record);

/* Of all that archive_take_copy took. */
struct CopyProgress *
archive_copy_progress (struct Archive *archive);

struct ArchiveCopyOptions
{
  /* May this archive be copied from? */
  bool (*is_source) (void *data, const char *archive);
  /* Have enough given all that they hold? Done is called once that is durable here. */
  bool (*is_enough) (void *data, const struct ArchiveNames *archives);
  /* A source's end counts if it was asked for this long after the start. */
  int64_t settle_ms;
  void (*done) (void *data);
  void *data;
};

/* Begins to copy; done is called once, and the copy is freed after it. */
struct ArchiveCopy *
archive_copy_new (TALLOC_CTX *ctx,
                  struct Node *node,
                  struct Archive *archive,
                  const struct ArchiveCopyOptions *options);

void
archive_copy_take (struct ArchiveCopy *copy, const char *sender, const struct CopyPart *part);

/* Answers another archive that copies from this one. */
void
archive_copy_answer (struct Node *node,
                     struct DiskLog *log,
                     uint64_t link,
                     const struct CopyWant *want);
