#include "node_directory.h"

#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

/* The role in the entry of a process, after its peer address. */
#define ROLE_ARCHIVE "archive"
#define ROLE_GATEWAY "gateway"

void
node_directory_entry (const struct NodeStatus *status, char value[NODE_ENTRY_BYTES])
{
  snprintf (value, NODE_ENTRY_BYTES, "%s %s %s", status->peer_address,
            status->is_archive ? ROLE_ARCHIVE : ROLE_GATEWAY, status->zone);
}

static void
take_set (struct Node *node, const struct SnapshotItem *item)
{
  struct ArchiveSet set;

  if (archive_set_decode (item->value, item->value_bytes, &set) == ERROR_NONE)
    node_adopt_set (node, &set);
  else
    log_event (LOG_LEVEL_ERROR, "archive_set_malformed", NULL,
               "run the same version on all instances", "%s", item->key);
}

/* Returns false if the entry is not the entry of a process. */
static bool
entry_read (const struct SnapshotItem *item, struct NodeStatus *status)
{
  const char *name = strrchr (item->key, '/');
  char value[NODE_ENTRY_BYTES], *address, *role, *zone, *rest;

  memset (status, 0, sizeof *status);
  if (name == NULL || item->value_bytes >= sizeof value)
    return false;
  memcpy (value, item->value, item->value_bytes);
  value[item->value_bytes] = '\0';
  address = strtok_r (value, " ", &rest);
  role = strtok_r (NULL, " ", &rest);
  zone = strtok_r (NULL, " ", &rest);
  if (address == NULL || role == NULL || strlen (address) > ADDRESS_MAX_BYTES
      || strlen (name + 1) > NAME_MAX_BYTES)
    return false;
  snprintf (status->node, sizeof status->node, "%s", name + 1);
  snprintf (status->peer_address, sizeof status->peer_address, "%s", address);
  snprintf (status->zone, sizeof status->zone, "%s", zone != NULL ? zone : "");
  status->is_archive = strcmp (role, ROLE_ARCHIVE) == 0;
  return true;
}

void
node_directory_take (struct Node *node, const struct Snapshot *snapshot)
{
  for (size_t i = 0; i < snapshot->n_items; i++)
    {
      const struct SnapshotItem *item = &snapshot->items[i];
      const char *name = strrchr (item->key, '/');
      struct NodeStatus status;

      if (name != NULL && strcmp (name, "/" ARCHIVE_SET_KEY) == 0)
        take_set (node, item);
      else if (entry_read (item, &status))
        node_add_peer (node, &status);
    }
  node_announce (node);
}

static void
snapshot_add_process (struct Snapshot *snapshot,
                      const struct Node *node,
                      const struct NodeStatus *status)
{
  struct SnapshotItem *item = &snapshot->items[snapshot->n_items];
  char *value = talloc_size (snapshot, NODE_ENTRY_BYTES);

  if (value == NULL)
    return;
  node_directory_entry (status, value);
  snprintf (item->key, sizeof item->key, "%snodes/%s", node->settings->prefix, status->node);
  item->value = (const uint8_t *)value;
  item->value_bytes = strlen (value);
  snapshot->n_items++;
}

static void
snapshot_add_set (struct Snapshot *snapshot, const struct Node *node)
{
  struct SnapshotItem *item = &snapshot->items[snapshot->n_items];
  uint8_t *bytes;

  if (node->set.generation == 0
      || archive_set_encode (snapshot, &node->set, &bytes, &item->value_bytes) != ERROR_NONE)
    return;
  snprintf (item->key, sizeof item->key, "%s%s", node->settings->prefix, ARCHIVE_SET_KEY);
  item->value = bytes;
  snapshot->n_items++;
}

struct Snapshot *
node_directory_snapshot (const struct Node *node, TALLOC_CTX *ctx)
{
  struct Snapshot *snapshot = talloc_zero (ctx, struct Snapshot);

  if (snapshot == NULL)
    return NULL;
  snapshot->kind = SNAPSHOT_NODES;
  snapshot->items = talloc_zero_array (snapshot, struct SnapshotItem, node->peers->n_peers + 1);
  if (snapshot->items == NULL)
    {
      talloc_free (snapshot);
      return NULL;
    }
  for (size_t i = 0; i < node->peers->n_peers; i++)
    snapshot_add_process (snapshot, node, &node->peers->peers[i]->status);
  snapshot_add_set (snapshot, node);
  return snapshot;
}
