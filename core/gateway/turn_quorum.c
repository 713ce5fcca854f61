#include <buckthornhead/turn_quorum.h>

#include <buckthornhead/error.h>

#include <string.h>

struct ArchiveQuorum
archive_quorum (uint32_t n_archives, uint32_t tolerated)
{
  struct ArchiveQuorum quorum;

  if (n_archives <= tolerated)
    {
      quorum.write = n_archives;
      quorum.read = n_archives;
      return quorum;
    }
  quorum.write = tolerated + 1;
  quorum.read = n_archives - tolerated;
  return quorum;
}

static struct TurnCharge *
charge_find (struct TurnCharge *charges, size_t n, const char *turn)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (charges[i].turn, turn) == 0)
      return &charges[i];
  return NULL;
}

int32_t
turn_charges_merge (TALLOC_CTX *ctx,
                    struct TurnCharge **charges,
                    size_t *n,
                    const struct TurnCharge *more,
                    size_t n_more)
{
  struct TurnCharge *all;

  if (n_more == 0)
    return ERROR_NONE;
  all = talloc_realloc (ctx, *charges, struct TurnCharge, *n + n_more);
  if (all == NULL)
    return ERROR_NO_MEMORY;
  *charges = all;
  for (size_t i = 0; i < n_more; i++)
    {
      struct TurnCharge *existing = charge_find (all, *n, more[i].turn);

      if (existing == NULL)
        all[(*n)++] = more[i];
      else if (more[i].settled && !existing->settled)
        *existing = more[i];
    }
  return ERROR_NONE;
}

bool
turn_charges_any (const struct TurnCharge *charges, size_t n)
{
  for (size_t i = 0; i < n; i++)
    if (charges[i].tokens > 0 || !charges[i].settled)
      return true;
  return false;
}

bool
turn_budget_allows (const struct TurnCharge *charges,
                    size_t n,
                    uint64_t budget_tokens,
                    uint32_t max_tokens)
{
  uint64_t spent = max_tokens;

  for (size_t i = 0; i < n; i++)
    spent += charges[i].tokens;
  return spent <= budget_tokens;
}
