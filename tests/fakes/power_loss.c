#include "power_loss.h"

#include <buckthornhead/disk_folder.h>

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum
{
  PATH_BYTES = 256,
  NAMES_MAX = 512,
  FILES_MAX = 512
};

struct Bytes
{
  uint8_t *data;
  size_t n;
};

/* A file that has a name, or had one at its folder's last sync. */
struct LossFile
{
  char path[PATH_BYTES]; /* empty: no name stands for it any more */
  ino_t inode;
  struct Bytes durable, last; /* last: content when it lost its name */
};

/* A name that was changed since the last sync of its folder. */
struct LossName
{
  char path[PATH_BYTES];
  bool folder;
  struct LossFile *before; /* what it stood for; NULL: nothing */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct LossFile files[FILES_MAX];
static struct LossName names[NAMES_MAX];
static size_t n_files, n_names;
static uint32_t calls_until_failure, calls_failing, folder_syncs;
static uint64_t draw_state;

static uint64_t
draw (uint64_t below)
{
  uint64_t x = draw_state += 0x9e3779b97f4a7c15;

  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9;
  x = (x ^ x >> 27) * 0x94d049bb133111eb;
  return (x ^ x >> 31) % below;
}

static struct Bytes
bytes_copy (const struct Bytes *bytes)
{
  struct Bytes copy = { malloc (bytes->n + 1), bytes->n };

  if (copy.data == NULL)
    abort ();
  if (bytes->n > 0)
    memcpy (copy.data, bytes->data, bytes->n);
  return copy;
}

static struct Bytes
path_read (const char *path)
{
  struct Bytes bytes = { NULL, 0 };
  struct stat status;
  int fd = open (path, O_RDONLY | O_CLOEXEC);

  if (fd < 0 || fstat (fd, &status) != 0)
    abort ();
  bytes.n = (size_t)status.st_size;
  bytes.data = malloc (bytes.n + 1);
  if (bytes.data == NULL || read (fd, bytes.data, bytes.n) != (ssize_t)bytes.n)
    abort ();
  close (fd);
  return bytes;
}

static void
path_write (const char *path, const uint8_t *data, size_t n)
{
  int fd = open (path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);

  if (fd < 0 && errno == ENOENT)
    return; /* its folder is gone too */
  if (fd < 0 || write (fd, data, n) != (ssize_t)n)
    abort ();
  close (fd);
}

static void
bytes_replace (struct Bytes *bytes, struct Bytes by)
{
  free (bytes->data);
  *bytes = by;
}

static void
path_copy (char to[PATH_BYTES], const char *path)
{
  size_t length = strlen (path);

  if (length >= PATH_BYTES)
    abort ();
  memmove (to, path, length + 1);
}

static struct LossFile *
file_find (const char *path)
{
  for (size_t i = 0; i < n_files; i++)
    if (strcmp (files[i].path, path) == 0)
      return &files[i];
  return NULL;
}

static void
file_set_path (struct LossFile *file, const char *path)
{
  struct stat status;

  path_copy (file->path, path);
  if (stat (path, &status) == 0)
    file->inode = status.st_ino;
}

static void
name_remember (const char *path, bool folder, struct LossFile *before)
{
  for (size_t i = 0; i < n_names; i++)
    if (strcmp (names[i].path, path) == 0)
      return;
  if (n_names == NAMES_MAX)
    abort ();
  path_copy (names[n_names].path, path);
  names[n_names].folder = folder;
  names[n_names++].before = before;
}

/* The file at path loses its name. */
static void
path_release (const char *path)
{
  struct LossFile *file = file_find (path);

  if (file == NULL)
    return;
  bytes_replace (&file->last, path_read (path));
  file->path[0] = '\0';
  file->inode = 0;
}

/* Each call takes effect as a whole, or fails without an effect. Takes the lock on true. */
static bool
call_begin (void)
{
  pthread_mutex_lock (&lock);
  if (calls_until_failure == 0 && calls_failing == 0)
    return true;
  if (calls_until_failure > 0)
    {
      calls_until_failure--;
      return true;
    }
  calls_failing--;
  pthread_mutex_unlock (&lock);
  errno = EIO;
  return false;
}

static int
call_end (int result)
{
  int error = errno;

  pthread_mutex_unlock (&lock);
  errno = error;
  return result;
}

static int
loss_create (const char *path, int flags)
{
  bool existed;
  int fd;

  if (!call_begin ())
    return -1;
  existed = access (path, F_OK) == 0;
  fd = open (path, flags | O_CREAT | O_CLOEXEC, 0600);
  if (fd < 0 || existed)
    return call_end (fd);
  if (n_files == FILES_MAX)
    abort ();
  file_set_path (&files[n_files++], path);
  name_remember (path, false, NULL);
  return call_end (fd);
}

static int
loss_rename (const char *from, const char *to)
{
  struct LossFile *file;
  int result;

  if (!call_begin ())
    return -1;
  file = file_find (from);
  name_remember (from, false, file);
  name_remember (to, false, file_find (to));
  path_release (to);
  result = rename (from, to);
  if (file != NULL)
    file_set_path (file, to);
  return call_end (result);
}

static int
loss_remove (const char *path)
{
  struct LossFile *file;

  if (!call_begin ())
    return -1;
  file = file_find (path);
  if (file != NULL)
    name_remember (path, false, file);
  path_release (path);
  return call_end (remove (path));
}

static int
loss_make (const char *folder)
{
  int result;

  if (!call_begin ())
    return -1;
  result = mkdir (folder, 0700);
  if (result == 0)
    name_remember (folder, true, NULL);
  return call_end (result);
}

static int
loss_sync_folder (const char *folder)
{
  size_t length = strlen (folder), n = 0;

  if (!call_begin ())
    return -1;
  for (size_t i = 0; i < n_names; i++)
    {
      const char *name = strrchr (names[i].path, '/');

      if (name == NULL || (size_t)(name - names[i].path) != length
          || strncmp (names[i].path, folder, length) != 0)
        names[n++] = names[i];
    }
  n_names = n;
  folder_syncs++;
  return call_end (0);
}

static int
loss_sync_file (int fd)
{
  struct stat status;

  if (!call_begin ())
    return -1;
  if (fstat (fd, &status) != 0)
    abort ();
  for (size_t i = 0; i < n_files; i++)
    if (files[i].inode == status.st_ino)
      bytes_replace (&files[i].durable, path_read (files[i].path));
  return call_end (0);
}

static int
loss_cut (int fd, off_t n_bytes)
{
  return call_begin () ? call_end (ftruncate (fd, n_bytes)) : -1;
}

static const struct DiskFolderOps loss_ops = {
  .create = loss_create,
  .rename = loss_rename,
  .remove = loss_remove,
  .make = loss_make,
  .sync_folder = loss_sync_folder,
  .sync_file = loss_sync_file,
  .cut = loss_cut,
};

static void
forget_all (void)
{
  for (size_t i = 0; i < n_files; i++)
    {
      free (files[i].durable.data);
      free (files[i].last.data);
    }
  memset (files, 0, sizeof files);
  n_files = 0;
  n_names = 0;
  folder_syncs = 0;
}

void
power_loss_start (void)
{
  forget_all ();
  power_loss_restart ();
  disk_folder_set_ops (&loss_ops);
}

void
power_loss_stop (void)
{
  disk_folder_set_ops (NULL);
  forget_all ();
}

void
power_loss_fail_after (uint32_t n, uint32_t n_failing)
{
  calls_until_failure = n;
  calls_failing = n_failing;
}

void
power_loss_restart (void)
{
  power_loss_fail_after (0, 0);
}

/* Draws what is left of the file's content: the durable bytes, or the new ones or a part of them,
 * the last byte torn or not. */
static void
file_strike (struct LossFile *file)
{
  struct Bytes content = path_read (file->path);
  size_t same = 0;

  while (same < content.n && same < file->durable.n
         && content.data[same] == file->durable.data[same])
    same++;
  switch (draw (4))
    {
    case 0:
      bytes_replace (&content, bytes_copy (&file->durable));
      break;
    case 1:
      content.n = same + draw (content.n - same + 1);
      break;
    case 2:
      if (content.n > same)
        content.data[same + draw (content.n - same)] ^= 0x55;
      break;
    default:
      break;
    }
  path_write (file->path, content.data, content.n);
  bytes_replace (&file->durable, content);
}

uint32_t
power_loss_folder_syncs (void)
{
  return folder_syncs;
}

static void
folder_undo (const char *folder)
{
  size_t length = strlen (folder);
  char command[PATH_BYTES + 16];

  for (size_t i = 0; i < n_files; i++)
    if (strncmp (files[i].path, folder, length) == 0 && files[i].path[length] == '/')
      path_release (files[i].path);
  snprintf (command, sizeof command, "rm -rf %s", folder);
  if (system (command) != 0)
    abort ();
}

static void
name_undo (const struct LossName *name)
{
  struct LossFile *before = name->before;

  if (name->folder)
    {
      folder_undo (name->path);
      return;
    }
  path_release (name->path);
  unlink (name->path);
  if (before == NULL || before->path[0] != '\0')
    return;
  path_write (name->path, before->last.data, before->last.n);
  if (access (name->path, F_OK) == 0)
    file_set_path (before, name->path);
}

void
power_loss_strike (uint64_t seed)
{
  power_loss_restart ();
  draw_state = seed;
  for (size_t i = 0; i < n_names; i++)
    if (draw (2) == 0)
      name_undo (&names[i]);
  n_names = 0;
  for (size_t i = 0; i < n_files; i++)
    if (files[i].path[0] != '\0')
      file_strike (&files[i]);
}
