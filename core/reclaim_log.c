#include <buckthornhead/reclaim_log.h>

#include <buckthornhead/counter.h>
#include <buckthornhead/held_memory.h>
#include <buckthornhead/log.h>

enum
{
  LOG_PERIOD_MS = 10 * 1000
};

void
reclaim_log_record (struct ReclaimLog *log, uint64_t max_bytes, int64_t now_ms)
{
  counter_add (COUNTER_CLIENTS_GIVEN_UP, 1);
  log->n_given_up++;
  if (log->logged_ms != 0 && now_ms - log->logged_ms < LOG_PERIOD_MS)
    return;
  log_event (LOG_LEVEL_WARNING, "held_memory_exceeded", NULL,
             "look for clients that send or read slowly, or raise [limits] held_memory",
             "%llu bytes are held, the limit is %llu; %u clients were given up since the last line",
             (unsigned long long)held_memory_bytes (), (unsigned long long)max_bytes,
             log->n_given_up);
  log->logged_ms = now_ms;
  log->n_given_up = 0;
}
