#include <buckthornhead/policy.h>

#include <math.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "policy_table.h"

enum
{
  /* With more servers than this, a sample is compared instead of all, so that a decision costs the
   * same with 20 servers and with 2,000. */
  PLACEMENT_SAMPLE_MAX = 12,
  /* Digests lag: the calls that this home sent recently are added to their counts, decaying with
   * this time constant. Otherwise all homes' calls of one digest period would be sent to the server
   * that looked best in it. */
  PLACEMENT_RECENT_DECAY_MS = 250,
  PLACEMENT_KEY_BYTES = PROGRAM_ID_MAX_BYTES + NAME_MAX_BYTES + 2,
  PERMILLE = 1000,
  US_PER_MS = 1000
};

/* Scores that differ by less than this fraction tie; a server in the same availability zone wins a
 * tie. */
static const double PLACEMENT_TIE_FRACTION = 0.02;
static const double PLACEMENT_TIE_MS = 2.0;
/* With the full cache weight a token to recompute counts this many times its cost in time. */
static const double PLACEMENT_RECOMPUTE_WEIGHT = 3.0;
static const double PLACEMENT_RECOMPUTE_CACHE_WEIGHT = 4.0;
/* How much each concurrent call slows down the others in a batch. */
static const double PLACEMENT_BATCH_SLOWDOWN = 0.03;
static const double PLACEMENT_PROGRAM_WEIGHT = 1.0;
static const double PLACEMENT_SIZE_GAIN = 0.01;
static const double PLACEMENT_HIT_GAIN = 0.05;

struct PlacedProgram;

/* Location of the prefix of one branch of a program. */
struct PlacedBranch
{
  struct TableNode by_key;
  char key[PLACEMENT_KEY_BYTES]; /* program, NUL, branch */
  char server[NAME_MAX_BYTES + 1];
  size_t server_index; /* index in the last list; verified by name */
  uint32_t context_tokens;
  struct PlacedBranch *next; /* of the same program */
};

struct PlacedProgram
{
  struct TableNode by_name;
  char name[PROGRAM_ID_MAX_BYTES + 1];
  struct PlacedBranch *branches;
};

/* This home's view of the server at one index of the list. */
struct PlacedServer
{
  char name[NAME_MAX_BYTES + 1];
  double recent; /* calls sent recently, decaying */
  int64_t recent_ms;
  double hit_rate; /* fraction of an expected prefix that was found cached */
};

struct Placement
{
  struct PolicyTable branches, programs;
  struct PlacedServer *servers; /* talloc array */
  size_t n_servers;
  size_t next_round_robin;
  double generated_tokens; /* learned mean number per call */
  uint64_t n_choices;
};

struct Placement *
placement_new (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, struct Placement);
}

static size_t
placement_key (char key[PLACEMENT_KEY_BYTES], const struct Call *call)
{
  size_t program_bytes = strnlen (call->key.program, PROGRAM_ID_MAX_BYTES);
  size_t branch_bytes = strnlen (call->key.branch, NAME_MAX_BYTES);

  memcpy (key, call->key.program, program_bytes);
  key[program_bytes] = '\0';
  memcpy (key + program_bytes + 1, call->key.branch, branch_bytes);
  return program_bytes + 1 + branch_bytes;
}

static struct PlacedBranch *
placement_find (const struct Placement *placement, const struct Call *call)
{
  char key[PLACEMENT_KEY_BYTES];
  size_t bytes = placement_key (key, call);
  struct TableNode *node = policy_table_find (&placement->branches, key, bytes);

  return node != NULL ? TABLE_ENTRY (node, struct PlacedBranch, by_key) : NULL;
}

static struct PlacedProgram *
placement_program (struct Placement *placement, const char *name)
{
  struct TableNode *node = policy_table_find (&placement->programs, name, strlen (name));
  struct PlacedProgram *program;

  if (node != NULL)
    return TABLE_ENTRY (node, struct PlacedProgram, by_name);
  program = talloc_zero (placement, struct PlacedProgram);
  if (program == NULL)
    return NULL;
  snprintf (program->name, sizeof program->name, "%s", name);
  if (policy_table_add (placement, &placement->programs, &program->by_name, program->name,
                        strlen (program->name)))
    return program;
  talloc_free (program);
  return NULL;
}

