/* Promise: a planned stop cuts no one off. While an instance hands its partitions over, programs
 * whose partition is held up by a long stream are served all the same. */
#include "calls.h"
#include "test_main.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  N_OTHERS = 40,        /* enough that some share the stream's partition, of 16 */
  STREAM_TOKENS = 20000 /* longer than WAIT_LIMIT_MS at 400 a second */
};

static const struct ClusterOptions three_instances = { .n_instances = 3,
                                                       .n_engines = 2,
                                                       .n_tools = 0 };

/* A stream through another instance, its program's home about to stop. */
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
long_stream_end (struct LongStream *stream)
{
  struct Cluster *cluster = stream->cluster;

  /* Ends the stream in any case, so that the thread does. */
  for (uint32_t i = 0; i < cluster->options.n_engines; i++)
    process_kill (cluster->engines[i].process);
  for (uint32_t i = 0; i < cluster->options.n_instances; i++)
    process_kill (cluster->instances[i].process);
  call_thread_join (&stream->thread);
  talloc_free (stream->thread.reply);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* A parent asks while, in the same partition, a long review is being streamed and its home is being
 * replaced. The home waits for the stream to end before it hands the partition over, and refuses
 * the partition's other programs so long. */
static void
test_other_programs_are_served (void)
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
  long_stream_end (stream);
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
nothing_is_held (void *data)
{
  return cluster_held_tokens (data, "streaming") == 0;
}

static void
print_engines (struct Cluster *cluster)
{
  static const char *const paths[] = { "/load", "/log", "/held?program=streaming" };

  for (uint32_t i = 0; i < cluster->options.n_engines; i++)
    for (size_t j = 0; j < sizeof paths / sizeof paths[0]; j++)
      fprintf (stderr, "%s %s: %s\n", cluster->engines[i].name, paths[j],
               http_get (cluster, cluster->engines[i].address, paths[j])->text);
}

/* The dietitian gives up the long review itself. Its home, which is being replaced, takes the end,
 * stops the stream and releases its memory; that also lets the home stop. */
static void
test_the_end_of_the_streaming_program (void)
{
  struct LongStream *stream = long_stream_start ();
  struct Cluster *cluster = stream->cluster;
  struct Process *stopped = cluster->instances[stream->home].process;

  CU_ASSERT_TRUE (process_signal (stopped, SIGTERM));
  CU_ASSERT_TRUE (wait_for (program_is_ended, cluster));
  if (!wait_for (nothing_is_held, cluster))
    {
      CU_FAIL ("engine memory is still held");
      print_engines (cluster);
    }
  CU_ASSERT_TRUE (process_wait (stopped));
  long_stream_end (stream);
}

const char test_suite_name[] = "hand-off";
const struct TestCase test_cases[] = {
  { "other programs are served", test_other_programs_are_served },
  { "the end of the streaming program", test_the_end_of_the_streaming_program },
  { NULL, NULL },
};
