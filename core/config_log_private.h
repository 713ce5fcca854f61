/* What the parts of the configuration log share: config_log.c keeps the entries, config_reader.c
 * reads and watches the key-value service, config_apply.c appends. */
#pragma once

#include "config_fold.h"
#include "kv_follow.h"

/* A change as it is known here. */
struct ConfigEntry
{
  uint64_t n;
  struct ConfigChange *change; /* NULL when this version can not read it */
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
  struct ConfigEntry **entries; /* numbered without a gap */
  size_t n_entries;
  int64_t checkpoint_mod_revision; /* 0: absent */
  struct KvFollow *follow;         /* of the entries */
  struct Timer *pause;
  struct ConfigApply *applies; /* in the order in which they came; the first is under way */
};

/* Key of change n; belongs to ctx. */
char *
config_log_key (const struct ConfigLog *log, TALLOC_CTX *ctx, uint64_t n);

/* First change that is not known here yet: older than the fold's while the history that precedes
 * a checkpoint is being read. */
uint64_t
config_log_wanted (const struct ConfigLog *log);

/* Takes the value of change n in. False when changes before it are missing. */
bool
config_log_take_value (struct ConfigLog *log, uint64_t n, const uint8_t *value, size_t value_bytes);

/* As above for one key under the entries' prefix. */
bool
config_log_take_kv (struct ConfigLog *log, const struct KvEntry *entry);

/* Takes a checkpoint in; one that is not higher than the fold is left alone. */
int32_t
config_log_take_checkpoint (struct ConfigLog *log, const uint8_t *value, size_t value_bytes);

const struct ConfigEntry *
config_log_find (const struct ConfigLog *log, uint64_t n);

/* Tells the subscriber when the revision has grown. */
void
config_log_publish (struct ConfigLog *log);

/* Change n was appended here: writes a checkpoint now and then. */
void
config_log_appended (struct ConfigLog *log, uint64_t n);

/* config_reader.c. Reads and watches from now on, until the log is freed. */
int32_t
config_reader_start (struct ConfigLog *log);