static struct PlacedBranch *
placement_branch (struct Placement *placement, const struct Call *call)
{
  struct PlacedBranch *branch = placement_find (placement, call);
  struct PlacedProgram *program;
  size_t bytes;

  if (branch != NULL)
    return branch;
  program = placement_program (placement, call->key.program);
  if (program == NULL)
    return NULL;
  branch = talloc_zero (program, struct PlacedBranch);
  if (branch == NULL)
    return NULL;
  bytes = placement_key (branch->key, call);
  if (!policy_table_add (placement, &placement->branches, &branch->by_key, branch->key, bytes))
    {
      talloc_free (branch);
      return NULL;
    }
  branch->next = program->branches;
  program->branches = branch;
  return branch;
}

/* Returns the local state of servers[i], reset if the list has changed. */
static struct PlacedServer *
placement_server (struct Placement *placement, const struct PolicyServer *server, size_t i)
{
  struct PlacedServer *local = &placement->servers[i];

  if (strcmp (local->name, server->name) == 0)
    return local;
  memset (local, 0, sizeof *local);
  memcpy (local->name, server->name, sizeof local->name);
  local->hit_rate = 1.0;
  return local;
}

static bool
placement_reserve (struct Placement *placement, size_t n)
{
  struct PlacedServer *servers;

  if (n <= placement->n_servers)
    return true;
  servers = talloc_realloc (placement, placement->servers, struct PlacedServer, n);
  if (servers == NULL)
    return false;
  memset (servers + placement->n_servers, 0, (n - placement->n_servers) * sizeof *servers);
  placement->servers = servers;
  placement->n_servers = n;
  return true;
}

/* Returns the index of the branch's last server, or -1 if it is unknown, removed or not usable. */
static int32_t
placement_last_server (struct PlacedBranch *branch, const struct PolicyServer *servers, size_t n)
{
  if (branch == NULL || branch->server[0] == '\0')
    return -1;
  if (branch->server_index >= n || strcmp (servers[branch->server_index].name, branch->server) != 0)
    {
      size_t i = 0;

      while (i < n && strcmp (servers[i].name, branch->server) != 0)
        i++;
      branch->server_index = i;
      if (i == n)
        return -1;
    }
  return servers[branch->server_index].usable ? (int32_t)branch->server_index : -1;
}

/* Returns the time of a mean call at server, computed from the server's pace and the mean size over
 * all servers: the sizes of the calls that it happens to run do not indicate its speed. */
static double
placement_service_ms (const struct Placement *placement, const struct PolicyServer *server)
{
  if (server->pace_us_per_token == 0 || placement->generated_tokens == 0)
    return server->service_ms_per_call;
  return placement->generated_tokens * server->pace_us_per_token / US_PER_MS;
}

static double
placement_recent_calls (const struct PlacedServer *local, int64_t now_ms)
{
  return local->recent * exp (-(double)(now_ms - local->recent_ms) / PLACEMENT_RECENT_DECAY_MS);
}

/* Returns the expected wait: the queue ahead times the learned pace. The owner's counts take
 * precedence; a report is used only if it shows more running calls. */
static double
placement_wait_ms (struct Placement *placement,
                   const struct PolicyServer *server,
                   size_t i,
                   bool is_last,
                   bool is_new,
                   int64_t now_ms)
{
  struct PlacedServer *local = placement_server (placement, server, i);
  double running =
      server->in_flight > server->reported_running ? server->in_flight : server->reported_running;
  double ahead = running + server->waiting + placement_recent_calls (local, now_ms);
  double service = placement_service_ms (placement, server);
  double limit = server->limit > 0 ? server->limit : 1;
  /* A program stays where it starts: the paused programs will send further calls. */
  double program_load = is_new ? server->programs * PLACEMENT_PROGRAM_WEIGHT : 0;
  /* Calls in one batch slow each other only a little; only those beyond the limit add their full
   * time. */
  double wait = (ahead + program_load) * PLACEMENT_BATCH_SLOWDOWN * service;
  uint32_t owner_wait = is_last ? server->wait_kept_ms : server->wait_new_ms;

  if (ahead > limit)
    wait += (ahead - limit) / limit * service;
  return wait > owner_wait ? wait : owner_wait;
}

/* Inputs of one decision. */
struct PlacementQuery
{
  const struct PolicyWeights *weights;
  const struct PolicyServer *servers;
  size_t n_servers;
  const struct Call *call;
  int64_t now_ms;
  int32_t last;           /* index of the last server, or -1 */
  uint32_t cached_tokens; /* prompt tokens that it should still have cached */
};

