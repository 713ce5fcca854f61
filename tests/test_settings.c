#include "test_main.h"

#include <buckthornhead/settings.h>

#include <command.h>

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define INSTANCE "[instance]\nname = entry-1\nzone = malda\n"
#define LISTEN "[listen]\ncaller = 10.1.0.1:8700\noperator = 10.1.0.1:8701\npeer = 10.1.0.1:8702\n"
#define PLATFORM "[platform]\nkv = http://10.1.0.9:2379\n"
#define BASE INSTANCE LISTEN PLATFORM /* nine lines */
#define BACKEND "[backend b1]\nkind = engine\ntarget = m\naddress = 10.1.0.2:9001\nzone = malda\n"

struct BadFile
{
  const char *text;
  const char *faults;
};

static const struct BadFile bad_files[] = {
  { "", "i.ini:1: [instance] name: the key is missing; add it\n"
        "i.ini:1: [instance] zone: the key is missing; add it\n"
        "i.ini:1: [listen] caller: the key is missing; add it\n"
        "i.ini:1: [listen] operator: the key is missing; add it\n"
        "i.ini:1: [listen] peer: the key is missing; add it\n"
        "i.ini:1: [platform] kv: the key is missing; add it\n" },
  { LISTEN PLATFORM, "i.ini:1: [instance] name: the key is missing; add it\n"
                     "i.ini:1: [instance] zone: the key is missing; add it\n" },
  { INSTANCE PLATFORM LISTEN "extra = 1\n",
    "i.ini:10: [listen] extra: the key is not known; use one of: caller operator peer\n" },
  { BASE "[treads]\ncaller = 4\n",
    "i.ini:10: [treads]: the section is not known; use one of: [instance] [listen] "
    "[platform] [threads] [limits] [journal] [homes] [secrets] [backend NAME]\n" },
  { BASE "[threads]\ncallers = 4\n",
    "i.ini:11: [threads] callers: the key is not known; use one of: caller backend\n" },
  { BASE "[threads]\ncaller = 0\nbackend = 65\n",
    "i.ini:11: [threads] caller: '0' is out of range; use a value from 1 to 64\n"
    "i.ini:12: [threads] backend: '65' is out of range; use a value from 1 to 64\n" },
  { BASE "[threads]\ncaller = 4s\n",
    "i.ini:11: [threads] caller: '4s' is not a number or has an invalid unit; write a whole "
    "number without a unit\n" },
  { BASE "[limits]\nbody_bytes = 4MB\nrequest_timeout = 30\n",
    "i.ini:11: [limits] body_bytes: '4MB' is not a number or has an invalid unit; write a whole "
    "number of bytes, with or without a suffix K or M\n"
    "i.ini:12: [limits] request_timeout: '30' is not a number or has an invalid unit; write a "
    "whole number with a unit ms, s, m or h\n" },
  { BASE "[limits]\nbody_bytes = 1G\nheader_bytes = 2M\nconnections = many\n",
    "i.ini:11: [limits] body_bytes: '1G' is not a number or has an invalid unit; write a whole "
    "number of bytes, with or without a suffix K or M\n"
    "i.ini:12: [limits] header_bytes: '2M' is out of range; use a value from 1K to 1M\n"
    "i.ini:13: [limits] connections: 'many' is not a number or has an invalid unit; write a "
    "whole number without a unit\n" },
  { BASE "[homes]\nlease = 500ms\n",
    "i.ini:11: [homes] lease: '500ms' is not a whole number of seconds; write whole seconds\n" },
  { BASE "[homes]\nlease = 10m\npartitions = 8\n",
    "i.ini:10: [homes] group_size: the group size exceeds the number of partitions; lower it, or "
    "raise partitions\n"
    "i.ini:11: [homes] lease: '10m' is out of range; use a value from 1s to 5m\n" },
  { BASE "[journal]\nretry = 2s\nretry = 3s\n",
    "i.ini:12: [journal] retry: the key is already set on line 11; keep only one of them\n" },
  { BASE "[journal]\nretry = 2s\n[journal]\nwrites_per_s = 10\n",
    "i.ini:12: [journal]: the section already appears on line 10; keep only one of them\n" },
  { INSTANCE PLATFORM "[listen]\ncaller = 10.1.0.1:8700\noperator = 10.1.0.1:8700\n"
                      "peer = 10.1.0.1:8700\n",
    "i.ini:8: [listen] operator: 10.1.0.1:8700 is also the address of 'caller'; give each "
    "listener its own port\n"
    "i.ini:9: [listen] peer: 10.1.0.1:8700 is also the address of 'caller'; give each "
    "listener its own port\n" },
  { INSTANCE PLATFORM "[listen]\ncaller = localhost:8700\noperator = 10.1.0.1\n"
                      "peer = 0.0.0.0:8702\n",
    "i.ini:7: [listen] caller: 'localhost:8700' is not an IP address with a port; write "
    "IP:port, such as 10.1.0.7:8700; host names are not resolved\n"
    "i.ini:8: [listen] operator: '10.1.0.1' is not an IP address with a port; write IP:port, "
    "such as 10.1.0.7:8700; host names are not resolved\n"
    "i.ini:9: [listen] peer: '0.0.0.0:8702' is a wildcard address; "
    "write the IP address that other processes connect to\n" },
  { INSTANCE PLATFORM "[listen]\ncaller = 10.1.0.1:0\noperator = 10.1.0.1:65536\n"
                      "peer = 10.1.0.300:8702\n",
    "i.ini:7: [listen] caller: '10.1.0.1:0' is not an IP address with a port; write IP:port, "
    "such as 10.1.0.7:8700; host names are not resolved\n"
    "i.ini:8: [listen] operator: '10.1.0.1:65536' is not an IP address with a port; write "
    "IP:port, such as 10.1.0.7:8700; host names are not resolved\n"
    "i.ini:9: [listen] peer: '10.1.0.300:8702' is not an IP address with a port; write IP:port, "
    "such as 10.1.0.7:8700; host names are not resolved\n" },
  { INSTANCE LISTEN "[platform]\nkv = 10.1.0.9:2379\ninstances = http://\nprefix = /x\n",
    "i.ini:9: [platform] kv: '10.1.0.9:2379' is not a URL; write it as http://IP:port\n"
    "i.ini:10: [platform] instances: 'http://' is not a URL; write it as http://IP:port\n"
    "i.ini:11: [platform] prefix: '/x' does not end with '/', or starts with it; write it as "
    "buckthornhead/\n" },
  { BASE "[secrets]\noperator_token_file = /nonexistent/token\n",
    "i.ini:11: [secrets] operator_token_file: '/nonexistent/token': No such file or "
    "directory; write the token to this file and let this user read it\n" },
  { BASE "[secrets]\noperator_token_file = /dev/null\n",
    "i.ini:11: [secrets] operator_token_file: '/dev/null' contains no token; write the token "
    "on its first line\n" },
  { BASE BACKEND BACKEND,
    "i.ini:15: [backend]: the name 'b1' is already used on line 10; give each backend "
    "server a unique name\n" },
  { BASE "[backend]\nkind = engine\ntarget = m\naddress = 10.1.0.2:9001\nzone = malda\n",
    "i.ini:10: [backend]: '' is not a valid name; write [backend NAME], of 1 to 64 letters, "
    "digits, '-', '_' and '.'\n" },
  { BASE "[backend b2]\nkind = motor\ntarget = m m\n",
    "i.ini:10: [backend b2] address: the key is missing; add it\n"
    "i.ini:10: [backend b2] zone: the key is missing; add it\n"
    "i.ini:11: [backend b2] kind: 'motor' is not a valid choice; write one of: engine "
    "service\n"
    "i.ini:12: [backend b2] target: 'm m' is not a valid name; use 1 to 64 letters, digits, '-', "
    "'_' and '.'\n" },
  { "name = entry-1\n" BASE,
    "i.ini:1: name: the key is outside any section; move it below its [section]\n" },
  { BASE "[limits\nbody_bytes 4M\n= 4M\n",
    "i.ini:10: the section name is not terminated; write [section] alone on its line\n"
    "i.ini:11: the line is not a section, a key with a value or a comment; write "
    "[section], key = value, or start a comment with ; or #\n"
    "i.ini:12: the line is not a section, a key with a value or a comment; write "
    "[section], key = value, or start a comment with ; or #\n" },
  { BASE "; a long line follows\n[limits]\nbody_bytes = "
         "4444444444444444444444444444444444444444444444444444444444444444444444444444444444444444"
         "4444444444444444444444444444444444444444444444444444444444444444444444444444444444444444"
         "44444444\n",
    "i.ini:12: the line is too long; shorten it to 190 bytes\n" },
};

