/* Writes seeds for the fuzz targets with binary formats to FOLDER/TARGET.
 *
 * make_seeds FOLDER */
#include "state_kind.h"

#include <config_entry.h>
#include <config_fold.h>
#include <ledger_state.h>
#include <member_entry.h>

#include <buckthornhead/error.h>
#include <buckthornhead/partition.h>
#include <buckthornhead/peer_message.h>
#include <buckthornhead/record.h>

#include <stdio.h>
#include <string.h>

enum
{
  FRAME_LENGTH_BYTES = 4
};

static int
write_file (const char *folder, const char *target, int n, const uint8_t *bytes, size_t n_bytes)
{
  char path[512];
  FILE *stream;

  snprintf (path, sizeof path, "%s/%s/seed-%d", folder, target, n);
  stream = fopen (path, "we");
  if (stream == NULL)
    return 1;
  fwrite (bytes, 1, n_bytes, stream);
  return fclose (stream);
}

static void
fill_key (struct CallKey *key)
{
  snprintf (key->program, sizeof key->program, "p-1");
  snprintf (key->branch, sizeof key->branch, MAIN_BRANCH);
  key->sequence = 1;
}

/* Writes a slot with one record of each kind, its optional fields empty, and a seal. */
static int
write_slots (const char *folder)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Record records[RECORD_NOT_SENT] = { 0 };
  struct Slot slot = { .kind = SLOT_RECORDS, .records = records, .n_records = RECORD_NOT_SENT };
  uint8_t *packed;
  size_t n_bytes;
  int failures = 0;

  snprintf (slot.writer, sizeof slot.writer, "entry-1.4");
  for (int i = 0; i < RECORD_NOT_SENT; i++)
    records[i].kind = (enum RecordKind) (i + 1);
  fill_key (&records[RECORD_INTENT - 1].intent.key);
  fill_key (&records[RECORD_OUTCOME - 1].outcome.key);
  records[RECORD_OUTCOME - 1].outcome.outcome.response = (const uint8_t *)"answer";
  records[RECORD_OUTCOME - 1].outcome.outcome.response_bytes = strlen ("answer");
  records[RECORD_END - 1].end.reason = END_DONE;
  records[RECORD_SNAPSHOT - 1].snapshot.n_parts = 1;
  if (slot_pack (ctx, &slot, &packed, &n_bytes) == ERROR_NONE)
    failures += write_file (folder, "record", 0, packed, n_bytes);
  else
    failures++;
  slot.kind = SLOT_SEAL;
  slot.n_records = 0;
  if (slot_pack (ctx, &slot, &packed, &n_bytes) == ERROR_NONE)
    failures += write_file (folder, "record", 1, packed, n_bytes);
  else
    failures++;
  talloc_free (ctx);
  return failures;
}

static int
write_messages (const char *folder)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  int failures = 0;

  for (int kind = PEER_HELLO; kind <= PEER_QUARANTINE; kind++)
    {
      struct PeerMessage message = { .kind = (enum PeerKind)kind };
      uint8_t *frame;
      size_t n_bytes;

      if (kind == PEER_REQUEST)
        message.request.op = REQUEST_CALL;
      if (peer_message_pack (ctx, &message, &frame, &n_bytes) == ERROR_NONE)
        failures += write_file (folder, "peer", kind, frame + FRAME_LENGTH_BYTES,
                                n_bytes - FRAME_LENGTH_BYTES);
      else
        failures++;
    }
  talloc_free (ctx);
  return failures;
}

/* Writes a seed of fuzz_state: the kind, then the packed value. Fails if error is set. */
static int
write_state (TALLOC_CTX *ctx,
             const char *folder,
             enum StateKind kind,
             int32_t error,
             const uint8_t *packed,
             size_t n_bytes)
{
  uint8_t *seed = talloc_array (ctx, uint8_t, n_bytes + 1);

  if (error != ERROR_NONE || seed == NULL)
    return 1;
  seed[0] = (uint8_t)kind;
  memcpy (seed + 1, packed, n_bytes);
  return write_file (folder, "state", kind, seed, n_bytes + 1);
}

