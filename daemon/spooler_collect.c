#include "spooler_internal.h"

#include <buckthornhead/kv_guard.h>

#include <buckthornhead/log.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RETRY_MS = 1000,
  DISKS_MISSING_MAX = 1 /* each record has two copies, so all disks but one include a copy of it */
};

/* A registered disk to read from. */
struct CollectDisk
{
  char id[NAME_MAX_BYTES + 1];
  char instance[NAME_MAX_BYTES + 1];
  uint64_t link, request;
  bool requested, responded;
};

struct SpoolerCollect
{
  struct SpoolerCollect *next;
  struct Spooler *spooler;
  char incarnation[INCARNATION_MAX_BYTES + 1];
  bool listing, listed;
  int64_t next_request_ms;
  struct CollectDisk *disks;
  size_t n_disks;
  struct HomesSpoolSlot *records;
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

  collect->listing = false;
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

  if (collect->listing)
    return;
  snprintf (prefix, sizeof prefix, "%sdisk/", core->settings->prefix);
  request.range.prefix = prefix;
  collect->listing =
      kv_submit_guarded (collect, core->kv, &request, collect_on_listed, collect) == ERROR_NONE;
}

static void
disk_send_request (struct SpoolerCollect *collect, struct CollectDisk *disk)
{
  struct Spooler *spooler = collect->spooler;
  struct PeerMessage message = { .kind = PEER_SPOOL_READ };
  uint64_t link = peer_net_link_to (spooler->core->net, disk->instance);

  if (disk->responded || disk->requested || link == PEER_LINK_NONE)
    return;
  disk->link = link;
  disk->request = spooler->next_id++;
  message.spool.id = disk->request;
  snprintf (message.spool.writer, sizeof message.spool.writer, "%s", collect->incarnation);
  /* An emptied disk has another id and must not respond in place of the lost one. */
  message.spool.bytes = (const uint8_t *)disk->id;
  message.spool.n_bytes = strlen (disk->id);
  disk->requested = peer_net_send (spooler->core->net, link, &message) == ERROR_NONE;
}

static int
record_compare (const void *a, const void *b)
{
  const struct HomesSpoolSlot *x = a;
  const struct HomesSpoolSlot *y = b;

  return (x->number > y->number) - (x->number < y->number);
}

/* Sorts the records by number and removes duplicates: each record is on two disks. */
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

/* Completes the collection. Returns false while too few disks have responded. */
static bool
collect_try_complete (struct SpoolerCollect *collect)
{
  size_t n_responded = 0;

  for (size_t i = 0; i < collect->n_disks; i++)
    n_responded += collect->disks[i].responded;
  if (!collect->listed || n_responded + DISKS_MISSING_MAX < collect->n_disks)
    return false;
  collect_sort (collect);
  if (collect->n_records > 0)
    log_event (LOG_LEVEL_NOTICE, "spool_collected", NULL, NULL, "%zu records of %s",
               collect->n_records, collect->incarnation);
  /* done may free the context that collect belongs to. */
  talloc_steal (NULL, collect);
  collect->done (collect->data, collect->records, collect->n_records);
  talloc_free (collect);
  return true;
}

static void
collect_step (struct SpoolerCollect *collect)
{
  int64_t now_ms = timer_now_ms (collect->spooler->core->timers);

  if (collect_try_complete (collect) || now_ms < collect->next_request_ms)
    return;
  collect->next_request_ms = now_ms + RETRY_MS;
  if (!collect->listed)
    collect_list (collect);
  for (size_t i = 0; i < collect->n_disks; i++)
    disk_send_request (collect, &collect->disks[i]);
  /* Once the list has arrived, requests go to the disks without a further delay. */
  if (collect->listing || (collect->listed && collect->n_disks > 0 && !collect->disks[0].requested))
    collect->next_request_ms = now_ms;
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
collect_find_disk (struct Spooler *spooler, uint64_t request, struct SpoolerCollect **collect)
{
  for (struct SpoolerCollect *c = spooler->collects; c != NULL; c = c->next)
    for (size_t i = 0; i < c->n_disks; i++)
      if (c->disks[i].requested && c->disks[i].request == request)
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
  struct HomesSpoolSlot *record;

  if (collect_find_disk (spooler, message->spool.id, &collect) == NULL)
    return;
  collect->records =
      talloc_realloc (collect, collect->records, struct HomesSpoolSlot, collect->n_records + 1);
  record = &collect->records[collect->n_records++];
  record->number = message->spool.number;
  record->n_bytes = message->spool.n_bytes;
  record->slot = talloc_memdup (collect, message->spool.bytes, message->spool.n_bytes);
}

bool
spooler_collect_on_response (struct Spooler *spooler, const struct PeerResponse *response)
{
  struct SpoolerCollect *collect;
  struct CollectDisk *disk = collect_find_disk (spooler, response->id, &collect);

  if (disk == NULL)
    return false;
  disk->requested = false;
  disk->responded = response->outcome.error == ERROR_NONE;
  return true;
}

void
spooler_collect_on_closed (struct Spooler *spooler, uint64_t link)
{
  for (struct SpoolerCollect *c = spooler->collects; c != NULL; c = c->next)
    for (size_t i = 0; i < c->n_disks; i++)
      if (c->disks[i].link == link)
        c->disks[i].requested = false;
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
