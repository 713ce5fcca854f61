/* Golden files: a caller's whole view of a session, compared with tests/golden/NAME.json. */
#pragma once

#include <stdbool.h>

#include <jansson.h>

/* Replaces what differs from run to run: ids, instance and backend server names by "<kind n>" in
 * order of appearance, times by 0. Changes json in place. */
void
golden_normalise (json_t *json);

/* Normalises lines and compares them with the file. On a difference prints both and returns
 * false. With GOLDEN_UPDATE=1 in the environment it writes the file instead. */
bool
golden_matches (const char *name, json_t *lines);
