#include <buckthornhead/instances_http.h>

#include <buckthornhead/error.h>

struct InstancesHttp
{
  struct BackendListPort port;
  struct CurlLoop *loop;
  char *url;
  int64_t timeout_ms;
};

/* A fetch in progress; talloc child of the owner that requested it. */
struct InstancesCall
{
  struct CurlCall *http;
  BackendListDone done;
  void *data;
};

static int
instances_call_free (struct InstancesCall *call)
{
  talloc_free (call->http);
  return 0;
}

static void
instances_call_on_done (void *data, const struct HttpResult *result)
{
  struct InstancesCall *call = data;
  BackendListDone done = call->done;
  void *done_data = call->data;
  bool ok = result->whole && result->status == 200 && result->body != NULL;

  talloc_set_destructor (call, NULL); /* the loop frees the finished curl call */
  talloc_free (call);
  done (done_data, ok ? ERROR_NONE : ERROR_UNREACHABLE, (const char *)result->body,
        result->body_bytes);
}

static int32_t
instances_http_fetch (struct BackendListPort *port,
                      TALLOC_CTX *owner,
                      BackendListDone done,
                      void *data)
{
  struct InstancesHttp *instances = (struct InstancesHttp *)port;
  struct InstancesCall *call = talloc_zero (owner, struct InstancesCall);
  struct HttpRequest request = { .method = "GET", .url = instances->url };

  if (call == NULL)
    return ERROR_NO_MEMORY;
  request.timeout_ms = instances->timeout_ms;
  request.connect_timeout_ms = instances->timeout_ms;
  call->done = done;
  call->data = data;
  call->http = curl_loop_submit (instances->loop, &request, NULL, instances_call_on_done, call);
  if (call->http == NULL)
    {
      talloc_free (call);
      return ERROR_NO_MEMORY;
    }
  talloc_set_destructor (call, instances_call_free);
  return ERROR_NONE;
}

struct BackendListPort *
instances_http_new (TALLOC_CTX *ctx, struct CurlLoop *loop, const char *url, int64_t timeout_ms)
{
  struct InstancesHttp *instances = talloc_zero (ctx, struct InstancesHttp);

  if (instances == NULL)
    return NULL;
  instances->port.fetch = instances_http_fetch;
  instances->loop = loop;
  instances->timeout_ms = timeout_ms;
  instances->url = talloc_strdup (instances, url);
  if (instances->url == NULL)
    TALLOC_FREE (instances);
  return instances != NULL ? &instances->port : NULL;
}