static double
placement_score (struct Placement *placement, const struct PlacementQuery *q, size_t i)
{
  const struct PolicyServer *server = &q->servers[i];
  bool is_last = (int32_t)i == q->last;
  uint32_t cached = is_last ? q->cached_tokens : 0;
  uint32_t uncached = q->call->prompt_tokens > cached ? q->call->prompt_tokens - cached : 0;
  double weight = (double)q->weights->cache_weight_permille / PERMILLE;
  double wait = placement_wait_ms (placement, server, i, is_last, q->last < 0, q->now_ms);
  double recompute = (double)uncached * server->prefill_us_per_token / US_PER_MS;

  switch (q->weights->rule)
    {
    case POLICY_ROUND_ROBIN:
    case POLICY_STICKY:
      return wait;
    case POLICY_LEAST_REPORTED:
      return server->reported_running;
    case POLICY_FIFO:
      return wait;
    case POLICY_ATTAINED:
      return wait + placement_service_ms (placement, server) + recompute;
    case POLICY_PROGRAM:
      break;
    }
  wait += placement_service_ms (placement, server);
  return wait * (1.0 - weight / 2)
         + recompute * (PLACEMENT_RECOMPUTE_WEIGHT + weight * PLACEMENT_RECOMPUTE_CACHE_WEIGHT);
}

static bool
placement_better (
    const struct PlacementQuery *q, size_t a, double score_a, size_t b, double score_b)
{
  double tie = score_b * PLACEMENT_TIE_FRACTION;

  if (tie < PLACEMENT_TIE_MS)
    tie = PLACEMENT_TIE_MS;
  if (q->servers[a].same_zone != q->servers[b].same_zone && fabs (score_a - score_b) <= tie)
    return q->servers[a].same_zone;
  return score_a < score_b;
}

struct PlacementBest
{
  int32_t index; /* -1: none yet */
  double score;
};

static void
placement_compare (struct Placement *placement,
                   const struct PlacementQuery *q,
                   size_t i,
                   struct PlacementBest *best)
{
  double score;

  if (!q->servers[i].usable)
    return;
  score = placement_score (placement, q, i);
  if (best->index < 0 || placement_better (q, i, score, (size_t)best->index, best->score))
    *best = (struct PlacementBest){ (int32_t)i, score };
}

static int32_t
placement_best_score (struct Placement *placement, const struct PlacementQuery *q)
{
  struct PlacementBest best = { -1, 0 };
  size_t n = q->n_servers;
  /* Spreads ties: each scan starts at another index. */
  size_t start = (size_t)(XXH64 (&placement->n_choices, sizeof placement->n_choices, 0) % n);

  placement->n_choices++;
  if (q->last >= 0)
    placement_compare (placement, q, (size_t)q->last, &best);
  for (size_t k = 0; k < n && (k < PLACEMENT_SAMPLE_MAX || best.index < 0); k++)
    {
      /* A stride coprime to n would have to be searched for; a hash does not. */
      uint64_t draw[2] = { placement->n_choices, k };
      size_t i = n <= PLACEMENT_SAMPLE_MAX  ? (start + k) % n
                 : k < PLACEMENT_SAMPLE_MAX ? (size_t)(XXH64 (draw, sizeof draw, 0) % n)
                                            : (start + k) % n;

      placement_compare (placement, q, i, &best);
    }
  if (best.index >= 0 || n <= PLACEMENT_SAMPLE_MAX)
    return best.index;
  for (size_t k = 0; k < PLACEMENT_SAMPLE_MAX; k++)
    placement_compare (placement, q, (start + k) % n, &best);
  return best.index;
}

static int32_t
placement_round_robin (struct Placement *placement, const struct PlacementQuery *q)
{
  for (size_t k = 0; k < q->n_servers; k++)
    {
      size_t i = placement->next_round_robin++ % q->n_servers;

      if (q->servers[i].usable)
        return (int32_t)i;
    }
  return -1;
}

static int32_t
placement_by_rule (struct Placement *placement, const struct PlacementQuery *q)
{
  switch (q->weights->rule)
    {
    case POLICY_ROUND_ROBIN:
      return placement_round_robin (placement, q);
    case POLICY_STICKY:
      return q->last >= 0 ? q->last : placement_round_robin (placement, q);
    case POLICY_LEAST_REPORTED:
    case POLICY_FIFO:
    case POLICY_ATTAINED:
    case POLICY_PROGRAM:
      break;
    }
  return placement_best_score (placement, q);
}

static void
placement_count_call (struct Placement *placement, const struct PlacementQuery *q, size_t i)
{
  struct PlacedServer *local = placement_server (placement, &q->servers[i], i);

  local->recent = placement_recent_calls (local, q->now_ms) + 1;
  local->recent_ms = q->now_ms;
}

