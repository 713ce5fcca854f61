/* On-disk frames of records: length (4 bytes, little endian), checksum (8 bytes), record.
 *
 * The checksum detects a frame that was torn by a power failure or whose bytes have changed. */
#pragma once

#include <buckthornhead/disk_log.h>

#include <stdint.h>

enum
{
  FRAME_LENGTH_BYTES = 4,
  FRAME_HEADER_BYTES = FRAME_LENGTH_BYTES + 8,
  RECORD_MAX_BYTES = 16 * 1024 * 1024
};

/* Writes the header of record's frame, FRAME_HEADER_BYTES long, to frame. */
void
disk_frame_write_header (uint8_t *frame, const uint8_t *record, size_t n_bytes);

/* Returns the length of the record whose frame starts at bytes; -1 if the frame is torn or invalid.
 */
int64_t
disk_frame_check (const uint8_t *bytes, size_t n_bytes);

/* Calls fn, unless it is NULL, for each whole frame up to the first torn or invalid one. Returns
 * the length of the whole frames. */
size_t
disk_frames_foreach (const uint8_t *bytes, size_t n_bytes, uint32_t file, DiskLogFn fn, void *data);

/* Returns the whole content of a file, belonging to ctx; NULL with errno set when any of it cannot
 * be read. */
uint8_t *
disk_file_read (TALLOC_CTX *ctx, const char *path, size_t *n_bytes);

/* Writes all bytes. Returns false on a write error. */
bool
disk_file_write (int fd, const uint8_t *bytes, size_t n_bytes);
