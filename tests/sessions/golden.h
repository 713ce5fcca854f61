/* Compares all replies that a caller gets in a session with tests/golden/NAME.json. */
#pragma once

#include <stdbool.h>

#include <jansson.h>

/* Replaces the values that differ between runs, in place: ids, instance and backend server names
 * by "<kind n>" in order of appearance, times by 0. */
void
golden_normalise (json_t *json);

/* Normalises lines and compares them with the file. Prints both and returns false if they differ.
 * With GOLDEN_UPDATE=1 in the environment, writes the file instead. */
bool
golden_matches (const char *name, json_t *lines);
