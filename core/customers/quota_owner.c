#include <buckthornhead/customers/quota_owner.h>

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum
{
  PROGRAM_SIZE_INITIAL = 11,
  PROGRAM_SIZE_MAX = 200,
  PROGRAM_SIZE_FROM = 8, /* programs begun until the size is learned */
  /* Both sums are halved when this many programs have begun, so that the size follows a change. */
  PROGRAM_SIZE_HALVED_AT = 64,
  RETRY_MIN_MS = 20,
  /* The owner may receive a new configuration somewhat later than the gateway that asks. */
  RETRY_UNKNOWN_MS = 300,
  /* Changes of the share that are recorded, so that no change has to visit all customers. */
  SHARES_MAX = 32
};

/* Parts of the slack in the capacity of the two buckets. The quarter and the tenth of the limit
 * that no bucket contains cover tokens that are used after they were granted. */
static const double REQUEST_SLACK = 0.75, PROGRAM_SLACK = 0.25;

/* Fractions of the limit and of the slack that are added again of returned tokens, once and after
 * each window. While a token was away its bucket may have been refilled in its place, so that
 * returns without a bound exceed the limit: the model tests/model/quota_lease.pml shows it. */
static const double RETURNED_LIMIT = 0.01, RETURNED_SLACK = 0.125;

struct TokenBucket
{
  double tokens;
  /* Tokens for which rejected requests retry, by their Retry-After. */
  double owed;
};

struct OwnedCustomer
{
  char name[NAME_MAX_BYTES + 1];
  double rate_per_s, burst;
  bool configured;
  struct TokenBucket requests, programs;
  double returns;     /* returned tokens that may still be added */
  int64_t filled_ms;  /* when both buckets were last refilled */
  uint64_t n_shares;  /* of the owner, when they were last refilled */
  int64_t emptied_ms; /* when they were last emptied */
  double n_begun, n_requests;
  uint64_t n_granted, n_rejected;
  UT_hash_handle hh;
};

struct Share
{
  double fraction;
  int64_t from_ms;
};

struct QuotaOwner
{
  struct QuotaRules rules;
  struct OwnedCustomer *customers;
  struct Share shares[SHARES_MAX]; /* ring */
  uint64_t n_shares;               /* set so far; the last one is current */
  int64_t emptied_ms;              /* when all buckets were last emptied */
};

static int
owner_free (struct QuotaOwner *owner)
{
  HASH_CLEAR (hh, owner->customers);
  return 0;
}

struct QuotaOwner *
quota_owner_new (TALLOC_CTX *ctx, const struct QuotaRules *rules, int64_t now_ms)
{
  struct QuotaOwner *owner = talloc_zero (ctx, struct QuotaOwner);

  if (owner == NULL)
    return NULL;
  owner->rules = *rules;
  owner->shares[0] = (struct Share){ 1, now_ms };
  owner->n_shares = 1;
  owner->emptied_ms = now_ms;
  talloc_set_destructor (owner, owner_free);
  return owner;
}

static struct OwnedCustomer *
owner_find (const struct QuotaOwner *owner, const char *name)
{
  struct OwnedCustomer *customer = NULL;

  HASH_FIND_STR (owner->customers, name, customer);
  return customer;
}

/* Buckets */

/* Returns the n-th share that was set, counted from 1. */
static const struct Share *
owner_share (const struct QuotaOwner *owner, uint64_t n)
{
  return &owner->shares[(n - 1) % SHARES_MAX];
}

static double
current_fraction (const struct QuotaOwner *owner)
{
  return owner_share (owner, owner->n_shares)->fraction;
}

static double
request_capacity (const struct QuotaOwner *owner, const struct OwnedCustomer *customer)
{
  return customer->burst + REQUEST_SLACK * owner->rules.slack;
}

static double
program_capacity (const struct QuotaOwner *owner, const struct OwnedCustomer *customer)
{
  return customer->burst + PROGRAM_SLACK * owner->rules.slack;
}

static double
returns_capacity (const struct QuotaOwner *owner, const struct OwnedCustomer *customer)
{
  double limit = customer->rate_per_s * owner->rules.window_ms / 1000 + customer->burst;

  return RETURNED_LIMIT * limit + RETURNED_SLACK * owner->rules.slack;
}

static double
refill_per_s (const struct QuotaOwner *owner, const struct OwnedCustomer *customer)
{
  return current_fraction (owner) * customer->rate_per_s;
}

static void
bucket_refill (struct TokenBucket *bucket, double n, double capacity)
{
  bucket->tokens = fmin (bucket->tokens + n, capacity);
  bucket->owed = fmax (bucket->owed - n, 0);
}

