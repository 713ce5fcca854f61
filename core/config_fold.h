/* The configuration as a fold over its changes: the state in force and the validation of further
 * changes.
 *
 * The revision only increases: by one change at a time, or by loading a newer checkpoint. */
#pragma once

#include "config_entry.h"

/* A change id and the revision that it was applied at. */
struct ConfigUsedId
{
  char change_id[NAME_MAX_BYTES + 1];
  uint64_t revision;
};

/* A profile, a service's profile or an instance's drain state, as of its last change. */
struct ConfigObject
{
  enum ConfigChangeKind kind;
  char name[NAME_MAX_BYTES + 1];
  char changed_by[NAME_MAX_BYTES + 1];
  uint64_t revision;
  const char *text;
  struct Profile profile; /* for CONFIG_CHANGE_PROFILE only */
};

struct ConfigFold
{
  uint64_t revision;
  struct ConfigObject **objects;
  size_t n_objects;
  struct ConfigUsedId *used; /* the most recent ones, oldest first */
  size_t n_used;
};

struct ConfigFold *
config_fold_new (TALLOC_CTX *ctx);

const struct ConfigObject *
config_fold_find (const struct ConfigFold *fold, enum ConfigChangeKind kind, const char *name);

/* Returns the revision that change_id was applied at; 0 if it is not among the recent ones. */
uint64_t
config_fold_used (const struct ConfigFold *fold, const char *change_id);

/* Returns ERROR_INVALID and fills in fault when the change is not valid in the current state. */
int32_t
config_fold_check (const struct ConfigFold *fold,
                   const struct ConfigChange *change,
                   struct Fault *fault);

/* Returns ERROR_CONFLICT when the object is not at the change's expected revision. The fault names
 * both revisions, the author of the last change and the keys that differ. */
int32_t
config_fold_conflict (const struct ConfigFold *fold,
                      const struct ConfigChange *change,
                      struct Fault *fault);

/* Applies change number fold->revision + 1. NULL means a change that this version cannot
 * read: it has no effect but increases the revision. */
void
config_fold_apply (struct ConfigFold *fold, const struct ConfigChange *change);

/* Returns the state to publish; belongs to ctx. */
struct ConfigState *
config_fold_state (const struct ConfigFold *fold, TALLOC_CTX *ctx);

/* Packs the fold as a checkpoint, and unpacks it. */
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
