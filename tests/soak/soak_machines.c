#include "soak_machines.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum
{
  SIGNALS_MAX = 8,
  SIGNAL_WITHIN_MS = 60,
  HELD_MIN_MS = 200,
  HELD_MAX_MS = 2000,
  CUT_MIN_MS = 50,
  CUT_MAX_MS = 800,
  RESTART_MS = 1000,   /* from the end of a process until its supervisor starts it again */
  STOP_MAX_MS = 20000, /* of a planned stop; three times the grace in the settings */
  LOG_LINES = 4,
  SETTINGS_MAX = 2048,
  SAMPLE_MS = 500,
  N_SAMPLES = 7, /* so that the oldest is 3 s old */
  PROCESSOR_MAX_PERCENT = 60
};

enum Disturbance
{
  UNDISTURBED,
  RELOADED,       /* SIGHUP, several times */
  STOPPED,        /* SIGTERM, and started again after its end */
  ADDRESS_IN_USE, /* one of its ports is held for a moment */
  SETTINGS_EMPTY,
  SETTINGS_CUT, /* as while they are written */
  N_DISTURBANCES
};

static const char *const names[N_DISTURBANCES] = {
  "undisturbed", "reloads", "planned stop", "address in use", "empty settings", "cut settings",
};

struct PendingSignal
{
  int64_t at_ms;
  int number; /* 0: none */
};

struct ProcessorSample
{
  int64_t at_ms;
  pid_t pid;
  int64_t used_ms;
};

struct Machine
{
  uint32_t n_starts;
  bool runs;           /* started, and its end not seen yet */
  bool is_down;        /* kept down by an event */
  bool asked_to_end;   /* by SIGTERM or SIGKILL */
  int64_t start_ms;    /* next start; 0: none */
  int64_t end_by_ms;   /* of a planned stop; 0: none */
  int64_t release_ms;  /* of the held port */
  int64_t complete_ms; /* of the settings */
  int64_t undisturbed_ms;
  int held; /* socket on the held port; -1: none */
  char settings[SETTINGS_MAX];
  size_t n_written; /* bytes of them that are in the file */
  struct PendingSignal signals[SIGNALS_MAX];
  off_t log_start; /* length of the log before the process was started */
  struct ProcessorSample samples[N_SAMPLES];
  pid_t reported; /* process whose use of processors was reported */
};

struct SoakMachines
{
  struct SoakLoad *load;
  struct Fleet *fleet;
  bool hostile;
  uint32_t n_samples;
  int64_t sample_ms; /* of the next sample */
  struct Machine nodes[SOAK_NODES_MAX];
};

static uint32_t
n_nodes (const struct SoakMachines *machines)
{
  return machines->fleet->n_gateways + machines->fleet->n_archives;
}

struct Process *
machines_process (const struct SoakMachines *machines, uint32_t node)
{
  struct Fleet *fleet = machines->fleet;

  return node < fleet->n_gateways ? fleet->gateways[node].process
                                  : fleet->archives[node - fleet->n_gateways].process;
}

/* Draws by the process and the number of its start, so that the moments of ends change no draw. */
static uint32_t
draw (const struct SoakMachines *machines, uint32_t node, uint32_t part, uint32_t below)
{
  uint64_t state =
      machines->load->seed * 1000003 + node * 10007 + machines->nodes[node].n_starts * 101 + part;

  for (int i = 0; i < 3; i++)
    state = (state ^ (state >> 29)) * 6364136223846793005ULL + 1442695040888963407ULL;
  return (uint32_t)(state >> 33) % below;
}

static uint16_t
node_port (const struct SoakMachines *machines, uint32_t node, uint32_t number)
{
  const struct Fleet *fleet = machines->fleet;
  const struct ArchiveNode *archive;

  if (node < fleet->n_gateways)
    {
      const struct GatewayNode *gateway = &fleet->gateways[node];
      const char *const addresses[] = { gateway->caller, gateway->ready, gateway->directory,
                                        gateway->peer, gateway->metrics };

      return address_port (addresses[number % (sizeof addresses / sizeof addresses[0])]);
    }
  archive = &fleet->archives[node - fleet->n_gateways];
  return number % 2 == 0 ? archive->peer_port : address_port (archive->metrics);
}

