#include <buckthornhead/scheduling/quarantine.h>

#include <buckthornhead/recent_hashes.h>

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

enum
{
  /* Times of crashes at other processes are known to within the delay of a message. */
  SEQUENCE_SLACK_MS = 20,
  /* Servers that end within this of each other may have one cause. */
  COMMON_CAUSE_MS = 100,
  /* Reports of one event by several processes differ by this at most. */
  REPORT_SLACK_MS = 500,
  /* A request that crashes servers comes again within seconds or minutes; one that was on a server
   * by chance has had its response by then. */
  SUSPECT_KEEP_MS = 10 * 60 * 1000,
  QUARANTINED_KEEP_MS = 24 * 3600 * 1000
};

/* Pause before each trial. The first one covers the restart of the servers; the others grow so that
 * a request that does crash servers hardly gets to any. */
static const int64_t trial_pause_ms[QUARANTINE_TRIALS_MAX] = { 5000, 60 * 1000, 10 * 60 * 1000,
                                                               60 * 60 * 1000 };

struct SuspectList
{
  struct Suspect *first; /* the oldest */
  uint32_t n;
};

struct Quarantine
{
  struct QuarantineOptions options;
  struct Suspect *by_digest; /* uthash head */
  struct SuspectList suspects, quarantined;
  uint32_t n_changed;
  uint64_t version;
  struct RecentHashes completed; /* requests with a complete response */
};

static int
quarantine_free (struct Quarantine *quarantine)
{
  HASH_CLEAR (hh, quarantine->by_digest);
  return 0;
}

struct Quarantine *
quarantine_new (TALLOC_CTX *ctx, const struct QuarantineOptions *options)
{
  struct Quarantine *quarantine = talloc_zero (ctx, struct Quarantine);

  if (quarantine == NULL)
    return NULL;
  quarantine->options = *options;
  talloc_set_destructor (quarantine, quarantine_free);
  return quarantine;
}

/* Lists. */

static struct Suspect *
suspect_find (const struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES])
{
  struct Suspect *suspect = NULL;

  HASH_FIND (hh, quarantine->by_digest, digest, DIGEST_BYTES, suspect);
  return suspect;
}

static struct SuspectList *
suspect_list (struct Quarantine *quarantine, const struct Suspect *suspect)
{
  return suspect->quarantined ? &quarantine->quarantined : &quarantine->suspects;
}

static void
list_remove (struct SuspectList *list, struct Suspect *suspect)
{
  DL_DELETE2 (list->first, suspect, previous, next);
  list->n--;
}

static void
suspect_remove (struct Quarantine *quarantine, struct Suspect *suspect)
{
  quarantine->n_changed -= suspect->changed;
  list_remove (suspect_list (quarantine, suspect), suspect);
  if (quarantine->by_digest != NULL)
    HASH_DEL (quarantine->by_digest, suspect);
  talloc_free (suspect);
}

/* Appends a suspect to the list that it belongs to, in place of the oldest one if that is full. */
static void
suspect_append (struct Quarantine *quarantine, struct Suspect *suspect)
{
  struct SuspectList *list = suspect_list (quarantine, suspect);

  if (list->n == QUARANTINE_LIST_MAX)
    suspect_remove (quarantine, list->first);
  DL_APPEND2 (list->first, suspect, previous, next);
  list->n++;
}

static struct Suspect *
suspect_get_or_add (struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES])
{
  struct Suspect *suspect = suspect_find (quarantine, digest);

  if (suspect != NULL)
    return suspect;
  suspect = talloc_zero (quarantine, struct Suspect);
  if (suspect == NULL)
    return NULL;
  memcpy (suspect->record.digest, digest, DIGEST_BYTES);
  suspect_append (quarantine, suspect);
  HASH_ADD (hh, quarantine->by_digest, record.digest, DIGEST_BYTES, suspect);
  return suspect;
}

/* Returns the index of the crash of the same process of a server; -1 if there is none. */
static int32_t
record_find_crash (const struct SuspectRecord *record, const struct CrashRecord *crash)
{
  for (uint32_t i = 0; i < record->n_crashes; i++)
    if (record->crashes[i].started_unix_ms == crash->started_unix_ms
        && strcmp (record->crashes[i].server, crash->server) == 0)
      return (int32_t)i;
  return -1;
}

/* Returns the number of crashes that count, each of a server that the request was sent to after the
 * previous one had ended. */
static uint32_t
record_n_sequential (const struct SuspectRecord *record, uint32_t same_event_ms)
{
  int64_t last_ms = 0;
  uint32_t n = 0;

  for (uint32_t i = 0; i < record->n_crashes; i++)
    {
      const struct CrashRecord *crash = &record->crashes[i];

      if (crash->discounted || crash->ended_ms < record->cleared_ms
          || (n > 0
              && (crash->sent_ms + SEQUENCE_SLACK_MS < last_ms
                  || crash->ended_ms < last_ms + same_event_ms)))
        continue;
      last_ms = crash->ended_ms;
      n++;
    }
  return n;
}

