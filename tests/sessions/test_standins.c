/* Checks the stand-in servers and the process control that the other session tests depend on. */
#include "cluster.h"
#include "test_main.h"

#include <signal.h>
#include <string.h>

/* Starts engines and tools without instances: the test sends its requests to them directly. */
static const struct ClusterOptions two_engines = { .n_engines = 2, .n_tools = 1 };

static const char chat[] =
    "{\"model\":\"negotiation\",\"messages\":[{\"role\":\"system\",\"content\":"
    "\"Haggle wages and lodging.\"},{\"role\":\"user\",\"content\":\"%s\"}]}";

static struct HttpReply *
send_chat (struct Cluster *cluster, uint32_t engine, const char *program, const char *text)
{
  char *header = talloc_asprintf (cluster, "X-Program: %s", program);
  const char *headers[] = { header, NULL };

  return http_send (cluster, "POST", cluster->engines[engine].address, "/v1/chat/completions",
                    headers, talloc_asprintf (cluster, chat, text));
}

static int
cached_tokens (const struct HttpReply *reply)
{
  const json_t *usage = json_object_get (reply->json, "usage");
  const json_t *details = json_object_get (usage, "prompt_tokens_details");

  return (int)json_integer_value (json_object_get (details, "cached_tokens"));
}

static void
test_engines_give_equal_answers (void)
{
  struct Cluster *cluster = cluster_start (NULL, &two_engines);
  struct HttpReply *first, *second;

  first = send_chat (cluster, 0, "p-1", "Twelve pickers from Monday.");
  second = send_chat (cluster, 1, "p-2", "Twelve pickers from Monday.");
  CU_ASSERT_EQUAL (first->status, 200);
  CU_ASSERT_STRING_EQUAL (first->body, second->body);
  CU_ASSERT_EQUAL (cluster_engine_runs (cluster, "p-1"), 1);
  cluster_stop (cluster, false);
}

static void
test_prefix_is_cached_until_released (void)
{
  struct Cluster *cluster = cluster_start (NULL, &two_engines);
  struct HttpReply *release;

  CU_ASSERT_EQUAL (cached_tokens (send_chat (cluster, 0, "p-1", "First.")), 0);
  CU_ASSERT_TRUE (cached_tokens (send_chat (cluster, 0, "p-1", "Second.")) > 0);
  CU_ASSERT_TRUE (cluster_held_tokens (cluster, "p-1") > 0);
  CU_ASSERT_TRUE (standin_control (cluster->engines[0].address, "{\"lose_release\":1}"));
  release = http_send (cluster, "POST", cluster->engines[0].address, "/release", NULL,
                       "{\"program\":\"p-1\"}");
  CU_ASSERT_EQUAL (release->status, 0);
  CU_ASSERT_TRUE (cluster_held_tokens (cluster, "p-1") > 0);
  release = http_send (cluster, "POST", cluster->engines[0].address, "/release", NULL,
                       "{\"program\":\"p-1\"}");
  CU_ASSERT_EQUAL (release->status, 200);
  CU_ASSERT_EQUAL (cluster_held_tokens (cluster, "p-1"), 0);
  CU_ASSERT_EQUAL (cached_tokens (send_chat (cluster, 0, "p-1", "Third.")), 0);
  cluster_stop (cluster, false);
}

static void
test_old_fencing_number_is_refused (void)
{
  struct Cluster *cluster = cluster_start (NULL, &two_engines);
  const char *address = cluster->engines[0].address;

  CU_ASSERT_EQUAL (
      http_send (cluster, "POST", address, "/orders", NULL, "{\"fencing\":7,\"order\":\"load\"}")
          ->status,
      200);
  CU_ASSERT_EQUAL (
      http_send (cluster, "POST", address, "/orders", NULL, "{\"fencing\":6,\"order\":\"load\"}")
          ->status,
      409);
  cluster_stop (cluster, false);
}

static void
test_processes_exit_on_control_and_signals (void)
{
  struct Cluster *cluster = cluster_start (NULL, &two_engines);

  CU_ASSERT_TRUE (standin_control (cluster->engines[0].address, "{\"crash_on\":\"poison\"}"));
  CU_ASSERT_EQUAL (send_chat (cluster, 0, "p-1", "poison")->status, 0);
  CU_ASSERT_TRUE (process_wait (cluster->engines[0].process));
  CU_ASSERT_TRUE (cluster_start_engine (cluster, 0));
  CU_ASSERT_EQUAL (send_chat (cluster, 0, "p-1", "wage")->status, 200);
  CU_ASSERT_TRUE (process_signal (cluster->engines[1].process, SIGSTOP));
  CU_ASSERT_TRUE (process_is_running (cluster->engines[1].process));
  process_kill (cluster->engines[1].process);
  CU_ASSERT_FALSE (process_is_running (cluster->engines[1].process));
  CU_ASSERT_EQUAL (cluster->engines[1].process->exit_status, -SIGKILL);
  cluster_stop (cluster, false);
}

static void
test_tool_counts_what_ran (void)
{
  struct Cluster *cluster = cluster_start (NULL, &two_engines);
  const char *headers[] = { "Idempotency-Key: k-1", NULL };
  const char *address = cluster->tools[0].address;

  CU_ASSERT_EQUAL (http_send (cluster, "POST", address, "/alert", headers, "{}")->status, 200);
  CU_ASSERT_TRUE (standin_control (address, "{\"close_after_run\":1}"));
  CU_ASSERT_EQUAL (http_send (cluster, "POST", address, "/alert", headers, "{}")->status, 0);
  CU_ASSERT_EQUAL (cluster_tool_runs (cluster), 2);
  cluster_stop (cluster, false);
}

const char test_suite_name[] = "standins";
const struct TestCase test_cases[] = {
  { "engines give equal answers", test_engines_give_equal_answers },
  { "prefix is cached until released", test_prefix_is_cached_until_released },
  { "old fencing number is refused", test_old_fencing_number_is_refused },
  { "processes exit on control and signals", test_processes_exit_on_control_and_signals },
  { "tool counts what ran", test_tool_counts_what_ran },
  { NULL, NULL },
};
