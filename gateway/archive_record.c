#include "archive_record.h"

#include <buckthornhead/pack.h>
#include <buckthornhead/turn_index.h>

#include <string.h>

/* Records on disk: [kind, time of the retention clock in ms, fields]. */

int32_t
archive_record_pack (TALLOC_CTX *ctx,
                     const struct ArchiveRecord *record,
                     uint8_t **bytes,
                     size_t *n_bytes)
{
  struct PackWriter *p = pack_writer_new (ctx, false);

  if (p == NULL)
    return ERROR_NO_MEMORY;
  pack_array (p, record->kind == ARCHIVE_RECORD_OPEN ? 6 : 16);
  pack_u64 (p, record->kind);
  pack_i64 (p, record->unix_ms);
  if (record->kind == ARCHIVE_RECORD_OPEN)
    {
      pack_string (p, record->open.turn);
      pack_string (p, record->open.program);
      pack_u64 (p, record->open.reserve_tokens);
      pack_string (p, record->open.customer);
    }
  else
    turn_close_pack (p, &record->close);
  return pack_finish (p, ctx, bytes, n_bytes);
}

int32_t
archive_record_unpack (TALLOC_CTX *ctx,
                       const uint8_t *bytes,
                       size_t n_bytes,
                       struct ArchiveRecord *record)
{
  struct PackReader r;
  void *opened = pack_open (ctx, bytes, n_bytes, &r);

  memset (record, 0, sizeof *record);
  if (opened == NULL)
    return ERROR_INVALID;
  record->kind = (enum ArchiveRecordKind)read_u64 (&r, ARCHIVE_RECORD_CLOSE);
  record->unix_ms = read_i64 (&r);
  if (record->kind == ARCHIVE_RECORD_OPEN)
    {
      read_string (&r, record->open.turn, sizeof record->open.turn);
      read_string (&r, record->open.program, sizeof record->open.program);
      record->open.reserve_tokens = (uint32_t)read_u64 (&r, UINT32_MAX);
      /* Records of versions without customers end here. */
      if (r.at < r.n_items)
        read_string (&r, record->open.customer, sizeof record->open.customer);
    }
  else
    turn_close_unpack (&r, ctx, &record->close);
  talloc_free (opened);
  return read_end (&r);
}

bool
archive_record_reduce (struct ArchiveRecord *record, const struct TurnIndex *index)
{
  struct TurnClose *close = &record->close;

  if (record->kind == ARCHIVE_RECORD_OPEN)
    return turn_index_needs_open (index, &record->open);
  switch (turn_index_need_of (index, close))
    {
    case TURN_NEEDS_NOTHING:
      return false;
    case TURN_NEEDS_TEXT:
      return true;
    case TURN_NEEDS_CHARGE:
      break;
    }
  close->kept = false;
  close->text.input_bytes = 0;
  close->text.output_bytes = 0;
  return true;
}

/* Frames that are selected from others. */
struct FrameSelection
{
  const struct TurnIndex *index;
  struct DiskFrames selected;
  int32_t error;
};

static void
selection_on_frame (void *data, const struct DiskPlace *place, const uint8_t *bytes, size_t n_bytes)
{
  struct FrameSelection *selection = data;
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct ArchiveRecord record;
  uint8_t *packed = NULL;
  bool is_valid = archive_record_unpack (ctx, bytes, n_bytes, &record) == ERROR_NONE;
  bool was_kept = is_valid && record.kind == ARCHIVE_RECORD_CLOSE && record.close.kept;

  (void)place;
  /* The receiver logs a malformed record. */
  if (selection->error != ERROR_NONE
      || (is_valid && !archive_record_reduce (&record, selection->index)))
    goto done;
  if (was_kept && !record.close.kept)
    selection->error = archive_record_pack (ctx, &record, &packed, &n_bytes);
  if (selection->error == ERROR_NONE)
    selection->error =
        disk_frames_add (&selection->selected, packed != NULL ? packed : bytes, n_bytes);

done:
  talloc_free (ctx);
}

int32_t
archive_records_select (TALLOC_CTX *ctx,
                        const struct TurnIndex *index,
                        uint8_t **frames,
                        size_t *n_bytes)
{
  struct FrameSelection selection = { .index = index, .selected = { .ctx = ctx } };

  disk_log_each_frame (*frames, *n_bytes, selection_on_frame, &selection);
  if (selection.error != ERROR_NONE)
    {
      talloc_free (selection.selected.bytes);
      return selection.error;
    }
  talloc_free (*frames);
  *frames = selection.selected.bytes;
  *n_bytes = selection.selected.n_bytes;
  return ERROR_NONE;
}
