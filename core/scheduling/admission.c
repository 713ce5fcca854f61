#include <buckthornhead/scheduling/admission.h>

enum
{
  /* Time from the grant to the first event: the way, and reading the prompt. */
  FIRST_EVENT_MS = 100,
  LOW_RANK_DIVISOR = 4
};

/* Returns the longest wait in ms with which a program begins. The objective is what operators allow
 * it beside the time of its work. Its later turns wait as well, unless it goes first by its rank.
 */
static uint32_t
begin_wait_ms (const struct AdmissionQuery *query)
{
  return query->has_top_rank ? query->objective_ms : query->objective_ms / LOW_RANK_DIVISOR;
}

bool
admission_rejects (const struct AdmissionQuery *query)
{
  if (query->begins_program && query->objective_ms > 0 && query->wait_ms > begin_wait_ms (query))
    return true;
  return (int64_t)query->wait_ms + FIRST_EVENT_MS > query->left_ms;
}
