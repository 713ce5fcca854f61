#include "spooler_internal.h"

#include "fleet.h"

#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  HOLDERS_MAX = sizeof ((struct Spooler *)0)->holders / sizeof ((struct Spooler *)0)->holders[0]
};

void
spooler_start_writer (struct Spooler *spooler, const char *incarnation)
{
  while (spooler->first != NULL)
    {
      struct SpoolerWrite *write = spooler->first;

      spooler->first = write->next;
      talloc_free (write);
    }
  spooler->last = &spooler->first;
  spooler->next_number = 1;
  spooler->dropped_number = 0;
  spooler->sealed = false;
  spooler->n_holders = 0;
  snprintf (spooler->incarnation, sizeof spooler->incarnation, "%s", incarnation);
}

static bool
member_can_store (const struct Spooler *spooler, const struct FleetMember *member)
{
  if (strcmp (member->instance, spooler->core->settings->instance) == 0)
    return spooler->registered;
  return member->heartbeat.has_disk && !member->suspected
         && peer_net_link_to (spooler->core->net, member->instance) != PEER_LINK_NONE;
}

/* Chooses an instance for copy i in another availability zone than the other copy. The order of
 * preference is the same for all records of a writer, so that few disks hold them. */
static bool
copy_choose_instance (struct Spooler *spooler, struct SpoolerWrite *write, uint32_t i)
{
  struct SpoolerCopy *copy = &write->copies[i];
  const struct SpoolerCopy *other = &write->copies[1 - i];
  const struct FleetMember *members, *best = NULL;
  size_t n = fleet_members (spooler->core->fleet, &members);
  uint64_t best_score = 0;

  for (size_t m = 0; m < n; m++)
    {
      uint64_t score = rendezvous_score (spooler->incarnation, members[m].instance);

      if (!member_can_store (spooler, &members[m]) || strcmp (members[m].zone, other->zone) == 0)
        continue;
      if (best != NULL && score <= best_score)
        continue;
      best = &members[m];
      best_score = score;
    }
  if (best == NULL)
    return false;
  snprintf (copy->instance, sizeof copy->instance, "%s", best->instance);
  snprintf (copy->zone, sizeof copy->zone, "%s", best->zone);
  return true;
}

static void
spooler_add_holder (struct Spooler *spooler, const char *instance)
{
  for (uint32_t i = 0; i < spooler->n_holders; i++)
    if (strcmp (spooler->holders[i], instance) == 0)
      return;
  if (spooler->n_holders < HOLDERS_MAX)
    snprintf (spooler->holders[spooler->n_holders++], NAME_MAX_BYTES + 1, "%s", instance);
}

static void
copy_send (struct Spooler *spooler, struct SpoolerWrite *write, uint32_t i)
{
  struct SpoolerCopy *copy = &write->copies[i];
  struct PeerMessage message = { .kind = PEER_SPOOL_PUT };

  if (!copy_choose_instance (spooler, write, i))
    return;
  copy->link = peer_net_link_to (spooler->core->net, copy->instance);
  copy->id = spooler->next_id++;
  message.spool.id = copy->id;
  message.spool.number = write->number;
  snprintf (message.spool.writer, sizeof message.spool.writer, "%s", spooler->incarnation);
  message.spool.bytes = write->record;
  message.spool.n_bytes = write->n_bytes;
  copy->sent = peer_net_send (spooler->core->net, copy->link, &message) == ERROR_NONE;
  if (copy->sent)
    spooler_add_holder (spooler, copy->instance);
  else
    copy->zone[0] = '\0';
}

static void
write_send (struct Spooler *spooler, struct SpoolerWrite *write)
{
  for (uint32_t i = 0; i < SPOOL_COPIES; i++)
    if (!write->copies[i].sent && !write->copies[i].durable)
      copy_send (spooler, write, i);
}

int32_t
spooler_put (struct Spooler *spooler,
             const uint8_t *record,
             size_t n_bytes,
             JournalDone done,
             void *data,
             uint64_t *number)
{
  struct SpoolerWrite *write = talloc_zero (spooler, struct SpoolerWrite);

  if (write == NULL)
    return ERROR_NO_MEMORY;
  write->record = talloc_memdup (write, record, n_bytes);
  write->n_bytes = n_bytes;
  write->number = spooler->next_number++;
  write->done = done;
  write->data = data;
  *number = write->number;
  *spooler->last = write;
  spooler->last = &write->next;
  write_send (spooler, write);
  return ERROR_NONE;
}

/* Completes the records that are on both disks, in order: a later record must not count as durable
 * before an earlier one. */
static void
writer_complete (struct Spooler *spooler)
{
  struct SpoolerWrite *write;

  while ((write = spooler->first) != NULL && write->copies[0].durable && write->copies[1].durable)
    {
      spooler->first = write->next;
      if (spooler->first == NULL)
        spooler->last = &spooler->first;
      write->done (write->data, ERROR_NONE);
      talloc_free (write);
    }
}

void
spooler_writer_tick (struct Spooler *spooler)
{
  if (spooler->sealed)
    return;
  for (struct SpoolerWrite *w = spooler->first; w != NULL; w = w->next)
    write_send (spooler, w);
}

bool
spooler_writer_on_response (struct Spooler *spooler,
                            uint64_t link,
                            const struct PeerResponse *response)
{
  for (struct SpoolerWrite *w = spooler->first; w != NULL; w = w->next)
    for (uint32_t i = 0; i < SPOOL_COPIES; i++)
      {
        struct SpoolerCopy *copy = &w->copies[i];

        if (copy->id != response->id || copy->link != link)
          continue;
        copy->sent = false;
        copy->durable = response->outcome.error == ERROR_NONE;
        /* Sealed by a takeover: no record is acknowledged any more, and the journal will report the
         * same. */
        spooler->sealed = spooler->sealed || response->outcome.error == ERROR_FENCED;
        if (!copy->durable)
          copy->zone[0] = '\0';
        writer_complete (spooler);
        return true;
      }
  return false;
}

void
spooler_writer_on_closed (struct Spooler *spooler, uint64_t link)
{
  for (struct SpoolerWrite *w = spooler->first; w != NULL; w = w->next)
    for (uint32_t i = 0; i < SPOOL_COPIES; i++)
      if (w->copies[i].sent && !w->copies[i].durable && w->copies[i].link == link)
        {
          w->copies[i].sent = false;
          w->copies[i].zone[0] = '\0';
        }
}

void
spooler_cancel_put (struct Spooler *spooler, uint64_t number)
{
  struct SpoolerWrite **at = &spooler->first;
  struct SpoolerWrite *write;

  while (*at != NULL && (*at)->number != number)
    at = &(*at)->next;
  write = *at;
  if (write == NULL)
    return;
  *at = write->next;
  if (spooler->last == &write->next)
    spooler->last = at;
  talloc_free (write);
}

void
spooler_drop (struct Spooler *spooler, uint64_t number)
{
  struct PeerMessage message = { .kind = PEER_SPOOL_DROP };

  if (number <= spooler->dropped_number)
    return;
  spooler->dropped_number = number;
  message.spool.number = number;
  snprintf (message.spool.writer, sizeof message.spool.writer, "%s", spooler->incarnation);
  for (uint32_t i = 0; i < spooler->n_holders; i++)
    {
      uint64_t link = peer_net_link_to (spooler->core->net, spooler->holders[i]);

      if (link != PEER_LINK_NONE)
        peer_net_send (spooler->core->net, link, &message);
    }
}
