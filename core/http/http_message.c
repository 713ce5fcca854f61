#include <buckthornhead/http_message.h>

#include <buckthornhead/error.h>
#include <buckthornhead/held_memory.h>

#include <string.h>
#include <strings.h>

enum
{
  HEAD_TEXT_INITIAL_BYTES = 1024,
  STARTS_INITIAL = 32,
  HEADERS_INITIAL = 16
};

const char *
http_headers_get (const struct HttpHeaders *headers, const char *name)
{
  for (size_t i = 0; i < headers->n_items; i++)
    if (strcasecmp (headers->items[i].name, name) == 0)
      return headers->items[i].value;
  return NULL;
}

size_t
http_headers_count (const struct HttpHeaders *headers, const char *name)
{
  size_t n = 0;

  for (size_t i = 0; i < headers->n_items; i++)
    if (strcasecmp (headers->items[i].name, name) == 0)
      n++;
  return n;
}

int32_t
http_headers_add (TALLOC_CTX *ctx, struct HttpHeaders *headers, const char *name, const char *value)
{
  size_t capacity = headers->items != NULL ? talloc_array_length (headers->items) : 0;

  if (headers->items == NULL || headers->n_items == capacity)
    {
      struct HttpHeader *grown = talloc_realloc (ctx, headers->items, struct HttpHeader,
                                                 capacity == 0 ? HEADERS_INITIAL : 2 * capacity);

      if (grown == NULL)
        return ERROR_NO_MEMORY;
      headers->items = grown;
    }
  headers->items[headers->n_items].name = name;
  headers->items[headers->n_items++].value = value;
  return ERROR_NONE;
}

bool
http_list_has (const char *value, const char *token)
{
  size_t n = strlen (token);

  while (value != NULL && *value != '\0')
    {
      size_t length;

      value += strspn (value, " \t,");
      length = strcspn (value, ",");
      while (length > 0 && (value[length - 1] == ' ' || value[length - 1] == '\t'))
        length--;
      if (length == n && strncasecmp (value, token, n) == 0)
        return true;
      value += strcspn (value, ",");
    }
  return false;
}

bool
http_headers_is_hop (const struct HttpHeaders *headers, const char *name)
{
  static const char *const fixed[] = { "Connection",
                                       "Keep-Alive",
                                       "Proxy-Connection",
                                       "Proxy-Authenticate",
                                       "Proxy-Authorization",
                                       "TE",
                                       "Trailer",
                                       "Transfer-Encoding",
                                       "Upgrade" };

  for (size_t i = 0; i < sizeof fixed / sizeof fixed[0]; i++)
    if (strcasecmp (name, fixed[i]) == 0)
      return true;
  for (size_t i = 0; i < headers->n_items; i++)
    if (strcasecmp (headers->items[i].name, "Connection") == 0
        && http_list_has (headers->items[i].value, name))
      return true;
  return false;
}

bool
http_headers_decodable (const struct HttpHeaders *headers)
{
  const char *coding = http_headers_get (headers, "Transfer-Encoding");

  return coding == NULL
         || (strcasecmp (coding, "chunked") == 0
             && http_headers_count (headers, "Transfer-Encoding") == 1);
}

static bool
head_text_reserve (TALLOC_CTX *ctx, struct HttpHeadText *head, size_t n_bytes)
{
  size_t capacity = head->capacity > 0 ? head->capacity : HEAD_TEXT_INITIAL_BYTES;
  char *grown;

  if (head->text != NULL && head->n_bytes + n_bytes <= head->capacity)
    return true;
  while (head->n_bytes + n_bytes > capacity)
    capacity *= 2;
  grown = (char *)held_memory_resize (ctx, (uint8_t *)head->text, capacity);
  if (grown == NULL)
    return false;
  head->text = grown;
  head->capacity = capacity;
  return true;
}

static bool
head_starts_reserve (TALLOC_CTX *ctx, struct HttpHeadText *head)
{
  size_t capacity = head->starts_capacity > 0 ? 2 * head->starts_capacity : STARTS_INITIAL;
  void *grown;

  if (head->n_starts < head->starts_capacity)
    return true;
  grown = held_memory_resize (ctx, (uint8_t *)head->starts, capacity * sizeof *head->starts);
  if (grown == NULL)
    return false;
  head->starts = grown;
  head->starts_capacity = capacity;
  return true;
}

/* Starts a new name or value and terminates the previous one with NUL. */
static bool
head_text_start (TALLOC_CTX *ctx, struct HttpHeadText *head, bool is_value)
{
  if (!head_starts_reserve (ctx, head) || !head_text_reserve (ctx, head, 1))
    return false;
  if (head->n_starts > 0)
    head->text[head->n_bytes++] = '\0';
  head->starts[head->n_starts++] = head->n_bytes;
  head->in_value = is_value;
  return true;
}

size_t
http_head_text_held_bytes (const struct HttpHeadText *head)
{
  return head->capacity + head->starts_capacity * sizeof *head->starts;
}

void
http_head_text_free (struct HttpHeadText *head)
{
  talloc_free (head->text);
  talloc_free (head->starts);
  memset (head, 0, sizeof *head);
}

int32_t
http_head_text_add (
    TALLOC_CTX *ctx, struct HttpHeadText *head, bool is_value, const char *bytes, size_t n_bytes)
{
  if ((head->n_starts == 0 || head->in_value != is_value) && !head_text_start (ctx, head, is_value))
    return ERROR_NO_MEMORY;
  for (size_t i = 0; i < n_bytes; i++)
    if (((unsigned char)bytes[i] < ' ' && bytes[i] != '\t') || bytes[i] == 0x7f)
      return ERROR_INVALID;
  if (!head_text_reserve (ctx, head, n_bytes + 1))
    return ERROR_NO_MEMORY;
  memcpy (head->text + head->n_bytes, bytes, n_bytes);
  head->n_bytes += n_bytes;
  return ERROR_NONE;
}

int32_t
http_head_text_finish (TALLOC_CTX *ctx, struct HttpHeadText *head, struct HttpHeaders *headers)
{
  memset (headers, 0, sizeof *headers);
  if (head->n_starts == 0)
    return ERROR_NONE;
  if (!head_text_reserve (ctx, head, 1))
    return ERROR_NO_MEMORY;
  head->text[head->n_bytes] = '\0';
  for (size_t i = 0; i < head->n_starts; i += 2)
    {
      const char *value = i + 1 < head->n_starts ? head->text + head->starts[i + 1] : "";

      if (http_headers_add (ctx, headers, head->text + head->starts[i], value) != ERROR_NONE)
        return ERROR_NO_MEMORY;
    }
  return ERROR_NONE;
}

const char *
http_reason (uint32_t status)
{
  switch (status)
    {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 402:
      return "Payment Required";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
    }
}

const char *
http_framing_name (enum HttpFraming framing)
{
  switch (framing)
    {
    case HTTP_FRAMING_LENGTH:
      return "its length";
    case HTTP_FRAMING_CHUNKS:
      return "its last chunk";
    case HTTP_FRAMING_CONNECTION:
      return "its connection";
    }
  return "unknown";
}
