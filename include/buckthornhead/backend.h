/* Port to backend servers: model engines and plain or tool services.
 *
 * One submitted request is answered by any number of BACKEND_EVENT_CHUNK and then exactly one
 * BACKEND_EVENT_END. Events are delivered on the thread that runs the port's event loop. */
#pragma once

#include <buckthornhead/call.h>

#include <talloc.h>

enum BackendOp
{
  BACKEND_OP_CALL,    /* OpenAI-shaped completion, or a request to a plain service */
  BACKEND_OP_RELEASE, /* drop the cache of a program that has ended */
  BACKEND_OP_REPORT   /* load report and cache events since .after_event */
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
      const char *path; /* plain service only */
      const char *program;
      const char *idempotency_key; /* same for every resend of the call */
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
      const uint8_t *bytes; /* raw bytes of the answer's body, event-stream framing included */
      size_t n_bytes;
      uint32_t status;
    } chunk;
    struct
    {
      int32_t error; /* ERROR_NONE, ERROR_UNREACHABLE (never left: not run), ERROR_TIMEOUT,
                        ERROR_BACKEND, ERROR_UNKNOWN_EFFECT (broke after it left),
                        ERROR_CANCELLED */
      enum RanState ran;
      uint32_t status;
      uint32_t prompt_tokens, generated_tokens, cached_tokens; /* from usage, when given */
      bool has_load;
      struct BackendLoad load; /* op REPORT */
    } end;
  };
};

typedef void (*BackendEventFn) (void *data, const struct BackendEvent *event);

struct BackendPort
{
  /* Copies all it needs. *ticket names the request for cancel. */
  int32_t (*submit) (struct BackendPort *port,
                     const struct BackendRequest *request,
                     BackendEventFn fn,
                     void *data,
                     uint64_t *ticket);
  /* Ends the request; BACKEND_EVENT_END with ERROR_CANCELLED still follows, later. */
  void (*cancel) (struct BackendPort *port, uint64_t ticket);
};
