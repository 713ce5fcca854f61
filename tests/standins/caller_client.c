#include "caller_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <unistd.h>

#include <curl/curl.h>

enum
{
  ADDRESSES_MAX = 16,
  ADDRESS_BYTES = 64,
  CONNECT_TIMEOUT_MS = 1000,
  ATTEMPT_TIMEOUT_MS = 60000,
  RETRY_DEFAULT_MS = 100,
  RETRY_MAX_MS = 5000,
  STATUS_OK_END = 300
};

struct AddressList
{
  char addresses[ADDRESSES_MAX][ADDRESS_BYTES];
  size_t n;
};

struct CallerClient
{
  struct CallerOptions options;
  CURL *easy;
  struct AddressList entries;
  struct AddressList cached; /* from the last response of /v1/connect */
  char cached_program[80];   /* program that the query was for */
  int64_t cached_until_ms;
  size_t next_index; /* in cached */
};

/* Response to one HTTP request. */
struct Attempt
{
  char *bytes;
  size_t n_bytes;
  char ran[16];
  bool has_charge;
  uint64_t charge_tokens;
  int64_t retry_after_ms; /* -1: header absent */
};

static int64_t
clock_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
address_list_add (struct AddressList *list, const char *address, size_t n_bytes)
{
  if (list->n == ADDRESSES_MAX || n_bytes == 0 || n_bytes >= ADDRESS_BYTES)
    return;
  memcpy (list->addresses[list->n], address, n_bytes);
  list->addresses[list->n][n_bytes] = '\0';
  list->n++;
}

struct CallerClient *
caller_client_new (const struct CallerOptions *options)
{
  struct CallerClient *client = calloc (1, sizeof *client);
  const char *at = options->entries;

  client->options = *options;
  client->easy = curl_easy_init ();
  while (*at != '\0')
    {
      size_t n = strcspn (at, ",");

      address_list_add (&client->entries, at, n);
      at += n + (at[n] == ',');
    }
  if (client->entries.n == 0)
    {
      caller_client_free (client);
      return NULL;
    }
  return client;
}

void
caller_client_free (struct CallerClient *client)
{
  curl_easy_cleanup (client->easy);
  free (client);
}

static size_t
attempt_on_body (char *bytes, size_t size, size_t n, void *data)
{
  struct Attempt *attempt = data;
  char *grown = realloc (attempt->bytes, attempt->n_bytes + size * n + 1);

  if (grown == NULL)
    return 0;
  memcpy (grown + attempt->n_bytes, bytes, size * n);
  attempt->bytes = grown;
  attempt->n_bytes += size * n;
  grown[attempt->n_bytes] = '\0';
  return size * n;
}

static const char *
header_value (const char *line, const char *name)
{
  size_t n = strlen (name);

  if (strncasecmp (line, name, n) != 0 || line[n] != ':')
    return NULL;
  line += n + 1;
  return line + strspn (line, " ");
}

static size_t
attempt_on_header (char *bytes, size_t size, size_t n, void *data)
{
  struct Attempt *attempt = data;
  char line[256];
  const char *value;

  snprintf (line, sizeof line, "%.*s", (int)(size * n), bytes);
  line[strcspn (line, "\r\n")] = '\0';
  if ((value = header_value (line, "X-Ran")) != NULL)
    snprintf (attempt->ran, sizeof attempt->ran, "%s", value);
  if ((value = header_value (line, "X-Charge-Tokens")) != NULL)
    {
      attempt->has_charge = true;
      attempt->charge_tokens = strtoull (value, NULL, 10);
    }
  if ((value = header_value (line, "Retry-After")) != NULL)
    attempt->retry_after_ms = strtoll (value, NULL, 10) * 1000;
  return size * n;
}

static struct curl_slist *
request_headers (const struct CallerRequest *request, uint32_t number)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  char attempt[32];

  snprintf (attempt, sizeof attempt, "X-Attempt: %u", number);
  headers = curl_slist_append (headers, attempt);
  if (request->body != NULL)
    headers = curl_slist_append (headers, "Content-Type: application/json");
  for (size_t i = 0; i < request->n_headers; i++)
    headers = curl_slist_append (headers, request->headers[i]);
  return headers;
}

