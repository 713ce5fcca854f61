#include <buckthornhead/policy.h>

#include <stdio.h>
#include <string.h>

#include "policy_table.h"

enum
{
  /* Suspects are kept in a ring: a digest that was involved in only one crash is forgotten after
   * this many others. Quarantined digests are kept in a ring of their own until they are the
   * oldest. */
  QUARANTINE_SUSPECTS_MAX = 4096,
  QUARANTINE_DIGESTS_MAX = 4096
};

struct QuarantineEntry
{
  struct TableNode by_digest;
  uint8_t digest[DIGEST_BYTES];
  char server[NAME_MAX_BYTES + 1]; /* server of the first crash */
  size_t index;                    /* in the ring's entries */
};

struct QuarantineRing
{
  struct PolicyTable table;
  struct QuarantineEntry **entries; /* talloc array */
  size_t next, capacity;
};

struct Quarantine
{
  struct QuarantineRing suspects, quarantined;
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
  ring->entries[entry->index] = NULL;
  talloc_free (entry);
}

/* Adds a digest in place of the oldest one. */
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
  entry->index = ring->next;
  ring->entries[ring->next] = entry;
  ring->next = (ring->next + 1) % ring->capacity;
}

static bool
ring_init (TALLOC_CTX *ctx, struct QuarantineRing *ring, size_t capacity)
{
  ring->capacity = capacity;
  ring->entries = talloc_zero_array (ctx, struct QuarantineEntry *, capacity);
  return ring->entries != NULL;
}

struct Quarantine *
quarantine_new (TALLOC_CTX *ctx)
{
  struct Quarantine *quarantine = talloc_zero (ctx, struct Quarantine);

  if (quarantine == NULL)
    return NULL;
  if (!ring_init (quarantine, &quarantine->suspects, QUARANTINE_SUSPECTS_MAX)
      || !ring_init (quarantine, &quarantine->quarantined, QUARANTINE_DIGESTS_MAX))
    {
      talloc_free (quarantine);
      return NULL;
    }
  return quarantine;
}

bool
quarantine_record_crash (struct Quarantine *quarantine,
                         const uint8_t digest[DIGEST_BYTES],
                         const char *server,
                         int64_t now_ms)
{
  struct QuarantineEntry *suspect = ring_find (&quarantine->suspects, digest);

  (void)now_ms;
  if (quarantine_contains (quarantine, digest))
    return false;
  if (suspect == NULL)
    {
      ring_add (quarantine, &quarantine->suspects, digest, server);
      return false;
    }
  /* A server that crashes twice indicates a fault of the server rather than of the request. */
  if (strcmp (suspect->server, server) == 0)
    return false;
  quarantine_add (quarantine, digest);
  return true;
}

bool
quarantine_contains (const struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES])
{
  return ring_find (&quarantine->quarantined, digest) != NULL;
}

bool
quarantine_is_suspect (const struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES])
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
  if (!quarantine_contains (quarantine, digest))
    ring_add (quarantine, &quarantine->quarantined, digest, "");
}
