#include "name_list.h"

#include <string.h>

bool
name_list_has (char *const *list, size_t n, const char *name)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (list[i], name) == 0)
      return true;
  return false;
}

bool
name_list_add (TALLOC_CTX *ctx, char ***list, size_t *n, const char *name)
{
  char **grown = talloc_realloc (ctx, *list, char *, *n + 1);

  if (grown == NULL)
    return false;
  *list = grown;
  grown[*n] = talloc_strdup (grown, name);
  if (grown[*n] == NULL)
    return false;
  (*n)++;
  return true;
}

void
name_list_remove (char **list, size_t *n, const char *name)
{
  for (size_t i = 0; i < *n; i++)
    if (strcmp (list[i], name) == 0)
      {
        talloc_free (list[i]);
        list[i] = list[--*n];
        return;
      }
}