static void
test_invalid_files_report_their_faults (void)
{
  for (size_t i = 0; i < sizeof bad_files / sizeof bad_files[0]; i++)
    {
      struct ConfigFaults *faults = talloc_zero (NULL, struct ConfigFaults);
      struct Settings *settings;

      CU_ASSERT_EQUAL (settings_parse (faults, "i.ini", bad_files[i].text, &settings, faults),
                       ERROR_INVALID);
      CU_ASSERT_PTR_NULL (settings);
      CU_ASSERT_STRING_EQUAL (config_faults_render (faults, faults), bad_files[i].faults);
      talloc_free (faults);
    }
}

/* Returns what check-config prints to standard error for i.ini in the current folder. */
static char *
check_config (TALLOC_CTX *ctx, int *exit_code)
{
  char *argv[] = { (char *)"check-config", (char *)"i.ini", NULL };
  char *out = NULL;
  char *err = NULL;
  size_t out_bytes;
  size_t err_bytes;
  struct CommandIo io = { open_memstream (&out, &out_bytes), open_memstream (&err, &err_bytes) };
  char *text;

  *exit_code = command_check_config (2, argv, &io);
  fclose (io.out);
  fclose (io.err);
  text = talloc_strdup (ctx, err);
  free (out);
  free (err);
  return text;
}

