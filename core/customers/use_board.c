#include <buckthornhead/customers/use_board.h>

#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum
{
  REPORT_VALID_MS = 1600 /* three reports, sent every 500 ms, are missing */
};

struct ReportRow
{
  char key[NAME_MAX_BYTES + 3]; /* scope and sender */
  int64_t reported_ms;
  struct UsageReport report;
  UT_hash_handle hh;
};

struct UsageTable
{
  uint32_t window_ms;
  struct ReportRow *rows;
  int64_t received_ms;
};

static int
table_free (struct UsageTable *table)
{
  HASH_CLEAR (hh, table->rows);
  return 0;
}

struct UsageTable *
usage_table_new (TALLOC_CTX *ctx, uint32_t window_ms)
{
  struct UsageTable *table = talloc_zero (ctx, struct UsageTable);

  if (table == NULL)
    return NULL;
  table->window_ms = window_ms;
  talloc_set_destructor (table, table_free);
  return table;
}

static bool
row_is_current (const struct ReportRow *row, int64_t now_ms)
{
  return now_ms - row->reported_ms < REPORT_VALID_MS;
}

/* Removes reports whose requests have all left the window. */
static void
table_expire (struct UsageTable *table, int64_t now_ms)
{
  struct ReportRow *row, *next;

  HASH_ITER (hh, table->rows, row, next)
  {
    if (row_is_current (row, now_ms) || now_ms - row->reported_ms < table->window_ms)
      continue;
    HASH_DEL (table->rows, row);
    talloc_free (row);
  }
}

void
usage_table_take (struct UsageTable *table,
                  const char *sender,
                  const struct UsageReport *report,
                  int64_t now_ms)
{
  char key[NAME_MAX_BYTES + 3];
  struct ReportRow *row = NULL;

  snprintf (key, sizeof key, "%d %s", (int)report->scope, sender);
  HASH_FIND_STR (table->rows, key, row);
  if (row == NULL)
    {
      row = talloc_zero (table, struct ReportRow);
      if (row == NULL)
        return;
      memcpy (row->key, key, sizeof key);
      HASH_ADD_STR (table->rows, key, row);
    }
  table->received_ms = now_ms;
  row->reported_ms = now_ms;
  talloc_free (row->report.usages);
  row->report = *report;
  row->report.usages =
      talloc_memdup (row, report->usages, report->n_usages * sizeof *report->usages);
  if (row->report.usages == NULL)
    row->report.n_usages = 0;
}

/* Sums */

struct UsageSumRow
{
  struct CustomerUsage usage;
  UT_hash_handle hh;
};

struct UsageSum
{
  TALLOC_CTX *ctx;
  struct UsageSumRow *rows;
};

/* demands: false if the report is too old for its demand to count. */
static void
sum_add (struct UsageSum *sum, const struct CustomerUsage *usages, size_t n_usages, bool demands)
{
  for (size_t i = 0; i < n_usages; i++)
    {
      struct UsageSumRow *row = NULL;

      HASH_FIND_STR (sum->rows, usages[i].customer, row);
      if (row == NULL)
        {
          row = talloc_zero (sum->ctx, struct UsageSumRow);
          if (row == NULL)
            return;
          memcpy (row->usage.customer, usages[i].customer, sizeof row->usage.customer);
          HASH_ADD_STR (sum->rows, usage.customer, row);
        }
      row->usage.taken += usages[i].taken;
      row->usage.begun += usages[i].begun;
      row->usage.wanted += demands ? usages[i].wanted : 0;
    }
}

static void
sum_add_row (struct UsageSum *sum, const struct ReportRow *row, int64_t now_ms)
{
  sum_add (sum, row->report.usages, row->report.n_usages, row_is_current (row, now_ms));
}

static struct CustomerUsage *
sum_finish (struct UsageSum *sum, TALLOC_CTX *ctx, size_t *n_usages)
{
  struct CustomerUsage *usages = talloc_array (ctx, struct CustomerUsage, HASH_COUNT (sum->rows));

  *n_usages = 0;
  for (struct UsageSumRow *row = sum->rows; usages != NULL && row != NULL; row = row->hh.next)
    usages[(*n_usages)++] = row->usage;
  HASH_CLEAR (hh, sum->rows);
  talloc_free (sum->ctx);
  return usages;
}

/* Returns whether another aggregator of the same zone has reported later. */
static bool
zone_reported_later (const struct UsageTable *table, const struct ReportRow *row)
{
  for (const struct ReportRow *other = table->rows; other != NULL; other = other->hh.next)
    if (other != row && other->report.scope == USAGE_OF_ZONE
        && strcmp (other->report.zone, row->report.zone) == 0
        && (other->reported_ms > row->reported_ms
            || (other->reported_ms == row->reported_ms && strcmp (other->key, row->key) < 0)))
      return true;
  return false;
}

struct CustomerUsage *
usage_table_sum (struct UsageTable *table,
                 TALLOC_CTX *ctx,
                 enum UsageScope scope,
                 const struct CustomerUsage *own,
                 size_t n_own,
                 int64_t now_ms,
                 size_t *n_usages)
{
  struct UsageSum sum = { .ctx = talloc_new (ctx) };

  table_expire (table, now_ms);
  sum_add (&sum, own, n_own, true);
  for (const struct ReportRow *row = table->rows; row != NULL; row = row->hh.next)
    switch (row->report.scope)
      {
      case USAGE_OF_GATEWAY:
        sum_add_row (&sum, row, now_ms);
        break;
      case USAGE_OF_ZONE:
        if (scope == USAGE_OF_FLEET && !zone_reported_later (table, row))
          sum_add_row (&sum, row, now_ms);
        break;
      case USAGE_OF_FLEET:
        break;
      }
  return sum_finish (&sum, ctx, n_usages);
}

const struct UsageReport *
usage_table_fleet (struct UsageTable *table, int64_t now_ms)
{
  const struct ReportRow *best = NULL;

  table_expire (table, now_ms);
  for (const struct ReportRow *row = table->rows; row != NULL; row = row->hh.next)
    if (row->report.scope == USAGE_OF_FLEET && row_is_current (row, now_ms)
        && (best == NULL || row->reported_ms > best->reported_ms))
      best = row;
  return best != NULL ? &best->report : NULL;
}

int64_t
usage_table_received_ms (const struct UsageTable *table)
{
  return table->received_ms;
}
