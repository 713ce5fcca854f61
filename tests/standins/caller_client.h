/* What a well-behaved caller does on the wire: asks where to connect, keeps the answer as long as
 * it may, connects there, and sends a request again, unchanged, until it has a final answer.
 *
 * Not thread-safe: each thread has a client of its own. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

struct CallerClient;

struct CallerOptions
{
  const char *entries; /* "IP:port[,IP:port...]": where to ask first */
  int64_t give_up_ms;  /* for one request with all its resends */
};

struct CallerRequest
{
  const char *method;
  const char *path;    /* with its query */
  const char *program; /* to ask where to connect; "" for none */
  const char *const *headers;
  size_t n_headers;
  const char *body; /* NULL: none */
  bool resent;      /* not the first time that it is sent, by anyone */
  bool stream;      /* the answer is an event stream, whole only with its end marker */
};

struct CallerAnswer
{
  uint32_t status; /* 0: gave up without any answer */
  uint32_t n_attempts;
  char ran[16]; /* header X-Ran or the error's "ran" */
  bool has_charge;
  uint64_t charge_tokens;
  json_t *body;  /* what is not an event stream, when it is JSON */
  char *text;    /* body as it came; of an event stream the content put together */
  json_t *error; /* borrowed from body: the object "error", or NULL */
  bool stream_ended;
};

/* NULL when options name no entry. */
struct CallerClient *
caller_client_new (const struct CallerOptions *options);
void
caller_client_free (struct CallerClient *client);

void
caller_client_send (struct CallerClient *client,
                    const struct CallerRequest *request,
                    struct CallerAnswer *answer);
void
caller_answer_clear (struct CallerAnswer *answer);
