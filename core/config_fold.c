#include "config_fold.h"

#include <buckthornhead/error.h>
#include <buckthornhead/log.h>
#include <buckthornhead/pack.h>

#include <stdio.h>
#include <string.h>

enum
{
  USED_IDS_KEPT = 1024,
  CHECKPOINT_VERSION = 1
};

struct ConfigFold *
config_fold_new (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, struct ConfigFold);
}

const struct ConfigObject *
config_fold_find (const struct ConfigFold *fold, enum ConfigChangeKind kind, const char *name)
{
  for (size_t i = 0; i < fold->n_objects; i++)
    if (fold->objects[i]->kind == kind && strcmp (fold->objects[i]->name, name) == 0)
      return fold->objects[i];
  return NULL;
}

uint64_t
config_fold_used (const struct ConfigFold *fold, const char *change_id)
{
  for (size_t i = fold->n_used; i-- > 0;)
    if (strcmp (fold->used[i].change_id, change_id) == 0)
      return fold->used[i].revision;
  return 0;
}

static int32_t
check_profile (const struct ConfigChange *change, struct Fault *fault)
{
  struct ConfigFaults *faults = talloc_zero (NULL, struct ConfigFaults);
  struct Profile profile;
  int32_t error = profile_parse (change->name, change->text, &profile, faults);

  if (faults->n_items > 0)
    fault_set (fault, ERROR_INVALID, faults->items[0].remedy, "profile %s, line %u, %s: %s",
               change->name, faults->items[0].line, faults->items[0].key, faults->items[0].message);
  else if (error == ERROR_NONE && strcmp (profile.name, change->name) != 0)
    error = fault_set (fault, ERROR_INVALID, "use the same name in both",
                       "the change names profile %s but its text names profile %s", change->name,
                       profile.name);
  talloc_free (faults);
  return error;
}

int32_t
config_fold_check (const struct ConfigFold *fold,
                   const struct ConfigChange *change,
                   struct Fault *fault)
{
  if (change->change_id[0] == '\0' || change->name[0] == '\0' || change->author[0] == '\0')
    return fault_set (fault, ERROR_INVALID, "send all three",
                      "a change needs an id, a name and an author");
  if (change->text == NULL || strlen (change->text) > CONFIG_TEXT_MAX_BYTES)
    return fault_set (fault, ERROR_INVALID, "send a text of at most 256 KB",
                      "the change has no text, or its text is too long");
  switch (change->kind)
    {
    case CONFIG_CHANGE_PROFILE:
      return check_profile (change, fault);
    case CONFIG_CHANGE_SERVICE:
      if (config_fold_find (fold, CONFIG_CHANGE_PROFILE, change->text) == NULL)
        return fault_set (fault, ERROR_INVALID, "create the profile first, or name another",
                          "service %s is assigned profile %.64s, which does not exist",
                          change->name, change->text);
      return ERROR_NONE;
    case CONFIG_CHANGE_DRAIN:
      if (strcmp (change->text, "on") != 0 && strcmp (change->text, "off") != 0)
        return fault_set (fault, ERROR_INVALID, "send on or off",
                          "the drain state of %s is neither on nor off", change->name);
      return ERROR_NONE;
    }
  return fault_set (fault, ERROR_INVALID, NULL, "unknown kind of change");
}

static struct ConfigObject *
fold_find_or_add_object (struct ConfigFold *fold, const struct ConfigChange *change)
{
  struct ConfigObject *object =
      (struct ConfigObject *)config_fold_find (fold, change->kind, change->name);

  if (object != NULL)
    return object;
  object = talloc_zero (fold, struct ConfigObject);
  object->kind = change->kind;
  snprintf (object->name, sizeof object->name, "%s", change->name);
  fold->objects = talloc_realloc (fold, fold->objects, struct ConfigObject *, fold->n_objects + 1);
  fold->objects[fold->n_objects++] = object;
  return object;
}

static void
fold_add_used_id (struct ConfigFold *fold, const char *change_id, uint64_t revision)
{
  struct ConfigUsedId *used = NULL;

  if (fold->n_used == USED_IDS_KEPT)
    memmove (fold->used, fold->used + 1, --fold->n_used * sizeof *fold->used);
  fold->used = talloc_realloc (fold, fold->used, struct ConfigUsedId, fold->n_used + 1);
  used = &fold->used[fold->n_used++];
  snprintf (used->change_id, sizeof used->change_id, "%s", change_id);
  used->revision = revision;
}

/* A profile that this version rejects is ignored and the object keeps its previous text. The
 * writer validated the profile, so this happens only while instances run different versions. */
static void
fold_set_object (struct ConfigFold *fold, const struct ConfigChange *change)
{
  struct ConfigObject *object = NULL;
  struct Profile profile = { 0 };

  if (change->kind == CONFIG_CHANGE_PROFILE
      && profile_parse (change->name, change->text, &profile, NULL) != ERROR_NONE)
    {
      log_event (LOG_LEVEL_ERROR, "config_change_not_understood", NULL,
                 "run the same version on all instances", "profile %s at revision %llu",
                 change->name, (unsigned long long)change->revision);
      return;
    }
  object = fold_find_or_add_object (fold, change);
  object->profile = profile;
  object->revision = change->revision;
  snprintf (object->changed_by, sizeof object->changed_by, "%s", change->author);
  talloc_free ((void *)object->text);
  object->text = talloc_strdup (object, change->text);
}

void
config_fold_apply (struct ConfigFold *fold, const struct ConfigChange *change)
{
  fold->revision++;
  if (change == NULL)
    return;
  fold_set_object (fold, change);
  fold_add_used_id (fold, change->change_id, change->revision);
}

