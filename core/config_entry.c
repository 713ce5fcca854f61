#include "config_entry.h"

#include <buckthornhead/error.h>
#include <buckthornhead/pack.h>

#include <string.h>

enum
{
  CHANGE_VERSION = 1
};

static void
pack_text (struct PackWriter *writer, const char *text)
{
  const char *bytes = text != NULL ? text : "";

  pack_bytes (writer, (const uint8_t *)bytes, strlen (bytes));
}

/* Reads a text of up to CONFIG_TEXT_MAX_BYTES; a NUL byte inside fails the reader. */
static const char *
read_text (struct PackReader *reader, TALLOC_CTX *ctx)
{
  size_t n_bytes = 0;
  const uint8_t *bytes = read_bytes (reader, ctx, &n_bytes);

  if (bytes == NULL)
    return "";
  if (n_bytes > CONFIG_TEXT_MAX_BYTES || memchr (bytes, '\0', n_bytes) != NULL)
    reader->failed = true;
  return talloc_strndup (ctx, (const char *)bytes, n_bytes);
}

int32_t
config_change_pack (TALLOC_CTX *ctx,
                    const struct ConfigChange *change,
                    uint8_t **packed,
                    size_t *n_bytes)
{
  struct PackWriter *writer = pack_writer_new (ctx, false);

  if (writer == NULL)
    return ERROR_NO_MEMORY;
  pack_array (writer, 11);
  pack_u64 (writer, CHANGE_VERSION);
  pack_u64 (writer, change->revision);
  pack_u64 (writer, (uint64_t)change->kind);
  pack_string (writer, change->change_id);
  pack_string (writer, change->name);
  pack_string (writer, change->author);
  pack_string (writer, change->reason);
  pack_i64 (writer, change->when_unix_ms);
  pack_u64 (writer, change->expected_revision);
  pack_text (writer, change->text);
  pack_text (writer, change->before);
  return pack_finish (writer, ctx, packed, n_bytes);
}

static void
change_read (struct PackReader *reader, struct ConfigChange *change)
{
  change->revision = read_u64 (reader, UINT64_MAX);
  change->kind = (enum ConfigChangeKind)read_u64 (reader, CONFIG_CHANGE_DRAIN);
  read_string (reader, change->change_id, sizeof change->change_id);
  read_string (reader, change->name, sizeof change->name);
  read_string (reader, change->author, sizeof change->author);
  read_string (reader, change->reason, sizeof change->reason);
  change->when_unix_ms = read_i64 (reader);
  change->expected_revision = read_u64 (reader, UINT64_MAX);
  change->text = read_text (reader, change);
  change->before = read_text (reader, change);
}

int32_t
config_change_unpack (TALLOC_CTX *ctx,
                      const uint8_t *packed,
                      size_t n_bytes,
                      struct ConfigChange **change)
{
  struct PackReader reader;
  struct ConfigChange *read = talloc_zero (ctx, struct ConfigChange);
  void *document = pack_open (read, packed, n_bytes, &reader);

  if (document == NULL || read_u64 (&reader, CHANGE_VERSION) != CHANGE_VERSION)
    goto fail;
  change_read (&reader, read);
  if (read_end (&reader) != ERROR_NONE || read->kind == 0)
    goto fail;
  talloc_free (document);
  *change = read;
  return ERROR_NONE;

fail:
  talloc_free (read);
  return ERROR_INVALID;
}

int32_t
config_transfer_pack (TALLOC_CTX *ctx,
                      const struct ConfigTransfer *transfer,
                      uint8_t **packed,
                      size_t *n_bytes)
{
  struct PackWriter *writer = pack_writer_new (ctx, false);

  if (writer == NULL)
    return ERROR_NO_MEMORY;
  pack_array (writer, 3);
  pack_u64 (writer, (uint64_t)transfer->kind);
  pack_u64 (writer, transfer->revision);
  pack_bytes (writer, transfer->value, transfer->value_bytes);
  return pack_finish (writer, ctx, packed, n_bytes);
}

int32_t
config_transfer_unpack (TALLOC_CTX *ctx,
                        const uint8_t *packed,
                        size_t n_bytes,
                        struct ConfigTransfer *transfer)
{
  struct PackReader reader;
  void *document = pack_open (ctx, packed, n_bytes, &reader);
  int32_t error = ERROR_INVALID;

  if (document == NULL)
    return ERROR_INVALID;
  transfer->kind = (enum ConfigTransferKind)read_u64 (&reader, CONFIG_TRANSFER_CHECKPOINT);
  transfer->revision = read_u64 (&reader, UINT64_MAX);
  transfer->value = read_bytes (&reader, ctx, &transfer->value_bytes);
  if (transfer->kind != 0)
    error = read_end (&reader);
  talloc_free (document);
  return error;
}
