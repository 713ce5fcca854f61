#include "command.h"

#include <buckthornhead/ini_text.h>
#include <buckthornhead/settings.h>

#include <string.h>

enum
{
  FILES_MAX = 256
};

static void
note_profile_section (void *data, const struct IniLine *line)
{
  bool *is_profile = data;

  if (line->key == NULL && strcmp (line->section, "profile") == 0)
    *is_profile = true;
}

/* A file with a [profile] section is a profile, any other one settings. */
static bool
is_profile (const char *file, const char *text)
{
  struct ConfigFaults *ignored = talloc_zero (NULL, struct ConfigFaults);
  bool found = false;

  if (ignored != NULL)
    ini_text_each (file, text, note_profile_section, &found, ignored);
  talloc_free (ignored);
  return found;
}

static int32_t
check_file (TALLOC_CTX *ctx, const char *file, struct ConfigFaults *faults)
{
  char *text = config_file_read (ctx, file, faults);
  struct Settings *settings;
  struct Profile profile;

  if (text == NULL)
    return ERROR_INVALID;
  if (is_profile (file, text))
    return profile_parse (file, text, &profile, faults);
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
          fprintf (io->out, "%s: sound\n", files[i]);
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
  static const struct CommandWords words = {
    "buckthornhead check-config", "Checks settings and profiles and shows every fault of each file."
  };
  struct CommandStandard standard = { 0 };
  bool complete = command_standard_new (&standard);
  struct arg_file *files = arg_filen (NULL, NULL, "FILE", 1, FILES_MAX, "settings or profile");
  void *argtable[] = { files, standard.help, standard.version, standard.end };
  int exit_code = EXIT_CODE_FAILED;

  if (complete && command_parse (&words, &standard, argtable, argc, argv, io, &exit_code))
    exit_code = check_files (files->filename, files->count, io);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}