/* Moves the suspect to the end of the list that its crashes put it in. */
static void
suspect_update (struct Quarantine *quarantine, struct Suspect *suspect, int64_t now_ms)
{
  list_remove (suspect_list (quarantine, suspect), suspect);
  suspect->quarantined = record_n_sequential (&suspect->record, quarantine->options.same_event_ms)
                         >= QUARANTINE_THRESHOLD;
  suspect->changed_ms = now_ms;
  quarantine->version++;
  suspect_append (quarantine, suspect);
}

static void
suspect_mark_changed (struct Quarantine *quarantine, struct Suspect *suspect)
{
  quarantine->n_changed += !suspect->changed;
  suspect->changed = true;
}

/* Updates a suspect of which this process has learned something that others do not know. */
static void
suspect_changed (struct Quarantine *quarantine, struct Suspect *suspect, int64_t now_ms)
{
  suspect_mark_changed (quarantine, suspect);
  suspect_update (quarantine, suspect, now_ms);
}

/* Verdicts. */

bool
quarantine_is_empty (const struct Quarantine *quarantine)
{
  return quarantine->by_digest == NULL;
}

/* Returns the number of the next trial: later ones follow after longer pauses. */
static uint32_t
record_trial_level (const struct SuspectRecord *record, uint32_t n_crashes)
{
  uint32_t crash_level = n_crashes - QUARANTINE_THRESHOLD;

  return crash_level > record->trial_level ? crash_level : record->trial_level;
}

/* Returns whether another server, which did not run the request, ended at the same time. */
static bool
crash_coincides (const struct Quarantine *quarantine,
                 const struct SuspectRecord *record,
                 const struct CrashRecord *crash)
{
  for (const struct Suspect *other = quarantine->by_digest; other != NULL; other = other->hh.next)
    for (uint32_t i = 0; i < other->record.n_crashes; i++)
      {
        const struct CrashRecord *near = &other->record.crashes[i];

        if (!near->discounted && llabs (near->ended_ms - crash->ended_ms) <= COMMON_CAUSE_MS
            && record_find_crash (record, near) < 0)
          return true;
      }
  return false;
}

/* Returns whether each crash of the request may have had another cause, as of a rack. */
static bool
record_is_ambiguous (const struct Quarantine *quarantine, const struct SuspectRecord *record)
{
  for (uint32_t i = 0; i < record->n_crashes; i++)
    if (!record->crashes[i].discounted
        && !crash_coincides (quarantine, record, &record->crashes[i]))
      return false;
  return true;
}

/* Returns when the next trial is due; INT64_MAX: never. */
static int64_t
record_trial_due_ms (const struct Quarantine *quarantine,
                     const struct SuspectRecord *record,
                     uint32_t n_crashes)
{
  uint32_t level = record_trial_level (record, n_crashes);
  int64_t from_ms = record->trial_ms;

  if (level >= QUARANTINE_TRIALS_MAX)
    return INT64_MAX;
  /* Not without a pause after the first trial: several requests that crash servers at the same time
   * would hide each other. */
  if (level == 0 && record_is_ambiguous (quarantine, record))
    return from_ms;
  for (uint32_t i = 0; i < record->n_crashes; i++)
    if (!record->crashes[i].discounted && record->crashes[i].ended_ms > from_ms)
      from_ms = record->crashes[i].ended_ms;
  return from_ms + trial_pause_ms[level];
}

struct QuarantineState
quarantine_state_of (const struct Quarantine *quarantine,
                     const struct SuspectRecord *record,
                     int64_t now_ms)
{
  struct QuarantineState state = { .n_crashes = record_n_sequential (
                                       record, quarantine->options.same_event_ms) };
  int64_t due_ms;

  if (state.n_crashes < QUARANTINE_THRESHOLD)
    {
      state.verdict = state.n_crashes > 0 ? VERDICT_SUSPECT : VERDICT_FREE;
      return state;
    }
  due_ms = quarantine->options.has_trials
               ? record_trial_due_ms (quarantine, record, state.n_crashes)
               : INT64_MAX;
  state.verdict = now_ms >= due_ms ? VERDICT_TRIAL : VERDICT_HELD;
  if (state.verdict == VERDICT_HELD)
    state.wait_ms = due_ms == INT64_MAX ? INT64_MAX : due_ms - now_ms;
  return state;
}

