#include "test_main.h"

#include "fakes/ctl_run.h"

static void
test_check_config_detects_the_kind_of_file (void)
{
  static const struct FakeReply replies[] = { { 0, NULL } };
  struct CtlRun *r =
      run_command_line (replies, command_check_config,
                        "check-config " SOURCE_FOLDER "/examples/hiring.ini " SOURCE_FOLDER
                        "/examples/gateway.ini " SOURCE_FOLDER
                        "/examples/archive.ini " SOURCE_FOLDER "/examples/alergomeni.ini");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT (text_contains (r->out, "alergomeni.ini: valid\n"));
  CU_ASSERT (text_contains (r->out, "gateway.ini: valid\n"));
  CU_ASSERT (text_contains (r->out, "archive.ini: valid\n"));
  talloc_free (r);
  r = run_command_line (replies, command_check_config, "check-config /dev/null /nonexistent.ini");
  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_USAGE);
  CU_ASSERT (text_contains (r->err, "/dev/null:1: [platform] kv: the key is missing; add it\n"
                                    "/nonexistent.ini:1: No such file"));
  talloc_free (r);
  r = run_command_line (replies, command_check_config, "check-config");
  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_USAGE);
  talloc_free (r);
  r = run_command_line (replies, command_check_config, "check-config --help");
  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  talloc_free (r);
}

static int
run_named (int argc, char **argv, const struct CommandIo *io)
{
  fprintf (io->out, "%s, argc %d\n", argv[0], argc);
  return EXIT_CODE_CONFLICT;
}

static int
run_table (int argc, char **argv, const struct CommandIo *io)
{
  static const struct Command table[] = { { "named", "runs", run_named }, { NULL, NULL, NULL } };

  return command_dispatch (table, argc, argv, io);
}

static void
test_command_table_dispatches (void)
{
  static const struct
  {
    const char *line;
    int exit_code;
    const char *out;
  } cases[] = {
    { "buckthornhead named a b", EXIT_CODE_CONFLICT, "named, argc 3\n" },
    { "buckthornhead --version", EXIT_CODE_OK, "buckthornhead " PRODUCT_VERSION "\n" },
    { "buckthornhead --help", EXIT_CODE_OK, "Usage: buckthornhead COMMAND" },
    { "buckthornhead", EXIT_CODE_USAGE, "" },
    { "buckthornhead other", EXIT_CODE_USAGE, "" },
  };
  static const struct FakeReply replies[] = { { 0, NULL } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct CtlRun *r = run_command_line (replies, run_table, cases[i].line);

      CU_ASSERT_EQUAL (r->exit_code, cases[i].exit_code);
      CU_ASSERT (text_contains (r->out, cases[i].out));
      talloc_free (r);
    }
}

const char test_suite_name[] = "command";
const struct TestCase test_cases[] = {
  { "check-config detects the kind of file", test_check_config_detects_the_kind_of_file },
  { "command table dispatches", test_command_table_dispatches },
  { NULL, NULL },
};
