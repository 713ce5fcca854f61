/* Frames of records in a file: four bytes of length, little endian, eight of checksum, the record.
 * A frame that a loss of power tore, or whose bytes have changed, is told by its checksum. */
#pragma once

#include <buckthornhead/disk_log.h>

#include <stdint.h>

enum
{
  FRAME_LENGTH_BYTES = 4,
  FRAME_HEAD_BYTES = FRAME_LENGTH_BYTES + 8,
  RECORD_MAX_BYTES = 16 * 1024 * 1024
};

/* Writes the head of record's frame, FRAME_HEAD_BYTES. */
void
disk_frame_head (uint8_t *frame, const uint8_t *record, size_t n_bytes);

/* Length of the record whose frame starts at bytes; -1 when it is torn or none. */
int64_t
disk_frame_check (const uint8_t *bytes, size_t n_bytes);

/* Calls fn, unless it is NULL, for the whole frames at the start of bytes; returns where they end.
 */
size_t
disk_frames_each (const uint8_t *bytes, size_t n_bytes, uint32_t file, DiskLogFn fn, void *data);

/* All of a file, belonging to ctx; NULL when it can not be opened. */
uint8_t *
disk_file_read (TALLOC_CTX *ctx, const char *path, size_t *n_bytes);

/* Writes all bytes. False when the disk does not take them. */
bool
disk_file_put (int fd, const uint8_t *bytes, size_t n_bytes);
