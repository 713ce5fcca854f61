/* Reads the changes and watches for more: a watch while it works, else polls with jitter. */
#include "config_log_private.h"
#include "jitter.h"
#include <buckthornhead/kv_guard.h>

#include <buckthornhead/error.h>
#include <buckthornhead/log.h>

enum
{
  READ_LIMIT = 64, /* changes in one read */
  /* A change is to be in force everywhere in 14 s. A watch whose connection died without a sign
   * tells nothing until its time is over, so that, with the read after it, must be less. */
  WATCH_MS = 9000
};

struct CatchUp
{
  struct ConfigLog *log;
  ConfigCaughtUp done;
  void *data;
};

/* The one that goes on for as long as the log lives. */
struct ConfigReader
{
  struct ConfigLog *log;
  struct Timer *pause;
  int64_t watch_from;
};

static int32_t
catch_up_read (struct CatchUp *catch_up);

static void
catch_up_finish (struct CatchUp *catch_up, int32_t error, int64_t kv_revision)
{
  ConfigCaughtUp done = catch_up->done;
  void *data = catch_up->data;

  config_log_publish (catch_up->log);
  talloc_free (catch_up);
  done (data, error, kv_revision);
}

static void
catch_up_on_read (void *data, const struct KvResult *result)
{
  struct CatchUp *catch_up = data;
  int32_t error = result->error;

  for (size_t i = 0; i < result->n_entries && error == ERROR_NONE; i++)
    if (!config_log_take_kv (catch_up->log, &result->entries[i]))
      {
        log_event (LOG_LEVEL_ERROR, "config_gap", NULL,
                   "restore the missing keys or the checkpoint from a backup",
                   "%s does not follow revision %llu", result->entries[i].key,
                   (unsigned long long)catch_up->log->fold->revision);
        error = ERROR_OUT_OF_ORDER;
      }
  if (error == ERROR_NONE && result->more)
    error = catch_up_read (catch_up);
  else
    {
      catch_up_finish (catch_up, error, result->revision);
      return;
    }
  if (error != ERROR_NONE)
    catch_up_finish (catch_up, error, 0);
}

static int32_t
catch_up_read (struct CatchUp *catch_up)
{
  struct ConfigLog *log = catch_up->log;
  struct KvRequest request = { .op = KV_OP_RANGE };
  char *start = config_log_key (log, catch_up, config_log_wanted (log));
  int32_t error = ERROR_NONE;

  request.range.prefix = log->entry_prefix;
  request.range.start = start;
  request.range.limit = READ_LIMIT;
  error = kv_submit_guarded (catch_up, log->kv, &request, catch_up_on_read, catch_up);
  talloc_free (start);
  return error;
}

int32_t
config_reader_catch_up (TALLOC_CTX *owner, struct ConfigLog *log, ConfigCaughtUp done, void *data)
{
  struct CatchUp *catch_up = talloc_zero (owner, struct CatchUp);
  int32_t error = ERROR_NONE;

  if (catch_up == NULL)
    return ERROR_NO_MEMORY;
  catch_up->log = log;
  catch_up->done = done;
  catch_up->data = data;
  error = catch_up_read (catch_up);
  if (error != ERROR_NONE)
    talloc_free (catch_up);
  return error;
}

static void
reader_pause (struct ConfigReader *reader, TimerFn then)
{
  struct ConfigLog *log = reader->log;

  TALLOC_FREE (reader->pause);
  reader->pause = timer_subscribe (reader, log->timers,
                                   jitter_ms (&log->jitter, log->options.poll_ms), 0, then, reader);
}

static void
reader_read (void *data);

static void
reader_watch (struct ConfigReader *reader);

static void
reader_on_watch (void *data, const struct KvResult *result)
{
  struct ConfigReader *reader = data;
  bool in_order = true;

  if (result->error != ERROR_NONE)
    {
      reader_pause (reader, reader_read);
      return;
    }
  for (size_t i = 0; i < result->n_entries && in_order; i++)
    in_order = config_log_take_kv (reader->log, &result->entries[i]);
  config_log_publish (reader->log);
  if (result->n_entries == 0 || !in_order)
    {
      /* Against a watch that died without a sign and looks like a quiet one: changes would stay
       * unseen for as long as it is renewed in vain. A read after each quiet watch finds them. */
      reader_read (reader);
      return;
    }
  reader->watch_from = result->revision + 1;
  reader_watch (reader);
}

static void
reader_watch (struct ConfigReader *reader)
{
  struct ConfigLog *log = reader->log;
  struct KvRequest request = { .op = KV_OP_WATCH };

  request.watch.prefix = log->entry_prefix;
  request.watch.start_revision = reader->watch_from;
  request.watch.wait_ms = jitter_ms (&log->jitter, WATCH_MS);
  if (kv_submit_guarded (reader, log->kv, &request, reader_on_watch, reader) != ERROR_NONE)
    reader_pause (reader, reader_read);
}

static void
reader_on_read (void *data, int32_t error, int64_t kv_revision)
{
  struct ConfigReader *reader = data;

  if (error != ERROR_NONE)
    {
      reader_pause (reader, reader_read);
      return;
    }
  reader->watch_from = kv_revision + 1;
  reader_watch (reader);
}

static void
reader_read (void *data)
{
  struct ConfigReader *reader = data;

  if (config_reader_catch_up (reader, reader->log, reader_on_read, reader) != ERROR_NONE)
    reader_pause (reader, reader_read);
}

static void
reader_start (void *data);

static void
reader_on_checkpoint (void *data, const struct KvResult *result)
{
  struct ConfigReader *reader = data;
  struct ConfigLog *log = reader->log;

  if (result->error != ERROR_NONE && result->error != ERROR_NOT_FOUND)
    {
      reader_pause (reader, reader_start);
      return;
    }
  if (result->n_entries > 0)
    {
      log->checkpoint_mod_revision = result->entries[0].mod_revision;
      if (config_log_take_checkpoint (log, result->entries[0].value, result->entries[0].value_bytes)
          != ERROR_NONE)
        log_event (LOG_LEVEL_ERROR, "config_checkpoint_not_understood", NULL,
                   "bring the instances to one version", "all changes are read instead");
    }
  reader_read (reader);
}

static void
reader_start (void *data)
{
  struct ConfigReader *reader = data;
  struct KvRequest request = { .op = KV_OP_GET, .get.key = reader->log->checkpoint_key };

  if (kv_submit_guarded (reader, reader->log->kv, &request, reader_on_checkpoint, reader)
      != ERROR_NONE)
    reader_pause (reader, reader_start);
}

int32_t
config_reader_start (struct ConfigLog *log)
{
  struct ConfigReader *reader = talloc_zero (log, struct ConfigReader);

  if (reader == NULL)
    return ERROR_NO_MEMORY;
  reader->log = log;
  reader_start (reader);
  return ERROR_NONE;
}
