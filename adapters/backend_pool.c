#include <buckthornhead/backend_pool.h>

#include <buckthornhead/backend_http.h>
#include <buckthornhead/error.h>
#include <buckthornhead/held_memory.h>

#include <pthread.h>
#include <string.h>

enum
{
  JOB_BUCKETS = 4096
};

/* A request in flight on a pool thread. */
struct PoolJob
{
  struct PoolJob *next; /* in the same bucket */
  struct PoolThread *thread;
  uint64_t job, ticket;
};

struct PoolThread
{
  pthread_t thread;
  struct tevent_context *events;
  struct Mailbox *inbox;
  struct Mailbox *core;
  struct BackendPort *port;
  struct PoolJob *jobs[JOB_BUCKETS];
  bool stopping;
};

struct BackendPool
{
  uint32_t n_threads;
  struct PoolThread **threads;
};

/* Payload of MAIL_BACKEND_SUBMIT and MAIL_BACKEND_CANCEL. */
struct PoolMail
{
  struct Mail mail;
  uint64_t job;
  struct BackendRequest request;
};

static struct PoolJob **
pool_job_find (struct PoolThread *thread, uint64_t job)
{
  struct PoolJob **at = &thread->jobs[job % JOB_BUCKETS];

  while (*at != NULL && (*at)->job != job)
    at = &(*at)->next;
  return at;
}

static void
pool_post_event (struct PoolThread *thread, uint64_t job, const struct BackendEvent *event)
{
  struct BackendMail *mail = talloc_zero (NULL, struct BackendMail);

  if (mail == NULL)
    return;
  mail->mail.kind = event->kind == BACKEND_EVENT_CHUNK ? MAIL_BACKEND_CHUNK : MAIL_BACKEND_END;
  mail->job = job;
  mail->event = *event;
  if (event->kind == BACKEND_EVENT_CHUNK)
    {
      mail->event.chunk.bytes = talloc_memdup (mail, event->chunk.bytes, event->chunk.n_bytes);
      /* Its receiver copies it before it is freed. */
      held_memory_charge (mail, 2 * event->chunk.n_bytes);
    }
  mailbox_post (thread->core, &mail->mail);
}

static void
pool_on_event (void *data, const struct BackendEvent *event)
{
  struct PoolJob *job = data;
  struct PoolThread *thread = job->thread;
  struct PoolJob **at;

  pool_post_event (thread, job->job, event);
  if (event->kind != BACKEND_EVENT_END)
    return;
  at = pool_job_find (thread, job->job);
  if (*at != NULL)
    *at = job->next;
  talloc_free (job);
}

static void
pool_submit (struct PoolThread *thread, const struct PoolMail *mail)
{
  struct PoolJob *job = talloc_zero (thread, struct PoolJob);
  struct BackendEvent failed = { .kind = BACKEND_EVENT_END };
  struct PoolJob **bucket = &thread->jobs[mail->job % JOB_BUCKETS];

  failed.end.error = ERROR_NO_MEMORY;
  if (job == NULL)
    {
      pool_post_event (thread, mail->job, &failed);
      return;
    }
  job->thread = thread;
  job->job = mail->job;
  job->next = *bucket;
  *bucket = job;
  failed.end.error =
      thread->port->submit (thread->port, &mail->request, pool_on_event, job, &job->ticket);
  if (failed.end.error != ERROR_NONE)
    pool_on_event (job, &failed);
}

static void
pool_receive (void *data, struct Mail *mail)
{
  struct PoolThread *thread = data;
  struct PoolMail *pool_mail = (struct PoolMail *)mail;
  struct PoolJob *job;

  switch (mail->kind)
    {
    case MAIL_BACKEND_SUBMIT:
      pool_submit (thread, pool_mail);
      break;
    case MAIL_BACKEND_CANCEL:
      job = *pool_job_find (thread, pool_mail->job);
      if (job != NULL)
        thread->port->cancel (thread->port, job->ticket);
      break;
    case MAIL_STOP:
      thread->stopping = true;
      break;
    default:
      break;
    }
  talloc_free (mail);
}

static void *
pool_thread_run (void *data)
{
  struct PoolThread *thread = data;

  while (!thread->stopping)
    if (tevent_loop_once (thread->events) != 0)
      break;
  return NULL;
}

