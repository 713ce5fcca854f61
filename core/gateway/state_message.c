/* Heartbeats and snapshots on the wire. */
#include "message_internal.h"

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
  pack_array (p, 2 * heartbeat->n_loads);
  for (size_t i = 0; i < heartbeat->n_loads; i++)
    {
      pack_string (p, heartbeat->loads[i].replica);
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
  heartbeat->n_loads = message_list_enter (r, &list, 2);
  heartbeat->loads = talloc_zero_array (ctx, struct ReplicaLoad, heartbeat->n_loads);
  for (size_t i = 0; heartbeat->loads != NULL && i < heartbeat->n_loads; i++)
    {
      struct ReplicaLoad *load = &heartbeat->loads[i];

      read_string (&list, load->replica, sizeof load->replica);
      load->in_flight = (uint32_t)read_u64 (&list, UINT32_MAX);
    }
  r->failed = r->failed || list.failed || heartbeat->loads == NULL;
}

void
snapshot_pack (struct PackWriter *p, const struct Snapshot *snapshot)
{
  pack_u64 (p, snapshot->kind);
  pack_i64 (p, snapshot->revision);
  pack_u64 (p, snapshot->age_ms);
  pack_u64 (p, snapshot->content);
  pack_u64 (p, snapshot->base);
  pack_bool (p, snapshot->after_gap);
  pack_bool (p, snapshot->unchanged);
  pack_array (p, 3 * snapshot->n_items);
  for (size_t i = 0; i < snapshot->n_items; i++)
    {
      pack_string (p, snapshot->items[i].key);
      pack_bytes (p, snapshot->items[i].value, snapshot->items[i].value_bytes);
      pack_bool (p, snapshot->items[i].gone);
    }
}

void
snapshot_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct Snapshot *snapshot)
{
  struct PackReader list;

  snapshot->kind = (enum SnapshotKind)read_u64 (r, SNAPSHOT_KIND_MAX);
  snapshot->revision = read_i64 (r);
  snapshot->age_ms = (uint32_t)read_u64 (r, UINT32_MAX);
  snapshot->content = read_u64 (r, UINT64_MAX);
  snapshot->base = read_u64 (r, UINT64_MAX);
  snapshot->after_gap = read_bool (r);
  snapshot->unchanged = read_bool (r);
  snapshot->n_items = message_list_enter (r, &list, 3);
  snapshot->items = talloc_zero_array (ctx, struct SnapshotItem, snapshot->n_items);
  for (size_t i = 0; snapshot->items != NULL && i < snapshot->n_items; i++)
    {
      read_string (&list, snapshot->items[i].key, sizeof snapshot->items[i].key);
      snapshot->items[i].value = read_bytes (&list, ctx, &snapshot->items[i].value_bytes);
      snapshot->items[i].gone = read_bool (&list);
    }
  r->failed = r->failed || list.failed || snapshot->items == NULL;
}
