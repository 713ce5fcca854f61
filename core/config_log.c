#include "config_log_private.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/error.h>
#include <buckthornhead/kv_guard.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ENTRIES_KEPT = 1024,   /* entries in memory, for the audit trail and for peers */
  CHECKPOINT_EVERY = 256 /* changes per checkpoint */
};

char *
config_log_key (const struct ConfigLog *log, TALLOC_CTX *ctx, uint64_t n)
{
  return talloc_asprintf (ctx, "%s%012llu", log->entry_prefix, (unsigned long long)n);
}

uint64_t
config_log_next_missing (const struct ConfigLog *log)
{
  uint64_t revision = log->fold->revision;

  if (log->n_entries > 0)
    return log->entries[log->n_entries - 1]->n + 1;
  return revision >= ENTRIES_KEPT ? revision - ENTRIES_KEPT + 1 : 1;
}

const struct ConfigEntry *
config_log_find (const struct ConfigLog *log, uint64_t n)
{
  uint64_t first = log->n_entries > 0 ? log->entries[0]->n : 0;

  if (log->n_entries == 0 || n < first || n - first >= log->n_entries)
    return NULL;
  return log->entries[n - first];
}

static void
config_log_drop_entries (struct ConfigLog *log)
{
  for (size_t i = 0; i < log->n_entries; i++)
    talloc_free (log->entries[i]);
  log->n_entries = 0;
}

static void
config_log_drop_oldest (struct ConfigLog *log)
{
  talloc_free (log->entries[0]);
  log->n_entries--;
  for (size_t i = 0; i < log->n_entries; i++)
    log->entries[i] = log->entries[i + 1];
}

static const struct ConfigEntry *
config_log_add_entry (struct ConfigLog *log, uint64_t n, const uint8_t *value, size_t value_bytes)
{
  struct ConfigEntry *entry = talloc_zero (log, struct ConfigEntry);

  entry->n = n;
  entry->value = talloc_memdup (entry, value, value_bytes);
  entry->value_bytes = value_bytes;
  if (config_change_unpack (entry, value, value_bytes, &entry->change) != ERROR_NONE
      || entry->change->revision != n)
    {
      entry->change = NULL;
      log_event (LOG_LEVEL_ERROR, "config_change_not_understood", NULL,
                 "run the same version on all instances", "change %llu", (unsigned long long)n);
    }
  if (log->n_entries == ENTRIES_KEPT)
    config_log_drop_oldest (log);
  log->entries = talloc_realloc (log, log->entries, struct ConfigEntry *, log->n_entries + 1);
  log->entries[log->n_entries++] = entry;
  return entry;
}

/* A change at or below the current revision only completes the history, however late it arrives
 * and whichever peer sends it, so the configuration never reverts. */
bool
config_log_add_value (struct ConfigLog *log, uint64_t n, const uint8_t *value, size_t value_bytes)
{
  bool follows = log->n_entries == 0 || n == log->entries[log->n_entries - 1]->n + 1;

  if (n > log->fold->revision + 1)
    return false;
  if (n <= log->fold->revision)
    {
      if (follows)
        config_log_add_entry (log, n, value, value_bytes);
      return true;
    }
  if (!follows)
    config_log_drop_entries (log);
  config_fold_apply (log->fold, config_log_add_entry (log, n, value, value_bytes)->change);
  return true;
}

bool
config_log_add_kv (struct ConfigLog *log, const struct KvEntry *entry)
{
  const char *number = entry->key + strlen (log->entry_prefix);

  if (entry->deleted)
    return true;
  return config_log_add_value (log, strtoull (number, NULL, 10), entry->value, entry->value_bytes);
}

int32_t
config_log_load_checkpoint (struct ConfigLog *log, const uint8_t *value, size_t value_bytes)
{
  struct ConfigFold *fold = NULL;
  int32_t error = config_fold_unpack (log, value, value_bytes, &fold);

  if (error != ERROR_NONE)
    return error;
  if (fold->revision <= log->fold->revision)
    {
      talloc_free (fold);
      return ERROR_NONE;
    }
  config_log_drop_entries (log);
  talloc_free (log->fold);
  log->fold = fold;
  return ERROR_NONE;
}

void
config_log_publish (struct ConfigLog *log)
{
  if (log->fold->revision <= log->published_revision)
    return;
  log->published_revision = log->fold->revision;
  gauge_set (GAUGE_CONFIG_REVISION, log->published_revision);
  log->options.changed (log->options.data, config_fold_state (log->fold, NULL));
}

static void
config_log_on_checkpoint (void *data, const struct KvResult *result)
{
  struct ConfigLog *log = data;

  if (result->error == ERROR_NONE)
    log->checkpoint_mod_revision = result->revision;
  else if (result->error == ERROR_CONFLICT && result->n_entries > 0)
    log->checkpoint_mod_revision = result->entries[0].mod_revision;
}

