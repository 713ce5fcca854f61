#include <buckthornhead/descriptor_shares.h>

#include <inttypes.h>

enum
{
  /* For the standard streams, event loop, listeners, files, store, and the first peers. */
  PROCESS_DESCRIPTORS = 32,
  /* Parts of the others; the rest is for links to peers and archives. */
  CALLERS_PERCENT = 52,
  SERVERS_PERCENT = 25,
  READY_PERCENT = 2,
  DIRECTORY_PERCENT = 5,
  METRICS_PERCENT = 1,
  OPERATORS_PERCENT = 2,
  CONNECTIONS_MIN = 2 /* of each kind */
};

static uint64_t
part_of (uint64_t limit, uint32_t percent)
{
  uint64_t n = limit - PROCESS_DESCRIPTORS;
  uint64_t part = n / 100 * percent + n % 100 * percent / 100;

  return part > CONNECTIONS_MIN ? part : CONNECTIONS_MIN;
}

static uint32_t
lesser (uint32_t wanted, uint64_t part)
{
  return wanted < part ? wanted : (uint32_t)part;
}

int32_t
descriptor_shares (uint64_t limit,
                   const struct DescriptorShares *wanted,
                   struct DescriptorShares *shares,
                   struct Fault *fault)
{
  *shares = (struct DescriptorShares){ 0 };
  if (limit < DESCRIPTORS_MIN)
    return fault_set (fault, ERROR_INVALID,
                      "raise the soft limit of open files: 4100 for 2000 callers",
                      "the process may open %" PRIu64 " descriptors and needs at least %d", limit,
                      DESCRIPTORS_MIN);
  *shares = (struct DescriptorShares){
    .callers = lesser (wanted->callers, part_of (limit, CALLERS_PERCENT)),
    .ready = lesser (wanted->ready, part_of (limit, READY_PERCENT)),
    .directory = lesser (wanted->directory, part_of (limit, DIRECTORY_PERCENT)),
    .metrics = lesser (wanted->metrics, part_of (limit, METRICS_PERCENT)),
    .operators = lesser (wanted->operators, part_of (limit, OPERATORS_PERCENT)),
  };
  /* Including what the callers do not want of theirs. */
  shares->servers = lesser (wanted->servers,
                            part_of (limit, CALLERS_PERCENT + SERVERS_PERCENT) - shares->callers);
  return ERROR_NONE;
}