/* Returns the level of an emptied bucket. Tokens that requests wait for were granted already: a
 * bucket below zero is refilled first. */
static double
emptied_level (const struct TokenBucket *bucket, double refilled)
{
  return fmin (bucket->tokens + refilled, 0);
}

static void
customer_empty (const struct QuotaOwner *owner, struct OwnedCustomer *customer, int64_t at_ms)
{
  int64_t since_ms = at_ms > customer->filled_ms ? at_ms - customer->filled_ms : 0;
  double n = refill_per_s (owner, customer) * (double)since_ms / 1000;

  customer->requests = (struct TokenBucket){ .tokens = emptied_level (&customer->requests, n) };
  customer->programs = (struct TokenBucket){ .tokens = emptied_level (&customer->programs, n) };
  customer->returns = 0;
  customer->filled_ms = at_ms;
  customer->emptied_ms = at_ms;
}

/* Refills both buckets up to until_ms with the given fraction of the rate and the capacities. */
static void
customer_refill_with (const struct QuotaOwner *owner,
                      struct OwnedCustomer *customer,
                      double fraction,
                      int64_t until_ms)
{
  double capacity = fraction * returns_capacity (owner, customer);
  int64_t since_ms = until_ms > customer->filled_ms ? until_ms - customer->filled_ms : 0;
  double n = fraction * customer->rate_per_s * (double)since_ms / 1000;

  customer->filled_ms += since_ms;
  customer->returns =
      fmin (customer->returns + capacity * (double)since_ms / owner->rules.window_ms, capacity);
  bucket_refill (&customer->requests, n, fraction * request_capacity (owner, customer));
  bucket_refill (&customer->programs, n, fraction * program_capacity (owner, customer));
}

/* Refills with each share that was in force since the last refill: a bucket that was not used while
 * the share was small is also cut to the small capacity. */
static void
customer_refill (const struct QuotaOwner *owner, struct OwnedCustomer *customer, int64_t now_ms)
{
  if (customer->emptied_ms < owner->emptied_ms)
    customer_empty (owner, customer, owner->emptied_ms);
  if (owner->n_shares - customer->n_shares >= SHARES_MAX)
    {
      customer_empty (owner, customer, owner_share (owner, owner->n_shares)->from_ms);
      customer->n_shares = owner->n_shares;
    }
  for (; customer->n_shares < owner->n_shares; customer->n_shares++)
    customer_refill_with (owner, customer, owner_share (owner, customer->n_shares)->fraction,
                          owner_share (owner, customer->n_shares + 1)->from_ms);
  customer_refill_with (owner, customer, current_fraction (owner), now_ms);
}

/* Configuration */

static struct OwnedCustomer *
owner_add (struct QuotaOwner *owner, const char *name, int64_t now_ms)
{
  struct OwnedCustomer *customer = talloc_zero (owner, struct OwnedCustomer);

  if (customer == NULL)
    return NULL;
  snprintf (customer->name, sizeof customer->name, "%s", name);
  customer->filled_ms = now_ms;
  customer->emptied_ms = now_ms;
  customer->n_shares = owner->n_shares;
  HASH_ADD_STR (owner->customers, name, customer);
  return customer;
}

static void
owner_remove_unconfigured (struct QuotaOwner *owner)
{
  struct OwnedCustomer *customer, *next;

  HASH_ITER (hh, owner->customers, customer, next)
  {
    if (customer->configured)
      continue;
    HASH_DEL (owner->customers, customer);
    talloc_free (customer);
  }
}

void
quota_owner_configure (struct QuotaOwner *owner,
                       const struct CustomerTable *customers,
                       int64_t now_ms)
{
  size_t n = customers != NULL ? customer_table_count (customers) : 0;
  struct OwnedCustomer *owned;

  for (owned = owner->customers; owned != NULL; owned = owned->hh.next)
    owned->configured = false;
  for (size_t i = 0; i < n; i++)
    {
      const struct Customer *customer = customer_table_at (customers, i);

      if (customer->rate_per_s <= 0)
        continue;
      owned = owner_find (owner, customer->name);
      if (owned == NULL)
        owned = owner_add (owner, customer->name, now_ms);
      if (owned == NULL)
        continue;
      customer_refill (owner, owned, now_ms);
      owned->configured = true;
      owned->rate_per_s = customer->rate_per_s;
      owned->burst = customer->burst;
      customer_refill (owner, owned, now_ms);
    }
  owner_remove_unconfigured (owner);
}

