#include "spooler_internal.h"

#include <buckthornhead/kv_guard.h>

#include <buckthornhead/log.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ASK_AGAIN_MS = 1000,
  DISKS_MAY_MISS = 1 /* with two copies of each record, all disks but one meet each record */
};

/* A registered disk that is asked. */
struct CollectDisk
{
  char id[NAME_MAX_BYTES + 1];
  char instance[NAME_MAX_BYTES + 1];
  uint64_t link, request;
  bool asked, answered;
};

struct SpoolerCollect
{
  struct SpoolerCollect *next;
  struct Spooler *spooler;
  char incarnation[INCARNATION_MAX_BYTES + 1];
  bool reading, listed;
  int64_t again_ms;
  struct CollectDisk *disks;
  size_t n_disks;
  struct HomesSpooled *records;
  size_t n_records;
  HomesSpoolDone done;
  void *data;
};

static int
collect_free (struct SpoolerCollect *collect)
{
  struct SpoolerCollect **at = &collect->spooler->collects;

  while (*at != NULL && *at != collect)
    at = &(*at)->next;
  if (*at != NULL)
    *at = collect->next;
  return 0;
}

static void
collect_add_disk (struct SpoolerCollect *collect, const struct KvEntry *entry)
{
  const char *slash = strrchr (entry->key, '/');
  struct CollectDisk *disk;

  collect->disks =
      talloc_realloc (collect, collect->disks, struct CollectDisk, collect->n_disks + 1);
  disk = &collect->disks[collect->n_disks++];
  memset (disk, 0, sizeof *disk);
  snprintf (disk->id, sizeof disk->id, "%s", slash != NULL ? slash + 1 : entry->key);
  snprintf (disk->instance, sizeof disk->instance, "%.*s", (int)entry->value_bytes,
            (const char *)entry->value);
}

static void
collect_on_listed (void *data, const struct KvResult *result)
{
  struct SpoolerCollect *collect = data;

  collect->reading = false;
  if (result->error != ERROR_NONE)
    return;
  collect->listed = true;
  for (size_t i = 0; i < result->n_entries; i++)
    collect_add_disk (collect, &result->entries[i]);
}

static void
collect_list (struct SpoolerCollect *collect)
{
  struct Core *core = collect->spooler->core;
  struct KvRequest request = { .op = KV_OP_RANGE };
  char prefix[KV_KEY_MAX_BYTES];

  if (collect->reading)
    return;
  snprintf (prefix, sizeof prefix, "%sdisk/", core->settings->prefix);
  request.range.prefix = prefix;
  collect->reading =
      kv_submit_guarded (collect, core->kv, &request, collect_on_listed, collect) == ERROR_NONE;
}

static void
disk_ask (struct SpoolerCollect *collect, struct CollectDisk *disk)
{
  struct Spooler *spooler = collect->spooler;
  struct PeerMessage message = { .kind = PEER_SPOOL_READ };
  uint64_t link = peer_net_link_to (spooler->core->net, disk->instance);

  if (disk->answered || disk->asked || link == PEER_LINK_NONE)
    return;
  disk->link = link;
  disk->request = spooler->next_id++;
  message.spool.id = disk->request;
  snprintf (message.spool.writer, sizeof message.spool.writer, "%s", collect->incarnation);
  /* An emptied disk has another id, and must not answer for the one that was lost. */
  message.spool.bytes = (const uint8_t *)disk->id;
  message.spool.n_bytes = strlen (disk->id);
  disk->asked = peer_net_send (spooler->core->net, link, &message) == ERROR_NONE;
}

static int
record_compare (const void *a, const void *b)
{
  const struct HomesSpooled *x = a;
  const struct HomesSpooled *y = b;

  return (x->number > y->number) - (x->number < y->number);
}

/* Ascending, one of each number: a record is on two disks. */
static void
collect_sort (struct SpoolerCollect *collect)
{
  size_t n = 0;

  if (collect->n_records == 0)
    return;
  qsort (collect->records, collect->n_records, sizeof *collect->records, record_compare);
  for (size_t i = 0; i < collect->n_records; i++)
    if (n == 0 || collect->records[n - 1].number != collect->records[i].number)
      collect->records[n++] = collect->records[i];
  collect->n_records = n;
}

