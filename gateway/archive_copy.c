#include "archive_copy.h"

#include "copy_links.h"

#include <buckthornhead/clock.h>
#include <buckthornhead/copy_source.h>
#include <buckthornhead/log.h>

#include <string.h>

enum
{
  TICK_MS = 50,
  /* Approximate limit of one part, in bytes: what the event loops of both archives process at once,
   * between responses to callers' turns. */
  PART_MAX_BYTES = 256 * 1024,
  PROGRESS_LOG_MS = 1000,
  SOURCES_MAX = 16
};

struct ArchiveCopy
{
  struct Node *node;
  struct Archive *archive;
  struct ArchiveCopyOptions options;
  struct CopyLinks *links;
  int64_t started_ms;
  int64_t since_ms; /* the end of a source counts if it was requested then or later */
  struct CopySource sources[SOURCES_MAX];
  size_t n_sources;
  uint64_t n_records, n_bytes;
  uint64_t n_known;      /* records that were already stored here */
  int64_t processing_ms; /* spent on received parts */
  int64_t logged_ms;     /* when the progress was last logged */
};

static struct CopySource *
copy_get_source (struct ArchiveCopy *copy, const char *node)
{
  for (size_t i = 0; i < copy->n_sources; i++)
    if (strcmp (copy->sources[i].node, node) == 0)
      return &copy->sources[i];
  if (copy->n_sources == SOURCES_MAX)
    return NULL;
  copy_source_begin (&copy->sources[copy->n_sources], node);
  return &copy->sources[copy->n_sources++];
}

static bool
copy_counts_source (const struct ArchiveCopy *copy, const struct CopySource *source)
{
  return copy_source_is_finished (source, copy->since_ms);
}

static void
copy_request_part (struct ArchiveCopy *copy,
                   struct CopySource *source,
                   const struct Peer *peer,
                   size_t lane,
                   uint64_t cursor)
{
  struct GatewayMessage message = { .kind = GATEWAY_COPY_WANT };

  if (source->lanes[lane].request_id != 0)
    copy_links_reset (copy->links, peer, lane);
  message.copy_want.id = node_next_id (copy->node) | COPY_WANT_CLOCK | COPY_WANT_FILE;
  message.copy_want.cursor = cursor;
  if (copy_links_send (copy->links, peer, lane, &message) == ERROR_NONE)
    copy_source_requested (source, lane, message.copy_want.id, timer_now_ms (copy->node->timers));
}

/* Requests what the source's lanes want. */
static void
copy_request_parts (struct ArchiveCopy *copy, struct CopySource *source)
{
  struct Node *node = copy->node;
  const struct Peer *peer = node_peer (node, source->node);
  int64_t now_ms = timer_now_ms (node->timers);
  uint64_t cursor;

  if (peer == NULL || !node_peer_is_live (node, peer) || copy_counts_source (copy, source)
      || !copy->options.is_source (copy->options.data, source->node)
      || copy_progress_is_behind (archive_copy_progress (copy->archive)))
    return;
  for (size_t lane = 0; lane < COPY_LANES; lane++)
    if (copy_source_wants (source, lane, now_ms, &cursor))
      copy_request_part (copy, source, peer, lane, cursor);
}

/* Starts over at the beginning of all sources; records that are already stored are skipped. */
static void
copy_restart (struct ArchiveCopy *copy)
{
  log_event (LOG_LEVEL_WARNING, "archive_copy_failed", NULL, "check the disk",
             "%llu of %llu copied records were not written; restarting the copy",
             (unsigned long long)archive_copy_progress (copy->archive)->n_failed,
             (unsigned long long)copy->n_records);
  copy_progress_reset (archive_copy_progress (copy->archive));
  copy->n_sources = 0;
  copy->n_records = 0;
}

/* Shows what bounds a copy: its sources or the network, this process, or its disk. */
static void
copy_log_progress (struct ArchiveCopy *copy, bool done)
{
  const struct CopyProgress *writes = archive_copy_progress (copy->archive);
  uint32_t n_parts = 0, n_finished = 0;
  uint64_t waited_ms = 0;

  copy->logged_ms = timer_now_ms (copy->node->timers);
  for (size_t i = 0; i < copy->n_sources; i++)
    {
      waited_ms += copy->sources[i].waited_ms;
      n_parts += copy->sources[i].n_parts;
      n_finished += copy_counts_source (copy, &copy->sources[i]);
    }
  log_event (
      LOG_LEVEL_NOTICE, done ? "archive_copied" : "archive_copying", NULL, NULL,
      "%llu records of %llu bytes, %llu of them known, in %lld ms; %u parts from %zu archives, "
      "%u finished, waited %llu ms for them; processed them for %lld ms; %llu writes pending",
      (unsigned long long)copy->n_records, (unsigned long long)copy->n_bytes,
      (unsigned long long)copy->n_known, (long long)(copy->logged_ms - copy->started_ms), n_parts,
      copy->n_sources, n_finished, (unsigned long long)waited_ms, (long long)copy->processing_ms,
      (unsigned long long)writes->n_writing);
}

