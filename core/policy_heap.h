/* Binary min-heap of nodes embedded in the structures that it orders: removing or reordering any
 * node takes O(log n). */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

/* Nodes are ordered by major, then minor, then sequence. */
struct HeapNode
{
  double major, minor;
  uint64_t sequence;
  size_t position; /* counted from 1; 0: in no heap */
};

struct PolicyHeap
{
  struct HeapNode **nodes; /* talloc array */
  size_t n, capacity;
};

/* Returns the structure that embeds a node. */
#define HEAP_ENTRY(node, type, member) ((type *)((char *)(node)-offsetof (type, member)))

bool
heap_node_before (const struct HeapNode *a, const struct HeapNode *b);

/* Adds node, or moves it after its key has changed. Returns false when out of memory. */
bool
policy_heap_put (TALLOC_CTX *ctx, struct PolicyHeap *heap, struct HeapNode *node);

/* Removes node; has no effect if it is in no heap. */
void
policy_heap_remove (struct PolicyHeap *heap, struct HeapNode *node);

/* Returns the first node, or NULL. */
static inline struct HeapNode *
policy_heap_first (const struct PolicyHeap *heap)
{
  return heap->n > 0 ? heap->nodes[0] : NULL;
}
