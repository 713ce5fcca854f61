#include "ctl_run.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ARGUMENTS_MAX = 32,
  ID_BYTES = 36
};

/* Splits line at single spaces into argv and replaces "@" by address. Returns argc. */
static int
split_arguments (TALLOC_CTX *ctx, const char *line, const char *address, char *argv[ARGUMENTS_MAX])
{
  char *copy = talloc_strdup (ctx, line);
  char *rest = NULL;
  int n = 0;

  for (char *argument = strtok_r (copy, " ", &rest); argument != NULL && n < ARGUMENTS_MAX - 1;
       argument = strtok_r (NULL, " ", &rest))
    argv[n++] = strcmp (argument, "@") == 0 ? talloc_strdup (ctx, address) : argument;
  argv[n] = NULL;
  return n;
}

static void
mask_change_id (char *log, const char *err)
{
  const char *id = err != NULL ? strstr (err, "change id ") : NULL;
  char text[ID_BYTES + 1];

  if (id == NULL)
    return;
  snprintf (text, sizeof text, "%s", id + strlen ("change id "));
  for (char *c = strstr (log, text); c != NULL; c = strstr (log, text))
    {
      memmove (c + 2, c + ID_BYTES, strlen (c + ID_BYTES) + 1);
      memcpy (c, "ID", 2);
    }
}

static void
replace_with_copy (TALLOC_CTX *ctx, char **text)
{
  char *copy = talloc_strdup (ctx, *text != NULL ? *text : "");

  free (*text);
  *text = copy;
}

struct CtlRun *
run_command_line (const struct FakeReply *replies, CommandFn command, const char *line)
{
  struct CtlRun *r = talloc_zero (NULL, struct CtlRun);
  char *argv[ARGUMENTS_MAX];
  struct CommandIo io;
  size_t out_bytes;
  size_t err_bytes;
  int argc;

  setenv ("USER", "asha", 1);
  r->fake = fake_operator_new (r, replies);
  if (r->fake == NULL)
    abort ();
  argc = split_arguments (r, line, fake_operator_address (r->fake), argv);
  io.out = open_memstream (&r->out, &out_bytes);
  io.err = open_memstream (&r->err, &err_bytes);
  r->exit_code = command (argc, argv, &io);
  fclose (io.out);
  fclose (io.err);
  replace_with_copy (r, &r->out);
  replace_with_copy (r, &r->err);
  r->log = fake_operator_log (r->fake, r);
  mask_change_id (r->log, r->err);
  return r;
}

struct CtlRun *
run_ctl (const struct FakeReply *replies, const char *line)
{
  return run_command_line (replies, command_ctl, line);
}

bool
text_contains (const char *text, const char *part)
{
  return text != NULL && strstr (text, part) != NULL;
}
