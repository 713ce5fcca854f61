#include "test_main.h"

#include <buckthornhead/gateway_settings.h>

#include <string.h>

static const char gateway_text[] = "[instance]\nname = front-1\nzone = malda\n"
                                   "[listen]\ncaller = 127.0.0.1:8149\nready = 127.0.0.1:8141\n"
                                   "directory = 127.0.0.1:8143\npeer = 127.0.0.1:7380\n"
                                   "[platform]\nstore = http://127.0.0.1:8142\n"
                                   "[stop]\ngrace = 8s\n";
static const char archive_text[] = "[instance]\nname = storage-1\nzone = malda\n"
                                   "data_folder = /data/x\n[listen]\npeer = 127.0.0.1:7380\n"
                                   "[platform]\nstore = http://127.0.0.1:8142\n"
                                   "[archives]\nfirst_start = true\ntolerated = 2\n";

static int32_t
parse (TALLOC_CTX *ctx, const char *text, struct GatewaySettings **settings, char **messages)
{
  struct ConfigFaults *faults = talloc_zero (ctx, struct ConfigFaults);
  int32_t error = gateway_settings_parse (ctx, "x.ini", text, settings, faults);

  *messages = config_faults_render (ctx, faults);
  return error;
}

static void
test_gateway_and_archive_settings_parse (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct GatewaySettings *s;
  char *messages;

  CU_ASSERT_EQUAL (parse (ctx, gateway_text, &s, &messages), ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (s->caller_listen, "127.0.0.1:8149");
  CU_ASSERT_EQUAL (s->grace_ms, 8000);
  CU_ASSERT_EQUAL (s->tolerated, 1);
  CU_ASSERT_EQUAL (s->longest_retention_ms, 600000);
  CU_ASSERT_STRING_EQUAL (s->prefix, "buckthornhead/");
  CU_ASSERT_EQUAL (parse (ctx, archive_text, &s, &messages), ERROR_NONE);
  CU_ASSERT_EQUAL (s->first_start, 1);
  CU_ASSERT_EQUAL (s->tolerated, 2);
  CU_ASSERT_STRING_EQUAL (s->data_folder, "/data/x");
  talloc_free (ctx);
}

static void
test_all_faults_are_reported (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct GatewaySettings *s;
  char *messages;

  CU_ASSERT_EQUAL (
      parse (ctx, "[instance]\nname = a b\n[listen]\npeer = nowhere\nwhat = 1\n", &s, &messages),
      ERROR_INVALID);
  CU_ASSERT_PTR_NULL (s);
  CU_ASSERT_PTR_NOT_NULL (strstr (messages, "x.ini:2:"));
  CU_ASSERT_PTR_NOT_NULL (strstr (messages, "x.ini:4:"));
  CU_ASSERT_PTR_NOT_NULL (strstr (messages, "x.ini:5:"));
  CU_ASSERT_PTR_NOT_NULL (strstr (messages, "zone"));
  CU_ASSERT_PTR_NOT_NULL (strstr (messages, "store"));
  talloc_free (ctx);
}

static void
test_process_is_gateway_or_archive (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct GatewaySettings *s;
  char *messages,
      *both = talloc_asprintf (ctx, "%s[instance]\ndata_folder = /data/x\n", gateway_text);

  CU_ASSERT_EQUAL (parse (ctx,
                          "[instance]\nname = a\nzone = b\n[listen]\npeer = 127.0.0.1:1\n"
                          "[platform]\nstore = http://127.0.0.1:2\n",
                          &s, &messages),
                   ERROR_INVALID);
  CU_ASSERT_PTR_NOT_NULL (strstr (messages, "neither a gateway nor an archive"));
  CU_ASSERT_EQUAL (parse (ctx, both, &s, &messages), ERROR_INVALID);
  talloc_free (ctx);
}

/* Operators can switch off a single mechanism. An invalid value is reported, not read as off. */
static void
test_each_decision_has_a_switch (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct GatewaySettings *s;
  char *messages;

  CU_ASSERT_EQUAL (parse (ctx, gateway_text, &s, &messages), ERROR_NONE);
  CU_ASSERT_EQUAL (s->decisions.sessions, 1);
  CU_ASSERT_EQUAL (s->decisions.resume, 1);
  CU_ASSERT_EQUAL (
      parse (ctx,
             talloc_asprintf (ctx, "%s[decisions]\nsessions = off\nowners = on\n", gateway_text),
             &s, &messages),
      ERROR_NONE);
  CU_ASSERT_EQUAL (s->decisions.sessions, 0);
  CU_ASSERT_EQUAL (s->decisions.owners, 1);
  CU_ASSERT_EQUAL (s->decisions.order, 1);
  CU_ASSERT_EQUAL (parse (ctx,
                          talloc_asprintf (ctx, "%s[decisions]\norder = maybe\n", gateway_text), &s,
                          &messages),
                   ERROR_INVALID);
  CU_ASSERT_PTR_NOT_NULL (strstr (messages, "order"));
  talloc_free (ctx);
}

/* Guards against new decisions that take effect where no setting asks for them. */
static void
test_modes_are_off_unless_set (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct GatewaySettings *s;
  char *messages;

  CU_ASSERT_EQUAL (parse (ctx, gateway_text, &s, &messages), ERROR_NONE);
  CU_ASSERT_EQUAL (s->decisions.admission, DECISION_OFF);
  CU_ASSERT_EQUAL (s->decisions.pace, DECISION_OFF);
  CU_ASSERT_EQUAL (s->decisions.plain_queues, DECISION_OFF);
  CU_ASSERT_EQUAL (
      parse (ctx,
             talloc_asprintf (ctx, "%s[decisions]\nadmission = auto\npace = on\n", gateway_text),
             &s, &messages),
      ERROR_NONE);
  CU_ASSERT_EQUAL (s->decisions.admission, DECISION_AUTO);
  CU_ASSERT_EQUAL (s->decisions.pace, DECISION_ON);
  CU_ASSERT_EQUAL (s->decisions.plain_queues, DECISION_OFF);
  talloc_free (ctx);
}

/* Guards against a bound on memory that is not the one set, and against none without a setting. */
static void
test_held_memory_is_a_share_unless_set (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct GatewaySettings *s;
  char *messages;

  CU_ASSERT_EQUAL (parse (ctx, gateway_text, &s, &messages), ERROR_NONE);
  CU_ASSERT_EQUAL (s->held_memory_bytes, 0);
  CU_ASSERT_EQUAL (parse (ctx,
                          talloc_asprintf (ctx, "%s[limits]\nheld_memory = 32M\n", gateway_text),
                          &s, &messages),
                   ERROR_NONE);
  CU_ASSERT_EQUAL (s->held_memory_bytes, 32 * 1024 * 1024);
  CU_ASSERT_EQUAL (parse (ctx,
                          talloc_asprintf (ctx, "%s[limits]\nheld_memory = 8192M\n", gateway_text),
                          &s, &messages),
                   ERROR_NONE);
  CU_ASSERT_EQUAL (s->held_memory_bytes, UINT64_C (8192) * 1024 * 1024);
  CU_ASSERT_EQUAL (parse (ctx,
                          talloc_asprintf (ctx, "%s[limits]\nheld_memory = much\n", gateway_text),
                          &s, &messages),
                   ERROR_INVALID);
  CU_ASSERT_PTR_NOT_NULL (strstr (messages, "held_memory"));
  talloc_free (ctx);
}

/* Guards against a way of sharing limits that is read as another one. */
static void
test_ways_of_sharing_limits (void)
{
  static const struct
  {
    const char *text;
    enum QuotaSharing sharing;
  } cases[] = {
    { "", QUOTA_BY_REPORTS },
    { "[quota]\nsharing = counts\n", QUOTA_BY_REPORTS },
    { "[quota]\nsharing = equal_parts\n", QUOTA_BY_EQUAL_SHARES },
    { "[quota]\nsharing = leases\n", QUOTA_BY_LEASES },
  };
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct GatewaySettings *s;
  char *messages;

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const char *text = talloc_asprintf (ctx, "%s%s", gateway_text, cases[i].text);

      CU_ASSERT_EQUAL_FATAL (parse (ctx, text, &s, &messages), ERROR_NONE);
      CU_ASSERT_EQUAL (s->quota_sharing, (int32_t)cases[i].sharing);
    }
  CU_ASSERT_EQUAL (parse (ctx, talloc_asprintf (ctx, "%s[quota]\nsharing = lease\n", gateway_text),
                          &s, &messages),
                   ERROR_INVALID);
  talloc_free (ctx);
}

const char test_suite_name[] = "gateway_settings";
const struct TestCase test_cases[] = {
  { "gateway and archive settings parse", test_gateway_and_archive_settings_parse },
  { "all faults are reported", test_all_faults_are_reported },
  { "a process is a gateway or an archive", test_process_is_gateway_or_archive },
  { "each decision has a switch", test_each_decision_has_a_switch },
  { "modes are off unless set", test_modes_are_off_unless_set },
  { "held memory is a share unless set", test_held_memory_is_a_share_unless_set },
  { "ways of sharing limits", test_ways_of_sharing_limits },
  { NULL, NULL },
};
