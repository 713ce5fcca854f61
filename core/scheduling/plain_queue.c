#include <buckthornhead/scheduling/plain_queue.h>

enum
{
  /* Plain servers are run with room for their load, so most requests take far less time than the
   * route's target, which the slowest must meet as well. */
  FIRST_SERVICE_DIVISOR = 4,
  /* A move costs three messages, and the known load of the other server is up to 120 ms old: if
   * any gain sufficed, requests would move repeatedly under overload. */
  MOVE_GAIN = 2,
  /* A request queries its owner again after half of its expected wait, within these bounds. The
   * upper bound limits the delay after a lost response or a change of owner. The lower one for all
   * requests would make repeated queries most of the messages under overload. */
  QUERY_INTERVAL_MIN_MS = 200,
  QUERY_INTERVAL_MAX_MS = 800
};

uint32_t
plain_first_service_ms (uint32_t target_ms)
{
  uint32_t service_ms = target_ms / FIRST_SERVICE_DIVISOR;

  return service_ms > 0 ? service_ms : 1;
}

int64_t
plain_order_deadline_ms (const struct PlainRequest *request)
{
  return request->program_deadline_ms != INT64_MAX ? request->program_deadline_ms
                                                   : request->deadline_ms;
}

int64_t
plain_longest_wait_ms (const struct PlainRequest *request, uint32_t service_ms, int64_t now_ms)
{
  return request->deadline_ms - now_ms - (int64_t)service_ms;
}

bool
plain_is_worth_moving (uint32_t here_ms, uint32_t there_ms)
{
  return (uint64_t)there_ms * MOVE_GAIN < here_ms;
}

uint32_t
plain_query_interval_ms (uint32_t wait_ms)
{
  uint32_t half_ms = wait_ms / 2;

  if (half_ms < QUERY_INTERVAL_MIN_MS)
    return QUERY_INTERVAL_MIN_MS;
  return half_ms < QUERY_INTERVAL_MAX_MS ? half_ms : QUERY_INTERVAL_MAX_MS;
}
