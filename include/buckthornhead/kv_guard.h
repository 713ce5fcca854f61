/* Key-value requests whose caller may be freed before the result arrives. */
#pragma once

#include <buckthornhead/kv.h>

/* Like kv_submit, but done is not called after owner, a talloc object, was freed. The port is a
 * talloc object too; freeing it discards its outstanding requests. */
int32_t
kv_submit_guarded (
    TALLOC_CTX *owner, struct KvPort *kv, const struct KvRequest *request, KvDone done, void *data);
