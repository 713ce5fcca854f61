/* Names in a data folder: files that are created, renamed and removed, and the syncs that make them
 * durable.
 *
 * After a power failure each name that was created, renamed or removed since the last sync of its
 * folder may be kept or lost, independently of the others, even if the file itself was synced. All
 * modules that store data change names through this one, so that a test can replace the system's
 * calls. */
#pragma once

#include <stdint.h>
#include <sys/types.h>

/* The system's calls: -1 with errno set on failure. */
struct DiskFolderOps
{
  int (*create) (const char *path, int flags);
  int (*rename) (const char *from, const char *to);
  int (*remove) (const char *path); /* a file or an empty folder */
  int (*make) (const char *folder);
  int (*sync_folder) (const char *folder);
  int (*sync_file) (int fd);
  int (*cut) (int fd, off_t n_bytes);
};

/* Replaces the system's calls in this process; NULL restores them. Call it while no log and no
 * spool is open. */
void
disk_folder_set_ops (const struct DiskFolderOps *ops);

/* Opens path, created if missing, with open's flags besides O_CREAT. Returns the descriptor; -1
 * with errno set. */
int
disk_folder_create (const char *path, int flags);

/* The following return ERROR_IO with errno set. */

int32_t
disk_folder_rename (const char *from, const char *to);

int32_t
disk_folder_remove (const char *path);

/* Makes folder if it is missing, and its name durable. */
int32_t
disk_folder_make (const char *folder);

/* Makes the names in folder durable. */
int32_t
disk_folder_sync (const char *folder);

/* Makes the content of the open file durable, not its name. */
int32_t
disk_folder_sync_file (int fd);

/* Cuts off the open file's content from n_bytes on. */
int32_t
disk_folder_cut (int fd, off_t n_bytes);
