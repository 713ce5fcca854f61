#include "journal_queue.h"

void
journal_queue_init (struct JournalQueue *queue)
{
  queue->first = NULL;
  queue->last = &queue->first;
  queue->n = 0;
}

void
journal_queue_push (struct JournalQueue *queue, struct JournalEntry *entry)
{
  entry->next = NULL;
  *queue->last = entry;
  queue->last = &entry->next;
  queue->n++;
}

struct JournalEntry *
journal_queue_pop (struct JournalQueue *queue)
{
  struct JournalEntry *entry = queue->first;

  if (entry == NULL)
    return NULL;
  queue->first = entry->next;
  queue->n--;
  if (queue->first == NULL)
    queue->last = &queue->first;
  return entry;
}

void
journal_queue_prepend (struct JournalQueue *queue, struct JournalQueue *front)
{
  if (front->first == NULL)
    return;
  *front->last = queue->first;
  if (queue->first == NULL)
    queue->last = front->last;
  queue->first = front->first;
  queue->n += front->n;
  journal_queue_init (front);
}

void
journal_queue_complete (struct JournalQueue *queue, int32_t error)
{
  struct JournalEntry *entry;

  while ((entry = journal_queue_pop (queue)) != NULL)
    {
      JournalDone done = entry->done;
      void *data = entry->data;

      talloc_free (entry);
      if (done != NULL)
        done (data, error);
    }
}
