#include <buckthornhead/kv_guard.h>

#include <buckthornhead/error.h>
#include <buckthornhead/journal.h>

#include <stdlib.h>
#include <string.h>

enum
{
  REPLAY_PAGE_SLOTS = 8,
  REPLAY_ATTEMPTS_MAX = 8, /* in a row; then the asker tries again later */
  REPLAY_RETRY_MS = 200
};

/* The steps in their order. Sealing comes before all reading of records: a writer that is only
 * slow could otherwise write a slot after the last one read, acknowledge it, and be missed. */
enum ReplayStep
{
  REPLAY_FIND_LAST, /* keys only */
  REPLAY_LOOK_AT_LAST,
  REPLAY_PUT_SEAL,
  REPLAY_READ_NEWEST, /* for its replay_from */
  REPLAY_READ_SLOTS,
  REPLAY_DONE
};

struct ReplaySession
{
  struct KvPort *kv;
  struct TimerService *timers;
  const char *incarnation;
  const char *folder; /* prefix of all the journal's slots */
  const char *prefix;
  char taker[NAME_MAX_BYTES + 24];
  bool seals;
  bool reads;
  JournalReplayDone done;
  void *data;
  enum ReplayStep step;
  uint32_t n_attempts;
  uint32_t n_gaps;    /* readings that met a missing slot */
  uint64_t last_slot; /* highest that is there */
  uint64_t end_slot;  /* first that does not count: the seal, or one past the last */
  uint64_t next_slot; /* to be read */
  struct JournalReplay replay;
};

static void
replay_go (struct ReplaySession *session);

static void
replay_finish (struct ReplaySession *session, int32_t error)
{
  session->step = REPLAY_DONE;
  session->replay.error = error;
  if (error != ERROR_NONE)
    session->replay.n_slots = 0;
  /* The asker may free the context that the session belongs to. */
  talloc_steal (NULL, session);
  session->done (session->data, &session->replay);
  talloc_free (session);
}

static void
replay_on_retry (void *data)
{
  replay_go (data);
}

static void
replay_retry (struct ReplaySession *session)
{
  if (++session->n_attempts >= REPLAY_ATTEMPTS_MAX
      || timer_subscribe (session, session->timers, REPLAY_RETRY_MS, 0, replay_on_retry, session)
             == NULL)
    replay_finish (session, ERROR_PLATFORM_DOWN);
}

/* Number of a slot's key; 0 for a key that is none. */
static uint64_t
slot_number (const struct ReplaySession *session, const char *key)
{
  size_t n_folder = strlen (session->folder);
  char *end;
  uint64_t number;

  if (strncmp (key, session->folder, n_folder) != 0)
    return 0;
  number = strtoull (key + n_folder, &end, 10);
  return *end == '\0' ? number : 0;
}

static void
replay_step (struct ReplaySession *session, enum ReplayStep step)
{
  session->step = step;
  session->n_attempts = 0;
  replay_go (session);
}

/* The end is known: reads what counts. */
static void
replay_read_from_newest (struct ReplaySession *session)
{
  if (session->end_slot <= JOURNAL_FIRST_SLOT || !session->reads)
    replay_finish (session, ERROR_NONE);
  else
    replay_step (session, REPLAY_READ_NEWEST);
}

/* A seal that says that a replay needs nothing before it was put there by whoever cleaned up: of
 * what may still lie there, or be written late, nothing counts. */
static void
replay_found_seal (struct ReplaySession *session, uint64_t slot, uint64_t replay_from)
{
  session->end_slot = slot;
  session->replay.seal_slot = slot;
  if (replay_from == slot)
    replay_finish (session, ERROR_NONE);
  else
    replay_read_from_newest (session);
}

static void
replay_on_last (struct ReplaySession *session, const struct KvResult *result)
{
  session->last_slot = 0;
  for (size_t i = 0; i < result->n_entries; i++)
    {
      uint64_t number = slot_number (session, result->entries[i].key);

      if (number > session->last_slot)
        session->last_slot = number;
    }
  session->end_slot = session->last_slot + 1;
  if (session->last_slot > 0)
    replay_step (session, REPLAY_LOOK_AT_LAST);
  else if (session->seals)
    replay_step (session, REPLAY_PUT_SEAL);
  else
    replay_finish (session, ERROR_NONE);
}

static int32_t
unpack_entry (struct ReplaySession *session, const struct KvEntry *entry, struct Slot **slot)
{
  return slot_unpack (session->replay.slots, entry->value, entry->value_bytes, slot);
}

