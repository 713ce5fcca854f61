#include "archive.h"

#include "archive_clock.h"
#include "archive_member.h"
#include "archive_state.h"
#include "suspects.h"

#include <buckthornhead/clock.h>
#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>
#include <buckthornhead/turn_index.h>

#include <stdio.h>
#include <string.h>

enum
{
  EXPIRE_PERIOD_MS = 2000,
  /* Files are deleted this long after their last record expires. More than the index adds to the
   * retention of a turn. */
  FILE_EXPIRY_MARGIN_MS = 30 * 1000,
  RESERVATION_RETENTION_MS = 180 * 1000, /* the index's retention of a program */
  HISTORY_MAX_BYTES = 8 * 1024 * 1024    /* in one response; the gateway requests the rest */
};

struct Archive
{
  struct Node *node;
  struct DiskLog *log;
  struct RetentionClock clock; /* of all stamps and expiries */
  bool has_records;            /* in the log, at the start */
  bool clock_loaded;           /* continues from earlier processes */
  bool logged_retention;       /* that a turn is kept for longer than the settings expect */
  struct TurnIndex *index;
  struct ArchiveMember *member;
  struct Suspects *suspects;
  struct CopyProgress copy_progress; /* of records copied from other archives */
};

/* A request that gets its response once its record is durable. */
struct ArchiveWrite
{
  struct Archive *archive;
  uint64_t link; /* on which the request arrived; PEER_LINK_NONE: copied from another archive */
  enum ArchiveRecordKind kind;
  struct TurnOpen open;
  struct TurnClose close; /* without the turn's texts */
  size_t n_bytes;         /* of the record */
};

static void
archive_index_close (struct Archive *archive,
                     const struct TurnClose *close,
                     const struct DiskPlace *place,
                     int64_t unix_ms)
{
  if (turn_index_close (archive->index, close, place, unix_ms) != ERROR_NONE)
    log_event (LOG_LEVEL_ERROR, "archive_no_memory", close->program,
               "give the instance more memory",
               "turn %s is on disk but could not be added to the index", close->text.turn);
}

/* The file of a turn must not expire before the turn. */
static void
archive_on_turn_extended (void *data, const struct DiskPlace *place, int64_t expires_unix_ms)
{
  struct Archive *archive = data;

  disk_log_extend (archive->log, place->file, expires_unix_ms + FILE_EXPIRY_MARGIN_MS);
}

static int32_t
archive_index_open (struct Archive *archive, const struct TurnOpen *open, int64_t unix_ms)
{
  int32_t error = turn_index_reserve (archive->index, open, unix_ms);

  if (error == ERROR_NONE)
    error = turn_index_extend_program (archive->index, open, unix_ms);
  return error;
}

/* Adds one record of the disk log to the index, at the start. */
static void
archive_on_replay (void *data, const struct DiskPlace *place, const uint8_t *bytes, size_t n)
{
  struct Archive *archive = data;
  TALLOC_CTX *ctx = talloc_new (archive);
  struct ArchiveRecord record;
  int32_t error = archive_record_unpack (ctx, bytes, n, &record);
  int64_t unix_ms;

  if (!archive->has_records)
    archive->clock_loaded = archive_clock_load (&archive->clock, archive->log);
  archive->has_records = true;
  retention_clock_observe (&archive->clock, record.unix_ms);
  unix_ms = retention_clock_written (&archive->clock, record.unix_ms);
  if (error != ERROR_NONE)
    log_event (LOG_LEVEL_ERROR, "archive_record_malformed", NULL,
               "run the same version on all instances", "log-%u at offset %u", place->file,
               place->offset);
  else if (record.kind == ARCHIVE_RECORD_OPEN)
    archive_index_open (archive, &record.open, unix_ms);
  else
    archive_index_close (archive, &record.close, place, unix_ms);
  disk_log_extend (archive->log, place->file,
                   unix_ms + RESERVATION_RETENTION_MS + FILE_EXPIRY_MARGIN_MS);
  talloc_free (ctx);
}

/* History. */

