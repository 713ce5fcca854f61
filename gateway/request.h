/* Attempts at servers: request.c sends and ends them, answer.c handles the responses. */
#pragma once

#include "front.h"

#include <buckthornhead/histogram.h>

/* Returns the HTTP client's callbacks for the server's response. */
struct HttpCallHandler
response_handler (struct Request *request);

/* Counts a complete response to the caller and adds its duration to histogram. */
void
request_record_answered (const struct Request *request, enum Histogram histogram);

/* Ends the current attempt, with any outcome: releases its slot and its server. */
void
attempt_release (struct Request *request);

/* Tries the next server after an attempt that did not run or may be repeated; fails the request
 * when too little time or no attempt is left. */
void
request_retry (struct Request *request, const char *detail);

/* Ends the attempt of a repeatable request from the event loop, and repeats it if that may be. */
void
request_repeat_soon (struct Request *request);

/* Returns true when an attempt that may have run may be repeated, and then takes a retry from the
 * allowance. */
bool
request_claim_repeat (struct Request *request);

/* Returns true when an interrupted stream may be resumed at another server, and then takes a retry
 * from the allowance. */
bool
request_claim_resume (struct Request *request);

/* Stops reading the server's response while the caller is congested, and resumes afterwards. */
void
request_update_flow (struct Request *request);

/* Returns the digest of the request's content (request_digest.h), which is computed once. */
const uint8_t *
request_digest (struct Request *request);

/* Returns the time since the request was received completely. */
int64_t
request_elapsed_ms (const struct Request *request);
