#include "home_internal.h"

#include <buckthornhead/counter.h>

#include <stdio.h>
#include <string.h>

enum
{
  SWEEP_MS = 300,
  REQUEST_AGAIN_MS = 2500 /* a release without a response is requested again after this */
};

static void
release_key (char *key, size_t size, const char *program, const char *backend)
{
  snprintf (key, size, "%s/%s", program, backend);
}

static void
release_on_held_recorded (void *data, int32_t error)
{
  (void)data;
  (void)error; /* on failure another instance takes over and sends releases to all engines */
}

void
home_release_record_held (struct Home *home, const char *program, const char *backend)
{
  struct Record record = { .kind = RECORD_HELD };

  snprintf (record.released.program, sizeof record.released.program, "%s", program);
  snprintf (record.released.backend, sizeof record.released.backend, "%s", backend);
  home_write (home, &record, program, release_on_held_recorded, NULL);
}

static void
release_free (struct HomeRelease *release)
{
  HASH_DELETE (by_key, release->home->releases, release);
  talloc_free (release);
}

static void
release_on_recorded (void *data, int32_t error)
{
  struct HomeRelease *release = data;

  if (error == ERROR_NONE)
    counter_add (COUNTER_RELEASES, 1);
  release_free (release);
}

/* Journals that the server holds no memory of the program, so that no later home requests the
 * release again. */
static void
release_record (struct HomeRelease *release)
{
  struct Record record = { .kind = RECORD_RELEASED };

  release->recorded = true;
  snprintf (record.released.program, sizeof record.released.program, "%s", release->program);
  snprintf (record.released.backend, sizeof record.released.backend, "%s", release->backend);
  home_write (release->home, &record, release->program, release_on_recorded, release);
}

static struct HomeRelease *
release_get (struct Home *home, const char *program, const char *backend)
{
  struct HomeRelease *release;
  char key[sizeof release->key];

  release_key (key, sizeof key, program, backend);
  HASH_FIND (by_key, home->releases, key, strlen (key), release);
  if (release != NULL)
    return release;
  release = talloc_zero (home->incarnation_ctx, struct HomeRelease);
  if (release == NULL)
    return NULL;
  release->home = home;
  memcpy (release->key, key, sizeof key);
  snprintf (release->program, sizeof release->program, "%s", program);
  snprintf (release->backend, sizeof release->backend, "%s", backend);
  release->requested_ms = -REQUEST_AGAIN_MS;
  HASH_ADD (by_key, home->releases, key, strlen (release->key), release);
  return release;
}

/* Sends a release request to the owner of the server, at most once per REQUEST_AGAIN_MS. */
static void
release_request (struct HomeRelease *release)
{
  struct Home *home = release->home;
  struct Core *core = home->core;
  struct PeerMessage message = { .kind = PEER_RELEASE };
  const struct FleetBackend *backend = fleet_backend (core->fleet, release->backend);
  int64_t now_ms = timer_now_ms (core->timers);
  const char *owner;
  uint64_t link;

  if (release->acknowledged || now_ms - release->requested_ms < REQUEST_AGAIN_MS)
    return;
  if (backend == NULL || backend->setting.kind != CALL_TARGET_ENGINE)
    {
      /* The server was removed together with its memory, or its kind has no cache. */
      release->acknowledged = true;
      return;
    }
  owner = fleet_owner (core->fleet, backend);
  link = owner != NULL ? peer_net_link_to (core->net, owner) : PEER_LINK_NONE;
  if (link == PEER_LINK_NONE)
    return;
  release->requested_ms = now_ms;
  release->link = link;
  release->id = home->next_id++;
  message.release.id = release->id;
  snprintf (message.release.program, sizeof message.release.program, "%s", release->program);
  snprintf (message.release.backend, sizeof message.release.backend, "%s", release->backend);
  peer_net_send (core->net, link, &message);
}

/* Requests the release at every live engine, since each may hold memory of a program whose previous
 * home failed during a call. Returns true once all have acknowledged. */
static bool
release_request_all (struct Home *home, const char *program)
{
  const struct FleetBackend *backends;
  size_t n = fleet_backends (home->core->fleet, &backends);
  bool all = true;

  for (size_t i = 0; i < n; i++)
    {
      struct HomeRelease *release;

      if (backends[i].setting.kind != CALL_TARGET_ENGINE || !backends[i].live)
        continue;
      release = release_get (home, program, backends[i].setting.name);
      if (release == NULL || !release->acknowledged)
        all = false;
      if (release != NULL)
        release_request (release);
    }
  return all;
}

static void
release_on_held (void *data, const char *program, const char *backend)
{
  struct Home *home = data;
  struct HomeRelease *release = release_get (home, program, backend);

  if (release == NULL || release->recorded)
    return;
  if (strcmp (backend, LEDGER_ANY_BACKEND) == 0)
    release->acknowledged = release_request_all (home, program);
  else
    release_request (release);
  if (release->acknowledged)
    release_record (release);
}

static void
home_on_release_sweep (void *data)
{
  struct Home *home = data;

  ledger_each_unreleased_server (home->ledger, release_on_held, home);
}

void
home_release_start (struct Home *home)
{
  timer_subscribe (home->incarnation_ctx, home->core->timers, SWEEP_MS, SWEEP_MS,
                   home_on_release_sweep, home);
}

bool
home_release_on_response (struct Home *home, const struct PeerResponse *reply)
{
  struct HomeRelease *release, *next;

  HASH_ITER (by_key, home->releases, release, next)
  {
    if (release->id != reply->id || release->link == PEER_LINK_NONE)
      continue;
    release->link = PEER_LINK_NONE;
    release->acknowledged = reply->outcome.error == ERROR_NONE;
    return true;
  }
  return false;
}

void
home_release_on_link_closed (struct Home *home, uint64_t link)
{
  struct HomeRelease *release, *next;

  HASH_ITER (by_key, home->releases, release, next)
  if (release->link == link)
    {
      release->link = PEER_LINK_NONE;
      release->requested_ms = -REQUEST_AGAIN_MS;
    }
}