static struct TurnOrigin
origin_of (const struct TurnClose *close)
{
  struct TurnOrigin origin = { .charge_tokens = close->charge_tokens,
                               .retention_ms = close->retention_ms };

  snprintf (origin.program, sizeof origin.program, "%s", close->program);
  return origin;
}

/* Appends the turn and its predecessors, newest first, until the chain ends, a turn is missing, or
 * the message reaches HISTORY_MAX_BYTES. */
static void
history_collect (struct Archive *archive,
                 TALLOC_CTX *ctx,
                 const char *customer,
                 const char *turn,
                 struct TurnOpened *opened)
{
  struct TurnPlace place;
  size_t total_bytes = 0;

  while (turn[0] != '\0' && total_bytes < HISTORY_MAX_BYTES
         && turn_index_find (archive->index, customer, turn, &place))
    {
      struct ArchiveRecord record;
      size_t n_bytes;
      uint8_t *bytes = disk_log_read (archive->log, ctx, &place.place, &n_bytes);

      if (bytes == NULL || archive_record_unpack (ctx, bytes, n_bytes, &record) != ERROR_NONE)
        return;
      talloc_free (bytes);
      opened->history =
          talloc_realloc (ctx, opened->history, struct TurnText, opened->n_history + 1);
      opened->origins =
          talloc_realloc (ctx, opened->origins, struct TurnOrigin, opened->n_history + 1);
      if (opened->history == NULL || opened->origins == NULL)
        {
          opened->n_history = 0;
          return;
        }
      opened->origins[opened->n_history] = origin_of (&record.close);
      opened->history[opened->n_history++] = record.close.text;
      total_bytes += n_bytes;
      turn = place.previous;
    }
}

static void
archive_send_opened (struct Archive *archive,
                     uint64_t link,
                     const struct TurnOpen *open,
                     int32_t error)
{
  TALLOC_CTX *ctx = talloc_new (archive);
  struct GatewayMessage response = { .kind = GATEWAY_TURN_OPENED };
  struct TurnPlace place;

  response.opened.id = open->id;
  response.opened.error = error;
  response.opened.complete = disk_log_is_complete (archive->log);
  response.opened.has_turn =
      open->previous[0] != '\0'
      && turn_index_find (archive->index, open->customer, open->previous, &place);
  response.opened.reports_chain = (open->id & TURN_WITH_CHAIN) != 0;
  response.opened.has_chain =
      response.opened.has_turn
      && turn_index_has_chain (archive->index, open->customer, open->previous);
  if (error == ERROR_NONE)
    response.opened.error = turn_index_charges (archive->index, ctx, open, &response.opened.charges,
                                                &response.opened.n_charges);
  response.opened.place = turn_index_place (archive->index, open);
  if (open->want_history)
    history_collect (archive, ctx, open->customer, open->previous, &response.opened);
  node_answer (archive->node, link, &response);
  talloc_free (ctx);
}

static void
archive_send_closed (struct Archive *archive, uint64_t link, uint64_t id, int32_t error)
{
  struct GatewayMessage response = { .kind = GATEWAY_TURN_CLOSED };

  response.closed.id = id;
  response.closed.error = error;
  node_answer (archive->node, link, &response);
}

/* Writing. */

static void
archive_on_durable (void *data, int32_t error, const struct DiskPlace *place)
{
  struct ArchiveWrite *write = data;
  struct Archive *archive = write->archive;

  if (error != ERROR_NONE)
    log_event (LOG_LEVEL_ERROR, "archive_write_failed", write->close.program, "check the disk",
               "record not written: %s", error_name (error));
  else
    counter_add (COUNTER_ARCHIVE_RECORDS, 1);
  if (error == ERROR_NONE && write->kind == ARCHIVE_RECORD_CLOSE)
    archive_index_close (archive, &write->close, place, retention_clock_now (&archive->clock));
  if (write->link == PEER_LINK_NONE)
    copy_progress_end (&archive->copy_progress, write->n_bytes, error);
  else if (write->kind == ARCHIVE_RECORD_OPEN)
    archive_send_opened (archive, write->link, &write->open, error);
  else
    archive_send_closed (archive, write->link, write->close.id, error);
  talloc_free (write);
}

