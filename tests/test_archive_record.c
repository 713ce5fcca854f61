#include "test_main.h"

#include "../gateway/archive_record.h"

#include <buckthornhead/turn_index.h>

#include <stdio.h>
#include <string.h>

enum
{
  RETENTION_MS = 60000,
  TEXT_BYTES = 500
};

static const uint8_t text[TEXT_BYTES] = { 'x' };

static struct ArchiveRecord
record_open (const char *turn)
{
  struct ArchiveRecord record = { .kind = ARCHIVE_RECORD_OPEN, .unix_ms = 1000 };

  record.open.reserve_tokens = 200;
  snprintf (record.open.turn, sizeof record.open.turn, "%s", turn);
  snprintf (record.open.program, sizeof record.open.program, "p");
  return record;
}

static struct ArchiveRecord
record_close (const char *turn)
{
  struct ArchiveRecord record = { .kind = ARCHIVE_RECORD_CLOSE, .unix_ms = 1000 };

  record.close.kept = true;
  record.close.retention_ms = RETENTION_MS;
  record.close.charge_tokens = 76;
  record.close.text.input = text;
  record.close.text.input_bytes = TEXT_BYTES;
  record.close.text.output = text;
  record.close.text.output_bytes = TEXT_BYTES;
  snprintf (record.close.program, sizeof record.close.program, "p");
  snprintf (record.close.text.turn, sizeof record.close.text.turn, "%s", turn);
  return record;
}

static void
index_add (struct TurnIndex *index, const struct ArchiveRecord *record)
{
  const struct DiskPlace place = { 1, 0, 100 };

  if (record->kind == ARCHIVE_RECORD_OPEN)
    turn_index_reserve (index, &record->open, record->unix_ms);
  else
    turn_index_close (index, &record->close, &place, record->unix_ms);
}

/* The records that a selection of frames has. */
struct Selected
{
  uint32_t n_opens, n_closes, charge_tokens;
  size_t text_bytes;
};

static void
selected_on_frame (void *data, const struct DiskPlace *place, const uint8_t *bytes, size_t n_bytes)
{
  struct Selected *selected = data;
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct ArchiveRecord record;

  (void)place;
  CU_ASSERT_EQUAL (archive_record_unpack (ctx, bytes, n_bytes, &record), ERROR_NONE);
  CU_ASSERT_EQUAL (record.unix_ms, 1000);
  selected->n_opens += record.kind == ARCHIVE_RECORD_OPEN;
  selected->n_closes += record.kind == ARCHIVE_RECORD_CLOSE;
  selected->charge_tokens += record.close.charge_tokens;
  selected->text_bytes += record.close.text.input_bytes + record.close.text.output_bytes;
  talloc_free (ctx);
}

/* Selects from the log's records what is still needed by the index. */
static struct Selected
select_needed (const struct TurnIndex *index, const struct ArchiveRecord *records, size_t n)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct DiskFrames frames = { .ctx = ctx };
  struct Selected selected = { 0 };

  for (size_t i = 0; i < n; i++)
    {
      uint8_t *bytes;
      size_t n_bytes;

      CU_ASSERT_EQUAL (archive_record_pack (ctx, &records[i], &bytes, &n_bytes), ERROR_NONE);
      CU_ASSERT_EQUAL (disk_frames_add (&frames, bytes, n_bytes), ERROR_NONE);
    }
  CU_ASSERT_EQUAL (archive_records_select (ctx, index, &frames.bytes, &frames.n_bytes), ERROR_NONE);
  disk_log_each_frame (frames.bytes, frames.n_bytes, selected_on_frame, &selected);
  talloc_free (ctx);
  return selected;
}

/* Guards against copies that grow with all that was written, not with what is needed. */
static void
test_expired_texts_are_not_copied (void)
{
  const struct ArchiveRecord records[] = { record_open ("t1"), record_close ("t1"),
                                           record_open ("t2") };
  struct TurnIndex *index = turn_index_new (NULL);
  struct Selected selected;

  for (size_t i = 0; i < 3; i++)
    index_add (index, &records[i]);
  selected = select_needed (index, records, 3);
  CU_ASSERT_EQUAL (selected.n_opens, 1); /* of t2, which is still open */
  CU_ASSERT_EQUAL (selected.n_closes, 1);
  CU_ASSERT_EQUAL (selected.text_bytes, 2 * TEXT_BYTES);
  turn_index_expire (index, 1000 + 2 * RETENTION_MS);
  selected = select_needed (index, records, 3);
  CU_ASSERT_EQUAL (selected.n_opens, 1);
  CU_ASSERT_EQUAL (selected.n_closes, 1);
  CU_ASSERT_EQUAL (selected.charge_tokens, 76);
  CU_ASSERT_EQUAL (selected.text_bytes, 0);
  turn_index_expire (index, 1000 + 4 * RETENTION_MS);
  selected = select_needed (index, records, 3);
  CU_ASSERT_EQUAL (selected.n_opens + selected.n_closes, 0);
  talloc_free (index);
}

/* A program's budget counts the charges of turns whose texts have expired. */
static void
test_charge_without_texts_counts_at_the_receiver (void)
{
  struct ArchiveRecord record = record_close ("t1");
  struct TurnIndex *sender = turn_index_new (NULL), *receiver = turn_index_new (NULL);
  struct TurnPlace place;

  index_add (sender, &record);
  turn_index_expire (sender, 1000 + 2 * RETENTION_MS);
  CU_ASSERT_TRUE (archive_record_reduce (&record, sender));
  index_add (receiver, &record);
  CU_ASSERT_TRUE (turn_index_is_closed (receiver, "", "p", "t1"));
  CU_ASSERT_FALSE (turn_index_find (receiver, "", "t1", &place));
  talloc_free (sender);
  talloc_free (receiver);
}

/* The receiver logs what it cannot read; the sender must not drop it without notice. */
static void
test_malformed_records_are_passed_on (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct DiskFrames frames = { .ctx = ctx };
  struct TurnIndex *index = turn_index_new (ctx);
  size_t n_bytes;

  CU_ASSERT_EQUAL (disk_frames_add (&frames, (const uint8_t *)"bad", 3), ERROR_NONE);
  n_bytes = frames.n_bytes;
  CU_ASSERT_EQUAL (archive_records_select (ctx, index, &frames.bytes, &frames.n_bytes), ERROR_NONE);
  CU_ASSERT_EQUAL (frames.n_bytes, n_bytes);
  talloc_free (ctx);
}

const char test_suite_name[] = "archive_record";
const struct TestCase test_cases[] = {
  { "expired texts are not copied", test_expired_texts_are_not_copied },
  { "a charge without texts counts at the receiver",
    test_charge_without_texts_counts_at_the_receiver },
  { "malformed records are passed on", test_malformed_records_are_passed_on },
  { NULL, NULL },
};
