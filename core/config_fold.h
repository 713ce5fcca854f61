/* The configuration as the fold of its changes: what is in force, and what a change may do to it.
 *
 * The fold only goes forward: one change after the other, or to a checkpoint of a higher
 * revision. */
#pragma once

#include "config_entry.h"

/* A change id that was used. */
struct ConfigUsedId
{
  char change_id[NAME_MAX_BYTES + 1];
  uint64_t revision;
};

/* A profile, a service or an instance that drains: what its last change made of it. */
struct ConfigObject
{
  enum ConfigChangeKind kind;
  char name[NAME_MAX_BYTES + 1];
  char who[NAME_MAX_BYTES + 1];
  uint64_t revision;
  const char *text;
  struct Profile profile; /* of CONFIG_CHANGE_PROFILE */
};

struct ConfigFold
{
  uint64_t revision;
  struct ConfigObject **objects;
  size_t n_objects;
  struct ConfigUsedId *used; /* the last ones, oldest first */
  size_t n_used;
};

struct ConfigFold *
config_fold_new (TALLOC_CTX *ctx);

const struct ConfigObject *
config_fold_find (const struct ConfigFold *fold, enum ConfigChangeKind kind, const char *name);

/* Revision at which change_id was used, 0 if not among the last ones. */
uint64_t
config_fold_used (const struct ConfigFold *fold, const char *change_id);

/* ERROR_INVALID with the remedy when the change makes no sense now. */
int32_t
config_fold_check (const struct ConfigFold *fold,
                   const struct ConfigChange *change,
                   struct Fault *fault);

/* ERROR_CONFLICT when the object is not at the revision that the change's editor saw: the fault
 * names both revisions, who changed it and which keys differ. */
int32_t
config_fold_conflict (const struct ConfigFold *fold,
                      const struct ConfigChange *change,
                      struct Fault *fault);

/* Takes change number fold->revision + 1 in; NULL for one that this version can not read: it has
 * no effect and still counts. */
void
config_fold_take (struct ConfigFold *fold, const struct ConfigChange *change);

/* The state as published. */
struct ConfigState *
config_fold_state (const struct ConfigFold *fold, TALLOC_CTX *ctx);

/* The fold as a checkpoint, and back. */
int32_t
config_fold_pack (const struct ConfigFold *fold,
                  TALLOC_CTX *ctx,
                  uint8_t **packed,
                  size_t *n_bytes);
int32_t
config_fold_unpack (TALLOC_CTX *ctx,
                    const uint8_t *packed,
                    size_t n_bytes,
                    struct ConfigFold **fold);
