#include "kv_follow.h"

#include "jitter.h"

#include <buckthornhead/error.h>
#include <buckthornhead/kv_guard.h>

struct KvFollow
{
  struct KvPort *kv;
  struct TimerService *timers;
  struct KvFollowOptions options;
  struct Timer *read_timer;
  int64_t watch_from;
};

/* A read in progress, of one or more range requests. */
struct KvRead
{
  struct KvFollow *follow;
  KvFollowDone done;
  void *data;
  char *next_key; /* first key of the next request */
  /* Revision of the first response: a key that changes while the others are read is reported again
   * by the watch. */
  int64_t revision;
};

static void
follow_report_availability (struct KvFollow *follow, int32_t error)
{
  if (follow->options.availability != NULL)
    follow->options.availability (follow->options.data,
                                  error != ERROR_UNREACHABLE && error != ERROR_RATE_LIMITED);
}

static int32_t
read_submit (struct KvRead *read);

static void
read_finish (struct KvRead *read, int32_t error)
{
  KvFollowDone done = read->done;
  void *data = read->data;
  int64_t revision = read->revision;

  talloc_free (read);
  done (data, error, revision);
}

/* Returns a key that sorts after key and before the keys that follow it. */
static char *
key_after (TALLOC_CTX *ctx, const char *key)
{
  return talloc_asprintf (ctx, "%s\x01", key);
}

static void
read_on_range (void *data, const struct KvResult *result)
{
  struct KvRead *read = data;
  struct KvFollow *follow = read->follow;
  int32_t error = result->error;

  follow_report_availability (follow, error);
  for (size_t i = 0; i < result->n_entries && error == ERROR_NONE; i++)
    if (!follow->options.on_entry (follow->options.data, &result->entries[i]))
      error = ERROR_OUT_OF_ORDER;
  if (read->revision == 0)
    read->revision = result->revision;
  if (error == ERROR_NONE)
    follow->options.on_page (follow->options.data, !result->more, read->revision);
  if (error == ERROR_NONE && result->more && result->n_entries > 0)
    {
      talloc_free (read->next_key);
      read->next_key = key_after (read, result->entries[result->n_entries - 1].key);
      error = read_submit (read);
      if (error == ERROR_NONE)
        return;
    }
  read_finish (read, error);
}

static int32_t
read_submit (struct KvRead *read)
{
  struct KvFollow *follow = read->follow;
  struct KvRequest request = { .op = KV_OP_RANGE };

  request.range.prefix = follow->options.prefix;
  request.range.start = read->next_key;
  request.range.limit = follow->options.read_limit;
  return kv_submit_guarded (read, follow->kv, &request, read_on_range, read);
}

int32_t
kv_follow_read (TALLOC_CTX *owner, struct KvFollow *follow, KvFollowDone done, void *data)
{
  struct KvRead *read = talloc_zero (owner, struct KvRead);
  int32_t error = ERROR_NONE;

  if (read == NULL)
    return ERROR_NO_MEMORY;
  read->follow = follow;
  read->done = done;
  read->data = data;
  if (follow->options.begin != NULL)
    follow->options.begin (follow->options.data);
  if (follow->options.start != NULL)
    read->next_key = follow->options.start (follow->options.data, read);
  error = read_submit (read);
  if (error != ERROR_NONE)
    talloc_free (read);
  return error;
}

static void
follow_schedule_read (struct KvFollow *follow);

static void
follow_watch (struct KvFollow *follow);

static void
follow_on_read (void *data, int32_t error, int64_t revision)
{
  struct KvFollow *follow = data;

  if (error != ERROR_NONE)
    {
      follow_schedule_read (follow);
      return;
    }
  follow->watch_from = revision + 1;
  follow_watch (follow);
}

static void
follow_read (void *data)
{
  struct KvFollow *follow = data;

  if (kv_follow_read (follow, follow, follow_on_read, follow) != ERROR_NONE)
    follow_schedule_read (follow);
}

static void
follow_schedule_read (struct KvFollow *follow)
{
  uint32_t delay_ms = jitter_ms (&follow->options.seed, follow->options.poll_ms);

  TALLOC_FREE (follow->read_timer);
  follow->read_timer = timer_subscribe (follow, follow->timers, delay_ms, 0, follow_read, follow);
}

static void
follow_on_watch (void *data, const struct KvResult *result)
{
  struct KvFollow *follow = data;
  bool in_order = true;

  follow_report_availability (follow, result->error);
  if (result->error != ERROR_NONE)
    {
      follow_schedule_read (follow);
      return;
    }
  if (result->n_entries == 0)
    {
      follow_read (follow);
      return;
    }
  for (size_t i = 0; i < result->n_entries && in_order; i++)
    in_order = follow->options.on_entry (follow->options.data, &result->entries[i]);
  follow->options.on_page (follow->options.data, false, result->revision);
  follow->watch_from = result->revision + 1;
  if (in_order)
    follow_watch (follow);
  else
    follow_read (follow);
}

static void
follow_watch (struct KvFollow *follow)
{
  struct KvRequest request = { .op = KV_OP_WATCH };

  request.watch.prefix = follow->options.prefix;
  request.watch.start_revision = follow->watch_from;
  request.watch.wait_ms = jitter_ms (&follow->options.seed, follow->options.watch_ms);
  if (kv_submit_guarded (follow, follow->kv, &request, follow_on_watch, follow) != ERROR_NONE)
    follow_schedule_read (follow);
}

void
kv_follow_start (struct KvFollow *follow)
{
  follow_read (follow);
}

struct KvFollow *
kv_follow_new (TALLOC_CTX *ctx,
               struct KvPort *kv,
               struct TimerService *timers,
               const struct KvFollowOptions *options)
{
  struct KvFollow *follow = talloc_zero (ctx, struct KvFollow);

  if (follow == NULL)
    return NULL;
  follow->kv = kv;
  follow->timers = timers;
  follow->options = *options;
  follow->options.prefix = talloc_strdup (follow, options->prefix);
  if (follow->options.prefix == NULL)
    TALLOC_FREE (follow);
  return follow;
}
