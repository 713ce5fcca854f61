#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/turn_history.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  N_ARCHIVES = 3,
  TEXT_BYTES = 8
};

static void
fill_candidates (struct ArchiveCandidate candidates[N_ARCHIVES])
{
  memset (candidates, 0, N_ARCHIVES * sizeof candidates[0]);
  for (uint32_t i = 0; i < N_ARCHIVES; i++)
    snprintf (candidates[i].name, sizeof candidates[i].name, "a%u", i);
}

static void
turn_name (char name[NAME_MAX_BYTES + 1], size_t i)
{
  snprintf (name, NAME_MAX_BYTES + 1, "t%zu", i);
}

/* Turn i of a chain; turn 0 is the first. The texts belong to ctx. */
static struct TurnText
turn_text (TALLOC_CTX *ctx, size_t i)
{
  struct TurnText text = { .server = "i-1" };
  char *bytes = talloc_asprintf (ctx, "%07zu.", i);

  turn_name (text.turn, i);
  if (i > 0)
    turn_name (text.previous, i - 1);
  text.input = (const uint8_t *)bytes;
  text.input_bytes = TEXT_BYTES;
  return text;
}

/* A chain of n turns, each stored by two of three archives. */
struct Stored
{
  size_t n;
  bool has[N_ARCHIVES][4096];
};

/* What an archive sends: the turns from missing back to the first that it lacks. */
static void
archive_respond (struct TurnHistory *history,
                 const struct Stored *stored,
                 uint32_t archive,
                 const char *missing)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  size_t at = (size_t)strtoul (missing + 1, NULL, 10);
  char name[8];

  snprintf (name, sizeof name, "a%u", archive);
  if (!stored->has[archive][at])
    turn_history_note_lacking (history, name);
  for (size_t i = at + 1; i > 0 && stored->has[archive][i - 1]; i--)
    {
      const struct TurnText text = turn_text (ctx, i - 1);

      CU_ASSERT_EQUAL (turn_history_add (history, &text, NULL, 1), ERROR_NONE);
    }
  turn_history_note_end (history, name);
  talloc_free (ctx);
}

/* Reads the chain as a gateway does; returns the number of queries. */
static uint32_t
read_chain (struct TurnHistory *history, const struct Stored *stored)
{
  struct ArchiveCandidate candidates[N_ARCHIVES];
  uint32_t n_queries = 0;
  const char *missing, *reader;

  fill_candidates (candidates);
  while ((missing = turn_history_missing (history)) != NULL
         && (reader = turn_history_next_reader (history, candidates, N_ARCHIVES)) != NULL)
    {
      n_queries++;
      archive_respond (history, stored, (uint32_t)(reader[1] - '0'), missing);
    }
  return n_queries;
}

/* Conversations ended after some dozens of turns, once these lay on changing pairs of archives:
 * a history was read in at most 12 queries. */
static void
test_a_chain_of_any_length_is_read (void)
{
  const size_t lengths[] = { 1, 10, 100, 1000, 4000 };

  for (size_t l = 0; l < sizeof lengths / sizeof lengths[0]; l++)
    for (uint64_t seed = 1; seed <= 20; seed++)
      {
        TALLOC_CTX *ctx = talloc_new (NULL);
        struct Stored *stored = talloc_zero (ctx, struct Stored);
        uint64_t draw = seed;
        char newest[NAME_MAX_BYTES + 1];
        struct TurnHistory *history;
        uint8_t *body = talloc_array (ctx, uint8_t, lengths[l] * TEXT_BYTES);

        stored->n = lengths[l];
        for (size_t i = 0; i < stored->n; i++)
          {
            draw = draw * 6364136223846793005ULL + 1442695040888963407ULL;
            for (uint32_t a = 0; a < N_ARCHIVES; a++)
              stored->has[a][i] = a != (draw >> 33) % N_ARCHIVES;
          }
        turn_name (newest, stored->n - 1);
        history = turn_history_new (ctx, newest);
        CU_ASSERT (read_chain (history, stored) <= 2 * stored->n);
        CU_ASSERT_PTR_NULL (turn_history_missing (history));
        CU_ASSERT_EQUAL_FATAL (turn_history_bytes (history), stored->n * TEXT_BYTES);
        turn_history_move (history, body + stored->n * TEXT_BYTES);
        for (size_t i = 0; i < stored->n; i++)
          CU_ASSERT_EQUAL (strtoul ((const char *)body + i * TEXT_BYTES, NULL, 10), i);
        talloc_free (ctx);
      }
}

