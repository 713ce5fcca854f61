#include "test_main.h"

#include <buckthornhead/json_items.h>

#include <stdio.h>
#include <string.h>

/* Returns the items of text, each in angle brackets, then "." if the array ends well. */
static const char *
items_of (const char *text)
{
  static char out[256];
  struct JsonItems items;
  const char *item;
  size_t n_bytes, n = 0;

  out[0] = '\0';
  json_items_begin (&items, text, strlen (text));
  while (json_items_next (&items, &item, &n_bytes))
    n += (size_t)snprintf (out + n, sizeof out - n, "<%.*s>", (int)n_bytes, item);
  snprintf (out + n, sizeof out - n, "%s", items.ended ? "." : "");
  return out;
}

static void
test_items_are_split (void)
{
  CU_ASSERT_STRING_EQUAL (items_of ("[]"), ".");
  CU_ASSERT_STRING_EQUAL (items_of (" [ ] \n"), ".");
  CU_ASSERT_STRING_EQUAL (items_of ("[1]"), "<1>.");
  CU_ASSERT_STRING_EQUAL (items_of ("[{\"a\":[1,2]}, [3,[4]],5 ]"),
                          "<{\"a\":[1,2]}><[3,[4]]><5 >.");
  CU_ASSERT_STRING_EQUAL (items_of ("[\"a]\\\",\",{\"}\":1}]"), "<\"a]\\\",\"><{\"}\":1}>.");
}

static void
test_text_that_is_no_array_does_not_end (void)
{
  static const char *const texts[] = { "",    "{}",   "null", "[",     "[1", "[1,",  "[1,]",
                                       "[,]", "[1]x", "[[1]", "[\"a]", "]",  "[1 2", "[\"a\\" };

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    CU_ASSERT_PTR_NULL (strchr (items_of (texts[i]), '.'));
}

const char test_suite_name[] = "json_items";
const struct TestCase test_cases[] = {
  { "items are split", test_items_are_split },
  { "text that is no array does not end", test_text_that_is_no_array_does_not_end },
  { NULL, NULL },
};
