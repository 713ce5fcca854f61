/* Customers' usage as reported by other gateways, and its sums.
 *
 * A gateway reports its own usage to the aggregators of its zone; these report the zone's sum to
 * the aggregators of other zones, and the fleet's sum to their members. Two aggregators of a zone
 * report nearly the same sum, so only the later report counts. The usage that a silent sender
 * reported last counts until it has left the window, since a sender that is suspended, killed or
 * unreachable does not take back what it let through. Does no I/O. */
#pragma once

#include <buckthornhead/customers/quota.h>

/* What a report sums. */
enum UsageScope
{
  USAGE_OF_GATEWAY = 0, /* the sender's own usage */
  USAGE_OF_ZONE = 1,    /* usage of all gateways of the sender's zone */
  USAGE_OF_FLEET = 2    /* usage of all gateways, sent to those of the sender's zone */
};

struct UsageReport
{
  enum UsageScope scope;
  char zone[NAME_MAX_BYTES + 1]; /* of the sender */
  struct CustomerUsage *usages;
  size_t n_usages;
};

struct UsageTable;

/* window_ms: the length of the sliding window in which limits hold. Returns NULL when out of
 * memory.
 */
struct UsageTable *
usage_table_new (TALLOC_CTX *ctx, uint32_t window_ms);

/* Stores a report; it replaces the previous one of the same sender and scope. */
void
usage_table_take (struct UsageTable *table,
                  const char *sender,
                  const struct UsageReport *report,
                  int64_t now_ms);

/* Returns the sum of own and of the usage that gateways reported to this one; for USAGE_OF_FLEET
 * other zones' sums are added. Allocated on ctx; NULL when out of memory. */
struct CustomerUsage *
usage_table_sum (struct UsageTable *table,
                 TALLOC_CTX *ctx,
                 enum UsageScope scope,
                 const struct CustomerUsage *own,
                 size_t n_own,
                 int64_t now_ms,
                 size_t *n_usages);

/* Returns the last report of the fleet's usage, or NULL if there is none or it has expired. */
const struct UsageReport *
usage_table_fleet (struct UsageTable *table, int64_t now_ms);

/* Returns when the last report of any gateway arrived; 0: never. */
int64_t
usage_table_received_ms (const struct UsageTable *table);
