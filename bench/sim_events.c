#include "sim_events.h"

struct EventEntry
{
  struct HeapNode node;
  struct SimEvent event;
};

void
event_heap_init (TALLOC_CTX *ctx, struct EventHeap *events)
{
  *events = (struct EventHeap){ .ctx = ctx };
}

void
event_heap_add (struct EventHeap *events, const struct SimEvent *event)
{
  struct EventEntry *entry = talloc_zero (events->ctx, struct EventEntry);

  entry->event = *event;
  entry->node.major = event->at_ms;
  entry->node.sequence = ++events->sequence;
  policy_heap_put (events->ctx, &events->heap, &entry->node);
}

const struct SimEvent *
event_heap_first (const struct EventHeap *events)
{
  struct HeapNode *node = policy_heap_first (&events->heap);

  return node != NULL ? &HEAP_ENTRY (node, struct EventEntry, node)->event : NULL;
}

void
event_heap_pop (struct EventHeap *events, struct SimEvent *event)
{
  struct EventEntry *entry =
      HEAP_ENTRY (policy_heap_first (&events->heap), struct EventEntry, node);

  *event = entry->event;
  policy_heap_remove (&events->heap, &entry->node);
  talloc_free (entry);
}
