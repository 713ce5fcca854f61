/* Backend port over HTTP: the OpenAI chat completions API for engines, plain POST for other
 * services. */
#pragma once

#include <buckthornhead/backend.h>
#include <buckthornhead/curl_loop.h>

struct BackendPort *
backend_http_new (TALLOC_CTX *ctx, struct CurlLoop *loop);
