#include <buckthornhead/kv.h>

int32_t
kv_submit (struct KvPort *port, const struct KvRequest *request, KvDone done, void *data)
{
  return port->submit (port, request, done, data);
}
