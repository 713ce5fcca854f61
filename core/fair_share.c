#include "fair_share.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Services this near to each other, in weighted tokens, count as even. */
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

/* Puts the service where its virtual time and its most urgent call belong. */
static bool
fair_place (TALLOC_CTX *ctx,
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
fair_place_both (TALLOC_CTX *ctx, struct FairShare *fair, struct FairService *service)
{
  bool placed = fair_place (ctx, &fair->ready, service, &service->ready, &service->ready_node);

  return fair_place (ctx, &fair->outside, service, &service->outside, &service->outside_node)
         && placed;
}

bool
fair_share_add (TALLOC_CTX *ctx,
                struct FairShare *fair,
                struct FairService *service,
                struct HeapNode *node,
                bool ready)
{
  /* A service that was idle starts even: it can not save up a claim to the whole server. */
  if (service->ready.n + service->outside.n == 0 && service->virtual_tokens < fair->virtual_tokens)
    service->virtual_tokens = fair->virtual_tokens;
  if (!policy_heap_put (ctx, ready ? &service->ready : &service->outside, node))
    return false;
  return fair_place_both (ctx, fair, service);
}

void
fair_share_remove (TALLOC_CTX *ctx,
                   struct FairShare *fair,
                   struct FairService *service,
                   struct HeapNode *node,
                   bool ready)
{
  policy_heap_remove (ready ? &service->ready : &service->outside, node);
  fair_place_both (ctx, fair, service);
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
  fair_place_both (ctx, fair, service);
}
