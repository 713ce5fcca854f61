/* Key-value port over the etcd v3 JSON gateway (range, txn, lease, watch).
 *
 * What an error says of a write: ERROR_UNREACHABLE (no byte of it left), ERROR_RATE_LIMITED,
 * ERROR_INVALID, ERROR_NOT_FOUND (its lease is gone), ERROR_UNAUTHORIZED and ERROR_TOO_LARGE: not
 * applied. ERROR_UNKNOWN_EFFECT: anything else but a complete, well-formed answer. A read that
 * got no answer is ERROR_UNREACHABLE. A watch whose start_revision is no longer kept is
 * ERROR_NOT_FOUND: read the keys and watch from there. A write is sent at most once. Freeing the
 * port drops the requests on the way without an answer. */
#pragma once

#include <buckthornhead/curl_loop.h>
#include <buckthornhead/kv.h>

/* url is the service's base, such as "http://127.0.0.1:2379". */
struct KvPort *
kv_http_new (TALLOC_CTX *ctx, struct CurlLoop *loop, const char *url, int64_t timeout_ms);
