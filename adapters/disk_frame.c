#include "disk_frame.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

void
disk_frame_write_header (uint8_t *frame, const uint8_t *record, size_t n_bytes)
{
  uint64_t sum = XXH64 (record, n_bytes, n_bytes);

  for (int i = 0; i < FRAME_LENGTH_BYTES; i++)
    frame[i] = (uint8_t)(n_bytes >> (8 * i));
  memcpy (frame + FRAME_LENGTH_BYTES, &sum, sizeof sum);
}

int64_t
disk_frame_check (const uint8_t *bytes, size_t n_bytes)
{
  size_t length = 0;
  uint64_t sum;

  if (n_bytes < FRAME_HEADER_BYTES)
    return -1;
  for (int i = 0; i < FRAME_LENGTH_BYTES; i++)
    length |= (size_t)bytes[i] << (8 * i);
  if (length == 0 || length > RECORD_MAX_BYTES || length > n_bytes - FRAME_HEADER_BYTES)
    return -1;
  memcpy (&sum, bytes + FRAME_LENGTH_BYTES, sizeof sum);
  return XXH64 (bytes + FRAME_HEADER_BYTES, length, length) == sum ? (int64_t)length : -1;
}

size_t
disk_frames_foreach (const uint8_t *bytes, size_t n_bytes, uint32_t file, DiskLogFn fn, void *data)
{
  size_t at = 0;
  int64_t length;

  while ((length = disk_frame_check (bytes + at, n_bytes - at)) >= 0)
    {
      struct DiskPlace place = { file, (uint32_t)at, (uint32_t)length };

      if (fn != NULL)
        fn (data, &place, bytes + at + FRAME_HEADER_BYTES, (size_t)length);
      at += FRAME_HEADER_BYTES + (size_t)length;
    }
  return at;
}

/* Reads n_bytes; false with errno set when the file ends before them or cannot be read. */
static bool
file_read_all (int fd, uint8_t *bytes, size_t n_bytes)
{
  size_t at = 0;

  while (at < n_bytes)
    {
      ssize_t n = read (fd, bytes + at, n_bytes - at);

      if (n < 0 && errno == EINTR)
        continue;
      if (n == 0)
        errno = EIO;
      if (n <= 0)
        return false;
      at += (size_t)n;
    }
  return true;
}

static uint8_t *
file_read_open (TALLOC_CTX *ctx, int fd, size_t *n_bytes)
{
  struct stat status;
  uint8_t *bytes;

  if (fstat (fd, &status) != 0)
    return NULL;
  if (!S_ISREG (status.st_mode))
    {
      errno = S_ISDIR (status.st_mode) ? EISDIR : EINVAL;
      return NULL;
    }
  bytes = talloc_array (ctx, uint8_t, (size_t)status.st_size + 1);
  if (bytes == NULL)
    {
      errno = ENOMEM;
      return NULL;
    }
  if (file_read_all (fd, bytes, (size_t)status.st_size))
    *n_bytes = (size_t)status.st_size;
  else
    TALLOC_FREE (bytes);
  return bytes;
}

uint8_t *
disk_file_read (TALLOC_CTX *ctx, const char *path, size_t *n_bytes)
{
  int fd = open (path, O_RDONLY | O_CLOEXEC);
  uint8_t *bytes;
  int error;

  *n_bytes = 0;
  if (fd < 0)
    return NULL;
  bytes = file_read_open (ctx, fd, n_bytes);
  error = errno;
  close (fd);
  errno = error;
  return bytes;
}

bool
disk_file_write (int fd, const uint8_t *bytes, size_t n_bytes)
{
  while (n_bytes > 0)
    {
      ssize_t n = write (fd, bytes, n_bytes);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      bytes += n;
      n_bytes -= (size_t)n;
    }
  return true;
}
