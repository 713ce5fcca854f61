#include "archive_state.h"

#include "node_directory.h"
#include "store_reader.h"
#include "suspects.h"

#include <buckthornhead/log.h>
#include <buckthornhead/pack.h>

#include <stdio.h>
#include <xxhash.h>

enum
{
  /* State that is a few seconds old is good enough, and each save takes two disk syncs, about 10 ms
   * on the slowest disks of the deployments. */
  SAVE_PERIOD_MS = 2000,
  /* The age of saved lists is not known, since no clock shows for how long the process was down.
   * They count as older than any limit on their age, so that they are confirmed at once. */
  LOADED_AGE_MS = 60 * 60 * 1000,
  N_KINDS = SNAPSHOT_KIND_MAX + 1
};

struct ArchiveState
{
  struct Node *node;
  struct DiskLog *log;
  const struct RetentionClock *clock;
  uint64_t saved_content[N_KINDS];
  uint64_t nodes_hash; /* of the saved list */
  struct Suspects *suspects;
  uint64_t saved_quarantine; /* version of the saved one */
};

static const char quarantine_name[] = "quarantine";

static const char *const kind_names[N_KINDS] = {
  [SNAPSHOT_ROUTES] = "routes",
  [SNAPSHOT_SUBSET] = "servers",
  [SNAPSHOT_NODES] = "nodes",
};

static void
state_on_saved (void *data, int32_t error, const struct DiskPlace *place)
{
  (void)data;
  (void)place;
  if (error != ERROR_NONE)
    log_event (LOG_LEVEL_WARNING, "store_state_not_kept", NULL, "check the disk", "%s",
               error_name (error));
}

/* Saves [time of the retention clock in ms, packed message]. The time gives the least age of the
 * state after a restart. */
static void
state_write (struct ArchiveState *state,
             const char *name,
             const uint8_t *message,
             size_t message_bytes)
{
  struct PackWriter *p = pack_writer_new (state, false);
  uint8_t *record = NULL;
  size_t n_bytes;

  if (p == NULL)
    return;
  pack_array (p, 2);
  pack_i64 (p, retention_clock_now (state->clock));
  pack_bytes (p, message, message_bytes);
  if (pack_finish (p, state, &record, &n_bytes) != ERROR_NONE
      || disk_log_store_named (state->log, name, record, n_bytes, state_on_saved, state)
             != ERROR_NONE)
    state_on_saved (state, ERROR_NO_MEMORY, NULL);
  talloc_free (record);
}

static void
state_save (struct ArchiveState *state, enum SnapshotKind kind)
{
  size_t n_bytes;
  uint8_t *snapshot =
      store_reader_pack (state->node->reader, state, kind, &state->saved_content[kind], &n_bytes);

  if (snapshot != NULL)
    state_write (state, kind_names[kind], snapshot, n_bytes);
  talloc_free (snapshot);
}

static void
state_save_nodes (struct ArchiveState *state)
{
  struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT };
  struct Snapshot *snapshot = node_directory_snapshot (state->node, state);
  uint8_t *bytes;
  size_t n_bytes;
  uint64_t hash;

  if (snapshot == NULL)
    return;
  message.snapshot = *snapshot;
  if (gateway_message_pack (snapshot, &message, &bytes, &n_bytes) == ERROR_NONE)
    {
      hash = XXH64 (bytes, n_bytes, 0);
      if (hash != state->nodes_hash)
        state_write (state, kind_names[SNAPSHOT_NODES], bytes, n_bytes);
      state->nodes_hash = hash;
    }
  talloc_free (snapshot);
}

static void
state_save_quarantine (struct ArchiveState *state)
{
  size_t n_bytes;
  uint8_t *message =
      suspects_pack_quarantined (state->suspects, state, &state->saved_quarantine, &n_bytes);

  if (message != NULL)
    state_write (state, quarantine_name, message, n_bytes);
  talloc_free (message);
}

