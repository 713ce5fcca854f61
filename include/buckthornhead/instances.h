/* Port to the platform's list of live and leaving backend servers, which may be out of date. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

/* text is the whole list when error is ERROR_NONE. It is valid during the callback only. */
typedef void (*InstancesDone) (void *data, int32_t error, const char *text, size_t text_bytes);

struct InstancesPort
{
  /* Fetches the list. done is called later, never from inside fetch, and not after owner, a talloc
   * object, was freed. */
  int32_t (*fetch) (struct InstancesPort *port, TALLOC_CTX *owner, InstancesDone done, void *data);
};
