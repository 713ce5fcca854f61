/* Key-value port over the etcd v3 JSON gateway (range, txn, deleterange, lease, watch). */
#pragma once

#include <buckthornhead/curl_loop.h>
#include <buckthornhead/kv.h>

/* url is the service's base, such as "http://127.0.0.1:2379". */
struct KvPort *
kv_http_new (TALLOC_CTX *ctx, struct CurlLoop *loop, const char *url, int64_t timeout_ms);
