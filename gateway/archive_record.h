/* The records of an archive's log. */
#pragma once

#include <buckthornhead/disk_log.h>
#include <buckthornhead/gateway_message.h>

struct TurnIndex;

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

/* Packs the record; the bytes belong to ctx. ERROR_NO_MEMORY. */
int32_t
archive_record_pack (TALLOC_CTX *ctx,
                     const struct ArchiveRecord *record,
                     uint8_t **bytes,
                     size_t *n_bytes);

/* Returns ERROR_INVALID for malformed input. The turn's texts belong to ctx. */
int32_t
archive_record_unpack (TALLOC_CTX *ctx,
                       const uint8_t *bytes,
                       size_t n_bytes,
                       struct ArchiveRecord *record);

/* Removes from a record of this archive what no archive needs any more by its index: the texts of
 * an expired turn. Returns false if the whole record is not needed: a reservation that was settled,
 * or a program that has expired. */
bool
archive_record_reduce (struct ArchiveRecord *record, const struct TurnIndex *index);

/* Replaces frames, which belong to ctx, by those that are needed. ERROR_NO_MEMORY leaves them. */
int32_t
archive_records_select (TALLOC_CTX *ctx,
                        const struct TurnIndex *index,
                        uint8_t **frames,
                        size_t *n_bytes);