/* A turn's charge counts for as long as a reservation, also if its texts expire sooner. */
static int64_t
record_retention_ms (const struct ArchiveRecord *record)
{
  bool has_texts = record->kind == ARCHIVE_RECORD_CLOSE && record->close.kept;

  return has_texts && record->close.retention_ms > RESERVATION_RETENTION_MS
             ? record->close.retention_ms
             : RESERVATION_RETENTION_MS;
}

static int32_t
archive_append (struct Archive *archive,
                const struct ArchiveRecord *record,
                struct ArchiveWrite *write)
{
  int64_t retention_ms = record_retention_ms (record);
  uint8_t *bytes;
  size_t n_bytes;
  int32_t error = archive_record_pack (write, record, &bytes, &n_bytes);

  if (error != ERROR_NONE)
    return error;
  write->n_bytes = n_bytes;
  error = disk_log_append (archive->log, bytes, n_bytes,
                           record->unix_ms + retention_ms + FILE_EXPIRY_MARGIN_MS,
                           archive_on_durable, write);
  talloc_free (bytes);
  return error;
}

static struct ArchiveWrite *
archive_write_new (struct Archive *archive, uint64_t link, enum ArchiveRecordKind kind)
{
  struct ArchiveWrite *write = talloc_zero (archive, struct ArchiveWrite);

  if (write == NULL)
    return NULL;
  write->archive = archive;
  write->link = link;
  write->kind = kind;
  return write;
}

/* Returns whether a request of this generation must be rejected: a quorum of an older set might not
 * overlap those of the present set. */
static bool
archive_is_fenced (const struct Archive *archive, uint64_t generation)
{
  return generation < archive_set_oldest_generation (&archive->node->set);
}

static void
archive_on_open (struct Archive *archive, uint64_t link, const struct TurnOpen *open)
{
  struct ArchiveRecord record = { .kind = ARCHIVE_RECORD_OPEN, .open = *open };
  struct ArchiveWrite *write = archive_write_new (archive, link, ARCHIVE_RECORD_OPEN);
  int32_t error = ERROR_NO_MEMORY;

  record.unix_ms = retention_clock_now (&archive->clock);
  if (archive_is_fenced (archive, open->generation))
    error = ERROR_FENCED;
  else if (write != NULL)
    {
      write->open = *open;
      error = archive_index_open (archive, open, record.unix_ms);
    }
  if (error == ERROR_NONE)
    error = archive_append (archive, &record, write);
  if (error == ERROR_NONE)
    return;
  archive_send_opened (archive, link, open, error);
  talloc_free (write);
}

static void
archive_check_retention (struct Archive *archive, const struct TurnClose *close)
{
  uint32_t longest_ms = archive->node->settings->longest_retention_ms;

  if (!close->kept || close->retention_ms <= (int64_t)longest_ms || archive->logged_retention)
    return;
  archive->logged_retention = true;
  log_event (LOG_LEVEL_WARNING, "retention_too_long", close->program,
             "raise [archives] longest_retention", "a turn is kept for %lld s, the setting is %u s",
             (long long)(close->retention_ms / 1000), longest_ms / 1000);
}

/* Returns why a close is not written to the disk, or ERROR_NONE. A kept turn without the turns
 * before it could not be continued from this disk, and would not extend their retention. */
static int32_t
archive_check_close (struct Archive *archive, const struct TurnClose *close)
{
  if (archive_is_fenced (archive, close->generation))
    return ERROR_FENCED;
  if (close->kept && (close->id & TURN_WITH_CHAIN) != 0
      && !turn_index_has_chain (archive->index, close->customer, close->text.previous))
    return ERROR_NOT_FOUND;
  return ERROR_NONE;
}

static int32_t
archive_write_close (struct Archive *archive, uint64_t link, const struct TurnClose *close)
{
  struct ArchiveRecord record = { .kind = ARCHIVE_RECORD_CLOSE, .close = *close };
  struct ArchiveWrite *write = archive_write_new (archive, link, ARCHIVE_RECORD_CLOSE);
  int32_t error = ERROR_NO_MEMORY;

  record.unix_ms = retention_clock_now (&archive->clock);
  if (write != NULL)
    {
      write->close = *close;
      write->close.text.input = NULL;
      write->close.text.output = NULL;
      error = archive_append (archive, &record, write);
    }
  if (error != ERROR_NONE)
    talloc_free (write);
  return error;
}

