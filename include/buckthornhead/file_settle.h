/* Finds out whether another program may still be writing a file that is being read: it has the file
 * open for writing, the file is missing or has changed meanwhile, or its last line is not
 * terminated. */
#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <sys/stat.h>

/* Zeroed before the first call. */
struct FileSettle
{
  struct stat seen; /* zeroed: the file is missing, or cannot be opened for now */
  int64_t seen_ms;  /* since when the file has been as in seen; 0: not seen */
};

/* Called before the file is read. */
void
file_settle_begin (struct FileSettle *settle, const char *file);

/* Called after the file was read. Returns true if no other program was writing it; one that is old
 * needs no newline at its end. Needs SIGIO ignored (process_signals_block). */
bool
file_settle_is_whole (struct FileSettle *settle, const char *file);

/* Returns true if the file has been seen as it is, or missing, only for the last seconds, so that
 * what is wrong with it may still be completed. Independent of the wall clock, which may step. */
bool
file_settle_is_recent (const struct FileSettle *settle);
