/* Credentials and names of customers in a caller's headers, one "name: value" a line, after the
 * bytes have passed the check that every header on the wire passes. Whatever they are, the server
 * is told the name that the gateway gives it, once, and no line that could be a credential. */
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

/* What the parser takes for a header's name: no byte of it ends a line or stands apart. */
static bool
name_is_proper (const char *name)
{
  return name[0] != '\0' && name[strcspn (name, " \t:\r\n()<>@,;\\\"/[]?={}")] == '\0';
}

static int32_t
headers_read (TALLOC_CTX *ctx, char *text, struct HttpHeaders *headers)
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
      if (!name_is_proper (line) || strcasecmp (line, id_header) == 0)
        continue;
      if (http_head_text_add (ctx, &head, false, line, strlen (line)) != ERROR_NONE
          || http_head_text_add (ctx, &head, true, colon + 1, strlen (colon + 1)) != ERROR_NONE)
        return ERROR_INVALID;
      n++;
    }
  return http_head_text_finish (ctx, &head, headers);
}

/* Lines of head that begin with name and a colon, dashes and underscores taken for one. */
static uint32_t
lines_of (const char *head, const char *name)
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
  FUZZ_REQUIRE (lines_of (head, "x-tenant") == 1);
  FUZZ_REQUIRE (strstr (head, "\r\nX-Tenant: alma\r\n") != NULL);
  FUZZ_REQUIRE (lines_of (head, "authorization") == 0);
  target.customer = "";
  head = platform_dialect.write_request (ctx, exchange, &target);
  FUZZ_REQUIRE (lines_of (head, "x-tenant") == 0 && lines_of (head, "authorization") == 0);
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t n_bytes)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct HttpExchange exchange = { .method = "GET", .target = "/a" };
  char *text = talloc_strndup (ctx, (const char *)bytes, n_bytes);

  if (headers_read (ctx, text, &exchange.headers) == ERROR_NONE)
    fuzz_headers (ctx, &exchange);
  talloc_free (ctx);
  return 0;
}
