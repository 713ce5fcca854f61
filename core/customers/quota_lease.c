#include <buckthornhead/customers/quota_lease.h>

#include <stdio.h>
#include <string.h>
#include <uthash.h>

/* Requests are counted in slices of half the validity of a lease. */
#define SLICE_MS (QUOTA_LEASE_VALID_MS / 2)

enum
{
  N_SLICES = 2,
  N_KINDS = QUOTA_REQUEST_UNDER_WAY + 1
};

struct Lease
{
  uint32_t n_tokens;
  int64_t until_ms;
  uint32_t counts[N_SLICES]; /* requests in the current slice and in the one before */
  int64_t slice;             /* number of the current slice */
};

struct LeaseEntry
{
  char customer[NAME_MAX_BYTES + 1];
  struct Lease leases[N_KINDS];
  int64_t rejected_ms; /* last rejection; 0: none */
  UT_hash_handle hh;
};

struct QuotaLeases
{
  struct LeaseEntry *entries;
};

static int
leases_free (struct QuotaLeases *leases)
{
  HASH_CLEAR (hh, leases->entries);
  return 0;
}

struct QuotaLeases *
quota_leases_new (TALLOC_CTX *ctx)
{
  struct QuotaLeases *leases = talloc_zero (ctx, struct QuotaLeases);

  if (leases != NULL)
    talloc_set_destructor (leases, leases_free);
  return leases;
}

void
quota_leases_clear (struct QuotaLeases *leases)
{
  struct LeaseEntry *entry, *next;

  HASH_ITER (hh, leases->entries, entry, next)
  {
    HASH_DEL (leases->entries, entry);
    talloc_free (entry);
  }
}

/* Returns NULL when out of memory. */
static struct LeaseEntry *
leases_entry (struct QuotaLeases *leases, const char *customer)
{
  struct LeaseEntry *entry = NULL;

  HASH_FIND_STR (leases->entries, customer, entry);
  if (entry != NULL)
    return entry;
  entry = talloc_zero (leases, struct LeaseEntry);
  if (entry == NULL)
    return NULL;
  snprintf (entry->customer, sizeof entry->customer, "%s", customer);
  HASH_ADD_STR (leases->entries, customer, entry);
  return entry;
}

static void
lease_advance (struct Lease *lease, int64_t now_ms)
{
  int64_t slice = now_ms / SLICE_MS;

  if (slice - lease->slice >= N_SLICES)
    memset (lease->counts, 0, sizeof lease->counts);
  else if (slice > lease->slice)
    {
      lease->counts[1] = lease->counts[0];
      lease->counts[0] = 0;
    }
  lease->slice = slice;
}

bool
quota_leases_take (struct QuotaLeases *leases,
                   const char *customer,
                   enum QuotaRequestKind kind,
                   int64_t now_ms)
{
  struct LeaseEntry *entry = leases_entry (leases, customer);
  struct Lease *lease;

  if (entry == NULL)
    return false;
  lease = &entry->leases[kind];
  lease_advance (lease, now_ms);
  lease->counts[0]++;
  if (lease->n_tokens == 0 || now_ms >= lease->until_ms)
    return false;
  lease->n_tokens--;
  return true;
}

uint32_t
quota_leases_wanted (struct QuotaLeases *leases,
                     const char *customer,
                     enum QuotaRequestKind kind,
                     int64_t now_ms)
{
  struct LeaseEntry *entry = leases_entry (leases, customer);
  struct Lease *lease;
  uint32_t n;

  if (entry == NULL || kind == QUOTA_REQUEST_BEGIN)
    return 1;
  lease = &entry->leases[kind];
  lease_advance (lease, now_ms);
  n = lease->counts[0] + lease->counts[1];
  if (n < 1)
    return 1;
  return n < QUOTA_LEASE_TOKENS_MAX ? n : QUOTA_LEASE_TOKENS_MAX;
}

void
quota_leases_add (struct QuotaLeases *leases,
                  const char *customer,
                  enum QuotaRequestKind kind,
                  uint32_t n_tokens,
                  int64_t until_ms)
{
  struct LeaseEntry *entry = leases_entry (leases, customer);
  struct Lease *lease;

  if (entry == NULL)
    return;
  lease = &entry->leases[kind];
  /* One end for all tokens: those of the earlier lease would otherwise be used after theirs. */
  if (lease->n_tokens > 0 && lease->until_ms < until_ms)
    lease->n_tokens = 0;
  lease->n_tokens += n_tokens;
  lease->until_ms = until_ms;
}

bool
quota_leases_note_rejected (struct QuotaLeases *leases,
                            const char *customer,
                            uint32_t window_ms,
                            int64_t now_ms)
{
  struct LeaseEntry *entry = leases_entry (leases, customer);
  bool is_first;

  if (entry == NULL)
    return false;
  is_first = entry->rejected_ms == 0 || now_ms - entry->rejected_ms > window_ms;
  entry->rejected_ms = now_ms;
  return is_first;
}
