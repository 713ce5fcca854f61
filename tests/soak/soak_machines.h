/* The machines of a soak run's processes: draws what meets each start, starts processes again that
 * end by themselves, and measures their use of processors. */
#pragma once

#include "soak_load.h"

enum
{
  SOAK_NODES_MAX = GATEWAYS_MAX + ARCHIVES_MAX
};

struct SoakMachines;

/* Processes are numbered with the gateways first. Unless hostile, starts are undisturbed and ends
 * not followed. */
struct SoakMachines *
machines_new (TALLOC_CTX *ctx, struct SoakLoad *load, bool hostile);

struct Process *
machines_process (const struct SoakMachines *machines, uint32_t node);

/* Asks a process to end by a signal, and keeps it down until machines_start. */
void
machines_end (struct SoakMachines *machines, uint32_t node, int signal_number);

/* Kills all at once, and keeps them down. */
void
machines_kill_all (struct SoakMachines *machines);

/* Sends a signal to the running process after delay_ms, unless it has ended by then. */
void
machines_signal (struct SoakMachines *machines,
                 uint32_t node,
                 int signal_number,
                 uint32_t delay_ms);

/* Kills the process if it still runs, and starts it after delay_ms. */
void
machines_start (struct SoakMachines *machines, uint32_t node, uint32_t delay_ms);

/* To be called every few milliseconds. */
void
machines_step (struct SoakMachines *machines);

/* Returns the time from which no start is disturbed any more; INT64_MAX while a process is down. */
int64_t
machines_undisturbed_ms (const struct SoakMachines *machines);
