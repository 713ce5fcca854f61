#include "gateways.h"

#include <ftw.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  N_ENGINES = 2,
  MAX_TOKENS = 200 /* output tokens of one turn */
};

static uint16_t
forwarded_port (struct Fleet *fleet, uint16_t port)
{
  return fleet->proxy_port != NULL ? fleet->proxy_port (fleet->proxy_data, port) : port;
}

/* Returns the settings section with the seed; "" if no seed is set. */
static const char *
membership_section (const struct Fleet *fleet)
{
  static char text[64];

  text[0] = '\0';
  if (fleet->seed_port != 0)
    snprintf (text, sizeof text, "[membership]\nseeds = 127.0.0.1:%u\n", fleet->seed_port);
  return text;
}

static void
gateway_write_settings (struct Fleet *fleet, uint32_t i)
{
  struct GatewayNode *gateway = &fleet->gateways[i];
  char name[40], text[1024];
  uint16_t peer_port;

  snprintf (gateway->name, sizeof gateway->name, "front-%u", i + 1);
  snprintf (gateway->caller, sizeof gateway->caller, "127.0.0.1:%u",
            session_allocate_port (fleet->session));
  snprintf (gateway->ready, sizeof gateway->ready, "127.0.0.1:%u",
            session_allocate_port (fleet->session));
  snprintf (gateway->directory, sizeof gateway->directory, "127.0.0.1:%u",
            session_allocate_port (fleet->session));
  peer_port =
      i == 0 && fleet->seed_port != 0 ? fleet->seed_port : session_allocate_port (fleet->session);
  snprintf (gateway->peer, sizeof gateway->peer, "127.0.0.1:%u", peer_port);
  gateway->announced_port = forwarded_port (fleet, peer_port);
  snprintf (gateway->metrics, sizeof gateway->metrics, "127.0.0.1:%u",
            session_allocate_port (fleet->session));
  snprintf (text, sizeof text,
            "[instance]\nname = %s\nzone = a\n[listen]\ncaller = %s\nready = %s\n"
            "directory = %s\npeer = %s\nannounce = 127.0.0.1:%u\nmetrics = %s\n[platform]\nstore = "
            "http://%s\n%s[stop]\ngrace = %s\n[quota]\nsharing = %s\n%s",
            gateway->name, gateway->caller, gateway->ready, gateway->directory, gateway->peer,
            gateway->announced_port, gateway->metrics, fleet->store, membership_section (fleet),
            fleet->grace != NULL ? fleet->grace : "6s",
            fleet->quota_sharing != NULL ? fleet->quota_sharing : "counts",
            fleet->gateway_settings != NULL ? fleet->gateway_settings : "");
  snprintf (name, sizeof name, "%s.ini", gateway->name);
  gateway->file = session_write_file (fleet->session, name, text);
}

void
archive_write_settings (struct Fleet *fleet, uint32_t i, bool first)
{
  struct ArchiveNode *archive = &fleet->archives[i];
  char name[40], text[1024];

  /* Long names, as in large deployments: an archive set's entry in the store becomes longer than
   * any address. */
  snprintf (archive->name, sizeof archive->name, "storage-of-a-large-zone-%u", i + 1);
  snprintf (archive->folder, sizeof archive->folder, "%s/data-%u", session_folder (fleet->session),
            i + 1);
  if (archive->peer_port == 0)
    {
      archive->peer_port = session_allocate_port (fleet->session);
      archive->announced_port = forwarded_port (fleet, archive->peer_port);
      snprintf (archive->metrics, sizeof archive->metrics, "127.0.0.1:%u",
                session_allocate_port (fleet->session));
    }
  snprintf (text, sizeof text,
            "[instance]\nname = %s\nzone = a\ndata_folder = %s\n[listen]\n"
            "peer = 127.0.0.1:%u\nannounce = 127.0.0.1:%u\nmetrics = %s\n[platform]\nstore = "
            "http://%s\n%s[archives]\nfirst_start = %s\n%s",
            archive->name, archive->folder, archive->peer_port, archive->announced_port,
            archive->metrics, fleet->store, membership_section (fleet), first ? "true" : "false",
            fleet->archive_settings != NULL ? fleet->archive_settings : "");
  snprintf (name, sizeof name, "%s.ini", archive->name);
  archive->file = session_write_file (fleet->session, name, text);
}

