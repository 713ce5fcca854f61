#include <buckthornhead/node_status.h>

#include <buckthornhead/error.h>
#include <buckthornhead/pack.h>

#include <string.h>

enum
{
  /* Bits of the integer that encodes the boolean fields of a status. */
  FLAG_READY = 1,
  FLAG_LEAVING = 2,
  FLAG_REACHES_ARCHIVES = 4,
  FLAG_COMPLETE = 8,
  FLAG_ARCHIVE = 16,
  FLAG_STRAINED = 32,
  FLAGS_ALL = 63,
  N_FIELDS = 10
};

bool
node_status_is_equal (const struct NodeStatus *a, const struct NodeStatus *b)
{
  return strcmp (a->zone, b->zone) == 0 && strcmp (a->peer_address, b->peer_address) == 0
         && strcmp (a->caller_address, b->caller_address) == 0 && a->ready == b->ready
         && a->leaving == b->leaving && a->overloaded == b->overloaded
         && a->reaches_archives == b->reaches_archives && a->complete == b->complete
         && a->is_archive == b->is_archive && a->synced == b->synced
         && a->set_generation == b->set_generation && a->config_version == b->config_version;
}

static uint64_t
status_flags (const struct NodeStatus *status)
{
  return (status->ready ? FLAG_READY : 0) | (status->leaving ? FLAG_LEAVING : 0)
         | (status->overloaded ? FLAG_STRAINED : 0)
         | (status->reaches_archives ? FLAG_REACHES_ARCHIVES : 0)
         | (status->complete ? FLAG_COMPLETE : 0) | (status->is_archive ? FLAG_ARCHIVE : 0);
}

void
node_status_pack (struct PackWriter *p, const struct NodeStatus *status)
{
  pack_array (p, N_FIELDS);
  pack_string (p, status->node);
  pack_string (p, status->zone);
  pack_string (p, status->peer_address);
  pack_string (p, status->caller_address);
  pack_u64 (p, status->start);
  pack_u64 (p, status->version);
  pack_u64 (p, status_flags (status));
  pack_u64 (p, status->synced);
  pack_u64 (p, status->set_generation);
  pack_u64 (p, status->config_version);
}

void
node_status_unpack (struct PackReader *outer, struct NodeStatus *status)
{
  struct PackReader r;
  uint64_t flags;

  memset (status, 0, sizeof *status);
  read_array (outer, &r);
  read_string (&r, status->node, sizeof status->node);
  read_string (&r, status->zone, sizeof status->zone);
  read_string (&r, status->peer_address, sizeof status->peer_address);
  read_string (&r, status->caller_address, sizeof status->caller_address);
  status->start = read_u64 (&r, UINT64_MAX);
  status->version = read_u64 (&r, UINT64_MAX);
  flags = read_u64 (&r, FLAGS_ALL);
  status->ready = flags & FLAG_READY;
  status->leaving = flags & FLAG_LEAVING;
  status->overloaded = flags & FLAG_STRAINED;
  status->reaches_archives = flags & FLAG_REACHES_ARCHIVES;
  status->complete = flags & FLAG_COMPLETE;
  status->is_archive = flags & FLAG_ARCHIVE;
  status->synced = read_u64 (&r, UINT64_MAX);
  status->set_generation = read_u64 (&r, UINT64_MAX);
  status->config_version = read_u64 (&r, UINT64_MAX);
  outer->failed = outer->failed || read_end (&r) != ERROR_NONE;
}

int32_t
node_status_encode (TALLOC_CTX *ctx,
                    const struct NodeStatus *status,
                    uint8_t **bytes,
                    size_t *n_bytes)
{
  struct PackWriter *p = pack_writer_new (ctx, false);

  if (p == NULL)
    return ERROR_NO_MEMORY;
  pack_array (p, 1);
  node_status_pack (p, status);
  return pack_finish (p, ctx, bytes, n_bytes);
}

int32_t
node_status_decode (const uint8_t *bytes, size_t n_bytes, struct NodeStatus *status)
{
  struct PackReader r;
  void *opened = pack_open (NULL, bytes, n_bytes, &r);
  int32_t error;

  if (opened == NULL)
    return ERROR_INVALID;
  node_status_unpack (&r, status);
  error = read_end (&r);
  talloc_free (opened);
  return error;
}
