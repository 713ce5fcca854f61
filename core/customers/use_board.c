#include <buckthornhead/customers/use_board.h>

#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum
{
  REPORT_LIVE_MS = 1600 /* three reports of half a second are missing */
};

struct BoardRow
{
  char key[NAME_MAX_BYTES + 3]; /* scope and sender */
  int64_t reported_ms;
  struct UseReport report;
  UT_hash_handle hh;
};

struct UseBoard
{
  struct BoardRow *rows;
  int64_t received_ms;
};

static int
board_free (struct UseBoard *board)
{
  HASH_CLEAR (hh, board->rows);
  return 0;
}

struct UseBoard *
use_board_new (TALLOC_CTX *ctx)
{
  struct UseBoard *board = talloc_zero (ctx, struct UseBoard);

  if (board != NULL)
    talloc_set_destructor (board, board_free);
  return board;
}

static void
board_expire (struct UseBoard *board, int64_t now_ms)
{
  struct BoardRow *row, *next;

  HASH_ITER (hh, board->rows, row, next)
  {
    if (now_ms - row->reported_ms < REPORT_LIVE_MS)
      continue;
    HASH_DEL (board->rows, row);
    talloc_free (row);
  }
}

void
use_board_take (struct UseBoard *board,
                const char *sender,
                const struct UseReport *report,
                int64_t now_ms)
{
  char key[NAME_MAX_BYTES + 3];
  struct BoardRow *row = NULL;

  snprintf (key, sizeof key, "%d %s", (int)report->scope, sender);
  HASH_FIND_STR (board->rows, key, row);
  if (row == NULL)
    {
      row = talloc_zero (board, struct BoardRow);
      if (row == NULL)
        return;
      memcpy (row->key, key, sizeof key);
      HASH_ADD_STR (board->rows, key, row);
    }
  board->received_ms = now_ms;
  row->reported_ms = now_ms;
  talloc_free (row->report.uses);
  row->report = *report;
  row->report.uses = talloc_memdup (row, report->uses, report->n_uses * sizeof *report->uses);
  if (row->report.uses == NULL)
    row->report.n_uses = 0;
}

/* Sums. */

struct UseSumRow
{
  struct CustomerUse use;
  UT_hash_handle hh;
};

struct UseSum
{
  TALLOC_CTX *ctx;
  struct UseSumRow *rows;
};

static void
sum_add (struct UseSum *sum, const struct CustomerUse *uses, size_t n_uses)
{
  for (size_t i = 0; i < n_uses; i++)
    {
      struct UseSumRow *row = NULL;

      HASH_FIND_STR (sum->rows, uses[i].customer, row);
      if (row == NULL)
        {
          row = talloc_zero (sum->ctx, struct UseSumRow);
          if (row == NULL)
            return;
          memcpy (row->use.customer, uses[i].customer, sizeof row->use.customer);
          HASH_ADD_STR (sum->rows, use.customer, row);
        }
      row->use.taken += uses[i].taken;
      row->use.begun += uses[i].begun;
      row->use.wanted += uses[i].wanted;
    }
}

static struct CustomerUse *
sum_finish (struct UseSum *sum, TALLOC_CTX *ctx, size_t *n_uses)
{
  struct CustomerUse *uses = talloc_array (ctx, struct CustomerUse, HASH_COUNT (sum->rows));

  *n_uses = 0;
  for (struct UseSumRow *row = sum->rows; uses != NULL && row != NULL; row = row->hh.next)
    uses[(*n_uses)++] = row->use;
  HASH_CLEAR (hh, sum->rows);
  talloc_free (sum->ctx);
  return uses;
}

/* Another aggregator of the same zone has told later. */
static bool
zone_reported_later (const struct UseBoard *board, const struct BoardRow *row)
{
  for (const struct BoardRow *other = board->rows; other != NULL; other = other->hh.next)
    if (other != row && other->report.scope == USE_OF_ZONE
        && strcmp (other->report.zone, row->report.zone) == 0
        && (other->reported_ms > row->reported_ms
            || (other->reported_ms == row->reported_ms && strcmp (other->key, row->key) < 0)))
      return true;
  return false;
}

struct CustomerUse *
use_board_sum (struct UseBoard *board,
               TALLOC_CTX *ctx,
               enum UseScope scope,
               const struct CustomerUse *own,
               size_t n_own,
               int64_t now_ms,
               size_t *n_uses)
{
  struct UseSum sum = { .ctx = talloc_new (ctx) };

  board_expire (board, now_ms);
  sum_add (&sum, own, n_own);
  for (const struct BoardRow *row = board->rows; row != NULL; row = row->hh.next)
    switch (row->report.scope)
      {
      case USE_OF_GATEWAY:
        sum_add (&sum, row->report.uses, row->report.n_uses);
        break;
      case USE_OF_ZONE:
        if (scope == USE_OF_FLEET && !zone_reported_later (board, row))
          sum_add (&sum, row->report.uses, row->report.n_uses);
        break;
      case USE_OF_FLEET:
        break;
      }
  return sum_finish (&sum, ctx, n_uses);
}

const struct UseReport *
use_board_fleet (struct UseBoard *board, int64_t now_ms)
{
  const struct BoardRow *best = NULL;

  board_expire (board, now_ms);
  for (const struct BoardRow *row = board->rows; row != NULL; row = row->hh.next)
    if (row->report.scope == USE_OF_FLEET && (best == NULL || row->reported_ms > best->reported_ms))
      best = row;
  return best != NULL ? &best->report : NULL;
}

int64_t
use_board_received_ms (const struct UseBoard *board)
{
  return board->received_ms;
}