static const char *
node_file (const struct SoakMachines *machines, uint32_t node)
{
  const struct Fleet *fleet = machines->fleet;

  return node < fleet->n_gateways ? fleet->gateways[node].file
                                  : fleet->archives[node - fleet->n_gateways].file;
}

/* Cuts the settings file after n bytes. */
static void
settings_cut (struct SoakMachines *machines, uint32_t node, bool empty)
{
  struct Machine *machine = &machines->nodes[node];
  FILE *file = fopen (node_file (machines, node), "r");
  const char *store;
  size_t n;

  if (file == NULL)
    abort ();
  n = fread (machine->settings, 1, sizeof machine->settings - 1, file);
  fclose (file);
  machine->settings[n] = '\0';
  /* What follows the store's address may be missing in a valid file. */
  store = strstr (machine->settings, "store = ");
  machine->n_written = empty ? 0 : draw (machines, node, 2, (uint32_t)(store - machine->settings));
  if (truncate (node_file (machines, node), (off_t)machine->n_written) != 0)
    abort ();
  machine->complete_ms =
      monotonic_ms () + CUT_MIN_MS + draw (machines, node, 3, CUT_MAX_MS - CUT_MIN_MS);
  machine->undisturbed_ms = machine->complete_ms;
}

static void
settings_complete (struct SoakMachines *machines, uint32_t node)
{
  struct Machine *machine = &machines->nodes[node];
  FILE *file;

  if (machine->complete_ms == 0)
    return;
  machine->complete_ms = 0;
  file = fopen (node_file (machines, node), "a");
  if (file == NULL)
    abort ();
  fputs (machine->settings + machine->n_written, file);
  fclose (file);
}

static void
port_release (struct Machine *machine)
{
  if (machine->held >= 0)
    close (machine->held);
  machine->held = -1;
}

static void
port_hold (struct SoakMachines *machines, uint32_t node)
{
  struct Machine *machine = &machines->nodes[node];

  machine->held = session_hold_port (node_port (machines, node, draw (machines, node, 2, 1000)));
  machine->release_ms =
      monotonic_ms () + HELD_MIN_MS + draw (machines, node, 3, HELD_MAX_MS - HELD_MIN_MS);
  machine->undisturbed_ms = machine->release_ms;
}

void
machines_signal (struct SoakMachines *machines, uint32_t node, int signal_number, uint32_t delay_ms)
{
  struct Machine *machine = &machines->nodes[node];

  for (size_t i = 0; i < SIGNALS_MAX; i++)
    if (machine->signals[i].number == 0)
      {
        machine->signals[i] = (struct PendingSignal){ monotonic_ms () + delay_ms, signal_number };
        return;
      }
}

static void
signals_send (struct SoakMachines *machines, uint32_t node, int64_t now_ms)
{
  struct Machine *machine = &machines->nodes[node];

  for (size_t i = 0; i < SIGNALS_MAX; i++)
    if (machine->signals[i].number != 0 && machine->signals[i].at_ms <= now_ms)
      {
        machine->asked_to_end |= machine->signals[i].number == SIGTERM;
        process_signal (machines_process (machines, node), machine->signals[i].number);
        machine->signals[i].number = 0;
      }
}

static void
disturb_with_signals (struct SoakMachines *machines, uint32_t node, bool stops)
{
  struct Machine *machine = &machines->nodes[node];
  uint32_t n = stops ? 1 : 1 + draw (machines, node, 2, SIGNALS_MAX);

  for (uint32_t i = 0; i < n; i++)
    machines_signal (machines, node, stops ? SIGTERM : SIGHUP,
                     draw (machines, node, 3 + i, SIGNAL_WITHIN_MS + 1));
  machine->undisturbed_ms = monotonic_ms () + SIGNAL_WITHIN_MS;
  if (stops)
    machine->end_by_ms = monotonic_ms () + STOP_MAX_MS;
}

static off_t
file_length (const char *path)
{
  struct stat status;

  return stat (path, &status) == 0 ? status.st_size : 0;
}

