/* Tracks how far an archive has copied the log of another one, its source.
 *
 * The log is copied over several connections, since one is bounded by its window: each of them, a
 * lane, requests one file of the log after the other. A source that restarts with its log is
 * continued where it was; a source with another log, for instance after the loss of its disk, is
 * copied from the start. Does no I/O and reads no clock. */
#pragma once

#include <buckthornhead/gateway_message.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  COPY_LANES = 3
};

/* A lane that is not reading a file, and is not about to, has the cursor 0 and is idle. */
struct CopyLane
{
  bool reading;
  bool claiming;       /* its first request of a file has not been answered yet */
  uint64_t cursor;     /* of the next request */
  uint64_t request_id; /* 0: no request is pending */
  int64_t requested_ms;
  bool at_end;              /* the last answer had no records, and there is no later file */
  bool end_is_complete;     /* the source was complete then */
  int64_t end_requested_ms; /* when that answer was requested */
};

struct CopySource
{
  char node[NAME_MAX_BYTES + 1];
  bool has_log_id;
  int64_t log_id;     /* differs between logs of the same source */
  uint32_t next_file; /* files below it are, or were, read by a lane */
  struct CopyLane lanes[COPY_LANES];
  uint32_t n_parts;
  uint64_t waited_ms; /* from requests to the parts that answered them */
};

/* Begins to copy the log of the archive node from its start. */
void
copy_source_begin (struct CopySource *source, const char *node);

/* Returns whether lane should request records now, from *cursor on. A lane at the end of the log
 * requests again after COPY_POLL_MS. */
bool
copy_source_wants (struct CopySource *source, size_t lane, int64_t now_ms, uint64_t *cursor);

/* Records that the request for which copy_source_wants returned true was sent. */
void
copy_source_requested (struct CopySource *source, size_t lane, uint64_t id, int64_t now_ms);

/* Returns whether the request is pending. */
bool
copy_source_has_request (struct CopySource *source, uint64_t request_id);

/* Returns whether the records of part are to be stored: not if it answers no pending request, is of
 * another log than the parts before, or of a file that another lane reads. */
bool
copy_source_receive (struct CopySource *source, const struct CopyPart *part, int64_t now_ms);

/* Returns whether all records that the source had at since_ms were received, and it had all that it
 * ever acknowledged. */
bool
copy_source_is_finished (const struct CopySource *source, int64_t since_ms);