static void
state_add (struct ConfigState *state, const struct ConfigObject *object)
{
  struct ConfigProfile *profile = NULL;
  struct ConfigService *service = NULL;

  switch (object->kind)
    {
    case CONFIG_CHANGE_PROFILE:
      profile = &state->profiles[state->n_profiles++];
      profile->profile = object->profile;
      profile->text = talloc_strdup (state, object->text);
      profile->revision = object->revision;
      break;
    case CONFIG_CHANGE_SERVICE:
      service = &state->services[state->n_services++];
      snprintf (service->name, sizeof service->name, "%s", object->name);
      snprintf (service->profile, sizeof service->profile, "%s", object->text);
      service->revision = object->revision;
      break;
    case CONFIG_CHANGE_DRAIN:
      if (strcmp (object->text, "on") == 0)
        snprintf (state->draining[state->n_draining++], NAME_MAX_BYTES + 1, "%s", object->name);
      break;
    }
}

struct ConfigState *
config_fold_state (const struct ConfigFold *fold, TALLOC_CTX *ctx)
{
  struct ConfigState *state = talloc_zero (ctx, struct ConfigState);

  state->revision = fold->revision;
  state->profiles = talloc_zero_array (state, struct ConfigProfile, fold->n_objects);
  state->services = talloc_zero_array (state, struct ConfigService, fold->n_objects);
  state->draining = talloc_zero_size (state, fold->n_objects * sizeof *state->draining);
  for (size_t i = 0; i < fold->n_objects; i++)
    state_add (state, fold->objects[i]);
  return state;
}

int32_t
config_fold_pack (const struct ConfigFold *fold, TALLOC_CTX *ctx, uint8_t **packed, size_t *n_bytes)
{
  struct PackWriter *writer = pack_writer_new (ctx, false);

  if (writer == NULL)
    return ERROR_NO_MEMORY;
  pack_array (writer, 4);
  pack_u64 (writer, CHECKPOINT_VERSION);
  pack_u64 (writer, fold->revision);
  pack_array (writer, fold->n_objects);
  for (size_t i = 0; i < fold->n_objects; i++)
    {
      const struct ConfigObject *object = fold->objects[i];

      pack_array (writer, 5);
      pack_u64 (writer, (uint64_t)object->kind);
      pack_string (writer, object->name);
      pack_string (writer, object->changed_by);
      pack_u64 (writer, object->revision);
      pack_bytes (writer, (const uint8_t *)object->text, strlen (object->text));
    }
  pack_array (writer, fold->n_used);
  for (size_t i = 0; i < fold->n_used; i++)
    {
      pack_array (writer, 2);
      pack_string (writer, fold->used[i].change_id);
      pack_u64 (writer, fold->used[i].revision);
    }
  return pack_finish (writer, ctx, packed, n_bytes);
}

static int32_t
fold_read_object (struct ConfigFold *fold, struct PackReader *list)
{
  struct PackReader reader;
  struct ConfigChange change = { 0 };
  const uint8_t *text = NULL;
  char *copy = NULL;
  size_t n_bytes = 0;

  read_array (list, &reader);
  change.kind = (enum ConfigChangeKind)read_u64 (&reader, CONFIG_CHANGE_DRAIN);
  read_string (&reader, change.name, sizeof change.name);
  read_string (&reader, change.author, sizeof change.author);
  change.revision = read_u64 (&reader, fold->revision);
  text = read_bytes (&reader, fold, &n_bytes);
  if (read_end (&reader) != ERROR_NONE || change.kind == 0 || text == NULL)
    return ERROR_INVALID;
  copy = talloc_strndup (fold, (const char *)text, n_bytes);
  change.text = copy;
  fold_set_object (fold, &change);
  talloc_free (copy);
  talloc_free ((void *)text);
  return ERROR_NONE;
}

static int32_t
fold_read_used_id (struct ConfigFold *fold, struct PackReader *list)
{
  struct PackReader reader;
  char change_id[NAME_MAX_BYTES + 1];
  uint64_t revision = 0;

  read_array (list, &reader);
  read_string (&reader, change_id, sizeof change_id);
  revision = read_u64 (&reader, fold->revision);
  if (read_end (&reader) != ERROR_NONE)
    return ERROR_INVALID;
  fold_add_used_id (fold, change_id, revision);
  return ERROR_NONE;
}

int32_t
config_fold_unpack (TALLOC_CTX *ctx,
                    const uint8_t *packed,
                    size_t n_bytes,
                    struct ConfigFold **fold)
{
  struct ConfigFold *unpacked = config_fold_new (ctx);
  struct PackReader reader, objects, used;
  void *document = pack_open (unpacked, packed, n_bytes, &reader);
  int32_t error = ERROR_INVALID;

  if (document == NULL || read_u64 (&reader, CHECKPOINT_VERSION) != CHECKPOINT_VERSION)
    goto out;
  unpacked->revision = read_u64 (&reader, UINT64_MAX);
  read_array (&reader, &objects);
  read_array (&reader, &used);
  error = read_end (&reader);
  for (size_t i = 0; error == ERROR_NONE && i < objects.n_items; i++)
    error = fold_read_object (unpacked, &objects);
  for (size_t i = 0; error == ERROR_NONE && i < used.n_items; i++)
    error = fold_read_used_id (unpacked, &used);

out:
  talloc_free (document);
  if (error == ERROR_NONE)
    *fold = unpacked;
  else
    talloc_free (unpacked);
  return error;
}
