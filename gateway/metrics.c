#include "metrics.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/histogram.h>
#include <buckthornhead/http_server.h>
#include <buckthornhead/log.h>

#include <string.h>

enum
{
  /* The monitoring's own requests: a few collectors, small and short. */
  CONNECTIONS_MAX = 16,
  HEADER_MAX_BYTES = 8 * 1024,
  BODY_MAX_BYTES = 1024,
  HEADER_TIMEOUT_MS = 3000,
  /* Collectors ask every 5 to 60 s: a kept connection between two of them gains nothing. */
  IDLE_TIMEOUT_MS = 10 * 1000
};

static void
metrics_on_request (void *data, struct HttpExchange *exchange)
{
  TALLOC_CTX *ctx = talloc_new (data);
  struct HttpHeader type = { "Content-Type", "text/plain; version=0.0.4" };
  struct HttpHeaders headers = { &type, 1 };
  char *counters = counter_render (ctx);
  char *histograms = histogram_render (ctx);
  char *text = counters != NULL && histograms != NULL
                   ? talloc_asprintf (ctx, "%s%s", counters, histograms)
                   : NULL;

  if (text != NULL)
    http_exchange_answer (exchange, 200, &headers, text, strlen (text));
  else
    http_exchange_answer (exchange, 503, NULL, NULL, 0);
  talloc_free (ctx);
}

void
metrics_listen (struct Node *node)
{
  struct HttpServerOptions options = {
    .listen = node->settings->metrics_listen,
    .setting = "[listen] metrics",
    .limits = { HEADER_MAX_BYTES, BODY_MAX_BYTES, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS },
    .connections_max = CONNECTIONS_MAX,
    .request = metrics_on_request,
    .data = node->events,
  };
  struct HttpServer *server;
  struct Fault fault = { 0 };

  if (options.listen[0] == '\0')
    return;
  if (http_server_new (node->events, node->events, node->timers, &options, &server, &fault)
      != ERROR_NONE)
    log_event (LOG_LEVEL_WARNING, "metrics_not_served", NULL, fault.remedy, "%s", fault.message);
}
