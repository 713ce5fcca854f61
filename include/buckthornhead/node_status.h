/* What one process says of itself, and how it is passed on by others.
 *
 * The process numbers its own statuses, so that a status that took a longer way never replaces a
 * newer one of the same start. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/settings.h>

#include <talloc.h>

struct NodeStatus
{
  char node[NAME_MAX_BYTES + 1];
  char zone[NAME_MAX_BYTES + 1];
  char peer_address[ADDRESS_MAX_BYTES + 1];
  char caller_address[ADDRESS_MAX_BYTES + 1]; /* "" for an archive */
  uint64_t start;                             /* of the process, unique among its starts */
  uint64_t version;                           /* grows with each change in one start */
  bool ready;                                 /* takes callers */
  bool leaving;                               /* a planned stop has begun */
  bool strained;                              /* its callers wait for its processor */
  bool reaches_archives;                      /* enough of them for turns, by its own links */
  bool complete;                              /* archives only: see TurnOpened */
  bool is_archive;
  uint64_t synced;         /* archives only: generation of a change for which it has copied all */
  uint64_t set_generation; /* of the newest set of archives that it knows */
  uint64_t config_version; /* gateways only */
};

/* Equal but for start and version. */
bool
node_status_says_the_same (const struct NodeStatus *a, const struct NodeStatus *b);

struct PackWriter;
struct PackReader;
/* One array. */
void
node_status_pack (struct PackWriter *p, const struct NodeStatus *status);
void
node_status_unpack (struct PackReader *outer, struct NodeStatus *status);

/* The same as bytes, which belong to ctx. ERROR_NO_MEMORY; ERROR_INVALID for anything malformed. */
int32_t
node_status_encode (TALLOC_CTX *ctx,
                    const struct NodeStatus *status,
                    uint8_t **bytes,
                    size_t *n_bytes);
int32_t
node_status_decode (const uint8_t *bytes, size_t n_bytes, struct NodeStatus *status);
