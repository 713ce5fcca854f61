/* Splits the text of a JSON array into the texts of its items, so that each can be parsed on its
 * own: an item that is nested too deeply, or has a number out of range, then does not make the
 * others unreadable. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

struct JsonItems
{
  const char *at, *end;
  bool begun, ended;
};

void
json_items_begin (struct JsonItems *items, const char *text, size_t n_bytes);

/* Sets *item to the next item's text and returns true. Returns false after the last one, with
 * .ended set if the text is an array up to its end. */
bool
json_items_next (struct JsonItems *items, const char **item, size_t *n_bytes);
