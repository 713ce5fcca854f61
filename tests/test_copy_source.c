#include "test_main.h"

#include <buckthornhead/copy_source.h>

#include <stdlib.h>
#include <string.h>

enum
{
  FILES_MAX = 40,
  FILE_MAX_RECORDS = 12,
  PART_RECORDS = 3,
  N_HISTORIES = 2000
};

/* A log of numbered records in numbered files, as a source has it. */
struct FakeLog
{
  int64_t id;
  uint32_t first_file, last_file;
  uint32_t n_records[FILES_MAX]; /* of each file; 0: the file does not exist */
  bool complete;
  bool ignores_files; /* as versions that do not know COPY_WANT_FILE */
};

struct Fixture
{
  struct CopySource source;
  struct FakeLog log;
  uint64_t next_id;
  int64_t now_ms;
  uint32_t n_received[FILES_MAX][FILE_MAX_RECORDS]; /* times that each record was stored */
  size_t n_parts;
};

static uint64_t
cursor_of (uint32_t file, uint64_t offset)
{
  return file * (UINT64_C (1) << 32) + offset;
}

static uint32_t
log_next_file (const struct FakeLog *log, uint32_t file)
{
  while (file <= log->last_file && log->n_records[file] == 0)
    file++;
  return file;
}

/* Answers as disk_log_file_frames, or disk_log_frames, with records of length 1. */
static struct CopyPart
log_read (const struct FakeLog *log, uint64_t id, uint64_t cursor, uint32_t *file, uint32_t *from)
{
  struct CopyPart part = { .id = id, .next = cursor, .complete = log->complete };
  uint32_t number = (uint32_t)(cursor >> 32), offset = (uint32_t)cursor;

  part.has_clock = true;
  part.floor_unix_ms = log->id;
  if (number < FILES_MAX && offset >= log->n_records[number])
    {
      uint32_t next = log_next_file (log, number + 1);

      part.last = next > log->last_file;
      if (!part.last && !log->ignores_files && offset > 0)
        {
          part.next = cursor_of (number + 1, 0);
          return part;
        }
      number = next;
      offset = 0;
    }
  if (number > log->last_file)
    {
      part.last = true;
      return part;
    }
  *file = number;
  *from = offset;
  part.records_bytes = log->n_records[number] - offset;
  if (part.records_bytes > PART_RECORDS)
    part.records_bytes = PART_RECORDS;
  part.next = cursor_of (number, offset + part.records_bytes);
  if (!log->ignores_files && number < log->last_file
      && offset + part.records_bytes == log->n_records[number])
    part.next = cursor_of (number + 1, 0);
  return part;
}

/* Sends one lane's request if it wants one, and returns whether it did. */
static bool
fixture_request (struct Fixture *f, size_t lane)
{
  uint64_t cursor;

  if (!copy_source_wants (&f->source, lane, f->now_ms, &cursor))
    return false;
  copy_source_requested (&f->source, lane, ++f->next_id, f->now_ms);
  return true;
}

/* Answers the pending request of a lane. */
static void
fixture_answer (struct Fixture *f, size_t lane)
{
  const struct CopyLane *l = &f->source.lanes[lane];
  uint32_t file = 0, from = 0;
  struct CopyPart part;

  if (l->request_id == 0)
    return;
  part = log_read (&f->log, l->request_id, l->cursor, &file, &from);
  f->n_parts++;
  if (copy_source_receive (&f->source, &part, f->now_ms))
    for (uint32_t i = 0; i < part.records_bytes; i++)
      f->n_received[file][from + i]++;
}

/* Copies until the source is finished, with lanes answered in a random order. */
static bool
fixture_copy (struct Fixture *f, int64_t since_ms)
{
  for (int step = 0; step < 2000 && !copy_source_is_finished (&f->source, since_ms); step++)
    {
      for (size_t lane = 0; lane < COPY_LANES; lane++)
        fixture_request (f, lane);
      fixture_answer (f, (size_t)rand () % COPY_LANES);
      f->now_ms += 10;
    }
  return copy_source_is_finished (&f->source, since_ms);
}

static void
fixture_fill (struct Fixture *f, uint32_t first_file, uint32_t last_file)
{
  f->log.first_file = first_file;
  f->log.last_file = last_file;
  for (uint32_t i = first_file; i <= last_file; i++)
    f->log.n_records[i] = i == last_file || rand () % 4 > 0 ? 1 + (uint32_t)rand () % 8 : 0;
}

