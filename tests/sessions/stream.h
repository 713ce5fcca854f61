/* A caller that reads one event stream on a thread of its own, and shows how far it has come. */
#pragma once

#include "calls.h"

struct Stream
{
  pthread_t thread;
  pthread_mutex_t lock;
  struct TestCall call;
  char *text; /* what came so far; talloc child of the stream */
  size_t n_bytes;
  bool cut; /* after stream_join: the connection broke off */
};

/* call must have asked for a stream; its texts must live as long as the stream. */
struct Stream *
stream_start (TALLOC_CTX *ctx, const struct TestCall *call);
/* Waits until the stream contains text. */
bool
stream_wait_for (struct Stream *stream, const char *text);
/* Whether it contains text by now. */
bool
stream_has (struct Stream *stream, const char *text);
/* Waits for its end; text is the caller's then. */
void
stream_join (struct Stream *stream);

/* A stream is whole with its end marker and not otherwise. */
bool
text_is_whole (const char *text);
/* All its events come from one run of the engine, by their ids. */
bool
text_is_of_one_run (const char *text);
