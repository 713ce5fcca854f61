/* Fetches the platform's list of backend servers with an HTTP GET request. */
#pragma once

#include <buckthornhead/curl_loop.h>
#include <buckthornhead/instances.h>

struct BackendListPort *
instances_http_new (TALLOC_CTX *ctx, struct CurlLoop *loop, const char *url, int64_t timeout_ms);