static struct Fixture
fixture_new (uint32_t first_file, uint32_t last_file)
{
  struct Fixture f;

  memset (&f, 0, sizeof f);
  f.now_ms = 1000;
  f.log.id = 7;
  f.log.complete = true;
  fixture_fill (&f, first_file, last_file);
  return f;
}

static bool
fixture_has_all (const struct Fixture *f)
{
  for (uint32_t file = 0; file < FILES_MAX; file++)
    for (uint32_t i = 0; i < f->log.n_records[file]; i++)
      if (f->n_received[file][i] == 0)
        return false;
  return true;
}

static bool
fixture_has_doubles (const struct Fixture *f)
{
  for (uint32_t file = 0; file < FILES_MAX; file++)
    for (uint32_t i = 0; i < FILE_MAX_RECORDS; i++)
      if (f->n_received[file][i] > 1)
        return true;
  return false;
}

/* Guards against records that no lane, or two lanes, copy. */
static void
test_lanes_copy_each_record_once (void)
{
  srand (1);
  for (int i = 0; i < N_HISTORIES; i++)
    {
      uint32_t first_file = 1 + (uint32_t)rand () % 10;
      struct Fixture f = fixture_new (first_file, first_file + (uint32_t)rand () % 20);

      CU_ASSERT_TRUE_FATAL (fixture_copy (&f, f.now_ms));
      CU_ASSERT_TRUE_FATAL (fixture_has_all (&f));
      CU_ASSERT_FALSE_FATAL (fixture_has_doubles (&f));
    }
}

/* An earlier version does not stop at the end of a file. */
static void
test_sources_of_earlier_versions_are_copied (void)
{
  srand (2);
  for (int i = 0; i < N_HISTORIES; i++)
    {
      struct Fixture f = fixture_new (1, 1 + (uint32_t)rand () % 20);

      f.log.ignores_files = true;
      CU_ASSERT_TRUE_FATAL (fixture_copy (&f, f.now_ms));
      CU_ASSERT_TRUE_FATAL (fixture_has_all (&f));
    }
}

/* Guards against an end that was reached before a change of the set: records that the source
 * acknowledged after it would be missing. */
static void
test_end_counts_only_since_the_change (void)
{
  struct Fixture f = fixture_new (1, 5);
  int64_t since_ms;

  CU_ASSERT_TRUE (fixture_copy (&f, f.now_ms));
  since_ms = f.now_ms + 500;
  f.log.n_records[5]++;
  CU_ASSERT_FALSE (copy_source_is_finished (&f.source, since_ms));
  CU_ASSERT_TRUE (fixture_copy (&f, since_ms));
  CU_ASSERT (f.now_ms >= since_ms);
  CU_ASSERT_TRUE (fixture_has_all (&f));
  CU_ASSERT_FALSE (fixture_has_doubles (&f));
}

/* A copy that starts over when the set changes takes the whole time again. */
static void
test_later_records_alone_are_copied_after_a_change (void)
{
  struct Fixture f = fixture_new (1, 20);
  size_t n_parts;

  CU_ASSERT_TRUE (fixture_copy (&f, f.now_ms));
  n_parts = f.n_parts;
  f.log.last_file = 21;
  f.log.n_records[21] = 1;
  CU_ASSERT_TRUE (fixture_copy (&f, f.now_ms + 1));
  CU_ASSERT_TRUE (fixture_has_all (&f));
  CU_ASSERT (f.n_parts - n_parts <= 2 * COPY_LANES);
}

/* A source that loses its disk and returns has other records at the same cursors. */
static void
test_other_log_of_a_source_is_copied_from_its_start (void)
{
  srand (3);
  for (int i = 0; i < N_HISTORIES; i++)
    {
      struct Fixture f = fixture_new (1, 1 + (uint32_t)rand () % 20);

      for (int step = rand () % 60; step > 0; step--)
        {
          fixture_request (&f, (size_t)rand () % COPY_LANES);
          fixture_answer (&f, (size_t)rand () % COPY_LANES);
        }
      memset (f.n_received, 0, sizeof f.n_received);
      memset (f.log.n_records, 0, sizeof f.log.n_records);
      f.log.id++;
      fixture_fill (&f, 1, 1 + (uint32_t)rand () % 20);
      f.now_ms += 10;
      CU_ASSERT_TRUE_FATAL (fixture_copy (&f, f.now_ms));
      CU_ASSERT_TRUE_FATAL (fixture_has_all (&f));
    }
}