void
gateway_start (struct Fleet *fleet, uint32_t i)
{
  struct GatewayNode *gateway = &fleet->gateways[i];
  const char *const argv[] = { daemon_path (), "gateway", "--config", gateway->file, NULL };

  session_limit_descriptors (fleet->session, fleet->gateway_descriptors);
  gateway->process = session_start (fleet->session, gateway->name, argv);
  session_limit_descriptors (fleet->session, 0);
}

void
archive_start (struct Fleet *fleet, uint32_t i, bool first)
{
  archive_write_settings (fleet, i, first);
  archive_start_written (fleet, i);
}

void
archive_start_written (struct Fleet *fleet, uint32_t i)
{
  struct ArchiveNode *archive = &fleet->archives[i];
  const char *const argv[] = { daemon_path (), "gateway", "--config", archive->file, NULL };

  archive->process = session_start (fleet->session, archive->name, argv);
}

static int
remove_entry (const char *path, const struct stat *status, int kind, struct FTW *walk)
{
  (void)status;
  (void)kind;
  (void)walk;
  return remove (path);
}

void
archive_delete_data (struct Fleet *fleet, uint32_t i)
{
  nftw (fleet->archives[i].folder, remove_entry, 8, FTW_DEPTH | FTW_PHYS);
}

static bool
gateway_is_ready (void *data)
{
  const struct GatewayNode *gateway = data;
  struct HttpReply *reply = http_get (NULL, gateway->ready, "/-/ready");
  bool ready = reply->status == 200;

  talloc_free (reply);
  return ready;
}

bool
gateway_wait_ready (struct Fleet *fleet, uint32_t i)
{
  return wait_for (gateway_is_ready, &fleet->gateways[i]);
}

/* Aborts the process if a condition does not hold. Not a CUnit assertion, since the soak program
 * runs no test suite. */
static void
fleet_require (bool holds, const char *name)
{
  if (holds)
    return;
  fprintf (stderr, "the test deployment did not start: no %s\n", name);
  abort ();
}

struct Fleet *
fleet_new (TALLOC_CTX *ctx)
{
  struct Fleet *fleet = talloc_zero (ctx, struct Fleet);

  fleet->session = session_new (fleet);
  return fleet;
}

void
fleet_start_all (
    struct Fleet *fleet, uint32_t n_gateways, uint32_t n_archives, ProxyPortFn forward, void *data)
{
  uint16_t store_port = session_allocate_port (fleet->session);

  fleet->proxy_port = forward;
  fleet->proxy_data = data;
  snprintf (fleet->store, sizeof fleet->store, "127.0.0.1:%u", forwarded_port (fleet, store_port));
  fleet->installation = installation_new (fleet, store_port);
  for (uint32_t i = 0; i < N_ENGINES; i++)
    installation_add (fleet->installation, "engines", true, "a",
                      session_allocate_port (fleet->session));
  installation_add (fleet->installation, "desk", false, "a",
                    session_allocate_port (fleet->session));
  installation_configure (fleet->installation, 1, "");
  for (fleet->n_archives = 0; fleet->n_archives < n_archives; fleet->n_archives++)
    archive_start (fleet, fleet->n_archives, true);
  for (fleet->n_gateways = 0; fleet->n_gateways < n_gateways; fleet->n_gateways++)
    {
      gateway_write_settings (fleet, fleet->n_gateways);
      gateway_start (fleet, fleet->n_gateways);
    }
  for (uint32_t i = 0; i < n_archives; i++)
    fleet_require (process_wait_for_output (fleet->archives[i].process, "generation 3, 3 members"),
                   "first set of archives");
  for (uint32_t i = 0; i < n_gateways; i++)
    fleet_require (gateway_wait_ready (fleet, i), "ready gateway");
}

struct Fleet *
fleet_start (TALLOC_CTX *ctx, uint32_t n_gateways, uint32_t n_archives)
{
  struct Fleet *fleet = fleet_new (ctx);

  fleet_start_all (fleet, n_gateways, n_archives, NULL, NULL);
  return fleet;
}

void
fleet_end (struct Fleet *fleet, bool failed)
{
  session_end (fleet->session, failed);
  installation_end (fleet->installation);
  talloc_free (fleet);
}

void
fleet_list_server (struct Fleet *fleet, const char *service, uint16_t port, uint32_t n_slots)
{
  char key[64], text[320];

  snprintf (key, sizeof key, "servers/i-other-%u", port);
  snprintf (text, sizeof text,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"a\",\"version\":\"v1\","
            "\"slots\":%u,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1}",
            service, port, n_slots);
  installation_put (fleet->installation, key, text);
}

