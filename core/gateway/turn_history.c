#include <buckthornhead/turn_history.h>

#include <buckthornhead/error.h>
#include <buckthornhead/held_memory.h>

#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum
{
  /* Rounds of queries for one missing turn to the archives that do not respond. */
  ROUNDS_MAX = 4
};

struct HistoryTurn
{
  struct TurnText text;
  struct TurnOrigin origin;
  bool has_origin;
  bool in_chain; /* between the newest turn and the missing one */
  UT_hash_handle hh;
};

struct TurnHistory
{
  struct HistoryTurn *turns;  /* by id */
  struct HistoryTurn **chain; /* newest first */
  size_t n_chain;
  const char *missing; /* "": none */
  size_t n_bytes;      /* of the chain's texts */
  /* About the missing turn. */
  struct ArchiveNames lacking; /* archives that responded without it */
  struct ArchiveNames queried; /* in the current round */
  uint32_t n_rounds;
  size_t n_queries; /* for all turns */
};

static int
history_free (struct TurnHistory *history)
{
  HASH_CLEAR (hh, history->turns);
  return 0;
}

struct TurnHistory *
turn_history_new (TALLOC_CTX *ctx, const char *newest)
{
  struct TurnHistory *history = talloc_zero (ctx, struct TurnHistory);

  if (history == NULL)
    return NULL;
  talloc_set_destructor (history, history_free);
  history->missing = talloc_strdup (history, newest);
  if (history->missing == NULL)
    TALLOC_FREE (history);
  return history;
}

static struct HistoryTurn *
history_find (const struct TurnHistory *history, const char *id)
{
  struct HistoryTurn *turn = NULL;

  HASH_FIND_STR (history->turns, id, turn);
  return turn;
}

/* Replaces *bytes with a copy that belongs to turn. Returns false without memory. */
static bool
history_copy_bytes (struct HistoryTurn *turn, const uint8_t **bytes, size_t n)
{
  uint8_t *copy;

  if (n == 0)
    return true;
  copy = held_memory_resize (turn, NULL, n);
  if (copy != NULL)
    memcpy (copy, *bytes, n);
  *bytes = copy;
  return copy != NULL;
}

static void
history_set_origin (struct HistoryTurn *turn, const struct TurnOrigin *origin)
{
  if (origin == NULL)
    return;
  turn->origin = *origin;
  turn->has_origin = true;
}

static int32_t
history_add_one (struct TurnHistory *history,
                 const struct TurnText *text,
                 const struct TurnOrigin *origin)
{
  struct HistoryTurn *turn = history_find (history, text->turn);

  if (turn != NULL)
    {
      history_set_origin (turn, origin);
      return ERROR_NONE;
    }
  turn = talloc_zero (history, struct HistoryTurn);
  if (turn == NULL)
    return ERROR_NO_MEMORY;
  turn->text = *text;
  if (!history_copy_bytes (turn, &turn->text.input, text->input_bytes)
      || !history_copy_bytes (turn, &turn->text.output, text->output_bytes))
    {
      talloc_free (turn);
      return ERROR_NO_MEMORY;
    }
  history_set_origin (turn, origin);
  HASH_ADD_STR (history->turns, text.turn, turn);
  return ERROR_NONE;
}

/* Appends the known turns from the missing one on to the chain. A turn that continues itself, which
 * only a corrupt record does, stays missing. */
static int32_t
history_advance (struct TurnHistory *history)
{
  struct HistoryTurn *turn;

  history->chain = talloc_realloc (history, history->chain, struct HistoryTurn *,
                                   HASH_COUNT (history->turns) + 1);
  if (history->chain == NULL)
    return ERROR_NO_MEMORY;
  while (history->missing[0] != '\0' && (turn = history_find (history, history->missing)) != NULL
         && !turn->in_chain)
    {
      turn->in_chain = true;
      history->chain[history->n_chain++] = turn;
      history->n_bytes += turn->text.input_bytes + turn->text.output_bytes;
      history->missing = turn->text.previous;
      history->lacking.n = 0;
      history->queried.n = 0;
      history->n_rounds = 0;
    }
  return ERROR_NONE;
}

