/* Threads that talk to backend servers: each runs an event loop with its own backend port.
 *
 * The core submits jobs by id; events come back through the core's mailbox as struct BackendMail.
 */
#pragma once

#include <buckthornhead/backend.h>
#include <buckthornhead/mailbox.h>

struct BackendPool;

/* MAIL_BACKEND_CHUNK and MAIL_BACKEND_END. The bytes of a chunk belong to the mail. */
struct BackendMail
{
  struct Mail mail;
  uint64_t job;
  struct BackendEvent event;
};

struct BackendPool *
backend_pool_new (TALLOC_CTX *ctx, uint32_t n_threads, struct Mailbox *core);

/* Copies request; exactly one MAIL_BACKEND_END with this job id follows. */
int32_t
backend_pool_submit (struct BackendPool *pool, uint64_t job, const struct BackendRequest *request);
void
backend_pool_cancel (struct BackendPool *pool, uint64_t job);

/* Ends all threads and waits for them. */
void
backend_pool_stop (struct BackendPool *pool);