/* A request waited for further queries although every archive had responded that it lacks the
 * turn. */
static void
test_a_turn_that_all_archives_lack_is_queried_once (void)
{
  struct TurnHistory *history = turn_history_new (NULL, "t5");
  struct Stored *stored = talloc_zero (history, struct Stored);

  stored->has[1][5] = true;
  CU_ASSERT_EQUAL (read_chain (history, stored), 2 + N_ARCHIVES);
  CU_ASSERT_STRING_EQUAL (turn_history_missing (history), "t4");
  CU_ASSERT_STRING_EQUAL (turn_history_newest (history)->turn, "t5");
  talloc_free (history);
}

/* An archive whose turns end at a gap was queried again before the others, for a turn that it had
 * just shown to lack. */
static void
test_the_other_archives_are_queried_after_a_gap (void)
{
  struct TurnHistory *history = turn_history_new (NULL, "t7");
  struct Stored *stored = talloc_zero (history, struct Stored);

  for (size_t i = 0; i < 8; i++)
    stored->has[i / 2 % 2][i] = true;
  CU_ASSERT_EQUAL (read_chain (history, stored), 5);
  CU_ASSERT_PTR_NULL (turn_history_missing (history));
  talloc_free (history);
}

/* An archive that stored the turn is suspended for a moment; the others lack it. */
static void
test_a_silent_archive_is_queried_again (void)
{
  struct TurnHistory *history = turn_history_new (NULL, "t0");
  struct ArchiveCandidate candidates[N_ARCHIVES];
  uint32_t n = 0;
  const char *reader;
  char *text;

  fill_candidates (candidates);
  while ((reader = turn_history_next_reader (history, candidates, N_ARCHIVES)) != NULL)
    {
      CU_ASSERT (n == 0 || n == 2 || strcmp (reader, "a1") == 0);
      if (strcmp (reader, "a1") != 0)
        turn_history_note_lacking (history, reader);
      n++;
    }
  CU_ASSERT_EQUAL (n, 6);
  text = turn_history_describe (history, history, candidates, N_ARCHIVES);
  CU_ASSERT_STRING_EQUAL (text, "turn t0 is missing after 6 queries, 0 turns read, a0 lacks it, "
                                "a1 is silent, a2 lacks it");
  talloc_free (history);
}

/* A turn whose record names itself as the previous one must not keep a gateway in a loop. */
static void
test_a_chain_without_a_start_stays_incomplete (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct TurnHistory *history = turn_history_new (ctx, "t1");
  struct TurnText texts[2] = { turn_text (ctx, 1), turn_text (ctx, 0) };

  snprintf (texts[1].previous, sizeof texts[1].previous, "t1");
  CU_ASSERT_EQUAL (turn_history_add (history, texts, NULL, 2), ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (turn_history_missing (history), "t1");
  CU_ASSERT_EQUAL (turn_history_bytes (history), 2 * TEXT_BYTES);
  talloc_free (ctx);
}

static void
test_a_first_turn_has_no_history (void)
{
  struct TurnHistory *history = turn_history_new (NULL, "");

  CU_ASSERT_PTR_NULL (turn_history_missing (history));
  CU_ASSERT_PTR_NULL (turn_history_newest (history));
  CU_ASSERT_EQUAL (turn_history_bytes (history), 0);
  talloc_free (history);
}

const char test_suite_name[] = "turn_history";
const struct TestCase test_cases[] = {
  { "a chain of any length is read", test_a_chain_of_any_length_is_read },
  { "a turn that all archives lack is queried once",
    test_a_turn_that_all_archives_lack_is_queried_once },
  { "the other archives are queried after a gap", test_the_other_archives_are_queried_after_a_gap },
  { "a silent archive is queried again", test_a_silent_archive_is_queried_again },
  { "a chain without a start stays incomplete", test_a_chain_without_a_start_stays_incomplete },
  { "a first turn has no history", test_a_first_turn_has_no_history },
  { NULL, NULL },
};
