/* Checks that a planned stop interrupts no program. A stopping instance hands over a partition only
 * when its calls have ended, so a long stream delays the hand-off; the other programs of the
 * partition must be served meanwhile. */
#include "calls.h"
#include "test_main.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  N_OTHERS = 40,        /* enough for some to share the stream's partition, one of 16 */
  STREAM_TOKENS = 20000 /* takes longer than WAIT_LIMIT_MS at 400 tokens/s */
};

static const struct ClusterOptions three_instances = { .n_instances = 3,
                                                       .n_engines = 2,
                                                       .n_tools = 0 };

/* A stream through an instance that is not its program's home; the home is to be stopped. */
struct LongStream
{
  struct Cluster *cluster;
  struct CallThread thread;
  uint32_t home;
};

static struct LongStream *
long_stream_start (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct LongStream *stream = talloc_zero (cluster, struct LongStream);
  struct TestCall call = { .program = "streaming", .sequence = 1, .first_attempt = true };
  int32_t home;

  stream->cluster = cluster;
  CU_ASSERT_TRUE (cluster_wait_partitions_stable (cluster));
  CU_ASSERT_TRUE (create_program (cluster, 0, "streaming"));
  home = cluster_home (cluster, "streaming");
  CU_ASSERT_TRUE_FATAL (home >= 0);
  stream->home = (uint32_t)home;
  call.address = cluster->instances[(home + 1) % 3].address;
  call.body = chat_body (cluster, "negotiation", "long", STREAM_TOKENS, true);
  call_thread_start (&stream->thread, &call);
  CU_ASSERT_TRUE (wait_for_engine_runs (cluster, "streaming", 1));
  return stream;
}

static void
long_stream_stop (struct LongStream *stream)
{
  struct Cluster *cluster = stream->cluster;

  /* Ends the stream in any case, so that its thread exits. */
  for (uint32_t i = 0; i < cluster->options.n_engines; i++)
    process_kill (cluster->engines[i].process);
  for (uint32_t i = 0; i < cluster->options.n_instances; i++)
    process_kill (cluster->instances[i].process);
  call_thread_join (&stream->thread);
  talloc_free (stream->thread.reply);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* Programs send calls while the home of their partition stops and streams a long answer of another
 * program of the partition. The fault: the home waits for the stream before it hands the partition
 * over, and refuses the calls of the partition's other programs until then. */
static void
test_other_programs_served_during_handoff (void)
{
  struct LongStream *stream = long_stream_start ();
  struct Cluster *cluster = stream->cluster;
  char programs[N_OTHERS][16];
  uint32_t n_served = 0;

  for (uint32_t i = 0; i < N_OTHERS; i++)
    {
      snprintf (programs[i], sizeof programs[i], "other-%u", i);
      CU_ASSERT_TRUE (create_program (cluster, i % 3, programs[i]));
    }
  CU_ASSERT_TRUE (process_signal (cluster->instances[stream->home].process, SIGTERM));
  for (uint32_t i = 0; i < N_OTHERS && n_served == i; i++)
    {
      struct TestCall call = { .program = programs[i],
                               .sequence = 1,
                               .body = chat_body (cluster, "negotiation", programs[i], 4, false) };

      n_served += call_send_until_final (cluster, &call)->status == 200;
    }
  CU_ASSERT_EQUAL (n_served, N_OTHERS);
  long_stream_stop (stream);
}

static bool
program_is_ended (void *data)
{
  struct Cluster *cluster = data;
  bool ended = false;

  for (uint32_t i = 0; !ended && i < cluster->options.n_instances; i++)
    {
      struct HttpReply *reply =
          http_send (NULL, "POST", cluster->instances[i].address, "/v1/programs/streaming/end",
                     NULL, "{\"reason\":\"cancelled\"}");

      ended = reply->status == 200;
      talloc_free (reply);
    }
  return ended;
}

static bool
memory_is_released (void *data)
{
  return cluster_held_tokens (data, "streaming") == 0;
}

static void
print_engine_state (struct Cluster *cluster)
{
  static const char *const paths[] = { "/load", "/log", "/held?program=streaming" };

  for (uint32_t i = 0; i < cluster->options.n_engines; i++)
    for (size_t j = 0; j < sizeof paths / sizeof paths[0]; j++)
      fprintf (stderr, "%s %s: %s\n", cluster->engines[i].name, paths[j],
               http_get (cluster, cluster->engines[i].address, paths[j])->body);
}

/* The caller cancels the streaming program. Its stopping home accepts the end, aborts the stream
 * and releases the engine memory; the home can then exit. */
static void
test_ending_the_streaming_program (void)
{
  struct LongStream *stream = long_stream_start ();
  struct Cluster *cluster = stream->cluster;
  struct Process *stopped = cluster->instances[stream->home].process;

  CU_ASSERT_TRUE (process_signal (stopped, SIGTERM));
  CU_ASSERT_TRUE (wait_for (program_is_ended, cluster));
  if (!wait_for (memory_is_released, cluster))
    {
      CU_FAIL ("engine memory is still held");
      print_engine_state (cluster);
    }
  CU_ASSERT_TRUE (process_wait (stopped));
  long_stream_stop (stream);
}

const char test_suite_name[] = "hand-off";
const struct TestCase test_cases[] = {
  { "other programs are served during a hand-off", test_other_programs_served_during_handoff },
  { "ending the streaming program", test_ending_the_streaming_program },
  { NULL, NULL },
};
