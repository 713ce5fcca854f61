/* Queue of journal records that are not durable yet. */
#pragma once

#include <buckthornhead/journal.h>

struct JournalEntry
{
  struct JournalEntry *next;
  uint8_t *bytes;
  size_t n_bytes;
  bool unless_down;
  JournalDone done;
  void *data;
};

struct JournalQueue
{
  struct JournalEntry *first, **last;
  size_t n;
};

/* Makes queue empty without freeing any entries. */
void
journal_queue_init (struct JournalQueue *queue);
void
journal_queue_push (struct JournalQueue *queue, struct JournalEntry *entry);
/* Removes and returns the first entry, or returns NULL. */
struct JournalEntry *
journal_queue_pop (struct JournalQueue *queue);
/* Moves all entries of front to the head of queue. */
void
journal_queue_prepend (struct JournalQueue *queue, struct JournalQueue *front);
/* Removes and frees every entry in order and calls its done with error. */
void
journal_queue_complete (struct JournalQueue *queue, int32_t error);