static struct PoolThread *
pool_thread_new (struct Mailbox *core)
{
  /* No talloc parent: a talloc tree must not be used by two threads at the same time. */
  struct PoolThread *thread = talloc_zero (NULL, struct PoolThread);
  struct CurlLoop *loop;

  if (thread == NULL)
    return NULL;
  thread->core = core;
  thread->events = tevent_context_init (thread);
  if (thread->events == NULL)
    goto fail;
  thread->inbox = mailbox_new (thread, thread->events, pool_receive, thread);
  loop = curl_loop_new (thread, thread->events);
  if (thread->inbox == NULL || loop == NULL)
    goto fail;
  thread->port = backend_http_new (thread, loop);
  if (thread->port == NULL || pthread_create (&thread->thread, NULL, pool_thread_run, thread) != 0)
    goto fail;
  return thread;

fail:
  talloc_free (thread);
  return NULL;
}

struct BackendPool *
backend_pool_new (TALLOC_CTX *ctx, uint32_t n_threads, struct Mailbox *core)
{
  struct BackendPool *pool = talloc_zero (ctx, struct BackendPool);

  if (pool == NULL)
    return NULL;
  pool->threads = talloc_zero_array (pool, struct PoolThread *, n_threads);
  for (uint32_t i = 0; pool->threads != NULL && i < n_threads; i++)
    {
      pool->threads[i] = pool_thread_new (core);
      if (pool->threads[i] == NULL)
        break;
      pool->n_threads++;
    }
  if (pool->n_threads < n_threads)
    {
      backend_pool_stop (pool);
      return NULL;
    }
  return pool;
}

static struct PoolThread *
pool_thread_for_job (struct BackendPool *pool, uint64_t job)
{
  return pool->threads[job % pool->n_threads];
}

static void
pool_mail_copy_call (struct PoolMail *mail)
{
  struct BackendRequest *r = &mail->request;

  r->call.path = r->call.path != NULL ? talloc_strdup (mail, r->call.path) : NULL;
  r->call.program = r->call.program != NULL ? talloc_strdup (mail, r->call.program) : NULL;
  r->call.idempotency_key =
      r->call.idempotency_key != NULL ? talloc_strdup (mail, r->call.idempotency_key) : NULL;
  r->call.body = talloc_memdup (mail, r->call.body, r->call.body_bytes);
}

int32_t
backend_pool_submit (struct BackendPool *pool, uint64_t job, const struct BackendRequest *request)
{
  struct PoolMail *mail = talloc_zero (NULL, struct PoolMail);

  if (mail == NULL)
    return ERROR_NO_MEMORY;
  mail->mail.kind = MAIL_BACKEND_SUBMIT;
  mail->job = job;
  mail->request = *request;
  mail->request.address = talloc_strdup (mail, request->address);
  switch (request->op)
    {
    case BACKEND_OP_CALL:
      pool_mail_copy_call (mail);
      break;
    case BACKEND_OP_RELEASE:
      mail->request.release.program = talloc_strdup (mail, request->release.program);
      break;
    case BACKEND_OP_REPORT:
      break;
    }
  mailbox_post (pool_thread_for_job (pool, job)->inbox, &mail->mail);
  return ERROR_NONE;
}

void
backend_pool_cancel (struct BackendPool *pool, uint64_t job)
{
  struct PoolMail *mail = talloc_zero (NULL, struct PoolMail);

  if (mail == NULL)
    return;
  mail->mail.kind = MAIL_BACKEND_CANCEL;
  mail->job = job;
  mailbox_post (pool_thread_for_job (pool, job)->inbox, &mail->mail);
}

void
backend_pool_stop (struct BackendPool *pool)
{
  for (uint32_t i = 0; i < pool->n_threads; i++)
    {
      struct PoolMail *mail = talloc_zero (NULL, struct PoolMail);

      if (mail == NULL)
        continue;
      mail->mail.kind = MAIL_STOP;
      mailbox_post (pool->threads[i]->inbox, &mail->mail);
      pthread_join (pool->threads[i]->thread, NULL);
      talloc_free (pool->threads[i]);
    }
  talloc_free (pool);
}
