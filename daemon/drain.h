/* Planned stop: removes this instance from the addresses that callers are given, hands its programs
 * over, keeps serving until no caller can still have its address cached, and only then stops. */
#pragma once

#include "core.h"

struct Drain;

struct Drain *
drain_new (struct Core *core);

/* Starts or ends a drain that an operator requested. Does nothing after drain_stop. */
void
drain_set_enabled (struct Drain *drain, bool on);
/* Starts a drain and calls stopped (data) once nothing is in progress here. */
void
drain_stop (struct Drain *drain, void (*stopped) (void *data), void *data);
