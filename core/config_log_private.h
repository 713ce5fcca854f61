/* Internals of the configuration log: config_log.c stores the entries, config_reader.c reads and
 * watches the key-value service, config_apply.c appends changes. */
#pragma once

#include "config_fold.h"
#include "kv_follow.h"

/* A change and its stored form. */
struct ConfigEntry
{
  uint64_t n;
  struct ConfigChange *change; /* NULL if this version cannot read it */
  const uint8_t *value;
  size_t value_bytes;
};

struct ConfigLog
{
  struct KvPort *kv;
  struct TimerService *timers;
  struct ConfigLogOptions options;
  char *entry_prefix, *checkpoint_key;
  uint64_t jitter;
  struct ConfigFold *fold;
  uint64_t published_revision;
  struct ConfigEntry **entries; /* consecutive numbers, oldest first */
  size_t n_entries;
  int64_t checkpoint_mod_revision; /* 0: absent */
  struct KvFollow *follow;         /* reads and watches the entries */
  struct Timer *retry;
  struct ConfigApply *applies; /* in order of submission; the first is in progress */
};

/* Returns the key of change n; belongs to ctx. */
char *
config_log_key (const struct ConfigLog *log, TALLOC_CTX *ctx, uint64_t n);

/* Returns the number of the next entry to read. It is below the fold's revision while the history
 * before a checkpoint is being read. */
uint64_t
config_log_next_missing (const struct ConfigLog *log);

/* Adds the stored value of change n. Returns false when changes before it are missing. */
bool
config_log_add_value (struct ConfigLog *log, uint64_t n, const uint8_t *value, size_t value_bytes);

/* The same for a key under the entries' prefix; a deleted key is ignored. */
bool
config_log_add_kv (struct ConfigLog *log, const struct KvEntry *entry);

/* Loads a checkpoint, unless its revision is not above the fold's. */
int32_t
config_log_load_checkpoint (struct ConfigLog *log, const uint8_t *value, size_t value_bytes);

const struct ConfigEntry *
config_log_find (const struct ConfigLog *log, uint64_t n);

/* Passes the state to the subscriber if the revision has increased. */
void
config_log_publish (struct ConfigLog *log);

/* Called after this instance appended change n; writes a checkpoint at regular intervals. */
void
config_log_appended (struct ConfigLog *log, uint64_t n);

/* Starts reading and watching; ends when the log is freed (config_reader.c). */
int32_t
config_reader_start (struct ConfigLog *log);
