#include <buckthornhead/recent_hashes.h>

bool
recent_hashes_contains (const struct RecentHashes *recent, uint64_t hash)
{
  for (uint32_t i = 0; i < recent->n; i++)
    if (recent->items[i] == hash)
      return true;
  return false;
}

bool
recent_hashes_add (struct RecentHashes *recent, uint64_t hash)
{
  if (recent_hashes_contains (recent, hash))
    return false;
  recent->items[recent->next] = hash;
  recent->next = (recent->next + 1) % RECENT_HASHES_MAX;
  if (recent->n < RECENT_HASHES_MAX)
    recent->n++;
  return true;
}