/* Checks the same files with the check-config command. */
static void
test_check_config_prints_the_faults_of_each_file (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  char folder[] = "/tmp/buckthornhead-settings-XXXXXX";

  CU_ASSERT_FATAL (mkdtemp (folder) != NULL && chdir (folder) == 0);
  for (size_t i = 0; i < sizeof bad_files / sizeof bad_files[0]; i++)
    {
      FILE *stream = fopen ("i.ini", "we");
      int exit_code = EXIT_CODE_OK;

      if (stream == NULL)
        {
          CU_FAIL ("i.ini cannot be written");
          break;
        }
      fputs (bad_files[i].text, stream);
      fclose (stream);
      CU_ASSERT_STRING_EQUAL (check_config (ctx, &exit_code), bad_files[i].faults);
      CU_ASSERT_EQUAL (exit_code, EXIT_CODE_USAGE);
    }
  unlink ("i.ini");
  CU_ASSERT_EQUAL (chdir ("/"), 0);
  rmdir (folder);
  talloc_free (ctx);
}

static void
test_valid_file_has_values_and_defaults (void)
{
  static const char text[] = "\xEF\xBB\xBF" BASE "[limits]\n\trequest_timeout = 2m\n"
                             "body_bytes: 2K ; small\r\n" BACKEND "[threads]\ncaller = 7";
  struct ConfigFaults *faults = talloc_zero (NULL, struct ConfigFaults);
  struct Settings *settings = NULL;

  CU_ASSERT_EQUAL (settings_parse (faults, "i.ini", text, &settings, faults), ERROR_NONE);
  if (settings != NULL)
    {
      CU_ASSERT_STRING_EQUAL (settings->instance, "entry-1");
      CU_ASSERT_STRING_EQUAL (settings->zone, "malda");
      CU_ASSERT_STRING_EQUAL (settings->data_folder, "");
      CU_ASSERT_STRING_EQUAL (settings->kv_url, "http://10.1.0.9:2379");
      CU_ASSERT_STRING_EQUAL (settings->prefix, "buckthornhead/");
      CU_ASSERT_EQUAL (settings->request_timeout_ms, 120000);
      CU_ASSERT_EQUAL (settings->body_max_bytes, 2048);
      CU_ASSERT_EQUAL (settings->caller_threads, 7);
      CU_ASSERT_EQUAL (settings->lease_ttl_s, 5);
      CU_ASSERT_EQUAL_FATAL (settings->n_backends, 1);
      CU_ASSERT_STRING_EQUAL (settings->backends[0].name, "b1");
      CU_ASSERT_EQUAL (settings->backends[0].kind, CALL_TARGET_ENGINE);
      CU_ASSERT_STRING_EQUAL (settings->backends[0].address, "10.1.0.2:9001");
    }
  talloc_free (faults);
}

