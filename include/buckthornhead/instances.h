/* Port to the platform's list of live and leaving backend servers, which may be out of date. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

/* text is the whole list when error is ERROR_NONE. It is valid during the callback only. */
typedef void (*BackendListDone) (void *data, int32_t error, const char *text, size_t text_bytes);

struct BackendListPort
{
  /* Fetches the list. done is called later, never from inside fetch, and not after owner, a talloc
   * object, was freed. */
  int32_t (*fetch) (struct BackendListPort *port,
                    TALLOC_CTX *owner,
                    BackendListDone done,
                    void *data);
};