void
quota_owner_set_share (struct QuotaOwner *owner, double share, int64_t now_ms)
{
  if (share == current_fraction (owner))
    return;
  owner->n_shares++;
  owner->shares[(owner->n_shares - 1) % SHARES_MAX] = (struct Share){ share, now_ms };
}

void
quota_owner_empty (struct QuotaOwner *owner, int64_t now_ms)
{
  owner->emptied_ms = now_ms;
}

bool
quota_owner_take_over (struct QuotaOwner *owner, const char *customer, int64_t owned_since_ms)
{
  struct OwnedCustomer *owned = owner_find (owner, customer);

  if (owned == NULL || owned->emptied_ms >= owned_since_ms)
    return false;
  customer_empty (owner, owned, owned_since_ms);
  return true;
}

/* Decisions */

static double
customer_program_size (const struct OwnedCustomer *customer)
{
  if (customer->n_begun < PROGRAM_SIZE_FROM)
    return PROGRAM_SIZE_INITIAL;
  return fmax (fmin (customer->n_requests / customer->n_begun, PROGRAM_SIZE_MAX), 1);
}

static void
customer_learn (struct OwnedCustomer *customer, enum QuotaRequestKind kind, uint32_t n)
{
  if (kind == QUOTA_REQUEST_SINGLE)
    return;
  customer->n_requests += n;
  if (kind != QUOTA_REQUEST_BEGIN)
    return;
  customer->n_begun += 1;
  if (customer->n_begun < PROGRAM_SIZE_HALVED_AT)
    return;
  customer->n_begun /= 2;
  customer->n_requests /= 2;
}

/* What a request takes of the program bucket. */
struct ProgramCost
{
  double needed; /* tokens that the bucket must hold */
  double taken;
};

static struct ProgramCost
program_cost (const struct QuotaOwner *owner,
              const struct OwnedCustomer *customer,
              enum QuotaRequestKind kind)
{
  double size = customer_program_size (customer);

  switch (kind)
    {
    case QUOTA_REQUEST_SINGLE:
      return (struct ProgramCost){ 1, 1 };
    case QUOTA_REQUEST_BEGIN:
      /* A full bucket admits a program of any size: otherwise a customer whose burst is below half
       * of a program could never begin one. */
      return (struct ProgramCost){
        fmin (size / 2, current_fraction (owner) * program_capacity (owner, customer)), size
      };
    case QUOTA_REQUEST_UNDER_WAY:
      break;
    }
  return (struct ProgramCost){ 0, 0 };
}

/* The bucket may be below zero, which does not concern requests of programs under way. */
static bool
lacks_program_tokens (const struct OwnedCustomer *customer, const struct ProgramCost *cost)
{
  return cost->needed > 0 && customer->programs.tokens < cost->needed;
}

/* Returns how long it takes until the bucket holds n tokens. */
static double
bucket_wait_ms (const struct TokenBucket *bucket, double n, double per_s)
{
  if (bucket->tokens >= n)
    return 0;
  return per_s > 0 ? (n - bucket->tokens) * 1000 / per_s : QUOTA_RETRY_MAX_MS;
}

static uint32_t
bucket_retry_ms (struct TokenBucket *bucket, double needed, double taken, double per_s)
{
  double wait_ms = bucket_wait_ms (bucket, needed + bucket->owed, per_s);

  if (wait_ms < QUOTA_RETRY_MAX_MS)
    bucket->owed += taken;
  return (uint32_t)fmax (fmin (wait_ms, QUOTA_RETRY_MAX_MS), RETRY_MIN_MS);
}

/* Returns the Retry-After of a rejected request, and adds the request to those rejected before. */
static uint32_t
customer_retry_ms (const struct QuotaOwner *owner,
                   struct OwnedCustomer *customer,
                   const struct ProgramCost *cost)
{
  double per_s = refill_per_s (owner, customer);
  uint32_t requests_ms = 0, programs_ms = 0;

  if (customer->requests.tokens < 1)
    requests_ms = bucket_retry_ms (&customer->requests, 1, 1, per_s);
  if (lacks_program_tokens (customer, cost))
    programs_ms = bucket_retry_ms (&customer->programs, cost->needed, cost->taken, per_s);
  return requests_ms > programs_ms ? requests_ms : programs_ms;
}

/* Returns the number of tokens to grant for use now. Several are granted only while half of the
 * bucket is left: unused ones of a lease are lost. */
