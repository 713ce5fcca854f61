/* Callers' requests from inside a test, for what a script can not time. */
#pragma once

#include "cluster.h"

#include <pthread.h>

/* POST /v1/programs at instance i. */
bool
create_program (struct Cluster *cluster, uint32_t i, const char *program);

struct TestCall
{
  const char *address; /* instance that takes it */
  const char *program;
  const char *branch; /* NULL: main */
  uint64_t sequence;
  const char *service; /* NULL: an engine */
  const char *path;
  const char *body;
  bool first_attempt;
};

/* Sends a call once. */
struct HttpReply *
call_send (TALLOC_CTX *ctx, const struct TestCall *call);
/* Sends it again, to each instance in turn, until an answer does not ask to come back. */
struct HttpReply *
call_settle (struct Cluster *cluster, const struct TestCall *call);

/* Sends it on a thread of its own. */
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

/* "kind" of a refusal, "" for an answer. */
const char *
reply_error_kind (const struct HttpReply *reply);
/* "ran" of the refusal or of the header. */
const char *
reply_ran (const struct HttpReply *reply);

/* Body of an engine call that generates n_tokens. */
char *
chat_body (TALLOC_CTX *ctx, const char *model, const char *text, uint32_t n_tokens, bool stream);

/* Waits until n calls of program run on engines or have run. */
bool
wait_for_engine_runs (struct Cluster *cluster, const char *program, uint64_t n);
