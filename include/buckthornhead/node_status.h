/* The status of a process, as it reports it and as other processes forward it.
 *
 * The process numbers its statuses, so that one that arrives late over a longer path never replaces
 * a newer one from the same start. */
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
  uint64_t start;                             /* id of this start of the process */
  uint64_t version;                           /* increases with each change within one start */
  bool ready;                                 /* accepts calls */
  bool leaving;                               /* a planned stop has begun */
  bool overloaded;                            /* calls are delayed by its processor */
  bool reaches_archives;                      /* has direct links to enough archives for turns */
  bool complete;                              /* archives only: see TurnOpened */
  bool is_archive;
  uint64_t synced;         /* archives only: last generation for which its copy is complete */
  uint64_t set_generation; /* of the newest set of archives that it has */
  uint64_t config_version; /* gateways only */
};

/* Returns true if the statuses differ in node, start and version at most. */
bool
node_status_is_equal (const struct NodeStatus *a, const struct NodeStatus *b);

struct PackWriter;
struct PackReader;
/* Pack and unpack a status as one array. */
void
node_status_pack (struct PackWriter *p, const struct NodeStatus *status);
void
node_status_unpack (struct PackReader *outer, struct NodeStatus *status);

/* Encode and decode a status as bytes, which belong to ctx. Fail with ERROR_NO_MEMORY, or with
 * ERROR_INVALID when the bytes are malformed. */
int32_t
node_status_encode (TALLOC_CTX *ctx,
                    const struct NodeStatus *status,
                    uint8_t **bytes,
                    size_t *n_bytes);
int32_t
node_status_decode (const uint8_t *bytes, size_t n_bytes, struct NodeStatus *status);