/* Returns the HTTP status, or 0 without a complete response. */
static uint32_t
client_attempt (struct CallerClient *client,
                const char *address,
                const struct CallerRequest *request,
                uint32_t number,
                struct Attempt *attempt)
{
  struct curl_slist *headers = request_headers (request, number);
  char url[1024];
  long status = 0;
  CURLcode code;

  memset (attempt, 0, sizeof *attempt);
  attempt->retry_after_ms = -1;
  snprintf (url, sizeof url, "http://%s%s", address, request->path);
  curl_easy_reset (client->easy);
  curl_easy_setopt (client->easy, CURLOPT_URL, url);
  curl_easy_setopt (client->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (client->easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (client->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (client->easy, CURLOPT_TIMEOUT_MS, (long)ATTEMPT_TIMEOUT_MS);
  curl_easy_setopt (client->easy, CURLOPT_WRITEFUNCTION, attempt_on_body);
  curl_easy_setopt (client->easy, CURLOPT_WRITEDATA, attempt);
  curl_easy_setopt (client->easy, CURLOPT_HEADERFUNCTION, attempt_on_header);
  curl_easy_setopt (client->easy, CURLOPT_HEADERDATA, attempt);
  if (request->body != NULL)
    curl_easy_setopt (client->easy, CURLOPT_POSTFIELDS, request->body);
  curl_easy_setopt (client->easy, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (client->easy, CURLOPT_HTTPHEADER, headers);
  code = curl_easy_perform (client->easy);
  curl_easy_getinfo (client->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all (headers);
  return code == CURLE_OK ? (uint32_t)status : 0;
}

/* Queries one address for the addresses to connect to for program. */
static bool
client_query_addresses (struct CallerClient *client, const char *address, const char *program)
{
  struct CallerRequest request = { .method = "GET" };
  struct Attempt attempt;
  char path[256];
  json_t *response, *addresses, *address_json;
  size_t i;

  snprintf (path, sizeof path, "/v1/connect?program=%s", program);
  request.path = path;
  if (client_attempt (client, address, &request, 1, &attempt) != 200)
    {
      free (attempt.bytes);
      return false;
    }
  response = json_loads (attempt.bytes != NULL ? attempt.bytes : "", 0, NULL);
  addresses = json_object_get (response, "addresses");
  client->cached.n = 0;
  json_array_foreach (addresses, i, address_json)
  {
    if (json_is_string (address_json))
      address_list_add (&client->cached, json_string_value (address_json),
                        json_string_length (address_json));
  }
  client->cached_until_ms =
      clock_ms () + json_integer_value (json_object_get (response, "keep_ms"));
  snprintf (client->cached_program, sizeof client->cached_program, "%s", program);
  json_decref (response);
  free (attempt.bytes);
  return client->cached.n > 0;
}

/* Returns the address for the next attempt after a number of consecutive failures. */
static const char *
client_choose_address (struct CallerClient *client, const char *program, uint32_t failures)
{
  bool fresh = client->cached.n > 0 && strcmp (client->cached_program, program) == 0
               && clock_ms () < client->cached_until_ms;

  if (failures == 0 && fresh)
    return client->cached.addresses[client->next_index % client->cached.n];
  if (failures > 0 && fresh && failures < client->cached.n)
    return client->cached.addresses[++client->next_index % client->cached.n];
  client->next_index = 0;
  if (client->entries.n == 0)
    return "";
  for (size_t i = 0; i < client->entries.n; i++)
    if (client_query_addresses (
            client, client->entries.addresses[(i + failures) % client->entries.n], program))
      return client->cached.addresses[0];
  return client->entries.addresses[failures % client->entries.n];
}

/* Concatenates the content of an event stream. */
static void
response_read_stream (struct CallerResponse *response, char *bytes)
{
  size_t n_bytes = 0;
  char *line = bytes;

  response->text = calloc (1, strlen (bytes) + 1);
  while (*line != '\0')
    {
      char *end = line + strcspn (line, "\n");
      bool last = *end == '\0';
      json_t *event, *choice, *content;

      *end = '\0';
      if (strncmp (line, "data: [DONE]", 12) == 0)
        response->stream_ended = true;
      event = strncmp (line, "data: ", 6) == 0 ? json_loads (line + 6, 0, NULL) : NULL;
      choice = json_array_get (json_object_get (event, "choices"), 0);
      content = json_object_get (json_object_get (choice, "delta"), "content");
      if (json_is_string (content))
        {
          memcpy (response->text + n_bytes, json_string_value (content),
                  json_string_length (content));
          n_bytes += json_string_length (content);
        }
      if (json_object_get (event, "error") != NULL)
        response->body = json_incref (event);
      json_decref (event);
      line = last ? end : end + 1;
    }
}

static void
response_read (struct CallerResponse *response,
               const struct CallerRequest *request,
               uint32_t status,
               struct Attempt *attempt)
{
  char *bytes = attempt->bytes != NULL ? attempt->bytes : strdup ("");
  const char *ran;

  response->status = status;
  response->has_charge = attempt->has_charge;
  response->charge_tokens = attempt->charge_tokens;
  snprintf (response->ran, sizeof response->ran, "%s", attempt->ran);
  if (request->stream && status < STATUS_OK_END && bytes[0] != '{')
    {
      response_read_stream (response, bytes);
      free (bytes);
    }
  else
    {
      response->text = bytes;
      response->body = json_loads (bytes, JSON_DECODE_ANY, NULL);
    }
  response->error = json_object_get (response->body, "error");
  ran = json_string_value (json_object_get (response->error, "ran"));
  if (ran != NULL)
    snprintf (response->ran, sizeof response->ran, "%s", ran);
}

/* Returns the delay before the next attempt, or -1 when the response is final. */
static int64_t
response_retry_ms (const struct CallerResponse *response,
                   const struct CallerRequest *request,
                   const struct Attempt *attempt)
{
  const json_t *retry = json_object_get (response->error, "retry_after_ms");
  const char *kind = json_string_value (json_object_get (response->error, "kind"));

  if (response->status == 0)
    return RETRY_DEFAULT_MS;
  if (response->error == NULL && response->status < STATUS_OK_END)
    return request->stream && response->body == NULL && !response->stream_ended ? RETRY_DEFAULT_MS
                                                                                : -1;
  if (retry != NULL)
    return json_integer_value (retry);
  if (attempt->retry_after_ms >= 0)
    return attempt->retry_after_ms;
  /* The entry gateway lost the home's response: resending the sequence number fetches it. */
  if (kind != NULL && strcmp (kind, "unknown_effect") == 0)
    return RETRY_DEFAULT_MS;
  return -1;
}

void
caller_client_send (struct CallerClient *client,
                    const struct CallerRequest *request,
                    struct CallerResponse *response)
{
  int64_t deadline_ms = clock_ms () + client->options.timeout_ms;
  uint32_t failures = 0;
  uint32_t n_attempts = 0;
  uint32_t n_earlier_attempts = request->is_resend ? 1 : 0;

  memset (response, 0, sizeof *response);
  for (;;)
    {
      const char *address = client_choose_address (client, request->program, failures);
      struct Attempt attempt;
      uint32_t status;
      int64_t retry_ms;

      status =
          client_attempt (client, address, request, n_earlier_attempts + ++n_attempts, &attempt);
      response_read (response, request, status, &attempt);
      response->n_attempts = n_attempts;
      retry_ms = response_retry_ms (response, request, &attempt);
      if (retry_ms < 0 || clock_ms () + retry_ms > deadline_ms)
        return;
      failures = status == 0 ? failures + 1 : 0;
      if (retry_ms > RETRY_MAX_MS)
        retry_ms = RETRY_MAX_MS;
      usleep ((useconds_t)retry_ms * 1000);
      caller_response_clear (response);
    }
}

void
caller_response_clear (struct CallerResponse *response)
{
  json_decref (response->body);
  free (response->text);
  memset (response, 0, sizeof *response);
}
