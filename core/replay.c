#include <buckthornhead/kv_guard.h>

#include <buckthornhead/error.h>
#include <buckthornhead/journal.h>

#include <stdlib.h>
#include <string.h>

enum
{
  REPLAY_PAGE_SLOTS = 8,
  REPLAY_ATTEMPTS_MAX = 8, /* in a row; the caller may then retry later */
  REPLAY_RETRY_MS = 200
};

/* Steps in their order. The journal is sealed before any records are read: a writer that is slow
 * rather than failed could otherwise append and acknowledge a slot after the last one read, and its
 * records would be lost. */
enum ReplayStep
{
  REPLAY_FIND_LAST,  /* reads keys only */
  REPLAY_CHECK_LAST, /* for a seal */
  REPLAY_PUT_SEAL,
  REPLAY_READ_NEWEST, /* slot before the end, for its replay_from */
  REPLAY_READ_SLOTS,
  REPLAY_DONE
};

struct ReplaySession
{
  struct KvPort *kv;
  struct TimerService *timers;
  const char *incarnation;
  const char *folder; /* prefix of the keys of all slots of the journal */
  const char *prefix;
  char sealer[NAME_MAX_BYTES + 24];
  bool must_seal;
  bool must_read;
  JournalReplayDone done;
  void *data;
  enum ReplayStep step;
  uint32_t n_attempts;
  uint32_t n_gaps;    /* reads that found a slot missing */
  uint64_t last_slot; /* highest existing slot */
  uint64_t end_slot;  /* end of the records: the seal, or one past the last slot */
  uint64_t next_slot; /* next slot to read */
  struct JournalReplay replay;
};

static void
replay_send (struct ReplaySession *session);

static void
replay_finish (struct ReplaySession *session, int32_t error)
{
  session->step = REPLAY_DONE;
  session->replay.error = error;
  if (error != ERROR_NONE)
    session->replay.n_slots = 0;
  /* done may free the context that owns the session. */
  talloc_steal (NULL, session);
  session->done (session->data, &session->replay);
  talloc_free (session);
}

static void
replay_on_retry (void *data)
{
  replay_send (data);
}

static void
replay_retry (struct ReplaySession *session)
{
  if (++session->n_attempts >= REPLAY_ATTEMPTS_MAX
      || timer_subscribe (session, session->timers, REPLAY_RETRY_MS, 0, replay_on_retry, session)
             == NULL)
    replay_finish (session, ERROR_PLATFORM_DOWN);
}

/* Returns the slot number in key; 0 when key is no slot's key. */
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
  replay_send (session);
}

/* Starts to read the needed records, once the end is known. */
static void
replay_read_from_newest (struct ReplaySession *session)
{
  if (session->end_slot <= JOURNAL_FIRST_SLOT || !session->must_read)
    replay_finish (session, ERROR_NONE);
  else
    replay_step (session, REPLAY_READ_NEWEST);
}

/* Handles a seal. One whose replay_from is its own slot was written when the journal was cleaned:
 * slots that remain before it, or are written late, are ignored. */
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
replay_on_keys (struct ReplaySession *session, const struct KvResult *result)
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
    replay_step (session, REPLAY_CHECK_LAST);
  else if (session->must_seal)
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
replay_on_last_slot (struct ReplaySession *session, const struct KvResult *result)
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
  else if (session->must_seal)
    replay_step (session, REPLAY_PUT_SEAL);
  else
    replay_read_from_newest (session);
}

/* Handles a slot that already exists where the seal was to be written. If it is a seal, of another
 * instance or an own one whose response was lost, the journal is sealed. If the writer has appended
 * it meanwhile, the seal is tried at the next slot. */
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
      /* A gap: a live writer may have deleted slots meanwhile. Its newest slot then has a higher
       * replay_from. */
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
    replay_send (session);
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
      /* If the response to the seal was lost, the next attempt finds the seal in place. */
      replay_retry (session);
      return;
    }
  switch (session->step)
    {
    case REPLAY_FIND_LAST:
      replay_on_keys (session, result);
      break;
    case REPLAY_CHECK_LAST:
      replay_on_last_slot (session, result);
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

/* Sends the request of the current step. */
static void
replay_send (struct ReplaySession *session)
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
    case REPLAY_CHECK_LAST:
      request.get.key = replay_key (session, scratch, session->last_slot);
      break;
    case REPLAY_PUT_SEAL:
      snprintf (seal.writer, sizeof seal.writer, "%s", session->sealer);
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
  replay_send (data);
}

static int32_t
replay_start (TALLOC_CTX *ctx,
              struct KvPort *kv,
              struct TimerService *timers,
              const char *prefix,
              const char *incarnation,
              const char *sealer,
              bool must_read,
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
  session->must_seal = sealer != NULL;
  session->must_read = must_read;
  snprintf (session->sealer, sizeof session->sealer, "%s", sealer != NULL ? sealer : "");
  session->prefix = talloc_strdup (session, prefix);
  session->incarnation = talloc_strdup (session, incarnation);
  session->folder = talloc_asprintf (session, "%sjournal/%s/", prefix, incarnation);
  session->replay.slots = talloc_array (session, struct Slot *, 1);
  /* Started by a timer, so that done is never called from inside this function. */
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
                       const char *sealer,
                       JournalReplayDone done,
                       void *data)
{
  return replay_start (ctx, kv, timers, prefix, incarnation, sealer, true, done, data);
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
              const char *sealer,
              JournalReplayDone done,
              void *data)
{
  return replay_start (ctx, kv, timers, prefix, incarnation, sealer, false, done, data);
}
