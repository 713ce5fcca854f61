#include "disk_frame.h"

#include <buckthornhead/spool.h>

#include <buckthornhead/disk_folder.h>
#include <buckthornhead/log.h>
#include <buckthornhead/pack.h>

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include <xxhash.h>

static const char file_prefix[] = "spool-";
static const char id_file[] = "disk-id";

/* Number of the entry that seals a file: its writer's later records are refused. */
static const uint64_t seal_number = UINT64_MAX;

enum
{
  ENTRY_ITEMS = 3,
  WRITER_MAX_BYTES = 128,
  SPOOL_ID_BYTES = 32 /* hexadecimal digits */
};

struct SpoolEntry
{
  uint64_t number;
  uint8_t *record;
  size_t n_bytes;
  bool durable;
};

struct SpoolFile
{
  struct SpoolFile *next;
  char writer[WRITER_MAX_BYTES];
  char *path;
  int fd;
  bool dirty;
  off_t durable_bytes; /* length of the durable, whole part of the file */
  off_t whole_bytes;   /* length of the whole part, durable or not: the next record goes there */
  bool torn;           /* the file may have more bytes than its whole part */
  struct SpoolEntry *entries;
  size_t n_entries, n_dropped; /* the first n_dropped entries are dropped */
};

struct Spool
{
  char *folder;
  char id[SPOOL_ID_BYTES + 1];
  bool named; /* the names in the folder are durable */
  struct SpoolFile *files;
};

static uint64_t
entry_checksum (uint64_t number, const uint8_t *record, size_t n_bytes)
{
  return XXH64 (record, n_bytes, number);
}

static int
spool_file_free (struct SpoolFile *file)
{
  if (file->fd >= 0)
    close (file->fd);
  return 0;
}

static struct SpoolFile *
spool_file_find (const struct Spool *spool, const char *writer)
{
  for (struct SpoolFile *f = spool->files; f != NULL; f = f->next)
    if (strcmp (f->writer, writer) == 0)
      return f;
  return NULL;
}

static int32_t
spool_file_add_entry (struct SpoolFile *file,
                      uint64_t number,
                      const uint8_t *record,
                      size_t n_bytes)
{
  struct SpoolEntry *entries =
      talloc_realloc (file, file->entries, struct SpoolEntry, file->n_entries + 1);
  struct SpoolEntry *entry;

  if (entries == NULL)
    return ERROR_NO_MEMORY;
  file->entries = entries;
  entry = &entries[file->n_entries];
  entry->number = number;
  entry->n_bytes = n_bytes;
  entry->durable = false;
  entry->record = talloc_memdup (file, record, n_bytes);
  if (entry->record == NULL)
    return ERROR_NO_MEMORY;
  file->n_entries++;
  return ERROR_NONE;
}

/* Decodes and adds one entry of a file. Returns false when it is malformed or its checksum is
 * wrong. */
