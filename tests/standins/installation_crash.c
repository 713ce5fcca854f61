#include "installation_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  DOWN_POLL_MS = 10
};

void
installation_set_crashing_path (struct Installation *in,
                                const char *path,
                                uint32_t down_ms,
                                bool silent)
{
  pthread_mutex_lock (&in->lock);
  snprintf (in->crashing_path, sizeof in->crashing_path, "%s", path);
  in->down_ms = down_ms;
  in->crashes_silently = silent;
  pthread_mutex_unlock (&in->lock);
}

uint32_t
installation_crashes (struct Installation *in)
{
  uint32_t n;

  pthread_mutex_lock (&in->lock);
  n = in->n_crashes;
  pthread_mutex_unlock (&in->lock);
  return n;
}

bool
installation_path_crashes (const struct Installation *in, const char *path)
{
  return in->crashing_path[0] != '\0' && strcmp (path, in->crashing_path) == 0;
}

static void
server_stay_down (struct Server *server)
{
  struct Installation *in = server->installation;
  uint32_t down_ms = 0;

  pthread_mutex_lock (&in->lock);
  for (; down_ms < in->down_ms && !in->ended; down_ms += DOWN_POLL_MS)
    {
      pthread_mutex_unlock (&in->lock);
      usleep (DOWN_POLL_MS * 1000);
      pthread_mutex_lock (&in->lock);
    }
  pthread_mutex_unlock (&in->lock);
}

/* Starts the next process of a crashed server, under a new id at the same address. */
static void
server_start_again (struct Server *server)
{
  struct Installation *in = server->installation;
  char key[64];

  pthread_mutex_lock (&in->lock);
  snprintf (key, sizeof key, "servers/%s", server->id);
  installation_store_put (in, key, NULL);
  snprintf (server->id, sizeof server->id, "i-%u-%u", server->port, in->n_crashes);
  server->sequence = 0;
  server->n_in_progress = 0;
  pthread_mutex_unlock (&in->lock);
  if (installation_server_start (server) != 0)
    abort ();
  pthread_mutex_lock (&in->lock);
  server_write_entry (server);
  server->crashing = false;
  pthread_mutex_unlock (&in->lock);
}

static void *
crash_run (void *data)
{
  struct Server *server = data;
  bool silent = server->installation->crashes_silently;

  if (silent)
    server_stay_down (server);
  pthread_mutex_lock (&server->installation->lock);
  server->is_silent = false;
  pthread_mutex_unlock (&server->installation->lock);
  MHD_stop_daemon (server->daemon);
  server->daemon = NULL;
  if (!silent)
    server_stay_down (server);
  server_start_again (server);
  return NULL;
}

bool
server_wait_while_silent (struct Server *server)
{
  struct Installation *in = server->installation;
  bool was_silent;

  pthread_mutex_lock (&in->lock);
  was_silent = server->is_silent;
  while (server->is_silent && !in->ended)
    {
      pthread_mutex_unlock (&in->lock);
      usleep (DOWN_POLL_MS * 1000);
      pthread_mutex_lock (&in->lock);
    }
  pthread_mutex_unlock (&in->lock);
  return was_silent;
}

void
server_crash (struct Server *server)
{
  if (server->crashing)
    return;
  if (server->crash_thread != 0)
    pthread_join (server->crash_thread, NULL);
  server->crashing = true;
  server->is_silent = server->installation->crashes_silently;
  server->installation->n_crashes++;
  if (pthread_create (&server->crash_thread, NULL, crash_run, server) != 0)
    abort ();
}

void
installation_join_crashes (struct Installation *in)
{
  for (uint32_t i = 0; i < in->n_servers; i++)
    if (in->servers[i].crash_thread != 0)
      pthread_join (in->servers[i].crash_thread, NULL);
}
