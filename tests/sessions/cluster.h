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
  uint32_t n_disks;                /* so many instances, the first ones, have a data folder */
  const char *model;               /* NULL: "negotiation"; every engine serves it */
  const char *tool;                /* NULL: "field-desk"; every tool serves it */
  const char *tokens_per_second;   /* NULL: "400" */
  const char *engine_cache_tokens; /* NULL: the stand-in's own */
  const char *lease;               /* NULL: "2s" */
};

struct ClusterNode
{
  struct Process *process;
  char name[32];
  char address[32];          /* callers' address; where backend servers and platform listen */
  char operator_address[32]; /* instances only */
  const char *file;          /* settings, instances only */
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

/* Starts all and waits until each instance answers callers. Ends the test when one does not. */
struct Cluster *
cluster_start (TALLOC_CTX *ctx, const struct ClusterOptions *options);
/* Keeps the processes' output when the test has failed. */
void
cluster_end (struct Cluster *cluster, bool failed);

/* Starts an instance, engine or tool (again) under its old name and address. */
bool
cluster_start_instance (struct Cluster *cluster, uint32_t i);
bool
cluster_start_engine (struct Cluster *cluster, uint32_t i);

/* "IP:port,IP:port..." of all instances, to be given to callers. */
const char *
cluster_entries (struct Cluster *cluster);
/* Index of the instance that is home of a program, by where callers are sent; -1 when unknown. */
int32_t
cluster_home (struct Cluster *cluster, const char *program);
/* Waits until the partitions, which instances hand to each other as they start, have stopped
 * moving. */
bool
cluster_wait_settled (struct Cluster *cluster);
/* Sum of GET /counts "runs" over the tools; calls in the engines' logs with this key prefix. */
uint64_t
cluster_tool_runs (struct Cluster *cluster);
uint64_t
cluster_engine_runs (struct Cluster *cluster, const char *program);
/* Tokens that engines hold for program. */
uint64_t
cluster_held_tokens (struct Cluster *cluster, const char *program);

/* Tells the platform's list that one engine is leaving and all other servers are live. */
bool
cluster_list_leaving (struct Cluster *cluster, uint32_t engine);
/* Calls that ran on one engine so far. */
size_t
engine_log_size (struct Cluster *cluster, uint32_t engine);

/* Starts the caller stand-in with a script (JSON text). */
struct Process *
cluster_run_caller (struct Cluster *cluster, const char *name, const char *script);
/* The lines that a caller printed, as a JSON array. */
json_t *
caller_lines (const struct Process *caller);
