#include <buckthornhead/scheduling/session_places.h>

#include <buckthornhead/error.h>

#include <stdio.h>
#include <string.h>

enum
{
  /* Sessions tracked per program: its main session and the sub-agents that run or wait. Programs of
   * the deployments have about eight at once; one that loops starts them without bound. */
  PLACES_MAX = 32
};

static size_t
places_index (const struct SessionPlaces *places, uint64_t session)
{
  size_t i = 0;

  while (i < places->n && places->items[i].session != session)
    i++;
  return i;
}

static void
places_remove (struct SessionPlaces *places, size_t at)
{
  places->n--;
  memmove (places->items + at, places->items + at + 1, (places->n - at) * sizeof places->items[0]);
}

int32_t
session_places_record (TALLOC_CTX *ctx,
                       struct SessionPlaces *places,
                       uint64_t session,
                       uint32_t tokens,
                       const char *server)
{
  size_t at = places_index (places, session);
  struct SessionPlace *grown;

  if (session == 0 || server[0] == '\0')
    return ERROR_NONE;
  /* An older turn that ends late doesn't replace a newer one. */
  if (at < places->n && places->items[at].tokens > tokens)
    return ERROR_NONE;
  if (at < places->n)
    places_remove (places, at);
  if (places->n == PLACES_MAX)
    places_remove (places, 0);
  grown = talloc_realloc (ctx, places->items, struct SessionPlace, places->n + 1);
  if (grown == NULL)
    return ERROR_NO_MEMORY;
  places->items = grown;
  grown[places->n].session = session;
  grown[places->n].tokens = tokens;
  snprintf (grown[places->n].server, sizeof grown[places->n].server, "%s", server);
  places->n++;
  return ERROR_NONE;
}

struct SessionPlace
session_places_find (const struct SessionPlaces *places, const uint64_t sessions[TURN_SESSIONS_MAX])
{
  for (size_t i = 0; i < TURN_SESSIONS_MAX; i++)
    {
      size_t at = sessions[i] != 0 ? places_index (places, sessions[i]) : places->n;

      if (at < places->n)
        return places->items[at];
    }
  return (struct SessionPlace){ .session = 0 };
}

static size_t
place_rank (const struct SessionPlace *place, const uint64_t sessions[TURN_SESSIONS_MAX])
{
  size_t rank = 0;

  while (rank < TURN_SESSIONS_MAX && (place->session == 0 || place->session != sessions[rank]))
    rank++;
  return rank;
}

struct SessionPlace
session_place_merge (const struct SessionPlace *a,
                     const struct SessionPlace *b,
                     const uint64_t sessions[TURN_SESSIONS_MAX])
{
  size_t rank_a = place_rank (a, sessions), rank_b = place_rank (b, sessions);

  if (rank_a != rank_b)
    return rank_a < rank_b ? *a : *b;
  return a->tokens >= b->tokens ? *a : *b;
}
