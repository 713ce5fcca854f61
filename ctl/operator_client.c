#include "operator_client.h"

#include <curl/curl.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 2000,
  REQUEST_TIMEOUT_MS = 15000,
  ANSWER_MAX_BYTES = 64 * 1024 * 1024,
  STATUS_OK = 200
};

struct StatusError
{
  long status;
  int32_t error;
};

/* For answers that name no kind of error. */
static const struct StatusError status_errors[] = {
  { 400, ERROR_INVALID },      { 401, ERROR_UNAUTHORIZED },  { 403, ERROR_UNAUTHORIZED },
  { 404, ERROR_NOT_FOUND },    { 409, ERROR_CONFLICT },      { 413, ERROR_TOO_LARGE },
  { 429, ERROR_RATE_LIMITED }, { 503, ERROR_PLATFORM_DOWN },
};

static int
free_answer (struct OperatorAnswer *answer)
{
  json_decref (answer->body);
  return 0;
}

static struct OperatorAnswer *
answer_new (TALLOC_CTX *ctx)
{
  struct OperatorAnswer *answer = talloc_zero (ctx, struct OperatorAnswer);

  if (answer == NULL)
    return NULL;
  answer->text = talloc_strdup (answer, "");
  talloc_set_destructor (answer, free_answer);
  return answer;
}

static size_t
take_bytes (char *bytes, size_t size, size_t n, void *data)
{
  struct OperatorAnswer *answer = data;
  size_t n_bytes = size * n;
  char *text;

  if (talloc_get_size (answer->text) + n_bytes > ANSWER_MAX_BYTES)
    return 0;
  text = talloc_strndup_append_buffer (answer->text, bytes, n_bytes);
  if (text == NULL)
    return 0;
  answer->text = text;
  return n_bytes;
}

static int32_t
error_of_kind (const char *kind)
{
  for (int32_t error = ERROR_UNKNOWN_CALL; error < ERROR_NONE; error++)
    if (strcmp (error_name (error), kind) == 0)
      return error;
  return ERROR_NONE;
}

static int32_t
error_of_status (long status)
{
  for (size_t i = 0; i < sizeof status_errors / sizeof status_errors[0]; i++)
    if (status_errors[i].status == status)
      return status_errors[i].error;
  return ERROR_IO;
}

/* An answer other than 200: {"error":{"kind","message","remedy"}}, or anything else from what may
 * be no instance at all. */
static void
read_error (struct OperatorAnswer *answer, long status)
{
  const char *kind = NULL;
  const char *message = NULL;
  const char *remedy = NULL;
  int32_t error = ERROR_NONE;

  if (answer->body != NULL)
    json_unpack (answer->body, "{s?{s?s, s?s, s?s}}", "error", "kind", &kind, "message", &message,
                 "remedy", &remedy);
  if (kind != NULL)
    error = error_of_kind (kind);
  if (error == ERROR_NONE)
    error = error_of_status (status);
  if (message != NULL)
    answer->error = fault_set (&answer->fault, error, remedy, "%s", message);
  else
    answer->error = fault_set (&answer->fault, error, remedy, "answered with status %ld", status);
}

static void
read_answer (struct OperatorAnswer *answer, CURL *curl)
{
  long status = 0;

  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  answer->body = json_loads (answer->text, 0, NULL);
  if (status != STATUS_OK)
    read_error (answer, status);
}

/* True when no byte of the request was sent: only then may it go to another instance. libcurl's
 * pretransfer time stays 0 until it begins to send. */
static bool
never_left (CURL *curl)
{
  curl_off_t begun_us = 0;

  curl_easy_getinfo (curl, CURLINFO_PRETRANSFER_TIME_T, &begun_us);
  return begun_us == 0;
}

static void
set_options (CURL *curl,
             struct curl_slist *headers,
             const char *url,
             const char *post,
             struct OperatorAnswer *answer)
{
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)REQUEST_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, take_bytes);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, answer);
  if (post != NULL)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, post);
}

static struct curl_slist *
make_headers (TALLOC_CTX *ctx, const struct OperatorClient *client, bool post)
{
  struct curl_slist *headers = NULL;
  const char *bearer;

  if (post)
    headers = curl_slist_append (headers, "Content-Type: application/json");
  if (client->token == NULL)
    return headers;
  bearer = talloc_asprintf (ctx, "Authorization: Bearer %s", client->token);
  return bearer != NULL ? curl_slist_append (headers, bearer) : headers;
}

/* One request to one instance. */
static struct OperatorAnswer *
request (TALLOC_CTX *ctx,
         const struct OperatorClient *client,
         const char *address,
         const char *path,
         const char *post)
{
  struct OperatorAnswer *answer = answer_new (ctx);
  struct curl_slist *headers = NULL;
  CURL *curl = curl_easy_init ();
  const char *url = talloc_asprintf (answer, "http://%s%s", address, path);
  CURLcode code;

  if (answer == NULL || answer->text == NULL || curl == NULL || url == NULL)
    {
      TALLOC_FREE (answer);
      goto out;
    }
  headers = make_headers (answer, client, post != NULL);
  set_options (curl, headers, url, post, answer);
  code = curl_easy_perform (curl);
  if (code == CURLE_OK)
    read_answer (answer, curl);
  else if (post == NULL || never_left (curl))
    answer->error = fault_set (&answer->fault, ERROR_UNREACHABLE,
                               "name another instance with --operator IP:PORT", "%s: %s", address,
                               curl_easy_strerror (code));
  else
    answer->error = fault_set (&answer->fault, ERROR_UNKNOWN_EFFECT, NULL, "%s: %s", address,
                               curl_easy_strerror (code));
out:
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  return answer;
}

static struct OperatorAnswer *
request_any (TALLOC_CTX *ctx,
             const struct OperatorClient *client,
             const char *path,
             const char *post)
{
  struct OperatorAnswer *answer = NULL;

  for (size_t i = 0; i < client->n_addresses; i++)
    {
      talloc_free (answer);
      answer = request (ctx, client, client->addresses[i], path, post);
      if (answer == NULL || answer->error != ERROR_UNREACHABLE)
        break;
    }
  return answer;
}

struct OperatorAnswer *
operator_get (TALLOC_CTX *ctx, const struct OperatorClient *client, const char *path)
{
  return request_any (ctx, client, path, NULL);
}

struct OperatorAnswer *
operator_post (TALLOC_CTX *ctx,
               const struct OperatorClient *client,
               const char *path,
               const json_t *body)
{
  char *post = json_dumps (body, JSON_COMPACT);
  struct OperatorAnswer *answer = NULL;

  if (post != NULL)
    answer = request_any (ctx, client, path, post);
  free (post);
  return answer;
}