int32_t
turn_history_add (struct TurnHistory *history,
                  const struct TurnText *turns,
                  const struct TurnOrigin *origins,
                  size_t n)
{
  int32_t error = ERROR_NONE;

  for (size_t i = 0; i < n && error == ERROR_NONE; i++)
    error = history_add_one (history, &turns[i], origins != NULL ? &origins[i] : NULL);
  return error == ERROR_NONE ? history_advance (history) : error;
}

const char *
turn_history_missing (const struct TurnHistory *history)
{
  return history->missing[0] != '\0' ? history->missing : NULL;
}

const struct TurnText *
turn_history_newest (const struct TurnHistory *history)
{
  return history->n_chain > 0 ? &history->chain[0]->text : NULL;
}

size_t
turn_history_bytes (const struct TurnHistory *history)
{
  return history->n_bytes;
}

/* Returns the start of the bytes once they are before end. */
static uint8_t *
history_move_bytes (const uint8_t **bytes, size_t n, uint8_t *end)
{
  uint8_t *start = end - n;

  if (n == 0)
    return end;
  memcpy (start, *bytes, n);
  talloc_free ((void *)*bytes);
  *bytes = start;
  return start;
}

void
turn_history_move (struct TurnHistory *history, uint8_t *end)
{
  for (size_t i = 0; i < history->n_chain; i++)
    {
      struct TurnText *text = &history->chain[i]->text;

      end = history_move_bytes (&text->output, text->output_bytes, end);
      end = history_move_bytes (&text->input, text->input_bytes, end);
    }
}

bool
turn_history_is_storable (const struct TurnHistory *history)
{
  for (size_t i = 0; i < history->n_chain; i++)
    if (!history->chain[i]->has_origin)
      return false;
  return turn_history_missing (history) == NULL;
}

size_t
turn_history_count (const struct TurnHistory *history)
{
  return history->n_chain;
}

void
turn_history_fill_close (const struct TurnHistory *history, size_t i, struct TurnClose *close)
{
  const struct HistoryTurn *turn = history->chain[history->n_chain - 1 - i];

  close->kept = true;
  snprintf (close->program, sizeof close->program, "%s", turn->origin.program);
  close->charge_tokens = turn->origin.charge_tokens;
  close->retention_ms = turn->origin.retention_ms;
  close->text = turn->text;
}

void
turn_history_note_lacking (struct TurnHistory *history, const char *archive)
{
  archive_names_add (&history->lacking, archive);
}

void
turn_history_note_end (struct TurnHistory *history, const char *archive)
{
  archive_names_add (&history->queried, archive);
}

static const char *
history_pick_reader (const struct TurnHistory *history,
                     const struct ArchiveCandidate *candidates,
                     size_t n)
{
  for (size_t i = 0; i < n; i++)
    if (!archive_names_have (&history->lacking, candidates[i].name)
        && !archive_names_have (&history->queried, candidates[i].name))
      return candidates[i].name;
  return NULL;
}

const char *
turn_history_next_reader (struct TurnHistory *history,
                          const struct ArchiveCandidate *candidates,
                          size_t n)
{
  const char *reader = history_pick_reader (history, candidates, n);

  if (reader == NULL && ++history->n_rounds < ROUNDS_MAX)
    {
      history->queried.n = 0;
      reader = history_pick_reader (history, candidates, n);
    }
  if (reader == NULL)
    return NULL;
  archive_names_add (&history->queried, reader);
  history->n_queries++;
  return reader;
}

char *
turn_history_describe (const struct TurnHistory *history,
                       TALLOC_CTX *ctx,
                       const struct ArchiveCandidate *candidates,
                       size_t n)
{
  char *text = talloc_asprintf (ctx, "turn %s is missing after %zu queries, %u turns read",
                                history->missing, history->n_queries, HASH_COUNT (history->turns));

  for (size_t i = 0; i < n && text != NULL; i++)
    text = talloc_asprintf_append (
        text, ", %s %s", candidates[i].name,
        archive_names_have (&history->lacking, candidates[i].name) ? "lacks it" : "is silent");
  return text;
}
