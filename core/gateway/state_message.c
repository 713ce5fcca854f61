/* Wire format of heartbeats and snapshots. */
#include "message_internal.h"

#include <buckthornhead/deflate.h>

#include <string.h>

static void
marks_pack (struct PackWriter *p, const struct StateMark *marks, size_t n_marks)
{
  pack_array (p, 4 * n_marks);
  for (size_t i = 0; i < n_marks; i++)
    {
      pack_u64 (p, marks[i].kind);
      pack_i64 (p, marks[i].revision);
      pack_u64 (p, marks[i].content);
      pack_u64 (p, marks[i].age_ms);
    }
}

static void
marks_unpack (struct PackReader *r, struct Heartbeat *heartbeat)
{
  struct PackReader list;
  size_t n = message_list_enter (r, &list, 4);

  if (n > STATE_MARKS_MAX)
    list.failed = true;
  for (size_t i = 0; i < n && !list.failed; i++)
    {
      struct StateMark *mark = &heartbeat->marks[heartbeat->n_marks++];

      mark->kind = (enum SnapshotKind)read_u64 (&list, SNAPSHOT_KIND_MAX);
      mark->revision = read_i64 (&list);
      mark->content = read_u64 (&list, UINT64_MAX);
      mark->age_ms = (uint32_t)read_u64 (&list, UINT32_MAX);
    }
  r->failed = r->failed || list.failed;
}

void
heartbeat_pack (struct PackWriter *p, const struct Heartbeat *heartbeat)
{
  node_status_pack (p, &heartbeat->status);
  archive_set_pack (p, &heartbeat->set);
  marks_pack (p, heartbeat->marks, heartbeat->n_marks);
  pack_u64 (p, heartbeat->scope);
  pack_u64 (p, heartbeat->server_level);
  pack_array (p, 2 * heartbeat->n_loads);
  for (size_t i = 0; i < heartbeat->n_loads; i++)
    {
      pack_string (p, heartbeat->loads[i].server);
      pack_u64 (p, heartbeat->loads[i].in_flight);
    }
}

void
heartbeat_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct Heartbeat *heartbeat)
{
  struct PackReader list;

  node_status_unpack (r, &heartbeat->status);
  archive_set_unpack (r, &heartbeat->set);
  marks_unpack (r, heartbeat);
  heartbeat->scope = (enum LoadScope)read_u64 (r, LOADS_OF_FLEET);
  heartbeat->server_level = (uint32_t)read_u64 (r, UINT32_MAX);
  heartbeat->n_loads = message_list_enter (r, &list, 2);
  heartbeat->loads = talloc_zero_array (ctx, struct ReplicaLoad, heartbeat->n_loads);
  for (size_t i = 0; heartbeat->loads != NULL && i < heartbeat->n_loads; i++)
    {
      struct ReplicaLoad *load = &heartbeat->loads[i];

      read_string (&list, load->server, sizeof load->server);
      load->in_flight = (uint32_t)read_u64 (&list, UINT32_MAX);
    }
  r->failed = r->failed || list.failed || heartbeat->loads == NULL;
}

enum
{
  /* Minimum size of packed items to compress. A smaller list fits into one or two packets, where
   * the saving does not justify the processor time. */
  DEFLATE_MIN_BYTES = 2048
};

static int32_t
items_pack (TALLOC_CTX *ctx, const struct Snapshot *snapshot, uint8_t **bytes, size_t *n_bytes)
{
  struct PackWriter *p = pack_writer_new (ctx, false);

  if (p == NULL)
    return ERROR_NO_MEMORY;
  pack_array (p, 3 * snapshot->n_items);
  for (size_t i = 0; i < snapshot->n_items; i++)
    {
      pack_string (p, snapshot->items[i].key);
      pack_bytes (p, snapshot->items[i].value, snapshot->items[i].value_bytes);
      pack_bool (p, snapshot->items[i].removed);
    }
  return pack_finish (p, ctx, bytes, n_bytes);
}

/* Encodes the items for the wire: one byte that is 1 if they are compressed, then the packed items.
 */
