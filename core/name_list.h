/* Small unordered lists of names, such as incarnations. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include <talloc.h>

bool
name_list_has (char *const *list, size_t n, const char *name);
/* Adds a copy; the list belongs to ctx. Returns false if out of memory. */
bool
name_list_add (TALLOC_CTX *ctx, char ***list, size_t *n, const char *name);
void
name_list_remove (char **list, size_t *n, const char *name);
