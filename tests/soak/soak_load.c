#include "soak_load.h"

#include "soak_client.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CALLERS_MAX = 16,
  EVENTS = 4,       /* of a whole turn, as the stand-ins stream it */
  MAX_TOKENS = 200, /* of one turn, as its caller declares */
  TURNS_MAX = 5,
  TRIES_MAX = 12,
  TIMEOUT_MS = 3000,
  PAUSE_MS = 30,
  HISTORY_MAX = 32 * 1024,
  RECOVERY_LIMIT_MS = 60000
};

const char soak_customers[] =
    "[{\"name\":\"c0\",\"api_keys\":[\"soak-key-0\"]},{\"name\":\"c1\",\"api_keys\":[\"soak-key-"
    "1\"]},"
    "{\"name\":\"c2\",\"api_keys\":[\"soak-key-2\"],\"rate_per_s\":12,\"burst\":12}]";

struct Caller
{
  struct SoakLoad *load;
  uint32_t number;
  uint32_t customer;
  uint64_t random;
  uint64_t n_ids;
  struct ClientLink links[GATEWAYS_MAX];
  struct ClientReply reply;
  pthread_t thread;
};

static struct Caller callers[CALLERS_MAX];
static uint32_t n_started;

/* A program as its caller knows it. */
struct SoakProgram
{
  char id[32];
  char last[48]; /* turn that was answered whole; "" for none */
  char history[HISTORY_MAX];
  uint32_t budget; /* 0: none */
  uint32_t handed; /* tokens, at least */
  uint32_t most;   /* tokens that all attempts may have taken */
};

void
soak_violation (struct SoakLoad *load, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  printf ("VIOLATION ");
  vprintf (format, arguments);
  printf ("\n");
  fflush (stdout);
  va_end (arguments);
  atomic_fetch_add (&load->counts.n_violations, 1);
}

static uint32_t
caller_random (struct Caller *caller, uint32_t below)
{
  caller->random = caller->random * 6364136223846793005ULL + 1442695040888963407ULL;
  return (uint32_t)(caller->random >> 33) % below;
}

static void
load_remember (struct SoakLoad *load, char ***ids, size_t *n, const char *id)
{
  pthread_mutex_lock (&load->lock);
  *ids = realloc (*ids, (*n + 1) * sizeof **ids);
  (*ids)[(*n)++] = strdup (id);
  pthread_mutex_unlock (&load->lock);
}

static void
caller_next_id (struct Caller *caller, char id[48])
{
  snprintf (id, 48, "%llx-%u-%llu", (unsigned long long)caller->load->seed, caller->number,
            (unsigned long long)caller->n_ids++);
}

static uint32_t
count_of (const char *text, const char *part)
{
  uint32_t n = 0;

  for (const char *at = strstr (text, part); at != NULL; at = strstr (at + 1, part))
    n++;
  return n;
}

/* Sends through any gateway; true when the answer is a promise that the request never runs. */
static bool
caller_send (
    struct Caller *caller, const char *path, const char *id, const char *headers, const char *body)
{
  struct SoakLoad *load = caller->load;
  struct ClientLink *link = &caller->links[caller_random (caller, load->fleet->n_gateways)];
  struct ClientReply *reply = &caller->reply;
  char all[1024];

  snprintf (all, sizeof all,
            "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer soak-key-%u\r\n"
            "X-Tenant: forged\r\n%s",
            id, TIMEOUT_MS, caller->customer, headers);
  client_send (link, path, all, body, TIMEOUT_MS, reply);
  if (reply->status == 503 || reply->status == 429 || reply->status == 402)
    {
      load_remember (load, &load->not_run, &load->n_not_run, id);
      atomic_fetch_add (&load->counts.n_refused, 1);
      return true;
    }
  if (!reply->whole && reply->sent)
    atomic_fetch_add (&load->counts.n_unknown, 1);
  return false;
}

/* What ran, ran in its customer's name, and its server saw no key. */
static void
check_customer (struct Caller *caller, const char *id)
{
  struct SoakLoad *load = caller->load;
  struct Installation *installation = load->fleet->installation;
  TALLOC_CTX *ctx = talloc_new (NULL);
  char name[8];

  snprintf (name, sizeof name, "c%u", caller->customer);
  if (installation_runs_of (installation, id) > 0
      && (strcmp (installation_header_of (installation, ctx, id, "X-Tenant"), name) != 0
          || strcmp (installation_header_of (installation, ctx, id, "Authorization"), "") != 0))
    soak_violation (load, "%s: the server was not told that it is %s's, or saw a key", id, name);
  talloc_free (ctx);
}

