/* One request's attempts at servers; request.c sends and ends them, answer.c takes what comes back.
 */
#pragma once

#include "front.h"

#include <buckthornhead/histogram.h>

/* What the client calls as the server's answer comes. */
struct HttpCallHandler
response_handler (struct Request *request);

void
request_record_answered (const struct Request *request, enum Histogram histogram);

/* The attempt at a server is over, one way or the other. */
void
attempt_release (struct Request *request);

/* The next server, after an attempt that did not run, or that may be made again. */
void
request_retry (struct Request *request, const char *detail);

/* Whether an attempt that may have run may be made again; takes a retry from the allowance. */
bool
request_claim_repeat (struct Request *request);

/* Whether a stream that broke off may go on at another server; takes a retry, too. */
bool
request_claim_resume (struct Request *request);

/* Time since the caller's request was whole. */
int64_t
request_elapsed_ms (const struct Request *request);
