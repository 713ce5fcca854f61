#include "command.h"

#include <buckthornhead/gateway_settings.h>
#include <buckthornhead/ini_text.h>
#include <buckthornhead/settings.h>

#include <string.h>

enum
{
  FILES_MAX = 256
};

/* Kind of a file, detected by a section that only files of this kind have. */
enum FileKind
{
  FILE_SETTINGS,
  FILE_PROFILE, /* [profile] */
  FILE_GATEWAY  /* [archives] */
};

static void
detect_kind_from_line (void *data, const struct IniLine *line)
{
  enum FileKind *kind = data;

  if (line->key != NULL)
    return;
  if (strcmp (line->section, "profile") == 0)
    *kind = FILE_PROFILE;
  else if (strcmp (line->section, "archives") == 0)
    *kind = FILE_GATEWAY;
}

static enum FileKind
detect_file_kind (const char *file, const char *text)
{
  struct ConfigFaults *ignored = talloc_zero (NULL, struct ConfigFaults);
  enum FileKind kind = FILE_SETTINGS;

  if (ignored != NULL)
    ini_text_each (file, text, detect_kind_from_line, &kind, ignored);
  talloc_free (ignored);
  return kind;
}

static int32_t
check_file (TALLOC_CTX *ctx, const char *file, struct ConfigFaults *faults)
{
  char *text = config_file_read (ctx, file, faults);
  struct GatewaySettings *gateway;
  struct Settings *settings;
  struct Profile profile;

  if (text == NULL)
    return ERROR_INVALID;
  switch (detect_file_kind (file, text))
    {
    case FILE_PROFILE:
      return profile_parse (file, text, &profile, faults);
    case FILE_GATEWAY:
      return gateway_settings_parse (ctx, file, text, &gateway, faults);
    case FILE_SETTINGS:
      break;
    }
  return settings_parse (ctx, file, text, &settings, faults);
}

static int
check_files (const char *const *files, int n_files, const struct CommandIo *io)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  int exit_code = EXIT_CODE_OK;

  for (int i = 0; i < n_files; i++)
    {
      struct ConfigFaults *faults = talloc_zero (ctx, struct ConfigFaults);

      if (faults == NULL)
        {
          exit_code = EXIT_CODE_FAILED;
          break;
        }
      if (check_file (ctx, files[i], faults) == ERROR_NONE)
        {
          fprintf (io->out, "%s: valid\n", files[i]);
          continue;
        }
      fputs (config_faults_render (ctx, faults), io->err);
      exit_code = EXIT_CODE_USAGE;
    }
  talloc_free (ctx);
  return exit_code;
}

int
command_check_config (int argc, char **argv, const struct CommandIo *io)
{
  static const struct CommandUsage usage = {
    "buckthornhead check-config", "Checks settings and profiles and shows every fault of each file."
  };
  struct CommonOptions standard = { 0 };
  bool complete = common_options_new (&standard);
  struct arg_file *files = arg_filen (NULL, NULL, "FILE", 1, FILES_MAX, "settings or profile");
  void *argtable[] = { files, standard.help, standard.version, standard.end };
  int exit_code = EXIT_CODE_FAILED;

  if (complete && command_parse (&usage, &standard, argtable, argc, argv, io, &exit_code))
    exit_code = check_files (files->filename, files->count, io);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}
