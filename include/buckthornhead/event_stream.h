/* Server-sent events in a stream's bytes, as they pass by. Pure. */
#pragma once

#include <buckthornhead/byte_queue.h>

/* Zeroed it is at the start of a stream. */
struct EventStream
{
  struct ByteQueue line;  /* the line that has not ended yet */
  struct ByteQueue event; /* data of the event that has not ended yet */
  struct ByteQueue data;  /* of all ended events, a line feed after each */
  bool has_data;
  uint32_t n_events; /* that ended, with data */
};

/* Takes the next bytes; memory belongs to ctx. ERROR_NO_MEMORY. */
int32_t
event_stream_take (TALLOC_CTX *ctx,
                   struct EventStream *stream,
                   const uint8_t *bytes,
                   size_t n_bytes);
