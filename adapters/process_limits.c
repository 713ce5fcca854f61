#include <buckthornhead/process_limits.h>

#include <buckthornhead/held_memory.h>
#include <buckthornhead/log.h>

#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>
#include <unistd.h>

enum
{
  LIMIT_TEXT_BYTES = 32,
  MAPPED_MIN_BYTES = 128 * 1024 /* buffers of this size are mapped separately */
};

/* Returns the soft limit; UINT64_MAX for none. */
static uint64_t
limit_read (int resource)
{
  struct rlimit limit;

  if (getrlimit (resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return UINT64_MAX;
  return limit.rlim_cur;
}

static void
limit_format (char text[LIMIT_TEXT_BYTES], int resource)
{
  uint64_t limit = limit_read (resource);

  if (limit == UINT64_MAX)
    snprintf (text, LIMIT_TEXT_BYTES, "unlimited");
  else
    snprintf (text, LIMIT_TEXT_BYTES, "%" PRIu64, limit);
}

void
process_limits_log (void)
{
  char descriptors[LIMIT_TEXT_BYTES], address_space[LIMIT_TEXT_BYTES];

  limit_format (descriptors, RLIMIT_NOFILE);
  limit_format (address_space, RLIMIT_AS);
  log_event (LOG_LEVEL_NOTICE, "starting", NULL, NULL,
             "process %d, limits: descriptors %s, bytes of address space %s", (int)getpid (),
             descriptors, address_space);
}

static bool
is_same (const struct DescriptorShares *a, const struct DescriptorShares *b)
{
  return a->callers == b->callers && a->ready == b->ready && a->directory == b->directory
         && a->metrics == b->metrics && a->operators == b->operators && a->servers == b->servers;
}

/* Logs shares that differ from those of the attempt to start before. */
static void
log_shares (const struct DescriptorShares *wanted, const struct DescriptorShares *shares)
{
  static struct DescriptorShares logged_wanted, logged;

  if (is_same (wanted, &logged_wanted) && is_same (shares, &logged))
    return;
  logged_wanted = *wanted;
  logged = *shares;
  log_event (LOG_LEVEL_NOTICE, "descriptor_shares", NULL,
             shares->callers < wanted->callers
                 ? "raise the process's limit of descriptors, or lower [limits] connections"
                 : NULL,
             "connections: callers %u of %u wanted, ready %u, directory %u, metrics %u, "
             "operators %u, servers %u",
             shares->callers, wanted->callers, shares->ready, shares->directory, shares->metrics,
             shares->operators, shares->servers);
}

int32_t
process_limits_divide (const struct DescriptorShares *wanted,
                       struct DescriptorShares *shares,
                       struct Fault *fault)
{
  int32_t error = descriptor_shares (limit_read (RLIMIT_NOFILE), wanted, shares, fault);

  if (error == ERROR_NONE)
    log_shares (wanted, shares);
  return error;
}

void
process_limit_kept_memory (void)
{
  /* Set explicitly, the threshold no longer grows with the largest buffer that was freed. */
  mallopt (M_MMAP_THRESHOLD, MAPPED_MIN_BYTES);
}

uint64_t
process_held_max_bytes (uint64_t setting_bytes)
{
  struct sysinfo info;

  if (setting_bytes > 0)
    return setting_bytes;
  return sysinfo (&info) == 0 ? held_memory_share ((uint64_t)info.totalram * info.mem_unit) : 0;
}

void
process_limits_log_held (uint64_t max_bytes)
{
  log_event (LOG_LEVEL_NOTICE, "memory_bounded", NULL, NULL,
             "at most %" PRIu64 " bytes for requests and responses", max_bytes);
}