static void
replay_on_look (struct ReplaySession *session, const struct KvResult *result)
{
  struct Slot *slot;
  uint64_t replay_from;
  bool sealed;

  if (result->n_entries != 1 || unpack_entry (session, &result->entries[0], &slot) != ERROR_NONE)
    {
      replay_finish (session, ERROR_INVALID);
      return;
    }
  sealed = slot->kind == SLOT_SEAL;
  replay_from = slot->replay_from;
  talloc_free (slot);
  if (sealed)
    replay_found_seal (session, session->last_slot, replay_from);
  else if (session->seals)
    replay_step (session, REPLAY_PUT_SEAL);
  else
    replay_read_from_newest (session);
}

/* The slot was taken first. By a seal, another taker's or the own one whose answer was lost: the
 * journal is sealed, and it does not matter by whom. By the writer, which raced ahead: the seal
 * goes one further. */
static void
replay_on_seal_conflict (struct ReplaySession *session, const struct KvResult *result)
{
  struct Slot *slot;
  uint64_t replay_from;
  bool sealed;

  if (result->n_entries != 1)
    {
      replay_step (session, REPLAY_FIND_LAST);
      return;
    }
  if (unpack_entry (session, &result->entries[0], &slot) != ERROR_NONE)
    {
      replay_finish (session, ERROR_INVALID);
      return;
    }
  sealed = slot->kind == SLOT_SEAL;
  replay_from = slot->replay_from;
  talloc_free (slot);
  if (sealed)
    {
      replay_found_seal (session, session->end_slot, replay_from);
      return;
    }
  session->end_slot++;
  replay_step (session, REPLAY_PUT_SEAL);
}

static void
replay_on_newest (struct ReplaySession *session, const struct KvResult *result)
{
  struct Slot *slot;

  if (result->n_entries != 1 || unpack_entry (session, &result->entries[0], &slot) != ERROR_NONE)
    {
      replay_finish (session, ERROR_INVALID);
      return;
    }
  session->next_slot = slot->replay_from;
  session->replay.n_slots = 0;
  talloc_free (slot);
  if (session->next_slot < JOURNAL_FIRST_SLOT || session->next_slot >= session->end_slot)
    replay_finish (session, ERROR_INVALID);
  else
    replay_step (session, REPLAY_READ_SLOTS);
}

static int32_t
replay_add_slot (struct ReplaySession *session, const struct KvEntry *entry)
{
  struct JournalReplay *replay = &session->replay;
  int32_t error = unpack_entry (session, entry, &replay->slots[replay->n_slots]);

  if (error != ERROR_NONE)
    return error;
  if (replay->slots[replay->n_slots]->kind != SLOT_RECORDS)
    return ERROR_INVALID;
  replay->slot_numbers[replay->n_slots++] = session->next_slot++;
  return ERROR_NONE;
}

static void
replay_on_slots (struct ReplaySession *session, const struct KvResult *result)
{
  struct JournalReplay *replay = &session->replay;
  size_t n_wanted = replay->n_slots + result->n_entries;
  struct Slot **slots = talloc_realloc (session, replay->slots, struct Slot *, n_wanted + 1);
  uint64_t *numbers = talloc_realloc (session, replay->slot_numbers, uint64_t, n_wanted + 1);
  int32_t error;

  if (slots != NULL)
    replay->slots = slots;
  if (numbers != NULL)
    replay->slot_numbers = numbers;
  if (slots == NULL || numbers == NULL)
    {
      replay_finish (session, ERROR_NO_MEMORY);
      return;
    }
  for (size_t i = 0; i < result->n_entries && session->next_slot < session->end_slot; i++)
    {
      /* A gap: a writer that lives on has deleted slots meanwhile, which its newest one says. */
      if (slot_number (session, result->entries[i].key) != session->next_slot)
        break;
      error = replay_add_slot (session, &result->entries[i]);
      if (error != ERROR_NONE)
        {
          replay_finish (session, error);
          return;
        }
      session->n_attempts = 0;
    }
  if (session->next_slot >= session->end_slot)
    replay_finish (session, ERROR_NONE);
  else if (result->more)
    replay_go (session);
  else if (++session->n_gaps >= REPLAY_ATTEMPTS_MAX)
    replay_finish (session, ERROR_INVALID);
  else
    {
      session->step = REPLAY_FIND_LAST;
      replay_retry (session);
    }
}

static void
replay_on_result (void *data, const struct KvResult *result)
{
  struct ReplaySession *session = data;

  if (session->step == REPLAY_PUT_SEAL && result->error == ERROR_CONFLICT)
    {
      replay_on_seal_conflict (session, result);
      return;
    }
  if (session->step == REPLAY_READ_NEWEST && result->error == ERROR_NOT_FOUND)
    {
      replay_finish (session, ERROR_INVALID);
      return;
    }
  if (result->error != ERROR_NONE)
    {
      /* Also an answer to the seal that was lost: the next attempt meets what stands there. */
      replay_retry (session);
      return;
    }
  switch (session->step)
    {
    case REPLAY_FIND_LAST:
      replay_on_last (session, result);
      break;
    case REPLAY_LOOK_AT_LAST:
      replay_on_look (session, result);
      break;
    case REPLAY_PUT_SEAL:
      replay_found_seal (session, session->end_slot, 0);
      break;
    case REPLAY_READ_NEWEST:
      replay_on_newest (session, result);
      break;
    case REPLAY_READ_SLOTS:
      replay_on_slots (session, result);
      break;
    case REPLAY_DONE:
      break;
    }
}

