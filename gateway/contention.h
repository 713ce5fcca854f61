/* The services whose capacity is contended: all, if the deployment's settings declare it, and those
 * with a server that reports how long work takes on its machine. Decisions in mode "auto" apply to
 * these alone. */
#pragma once

#include "front.h"

/* Returns NULL when out of memory. */
struct Contention *
contention_new (struct Front *front);

/* Records that a server of the service has reported its work time. */
void
contention_record_report (struct Contention *contention, const char *service);

/* Returns whether a decision in this mode (enum DecisionMode) is made for the service. */
bool
front_decision_is_active (const struct Front *front, int32_t mode, const char *service);