static void
archive_on_close (struct Archive *archive, uint64_t link, const struct TurnClose *close)
{
  int32_t error = archive_check_close (archive, close);
  bool is_stored = error == ERROR_NONE && turn_index_has_close (archive->index, close);

  archive_check_retention (archive, close);
  if (error == ERROR_NONE && !is_stored)
    error = archive_write_close (archive, link, close);
  if (error != ERROR_NONE || is_stored)
    archive_send_closed (archive, link, close->id, error);
}

const struct RetentionClock *
archive_clock (const struct Archive *archive)
{
  return &archive->clock;
}

struct DiskLog *
archive_log (const struct Archive *archive)
{
  return archive->log;
}

const struct TurnIndex *
archive_index (const struct Archive *archive)
{
  return archive->index;
}

struct Node *
archive_node (const struct Archive *archive)
{
  return archive->node;
}

struct CopyProgress *
archive_copy_progress (struct Archive *archive)
{
  return &archive->copy_progress;
}

/* Returns ERROR_NO_MEMORY if the record was not queued. */
static int32_t
archive_append_copy (struct Archive *archive, const struct ArchiveRecord *record)
{
  struct ArchiveWrite *write = archive_write_new (archive, PEER_LINK_NONE, record->kind);
  int32_t error;

  if (write == NULL)
    return ERROR_NO_MEMORY;
  write->open = record->open;
  write->close = record->close;
  write->close.text.input = NULL;
  write->close.text.output = NULL;
  error = archive_append (archive, record, write);
  if (error == ERROR_NONE)
    copy_progress_begin (&archive->copy_progress, write->n_bytes);
  else
    talloc_free (write);
  return error;
}

/* The record keeps its age on the disk, but counts as new in the index: between two parts of a
 * copy, the first turns of a long chain would expire before the turn that extends them arrives. */
bool
archive_store_copied (struct Archive *archive, const struct ArchiveRecord *record)
{
  int32_t error;

  if (record->kind == ARCHIVE_RECORD_OPEN)
    {
      if (turn_index_is_closed (archive->index, record->open.customer, record->open.program,
                                record->open.turn))
        return false;
      archive_index_open (archive, &record->open, retention_clock_now (&archive->clock));
    }
  else if (turn_index_has_close (archive->index, &record->close))
    return false;
  error = archive_append_copy (archive, record);
  if (error != ERROR_NONE)
    copy_progress_fail (&archive->copy_progress);
  return true;
}

static void
archive_on_read (struct Archive *archive, uint64_t link, const struct TurnRead *read)
{
  struct TurnOpen open = { .id = read->id, .want_history = true };

  snprintf (open.customer, sizeof open.customer, "%s", read->customer);
  snprintf (open.previous, sizeof open.previous, "%s", read->turn);
  archive_send_opened (archive, link, &open, ERROR_NONE);
}

/* Handler of the node. */

static void
archive_on_message (void *data,
                    uint64_t link,
                    const char *sender,
                    const struct GatewayMessage *message)
{
  struct Archive *archive = data;

  (void)sender;
  switch (message->kind)
    {
    case GATEWAY_TURN_OPEN:
      archive_on_open (archive, link, &message->open);
      break;
    case GATEWAY_TURN_READ:
      archive_on_read (archive, link, &message->read);
      break;
    case GATEWAY_TURN_CLOSE:
      archive_on_close (archive, link, &message->close);
      break;
    case GATEWAY_COPY_WANT:
      archive_copy_send_part (archive, link, &message->copy_want);
      break;
    case GATEWAY_SUSPECTS:
      suspects_on_report (archive->suspects, link, &message->suspects);
      break;
    case GATEWAY_COPY_PART:
    case GATEWAY_TURN_OPENED:
    case GATEWAY_TURN_CLOSED:
    case GATEWAY_HEARTBEAT:
    case GATEWAY_SNAPSHOT:
    case GATEWAY_RELAY:
    case GATEWAY_SLOT_REQUEST:
    case GATEWAY_SLOT_STATE:
    case GATEWAY_SLOT_DONE:
    case GATEWAY_ALIVE:
    case GATEWAY_SNAPSHOT_WANT:
    case GATEWAY_DIGESTS:
    case GATEWAY_PROBE:
    case GATEWAY_USAGES:
    case GATEWAY_PACES:
    case GATEWAY_QUOTA_REQUEST:
    case GATEWAY_QUOTA_GRANT:
    case GATEWAY_QUOTA_RETURN:
      break;
    }
}