struct QuarantineState
quarantine_check (const struct Quarantine *quarantine,
                  const uint8_t digest[DIGEST_BYTES],
                  int64_t now_ms)
{
  const struct Suspect *suspect = suspect_find (quarantine, digest);

  return suspect != NULL ? quarantine_state_of (quarantine, &suspect->record, now_ms)
                         : (struct QuarantineState){ .verdict = VERDICT_FREE };
}

const struct SuspectRecord *
quarantine_record (const struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES])
{
  const struct Suspect *suspect = suspect_find (quarantine, digest);

  return suspect != NULL ? &suspect->record : NULL;
}

bool
quarantine_contains (const struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES])
{
  const struct Suspect *suspect = suspect_find (quarantine, digest);

  return suspect != NULL && suspect->quarantined;
}

bool
quarantine_is_suspect (const struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES])
{
  const struct Suspect *suspect = suspect_find (quarantine, digest);

  return suspect != NULL
         && record_n_sequential (&suspect->record, quarantine->options.same_event_ms) > 0;
}

/* Changes. */

/* Inserts the crash by time, in place of the earliest one if there are too many. */
static void
record_add_crash (struct SuspectRecord *record, const struct CrashRecord *crash)
{
  uint32_t at;

  if (record->n_crashes == QUARANTINE_CRASHES_MAX)
    memmove (record->crashes, record->crashes + 1, --record->n_crashes * sizeof record->crashes[0]);
  for (at = record->n_crashes; at > 0 && record->crashes[at - 1].ended_ms > crash->ended_ms; at--)
    record->crashes[at] = record->crashes[at - 1];
  record->crashes[at] = *crash;
  record->n_crashes++;
}

static void
record_remove_crash (struct SuspectRecord *record, int32_t at)
{
  record->n_crashes--;
  memmove (record->crashes + at, record->crashes + at + 1,
           (record->n_crashes - (size_t)at) * sizeof record->crashes[0]);
}

static uint64_t
digest_hash (const uint8_t digest[DIGEST_BYTES])
{
  uint64_t hash;

  memcpy (&hash, digest, sizeof hash);
  return hash;
}

bool
quarantine_record_crash (struct Quarantine *quarantine,
                         const uint8_t digest[DIGEST_BYTES],
                         const struct CrashRecord *crash,
                         int64_t now_ms)
{
  struct Suspect *suspect;
  bool was_quarantined;
  int32_t known;

  if (recent_hashes_contains (&quarantine->completed, digest_hash (digest)))
    return false;
  suspect = suspect_get_or_add (quarantine, digest);
  if (suspect == NULL)
    return false;
  known = record_find_crash (&suspect->record, crash);
  if (known >= 0 && !suspect->record.crashes[known].discounted)
    return false;
  if (known >= 0)
    record_remove_crash (&suspect->record, known);
  was_quarantined = suspect->quarantined;
  record_add_crash (&suspect->record, crash);
  suspect_changed (quarantine, suspect, now_ms);
  return suspect->quarantined && !was_quarantined;
}

static void
record_clear (struct SuspectRecord *record, int64_t cleared_ms)
{
  record->cleared_ms = cleared_ms;
  record->trial_level = 0;
  for (uint32_t i = 0; i < record->n_crashes; i++)
    if (record->crashes[i].ended_ms <= cleared_ms)
      record->crashes[i].discounted = true;
}

bool
quarantine_clear (struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES], int64_t now_ms)
{
  struct Suspect *suspect = suspect_find (quarantine, digest);

  if (suspect == NULL
      || record_n_sequential (&suspect->record, quarantine->options.same_event_ms) == 0)
    return false;
  record_clear (&suspect->record, now_ms);
  suspect_changed (quarantine, suspect, now_ms);
  return true;
}

bool
quarantine_record_complete (struct Quarantine *quarantine,
                            const uint8_t digest[DIGEST_BYTES],
                            int64_t now_ms)
{
  recent_hashes_add (&quarantine->completed, digest_hash (digest));
  return quarantine_clear (quarantine, digest, now_ms);
}

static bool
record_refute (struct SuspectRecord *record,
               const char *server,
               uint64_t started_unix_ms,
               int64_t since_ms,
               int64_t until_ms)
{
  bool changed = false;

  for (uint32_t i = 0; i < record->n_crashes; i++)
    {
      struct CrashRecord *crash = &record->crashes[i];

      if (crash->discounted || crash->ended_ms <= since_ms || crash->ended_ms >= until_ms
          || crash->started_unix_ms != started_unix_ms || strcmp (crash->server, server) != 0)
        continue;
      crash->discounted = true;
      changed = true;
    }
  return changed;
}

