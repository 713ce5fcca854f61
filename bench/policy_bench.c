/* Command line of the policy experiments: prints one line for each seed, as text or as JSON. */
#include "policy_sim.h"

#include <getopt.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const rule_names[] = { "round_robin", "least_reported", "sticky",
                                          "fifo",        "attained",       "program" };

static const struct option long_options[] = { { "scenario", required_argument, NULL, 's' },
                                              { "rule", required_argument, NULL, 'r' },
                                              { "load", required_argument, NULL, 'l' },
                                              { "seed", required_argument, NULL, 'n' },
                                              { "cache-weight", required_argument, NULL, 'w' },
                                              { "ageing", required_argument, NULL, 'a' },
                                              { "pause-keep", required_argument, NULL, 'k' },
                                              { "cache-tokens", required_argument, NULL, 'c' },
                                              { "minutes", required_argument, NULL, 'm' },
                                              { "deadlines", required_argument, NULL, 'd' },
                                              { "reports", required_argument, NULL, 'e' },
                                              { "label", required_argument, NULL, 'b' },
                                              { "menu-cache-weight", required_argument, NULL, 'u' },
                                              { "digest-ms", required_argument, NULL, 'g' },
                                              { "json", no_argument, NULL, 'j' },
                                              { NULL, 0, NULL, 0 } };

static void
usage (void)
{
  fputs ("policy_bench --scenario NAME|FILE --rule RULE --load PERCENT --seed N[..M] [--json]\n"
         "  [--cache-weight PERMILLE] [--menu-cache-weight PERMILLE]\n "
         "  [--ageing MS] [--pause-keep MS] [--cache-tokens N]\n"
         "  [--minutes N] [--deadlines 0|1] [--reports 0|1] [--digest-ms N] [--label TEXT]\n"
         "scenarios: ample scarce ample-deadlines scarce-deadlines dawn night slow dead frozen "
         "poison\n"
         "rules: round_robin least_reported sticky fifo attained program\n",
         stderr);
  exit (2);
}

static enum PolicyRule
parse_rule (const char *name)
{
  for (size_t i = 0; i < sizeof rule_names / sizeof rule_names[0]; i++)
    if (strcmp (rule_names[i], name) == 0)
      return (enum PolicyRule)i;
  usage ();
  return POLICY_FIFO;
}

static void
print_percentiles (const char *name, const struct Percentiles *p)
{
  printf (",\"%s_mean\":%.1f,\"%s_p50\":%.1f,\"%s_p95\":%.1f,\"%s_p99\":%.1f,\"%s_max\":%.1f", name,
          p->mean, name, p->p50, name, p->p95, name, p->p99, name, p->most);
}

static void
print_json (const struct SimOptions *o, const char *label, const struct SimResult *r)
{
  printf ("{\"scenario\":\"%s\",\"rule\":\"%s\",\"load\":%.0f,\"seed\":%" PRIu64, o->scenario,
          label, o->load * 100, o->seed);
  printf (",\"programs\":%zu,\"done\":%zu,\"refused\":%zu,\"late\":%zu,\"failed\":%zu",
          r->n_programs, r->n_done, r->n_refused, r->n_late, r->n_failed);
  print_percentiles ("latency_ms", &r->latency_ms);
  print_percentiles ("short_ms", &r->short_ms);
  print_percentiles ("short_ideal_ms", &r->short_ideal_ms);
  print_percentiles ("slowdown", &r->slowdown);
  printf (",\"wasted\":%.4f,\"goodput_per_s\":%.4f,\"in_time\":%.4f,\"refused_calls\":%.0f",
          r->wasted, r->goodput_per_s, r->in_time, r->refused_calls);
  printf (",\"fairness\":%.4f,\"wait_ms_mean\":%.1f,\"wait_ms_max\":%.1f,\"utilisation\":%.3f",
          r->fairness, r->wait_mean_ms, r->wait_max_ms, r->utilisation);
  printf (",\"limit\":%.1f,\"quarantined\":%.0f", r->limit, r->quarantined);
  printf (",\"taken\":%.0f,\"lapsed\":%.0f,\"live_tokens\":%.0f,\"budget_tokens\":%.0f", r->taken,
          r->lapsed, r->live_tokens, r->budget_tokens);
  printf (",\"active\":%.1f,\"useful\":%.3f}\n", r->active, r->useful);
}

static void
print_text (const struct SimOptions *o, const char *label, const struct SimResult *r)
{
  printf ("%-10s %-16s load %3.0f seed %2" PRIu64 "  mean %7.1f s p50 %6.1f p95 %7.1f p99 %7.1f  "
          "wasted %.3f  short p95 %6.2f  in time %.3f  done %zu/%zu refused %zu late %zu failed %zu"
          "  fair %.2f wait max %.0f s util %.2f limit %.0f\n",
          o->scenario, label, o->load * 100, o->seed, r->latency_ms.mean / 1000,
          r->latency_ms.p50 / 1000, r->latency_ms.p95 / 1000, r->latency_ms.p99 / 1000, r->wasted,
          r->short_ms.p95 / 1000, r->in_time, r->n_done, r->n_programs, r->n_refused, r->n_late,
          r->n_failed, r->fairness, r->wait_max_ms / 1000, r->utilisation, r->limit);
}

static void
parse_seeds (const char *text, uint64_t *first, uint64_t *last)
{
  char *end;

  *first = *last = strtoull (text, &end, 10);
  if (strncmp (end, "..", 2) == 0)
    *last = strtoull (end + 2, &end, 10);
  if (*end != '\0' || *last < *first)
    usage ();
}

int
main (int argc, char **argv)
{
  struct SimOptions options;
  uint64_t first = 1, last = 1;
  const char *label = NULL;
  uint32_t menu_cache_weight = UINT32_MAX;
  bool json = false;
  int c;

  if (!sim_scenario (&options, "scarce"))
    return 2;
  /* --scenario must come first: it overwrites the values of all other options. */
  while ((c = getopt_long (argc, argv, "", long_options, NULL)) != -1)
    switch (c)
      {
      case 's':
        if (!sim_scenario (&options, optarg) && sim_scenario_load (&options, optarg) != 0)
          usage ();
        break;
      case 'r':
        options.weights.rule = parse_rule (optarg);
        break;
      case 'l':
        options.load = strtod (optarg, NULL) / 100;
        break;
      case 'n':
        parse_seeds (optarg, &first, &last);
        break;
      case 'w':
        options.weights.cache_weight_permille = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'u':
        menu_cache_weight = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'a':
        options.weights.ageing_ms = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'k':
        options.weights.pause_keep_ms = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'c':
        options.engine.cache_tokens = strtoull (optarg, NULL, 10);
        break;
      case 'm':
        options.duration_ms = strtod (optarg, NULL) * 60000;
        break;
      case 'd':
        options.deadlines = optarg[0] == '1';
        break;
      case 'e':
        options.reports = optarg[0] == '1';
        break;
      case 'g':
        options.digest_ms = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'b':
        label = optarg;
        break;
      case 'j':
        json = true;
        break;
      default:
        usage ();
      }
  if (menu_cache_weight == UINT32_MAX)
    menu_cache_weight = options.weights.cache_weight_permille;
  options.menu_weights = options.weights;
  options.menu_weights.cache_weight_permille = menu_cache_weight;
  if (label == NULL)
    label = rule_names[options.weights.rule];
  for (options.seed = first; options.seed <= last; options.seed++)
    {
      struct SimResult result;

      sim_run (&options, &result);
      (json ? print_json : print_text) (&options, label, &result);
      fflush (stdout);
    }
  return 0;
}
