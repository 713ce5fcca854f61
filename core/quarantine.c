#include <buckthornhead/policy.h>

#include <stdio.h>
#include <string.h>

#include "policy_table.h"

enum
{
  /* Suspects are kept in a ring: a digest that met one death only is forgotten after this many
   * others. Quarantined digests are kept as long as the ring of theirs. */
  QUARANTINE_SUSPECTS = 4096,
  QUARANTINE_HELD = 4096
};

struct QuarantineEntry
{
  struct TableNode by_digest;
  uint8_t digest[DIGEST_BYTES];
  char server[NAME_MAX_BYTES + 1]; /* where it ran when the first death came */
  size_t place;                    /* in the ring */
};

struct QuarantineRing
{
  struct PolicyTable table;
  struct QuarantineEntry **entries; /* talloc array */
  size_t next, room;
};

struct Quarantine
{
  struct QuarantineRing suspects, held;
};

static struct QuarantineEntry *
ring_find (const struct QuarantineRing *ring, const uint8_t digest[DIGEST_BYTES])
{
  struct TableNode *node = policy_table_find (&ring->table, digest, DIGEST_BYTES);

  return node != NULL ? TABLE_ENTRY (node, struct QuarantineEntry, by_digest) : NULL;
}

static void
ring_remove (struct QuarantineRing *ring, struct QuarantineEntry *entry)
{
  policy_table_remove (&ring->table, &entry->by_digest);
  ring->entries[entry->place] = NULL;
  talloc_free (entry);
}

/* Takes the place of the oldest. */
static void
ring_add (TALLOC_CTX *ctx,
          struct QuarantineRing *ring,
          const uint8_t digest[DIGEST_BYTES],
          const char *server)
{
  struct QuarantineEntry *entry = talloc_zero (ctx, struct QuarantineEntry);

  if (entry == NULL)
    return;
  memcpy (entry->digest, digest, DIGEST_BYTES);
  snprintf (entry->server, sizeof entry->server, "%s", server);
  if (!policy_table_add (ctx, &ring->table, &entry->by_digest, entry->digest, DIGEST_BYTES))
    {
      talloc_free (entry);
      return;
    }
  if (ring->entries[ring->next] != NULL)
    ring_remove (ring, ring->entries[ring->next]);
  entry->place = ring->next;
  ring->entries[ring->next] = entry;
  ring->next = (ring->next + 1) % ring->room;
}

static bool
ring_init (TALLOC_CTX *ctx, struct QuarantineRing *ring, size_t room)
{
  ring->room = room;
  ring->entries = talloc_zero_array (ctx, struct QuarantineEntry *, room);
  return ring->entries != NULL;
}

struct Quarantine *
quarantine_new (TALLOC_CTX *ctx)
{
  struct Quarantine *quarantine = talloc_zero (ctx, struct Quarantine);

  if (quarantine == NULL)
    return NULL;
  if (!ring_init (quarantine, &quarantine->suspects, QUARANTINE_SUSPECTS)
      || !ring_init (quarantine, &quarantine->held, QUARANTINE_HELD))
    {
      talloc_free (quarantine);
      return NULL;
    }
  return quarantine;
}

bool
quarantine_record_death (struct Quarantine *quarantine,
                         const uint8_t digest[DIGEST_BYTES],
                         const char *server,
                         int64_t now_ms)
{
  struct QuarantineEntry *suspect = ring_find (&quarantine->suspects, digest);

  (void)now_ms;
  if (quarantine_holds (quarantine, digest))
    return false;
  if (suspect == NULL)
    {
      ring_add (quarantine, &quarantine->suspects, digest, server);
      return false;
    }
  /* A server that dies twice says more about the server than about the request. */
  if (strcmp (suspect->server, server) == 0)
    return false;
  quarantine_add (quarantine, digest);
  return true;
}

bool
quarantine_holds (const struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES])
{
  return ring_find (&quarantine->held, digest) != NULL;
}

bool
quarantine_suspects (const struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES])
{
  return ring_find (&quarantine->suspects, digest) != NULL;
}

void
quarantine_clear (struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES])
{
  struct QuarantineEntry *suspect = ring_find (&quarantine->suspects, digest);

  if (suspect != NULL)
    ring_remove (&quarantine->suspects, suspect);
}

void
quarantine_add (struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES])
{
  if (!quarantine_holds (quarantine, digest))
    ring_add (quarantine, &quarantine->held, digest, "");
}
