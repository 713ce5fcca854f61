/* Reads the latest checkpoint, then reads and watches the changes. */
#include "config_log_private.h"
#include "jitter.h"

#include <buckthornhead/error.h>
#include <buckthornhead/kv_guard.h>
#include <buckthornhead/log.h>

enum
{
  READ_LIMIT = 64, /* changes per response */
  /* A change must be in force on every instance within 14 s, and a broken watch may not report it
   * before the watch ends. */
  WATCH_MS = 9000
};

static char *
reader_start_key (void *data, TALLOC_CTX *ctx)
{
  const struct ConfigLog *log = data;

  return config_log_key (log, ctx, config_log_next_missing (log));
}

static bool
reader_add_entry (void *data, const struct KvEntry *entry)
{
  struct ConfigLog *log = data;
  bool in_order = config_log_add_kv (log, entry);

  if (!in_order)
    log_event (LOG_LEVEL_WARNING, "config_gap", NULL,
               "if this recurs, restore the missing keys from a backup",
               "%s does not follow revision %llu", entry->key,
               (unsigned long long)log->fold->revision);
  return in_order;
}

static void
reader_on_batch (void *data, bool whole, int64_t revision)
{
  (void)whole;
  (void)revision;
  config_log_publish (data);
}

static void
reader_get_checkpoint (void *data);

static void
reader_on_checkpoint (void *data, const struct KvResult *result)
{
  struct ConfigLog *log = data;

  if (result->error != ERROR_NONE && result->error != ERROR_NOT_FOUND)
    {
      TALLOC_FREE (log->retry);
      log->retry =
          timer_subscribe (log, log->timers, jitter_ms (&log->jitter, log->options.poll_ms), 0,
                           reader_get_checkpoint, log);
      return;
    }
  if (result->n_entries > 0)
    {
      log->checkpoint_mod_revision = result->entries[0].mod_revision;
      if (config_log_load_checkpoint (log, result->entries[0].value, result->entries[0].value_bytes)
          != ERROR_NONE)
        log_event (LOG_LEVEL_ERROR, "config_checkpoint_not_understood", NULL,
                   "run the same version on all instances", "all changes are read instead");
    }
  kv_follow_start (log->follow);
}

static void
reader_get_checkpoint (void *data)
{
  struct ConfigLog *log = data;
  struct KvRequest request = { .op = KV_OP_GET, .get.key = log->checkpoint_key };

  if (kv_submit_guarded (log, log->kv, &request, reader_on_checkpoint, log) != ERROR_NONE)
    kv_follow_start (log->follow);
}

int32_t
config_reader_start (struct ConfigLog *log)
{
  struct KvFollowOptions options = { .prefix = log->entry_prefix };

  options.poll_ms = log->options.poll_ms;
  options.watch_ms = WATCH_MS;
  options.read_limit = READ_LIMIT;
  options.seed = log->jitter;
  options.start = reader_start_key;
  options.on_entry = reader_add_entry;
  options.on_page = reader_on_batch;
  options.data = log;
  log->follow = kv_follow_new (log, log->kv, log->timers, &options);
  if (log->follow == NULL)
    return ERROR_NO_MEMORY;
  reader_get_checkpoint (log);
  return ERROR_NONE;
}
