/* Port to the platform's lagging list of live and leaving backend servers. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

/* text is the whole list when error is ERROR_NONE, and valid during the callback only. */
typedef void (*InstancesDone) (void *data, int32_t error, const char *text, size_t text_bytes);

struct InstancesPort
{
  /* Reads the list; done comes later, and not once owner, a talloc object, was freed. */
  int32_t (*fetch) (struct InstancesPort *port, TALLOC_CTX *owner, InstancesDone done, void *data);
};