/* A checkpoint replaces only the one that preceded this change, so it never overwrites a newer
 * one. A lost or rejected checkpoint needs no retry: the next one replaces it. */
void
config_log_appended (struct ConfigLog *log, uint64_t n)
{
  struct KvRequest request = { .op = KV_OP_PUT, .put.key = log->checkpoint_key };
  uint8_t *value = NULL;
  size_t value_bytes = 0;

  if (n % CHECKPOINT_EVERY != 0
      || config_fold_pack (log->fold, log, &value, &value_bytes) != ERROR_NONE)
    return;
  request.put.value = value;
  request.put.value_bytes = value_bytes;
  request.put.condition = log->checkpoint_mod_revision == 0 ? KV_IF_ABSENT : KV_IF_MOD_REVISION;
  request.put.mod_revision = log->checkpoint_mod_revision;
  if (value_bytes <= KV_VALUE_MAX_BYTES)
    kv_submit_guarded (log, log->kv, &request, config_log_on_checkpoint, log);
  else
    log_event (LOG_LEVEL_WARNING, "config_checkpoint_too_large", NULL,
               "shorten the profiles; until then starting instances read all changes", "%zu bytes",
               value_bytes);
  talloc_free (value);
}

struct ConfigLog *
config_log_new (TALLOC_CTX *ctx,
                struct KvPort *kv,
                struct TimerService *timers,
                const struct ConfigLogOptions *options)
{
  struct ConfigLog *log = talloc_zero (ctx, struct ConfigLog);

  if (log == NULL)
    return NULL;
  log->kv = kv;
  log->timers = timers;
  log->options = *options;
  log->jitter = options->seed;
  log->entry_prefix = talloc_asprintf (log, "%sconfig/", options->prefix);
  log->checkpoint_key = talloc_asprintf (log, "%sconfig-checkpoint", options->prefix);
  log->fold = config_fold_new (log);
  if (log->entry_prefix == NULL || log->checkpoint_key == NULL || log->fold == NULL
      || config_reader_start (log) != ERROR_NONE)
    TALLOC_FREE (log);
  return log;
}

uint64_t
config_log_revision (const struct ConfigLog *log)
{
  return log->fold->revision;
}

uint8_t *
config_log_entry (const struct ConfigLog *log, TALLOC_CTX *ctx, uint64_t n, size_t *bytes)
{
  const struct ConfigEntry *entry = config_log_find (log, n);
  struct ConfigTransfer transfer = { .kind = CONFIG_TRANSFER_ENTRY, .revision = n };
  uint8_t *checkpoint = NULL;
  uint8_t *packed = NULL;

  if (n == 0 || n > log->fold->revision)
    return NULL;
  if (entry != NULL)
    {
      transfer.value = entry->value;
      transfer.value_bytes = entry->value_bytes;
    }
  else
    {
      if (config_fold_pack (log->fold, ctx, &checkpoint, &transfer.value_bytes) != ERROR_NONE)
        return NULL;
      transfer.kind = CONFIG_TRANSFER_CHECKPOINT;
      transfer.revision = log->fold->revision;
      transfer.value = checkpoint;
    }
  if (config_transfer_pack (ctx, &transfer, &packed, bytes) != ERROR_NONE)
    packed = NULL;
  talloc_free (checkpoint);
  return packed;
}

bool
config_log_has_entry (const struct ConfigLog *log, uint64_t n)
{
  return config_log_find (log, n) != NULL;
}

static int32_t
config_log_add_peer_entry (struct ConfigLog *log, const struct ConfigTransfer *transfer)
{
  struct ConfigChange *change = NULL;

  if (transfer->revision <= log->fold->revision)
    return ERROR_NONE;
  if (config_change_unpack (log, transfer->value, transfer->value_bytes, &change) != ERROR_NONE)
    return ERROR_INVALID;
  talloc_free (change);
  if (!config_log_add_value (log, transfer->revision, transfer->value, transfer->value_bytes))
    return ERROR_OUT_OF_ORDER;
  return ERROR_NONE;
}

int32_t
config_log_apply_entry (struct ConfigLog *log, const uint8_t *packed, size_t bytes)
{
  TALLOC_CTX *ctx = talloc_new (log);
  struct ConfigTransfer transfer;
  int32_t error = config_transfer_unpack (ctx, packed, bytes, &transfer);

  if (error == ERROR_NONE)
    error = transfer.kind == CONFIG_TRANSFER_ENTRY
                ? config_log_add_peer_entry (log, &transfer)
                : config_log_load_checkpoint (log, transfer.value, transfer.value_bytes);
  talloc_free (ctx);
  if (error == ERROR_NONE)
    config_log_publish (log);
  return error;
}

void
config_log_each (const struct ConfigLog *log, ConfigChangeFn fn, void *data)
{
  for (size_t i = 0; i < log->n_entries; i++)
    if (log->entries[i]->change != NULL)
      fn (data, log->entries[i]->change);
}