static void
test_token_is_read_from_its_file (void)
{
  char file[] = "/tmp/buckthornhead-token-XXXXXX";
  struct ConfigFaults *faults = talloc_zero (NULL, struct ConfigFaults);
  struct Settings *settings = NULL;
  int fd = mkstemp (file);
  char *text = talloc_asprintf (faults, BASE "[secrets]\noperator_token_file = %s\n", file);

  CU_ASSERT_FATAL (fd >= 0);
  CU_ASSERT_EQUAL (write (fd, "s3cret\n", 7), 7);
  close (fd);
  CU_ASSERT_EQUAL (settings_parse (faults, "i.ini", text, &settings, faults), ERROR_NONE);
  CU_ASSERT (settings != NULL && strcmp (settings->operator_token, "s3cret") == 0);
  unlink (file);
  talloc_free (faults);
}

static void
test_sample_settings_are_valid (void)
{
  static const char *const names[] = { "bengal-orchards", "alergomeni" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      struct ConfigFaults *faults = talloc_zero (NULL, struct ConfigFaults);
      char *file = talloc_asprintf (faults, "%s/examples/%s.ini", SOURCE_FOLDER, names[i]);
      struct Settings *settings;

      CU_ASSERT_EQUAL (settings_load (faults, file, &settings, faults), ERROR_NONE);
      CU_ASSERT_STRING_EQUAL (config_faults_render (faults, faults), "");
      talloc_free (faults);
    }
}

static void
test_unreadable_file_is_a_fault (void)
{
  struct ConfigFaults *faults = talloc_zero (NULL, struct ConfigFaults);
  struct Settings *settings;

  CU_ASSERT_EQUAL (settings_load (faults, "/nonexistent.ini", &settings, faults), ERROR_INVALID);
  CU_ASSERT_STRING_EQUAL (config_faults_render (faults, faults),
                          "/nonexistent.ini:1: No such file or directory; check the path and its "
                          "permissions\n");
  talloc_free (faults);
}

static void
test_address_is_an_ip_address_and_a_port (void)
{
  static const char *const bad[] = { "",         ":",       "1.2.3.4",
                                     "1.2.3.4:", ":80",     "1.2.3.4:+80",
                                     "::1:80",   "[::1:80", "[1.2.3.4]:80",
                                     "host:80" };
  char ip[46];
  uint16_t port;

  CU_ASSERT_EQUAL (address_parse ("127.0.0.1:8700", ip, &port), ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (ip, "127.0.0.1");
  CU_ASSERT_EQUAL (port, 8700);
  CU_ASSERT_EQUAL (address_parse ("[0:0::1]:65535", ip, &port), ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (ip, "::1");
  CU_ASSERT_EQUAL (port, 65535);
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CU_ASSERT_EQUAL (address_parse (bad[i], ip, &port), ERROR_INVALID);
}

const char test_suite_name[] = "settings";
const struct TestCase test_cases[] = {
  { "invalid files report their faults", test_invalid_files_report_their_faults },
  { "check-config prints the faults of each file",
    test_check_config_prints_the_faults_of_each_file },
  { "valid file has values and defaults", test_valid_file_has_values_and_defaults },
  { "token is read from its file", test_token_is_read_from_its_file },
  { "sample settings are valid", test_sample_settings_are_valid },
  { "unreadable file is a fault", test_unreadable_file_is_a_fault },
  { "address is an IP address and a port", test_address_is_an_ip_address_and_a_port },
  { NULL, NULL },
};