static int
write_group_and_member (TALLOC_CTX *ctx, const char *folder)
{
  struct PartitionEntry entries[2] = { { .epoch = 3, .n_journals = 2 } };
  struct PartitionGroup group = { .n_entries = 2, .entries = entries };
  struct Member member = { .draining = true };
  uint8_t *packed = NULL;
  size_t n_bytes = 0;
  int32_t error;
  int failures;

  snprintf (entries[0].home, sizeof entries[0].home, "entry-1.4");
  snprintf (entries[0].journals[0], sizeof entries[0].journals[0], "entry-2.1");
  snprintf (entries[0].journals[1], sizeof entries[0].journals[1], "entry-1.4");
  error = partition_group_pack (ctx, &group, &packed, &n_bytes);
  failures = write_state (ctx, folder, STATE_GROUP, error, packed, n_bytes);
  snprintf (member.incarnation, sizeof member.incarnation, "entry-1.4");
  snprintf (member.zone, sizeof member.zone, "malda");
  snprintf (member.caller_address, sizeof member.caller_address, "10.1.0.1:8700");
  snprintf (member.peer_address, sizeof member.peer_address, "10.1.0.1:8702");
  error = member_pack (ctx, &member, &packed, &n_bytes);
  return failures + write_state (ctx, folder, STATE_MEMBER, error, packed, n_bytes);
}

static int
write_config (TALLOC_CTX *ctx, const char *folder)
{
  struct ConfigChange change = { .kind = CONFIG_CHANGE_DRAIN,
                                 .change_id = "c-1",
                                 .name = "entry-4",
                                 .author = "asha",
                                 .reason = "dawn",
                                 .text = "on",
                                 .before = "" };
  struct ConfigFold *fold = config_fold_new (ctx);
  struct ConfigTransfer transfer = { .kind = CONFIG_TRANSFER_ENTRY, .revision = 1 };
  uint8_t *packed = NULL;
  size_t n_bytes = 0;
  int32_t error = config_change_pack (ctx, &change, &packed, &n_bytes);
  int failures = write_state (ctx, folder, STATE_CHANGE, error, packed, n_bytes);

  transfer.value = packed;
  transfer.value_bytes = n_bytes;
  error = config_transfer_pack (ctx, &transfer, &packed, &n_bytes);
  failures += write_state (ctx, folder, STATE_PARCEL, error, packed, n_bytes);
  change.revision = 1;
  config_fold_apply (fold, &change);
  error = config_fold_pack (fold, ctx, &packed, &n_bytes);
  return failures + write_state (ctx, folder, STATE_FOLD, error, packed, n_bytes);
}

static int
write_snapshot (TALLOC_CTX *ctx, const char *folder)
{
  struct Ledger *ledger = ledger_new (ctx);
  struct Record created = { .kind = RECORD_PROGRAM, .epoch = 1 };
  struct LedgerTurn turn = { .idempotent = true };
  struct LedgerProgram *program;
  struct Record *records = NULL;
  size_t n_records = 0;

  snprintf (created.program.program, sizeof created.program.program, "p-1");
  snprintf (created.program.service, sizeof created.program.service, "hiring-agents");
  created.program.budget_tokens = 4000;
  program = ledger_insert (ledger, &created);
  fill_key (&turn.key);
  turn.outcome.response = (const uint8_t *)"answer";
  turn.outcome.response_bytes = strlen ("answer");
  if (program == NULL || program_get_or_add_branch (program, MAIN_BRANCH) == NULL
      || program_add_turn (program, &turn) != ERROR_NONE
      || ledger_add_snapshots (ledger, ctx, program, &records, &n_records) != ERROR_NONE
      || n_records != 1)
    return 1;
  return write_state (ctx, folder, STATE_SNAPSHOT, ERROR_NONE, records[0].snapshot.state,
                      records[0].snapshot.state_bytes);
}

static int
write_states (const char *folder)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  int failures = write_group_and_member (ctx, folder) + write_config (ctx, folder)
                 + write_snapshot (ctx, folder);

  talloc_free (ctx);
  return failures;
}

int
main (int argc, char **argv)
{
  if (argc != 2)
    return 2;
  return write_slots (argv[1]) + write_messages (argv[1]) + write_states (argv[1]) == 0 ? 0 : 1;
}
