/* The callers' and the operators' HTTP listeners, on libmicrohttpd's threads.
 *
 * A request is read whole, checked, turned into a struct Exchange and posted to the core. What is
 * malformed is refused here, with the one JSON shape for errors; docs/INTERFACE.md says all of it.
 */
#pragma once

#include <buckthornhead/error.h>
#include <buckthornhead/exchange.h>
#include <buckthornhead/settings.h>

struct CallerHttp;

/* Opens both listeners. ERROR_IO with the remedy in fault when one can not be opened. */
int32_t
caller_http_open (TALLOC_CTX *ctx,
                  const struct Settings *settings,
                  struct Mailbox *core,
                  struct CallerHttp **http,
                  struct Fault *fault);

/* Every request from now on is refused at once. Those posted before still need their answers. */
void
caller_http_refuse (struct CallerHttp *http);
/* Stops accepting, waits for the threads. Every exchange must have ended before. */
void
caller_http_close (struct CallerHttp *http);

/* Turns a caller's request into exchange->request. ERROR_NONE, or the fault to answer with.
 * Exposed for the fuzz target: method, path, the body in exchange, and a header lookup. */
typedef const char *(*HeaderFn) (void *data, const char *name);
int32_t
caller_request_parse (struct Exchange *exchange,
                      const struct Settings *settings,
                      const char *method,
                      const char *path,
                      HeaderFn header,
                      HeaderFn query,
                      void *data,
                      struct Fault *fault);

/* The JSON shape of every refusal; belongs to ctx. retry_after_ms 0 and expected_sequence 0 are
 * left out. */
char *
error_json (TALLOC_CTX *ctx,
            const struct Fault *fault,
            enum RanState ran,
            uint32_t retry_after_ms,
            uint64_t expected_sequence);

/* HTTP status that an error kind is answered with. */
uint32_t
error_http_status (int32_t error);
const char *
ran_name (enum RanState ran);