struct HttpReply *
turn_send (struct Fleet *fleet,
           TALLOC_CTX *ctx,
           uint32_t gateway,
           const char *program,
           const char *turn,
           const char *previous,
           uint32_t budget,
           const char *input)
{
  char id[96], of[96], after[96], tokens[64], limit[64];
  const char *headers[8] = { "Host: x.example", id, of, tokens, "X-Deadline-Ms: 6000" };
  size_t n = 5;

  snprintf (id, sizeof id, "X-Request-Id: %s", turn);
  snprintf (of, sizeof of, "X-Program-Id: %s", program);
  snprintf (tokens, sizeof tokens, "X-Token-Count: 100,%d", MAX_TOKENS);
  snprintf (after, sizeof after, "X-Previous-Turn: %s", previous);
  snprintf (limit, sizeof limit, "X-Token-Budget: %u", budget);
  if (previous[0] != '\0')
    headers[n++] = after;
  if (budget > 0)
    headers[n++] = limit;
  return http_send (ctx, "POST", fleet->gateways[gateway].caller,
                    fleet->turn_path != NULL ? fleet->turn_path : "/turns/1", headers, input);
}

struct HttpReply *
turn_send_until_accepted (struct Fleet *fleet,
                          TALLOC_CTX *ctx,
                          uint32_t gateway,
                          const char *program,
                          const char *turn,
                          const char *previous,
                          const char *input)
{
  int64_t deadline_ms = monotonic_ms () + WAIT_LIMIT_MS;
  struct HttpReply *reply;
  char after[64], id[64];

  /* A copy: previous may be fleet->last, which changes below. */
  snprintf (after, sizeof after, "%s", previous);
  for (uint32_t n = 0;; n++)
    {
      snprintf (id, sizeof id, n == 0 ? "%s" : "%s.%u", turn, n);
      reply = turn_send (fleet, ctx, gateway, program, id, after, 0, input);
      if ((reply->status != 503 && reply->status != 0) || monotonic_ms () > deadline_ms)
        {
          snprintf (fleet->last_turn_id, sizeof fleet->last_turn_id, "%s", id);
          return reply;
        }
      sleep_ms (100);
    }
}

struct HttpReply *
tool_send (
    struct Fleet *fleet, TALLOC_CTX *ctx, uint32_t gateway, const char *path, const char *request)
{
  char id[96];
  const char *headers[] = { "Host: x.example", id, "X-Deadline-Ms: 3000", NULL };

  snprintf (id, sizeof id, "X-Request-Id: %s", request);
  return http_send (ctx, "POST", fleet->gateways[gateway].caller, path, headers, "body");
}

bool
tool_is_served (void *data)
{
  static uint32_t n;
  char id[32];
  struct HttpReply *reply;
  bool served;

  snprintf (id, sizeof id, "later-%u", n++);
  reply = tool_send (data, NULL, 0, "/safe/1", id);
  served = reply->status == 200;
  talloc_free (reply);
  return served;
}

struct OutputWanted
{
  struct Process *process;
  const char *text;
};

static bool
output_has_text (void *data)
{
  const struct OutputWanted *wanted = data;
  char *output = process_output (NULL, wanted->process);
  bool has = output != NULL && strstr (output, wanted->text) != NULL;

  talloc_free (output);
  return has;
}

bool
process_wait_for_output (struct Process *process, const char *text)
{
  struct OutputWanted wanted = { process, text };

  return wait_for (output_has_text, &wanted);
}

struct FleetOutputWanted
{
  struct Fleet *fleet;
  const char *text;
};

static bool
fleet_output_has_text (void *data)
{
  const struct FleetOutputWanted *wanted = data;
  const struct Fleet *fleet = wanted->fleet;

  for (uint32_t i = 0; i < fleet->n_gateways; i++)
    if (process_count_output (fleet->gateways[i].process, wanted->text) > 0)
      return true;
  for (uint32_t i = 0; i < fleet->n_archives; i++)
    if (process_count_output (fleet->archives[i].process, wanted->text) > 0)
      return true;
  return false;
}

bool
fleet_wait_for_output (struct Fleet *fleet, const char *text)
{
  struct FleetOutputWanted wanted = { fleet, text };

  return wait_for (fleet_output_has_text, &wanted);
}

uint32_t
process_count_output (struct Process *process, const char *text)
{
  char *output = process_output (NULL, process);
  uint32_t n = 0;

  for (const char *match = strstr (output, text); match != NULL; match = strstr (match + 1, text))
    n++;
  talloc_free (output);
  return n;
}