static void
node_spawn (struct SoakMachines *machines, uint32_t node)
{
  struct Fleet *fleet = machines->fleet;
  struct Machine *machine = &machines->nodes[node];

  machine->log_start = file_length (machines_process (machines, node)->output_file);
  machine->runs = true;
  machine->is_down = machine->asked_to_end = false;
  if (node < fleet->n_gateways)
    gateway_start (fleet, node);
  else
    archive_start_written (fleet, node - fleet->n_gateways);
}

static void
node_start (struct SoakMachines *machines, uint32_t node)
{
  struct Machine *machine = &machines->nodes[node];
  enum Disturbance disturbance;

  machine->n_starts++;
  disturbance = machines->hostile ? draw (machines, node, 1, N_DISTURBANCES) : UNDISTURBED;
  if (node >= machines->fleet->n_gateways)
    archive_write_settings (machines->fleet, node - machines->fleet->n_gateways, false);
  if (disturbance == ADDRESS_IN_USE)
    port_hold (machines, node);
  else if (disturbance == SETTINGS_EMPTY || disturbance == SETTINGS_CUT)
    settings_cut (machines, node, disturbance == SETTINGS_EMPTY);
  else
    machine->undisturbed_ms = monotonic_ms ();
  node_spawn (machines, node);
  if (disturbance == RELOADED || disturbance == STOPPED)
    disturb_with_signals (machines, node, disturbance == STOPPED);
  if (disturbance != UNDISTURBED)
    printf ("       %s starts: %s\n", machines_process (machines, node)->name, names[disturbance]);
}

/* Ends what met the last start. */
static void
node_clear (struct SoakMachines *machines, uint32_t node)
{
  struct Machine *machine = &machines->nodes[node];

  memset (machine->signals, 0, sizeof machine->signals);
  machine->end_by_ms = 0;
  port_release (machine);
  settings_complete (machines, node);
}

/* Returns what the last process of this machine has written. */
static char *
node_log (const struct SoakMachines *machines, TALLOC_CTX *ctx, uint32_t node)
{
  char *text = process_output (ctx, machines_process (machines, node));
  size_t start = (size_t)machines->nodes[node].log_start;

  return strlen (text) > start ? text + start : text + strlen (text);
}

static const char *
last_lines (const char *text)
{
  const char *at = text + strlen (text);

  for (uint32_t n = 0; at > text && n <= LOG_LINES; at--)
    n += at[-1] == '\n';
  return at > text ? at + 1 : at;
}

/* A process ended. Only SIGKILL, and a planned stop that leads to an exit, end it as asked. */
static void
node_ended (struct SoakMachines *machines, uint32_t node)
{
  struct Machine *machine = &machines->nodes[node];
  const struct Process *process = machines_process (machines, node);
  TALLOC_CTX *ctx = talloc_new (NULL);
  const char *log = node_log (machines, ctx, node);
  int status = process->exit_status;
  bool signalled = status == -SIGHUP || status == -SIGTERM;

  machine->runs = false;
  machine->end_by_ms = 0;
  if (!machine->is_down)
    machine->start_ms = monotonic_ms () + RESTART_MS;
  if (machine->asked_to_end && (status >= 0 || status == -SIGKILL))
    goto out;
  machines->load->n_ended++;
  if (signalled && strstr (log, "\"starting\"") == NULL)
    {
      printf ("       %s ended before its log began, by signal %d\n", process->name, -status);
      goto out;
    }
  soak_violation (machines->load, "%s: process ended by itself, status %d; its last lines:\n%s",
                  process->name, status, last_lines (log));

out:
  talloc_free (ctx);
}

static void
node_check_end (struct SoakMachines *machines, uint32_t node)
{
  if (machines->hostile && machines->nodes[node].runs
      && !process_is_running (machines_process (machines, node)))
    node_ended (machines, node);
}

void
machines_end (struct SoakMachines *machines, uint32_t node, int signal_number)
{
  struct Machine *machine = &machines->nodes[node];
  struct Process *process = machines_process (machines, node);

  node_check_end (machines, node);
  machine->is_down = machine->asked_to_end = true;
  machine->start_ms = 0;
  node_clear (machines, node);
  process_signal (process, signal_number);
  if (signal_number == SIGKILL)
    process_wait (process);
}

