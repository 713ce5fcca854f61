/* Records of the journal that wait for their slot or for its answer. */
#pragma once

#include <buckthornhead/journal.h>

/* A record that waits. */
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

void
journal_queue_clear (struct JournalQueue *queue);
void
journal_queue_push (struct JournalQueue *queue, struct JournalEntry *entry);
/* The first entry, or NULL. */
struct JournalEntry *
journal_queue_pop (struct JournalQueue *queue);
/* Puts all of front before queue. */
void
journal_queue_prepend (struct JournalQueue *queue, struct JournalQueue *front);
/* Takes every entry out, in order, and tells it error. */
void
journal_queue_answer (struct JournalQueue *queue, int32_t error);
