/* Uses up this process's descriptors, for tests of what happens without any. */
#pragma once

#include <stdint.h>

#include <tevent.h>

struct Descriptors;

/* Lowers the soft limit and opens descriptors until n_free are left. */
struct Descriptors *
descriptors_use_up (uint32_t n_free);
/* Closes them and restores the limit. */
void
descriptors_release (struct Descriptors *descriptors);

/* Runs events for ms; returns how often the loop waited for events. */
uint32_t
events_count_rounds (struct tevent_context *events, int64_t ms);