static char *
replay_key (struct ReplaySession *session, TALLOC_CTX *ctx, uint64_t slot)
{
  return journal_slot_key (ctx, session->prefix, session->incarnation, slot);
}

/* Sends the request of the present step. */
static void
replay_go (struct ReplaySession *session)
{
  TALLOC_CTX *scratch = talloc_new (session);
  struct KvRequest request = { .op = KV_OP_GET };
  struct Slot seal = { .kind = SLOT_SEAL };
  uint8_t *packed = NULL;
  size_t packed_bytes = 0;
  int32_t error = ERROR_NONE;

  switch (session->step)
    {
    case REPLAY_FIND_LAST:
      request.op = KV_OP_RANGE;
      request.range.prefix = session->folder;
      request.range.keys_only = true;
      break;
    case REPLAY_LOOK_AT_LAST:
      request.get.key = replay_key (session, scratch, session->last_slot);
      break;
    case REPLAY_PUT_SEAL:
      snprintf (seal.writer, sizeof seal.writer, "%s", session->taker);
      error = slot_pack (scratch, &seal, &packed, &packed_bytes);
      request.op = KV_OP_PUT;
      request.put.key = replay_key (session, scratch, session->end_slot);
      request.put.value = packed;
      request.put.value_bytes = packed_bytes;
      request.put.condition = KV_IF_ABSENT;
      break;
    case REPLAY_READ_NEWEST:
      request.get.key = replay_key (session, scratch, session->end_slot - 1);
      break;
    case REPLAY_READ_SLOTS:
      request.op = KV_OP_RANGE;
      request.range.prefix = session->folder;
      request.range.start = replay_key (session, scratch, session->next_slot);
      request.range.limit = REPLAY_PAGE_SLOTS;
      break;
    case REPLAY_DONE:
      talloc_free (scratch);
      return;
    }
  if (error == ERROR_NONE)
    error = kv_submit_guarded (session, session->kv, &request, replay_on_result, session);
  talloc_free (scratch);
  if (error != ERROR_NONE)
    replay_retry (session);
}

static void
replay_on_start (void *data)
{
  replay_go (data);
}

static int32_t
replay_start (TALLOC_CTX *ctx,
              struct KvPort *kv,
              struct TimerService *timers,
              const char *prefix,
              const char *incarnation,
              const char *taker,
              bool reads,
              JournalReplayDone done,
              void *data)
{
  struct ReplaySession *session = talloc_zero (ctx, struct ReplaySession);

  if (session == NULL)
    return ERROR_NO_MEMORY;
  session->kv = kv;
  session->timers = timers;
  session->done = done;
  session->data = data;
  session->seals = taker != NULL;
  session->reads = reads;
  snprintf (session->taker, sizeof session->taker, "%s", taker != NULL ? taker : "");
  session->prefix = talloc_strdup (session, prefix);
  session->incarnation = talloc_strdup (session, incarnation);
  session->folder = talloc_asprintf (session, "%sjournal/%s/", prefix, incarnation);
  session->replay.slots = talloc_array (session, struct Slot *, 1);
  /* From the loop, so that done is never called from in here. */
  if (session->prefix == NULL || session->incarnation == NULL || session->folder == NULL
      || session->replay.slots == NULL
      || timer_subscribe (session, timers, 0, 0, replay_on_start, session) == NULL)
    {
      talloc_free (session);
      return ERROR_NO_MEMORY;
    }
  return ERROR_NONE;
}

int32_t
journal_seal_and_read (TALLOC_CTX *ctx,
                       struct KvPort *kv,
                       struct TimerService *timers,
                       const char *prefix,
                       const char *incarnation,
                       const char *taker,
                       JournalReplayDone done,
                       void *data)
{
  return replay_start (ctx, kv, timers, prefix, incarnation, taker, true, done, data);
}

int32_t
journal_read (TALLOC_CTX *ctx,
              struct KvPort *kv,
              struct TimerService *timers,
              const char *prefix,
              const char *incarnation,
              JournalReplayDone done,
              void *data)
{
  return replay_start (ctx, kv, timers, prefix, incarnation, NULL, true, done, data);
}

int32_t
journal_seal (TALLOC_CTX *ctx,
              struct KvPort *kv,
              struct TimerService *timers,
              const char *prefix,
              const char *incarnation,
              const char *taker,
              JournalReplayDone done,
              void *data)
{
  return replay_start (ctx, kv, timers, prefix, incarnation, taker, false, done, data);
}
