#include <buckthornhead/scheduling/plain_queue.h>

enum
{
  /* Plain servers are run with room for their load, so most requests take far less time than the
   * route's target, which the slowest must meet as well. */
  FIRST_SERVICE_DIVISOR = 4
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