static void
archive_on_snapshot (void *data, const struct Snapshot *snapshot, bool after_gap)
{
  struct Archive *archive = data;

  (void)after_gap;
  if (snapshot->kind == SNAPSHOT_RETIRE)
    archive_member_set_retiring (archive->member, snapshot);
}

static void
archive_describe (void *data, TALLOC_CTX *ctx, struct Heartbeat *heartbeat)
{
  struct Archive *archive = data;

  (void)ctx;
  heartbeat->status.complete = disk_log_is_complete (archive->log);
  heartbeat->status.synced = archive_member_synced_generation (archive->member);
}

static void
archive_on_expire (void *data)
{
  struct Archive *archive = data;
  int64_t unix_ms = retention_clock_now (&archive->clock);

  turn_index_expire (archive->index, unix_ms);
  disk_log_drop_expired (archive->log, unix_ms);
}

static int32_t
archive_replay (struct Archive *archive, struct Fault *fault)
{
  const struct Node *node = archive->node;

  archive->index = turn_index_new (archive);
  if (archive->index == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the archive");
  turn_index_on_extended (archive->index, archive_on_turn_extended, archive);
  return disk_log_open (archive, node->events, node->settings->data_folder, archive_on_replay,
                        archive, &archive->log, fault);
}

/* Opens the log and starts the clock. A log whose stamps do not give the ages of its records is
 * read again, since only its newest stamp shows when all records count as written. */
static int32_t
archive_open_log (struct Archive *archive, struct Fault *fault)
{
  int32_t error = archive_replay (archive, fault);

  if (error != ERROR_NONE)
    return error;
  if (!archive->clock_loaded)
    retention_clock_renew (&archive->clock, clock_unix_ms ());
  if (!archive->clock_loaded && archive->has_records)
    {
      TALLOC_FREE (archive->log);
      TALLOC_FREE (archive->index);
      error = archive_replay (archive, fault);
      if (error != ERROR_NONE)
        return error;
    }
  if (!archive->clock_loaded)
    archive_clock_save (&archive->clock, archive->log);
  retention_clock_start (&archive->clock, archive->node->timers);
  archive_clock_log (&archive->clock);
  return ERROR_NONE;
}

int32_t
archive_new (TALLOC_CTX *ctx, struct Node *node, struct Archive **archive, struct Fault *fault)
{
  struct Archive *a = talloc_zero (ctx, struct Archive);
  int32_t error;

  *archive = NULL;
  if (a == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the archive");
  a->node = node;
  error = archive_open_log (a, fault);
  if (error != ERROR_NONE)
    return error;
  /* At the first start only an empty folder lacks nothing. */
  if (node->settings->first_start && !disk_log_is_complete (a->log) && disk_log_is_empty (a->log))
    error = disk_log_mark_complete (a->log);
  if (error != ERROR_NONE)
    return fault_set (fault, error, "check the disk", "cannot write to the data folder");
  a->suspects = suspects_new (a, node);
  a->member = archive_member_new (a, node, a, a->log);
  if (a->suspects == NULL || a->member == NULL
      || archive_state_new (a, node, a->log, &a->clock, a->suspects) == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the archive");
  timer_subscribe (a, node->timers, EXPIRE_PERIOD_MS, EXPIRE_PERIOD_MS, archive_on_expire, a);
  node->handler.message = archive_on_message;
  node->handler.snapshot = archive_on_snapshot;
  node->handler.describe = archive_describe;
  node->handler.data = a;
  *archive = a;
  return ERROR_NONE;
}
