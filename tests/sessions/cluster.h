/* A small deployment under test: platform, backend servers and instances, each a process. */
#pragma once

#include "harness.h"

enum
{
  CLUSTER_MAX = 9
};

struct ClusterOptions
{
  uint32_t n_instances, n_engines, n_tools;
  uint32_t instance_descriptors; /* limit of each instance; 0: the test's */
  uint32_t n_data_folders;       /* number of instances, from the first, that have a data folder */
  const char *model;             /* NULL: "negotiation"; every engine serves it */
  const char *tool;              /* NULL: "field-desk"; every tool serves it */
  const char *tokens_per_second; /* NULL: "400" */
  const char *engine_cache_tokens; /* NULL: the stand-in's default */
  const char *lease;               /* NULL: "2s" */
  const char *limits;              /* keys of the instances' [limits]; NULL: none */
};

struct ClusterNode
{
  struct Process *process;
  char name[32];
  char address[32]; /* where callers connect; listen address of backend servers and platform */
  char operator_address[32]; /* instances only */
  const char *file;          /* settings file, instances only */
};

struct Cluster
{
  struct Session *session;
  struct ClusterOptions options;
  struct ClusterNode platform;
  struct ClusterNode instances[CLUSTER_MAX];
  struct ClusterNode engines[CLUSTER_MAX];
  struct ClusterNode tools[CLUSTER_MAX];
};

/* Starts all processes and waits until each instance responds to callers. Fails the test if one
 * does not. */
struct Cluster *
cluster_start (TALLOC_CTX *ctx, const struct ClusterOptions *options);
/* Stops all processes; keeps their output if the test failed. */
void
cluster_stop (struct Cluster *cluster, bool failed);

/* Starts or restarts an instance or engine under its configured name and address. */
bool
cluster_start_instance (struct Cluster *cluster, uint32_t i);
bool
cluster_start_engine (struct Cluster *cluster, uint32_t i);

/* Returns "IP:port,IP:port..." of all instances, for callers. */
const char *
cluster_instance_addresses (struct Cluster *cluster);
/* Returns the index of the instance that is home of a program, taken from the addresses that
 * callers get; -1 when unknown. */
int32_t
cluster_home (struct Cluster *cluster, const char *program);
/* Waits until the instances have stopped handing over partitions, as they do after a start. */
bool
cluster_wait_partitions_stable (struct Cluster *cluster);
/* Returns the sum of "runs" in GET /counts over all tools. */
uint64_t
cluster_tool_runs (struct Cluster *cluster);
/* Returns the number of calls of program in the logs of all engines. */
uint64_t
cluster_engine_runs (struct Cluster *cluster, const char *program);
/* Returns the number of tokens that all engines hold in memory for program. */
uint64_t
cluster_held_tokens (struct Cluster *cluster, const char *program);

/* Sets the platform's list of backend servers: one engine is leaving, all others are live. */
bool
cluster_set_engine_leaving (struct Cluster *cluster, uint32_t engine);
/* Returns the number of calls that one engine has logged. */
size_t
engine_log_size (struct Cluster *cluster, uint32_t engine);

/* Starts the caller stand-in with a script (JSON text). */
struct Process *
cluster_run_caller (struct Cluster *cluster, const char *name, const char *script);
/* Returns the JSON lines that a caller has printed, as an array. */
json_t *
caller_lines (const struct Process *caller);
