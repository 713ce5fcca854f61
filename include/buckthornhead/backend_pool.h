/* Thread pool for requests to backend servers: each thread runs an event loop with its own backend
 * port.
 *
 * The core submits jobs by id; their events are posted to the core's mailbox as struct BackendMail.
 */
#pragma once

#include <buckthornhead/backend.h>
#include <buckthornhead/mailbox.h>

struct BackendPool;

/* Payload of MAIL_BACKEND_CHUNK and MAIL_BACKEND_END. The mail owns the bytes of a chunk. */
struct BackendMail
{
  struct Mail mail;
  uint64_t job;
  struct BackendEvent event;
};

struct BackendPool *
backend_pool_new (TALLOC_CTX *ctx, uint32_t n_threads, struct Mailbox *core);

/* Copies the request; exactly one MAIL_BACKEND_END with this job id follows. */
int32_t
backend_pool_submit (struct BackendPool *pool, uint64_t job, const struct BackendRequest *request);
void
backend_pool_cancel (struct BackendPool *pool, uint64_t job);

/* Stops all threads, waits for them and frees the pool. */
void
backend_pool_stop (struct BackendPool *pool);