/* Another customer names the program's last turn as its own: for it there is none. */
static void
check_stranger (struct Caller *caller, const struct SoakProgram *program)
{
  uint32_t customer = caller->customer;
  char id[48], headers[256];

  if (program->last[0] == '\0')
    return;
  caller_next_id (caller, id);
  snprintf (headers, sizeof headers, "X-Token-Count: 100,200\r\nX-Previous-Turn: %s\r\n",
            program->last);
  caller->customer = (customer + 1) % SOAK_CUSTOMERS;
  caller_send (caller, "/turns/1", id, headers, "stranger");
  caller->customer = customer;
  if (caller->reply.status == 200
      || installation_runs_of (caller->load->fleet->installation, id) > 0)
    soak_violation (caller->load, "%s: another customer went on from %s", id, program->last);
}

/* A whole turn: the engine got the conversation in order, and the caller the engine's words. */
static void
check_turn (struct Caller *caller, struct SoakProgram *program, const char *id, const char *input)
{
  struct SoakLoad *load = caller->load;
  char *ran = installation_body_of (load->fleet->installation, NULL, id);
  char wanted[512] = "";
  size_t n = 0;

  for (int i = 1; i <= EVENTS; i++)
    n += (size_t)snprintf (wanted + n, sizeof wanted - n, "id: %d\ndata: %s-%d\n\n", i, id, i);
  if (strcmp (caller->reply.text, wanted) != 0)
    soak_violation (load, "turn %s: its stream is not the engine's", id);
  if (ran == NULL || strncmp (ran, program->history, strlen (program->history)) != 0
      || strcmp (ran + strlen (program->history), input) != 0)
    soak_violation (load, "turn %s of %s: the engine did not get its history", id, program->id);
  talloc_free (ran);
  check_customer (caller, id);
  n = strlen (program->history);
  n += (size_t)snprintf (program->history + n, HISTORY_MAX - n, "%s", input);
  for (int i = 1; i <= EVENTS; i++)
    n += (size_t)snprintf (program->history + n, HISTORY_MAX - n, "%s-%d\n", id, i);
  snprintf (program->last, sizeof program->last, "%s", id);
  atomic_fetch_add (&load->counts.n_turns, 1);
}

static void
check_budget (struct Caller *caller, struct SoakProgram *program, const char *id)
{
  struct SoakLoad *load = caller->load;

  if (program->budget == 0)
    soak_violation (load, "turn %s: 402 without a budget", id);
  else if (program->most + MAX_TOKENS <= program->budget)
    soak_violation (load, "turn %s: 402, and at most %u of %u are spent", id, program->most,
                    program->budget);
}

/* One attempt at the program's next turn. False when the program is over. */
static bool
caller_try_turn (struct Caller *caller, struct SoakProgram *program, const char *input, bool *done)
{
  struct SoakLoad *load = caller->load;
  struct ClientReply *reply = &caller->reply;
  char id[48], headers[512];
  size_t n;

  caller_next_id (caller, id);
  n = (size_t)snprintf (headers, sizeof headers, "X-Program-Id: %s\r\nX-Token-Count: 100,%d\r\n",
                        program->id, MAX_TOKENS);
  if (program->last[0] != '\0')
    n += (size_t)snprintf (headers + n, sizeof headers - n, "X-Previous-Turn: %s\r\n",
                           program->last);
  if (program->budget > 0)
    snprintf (headers + n, sizeof headers - n, "X-Token-Budget: %u\r\n", program->budget);
  if (caller_send (caller, "/turns/1", id, headers, input))
    {
      if (reply->status != 402)
        return true;
      check_budget (caller, program, id);
      return false;
    }
  if (reply->status == 404 || reply->status == 410)
    {
      soak_violation (load, "turn %s: %u for the kept turn %s", id, reply->status, program->last);
      return false;
    }
  program->handed += count_of (reply->text, "data: ") * TOKENS_PER_EVENT;
  if (program->budget > 0 && program->handed > program->budget + MAX_TOKENS)
    soak_violation (load, "program %s: %u tokens of %u", program->id, program->handed,
                    program->budget);
  *done = reply->status == 200 && reply->whole;
  program->most += *done ? EVENTS * TOKENS_PER_EVENT : MAX_TOKENS;
  if (*done)
    check_turn (caller, program, id, input);
  return true;
}

static bool
caller_turn (struct Caller *caller, struct SoakProgram *program, uint32_t turn)
{
  char input[32];
  bool done = false;

  snprintf (input, sizeof input, "<in %u>", turn);
  for (uint32_t i = 0; i < TRIES_MAX && !done && !caller->load->ends; i++)
    {
      if (!caller_try_turn (caller, program, input, &done))
        return false;
      sleep_ms (PAUSE_MS + caller_random (caller, 3 * PAUSE_MS));
    }
  return done;
}

/* A call that may run once only. */
static void
caller_call (struct Caller *caller)
{
  struct SoakLoad *load = caller->load;
  char id[48], wanted[64];
  uint32_t n_runs;

  caller_next_id (caller, id);
  caller_send (caller, "/once/1", id, "", "call");
  n_runs = installation_runs_of (load->fleet->installation, id);
  check_customer (caller, id);
  if (n_runs > 1)
    soak_violation (load, "call %s ran %u times", id, n_runs);
  snprintf (wanted, sizeof wanted, "done %s", id);
  if (caller->reply.status == 200 && caller->reply.whole
      && strcmp (caller->reply.text, wanted) != 0)
    soak_violation (load, "call %s got another answer: %s", id, caller->reply.text);
  atomic_fetch_add (&load->counts.n_calls, 1);
}

