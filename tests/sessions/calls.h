/* Sends callers' requests from inside a test, where a script for the caller stand-in cannot control
 * the timing. */
#pragma once

#include "cluster.h"

#include <pthread.h>

/* Sends POST /v1/programs to instance i, again until it succeeds or WAIT_LIMIT_MS pass. */
bool
create_program (struct Cluster *cluster, uint32_t i, const char *program);

struct TestCall
{
  const char *address; /* of the instance that receives the call */
  const char *program;
  const char *branch; /* NULL: main */
  uint64_t sequence;
  const char *service; /* NULL: a call of an engine */
  const char *path;
  const char *body;
  bool first_attempt;
};

/* Sends a call once. */
struct HttpReply *
call_send (TALLOC_CTX *ctx, const struct TestCall *call);
/* Resends the call to each instance in turn until a reply has no retry_after_ms. */
struct HttpReply *
call_send_until_final (struct Cluster *cluster, const struct TestCall *call);

/* A call that is sent on its own thread. */
struct CallThread
{
  pthread_t thread;
  struct TestCall call;
  struct HttpReply *reply; /* after call_thread_join */
};
void
call_thread_start (struct CallThread *thread, const struct TestCall *call);
void
call_thread_join (struct CallThread *thread);

/* Returns "kind" of an error reply, "" for a success. */
const char *
reply_error_kind (const struct HttpReply *reply);
/* Returns "ran" of an error reply, otherwise the X-Ran header. */
const char *
reply_ran (const struct HttpReply *reply);

/* Returns the body of an engine call that generates n_tokens. */
char *
chat_body (TALLOC_CTX *ctx, const char *model, const char *text, uint32_t n_tokens, bool stream);

/* Waits until at least n calls of program have started on engines. */
bool
wait_for_engine_runs (struct Cluster *cluster, const char *program, uint64_t n);