static int32_t
items_encode (TALLOC_CTX *ctx,
              const struct Snapshot *snapshot,
              uint8_t **encoded,
              size_t *n_encoded)
{
  uint8_t *plain = NULL, *deflated = NULL, *bytes;
  size_t n_plain, n_deflated = 0;
  bool is_deflated;
  int32_t error = items_pack (ctx, snapshot, &plain, &n_plain);

  if (error != ERROR_NONE)
    return error;
  if (n_plain >= DEFLATE_MIN_BYTES)
    error = value_deflate (ctx, plain, n_plain, &deflated, &n_deflated);
  is_deflated = error == ERROR_NONE && deflated != NULL && n_deflated < n_plain;
  *n_encoded = 1 + (is_deflated ? n_deflated : n_plain);
  bytes = talloc_size (ctx, *n_encoded);
  if (bytes != NULL)
    {
      bytes[0] = is_deflated;
      memcpy (bytes + 1, is_deflated ? deflated : plain, *n_encoded - 1);
    }
  talloc_free (deflated);
  talloc_free (plain);
  *encoded = bytes;
  return bytes != NULL ? ERROR_NONE : ERROR_NO_MEMORY;
}

int32_t
snapshot_pack_items (struct Snapshot *snapshot)
{
  if (snapshot->packed_items != NULL)
    return ERROR_NONE;
  return items_encode (snapshot, snapshot, &snapshot->packed_items, &snapshot->packed_items_bytes);
}

void
snapshot_pack (struct PackWriter *p, const struct Snapshot *snapshot)
{
  uint8_t *encoded = NULL;
  size_t n_encoded = 0;

  pack_u64 (p, snapshot->kind);
  pack_i64 (p, snapshot->revision);
  pack_u64 (p, snapshot->age_ms);
  pack_u64 (p, snapshot->content);
  pack_u64 (p, snapshot->base);
  pack_bool (p, snapshot->after_gap);
  pack_u64 (p, snapshot->level);
  pack_bool (p, snapshot->unchanged);
  if (snapshot->packed_items != NULL)
    {
      pack_bytes (p, snapshot->packed_items, snapshot->packed_items_bytes);
      return;
    }
  if (items_encode (p, snapshot, &encoded, &n_encoded) != ERROR_NONE)
    p->failed = true;
  pack_bytes (p, encoded, n_encoded);
  talloc_free (encoded);
}

/* Unpacks items packed by items_pack. */
static bool
items_unpack (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes, struct Snapshot *snapshot)
{
  struct PackReader list;
  void *opened = pack_open (ctx, bytes, n_bytes, &list);

  if (opened == NULL || list.n_items % 3 != 0 || list.n_items / 3 > MESSAGE_ITEMS_MAX)
    return false;
  snapshot->n_items = list.n_items / 3;
  snapshot->items = talloc_zero_array (ctx, struct SnapshotItem, snapshot->n_items);
  for (size_t i = 0; snapshot->items != NULL && i < snapshot->n_items; i++)
    {
      read_string (&list, snapshot->items[i].key, sizeof snapshot->items[i].key);
      snapshot->items[i].value = read_bytes (&list, ctx, &snapshot->items[i].value_bytes);
      snapshot->items[i].removed = read_bool (&list);
    }
  talloc_free (opened);
  return snapshot->items != NULL && read_end (&list) == ERROR_NONE;
}

static bool
items_decode (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes, struct Snapshot *snapshot)
{
  uint8_t *plain;
  size_t n_plain;
  bool is_valid;

  if (bytes == NULL || n_bytes == 0)
    return false;
  if (bytes[0] == 0)
    return items_unpack (ctx, bytes + 1, n_bytes - 1, snapshot);
  if (value_inflate (ctx, bytes + 1, n_bytes - 1, &plain, &n_plain) != ERROR_NONE)
    return false;
  is_valid = items_unpack (ctx, plain, n_plain, snapshot);
  talloc_free (plain);
  return is_valid;
}

void
snapshot_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct Snapshot *snapshot)
{
  const uint8_t *encoded;
  size_t n_encoded;

  snapshot->kind = (enum SnapshotKind)read_u64 (r, SNAPSHOT_KIND_MAX);
  snapshot->revision = read_i64 (r);
  snapshot->age_ms = (uint32_t)read_u64 (r, UINT32_MAX);
  snapshot->content = read_u64 (r, UINT64_MAX);
  snapshot->base = read_u64 (r, UINT64_MAX);
  snapshot->after_gap = read_bool (r);
  snapshot->level = (uint32_t)read_u64 (r, UINT32_MAX);
  snapshot->unchanged = read_bool (r);
  encoded = read_bytes (r, ctx, &n_encoded);
  r->failed = r->failed || !items_decode (ctx, encoded, n_encoded, snapshot);
  /* Kept so that a forwarded snapshot need not be packed again. */
  snapshot->packed_items = (uint8_t *)encoded;
  snapshot->packed_items_bytes = n_encoded;
}
