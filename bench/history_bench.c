/* Measures how a gateway reads a history, without archives' disks and network.
 *
 * history_bench [--text BYTES] [--queries N]
 *
 * Prints a JSON line for each length of a chain and each number of pairs of archives on which its
 * turns lie in turn: the queries, the bytes of texts that archives send, the share of the history
 * that the body lacks, and the microseconds of processor time to collect the turns and write the
 * body. --queries ends the reading after that many. */
#include <buckthornhead/turn_history.h>

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  TEXT_BYTES = 1000,
  N_ARCHIVES = 3,
  N_PAIRS = 3
};

struct Bench
{
  size_t n_turns, n_pairs, text_bytes;
  struct TurnText *texts; /* oldest first */
  size_t n_queries, sent_bytes;
};

static int64_t
now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

/* Pair p is the archives p and p + 1; turns lie on the pairs in turn. */
static bool
archive_has (const struct Bench *b, size_t archive, size_t turn)
{
  size_t pair = turn % b->n_pairs;

  return archive == pair || archive == (pair + 1) % N_ARCHIVES;
}

static void
bench_fill (TALLOC_CTX *ctx, struct Bench *b)
{
  uint8_t *bytes = talloc_zero_array (ctx, uint8_t, b->text_bytes);

  b->texts = talloc_zero_array (ctx, struct TurnText, b->n_turns);
  for (size_t i = 0; i < b->n_turns; i++)
    {
      struct TurnText *text = &b->texts[i];

      snprintf (text->turn, sizeof text->turn, "t%zu", i);
      if (i > 0)
        memcpy (text->previous, b->texts[i - 1].turn, sizeof text->previous);
      text->input = bytes;
      text->input_bytes = b->text_bytes;
    }
}

/* The archive sends the turns from missing back to the first that it lacks. */
static void
bench_query (struct Bench *b, struct TurnHistory *history, const char *archive, const char *missing)
{
  size_t number = (size_t)(archive[0] - '0'), last = strtoul (missing + 1, NULL, 10);
  size_t first = last + 1;

  b->n_queries++;
  while (first > 0 && archive_has (b, number, first - 1))
    first--;
  if (first > last)
    turn_history_note_lacking (history, archive);
  for (size_t i = last + 1; i > first; i--)
    {
      turn_history_add (history, &b->texts[i - 1], NULL, 1);
      b->sent_bytes += b->texts[i - 1].input_bytes;
    }
  turn_history_note_end (history, archive);
}

static void
bench_run (size_t n_turns, size_t n_pairs, size_t text_bytes, size_t queries_max)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Bench b = { .n_turns = n_turns, .n_pairs = n_pairs, .text_bytes = text_bytes };
  struct ArchiveCandidate candidates[N_ARCHIVES] = { 0 };
  struct TurnHistory *history;
  const char *missing, *reader;
  int64_t started_ns;
  size_t total_bytes = n_turns * text_bytes;
  uint8_t *body = talloc_array (ctx, uint8_t, total_bytes);

  for (size_t i = 0; i < N_ARCHIVES; i++)
    snprintf (candidates[i].name, sizeof candidates[i].name, "%zu", i);
  bench_fill (ctx, &b);
  started_ns = now_ns ();
  history = turn_history_new (ctx, b.texts[n_turns - 1].turn);
  while ((missing = turn_history_missing (history)) != NULL && b.n_queries < queries_max
         && (reader = turn_history_next_reader (history, candidates, N_ARCHIVES)) != NULL)
    bench_query (&b, history, reader, missing);
  turn_history_move (history, body + total_bytes);
  printf ("{\"turns\":%zu,\"pairs\":%zu,\"queries\":%zu,\"sent_bytes\":%zu,\"missing\":%.3f,"
          "\"us\":%.1f}\n",
          n_turns, n_pairs, b.n_queries, b.sent_bytes,
          1 - (double)turn_history_bytes (history) / (double)total_bytes,
          (double)(now_ns () - started_ns) / 1000);
  talloc_free (ctx);
}

int
main (int argc, char **argv)
{
  static const size_t lengths[] = { 10, 100, 1000 };
  struct arg_int *text = arg_int0 (NULL, "text", "BYTES", "length of a turn's text");
  struct arg_int *queries = arg_int0 (NULL, "queries", "N", "queries for one history at most");
  struct arg_end *end = arg_end (4);
  void *table[] = { text, queries, end };
  int status = EXIT_SUCCESS;

  text->ival[0] = TEXT_BYTES;
  queries->ival[0] = INT32_MAX;
  if (arg_parse (argc, argv, table) > 0 || text->ival[0] < 1 || queries->ival[0] < 1)
    {
      fprintf (stderr, "usage: history_bench [--text BYTES] [--queries N], both at least 1\n");
      status = EXIT_FAILURE;
      goto out;
    }
  for (size_t i = 0; i < sizeof lengths / sizeof lengths[0]; i++)
    for (size_t n_pairs = 1; n_pairs <= N_PAIRS; n_pairs++)
      bench_run (lengths[i], n_pairs, (size_t)text->ival[0], (size_t)queries->ival[0]);

out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