void
machines_kill_all (struct SoakMachines *machines)
{
  for (uint32_t node = 0; node < n_nodes (machines); node++)
    {
      node_check_end (machines, node);
      machines->nodes[node].asked_to_end = true;
      process_signal (machines_process (machines, node), SIGKILL);
    }
  for (uint32_t node = 0; node < n_nodes (machines); node++)
    machines_end (machines, node, SIGKILL);
}

void
machines_start (struct SoakMachines *machines, uint32_t node, uint32_t delay_ms)
{
  machines_end (machines, node, SIGKILL);
  machines->nodes[node].runs = false;
  machines->nodes[node].start_ms = monotonic_ms () + delay_ms;
  if (delay_ms > 0)
    return;
  machines->nodes[node].start_ms = 0;
  node_start (machines, node);
}

static void
node_step (struct SoakMachines *machines, uint32_t node, int64_t now_ms)
{
  struct Machine *machine = &machines->nodes[node];
  struct Process *process = machines_process (machines, node);

  signals_send (machines, node, now_ms);
  if (machine->held >= 0 && machine->release_ms <= now_ms)
    port_release (machine);
  if (machine->complete_ms <= now_ms)
    settings_complete (machines, node);
  node_check_end (machines, node);
  if (machine->runs && machine->end_by_ms != 0 && machine->end_by_ms <= now_ms)
    {
      soak_violation (machines->load, "%s: no end %d ms after SIGTERM", process->name, STOP_MAX_MS);
      process_kill (process);
    }
  if (machine->start_ms != 0 && machine->start_ms <= now_ms)
    {
      machine->start_ms = 0;
      node_clear (machines, node);
      node_start (machines, node);
    }
}

/* Takes a sample and compares it to the one of 3 s before. */
static void
node_sample (struct SoakMachines *machines, uint32_t node, int64_t now_ms)
{
  struct Machine *machine = &machines->nodes[node];
  const struct Process *process = machines_process (machines, node);
  struct ProcessorSample *sample = &machine->samples[machines->n_samples % N_SAMPLES];
  const struct ProcessorSample *old = &machine->samples[(machines->n_samples + 1) % N_SAMPLES];
  int64_t percent;

  *sample = (struct ProcessorSample){ now_ms, process->pid, process_cpu_ms (process) };
  if (process->pid == 0 || old->pid != process->pid || machine->reported == process->pid
      || sample->used_ms < old->used_ms)
    return;
  percent = (sample->used_ms - old->used_ms) * 100 / (now_ms - old->at_ms);
  machines->load->processor_percent =
      percent > machines->load->processor_percent ? percent : machines->load->processor_percent;
  if (percent <= PROCESSOR_MAX_PERCENT)
    return;
  machine->reported = process->pid;
  soak_violation (machines->load, "%s: %lld%% of a processor in 3 s", process->name,
                  (long long)percent);
}

void
machines_step (struct SoakMachines *machines)
{
  int64_t now_ms = monotonic_ms ();

  if (!machines->hostile)
    return;
  for (uint32_t node = 0; node < n_nodes (machines); node++)
    node_step (machines, node, now_ms);
  if (now_ms < machines->sample_ms)
    return;
  machines->sample_ms = now_ms + SAMPLE_MS;
  machines->n_samples++;
  for (uint32_t node = 0; node < n_nodes (machines); node++)
    node_sample (machines, node, now_ms);
}

int64_t
machines_undisturbed_ms (const struct SoakMachines *machines)
{
  int64_t last_ms = 0;

  for (uint32_t node = 0; node < n_nodes (machines); node++)
    {
      const struct Machine *machine = &machines->nodes[node];

      if (!machine->runs || machine->is_down || machine->end_by_ms != 0)
        return INT64_MAX;
      if (machine->undisturbed_ms > last_ms)
        last_ms = machine->undisturbed_ms;
    }
  return last_ms;
}

struct SoakMachines *
machines_new (TALLOC_CTX *ctx, struct SoakLoad *load, bool hostile)
{
  struct SoakMachines *machines = talloc_zero (ctx, struct SoakMachines);

  machines->load = load;
  machines->fleet = load->fleet;
  machines->hostile = hostile;
  for (uint32_t node = 0; node < n_nodes (machines); node++)
    {
      machines->nodes[node].held = -1;
      machines->nodes[node].runs = true;
    }
  return machines;
}