static bool
spool_file_load_entry (struct SpoolFile *file, const msgpack_object *object)
{
  const msgpack_object *items;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != ENTRY_ITEMS)
    return false;
  items = object->via.array.ptr;
  if (items[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER || items[1].type != MSGPACK_OBJECT_BIN
      || items[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  if (entry_checksum (items[0].via.u64, (const uint8_t *)items[1].via.bin.ptr,
                      items[1].via.bin.size)
      != items[2].via.u64)
    return false;
  return spool_file_add_entry (file, items[0].via.u64, (const uint8_t *)items[1].via.bin.ptr,
                               items[1].via.bin.size)
         == ERROR_NONE;
}

/* Loads the whole entries of the file and cuts off the rest. */
static int32_t
spool_file_load (struct SpoolFile *file)
{
  size_t n_bytes, at = 0;
  char *content = (char *)disk_file_read (file, file->path, &n_bytes);
  msgpack_unpacked unpacked;

  if (content == NULL)
    return ERROR_IO;
  msgpack_unpacked_init (&unpacked);
  while (msgpack_unpack_next (&unpacked, content, n_bytes, &at) == MSGPACK_UNPACK_SUCCESS
         && spool_file_load_entry (file, &unpacked.data))
    {
      file->durable_bytes = (off_t)at;
      file->entries[file->n_entries - 1].durable = true;
    }
  msgpack_unpacked_destroy (&unpacked);
  talloc_free (content);
  file->whole_bytes = file->durable_bytes;
  if (file->durable_bytes == (off_t)n_bytes)
    return ERROR_NONE;
  log_event (LOG_LEVEL_WARNING, "spool_torn", NULL,
             "no action needed: the rest was never acknowledged and is cut off",
             "%s: %lld of %zu bytes are whole", file->path, (long long)file->durable_bytes,
             n_bytes);
  return disk_folder_cut (file->fd, file->durable_bytes);
}

static struct SpoolFile *
spool_file_new (struct Spool *spool, const char *writer)
{
  struct SpoolFile *file;

  if (strlen (writer) >= WRITER_MAX_BYTES || strchr (writer, '/') != NULL)
    return NULL;
  file = talloc_zero (spool, struct SpoolFile);
  if (file == NULL)
    return NULL;
  snprintf (file->writer, sizeof file->writer, "%s", writer);
  file->path = talloc_asprintf (file, "%s/%s%s", spool->folder, file_prefix, writer);
  file->fd = disk_folder_create (file->path, O_RDWR);
  spool->named = false;
  talloc_set_destructor (file, spool_file_free);
  if (file->fd < 0 || spool_file_load (file) != ERROR_NONE)
    {
      talloc_free (file);
      return NULL;
    }
  file->next = spool->files;
  spool->files = file;
  return file;
}

const char *
spool_id (const struct Spool *spool)
{
  return spool->id;
}

/* Returns whether id is whole. A torn one was never passed on: it is not durable. */
static bool
id_is_whole (const uint8_t *id, size_t n_bytes)
{
  size_t n = 0;

  while (n < n_bytes && id[n] != '\0' && strchr ("0123456789abcdef", id[n]) != NULL)
    n++;
  return n >= SPOOL_ID_BYTES;
}

/* Generates an id and writes it to the file. */
static bool
spool_create_id (struct Spool *spool, int fd)
{
  uint64_t bits[2];

  if (getrandom (bits, sizeof bits, 0) != sizeof bits)
    return false;
  snprintf (spool->id, sizeof spool->id, "%016" PRIx64 "%016" PRIx64, bits[0], bits[1]);
  return disk_file_write (fd, (const uint8_t *)spool->id, SPOOL_ID_BYTES);
}

/* Loads the disk's id, or generates one, and makes its content durable. */
static bool
spool_load_or_create_id (struct Spool *spool)
{
  char *path = talloc_asprintf (spool, "%s/%s", spool->folder, id_file);
  int fd = disk_folder_create (path, O_WRONLY);
  size_t n_bytes;
  uint8_t *id = fd >= 0 ? disk_file_read (spool, path, &n_bytes) : NULL;
  bool stored = false;

  if (id != NULL && id_is_whole (id, n_bytes))
    {
      memcpy (spool->id, id, SPOOL_ID_BYTES);
      stored = true;
    }
  else if (id != NULL)
    stored = spool_create_id (spool, fd);
  stored = stored && disk_folder_sync_file (fd) == ERROR_NONE;
  if (fd >= 0)
    close (fd);
  talloc_free (id);
  talloc_free (path);
  return stored;
}

int32_t
spool_open (TALLOC_CTX *ctx, const char *folder, struct Spool **opened, struct Fault *fault)
{
  struct Spool *spool = talloc_zero (ctx, struct Spool);
  struct dirent *item;
  DIR *listing = NULL;

  *opened = NULL;
  spool->folder = talloc_strdup (spool, folder);
  if (disk_folder_make (folder) != ERROR_NONE)
    goto fail;
  if (!spool_load_or_create_id (spool))
    goto fail;
  listing = opendir (folder);
  if (listing == NULL)
    goto fail;
  while ((item = readdir (listing)) != NULL)
    if (strncmp (item->d_name, file_prefix, strlen (file_prefix)) == 0
        && spool_file_new (spool, item->d_name + strlen (file_prefix)) == NULL)
      goto fail;
  /* A process that was killed leaves names and records that a power failure can still undo. */
  for (struct SpoolFile *f = spool->files; f != NULL; f = f->next)
    f->dirty = true;
  if (spool_sync (spool) != ERROR_NONE)
    goto fail;
  closedir (listing);
  *opened = spool;
  return ERROR_NONE;

fail:
  fault_set (fault, error_from_errno (errno), "check [instance] data_folder and its permissions",
             "cannot open the spool in %s: %s", folder, strerror (errno));
  if (listing != NULL)
    closedir (listing);
  talloc_free (spool);
  return fault->error;
}

/* Cuts off what a failed write left behind the whole part. Returns false if the disk refuses. */
static bool
spool_file_cut_torn (struct SpoolFile *file)
{
  if (file->torn && disk_folder_cut (file->fd, file->whole_bytes) != ERROR_NONE)
    return false;
  file->torn = false;
  return true;
}

/* A record must never follow a torn one: at the next start it would be cut off with it. */
static int32_t
spool_file_write (struct SpoolFile *file, uint64_t number, const uint8_t *record, size_t n_bytes)
{
  struct PackWriter *writer;
  uint8_t *packed = NULL;
  size_t packed_bytes = 0;
  int32_t error;

  if (!spool_file_cut_torn (file))
    return ERROR_IO;
  writer = pack_writer_new (file, false);
  if (writer == NULL)
    return ERROR_NO_MEMORY;
  pack_array (writer, ENTRY_ITEMS);
  pack_u64 (writer, number);
  pack_bytes (writer, record, n_bytes);
  pack_u64 (writer, entry_checksum (number, record, n_bytes));
  error = pack_finish (writer, file, &packed, &packed_bytes);
  if (error != ERROR_NONE)
    return error;
  if (lseek (file->fd, file->whole_bytes, SEEK_SET) == file->whole_bytes
      && disk_file_write (file->fd, packed, packed_bytes))
    file->whole_bytes += (off_t)packed_bytes;
  else
    {
      error = ERROR_IO;
      file->torn = true;
      spool_file_cut_torn (file);
    }
  talloc_free (packed);
  return error;
}

static bool
spool_file_is_sealed (const struct SpoolFile *file)
{
  return file->n_entries > 0 && file->entries[file->n_entries - 1].number == seal_number;
}

int32_t
spool_put (
    struct Spool *spool, const char *writer, uint64_t number, const uint8_t *record, size_t n_bytes)
{
  struct SpoolFile *file = spool_file_find (spool, writer);
  int32_t error;

  if (file == NULL)
    file = spool_file_new (spool, writer);
  if (file == NULL)
    return ERROR_IO;
  if (spool_file_is_sealed (file))
    return ERROR_FENCED;
  if (file->n_entries > 0 && file->entries[file->n_entries - 1].number >= number)
    return ERROR_NONE;
  error = spool_file_write (file, number, record, n_bytes);
  file->dirty = true;
  return error == ERROR_NONE ? spool_file_add_entry (file, number, record, n_bytes) : error;
}

int32_t
spool_seal (struct Spool *spool, const char *writer)
{
  /* A former home that was paused may still send records after its successor has read the spools. A
   * record is acknowledged once two disks hold it. With all disks but one sealed, each pair
   * includes a sealed one, so no such record can be acknowledged. */
  int32_t error = spool_put (spool, writer, seal_number, NULL, 0);

  /* An earlier seal counts only once it is durable. */
  if (error != ERROR_NONE && error != ERROR_FENCED)
    return error;
  return spool_sync (spool);
}

/* Cuts off the records since the last sync, which may or may not be on the disk, so that no later
 * record follows a torn one. */
static void
spool_file_truncate_unsynced (struct SpoolFile *file)
{
  file->whole_bytes = file->durable_bytes;
  file->torn = true;
  if (!spool_file_cut_torn (file))
    log_event (LOG_LEVEL_ERROR, "spool_failed", NULL, "replace the instance: its disk is failing",
               "%s", file->path);
  while (file->n_entries > 0 && !file->entries[file->n_entries - 1].durable)
    file->n_entries--;
  if (file->n_dropped > file->n_entries)
    file->n_dropped = file->n_entries;
}

static void
spool_file_set_durable (struct SpoolFile *file)
{
  file->dirty = false;
  file->durable_bytes = file->whole_bytes;
  for (size_t i = 0; i < file->n_entries; i++)
    file->entries[i].durable = true;
}

int32_t
spool_sync (struct Spool *spool)
{
  int32_t error = ERROR_NONE;

  for (struct SpoolFile *f = spool->files; f != NULL; f = f->next)
    if (f->dirty && disk_folder_sync_file (f->fd) != ERROR_NONE)
      {
        error = ERROR_IO;
        f->dirty = false;
        spool_file_truncate_unsynced (f);
      }
  spool->named = spool->named || disk_folder_sync (spool->folder) == ERROR_NONE;
  if (!spool->named)
    return ERROR_IO;
  for (struct SpoolFile *f = spool->files; f != NULL; f = f->next)
    if (f->dirty)
      spool_file_set_durable (f);
  return error;
}

int32_t
spool_drop (struct Spool *spool, const char *writer, uint64_t number)
{
  struct SpoolFile **at = &spool->files;
  struct SpoolFile *file;

  while (*at != NULL && strcmp ((*at)->writer, writer) != 0)
    at = &(*at)->next;
  file = *at;
  if (file == NULL)
    return ERROR_NONE;
  while (file->n_dropped < file->n_entries && file->entries[file->n_dropped].number <= number)
    {
      TALLOC_FREE (file->entries[file->n_dropped].record);
      file->n_dropped++;
    }
  if (file->n_dropped < file->n_entries)
    return ERROR_NONE;
  *at = file->next;
  disk_folder_remove (file->path);
  talloc_free (file);
  return ERROR_NONE;
}

void
spool_each (const struct Spool *spool, const char *writer, SpoolFn fn, void *data)
{
  const struct SpoolFile *file = spool_file_find (spool, writer);

  for (size_t i = file != NULL ? file->n_dropped : 0; file != NULL && i < file->n_entries; i++)
    if (file->entries[i].durable && file->entries[i].number != seal_number)
      fn (data, file->entries[i].number, file->entries[i].record, file->entries[i].n_bytes);
}

size_t
spool_count (const struct Spool *spool)
{
  size_t n = 0;

  for (const struct SpoolFile *f = spool->files; f != NULL; f = f->next)
    n += f->n_entries - f->n_dropped;
  return n;
}
