/* Incremental parser of server-sent events in a response that is being streamed. Does no I/O. */
#pragma once

#include <buckthornhead/byte_queue.h>

/* At the start of a stream when zeroed. */
struct EventStream
{
  bool collects_data;      /* set by the user: collect the data of completed events */
  struct ByteQueue line;   /* the incomplete line */
  struct ByteQueue event;  /* data of the incomplete event */
  struct ByteQueue data;   /* if collects_data: of completed events, each followed by a line feed */
  size_t incomplete_bytes; /* since the last completed event; the next may never complete */
  bool has_field;          /* a field of the incomplete event was read */
  bool has_data, has_id;   /* of the incomplete event, as is id */
  uint64_t id;
  uint32_t n_events; /* completed events with data */
  bool has_last_id;  /* of the last completed event with data, as is last_id */
  uint64_t last_id;
  bool is_resumed, has_repeated_event; /* the latter: an id after resumption is <= last_id */
};

/* Parses the next bytes. Memory belongs to ctx. Fails with ERROR_NO_MEMORY. */
int32_t
event_stream_parse (TALLOC_CTX *ctx,
                    struct EventStream *stream,
                    const uint8_t *bytes,
                    size_t n_bytes);

/* Returns whether the stream so far ends inside an event or a line. A whole stream does not; the
 * reverse does not hold. */
bool
event_stream_is_inside_event (const struct EventStream *stream);

/* Continues with the stream of another server, to be resumed after last_id. Drops the incomplete
 * event. has_repeated_event is set when the new stream repeats an event. */
void
event_stream_resume (struct EventStream *stream);
