#include <buckthornhead/json_items.h>

#include <string.h>

static bool
is_blank (char byte)
{
  return byte == ' ' || byte == '\t' || byte == '\r' || byte == '\n';
}

static void
items_skip_blanks (struct JsonItems *items)
{
  while (items->at < items->end && is_blank (*items->at))
    items->at++;
}

/* Skips the blanks and the byte after them if it is this one. */
static bool
items_accept (struct JsonItems *items, char byte)
{
  items_skip_blanks (items);
  if (items->at == items->end || *items->at != byte)
    return false;
  items->at++;
  return true;
}

/* Skips a string, at its first quotation mark. */
static void
items_skip_string (struct JsonItems *items)
{
  for (items->at++; items->at < items->end && *items->at != '"'; items->at++)
    if (*items->at == '\\' && items->at + 1 < items->end)
      items->at++;
  if (items->at < items->end)
    items->at++;
}

/* Skips an item, up to the comma or bracket after it. */
static void
items_skip_item (struct JsonItems *items)
{
  size_t depth = 0;

  while (items->at < items->end)
    {
      char byte = *items->at;

      if (depth == 0 && (byte == ',' || byte == ']'))
        return;
      if (byte == '"')
        {
          items_skip_string (items);
          continue;
        }
      if (byte == '[' || byte == '{')
        depth++;
      else if (depth > 0 && (byte == ']' || byte == '}'))
        depth--;
      items->at++;
    }
}

/* Returns whether the array ends here, and nothing follows it. */
static bool
items_end (struct JsonItems *items)
{
  if (!items_accept (items, ']'))
    return false;
  items_skip_blanks (items);
  items->ended = items->at == items->end;
  return true;
}

void
json_items_begin (struct JsonItems *items, const char *text, size_t n_bytes)
{
  *items = (struct JsonItems){ .at = text, .end = text + n_bytes };
}

bool
json_items_next (struct JsonItems *items, const char **item, size_t *n_bytes)
{
  bool is_first = !items->begun;

  items->begun = true;
  if (is_first ? !items_accept (items, '[') : items_end (items) || !items_accept (items, ','))
    return false;
  if (is_first && items_end (items))
    return false;
  items_skip_blanks (items);
  *item = items->at;
  items_skip_item (items);
  *n_bytes = (size_t)(items->at - *item);
  return *n_bytes > 0 && items->at < items->end;
}
