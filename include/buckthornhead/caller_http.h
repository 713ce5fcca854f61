/* HTTP listeners for callers and operators, on libmicrohttpd's threads.
 *
 * A request is read completely, validated, stored in a struct Exchange and posted to the core.
 * Malformed requests are rejected here with the common JSON error format, which docs/INTERFACE.md
 * documents. */
#pragma once

#include <buckthornhead/error.h>
#include <buckthornhead/exchange.h>
#include <buckthornhead/settings.h>

struct CallerHttp;

/* Opens both listeners. ERROR_INVALID or ERROR_IO with the remedy in fault when one cannot be
 * opened. */
int32_t
caller_http_open (TALLOC_CTX *ctx,
                  const struct Settings *settings,
                  struct Mailbox *core,
                  struct CallerHttp **http,
                  struct Fault *fault);

/* Rejects all further requests. Those already posted to the core still need their responses. */
void
caller_http_reject_new (struct CallerHttp *http);
/* Closes both listeners and waits for their threads. All exchanges must have ended. */
void
caller_http_close (struct CallerHttp *http);

/* Returns the value of a header or query parameter, NULL if absent. */
typedef const char *(*HeaderFn) (void *data, const char *name);

/* Returns whether the caller states that the request was never sent before. */
bool
caller_request_is_first (HeaderFn header, void *data);

/* Parses a caller's request into exchange->request. Returns ERROR_NONE, or an error with the fault
 * to respond with. Exported for the fuzz target, which supplies method, path, the body in exchange
 * and the lookup functions. */
int32_t
caller_request_parse (struct Exchange *exchange,
                      const struct Settings *settings,
                      const char *method,
                      const char *path,
                      HeaderFn header,
                      HeaderFn query,
                      void *data,
                      struct Fault *fault);

/* Returns the JSON body of an error response, owned by ctx. retry_after_ms and expected_sequence
 * are omitted when 0. */
char *
error_json (TALLOC_CTX *ctx,
            const struct Fault *fault,
            enum RanState ran,
            uint32_t retry_after_ms,
            uint64_t expected_sequence);

/* Returns the HTTP status for an error code. */
uint32_t
error_http_status (int32_t error);
const char *
ran_name (enum RanState ran);