/* Answers get lost, come late, and the log grows, loses expired files and begins new ones. */
static void
test_all_records_are_copied_in_drawn_histories (void)
{
  srand (4);
  for (int i = 0; i < N_HISTORIES; i++)
    {
      struct Fixture f = fixture_new (1, 1 + (uint32_t)rand () % 5);

      for (int step = 0; step < 60; step++)
        {
          uint32_t *last = &f.log.n_records[f.log.last_file];

          fixture_request (&f, (size_t)rand () % COPY_LANES);
          if (rand () % 3 > 0)
            fixture_answer (&f, (size_t)rand () % COPY_LANES);
          if (rand () % 3 == 0 && *last < FILE_MAX_RECORDS)
            ++*last;
          if (rand () % 8 == 0 && f.log.last_file + 1 < FILES_MAX)
            f.log.n_records[++f.log.last_file] = 1;
          if (rand () % 20 == 0 && f.log.first_file < f.log.last_file)
            f.log.n_records[f.log.first_file++] = 0;
          f.now_ms += rand () % 300;
        }
      CU_ASSERT_TRUE_FATAL (fixture_copy (&f, f.now_ms));
      CU_ASSERT_TRUE_FATAL (fixture_has_all (&f));
    }
}

/* A source whose own disk lacks records cannot show that there are no others. */
static void
test_incomplete_source_is_not_finished (void)
{
  struct Fixture f = fixture_new (1, 3);

  f.log.complete = false;
  CU_ASSERT_FALSE (fixture_copy (&f, f.now_ms));
  CU_ASSERT_TRUE (fixture_has_all (&f));
  f.log.complete = true;
  CU_ASSERT_TRUE (fixture_copy (&f, f.now_ms));
}

/* A source that does not answer must not be flooded with requests, nor be given up. */
static void
test_lost_request_is_repeated_after_its_timeout (void)
{
  struct Fixture f = fixture_new (1, 1);

  CU_ASSERT_TRUE (fixture_request (&f, 0));
  CU_ASSERT_FALSE (fixture_request (&f, 0));
  CU_ASSERT_FALSE (fixture_request (&f, 1));
  f.now_ms += 1001;
  CU_ASSERT_TRUE (fixture_request (&f, 0));
  fixture_answer (&f, 0);
  CU_ASSERT_TRUE (fixture_copy (&f, f.now_ms));
}

/* A copy that starts over after failed writes kept its cursors and the ends of its sources. */
static void
test_source_begins_at_its_first_record_again (void)
{
  struct Fixture f = fixture_new (1, 5);
  uint64_t cursor;

  CU_ASSERT_TRUE (fixture_copy (&f, f.now_ms));
  copy_source_begin (&f.source, "a");
  CU_ASSERT_STRING_EQUAL (f.source.node, "a");
  CU_ASSERT_FALSE (copy_source_is_finished (&f.source, 0));
  CU_ASSERT_TRUE (copy_source_wants (&f.source, 0, f.now_ms, &cursor));
  CU_ASSERT_EQUAL (cursor, 0);
}

const char test_suite_name[] = "copy_source";
const struct TestCase test_cases[] = {
  { "lanes copy each record once", test_lanes_copy_each_record_once },
  { "sources of earlier versions are copied", test_sources_of_earlier_versions_are_copied },
  { "an end counts only since the change", test_end_counts_only_since_the_change },
  { "later records alone are copied after a change",
    test_later_records_alone_are_copied_after_a_change },
  { "another log of a source is copied from its start",
    test_other_log_of_a_source_is_copied_from_its_start },
  { "all records are copied in drawn histories", test_all_records_are_copied_in_drawn_histories },
  { "an incomplete source is not finished", test_incomplete_source_is_not_finished },
  { "a lost request is repeated after its timeout",
    test_lost_request_is_repeated_after_its_timeout },
  { "a source begins at its first record again", test_source_begins_at_its_first_record_again },
  { NULL, NULL },
};