static void
caller_program (struct Caller *caller)
{
  struct SoakLoad *load = caller->load;
  struct SoakProgram program = { .budget = caller_random (caller, 2) == 0 ? 0 : 450 };
  uint32_t n_turns = 1 + caller_random (caller, TURNS_MAX);

  snprintf (program.id, sizeof program.id, "p-%u-%llu", caller->number,
            (unsigned long long)caller->n_ids);
  for (uint32_t turn = 0; turn < n_turns && caller_turn (caller, &program, turn); turn++)
    caller_call (caller);
  if (caller_random (caller, 4) == 0)
    check_stranger (caller, &program);
  if (program.last[0] != '\0')
    load_remember (load, &load->kept, &load->n_kept, program.last);
  atomic_fetch_add (&load->counts.n_programs, 1);
}

static void *
caller_run (void *data)
{
  struct Caller *caller = data;

  while (!caller->load->ends)
    caller_program (caller);
  return NULL;
}

static void
caller_init (struct Caller *caller, struct SoakLoad *load, uint32_t number)
{
  memset (caller, 0, sizeof *caller);
  caller->load = load;
  caller->number = number;
  caller->customer = number % SOAK_CUSTOMERS;
  caller->random = load->seed * 1000 + number;
  for (uint32_t i = 0; i < load->fleet->n_gateways; i++)
    {
      const char *colon = strchr (load->fleet->gateways[i].caller, ':');

      caller->links[i] = (struct ClientLink){ (uint16_t)atoi (colon + 1), -1 };
    }
}

void
soak_load_start (struct SoakLoad *load, uint32_t n_callers)
{
  pthread_mutex_init (&load->lock, NULL);
  for (n_started = 0; n_started < n_callers; n_started++)
    {
      caller_init (&callers[n_started], load, n_started);
      pthread_create (&callers[n_started].thread, NULL, caller_run, &callers[n_started]);
    }
}

void
soak_load_end (struct SoakLoad *load)
{
  load->ends = true;
  for (uint32_t i = 0; i < n_started; i++)
    {
      pthread_join (callers[i].thread, NULL);
      for (uint32_t g = 0; g < load->fleet->n_gateways; g++)
        client_close (&callers[i].links[g]);
    }
}

/* The end. */

/* Tries a turn after last until it is served; the first answer that must not be is told. */
static void
check_goes_on (struct SoakLoad *load, struct Caller *caller, const char *last)
{
  int64_t limit_ms = monotonic_ms () + RECOVERY_LIMIT_MS;
  struct ClientReply *reply = &caller->reply;
  char id[48], headers[256] = "X-Token-Count: 100,200\r\n";

  /* The number of the caller stands in its ids. */
  caller->customer = (uint32_t)strtoul (strchr (last[0] != '\0' ? last : "-0", '-') + 1, NULL, 10)
                     % SOAK_CUSTOMERS;
  if (last[0] != '\0')
    snprintf (headers, sizeof headers, "X-Token-Count: 100,200\r\nX-Previous-Turn: %s\r\n", last);
  do
    {
      caller_next_id (caller, id);
      caller_send (caller, "/turns/1", id, headers, "again");
      if (reply->status == 200 && reply->whole)
        return;
      if (reply->status == 404 || reply->status == 410)
        break;
      sleep_ms (100);
    }
  while (monotonic_ms () < limit_ms);
  soak_violation (load, "after the faults: %u for a turn after %s", reply->status,
                  last[0] != '\0' ? last : "none");
}

void
soak_check_end (struct SoakLoad *load)
{
  struct Caller *caller = &callers[0];

  load->ends = false;
  caller_init (caller, load, 99);
  for (uint32_t i = 0; i < 2 * load->fleet->n_gateways; i++)
    check_goes_on (load, caller, "");
  for (size_t i = 0; i < load->n_kept; i++)
    check_goes_on (load, caller, load->kept[i]);
  for (size_t i = 0; i < load->n_not_run; i++)
    if (installation_runs_of (load->fleet->installation, load->not_run[i]) > 0)
      soak_violation (load, "%s was said not to run, and ran", load->not_run[i]);
  if (installation_fullest (load->fleet->installation, "c2", 5000) > SOAK_LIMIT_BOUND)
    soak_violation (load, "%u requests of c2 ran in five seconds, %d may",
                    installation_fullest (load->fleet->installation, "c2", 5000), SOAK_LIMIT_BOUND);
  for (uint32_t g = 0; g < load->fleet->n_gateways; g++)
    client_close (&caller->links[g]);
  for (size_t i = 0; i < load->n_kept; i++)
    free (load->kept[i]);
  for (size_t i = 0; i < load->n_not_run; i++)
    free (load->not_run[i]);
  free (load->kept);
  free (load->not_run);
}
