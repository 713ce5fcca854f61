#include "stream.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

enum
{
  STREAM_LIMIT_MS = 60000
};

static size_t
stream_on_body (char *bytes, size_t size, size_t n, void *data)
{
  struct Stream *stream = data;

  pthread_mutex_lock (&stream->lock);
  stream->text = talloc_realloc (stream, stream->text, char, stream->n_bytes + size * n + 1);
  memcpy (stream->text + stream->n_bytes, bytes, size * n);
  stream->n_bytes += size * n;
  stream->text[stream->n_bytes] = '\0';
  pthread_mutex_unlock (&stream->lock);
  return size * n;
}

static void *
stream_run (void *data)
{
  struct Stream *stream = data;
  const struct TestCall *call = &stream->call;
  CURL *easy = curl_easy_init ();
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  char url[384];

  snprintf (url, sizeof url, "http://%s/v1/programs/%s/calls?branch=%s&sequence=%" PRIu64,
            call->address, call->program, call->branch != NULL ? call->branch : "main",
            call->sequence);
  if (call->first_attempt)
    headers = curl_slist_append (headers, "X-Attempt: 1");
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)STREAM_LIMIT_MS);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, call->body);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, stream_on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, stream);
  stream->interrupted = curl_easy_perform (easy) != CURLE_OK;
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  return NULL;
}

struct Stream *
stream_start (TALLOC_CTX *ctx, const struct TestCall *call)
{
  struct Stream *stream = talloc_zero (ctx, struct Stream);

  stream->call = *call;
  stream->text = talloc_strdup (stream, "");
  pthread_mutex_init (&stream->lock, NULL);
  if (pthread_create (&stream->thread, NULL, stream_run, stream) != 0)
    abort ();
  return stream;
}

bool
stream_has (struct Stream *stream, const char *text)
{
  bool has;

  pthread_mutex_lock (&stream->lock);
  has = strstr (stream->text, text) != NULL;
  pthread_mutex_unlock (&stream->lock);
  return has;
}

struct StreamText
{
  struct Stream *stream;
  const char *text;
};

static bool
stream_has_wanted_text (void *data)
{
  const struct StreamText *wanted = data;

  return stream_has (wanted->stream, wanted->text);
}

bool
stream_wait_for (struct Stream *stream, const char *text)
{
  struct StreamText wanted = { stream, text };

  return wait_for (stream_has_wanted_text, &wanted);
}

void
stream_join (struct Stream *stream)
{
  pthread_join (stream->thread, NULL);
}

bool
sse_text_is_complete (const char *text)
{
  return strstr (text, "data: [DONE]\n\n") != NULL && strstr (text, "event: error") == NULL;
}

bool
sse_text_is_from_one_run (const char *text)
{
  static const char id[] = "\"id\":\"chatcmpl-";
  const char *first = strstr (text, id);

  for (const char *at = first; at != NULL; at = strstr (at + 1, id))
    if (strcspn (at, ",") != strcspn (first, ",") || strncmp (at, first, strcspn (first, ",")) != 0)
      return false;
  return true;
}
