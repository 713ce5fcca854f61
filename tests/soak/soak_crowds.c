#include "soak_crowds.h"

#include "crowd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MEMORY_MAX_KIB = 48 * 1024, /* of a gateway's machine */
  CLIENTS_MIN = 20,
  CLIENTS_DRAWN = 300,
  HOLD_DRAWN_MS = 1500,
  PAUSE_DRAWN_MS = 1000
};

struct SoakCrowds
{
  struct SoakLoad *load;
  pthread_t thread;
  _Atomic bool stopping;
  uint32_t draws;
  uint64_t peak_kib;
};

static uint32_t
draw (struct SoakCrowds *crowds, uint32_t n)
{
  crowds->draws = crowds->draws * 1664525 + 1013904223;
  return (crowds->draws >> 8) % n;
}

static struct CrowdPlan
draw_plan (struct SoakCrowds *crowds)
{
  static const char *const heads[] = {
    "POST /safe/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: w%u\r\n"
    "Transfer-Encoding: chunked\r\n\r\n",
    "POST /turns/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: w%u\r\nX-Program-Id: w%u\r\n"
    "X-Token-Count: 100,200\r\nTransfer-Encoding: chunked\r\n\r\n",
    "POST /once/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: w%u\r\n"
    "Content-Length: 900000\r\n\r\n",
    "GET /safe/1 HTTP/1.1\r\nHost: x.example\r\nX-A: ",
  };
  static const uint32_t chunks[] = { 3, 100, 4096, 64 * 1024 };
  struct CrowdPlan plan = {
    .name = "drawn",
    .n_clients = CLIENTS_MIN + draw (crowds, CLIENTS_DRAWN),
    .head = heads[draw (crowds, sizeof heads / sizeof heads[0])],
    .chunk_bytes = chunks[draw (crowds, sizeof chunks / sizeof chunks[0])],
    .returns = draw (crowds, 2) == 0,
  };

  plan.n_pieces = (1 + draw (crowds, 2 * 1024 * 1024)) / plan.chunk_bytes;
  return plan;
}

static void
check_memory (struct SoakCrowds *crowds)
{
  struct Fleet *fleet = crowds->load->fleet;

  for (uint32_t i = 0; i < fleet->n_gateways; i++)
    {
      const struct Process *process = fleet->gateways[i].process;
      uint64_t peak_kib = process->pid != 0 ? process_peak_memory_kib (process) : 0;

      if (peak_kib > crowds->peak_kib)
        crowds->peak_kib = peak_kib;
    }
}

static void *
crowds_run (void *data)
{
  struct SoakCrowds *crowds = data;
  struct Fleet *fleet = crowds->load->fleet;

  while (!crowds->stopping)
    {
      const struct CrowdPlan plan = draw_plan (crowds);
      const struct GatewayNode *gateway = &fleet->gateways[draw (crowds, fleet->n_gateways)];
      const char *address = draw (crowds, 8) == 0 ? gateway->directory : gateway->caller;
      struct Crowd *crowd = crowd_new (NULL, &plan, address_port (address));

      crowd_start (crowd);
      sleep_ms (1 + draw (crowds, HOLD_DRAWN_MS));
      check_memory (crowds);
      crowd_stop (crowd);
      talloc_free (crowd);
      sleep_ms (1 + draw (crowds, PAUSE_DRAWN_MS));
    }
  return NULL;
}

struct SoakCrowds *
soak_crowds_start (TALLOC_CTX *ctx, struct SoakLoad *load)
{
  struct SoakCrowds *crowds = talloc_zero (ctx, struct SoakCrowds);

  crowds->load = load;
  crowds->draws = (uint32_t)load->seed;
  if (pthread_create (&crowds->thread, NULL, crowds_run, crowds) != 0)
    abort ();
  return crowds;
}

void
soak_crowds_end (struct SoakCrowds *crowds)
{
  crowds->stopping = true;
  pthread_join (crowds->thread, NULL);
  check_memory (crowds);
  printf ("a gateway used at most %llu KiB\n", (unsigned long long)crowds->peak_kib);
  if (crowds->peak_kib > MEMORY_MAX_KIB)
    soak_violation (crowds->load, "a gateway used %llu KiB of %d",
                    (unsigned long long)crowds->peak_kib, MEMORY_MAX_KIB);
}
