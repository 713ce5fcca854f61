/* Outcomes of one simulation. */
#pragma once

#include "policy_sim.h"

struct SimStats;

struct SimStats *
sim_stats_new (TALLOC_CTX *ctx);
/* A program was done after latency_ms. */
void
sim_stats_program (struct SimStats *stats, const struct WorkProgram *work, double latency_ms);
/* A call waited in a queue. */
void
sim_stats_wait (struct SimStats *stats, double wait_ms);
/* A call whose branch had a prefix found that much of it cached. */
void
sim_stats_prefix (struct SimStats *stats, uint32_t prefix_tokens, uint32_t cached_tokens);
/* Fills in all but the counts that the simulation keeps itself. */
void
sim_stats_finish (struct SimStats *stats, struct SimResult *result);
