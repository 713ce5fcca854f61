/* Polls the platform's list of backend servers, validates it and reports changes.
 *
 * A list that cannot be fetched or parsed is ignored and the previous one stays in use. A list that
 * can be parsed replaces the previous one completely: a server that it marks as leaving, or no
 * longer contains, gets no new work. */
#pragma once

#include <buckthornhead/instances.h>
#include <buckthornhead/settings.h>
#include <buckthornhead/timer.h>

struct BackendList;

struct BackendListOptions
{
  uint32_t poll_ms; /* jittered */
  uint64_t seed;    /* of the jitter; must differ between instances */
  /* Called with the list, sorted by name, when it differs from the previous one. */
  void (*changed) (void *data,
                   const struct BackendSetting *listed,
                   const bool *leaving,
                   size_t n_listed);
  void *data;
};

struct BackendList *
backend_list_new (TALLOC_CTX *ctx,
                  struct BackendListPort *port,
                  struct TimerService *timers,
                  const struct BackendListOptions *options);