int32_t
placement_choose (struct Placement *placement,
                  const struct PolicyWeights *weights,
                  const struct PolicyServer *servers,
                  size_t n_servers,
                  const struct Call *call,
                  int64_t now_ms,
                  struct Fault *fault)
{
  struct PlacedBranch *branch = placement_find (placement, call);
  struct PlacementQuery q = { weights, servers, n_servers, call, now_ms, -1, 0 };
  int32_t index = -1;

  if (!placement_reserve (placement, n_servers))
    {
      fault_set (fault, ERROR_NO_MEMORY, NULL, "out of memory while choosing a backend server");
      return -1;
    }
  q.last = placement_last_server (branch, servers, n_servers);
  if (q.last >= 0)
    {
      struct PlacedServer *local = placement_server (placement, &servers[q.last], (size_t)q.last);

      q.cached_tokens = (uint32_t)(branch->context_tokens * local->hit_rate);
    }
  if (n_servers > 0)
    index = placement_by_rule (placement, &q);
  if (index < 0)
    {
      fault_set (fault, ERROR_OVERLOADED, "retry in a few seconds",
                 "none of the %zu backend servers of %s is usable", n_servers, call->target);
      return -1;
    }
  placement_count_call (placement, &q, (size_t)index);
  return index;
}

static void
placement_learn_size (struct Placement *placement,
                      const struct Call *call,
                      const struct Outcome *outcome)
{
  double tokens;

  if (outcome->charge_tokens <= call->prompt_tokens)
    return;
  tokens = (double)(outcome->charge_tokens - call->prompt_tokens);
  if (placement->generated_tokens == 0)
    placement->generated_tokens = tokens;
  placement->generated_tokens += (tokens - placement->generated_tokens) * PLACEMENT_SIZE_GAIN;
}

/* Updates the fraction of expected prefixes that the server had cached. */
static void
placement_learn_hit (struct Placement *placement,
                     const struct PlacedBranch *branch,
                     const struct Outcome *outcome)
{
  struct PlacedServer *local;
  double hit_rate;

  if (branch->context_tokens == 0 || branch->server_index >= placement->n_servers)
    return;
  local = &placement->servers[branch->server_index];
  if (strcmp (local->name, branch->server) != 0)
    return;
  hit_rate = (double)outcome->cached_tokens / branch->context_tokens;
  local->hit_rate += ((hit_rate < 1.0 ? hit_rate : 1.0) - local->hit_rate) * PLACEMENT_HIT_GAIN;
}

void
placement_record_outcome (struct Placement *placement,
                          const struct Call *call,
                          const char *server,
                          const struct Outcome *outcome,
                          int64_t now_ms)
{
  struct PlacedBranch *branch;

  (void)now_ms;
  if (call->target_kind != CALL_TARGET_ENGINE)
    return;
  branch = placement_branch (placement, call);
  if (branch == NULL)
    return;
  if (outcome->error != ERROR_NONE)
    {
      /* The server may have lost its cache: there is no reason left to prefer it. */
      if (strcmp (branch->server, server) == 0)
        branch->context_tokens = 0;
      return;
    }
  placement_learn_size (placement, call, outcome);
  if (strcmp (branch->server, server) == 0)
    placement_learn_hit (placement, branch, outcome);
  else
    {
      memset (branch->server, 0, sizeof branch->server);
      snprintf (branch->server, sizeof branch->server, "%s", server);
      branch->server_index = SIZE_MAX;
    }
  branch->context_tokens = (uint32_t)outcome->charge_tokens;
}

void
placement_forget (struct Placement *placement, const char *program)
{
  struct TableNode *node = policy_table_find (&placement->programs, program, strlen (program));
  struct PlacedProgram *placed;

  if (node == NULL)
    return;
  placed = TABLE_ENTRY (node, struct PlacedProgram, by_name);
  for (struct PlacedBranch *b = placed->branches; b != NULL; b = b->next)
    policy_table_remove (&placement->branches, &b->by_key);
  policy_table_remove (&placement->programs, &placed->by_name);
  talloc_free (placed);
}

uint32_t
placement_cached_hint (const struct Placement *placement,
                       const struct Call *call,
                       const char *server)
{
  const struct PlacedBranch *branch = placement_find (placement, call);

  if (branch == NULL || strcmp (branch->server, server) != 0)
    return 0;
  return branch->context_tokens < call->prompt_tokens ? branch->context_tokens
                                                      : call->prompt_tokens;
}
