#include <buckthornhead/disk_folder.h>

#include <buckthornhead/error.h>

#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

static int
system_create (const char *path, int flags)
{
  return open (path, flags | O_CREAT | O_CLOEXEC, 0600);
}

static int
system_make (const char *folder)
{
  return mkdir (folder, 0700);
}

static int
system_sync_folder (const char *folder)
{
  int fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  int result, error;

  if (fd < 0)
    return -1;
  result = fsync (fd);
  error = errno;
  close (fd);
  errno = error;
  return result;
}

static const struct DiskFolderOps system_ops = {
  .create = system_create,
  .rename = rename,
  .remove = remove,
  .make = system_make,
  .sync_folder = system_sync_folder,
  .sync_file = fdatasync,
  .cut = ftruncate,
};

static const struct DiskFolderOps *ops = &system_ops;

void
disk_folder_set_ops (const struct DiskFolderOps *replacement)
{
  ops = replacement != NULL ? replacement : &system_ops;
}

int
disk_folder_create (const char *path, int flags)
{
  int fd;

  do
    fd = ops->create (path, flags);
  while (fd < 0 && errno == EINTR);
  return fd;
}

int32_t
disk_folder_rename (const char *from, const char *to)
{
  return ops->rename (from, to) == 0 ? ERROR_NONE : ERROR_IO;
}

int32_t
disk_folder_remove (const char *path)
{
  return ops->remove (path) == 0 ? ERROR_NONE : ERROR_IO;
}

int32_t
disk_folder_sync (const char *folder)
{
  int result;

  do
    result = ops->sync_folder (folder);
  while (result != 0 && errno == EINTR);
  return result == 0 ? ERROR_NONE : ERROR_IO;
}

int32_t
disk_folder_sync_file (int fd)
{
  int result;

  do
    result = ops->sync_file (fd);
  while (result != 0 && errno == EINTR);
  return result == 0 ? ERROR_NONE : ERROR_IO;
}

int32_t
disk_folder_cut (int fd, off_t n_bytes)
{
  int result;

  do
    result = ops->cut (fd, n_bytes);
  while (result != 0 && errno == EINTR);
  return result == 0 ? ERROR_NONE : ERROR_IO;
}

/* Writes the path of the folder that holds folder's name to parent. */
static void
folder_parent (const char *folder, char parent[PATH_MAX])
{
  size_t n = strlen (folder);

  while (n > 1 && folder[n - 1] == '/')
    n--;
  while (n > 0 && folder[n - 1] != '/')
    n--;
  while (n > 1 && folder[n - 1] == '/')
    n--;
  if (n == 0)
    snprintf (parent, PATH_MAX, ".");
  else
    snprintf (parent, PATH_MAX, "%.*s", (int)n, folder);
}

int32_t
disk_folder_make (const char *folder)
{
  char parent[PATH_MAX];
  bool made = ops->make (folder) == 0;
  int error;

  if (!made && errno != EEXIST)
    return ERROR_IO;
  folder_parent (folder, parent);
  /* A process that ended here can have left the name unsynced. Otherwise somebody else has made the
   * folder, and this process need not be permitted to open its parent. */
  if (disk_folder_sync (parent) == ERROR_NONE || !made)
    return ERROR_NONE;
  error = errno;
  ops->remove (folder); /* the next attempt makes it again, and syncs its name */
  errno = error;
  return ERROR_IO;
}
