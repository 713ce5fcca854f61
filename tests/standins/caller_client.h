/* HTTP client that follows the rules for callers: it queries /v1/connect for the addresses to
 * connect to, caches them for the permitted time, and resends a request unchanged until it gets a
 * final response.
 *
 * Not thread-safe: each thread needs its own client. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

struct CallerClient;

struct CallerOptions
{
  const char *entries; /* "IP:port[,IP:port...]": addresses that are queried first */
  int64_t timeout_ms;  /* of one request including all resends */
};

struct CallerRequest
{
  const char *method;
  const char *path;    /* including the query string */
  const char *program; /* program to query addresses for; "" for none */
  const char *const *headers;
  size_t n_headers;
  const char *body; /* NULL: none */
  bool is_resend;   /* the request was sent before, possibly by another client */
  bool stream;      /* the response is an event stream, complete only with its end marker */
};

struct CallerResponse
{
  uint32_t status; /* 0: timed out without a response */
  uint32_t n_attempts;
  char ran[16]; /* header X-Ran or the error's "ran" */
  bool has_charge;
  uint64_t charge_tokens;
  json_t *body;  /* the JSON body, or the error event of an event stream; NULL: none */
  char *text;    /* the raw body, or the concatenated content of an event stream */
  json_t *error; /* borrowed from body: the object "error", or NULL */
  bool stream_ended;
};

/* Returns NULL when options contain no entry address. */
struct CallerClient *
caller_client_new (const struct CallerOptions *options);
void
caller_client_free (struct CallerClient *client);

void
caller_client_send (struct CallerClient *client,
                    const struct CallerRequest *request,
                    struct CallerResponse *response);
void
caller_response_clear (struct CallerResponse *response);