bool
quarantine_refute (struct Quarantine *quarantine,
                   const char *server,
                   uint64_t started_unix_ms,
                   int64_t since_ms,
                   int64_t until_ms,
                   int64_t now_ms)
{
  struct Suspect *suspect, *next;
  bool changed = false;

  HASH_ITER (hh, quarantine->by_digest, suspect, next)
  if (record_refute (&suspect->record, server, started_unix_ms, since_ms, until_ms))
    {
      suspect_changed (quarantine, suspect, now_ms);
      changed = true;
    }
  return changed;
}

void
quarantine_begin_trial (struct Quarantine *quarantine,
                        const uint8_t digest[DIGEST_BYTES],
                        int64_t now_ms)
{
  struct Suspect *suspect = suspect_find (quarantine, digest);

  if (suspect == NULL || !suspect->quarantined)
    return;
  suspect->record.trial_level =
      record_trial_level (&suspect->record,
                          record_n_sequential (&suspect->record, quarantine->options.same_event_ms))
      + 1;
  suspect->record.trial_ms = now_ms;
  suspect_changed (quarantine, suspect, now_ms);
}

/* Adds a crash that another process reports. The times of one report fit together, so those of the
 * newest one are kept. A crash that was discounted counts again only if the report is of a later
 * one. */
static bool
record_merge_crash (struct SuspectRecord *record, const struct CrashRecord *reported)
{
  struct CrashRecord merged = *reported;
  int32_t at = record_find_crash (record, reported);
  struct CrashRecord known;

  if (at < 0)
    {
      record_add_crash (record, reported);
      return true;
    }
  known = record->crashes[at];
  if (reported->ended_ms <= known.ended_ms + REPORT_SLACK_MS)
    merged.discounted = merged.discounted || known.discounted;
  record_remove_crash (record, at);
  record_add_crash (record, &merged);
  return merged.discounted != known.discounted;
}

bool
quarantine_merge (struct Quarantine *quarantine,
                  const struct SuspectRecord *reported,
                  int64_t now_ms)
{
  struct Suspect *suspect = suspect_get_or_add (quarantine, reported->digest);
  struct SuspectRecord *record;
  bool changed = false;

  if (suspect == NULL)
    return false;
  record = &suspect->record;
  for (uint32_t i = 0; i < reported->n_crashes; i++)
    changed = record_merge_crash (record, &reported->crashes[i]) || changed;
  if (reported->cleared_ms > record->cleared_ms + REPORT_SLACK_MS)
    {
      record_clear (record, reported->cleared_ms);
      changed = true;
    }
  if (reported->cleared_ms + REPORT_SLACK_MS >= record->cleared_ms
      && reported->trial_level > record->trial_level)
    {
      record->trial_level = reported->trial_level;
      record->trial_ms = reported->trial_ms;
      changed = true;
    }
  suspect->is_shared = true;
  if (changed)
    suspect_update (quarantine, suspect, now_ms);
  return changed;
}

static void
list_expire (struct Quarantine *quarantine,
             struct SuspectList *list,
             int64_t keep_ms,
             int64_t now_ms)
{
  while (list->first != NULL && now_ms - list->first->changed_ms > keep_ms)
    suspect_remove (quarantine, list->first);
}

void
quarantine_expire (struct Quarantine *quarantine, int64_t now_ms)
{
  list_expire (quarantine, &quarantine->suspects, SUSPECT_KEEP_MS, now_ms);
  list_expire (quarantine, &quarantine->quarantined, QUARANTINED_KEEP_MS, now_ms);
}

/* Queries. */

static struct Suspect *
list_find_changed (struct SuspectList *list)
{
  struct Suspect *suspect = list->first;

  while (suspect != NULL && !suspect->changed)
    suspect = suspect->next;
  return suspect;
}

const struct SuspectRecord *
quarantine_next_changed (struct Quarantine *quarantine)
{
  while (quarantine->n_changed > 0)
    {
      struct Suspect *suspect = list_find_changed (&quarantine->quarantined);

      if (suspect == NULL)
        suspect = list_find_changed (&quarantine->suspects);
      suspect->changed = false;
      quarantine->n_changed--;
      if (!suspect->is_shared
          && record_n_sequential (&suspect->record, quarantine->options.same_event_ms) == 0)
        continue;
      suspect->is_shared = true;
      return &suspect->record;
    }
  return NULL;
}

void
quarantine_mark_changed (struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES])
{
  struct Suspect *suspect = suspect_find (quarantine, digest);

  if (suspect != NULL)
    suspect_mark_changed (quarantine, suspect);
}

uint64_t
quarantine_version (const struct Quarantine *quarantine)
{
  return quarantine->version;
}

uint32_t
quarantine_n_quarantined (const struct Quarantine *quarantine)
{
  return quarantine->quarantined.n;
}

const struct Suspect *
quarantine_next (const struct Quarantine *quarantine, const struct Suspect *previous)
{
  return previous != NULL ? previous->next : quarantine->quarantined.first;
}
