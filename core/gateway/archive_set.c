#include <buckthornhead/archive_set.h>

#include <buckthornhead/error.h>
#include <buckthornhead/pack.h>
#include <buckthornhead/turn_quorum.h>

#include <stdio.h>
#include <string.h>

static bool
name_in (const char (*names)[NAME_MAX_BYTES + 1], size_t n, const char *name)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (names[i], name) == 0)
      return true;
  return false;
}

bool
archive_set_has (const struct ArchiveSet *set, const char *name)
{
  return name_in ((const char (*)[NAME_MAX_BYTES + 1]) set->members, set->n_members, name);
}

/* Members that stay through the change; all of them when there is none. */
static bool
set_all_staying (const struct ArchiveSet *set, const char (*names)[NAME_MAX_BYTES + 1], size_t n)
{
  for (uint32_t i = 0; i < set->n_members; i++)
    if (strcmp (set->members[i], set->joining) != 0 && !name_in (names, n, set->members[i]))
      return false;
  return true;
}

static uint32_t
set_count (const struct ArchiveSet *set, const char (*names)[NAME_MAX_BYTES + 1], size_t n)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < set->n_members; i++)
    count += name_in (names, n, set->members[i]);
  return count;
}

bool
archive_set_is_written (const struct ArchiveSet *set,
                        uint32_t tolerated,
                        const char (*names)[NAME_MAX_BYTES + 1],
                        size_t n)
{
  if (set->generation == 0)
    return false;
  if (set->changing)
    return set_all_staying (set, names, n);
  return set_count (set, names, n) >= archive_quorum (set->n_members, tolerated).write;
}

bool
archive_set_is_read (const struct ArchiveSet *set,
                     uint32_t tolerated,
                     const char (*names)[NAME_MAX_BYTES + 1],
                     size_t n)
{
  if (set->generation == 0)
    return false;
  if (set->changing)
    return set_all_staying (set, names, n);
  return set_count (set, names, n) >= archive_quorum (set->n_members, tolerated).read;
}

static void
set_add (struct ArchiveSet *set, const char *name)
{
  if (name[0] == '\0' || archive_set_has (set, name) || set->n_members == ARCHIVE_SET_MAX)
    return;
  snprintf (set->members[set->n_members++], NAME_MAX_BYTES + 1, "%s", name);
}

static void
set_remove (struct ArchiveSet *set, const char *name)
{
  for (uint32_t i = 0; i < set->n_members; i++)
    if (strcmp (set->members[i], name) == 0)
      {
        set->n_members--;
        memmove (set->members[i], set->members[set->n_members], sizeof set->members[i]);
        return;
      }
}

struct ArchiveSet
archive_set_first (const struct ArchiveSet *set, const char *name)
{
  struct ArchiveSet next = *set;

  next.generation++;
  set_add (&next, name);
  return next;
}

struct ArchiveSet
archive_set_change (const struct ArchiveSet *set, const char *joining, const char *leaving)
{
  struct ArchiveSet next = *set;

  next.generation++;
  next.changing = true;
  snprintf (next.joining, sizeof next.joining, "%s", joining);
  snprintf (next.leaving, sizeof next.leaving, "%s", leaving);
  set_remove (&next, leaving);
  set_add (&next, joining);
  return next;
}

struct ArchiveSet
archive_set_settle (const struct ArchiveSet *set)
{
  struct ArchiveSet next = *set;

  next.generation++;
  next.changing = false;
  next.joining[0] = '\0';
  next.leaving[0] = '\0';
  return next;
}

void
archive_set_pack (struct PackWriter *p, const struct ArchiveSet *set)
{
  pack_array (p, 5);
  pack_u64 (p, set->generation);
  pack_bool (p, set->changing);
  pack_string (p, set->joining);
  pack_string (p, set->leaving);
  pack_array (p, set->n_members);
  for (uint32_t i = 0; i < set->n_members; i++)
    pack_string (p, set->members[i]);
}

void
archive_set_unpack (struct PackReader *outer, struct ArchiveSet *set)
{
  struct PackReader r, members;

  memset (set, 0, sizeof *set);
  read_array (outer, &r);
  set->generation = read_u64 (&r, UINT64_MAX);
  set->changing = read_bool (&r);
  read_string (&r, set->joining, sizeof set->joining);
  read_string (&r, set->leaving, sizeof set->leaving);
  read_array (&r, &members);
  if (members.n_items > ARCHIVE_SET_MAX)
    members.failed = true;
  for (size_t i = 0; i < members.n_items && !members.failed; i++)
    read_string (&members, set->members[set->n_members++], NAME_MAX_BYTES + 1);
  outer->failed = outer->failed || members.failed || read_end (&r) != ERROR_NONE;
}

uint64_t
archive_set_oldest (const struct ArchiveSet *set)
{
  return set->changing || set->generation == 0 ? set->generation : set->generation - 1;
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
