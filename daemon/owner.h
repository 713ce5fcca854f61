/* Owner of backend servers: each one's queue, its calls in flight and its cache memory.
 *
 * Homes send PEER_DISPATCH and PEER_RELEASE; chunks and one PEER_RESPONSE are returned over the
 * same link. RAN_NO in it means that nothing was sent to the server and nothing will be. */
#pragma once

#include "core.h"

struct Owner *
owner_new (struct Core *core);

void
owner_on_dispatch (struct Owner *owner, uint64_t link, const struct PeerDispatch *dispatch);
void
owner_on_cancel (struct Owner *owner, uint64_t link, uint64_t id);
void
owner_on_release (
    struct Owner *owner, uint64_t link, uint64_t id, const char *program, const char *backend);
/* Handles the loss of the link to a home: cancels its calls, except those that may run only once
 * and were sent already. */
void
owner_on_link_closed (struct Owner *owner, uint64_t link);
void
owner_on_backend_event (struct Owner *owner, const struct BackendMail *mail);

/* Handles a change of the list of backend servers: those that are leaving or removed get no new
 * calls, and the calls waiting for them are returned to the homes as not run. */
void
owner_on_backends_changed (struct Owner *owner);

/* Returns digests of the backend servers owned here, allocated in ctx. */
struct PolicyServer *
owner_digests (struct Owner *owner, TALLOC_CTX *ctx, size_t *n_digests);

/* Counts the calls waiting and in flight. */
void
owner_count (const struct Owner *owner, uint32_t *waiting, uint32_t *in_flight);
