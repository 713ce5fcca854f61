/* Credentials and names of customers in a caller's headers. The input has one "name: value" per
 * line; headers that the HTTP parser would reject are left out. In all cases, the backend server
 * receives the customer's name once, as set by the gateway, and no header that could be a
 * credential. */
#include "fuzz.h"

#include <buckthornhead/error.h>

#include <platform.h>
#include <string.h>
#include <strings.h>

enum
{
  N_HEADERS_MAX = 64
};

static const char id_header[] = "X-Request-Id";

/* Accepts what the HTTP parser accepts as a header's name: no separators and line ends. */
static bool
name_is_valid (const char *name)
{
  return name[0] != '\0' && name[strcspn (name, " \t:\r\n()<>@,;\\\"/[]?={}")] == '\0';
}

static int32_t
read_headers (TALLOC_CTX *ctx, char *text, struct HttpHeaders *headers)
{
  struct HttpHeadText head = { 0 };
  size_t n = 0;

  http_head_text_add (ctx, &head, false, id_header, strlen (id_header));
  http_head_text_add (ctx, &head, true, "1", 1);
  for (char *line = strtok (text, "\n"); line != NULL && n < N_HEADERS_MAX;
       line = strtok (NULL, "\n"))
    {
      char *colon = strchr (line, ':');

      if (colon == NULL)
        continue;
      *colon = '\0';
      if (!name_is_valid (line) || strcasecmp (line, id_header) == 0)
        continue;
      if (http_head_text_add (ctx, &head, false, line, strlen (line)) != ERROR_NONE
          || http_head_text_add (ctx, &head, true, colon + 1, strlen (colon + 1)) != ERROR_NONE)
        return ERROR_INVALID;
      n++;
    }
  return http_head_text_finish (ctx, &head, headers);
}

/* Counts the lines of head that begin with name and a colon. An underscore matches a dash, since
 * some servers treat the two alike. */
static uint32_t
count_headers (const char *head, const char *name)
{
  size_t n_bytes = strlen (name);
  uint32_t n = 0;

  for (const char *line = strstr (head, "\r\n"); line != NULL; line = strstr (line, "\r\n"))
    {
      size_t i = 0;

      line += 2;
      while (i < n_bytes && line[i] != '\0'
             && strncasecmp (line[i] == '_' ? "-" : line + i, name + i, 1) == 0)
        i++;
      n += i == n_bytes && line[i] == ':';
    }
  return n;
}

static void
fuzz_headers (TALLOC_CTX *ctx, const struct HttpExchange *exchange)
{
  struct UpstreamTarget target = { .replica = "i-1", .customer = "alma", .left_ms = 1000 };
  struct CallerRequest request;
  struct Fault fault;
  char *head;

  if (platform_dialect.read_request (ctx, exchange, &request, &fault) != ERROR_NONE)
    return;
  FUZZ_REQUIRE ((request.credential == CREDENTIAL_KEY) == (request.key != NULL));
  FUZZ_REQUIRE (request.key == NULL
                || (request.key_bytes > 0 && request.key_bytes <= strlen (request.key)
                    && memchr (request.key, ' ', request.key_bytes) == NULL));
  head = platform_dialect.write_request (ctx, exchange, &target);
  FUZZ_REQUIRE (count_headers (head, "x-tenant") == 1);
  FUZZ_REQUIRE (strstr (head, "\r\nX-Tenant: alma\r\n") != NULL);
  FUZZ_REQUIRE (count_headers (head, "authorization") == 0);
  target.customer = "";
  head = platform_dialect.write_request (ctx, exchange, &target);
  FUZZ_REQUIRE (count_headers (head, "x-tenant") == 0
                && count_headers (head, "authorization") == 0);
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t n_bytes)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct HttpExchange exchange = { .method = "GET", .target = "/a" };
  char *text = talloc_strndup (ctx, (const char *)bytes, n_bytes);

  if (read_headers (ctx, text, &exchange.headers) == ERROR_NONE)
    fuzz_headers (ctx, &exchange);
  talloc_free (ctx);
  return 0;
}
