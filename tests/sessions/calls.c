#include "calls.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RETRY_MS = 100
};

bool
create_program (struct Cluster *cluster, uint32_t i, const char *program)
{
  char *body =
      talloc_asprintf (NULL, "{\"service\":\"hiring-agents\",\"program\":\"%s\"}", program);
  int64_t deadline_ms = monotonic_ms () + WAIT_LIMIT_MS;
  bool created = false;

  while (!created && monotonic_ms () < deadline_ms)
    {
      struct HttpReply *reply =
          http_send (NULL, "POST", cluster->instances[i].address, "/v1/programs", NULL, body);

      created = reply->status == 201 || reply->status == 200;
      talloc_free (reply);
      if (!created)
        sleep_ms (RETRY_MS);
    }
  talloc_free (body);
  return created;
}

struct HttpReply *
call_send (TALLOC_CTX *ctx, const struct TestCall *call)
{
  const char *headers[5] = { NULL };
  char path[256], service[96], target[160];
  size_t n = 0;

  snprintf (path, sizeof path, "/v1/programs/%s/calls?branch=%s&sequence=%" PRIu64, call->program,
            call->branch != NULL ? call->branch : "main", call->sequence);
  if (call->service != NULL)
    {
      snprintf (service, sizeof service, "X-Target-Service: %s", call->service);
      snprintf (target, sizeof target, "X-Target-Path: %s", call->path);
      headers[n++] = service;
      headers[n++] = target;
    }
  if (call->first_attempt)
    headers[n] = "X-Attempt: 1";
  return http_send (ctx, "POST", call->address, path, headers, call->body);
}

static bool
reply_is_final (const struct HttpReply *reply)
{
  const json_t *error = json_object_get (reply->json, "error");

  return reply->status != 0 && json_object_get (error, "retry_after_ms") == NULL;
}

struct HttpReply *
call_send_until_final (struct Cluster *cluster, const struct TestCall *call)
{
  int64_t deadline_ms = monotonic_ms () + WAIT_LIMIT_MS;
  struct TestCall resent = *call;
  struct HttpReply *reply = NULL;

  resent.first_attempt = false;
  for (uint32_t i = 0; reply == NULL || monotonic_ms () < deadline_ms; i++)
    {
      resent.address = cluster->instances[i % cluster->options.n_instances].address;
      talloc_free (reply);
      reply = call_send (cluster, &resent);
      if (reply_is_final (reply))
        break;
      sleep_ms (RETRY_MS);
    }
  return reply;
}

static void *
call_thread_run (void *data)
{
  struct CallThread *thread = data;

  thread->reply = call_send (NULL, &thread->call);
  return NULL;
}

void
call_thread_start (struct CallThread *thread, const struct TestCall *call)
{
  thread->call = *call;
  thread->reply = NULL;
  if (pthread_create (&thread->thread, NULL, call_thread_run, thread) != 0)
    abort ();
}

void
call_thread_join (struct CallThread *thread)
{
  pthread_join (thread->thread, NULL);
}

const char *
reply_error_kind (const struct HttpReply *reply)
{
  const json_t *error = json_object_get (reply->json, "error");
  const char *kind = json_string_value (json_object_get (error, "kind"));

  return kind != NULL ? kind : "";
}

const char *
reply_ran (const struct HttpReply *reply)
{
  const json_t *error = json_object_get (reply->json, "error");
  const char *ran = json_string_value (json_object_get (error, "ran"));

  return ran != NULL ? ran : reply->ran;
}

char *
chat_body (TALLOC_CTX *ctx, const char *model, const char *text, uint32_t n_tokens, bool stream)
{
  return talloc_asprintf (ctx,
                          "{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}],"
                          "\"min_tokens\":%u,\"max_tokens\":%u%s}",
                          model, text, n_tokens, n_tokens, stream ? ",\"stream\":true" : "");
}

struct EngineRuns
{
  struct Cluster *cluster;
  const char *program;
  uint64_t n;
};

static bool
engine_runs_reached (void *data)
{
  const struct EngineRuns *wanted = data;

  return cluster_engine_runs (wanted->cluster, wanted->program) >= wanted->n;
}

bool
wait_for_engine_runs (struct Cluster *cluster, const char *program, uint64_t n)
{
  struct EngineRuns wanted = { cluster, program, n };

  return wait_for (engine_runs_reached, &wanted);
}