/* Returns the saved message, allocated on ctx, with the time for which it is known to have been
 * saved in *age_ms; NULL if there is none of that kind. */
static struct GatewayMessage *
state_read (struct ArchiveState *state,
            TALLOC_CTX *ctx,
            const char *name,
            enum GatewayKind kind,
            uint32_t *age_ms)
{
  struct GatewayMessage *message = NULL;
  struct PackReader r;
  size_t n_bytes, message_bytes;
  uint8_t *record = disk_log_load_named (state->log, ctx, name, &n_bytes);
  void *opened = record != NULL ? pack_open (ctx, record, n_bytes, &r) : NULL;
  const uint8_t *bytes;
  int64_t saved_age_ms;

  if (opened == NULL)
    return NULL;
  saved_age_ms = retention_clock_age (state->clock, read_i64 (&r));
  bytes = read_bytes (&r, ctx, &message_bytes);
  if (read_end (&r) != ERROR_NONE
      || gateway_message_unpack (ctx, bytes, message_bytes, &message) != ERROR_NONE
      || message->kind != kind)
    return NULL;
  *age_ms = saved_age_ms < INT32_MAX ? (uint32_t)saved_age_ms : INT32_MAX;
  return message;
}

static void
state_load (struct ArchiveState *state, enum SnapshotKind kind)
{
  TALLOC_CTX *ctx = talloc_new (state);
  uint32_t age_ms;
  struct GatewayMessage *message =
      state_read (state, ctx, kind_names[kind], GATEWAY_SNAPSHOT, &age_ms);

  if (message != NULL)
    {
      message->snapshot.age_ms = LOADED_AGE_MS;
      log_event (LOG_LEVEL_NOTICE, "store_state_taken", NULL, NULL,
                 "loaded %s of revision %lld, saved %u ms or more ago", kind_names[kind],
                 (long long)message->snapshot.revision, age_ms);
      store_reader_receive_snapshot (state->node->reader, PEER_LINK_NONE, &message->snapshot);
    }
  talloc_free (ctx);
}

/* A complete disk without a saved quarantine belongs to an archive that has never received one. */
static void
state_load_quarantine (struct ArchiveState *state)
{
  TALLOC_CTX *ctx = talloc_new (state);
  uint32_t age_ms;
  struct GatewayMessage *message =
      state_read (state, ctx, quarantine_name, GATEWAY_SUSPECTS, &age_ms);

  if (message != NULL)
    suspects_on_saved (state->suspects, &message->suspects, age_ms);
  if (message != NULL || disk_log_is_complete (state->log))
    suspects_set_informed (state->suspects);
  talloc_free (ctx);
}

static void
state_on_period (void *data)
{
  struct ArchiveState *state = data;

  state_save (state, SNAPSHOT_ROUTES);
  state_save (state, SNAPSHOT_SUBSET);
  state_save_nodes (state);
  state_save_quarantine (state);
}

static void
state_on_start (void *data)
{
  struct ArchiveState *state = data;

  for (enum SnapshotKind kind = SNAPSHOT_ROUTES; kind <= SNAPSHOT_SUBSET; kind++)
    if (kind_names[kind] != NULL)
      state_load (state, kind);
  state_load_quarantine (state);
}

struct ArchiveState *
archive_state_new (TALLOC_CTX *ctx,
                   struct Node *node,
                   struct DiskLog *log,
                   const struct RetentionClock *clock,
                   struct Suspects *suspects)
{
  struct ArchiveState *state = talloc_zero (ctx, struct ArchiveState);

  if (state == NULL)
    return NULL;
  state->node = node;
  state->log = log;
  state->clock = clock;
  state->suspects = suspects;
  /* The node creates its reader later, before the event loop runs. */
  timer_subscribe (state, node->timers, 0, 0, state_on_start, state);
  timer_subscribe (state, node->timers, SAVE_PERIOD_MS, SAVE_PERIOD_MS, state_on_period, state);
  return state;
}
