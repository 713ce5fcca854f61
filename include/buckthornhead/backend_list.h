/* Backend servers as the platform lists them: polled, checked, and told when they change.
 *
 * A list that can not be read, or is none, changes nothing: the last one stays. One that can is
 * believed as a whole: a server that it calls leaving, or no longer names, gets no new work. */
#pragma once

#include <buckthornhead/instances.h>
#include <buckthornhead/settings.h>
#include <buckthornhead/timer.h>

struct BackendList;

struct BackendListOptions
{
  uint32_t poll_ms; /* jittered */
  uint64_t seed;    /* of the jitter: another one at each instance */
  /* The list as read now, by name, differs from the one before. */
  void (*changed) (void *data,
                   const struct BackendSetting *listed,
                   const bool *leaving,
                   size_t n_listed);
  void *data;
};

struct BackendList *
backend_list_new (TALLOC_CTX *ctx,
                  struct InstancesPort *port,
                  struct TimerService *timers,
                  const struct BackendListOptions *options);
