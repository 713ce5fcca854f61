/* Key-value port over the etcd v3 JSON gateway (range, txn, lease, watch).
 *
 * A write was not applied when its error is ERROR_UNREACHABLE (no byte of it was sent),
 * ERROR_RATE_LIMITED, ERROR_INVALID, ERROR_NOT_FOUND (its lease has expired), ERROR_UNAUTHORIZED or
 * ERROR_TOO_LARGE. Any other failure of a write is ERROR_UNKNOWN_EFFECT, such as a response that is
 * missing, incomplete or malformed. A read without a response is ERROR_UNREACHABLE. A watch whose
 * start_revision has been compacted is ERROR_NOT_FOUND: read the keys again and watch from that
 * revision. A write is sent at most once. Freeing the port cancels the pending requests without
 * calling done. */
#pragma once

#include <buckthornhead/curl_loop.h>
#include <buckthornhead/kv.h>

/* url is the service's base URL, such as "http://127.0.0.1:2379". */
struct KvPort *
kv_http_new (TALLOC_CTX *ctx, struct CurlLoop *loop, const char *url, int64_t timeout_ms);
