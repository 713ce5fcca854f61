#include "operator_client.h"

#include <curl/curl.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 2000,
  REQUEST_TIMEOUT_MS = 15000,
  RESPONSE_MAX_BYTES = 64 * 1024 * 1024,
  STATUS_OK = 200
};

struct StatusError
{
  long status;
  int32_t error;
};

/* Errors for responses that do not name a kind of error. */
static const struct StatusError status_errors[] = {
  { 400, ERROR_INVALID },      { 401, ERROR_UNAUTHORIZED },  { 403, ERROR_UNAUTHORIZED },
  { 404, ERROR_NOT_FOUND },    { 409, ERROR_CONFLICT },      { 413, ERROR_TOO_LARGE },
  { 429, ERROR_RATE_LIMITED }, { 503, ERROR_PLATFORM_DOWN },
};

static int
free_response (struct OperatorResponse *response)
{
  json_decref (response->body);
  return 0;
}

static struct OperatorResponse *
response_new (TALLOC_CTX *ctx)
{
  struct OperatorResponse *response = talloc_zero (ctx, struct OperatorResponse);

  if (response == NULL)
    return NULL;
  response->text = talloc_strdup (response, "");
  talloc_set_destructor (response, free_response);
  return response;
}

static size_t
append_body (char *bytes, size_t size, size_t n, void *data)
{
  struct OperatorResponse *response = data;
  size_t n_bytes = size * n;
  char *text;

  if (talloc_get_size (response->text) + n_bytes > RESPONSE_MAX_BYTES)
    return 0;
  text = talloc_strndup_append_buffer (response->text, bytes, n_bytes);
  if (text == NULL)
    return 0;
  response->text = text;
  return n_bytes;
}

static int32_t
error_from_kind (const char *kind)
{
  for (int32_t error = ERROR_UNKNOWN_CALL; error < ERROR_NONE; error++)
    if (strcmp (error_name (error), kind) == 0)
      return error;
  return ERROR_NONE;
}

static int32_t
error_from_status (long status)
{
  for (size_t i = 0; i < sizeof status_errors / sizeof status_errors[0]; i++)
    if (status_errors[i].status == status)
      return status_errors[i].error;
  return ERROR_IO;
}

/* Parses a response with a status other than 200. Its body is
 * {"error":{"kind","message","remedy"}}, or anything else if the address does not belong to an
 * instance. */
static void
parse_error (struct OperatorResponse *response, long status)
{
  const char *kind = NULL;
  const char *message = NULL;
  const char *remedy = NULL;
  int32_t error = ERROR_NONE;

  if (response->body != NULL)
    json_unpack (response->body, "{s?{s?s, s?s, s?s}}", "error", "kind", &kind, "message", &message,
                 "remedy", &remedy);
  if (kind != NULL)
    error = error_from_kind (kind);
  if (error == ERROR_NONE)
    error = error_from_status (status);
  if (message != NULL)
    response->error = fault_set (&response->fault, error, remedy, "%s", message);
  else
    response->error =
        fault_set (&response->fault, error, remedy, "responded with status %ld", status);
}

static void
parse_response (struct OperatorResponse *response, CURL *curl)
{
  long status = 0;

  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  response->body = json_loads (response->text, 0, NULL);
  if (status != STATUS_OK)
    parse_error (response, status);
}

/* Returns true if no byte of the request was sent: only then may it be sent to another instance.
 * libcurl's pretransfer time stays 0 until it starts to send. */
static bool
nothing_was_sent (CURL *curl)
{
  curl_off_t send_start_us = 0;

  curl_easy_getinfo (curl, CURLINFO_PRETRANSFER_TIME_T, &send_start_us);
  return send_start_us == 0;
}

static void
set_options (CURL *curl,
             struct curl_slist *headers,
             const char *url,
             const char *post,
             struct OperatorResponse *response)
{
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)REQUEST_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, response);
  if (post != NULL)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, post);
}

static struct curl_slist *
make_headers (TALLOC_CTX *ctx, const struct OperatorClient *client, bool post)
{
  struct curl_slist *headers = NULL;
  const char *authorization;

  if (post)
    headers = curl_slist_append (headers, "Content-Type: application/json");
  if (client->token == NULL)
    return headers;
  authorization = talloc_asprintf (ctx, "Authorization: Bearer %s", client->token);
  return authorization != NULL ? curl_slist_append (headers, authorization) : headers;
}

/* Sends one request to one instance. */
static struct OperatorResponse *
send_request (TALLOC_CTX *ctx,
              const struct OperatorClient *client,
              const char *address,
              const char *path,
              const char *post)
{
  struct OperatorResponse *response = response_new (ctx);
  struct curl_slist *headers = NULL;
  CURL *curl = curl_easy_init ();
  const char *url = talloc_asprintf (response, "http://%s%s", address, path);
  CURLcode code;

  if (response == NULL || response->text == NULL || curl == NULL || url == NULL)
    {
      TALLOC_FREE (response);
      goto out;
    }
  headers = make_headers (response, client, post != NULL);
  set_options (curl, headers, url, post, response);
  code = curl_easy_perform (curl);
  if (code == CURLE_OK)
    parse_response (response, curl);
  else if (post == NULL || nothing_was_sent (curl))
    response->error = fault_set (&response->fault, ERROR_UNREACHABLE,
                                 "specify another instance with --operator IP:PORT", "%s: %s",
                                 address, curl_easy_strerror (code));
  else
    response->error = fault_set (&response->fault, ERROR_UNKNOWN_EFFECT, NULL, "%s: %s", address,
                                 curl_easy_strerror (code));
out:
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  return response;
}

static struct OperatorResponse *
request_first_reachable (TALLOC_CTX *ctx,
                         const struct OperatorClient *client,
                         const char *path,
                         const char *post)
{
  struct OperatorResponse *response = NULL;

  for (size_t i = 0; i < client->n_addresses; i++)
    {
      talloc_free (response);
      response = send_request (ctx, client, client->addresses[i], path, post);
      if (response == NULL || response->error != ERROR_UNREACHABLE)
        break;
    }
  return response;
}

struct OperatorResponse *
operator_get (TALLOC_CTX *ctx, const struct OperatorClient *client, const char *path)
{
  return request_first_reachable (ctx, client, path, NULL);
}

struct OperatorResponse *
operator_post (TALLOC_CTX *ctx,
               const struct OperatorClient *client,
               const char *path,
               const json_t *body)
{
  char *post = json_dumps (body, JSON_COMPACT);
  struct OperatorResponse *response = NULL;

  if (post != NULL)
    response = request_first_reachable (ctx, client, path, post);
  free (post);
  return response;
}
