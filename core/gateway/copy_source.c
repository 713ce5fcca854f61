#include <buckthornhead/copy_source.h>

#include <stdio.h>
#include <string.h>

enum
{
  PART_TIMEOUT_MS = 1000,
  COPY_POLL_MS = 100,
  FILE_SHIFT = 32 /* a cursor is the number of a file and an offset in it */
};

void
copy_source_begin (struct CopySource *source, const char *node)
{
  memset (source, 0, sizeof *source);
  snprintf (source->node, sizeof source->node, "%s", node);
}

static void
lane_stop (struct CopyLane *lane)
{
  memset (lane, 0, sizeof *lane);
}

/* Returns whether a lane may claim the next file. Only one lane at a time does, and none while one
 * waits for new records at the end of the log: it is not known whether that file exists. */
static bool
source_may_claim (const struct CopySource *source)
{
  for (size_t i = 0; i < COPY_LANES; i++)
    if (source->lanes[i].claiming || source->lanes[i].at_end)
      return false;
  return true;
}

bool
copy_source_wants (struct CopySource *source, size_t lane, int64_t now_ms, uint64_t *cursor)
{
  struct CopyLane *l = &source->lanes[lane];

  if (l->request_id != 0 && now_ms - l->requested_ms <= PART_TIMEOUT_MS)
    return false;
  if (l->at_end && now_ms - l->requested_ms < COPY_POLL_MS)
    return false;
  if (!l->reading)
    {
      if (!source_may_claim (source))
        return false;
      l->reading = true;
      l->claiming = true;
      l->cursor = (uint64_t)source->next_file << FILE_SHIFT;
    }
  *cursor = l->cursor;
  return true;
}

void
copy_source_requested (struct CopySource *source, size_t lane, uint64_t id, int64_t now_ms)
{
  source->lanes[lane].request_id = id;
  source->lanes[lane].requested_ms = now_ms;
}

static struct CopyLane *
source_find_lane (struct CopySource *source, uint64_t request_id)
{
  for (size_t i = 0; i < COPY_LANES; i++)
    if (source->lanes[i].request_id == request_id && request_id != 0)
      return &source->lanes[i];
  return NULL;
}

bool
copy_source_has_request (struct CopySource *source, uint64_t request_id)
{
  return source_find_lane (source, request_id) != NULL;
}

/* Returns whether part is of the log of the parts before. Otherwise begins to copy the other log
 * from its start. */
static bool
source_check_log (struct CopySource *source, const struct CopyPart *part)
{
  bool changed = source->has_log_id && part->has_clock && part->floor_unix_ms != source->log_id;

  if (changed)
    {
      source->next_file = 0;
      for (size_t i = 0; i < COPY_LANES; i++)
        lane_stop (&source->lanes[i]);
    }
  source->has_log_id = source->has_log_id || part->has_clock;
  if (part->has_clock)
    source->log_id = part->floor_unix_ms;
  return !changed;
}

/* Moves lane behind the records of part. Returns whether they are of the lane's file, or of one
 * that no lane has claimed: a claimed number may have no file, and sources of earlier versions do
 * not stop at the end of a file. */
static bool
lane_advance (struct CopySource *source, struct CopyLane *lane, const struct CopyPart *part)
{
  bool at_file_end = (uint32_t)part->next == 0;
  uint32_t file = (uint32_t)(part->next >> FILE_SHIFT) - (at_file_end ? 1 : 0);
  bool is_new = lane->claiming || file != (uint32_t)(lane->cursor >> FILE_SHIFT);

  lane->at_end = false;
  if (is_new && file < source->next_file)
    {
      lane_stop (lane);
      return false;
    }
  if (is_new)
    source->next_file = file + 1;
  lane->claiming = false;
  lane->cursor = part->next;
  if (at_file_end)
    lane_stop (lane);
  return true;
}

bool
copy_source_receive (struct CopySource *source, const struct CopyPart *part, int64_t now_ms)
{
  struct CopyLane *lane = source_find_lane (source, part->id);

  if (lane == NULL)
    return false;
  source->n_parts++;
  source->waited_ms += (uint64_t)(now_ms - lane->requested_ms);
  lane->request_id = 0;
  if (!source_check_log (source, part))
    return false;
  if (!part->last)
    return lane_advance (source, lane, part);
  lane->at_end = true;
  lane->end_is_complete = part->complete;
  lane->end_requested_ms = lane->requested_ms;
  return false;
}

bool
copy_source_is_finished (const struct CopySource *source, int64_t since_ms)
{
  size_t n_reading = 0;

  for (size_t i = 0; i < COPY_LANES; i++)
    {
      const struct CopyLane *lane = &source->lanes[i];

      if (!lane->reading)
        continue;
      if (!lane->at_end || !lane->end_is_complete || lane->end_requested_ms < since_ms)
        return false;
      n_reading++;
    }
  return n_reading > 0;
}
