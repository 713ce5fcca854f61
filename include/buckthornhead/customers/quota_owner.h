/* Grants requests of customers with a limit, at the gateway that owns the customer.
 *
 * The owner holds two token buckets for each customer. Each admitted request takes a token of the
 * request bucket, whose rate and capacity bound every sliding window over all gateways. A program
 * that begins also takes as many tokens of the program bucket as a program needs on average, so
 * that the limit is spent on programs that can be completed. The buckets exist only in memory:
 * they begin empty when a gateway starts, becomes the owner, or was suspended, since what was
 * admitted before is unknown. Does no I/O; times are in milliseconds of any monotonic clock. */
#pragma once

#include <buckthornhead/customers/quota.h>

enum
{
  QUOTA_LEASE_TOKENS_MAX = 8,
  QUOTA_LEASE_VALID_MS = 250,
  /* How long a request of a program under way may wait for its token. */
  QUOTA_HOLD_MAX_MS = 300,
  QUOTA_RETRY_MAX_MS = 3000
};

/* A gateway's request for tokens, sent to the customer's owner. */
struct QuotaAsk
{
  uint64_t id; /* unique per sender */
  char customer[NAME_MAX_BYTES + 1];
  enum QuotaRequestKind kind;
  uint32_t n_wanted; /* tokens, 1 to QUOTA_LEASE_TOKENS_MAX; 1 for QUOTA_REQUEST_BEGIN */
};

/* The owner's response. */
struct QuotaGrant
{
  uint64_t id; /* of the request */
  char customer[NAME_MAX_BYTES + 1];
  uint32_t n_granted;     /* tokens; 0: rejected */
  uint32_t valid_ms;      /* time for which the tokens may be used */
  uint32_t wait_ms;       /* rejected: Retry-After. Granted: time until the token may be used. */
  uint32_t program_size;  /* requests that a program of this customer needs on average */
  uint32_t used_permille; /* fraction of the request bucket that is spent */
};

/* Tokens of a request that ran on no server, given back. */
struct QuotaReturn
{
  char customer[NAME_MAX_BYTES + 1];
  uint32_t n_tokens;
};

struct QuotaOwner;

/* now_ms: the gateway's start. Returns NULL when out of memory. */
struct QuotaOwner *
quota_owner_new (TALLOC_CTX *ctx, const struct QuotaRules *rules, int64_t now_ms);

/* Applies the customers of a new configuration; NULL: none. New buckets begin empty, those of a
 * lowered limit are cut to the new capacity, those of a raised one keep their tokens. */
void
quota_owner_configure (struct QuotaOwner *owner,
                       const struct CustomerTable *customers,
                       int64_t now_ms);

/* Sets the fraction of all limits that this gateway may grant, from 0 to 1. */
void
quota_owner_set_share (struct QuotaOwner *owner, double share, int64_t now_ms);

/* Empties all buckets: what other gateways granted while this one was suspended is unknown. */
void
quota_owner_empty (struct QuotaOwner *owner, int64_t now_ms);

/* Empties the customer's buckets unless they were emptied after owned_since_ms, the time since
 * which this gateway has owned the customer. Returns true if it emptied them. */
bool
quota_owner_take_over (struct QuotaOwner *owner, const char *customer, int64_t owned_since_ms);

/* Decides on a request for tokens. Rejects it for a customer that has no limit in this gateway's
 * configuration. */
struct QuotaGrant
quota_owner_decide (struct QuotaOwner *owner, const struct QuotaAsk *ask, int64_t now_ms);

/* Adds returned tokens, a few in each window at most; the others are lost. */
void
quota_owner_return (struct QuotaOwner *owner, const struct QuotaReturn *returned, int64_t now_ms);

/* A customer's buckets as the owner sees them. */
struct QuotaOwnerView
{
  double rate_per_s, burst;
  double request_tokens, request_capacity; /* now, after this gateway's share */
  double program_tokens, program_capacity;
  double program_size;
  uint64_t n_granted, n_rejected; /* tokens and requests since the customer was configured */
};

/* Returns false for a customer without a limit. */
bool
quota_owner_view (struct QuotaOwner *owner,
                  const char *customer,
                  int64_t now_ms,
                  struct QuotaOwnerView *view);
