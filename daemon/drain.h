/* Planned stop: leaves the callers' answers first, hands the programs over, goes on serving until
 * nobody can still hold this instance's address, and only then ends. */
#pragma once

#include "core.h"

struct Drain;

struct Drain *
drain_new (struct Core *core);

/* By the operators' order: drains, or serves again. */
void
drain_set (struct Drain *drain, bool on);
/* By a signal: drains, then calls stopped (data) once nothing is under way here. */
void
drain_stop (struct Drain *drain, void (*stopped) (void *data), void *data);
