/* Requests of callers: any method, path, headers, and body parse to a request or give a fault with
 * a message and a remedy.
 *
 * The input is "METHOD PATH\n", then "Name: value\n" lines (a name with '?' in front is a query
 * argument), an empty line, and the body. */
#include "fuzz.h"

#include <buckthornhead/caller_http.h>

#include <string.h>

enum
{
  FIELDS_MAX = 16
};

struct Field
{
  const char *name;
  const char *value;
};

struct Input
{
  const char *method;
  const char *path;
  struct Field fields[FIELDS_MAX];
  size_t n_fields;
  char *body;
};

static const char *
find_field (const struct Input *input, const char *name, bool query)
{
  for (size_t i = 0; i < input->n_fields; i++)
    {
      const char *field = input->fields[i].name;

      if (query == (field[0] == '?') && strcmp (field + (query ? 1 : 0), name) == 0)
        return input->fields[i].value;
    }
  return NULL;
}

static const char *
find_header (void *data, const char *name)
{
  return find_field (data, name, false);
}

static const char *
find_query (void *data, const char *name)
{
  return find_field (data, name, true);
}

static char *
cut_at (char **rest, const char *end)
{
  char *start = *rest;
  char *stop = strstr (start, end);

  if (stop == NULL)
    {
      *rest = start + strlen (start);
      return start;
    }
  *stop = '\0';
  *rest = stop + strlen (end);
  return start;
}

static void
split (char *text, struct Input *input)
{
  char *rest = text;
  char *line = cut_at (&rest, "\n");
  char *line_rest = line;

  memset (input, 0, sizeof *input);
  input->method = cut_at (&line_rest, " ");
  input->path = line_rest;
  while (*rest != '\0' && *rest != '\n')
    {
      line = cut_at (&rest, "\n");
      line_rest = line;
      if (input->n_fields == FIELDS_MAX)
        continue;
      input->fields[input->n_fields].name = cut_at (&line_rest, ": ");
      input->fields[input->n_fields++].value = line_rest;
    }
  input->body = *rest == '\n' ? rest + 1 : rest;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n_bytes)
{
  struct Exchange *exchange = exchange_new (EXCHANGE_CALLER);
  char *text = talloc_strndup (exchange, (const char *)data, n_bytes);
  struct Settings settings = { .json_depth_max = 32, .body_max_bytes = 4 * 1024 * 1024 };
  struct Fault fault = { 0 };
  struct Input input;
  int32_t error;

  split (text, &input);
  exchange->body = (uint8_t *)talloc_strdup (exchange, input.body);
  exchange->body_bytes = strlen (input.body);
  error = caller_request_parse (exchange, &settings, input.method, input.path, find_header,
                                find_query, &input, &fault);
  FUZZ_REQUIRE (error == ERROR_NONE || fault.error == error);
  FUZZ_REQUIRE (error == ERROR_NONE || (fault.message[0] != '\0' && fault.remedy[0] != '\0'));
  FUZZ_REQUIRE (error != ERROR_NONE || exchange->request.op != 0);
  exchange_release (exchange);
  return 0;
}
