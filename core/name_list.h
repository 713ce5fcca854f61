/* Small lists of names, such as incarnations, without order. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include <talloc.h>

bool
name_list_has (char *const *list, size_t n, const char *name);
/* Adds a copy; the list belongs to ctx. False when out of memory. */
bool
name_list_add (TALLOC_CTX *ctx, char ***list, size_t *n, const char *name);
void
name_list_remove (char **list, size_t *n, const char *name);
