#include <buckthornhead/archive_set.h>

#include <buckthornhead/error.h>
#include <buckthornhead/pack.h>
#include <buckthornhead/turn_quorum.h>

#include <stdio.h>
#include <string.h>

bool
archive_names_have (const struct ArchiveNames *names, const char *name)
{
  for (uint32_t i = 0; i < names->n; i++)
    if (strcmp (names->names[i], name) == 0)
      return true;
  return false;
}

void
archive_names_add (struct ArchiveNames *names, const char *name)
{
  if (name[0] == '\0' || archive_names_have (names, name) || names->n == ARCHIVE_SET_MAX)
    return;
  snprintf (names->names[names->n++], NAME_MAX_BYTES + 1, "%s", name);
}

static void
names_remove (struct ArchiveNames *names, const char *name)
{
  for (uint32_t i = 0; i < names->n; i++)
    if (strcmp (names->names[i], name) == 0)
      {
        names->n--;
        memmove (names->names[i], names->names[names->n], sizeof names->names[i]);
        return;
      }
}

static uint32_t
names_count_shared (const struct ArchiveNames *a, const struct ArchiveNames *b)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < a->n; i++)
    n += archive_names_have (b, a->names[i]);
  return n;
}

bool
archive_set_has (const struct ArchiveSet *set, const char *name)
{
  return archive_names_have (&set->members, name);
}

struct ArchiveNames
archive_set_targets (const struct ArchiveSet *set)
{
  struct ArchiveNames queried = set->members;

  if (set->stage != ARCHIVE_STAGE_STABLE)
    for (uint32_t i = 0; i < set->former.n; i++)
      archive_names_add (&queried, set->former.names[i]);
  return queried;
}

static bool
names_meet_write_quorum (const struct ArchiveNames *set,
                         uint32_t tolerated,
                         const struct ArchiveNames *names)
{
  return names_count_shared (set, names) >= archive_quorum (set->n, tolerated).write;
}

static bool
names_meet_read_quorum (const struct ArchiveNames *set,
                        uint32_t tolerated,
                        const struct ArchiveNames *names)
{
  return names_count_shared (set, names) >= archive_quorum (set->n, tolerated).read;
}

bool
archive_set_is_written (const struct ArchiveSet *set,
                        uint32_t tolerated,
                        const struct ArchiveNames *names)
{
  switch (set->stage)
    {
    case ARCHIVE_STAGE_STABLE:
      return set->generation > 0 && names_meet_write_quorum (&set->members, tolerated, names);
    case ARCHIVE_STAGE_STARTING:
    case ARCHIVE_STAGE_ENDING:
      return names_meet_write_quorum (&set->members, tolerated, names)
             && names_meet_write_quorum (&set->former, tolerated, names);
    }
  return false;
}

bool
archive_set_is_read (const struct ArchiveSet *set,
                     uint32_t tolerated,
                     const struct ArchiveNames *names)
{
  switch (set->stage)
    {
    case ARCHIVE_STAGE_STABLE:
      return set->generation > 0 && names_meet_read_quorum (&set->members, tolerated, names);
    case ARCHIVE_STAGE_STARTING:
      return names_meet_read_quorum (&set->former, tolerated, names);
    case ARCHIVE_STAGE_ENDING:
      return names_meet_read_quorum (&set->members, tolerated, names)
             && names_meet_read_quorum (&set->former, tolerated, names);
    }
  return false;
}

bool
archive_set_is_copied (const struct ArchiveSet *set,
                       uint32_t tolerated,
                       const struct ArchiveNames *names)
{
  const struct ArchiveNames *from =
      set->stage == ARCHIVE_STAGE_STABLE ? &set->members : &set->former;

  return set->generation > 0 && names_meet_read_quorum (from, tolerated, names);
}

bool
archive_set_is_fenced (const struct ArchiveSet *set,
                       uint32_t tolerated,
                       const struct ArchiveNames *names)
{
  return set->stage == ARCHIVE_STAGE_ENDING
         && names_meet_read_quorum (&set->members, tolerated, names)
         && names_meet_read_quorum (&set->former, tolerated, names);
}

bool
archive_set_may_shrink (const struct ArchiveSet *set, uint32_t tolerated)
{
  return set->members.n > tolerated + 1;
}

uint64_t
archive_set_oldest_generation (const struct ArchiveSet *set)
{
  return set->stage == ARCHIVE_STAGE_STABLE && set->generation > 0 ? set->generation - 1
                                                                   : set->generation;
}

/* With 2t + 1 members both quorums are t + 1: any t members may be unavailable for reads and
 * writes alike. */
uint32_t
archive_set_target_size (uint32_t tolerated)
{
  return 2 * tolerated + 1;
}

struct ArchiveSet
archive_set_first (const struct ArchiveSet *set, const char *name)
{
  struct ArchiveSet next = *set;

  next.generation++;
  archive_names_add (&next.members, name);
  return next;
}

struct ArchiveSet
archive_set_change (const struct ArchiveSet *set, const char *joining, const char *leaving)
{
  struct ArchiveSet next = *set;

  next.generation++;
  next.stage = ARCHIVE_STAGE_STARTING;
  next.former = set->members;
  names_remove (&next.members, leaving);
  archive_names_add (&next.members, joining);
  return next;
}

