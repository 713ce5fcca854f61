/* Statistics of one simulation. */
#pragma once

#include "policy_sim.h"

struct SimStats;

struct SimStats *
sim_stats_new (TALLOC_CTX *ctx);
/* Records a program that completed after latency_ms. */
void
sim_stats_add_program (struct SimStats *stats, const struct WorkProgram *work, double latency_ms);
/* Records the time that a call waited in a queue. */
void
sim_stats_add_wait (struct SimStats *stats, double wait_ms);
/* Records how much of a branch's prefix was cached when a call ran. */
void
sim_stats_add_prefix (struct SimStats *stats, uint32_t prefix_tokens, uint32_t cached_tokens);
/* Sets the fields of result that are computed from the recorded values. */
void
sim_stats_finish (struct SimStats *stats, struct SimResult *result);
