#include "message_internal.h"

enum
{
  RECORD_ITEMS = 5, /* packed items of a record, and of each of its crashes */
  CRASH_ITEMS = 5
};

static void
record_pack (struct PackWriter *p, const struct SuspectRecord *record)
{
  pack_bytes (p, record->digest, DIGEST_BYTES);
  pack_i64 (p, record->cleared_ms);
  pack_i64 (p, record->trial_ms);
  pack_u64 (p, record->trial_level);
  pack_array (p, CRASH_ITEMS * (size_t)record->n_crashes);
  for (uint32_t i = 0; i < record->n_crashes; i++)
    {
      const struct CrashRecord *crash = &record->crashes[i];

      pack_string (p, crash->server);
      pack_u64 (p, crash->started_unix_ms);
      pack_i64 (p, crash->sent_ms);
      pack_i64 (p, crash->ended_ms);
      pack_bool (p, crash->discounted);
    }
}

static void
crash_unpack (struct PackReader *r, struct CrashRecord *crash)
{
  read_string (r, crash->server, sizeof crash->server);
  crash->started_unix_ms = read_u64 (r, UINT64_MAX);
  crash->sent_ms = read_i64 (r);
  crash->ended_ms = read_i64 (r);
  crash->discounted = read_bool (r);
  /* Ages: the request was sent before the server ended, which is past. */
  if (crash->ended_ms < 0 || crash->sent_ms < crash->ended_ms
      || crash->sent_ms > SUSPECT_AGE_MAX_MS)
    r->failed = true;
}

static int64_t
age_unpack (struct PackReader *r)
{
  int64_t age_ms = read_i64 (r);

  if (age_ms < SUSPECT_AGE_NONE || age_ms > SUSPECT_AGE_MAX_MS)
    r->failed = true;
  return age_ms;
}

static void
record_unpack (struct PackReader *r, struct SuspectRecord *record)
{
  struct PackReader list;
  size_t n_crashes;

  read_fixed (r, record->digest, DIGEST_BYTES);
  record->cleared_ms = age_unpack (r);
  record->trial_ms = age_unpack (r);
  record->trial_level = (uint32_t)read_u64 (r, QUARANTINE_TRIALS_MAX);
  n_crashes = message_list_enter (r, &list, CRASH_ITEMS);
  if (n_crashes > QUARANTINE_CRASHES_MAX)
    list.failed = true;
  for (size_t i = 0; i < n_crashes && !list.failed; i++)
    crash_unpack (&list, &record->crashes[record->n_crashes++]);
  r->failed = r->failed || list.failed;
}

void
suspects_pack (struct PackWriter *p, const struct SuspectReport *report)
{
  pack_bool (p, report->wants_reply);
  pack_bool (p, report->is_reply);
  pack_array (p, RECORD_ITEMS * report->n_items);
  for (size_t i = 0; i < report->n_items; i++)
    record_pack (p, &report->items[i]);
}

void
suspects_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct SuspectReport *report)
{
  struct PackReader list;

  report->wants_reply = read_bool (r);
  report->is_reply = read_bool (r);
  report->n_items = message_list_enter (r, &list, RECORD_ITEMS);
  report->items = talloc_zero_array (ctx, struct SuspectRecord, report->n_items);
  for (size_t i = 0; report->items != NULL && i < report->n_items && !list.failed; i++)
    record_unpack (&list, &report->items[i]);
  r->failed = r->failed || list.failed || report->items == NULL;
}
