/* Owner of backend servers: the queue before each, what is in flight on it, and its memory.
 *
 * Homes send PEER_DISPATCH and PEER_RELEASE; chunks and one PEER_ANSWER go back over the same link.
 * An answer with RAN_NO says that nothing was sent and nothing will be. */
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
/* The home at the other end is gone: what waits for it is dropped. */
void
owner_on_link_closed (struct Owner *owner, uint64_t link);
void
owner_on_backend_event (struct Owner *owner, const struct BackendMail *mail);

/* The list of backend servers changed: those leaving or gone get nothing new, and what waits for
 * them goes back to the homes as not run. */
void
owner_on_backends_changed (struct Owner *owner);

/* Digests of the backend servers owned here; belongs to ctx. */
struct PolicyServer *
owner_digests (struct Owner *owner, TALLOC_CTX *ctx, size_t *n_digests);

/* Calls waiting and in flight. */
void
owner_count (const struct Owner *owner, uint32_t *waiting, uint32_t *in_flight);
