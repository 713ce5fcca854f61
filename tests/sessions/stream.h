/* A caller that reads one event stream on its own thread and exposes the text received so far. */
#pragma once

#include "calls.h"

struct Stream
{
  pthread_t thread;
  pthread_mutex_t lock;
  struct TestCall call;
  char *text; /* received so far; talloc child of the stream */
  size_t n_bytes;
  bool interrupted; /* after stream_join: the transfer failed */
};

/* call must request a stream; its strings must stay valid as long as the stream. */
struct Stream *
stream_start (TALLOC_CTX *ctx, const struct TestCall *call);
/* Waits until the stream contains text. */
bool
stream_wait_for (struct Stream *stream, const char *text);
/* Returns whether the stream already contains text. */
bool
stream_has (struct Stream *stream, const char *text);
/* Waits until the stream ends; its text may then be read without the lock. */
void
stream_join (struct Stream *stream);

/* Returns whether text has the end marker and no error event. */
bool
sse_text_is_complete (const char *text);
/* Returns whether all events come from one run of the engine, i.e. have the same id. */
bool
sse_text_is_from_one_run (const char *text);
