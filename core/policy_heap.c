#include "policy_heap.h"

enum
{
  HEAP_INITIAL_CAPACITY = 16
};

bool
heap_node_before (const struct HeapNode *a, const struct HeapNode *b)
{
  if (a->major != b->major)
    return a->major < b->major;
  if (a->minor != b->minor)
    return a->minor < b->minor;
  return a->sequence < b->sequence;
}

static void
heap_set (struct PolicyHeap *heap, struct HeapNode *node, size_t i)
{
  heap->nodes[i] = node;
  node->position = i + 1;
}

static size_t
heap_sift_up (struct PolicyHeap *heap, size_t i)
{
  struct HeapNode *node = heap->nodes[i];

  while (i > 0 && heap_node_before (node, heap->nodes[(i - 1) / 2]))
    {
      heap_set (heap, heap->nodes[(i - 1) / 2], i);
      i = (i - 1) / 2;
    }
  heap_set (heap, node, i);
  return i;
}

static void
heap_sift_down (struct PolicyHeap *heap, size_t i)
{
  struct HeapNode *node = heap->nodes[i];

  for (;;)
    {
      size_t child = 2 * i + 1;

      if (child >= heap->n)
        break;
      if (child + 1 < heap->n && heap_node_before (heap->nodes[child + 1], heap->nodes[child]))
        child++;
      if (!heap_node_before (heap->nodes[child], node))
        break;
      heap_set (heap, heap->nodes[child], i);
      i = child;
    }
  heap_set (heap, node, i);
}

static bool
heap_reserve (TALLOC_CTX *ctx, struct PolicyHeap *heap)
{
  size_t capacity = heap->capacity == 0 ? HEAP_INITIAL_CAPACITY : heap->capacity * 2;
  struct HeapNode **nodes;

  if (heap->n < heap->capacity)
    return true;
  nodes = talloc_realloc (ctx, heap->nodes, struct HeapNode *, capacity);
  if (nodes == NULL)
    return false;
  heap->nodes = nodes;
  heap->capacity = capacity;
  return true;
}

bool
policy_heap_put (TALLOC_CTX *ctx, struct PolicyHeap *heap, struct HeapNode *node)
{
  size_t i;

  if (node->position == 0)
    {
      if (!heap_reserve (ctx, heap))
        return false;
      heap_set (heap, node, heap->n++);
    }
  i = heap_sift_up (heap, node->position - 1);
  heap_sift_down (heap, i);
  return true;
}

void
policy_heap_remove (struct PolicyHeap *heap, struct HeapNode *node)
{
  size_t i = node->position;
  struct HeapNode *last;

  if (i == 0)
    return;
  node->position = 0;
  last = heap->nodes[--heap->n];
  if (last == node)
    return;
  heap_set (heap, last, i - 1);
  i = heap_sift_up (heap, i - 1);
  heap_sift_down (heap, i);
}
