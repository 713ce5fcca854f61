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

uint8_t *
disk_file_read (TALLOC_CTX *ctx, const char *path, size_t *n_bytes)
{
  int fd = open (path, O_RDONLY | O_CLOEXEC);
  struct stat status;
  uint8_t *bytes = NULL;
  size_t at = 0;

  *n_bytes = 0;
  if (fd < 0)
    return NULL;
  if (fstat (fd, &status) == 0)
    bytes = talloc_array (ctx, uint8_t, (size_t)status.st_size + 1);
  while (bytes != NULL && at < (size_t)status.st_size)
    {
      ssize_t n = read (fd, bytes + at, (size_t)status.st_size - at);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        break;
      at += (size_t)n;
    }
  close (fd);
  *n_bytes = at;
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