static uint32_t
customer_lease_size (const struct QuotaOwner *owner,
                     const struct OwnedCustomer *customer,
                     const struct QuotaAsk *ask)
{
  double spare =
      customer->requests.tokens - current_fraction (owner) * request_capacity (owner, customer) / 2;

  if (ask->kind == QUOTA_REQUEST_SINGLE)
    spare = fmin (spare, customer->programs.tokens);
  if (ask->kind == QUOTA_REQUEST_BEGIN || ask->n_wanted <= 1 || spare < 2)
    return 1;
  return (uint32_t)fmin (fmin (ask->n_wanted, QUOTA_LEASE_TOKENS_MAX), floor (spare));
}

static void
customer_grant (const struct QuotaOwner *owner,
                struct OwnedCustomer *customer,
                const struct QuotaAsk *ask,
                struct QuotaGrant *grant)
{
  struct ProgramCost cost = program_cost (owner, customer, ask->kind);
  double per_s = refill_per_s (owner, customer);
  double wait_ms = bucket_wait_ms (&customer->requests, 1, per_s);

  if (lacks_program_tokens (customer, &cost)
      || wait_ms > (ask->kind == QUOTA_REQUEST_UNDER_WAY ? QUOTA_HOLD_MAX_MS : 0))
    {
      customer->n_rejected++;
      grant->wait_ms = customer_retry_ms (owner, customer, &cost);
      return;
    }
  /* The tokens are taken at once, also if the request has to wait: requests are served in order of
   * arrival, and the owner need not remember who waits. */
  grant->n_granted = wait_ms > 0 ? 1 : customer_lease_size (owner, customer, ask);
  grant->wait_ms = (uint32_t)ceil (wait_ms);
  grant->valid_ms = QUOTA_LEASE_VALID_MS;
  customer->requests.tokens -= grant->n_granted;
  customer->programs.tokens -= cost.taken * grant->n_granted;
  customer->n_granted += grant->n_granted;
  customer_learn (customer, ask->kind, grant->n_granted);
}

static uint32_t
customer_used_permille (const struct QuotaOwner *owner, const struct OwnedCustomer *customer)
{
  double capacity = current_fraction (owner) * request_capacity (owner, customer);

  if (capacity <= 0)
    return 1000;
  return (uint32_t)(1000 * fmin (fmax (1 - customer->requests.tokens / capacity, 0), 1));
}

/* Treats all requests alike if programs under way are not preferred. */
static enum QuotaRequestKind
owner_request_kind (const struct QuotaOwner *owner, enum QuotaRequestKind kind)
{
  return owner->rules.programs_first ? kind : QUOTA_REQUEST_SINGLE;
}

struct QuotaGrant
quota_owner_decide (struct QuotaOwner *owner, const struct QuotaAsk *ask, int64_t now_ms)
{
  struct OwnedCustomer *customer = owner_find (owner, ask->customer);
  struct QuotaGrant grant = { .id = ask->id };
  struct QuotaAsk adjusted = *ask;

  memcpy (grant.customer, ask->customer, sizeof grant.customer);
  if (customer == NULL)
    {
      grant.wait_ms = RETRY_UNKNOWN_MS;
      return grant;
    }
  adjusted.kind = owner_request_kind (owner, ask->kind);
  customer_refill (owner, customer, now_ms);
  customer_grant (owner, customer, &adjusted, &grant);
  grant.program_size = (uint32_t)lround (customer_program_size (customer));
  grant.used_permille = customer_used_permille (owner, customer);
  return grant;
}

void
quota_owner_return (struct QuotaOwner *owner, const struct QuotaReturn *returned, int64_t now_ms)
{
  struct OwnedCustomer *customer = owner_find (owner, returned->customer);
  double n;

  if (customer == NULL)
    return;
  customer_refill (owner, customer, now_ms);
  n = fmin (returned->n_tokens, customer->returns);
  customer->returns -= n;
  bucket_refill (&customer->requests, n,
                 current_fraction (owner) * request_capacity (owner, customer));
}

bool
quota_owner_view (struct QuotaOwner *owner,
                  const char *customer,
                  int64_t now_ms,
                  struct QuotaOwnerView *view)
{
  struct OwnedCustomer *owned = owner_find (owner, customer);

  if (owned == NULL)
    return false;
  customer_refill (owner, owned, now_ms);
  *view = (struct QuotaOwnerView){
    .rate_per_s = owned->rate_per_s,
    .burst = owned->burst,
    .request_tokens = owned->requests.tokens,
    .request_capacity = current_fraction (owner) * request_capacity (owner, owned),
    .program_tokens = owned->programs.tokens,
    .program_capacity = current_fraction (owner) * program_capacity (owner, owned),
    .program_size = customer_program_size (owned),
    .n_granted = owned->n_granted,
    .n_rejected = owned->n_rejected,
  };
  return true;
}
