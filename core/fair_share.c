#include "fair_share.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Services whose weighted tokens are within the same step of this size count as even. */
static const double FAIR_SLACK_TOKENS = 20000;

struct FairService *
fair_share_service (TALLOC_CTX *ctx, struct FairShare *fair, const char *name)
{
  struct TableNode *node = policy_table_find (&fair->services, name, strlen (name));
  struct FairService *service;

  if (node != NULL)
    return TABLE_ENTRY (node, struct FairService, by_name);
  service = talloc_zero (ctx, struct FairService);
  if (service == NULL)
    return NULL;
  snprintf (service->name, sizeof service->name, "%s", name);
  if (policy_table_add (ctx, &fair->services, &service->by_name, service->name,
                        strlen (service->name)))
    return service;
  talloc_free (service);
  return NULL;
}

/* Updates the service's position in a heap from its virtual time and its most urgent call. */
static bool
fair_update_position (TALLOC_CTX *ctx,
                      struct PolicyHeap *services,
                      const struct FairService *service,
                      const struct PolicyHeap *calls,
                      struct HeapNode *node)
{
  const struct HeapNode *first = policy_heap_first (calls);

  if (first == NULL)
    {
      policy_heap_remove (services, node);
      return true;
    }
  node->major = floor (service->virtual_tokens / FAIR_SLACK_TOKENS);
  node->minor = first->minor;
  node->sequence = first->sequence;
  return policy_heap_put (ctx, services, node);
}

static bool
fair_update_positions (TALLOC_CTX *ctx, struct FairShare *fair, struct FairService *service)
{
  bool updated =
      fair_update_position (ctx, &fair->ready, service, &service->ready, &service->ready_node);

  return fair_update_position (ctx, &fair->unadmitted, service, &service->unadmitted,
                               &service->unadmitted_node)
         && updated;
}

bool
fair_share_add (TALLOC_CTX *ctx,
                struct FairShare *fair,
                struct FairService *service,
                struct HeapNode *node,
                bool ready)
{
  /* A service that was idle starts even: it cannot save up a claim to the whole server. */
  if (service->ready.n + service->unadmitted.n == 0
      && service->virtual_tokens < fair->virtual_tokens)
    service->virtual_tokens = fair->virtual_tokens;
  if (!policy_heap_put (ctx, ready ? &service->ready : &service->unadmitted, node))
    return false;
  return fair_update_positions (ctx, fair, service);
}

void
fair_share_remove (TALLOC_CTX *ctx,
                   struct FairShare *fair,
                   struct FairService *service,
                   struct HeapNode *node,
                   bool ready)
{
  policy_heap_remove (ready ? &service->ready : &service->unadmitted, node);
  fair_update_positions (ctx, fair, service);
}

void
fair_share_charge (TALLOC_CTX *ctx,
                   struct FairShare *fair,
                   struct FairService *service,
                   double tokens)
{
  uint32_t share = service->weights.share > 0 ? service->weights.share : 1;

  if (tokens > 0 && service->virtual_tokens > fair->virtual_tokens)
    fair->virtual_tokens = service->virtual_tokens;
  service->virtual_tokens += tokens / share;
  fair_update_positions (ctx, fair, service);
}
