/* Port to backend servers: model engines and plain or tool services.
 *
 * A submitted request yields any number of BACKEND_EVENT_CHUNK and then exactly one
 * BACKEND_EVENT_END. Events are delivered on the thread that runs the port's event loop. */
#pragma once

#include <buckthornhead/call.h>

#include <talloc.h>

enum BackendOp
{
  BACKEND_OP_CALL,    /* chat completion of an engine, or a request to another service */
  BACKEND_OP_RELEASE, /* frees the cache of a program that has ended */
  BACKEND_OP_REPORT   /* load report and cache events after .after_event */
};

struct BackendRequest
{
  enum BackendOp op;
  const char *address; /* "127.0.0.1:9001" */
  int64_t timeout_ms;  /* 0: none */
  union
  {
    struct
    {
      enum CallTarget target_kind;
      const char *path; /* CALL_TARGET_SERVICE only */
      const char *program;
      const char *idempotency_key; /* identical for all attempts of the call */
      bool idempotent;
      bool stream;
      const uint8_t *body;
      size_t body_bytes;
    } call;
    struct
    {
      const char *program;
    } release;
    struct
    {
      uint64_t after_event;
    } report;
  };
};

enum BackendEventKind
{
  BACKEND_EVENT_CHUNK,
  BACKEND_EVENT_END
};

struct BackendLoad
{
  uint32_t running, waiting;
  uint64_t cache_used_tokens, cache_capacity_tokens;
  uint64_t last_event;
  char engine_incarnation[NAME_MAX_BYTES + 1];
};

/* Valid during the callback only. */
struct BackendEvent
{
  enum BackendEventKind kind;
  union
  {
    struct
    {
      const uint8_t *bytes; /* raw response body, including event-stream framing */
      size_t n_bytes;
      uint32_t status;
    } chunk;
    struct
    {
      int32_t error; /* ERROR_NONE, ERROR_UNREACHABLE (nothing sent: did not run), ERROR_TIMEOUT,
                        ERROR_BACKEND, ERROR_UNKNOWN_EFFECT (connection failed after sending),
                        ERROR_CANCELLED */
      enum RanState ran;
      uint32_t status;
      uint32_t prompt_tokens, generated_tokens, cached_tokens; /* from "usage"; 0 when absent */
      bool has_load;
      struct BackendLoad load; /* BACKEND_OP_REPORT only */
    } end;
  };
};

typedef void (*BackendEventFn) (void *data, const struct BackendEvent *event);

struct BackendPort
{
  /* Copies the request. *ticket identifies it for cancel. */
  int32_t (*submit) (struct BackendPort *port,
                     const struct BackendRequest *request,
                     BackendEventFn fn,
                     void *data,
                     uint64_t *ticket);
  /* Cancels the request; BACKEND_EVENT_END with ERROR_CANCELLED follows from the event loop. */
  void (*cancel) (struct BackendPort *port, uint64_t ticket);
};
