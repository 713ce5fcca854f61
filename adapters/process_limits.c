#include <buckthornhead/process_limits.h>

#include <buckthornhead/log.h>

#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

enum
{
  LIMIT_TEXT_BYTES = 32
};

static void
limit_format (char text[LIMIT_TEXT_BYTES], int resource)
{
  struct rlimit limit;

  if (getrlimit (resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    snprintf (text, LIMIT_TEXT_BYTES, "unlimited");
  else
    snprintf (text, LIMIT_TEXT_BYTES, "%llu", (unsigned long long)limit.rlim_cur);
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

uint64_t
process_limits_descriptors (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return UINT64_MAX;
  return limit.rlim_cur;
}
