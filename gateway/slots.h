/* Who may be sent to an engine, and when: asking its owner, and answering as one.
 *
 * Each engine has one owner at a time, a live gateway of its availability zone that all find by
 * the same hash. It decides by core/scheduling/slot_queue.c. An owner that does not answer holds
 * nobody up: the request is sent without it, and the engine queues it in order of arrival. */
#pragma once

#include "front.h"

#include <buckthornhead/scheduling/slot_queue.h>

struct Slots *
slots_new (struct Front *front);

/* Asks the owner of request->replica; request_granted is called once it may be sent. */
void
slots_request (struct Request *request);

/* The request has ended at its server, or does not wait for it any more. */
void
slots_release (struct Request *request);

/* Messages. */
void
slots_on_ask (struct Slots *slots,
              uint64_t link,
              const char *sender,
              const struct SlotAskMessage *ask);
void
slots_on_state (struct Front *front, const struct SlotStateMessage *message);
void
slots_on_done (struct Slots *slots, const char *sender, const struct SlotDoneMessage *done);

/* The server has started again: what this gateway knew of it as its owner is void. */
void
slots_server_restarted (struct Slots *slots, const char *server);

/* What this gateway knows of the servers that it owns, or of the busy ones; belongs to ctx. */
struct SlotDigest *
slots_digest (struct Slots *slots, TALLOC_CTX *ctx, bool busy_only, size_t *n_digests);

/* Drops requests of gateways that are gone; called every some hundred milliseconds. */
void
slots_expire (struct Slots *slots);