/* Returns true, and frees the copy, if the records of sufficient sources are on the disk. */
static bool
copy_finish_if_done (struct ArchiveCopy *copy)
{
  struct ArchiveNames finished = { .n = 0 };

  for (size_t i = 0; i < copy->n_sources; i++)
    if (copy_counts_source (copy, &copy->sources[i]))
      archive_names_add (&finished, copy->sources[i].node);
  if (!copy->options.is_sufficient (copy->options.data, &finished))
    return false;
  switch (copy_progress_state (archive_copy_progress (copy->archive)))
    {
    case COPY_WRITING:
      return false;
    case COPY_FAILED:
      copy_restart (copy);
      return false;
    case COPY_DURABLE:
      break;
    }
  copy_log_progress (copy, true);
  copy->options.done (copy->options.data);
  talloc_free (copy);
  return true;
}

/* A part of which the records are stored. */
struct ReceivedPart
{
  struct ArchiveCopy *copy;
  const struct CopyPart *part;
};

static void
copy_on_frame (void *data, const struct DiskPlace *place, const uint8_t *bytes, size_t n_bytes)
{
  const struct ReceivedPart *received = data;
  struct ArchiveCopy *copy = received->copy;
  TALLOC_CTX *ctx = talloc_new (copy);
  struct ArchiveRecord record;

  (void)place;
  copy->n_records++;
  copy->n_bytes += n_bytes;
  if (archive_record_unpack (ctx, bytes, n_bytes, &record) == ERROR_NONE)
    {
      record.unix_ms = retention_clock_stamp_copy (archive_clock (copy->archive), received->part,
                                                   record.unix_ms);
      if (!archive_store_copied (copy->archive, &record))
        copy->n_known++;
    }
  else
    log_event (LOG_LEVEL_ERROR, "archive_record_malformed", NULL,
               "run the same version on all instances", "received from another archive");
  talloc_free (ctx);
}

/* Leaves it to the next tick to finish the copy, which frees the links that have received part. */
static void
copy_on_part (void *data, const struct CopyPart *part)
{
  struct ArchiveCopy *copy = data;
  int64_t now_ms = timer_now_ms (copy->node->timers), started_ms = clock_monotonic_ms ();
  struct ReceivedPart received = { copy, part };

  for (size_t i = 0; i < copy->n_sources; i++)
    {
      struct CopySource *source = &copy->sources[i];

      if (!copy_source_has_request (source, part->id))
        continue;
      if (copy_source_receive (source, part, now_ms))
        disk_log_each_frame (part->records, part->records_bytes, copy_on_frame, &received);
      copy_request_parts (copy, source);
    }
  copy->processing_ms += clock_monotonic_ms () - started_ms;
}

static void
copy_on_tick (void *data)
{
  struct ArchiveCopy *copy = data;
  struct Node *node = copy->node;

  if (copy_finish_if_done (copy))
    return;
  if (timer_now_ms (node->timers) - copy->logged_ms >= PROGRESS_LOG_MS)
    copy_log_progress (copy, false);
  for (size_t i = 0; i < node->peers->n_peers; i++)
    {
      const char *name = node->peers->peers[i]->status.node;
      struct CopySource *source =
          copy->options.is_source (copy->options.data, name) ? copy_get_source (copy, name) : NULL;

      if (source != NULL)
        copy_request_parts (copy, source);
    }
}

struct ArchiveCopy *
archive_copy_new (TALLOC_CTX *ctx,
                  struct Node *node,
                  struct Archive *archive,
                  const struct ArchiveCopyOptions *options)
{
  struct ArchiveCopy *copy = talloc_zero (ctx, struct ArchiveCopy);

  if (copy == NULL)
    return NULL;
  copy->node = node;
  copy->archive = archive;
  copy->options = *options;
  copy->started_ms = timer_now_ms (node->timers);
  copy->since_ms = copy->started_ms;
  copy->logged_ms = copy->started_ms;
  copy->links = copy_links_new (copy, node, copy_on_part, copy);
  if (copy->links == NULL)
    TALLOC_FREE (copy);
  else
    timer_subscribe (copy, node->timers, TICK_MS, TICK_MS, copy_on_tick, copy);
  return copy;
}

void
archive_copy_require (struct ArchiveCopy *copy, int64_t settle_ms)
{
  copy->since_ms = timer_now_ms (copy->node->timers) + settle_ms;
}

void
archive_copy_send_part (struct Archive *archive, uint64_t link, const struct CopyWant *want)
{
  uint8_t *(*read) (struct DiskLog *, TALLOC_CTX *, uint64_t, size_t, size_t *, uint64_t *,
                    bool *) =
      (want->id & COPY_WANT_FILE) != 0 ? disk_log_file_frames : disk_log_frames;
  struct GatewayMessage response = { .kind = GATEWAY_COPY_PART };
  struct CopyPart *part = &response.copy_part;
  TALLOC_CTX *ctx = talloc_new (archive);
  uint8_t *bytes;

  part->id = want->id;
  part->complete = disk_log_is_complete (archive_log (archive));
  if ((want->id & COPY_WANT_CLOCK) != 0)
    retention_clock_fill_part (archive_clock (archive), part);
  bytes = read (archive_log (archive), ctx, want->cursor, PART_MAX_BYTES, &part->records_bytes,
                &part->next, &part->last);
  if (bytes == NULL)
    log_event (LOG_LEVEL_ERROR, "archive_copy_unreadable", NULL, "check the disk",
               "cannot read a log file that another archive copies");
  else if (archive_records_select (ctx, archive_index (archive), &bytes, &part->records_bytes)
           == ERROR_NONE)
    {
      part->records = bytes;
      node_answer (archive_node (archive), link, &response);
    }
  talloc_free (ctx);
}
