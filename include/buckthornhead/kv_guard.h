/* Key-value requests whose asker may be gone before the answer comes. */
#pragma once

#include <buckthornhead/kv.h>

/* As kv_submit, but done is not called once owner, a talloc object, was freed. The
 * port is a talloc object too: what is unanswered when it is freed goes with it. */
int32_t
kv_submit_guarded (
    TALLOC_CTX *owner, struct KvPort *kv, const struct KvRequest *request, KvDone done, void *data);