/* False while too few disks have answered. */
static bool
collect_complete (struct SpoolerCollect *collect)
{
  size_t n_answered = 0;

  for (size_t i = 0; i < collect->n_disks; i++)
    n_answered += collect->disks[i].answered;
  if (!collect->listed || n_answered + DISKS_MAY_MISS < collect->n_disks)
    return false;
  collect_sort (collect);
  if (collect->n_records > 0)
    log_event (LOG_LEVEL_NOTICE, "spool_collected", NULL, NULL, "%zu records of %s",
               collect->n_records, collect->incarnation);
  /* The asker may free the context that this belongs to. */
  talloc_steal (NULL, collect);
  collect->done (collect->data, collect->records, collect->n_records);
  talloc_free (collect);
  return true;
}

static void
collect_step (struct SpoolerCollect *collect)
{
  int64_t now_ms = timer_now_ms (collect->spooler->core->timers);

  if (collect_complete (collect) || now_ms < collect->again_ms)
    return;
  collect->again_ms = now_ms + ASK_AGAIN_MS;
  if (!collect->listed)
    collect_list (collect);
  for (size_t i = 0; i < collect->n_disks; i++)
    disk_ask (collect, &collect->disks[i]);
  /* Right after the list has come the disks are asked without another pause. */
  if (collect->reading || (collect->listed && collect->n_disks > 0 && !collect->disks[0].asked))
    collect->again_ms = now_ms;
}

void
spooler_collect_tick (struct Spooler *spooler)
{
  struct SpoolerCollect *next;

  for (struct SpoolerCollect *c = spooler->collects; c != NULL; c = next)
    {
      next = c->next;
      collect_step (c);
    }
}

static struct CollectDisk *
collect_find (struct Spooler *spooler, uint64_t request, struct SpoolerCollect **collect)
{
  for (struct SpoolerCollect *c = spooler->collects; c != NULL; c = c->next)
    for (size_t i = 0; i < c->n_disks; i++)
      if (c->disks[i].asked && c->disks[i].request == request)
        {
          *collect = c;
          return &c->disks[i];
        }
  return NULL;
}

void
spooler_collect_record (struct Spooler *spooler, const struct PeerMessage *message)
{
  struct SpoolerCollect *collect;
  struct HomesSpooled *record;

  if (collect_find (spooler, message->spool.id, &collect) == NULL)
    return;
  collect->records =
      talloc_realloc (collect, collect->records, struct HomesSpooled, collect->n_records + 1);
  record = &collect->records[collect->n_records++];
  record->number = message->spool.number;
  record->n_bytes = message->spool.n_bytes;
  record->slot = talloc_memdup (collect, message->spool.bytes, message->spool.n_bytes);
}

bool
spooler_collect_on_answer (struct Spooler *spooler, const struct PeerAnswer *answer)
{
  struct SpoolerCollect *collect;
  struct CollectDisk *disk = collect_find (spooler, answer->id, &collect);

  if (disk == NULL)
    return false;
  disk->asked = false;
  disk->answered = answer->outcome.error == ERROR_NONE;
  return true;
}

void
spooler_collect_on_closed (struct Spooler *spooler, uint64_t link)
{
  for (struct SpoolerCollect *c = spooler->collects; c != NULL; c = c->next)
    for (size_t i = 0; i < c->n_disks; i++)
      if (c->disks[i].link == link)
        c->disks[i].asked = false;
}

int32_t
spooler_collect (struct Spooler *spooler,
                 TALLOC_CTX *ctx,
                 const char *incarnation,
                 HomesSpoolDone done,
                 void *data)
{
  struct SpoolerCollect *collect = talloc_zero (ctx, struct SpoolerCollect);

  if (collect == NULL)
    return ERROR_NO_MEMORY;
  collect->spooler = spooler;
  snprintf (collect->incarnation, sizeof collect->incarnation, "%s", incarnation);
  collect->done = done;
  collect->data = data;
  collect->next = spooler->collects;
  spooler->collects = collect;
  talloc_set_destructor (collect, collect_free);
  collect_step (collect);
  return ERROR_NONE;
}