/* Returns the first of names that is not in others; "" if there is none. */
static const char *
names_find_missing (const struct ArchiveNames *names, const struct ArchiveNames *others)
{
  for (uint32_t i = 0; i < names->n; i++)
    if (!archive_names_have (others, names->names[i]))
      return names->names[i];
  return "";
}

const char *
archive_set_joining (const struct ArchiveSet *set)
{
  return set->stage != ARCHIVE_STAGE_STABLE ? names_find_missing (&set->members, &set->former) : "";
}

const char *
archive_set_leaving (const struct ArchiveSet *set)
{
  return set->stage != ARCHIVE_STAGE_STABLE ? names_find_missing (&set->former, &set->members) : "";
}

struct ArchiveSet
archive_set_rejoin (const struct ArchiveSet *set, const char *joining)
{
  struct ArchiveSet next = *set;

  next.generation++;
  names_remove (&next.members, archive_set_joining (set));
  archive_names_add (&next.members, joining);
  return next;
}

struct ArchiveSet
archive_set_abort (const struct ArchiveSet *set)
{
  struct ArchiveSet next = *set;

  next.generation++;
  next.stage = ARCHIVE_STAGE_STABLE;
  next.members = set->former;
  next.former.n = 0;
  return next;
}

struct ArchiveSet
archive_set_advance (const struct ArchiveSet *set)
{
  struct ArchiveSet next = *set;

  next.generation++;
  if (set->stage == ARCHIVE_STAGE_STARTING)
    {
      next.stage = ARCHIVE_STAGE_ENDING;
      return next;
    }
  next.stage = ARCHIVE_STAGE_STABLE;
  next.former.n = 0;
  return next;
}

bool
archive_set_step (const struct ArchiveSet *stored,
                  const struct ArchiveStep *step,
                  uint32_t tolerated,
                  struct ArchiveSet *next)
{
  bool is_current = stored->generation == step->generation;

  switch (step->kind)
    {
    case ARCHIVE_STEP_FIRST:
      *next = archive_set_first (stored, step->joining);
      return stored->stage == ARCHIVE_STAGE_STABLE && !archive_set_has (stored, step->joining)
             && stored->members.n < archive_set_target_size (tolerated);
    case ARCHIVE_STEP_CHANGE:
      *next = archive_set_change (stored, step->joining, step->leaving);
      return is_current && stored->stage == ARCHIVE_STAGE_STABLE;
    case ARCHIVE_STEP_REJOIN:
      *next = archive_set_rejoin (stored, step->joining);
      return is_current && stored->stage == ARCHIVE_STAGE_STARTING;
    case ARCHIVE_STEP_ABORT:
      *next = archive_set_abort (stored);
      return is_current && stored->stage == ARCHIVE_STAGE_STARTING;
    case ARCHIVE_STEP_ADVANCE:
      *next = archive_set_advance (stored);
      return is_current && stored->stage != ARCHIVE_STAGE_STABLE;
    }
  return false;
}

static void
names_pack (struct PackWriter *p, const struct ArchiveNames *names)
{
  pack_array (p, names->n);
  for (uint32_t i = 0; i < names->n; i++)
    pack_string (p, names->names[i]);
}

static void
names_unpack (struct PackReader *outer, struct ArchiveNames *names)
{
  struct PackReader r;

  read_array (outer, &r);
  if (r.n_items > ARCHIVE_SET_MAX)
    r.failed = true;
  for (size_t i = 0; i < r.n_items && !r.failed; i++)
    read_string (&r, names->names[names->n++], NAME_MAX_BYTES + 1);
  outer->failed = outer->failed || r.failed;
}

void
archive_set_pack (struct PackWriter *p, const struct ArchiveSet *set)
{
  pack_array (p, 4);
  pack_u64 (p, set->generation);
  pack_u64 (p, set->stage);
  names_pack (p, &set->members);
  names_pack (p, &set->former);
}

void
archive_set_unpack (struct PackReader *outer, struct ArchiveSet *set)
{
  struct PackReader r;

  memset (set, 0, sizeof *set);
  read_array (outer, &r);
  set->generation = read_u64 (&r, UINT64_MAX);
  set->stage = (enum ArchiveStage)read_u64 (&r, ARCHIVE_STAGE_ENDING);
  names_unpack (&r, &set->members);
  names_unpack (&r, &set->former);
  outer->failed = outer->failed || read_end (&r) != ERROR_NONE;
}

int32_t
archive_set_encode (TALLOC_CTX *ctx, const struct ArchiveSet *set, uint8_t **bytes, size_t *n_bytes)
{
  struct PackWriter *p = pack_writer_new (ctx, false);

  if (p == NULL)
    return ERROR_NO_MEMORY;
  pack_array (p, 1);
  archive_set_pack (p, set);
  return pack_finish (p, ctx, bytes, n_bytes);
}

int32_t
archive_set_decode (const uint8_t *bytes, size_t n_bytes, struct ArchiveSet *set)
{
  struct PackReader r;
  void *opened = pack_open (NULL, bytes, n_bytes, &r);
  int32_t error;

  if (opened == NULL)
    return ERROR_INVALID;
  archive_set_unpack (&r, set);
  error = read_end (&r);
  talloc_free (opened);
  return error;
}
