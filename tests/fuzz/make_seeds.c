/* Writes the first inputs of the targets whose format is binary: FOLDER/record and FOLDER/peer. */
#include <buckthornhead/error.h>
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

/* One record of each kind; what a kind does not need stays empty. */
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
  records[RECORD_OUTCOME - 1].outcome.outcome.answer = (const uint8_t *)"answer";
  records[RECORD_OUTCOME - 1].outcome.outcome.answer_bytes = strlen ("answer");
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

int
main (int argc, char **argv)
{
  if (argc != 2)
    return 2;
  return write_slots (argv[1]) + write_messages (argv[1]) == 0 ? 0 : 1;
}
