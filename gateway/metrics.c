#include "metrics.h"

#include "paces.h"
#include "quotas.h"
#include "suspects.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/histogram.h>
#include <buckthornhead/http_server.h>
#include <buckthornhead/log.h>
#include <buckthornhead/message_count.h>

#include <string.h>

enum
{
  /* Limits for monitoring clients. */
  HEADER_MAX_BYTES = 8 * 1024,
  BODY_MAX_BYTES = 1024,
  HEADER_TIMEOUT_MS = 3000,
  /* Collectors scrape every 5 to 60 s: keeping the connection open in between gains nothing. */
  IDLE_TIMEOUT_MS = 10 * 1000,
  LISTEN_RETRY_MS = 1000
};

struct Metrics
{
  struct Node *node;
  struct Front *front;       /* NULL in an archive */
  struct Timer *retry_timer; /* NULL: the listener is open, or the address is not tried again */
};

static char *
metrics_render (TALLOC_CTX *ctx)
{
  char *counters = counter_render (ctx);
  char *histograms = histogram_render (ctx);
  char *messages = message_count_render (ctx);

  return counters != NULL && histograms != NULL && messages != NULL
             ? talloc_asprintf (ctx, "%s%s%s", counters, histograms, messages)
             : NULL;
}

/* A path of the listener. */
struct MetricsPage
{
  const char *target;
  const char *type;
  char *(*render) (const struct Metrics *metrics, TALLOC_CTX *ctx);
};

static char *
metrics_render_counters (const struct Metrics *metrics, TALLOC_CTX *ctx)
{
  (void)metrics;
  return metrics_render (ctx);
}

static char *
metrics_render_customers (const struct Metrics *metrics, TALLOC_CTX *ctx)
{
  return quotas_render (metrics->front->quotas, ctx);
}

static char *
metrics_render_servers (const struct Metrics *metrics, TALLOC_CTX *ctx)
{
  return paces_render (metrics->front->paces, ctx);
}

static char *
metrics_render_quarantine (const struct Metrics *metrics, TALLOC_CTX *ctx)
{
  return suspects_render (metrics->front->suspects, ctx);
}

static const struct MetricsPage *
metrics_page (const struct Metrics *metrics, const char *target)
{
  static const struct MetricsPage gateway_pages[] = {
    { "/customers", "application/json", metrics_render_customers },
    { "/quarantine", "application/json", metrics_render_quarantine },
    { "/servers", "application/json", metrics_render_servers },
  };
  static const struct MetricsPage counters = { "/metrics", "text/plain; version=0.0.4",
                                               metrics_render_counters };

  for (size_t i = 0; metrics->front != NULL && i < sizeof gateway_pages / sizeof gateway_pages[0];
       i++)
    if (strcmp (target, gateway_pages[i].target) == 0)
      return &gateway_pages[i];
  return &counters;
}

/* Handles POST /quarantine/release/NAME. Returns false for any other request. */
static bool
metrics_release (const struct Metrics *metrics, struct HttpExchange *exchange)
{
  static const char unknown[] = "no request with this digest is quarantined; see GET /quarantine\n";
  static const char path[] = "/quarantine/release/";

  if (metrics->front == NULL || strcmp (exchange->method, "POST") != 0
      || strncmp (exchange->target, path, strlen (path)) != 0)
    return false;
  if (suspects_release (metrics->front->suspects, exchange->target + strlen (path)) == ERROR_NONE)
    http_exchange_respond (exchange, 200, NULL, NULL, 0);
  else
    http_exchange_respond (exchange, 404, NULL, unknown, strlen (unknown));
  return true;
}

static void
metrics_respond (struct Metrics *metrics, struct HttpExchange *exchange)
{
  TALLOC_CTX *ctx = talloc_new (metrics);
  const struct MetricsPage *page = metrics_page (metrics, exchange->target);
  struct HttpHeader type = { "Content-Type", page->type };
  struct HttpHeaders headers = { &type, 1 };
  char *text = page->render (metrics, ctx);

  if (text != NULL)
    http_exchange_respond (exchange, 200, &headers, text, strlen (text));
  else
    http_exchange_respond (exchange, 503, NULL, NULL, 0);
  talloc_free (ctx);
}

static void
metrics_on_request (void *data, struct HttpExchange *exchange)
{
  struct Metrics *metrics = data;

  if (!metrics_release (metrics, exchange))
    metrics_respond (metrics, exchange);
}

static int32_t
metrics_open (struct Metrics *metrics, struct Fault *fault)
{
  struct Node *node = metrics->node;
  struct HttpServerOptions options = {
    .listen = node->settings->metrics_listen,
    .setting = "[listen] metrics",
    .limits = { HEADER_MAX_BYTES, BODY_MAX_BYTES, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS },
    .connections_max =
        metrics->front != NULL ? metrics->front->shares.metrics : METRICS_CONNECTIONS_MAX,
    .memory = metrics->front != NULL ? metrics->front->memory : NULL,
    .request = metrics_on_request,
    .data = metrics,
  };
  struct HttpServer *server;

  return http_server_new (node->events, node->events, node->timers, &options, &server, fault);
}

static void
metrics_on_retry (void *data)
{
  struct Metrics *metrics = data;
  struct Fault fault = { 0 };

  if (metrics_open (metrics, &fault) != ERROR_NONE)
    return;
  TALLOC_FREE (metrics->retry_timer);
  log_event (LOG_LEVEL_NOTICE, "metrics_served", NULL, NULL, "%s",
             metrics->node->settings->metrics_listen);
}

void
metrics_listen (struct Node *node, struct Front *front)
{
  struct Metrics *metrics;
  struct Fault fault = { 0 };

  if (node->settings->metrics_listen[0] == '\0')
    return;
  metrics = talloc_zero (node->events, struct Metrics);
  if (metrics == NULL)
    return;
  metrics->node = node;
  metrics->front = front;
  if (metrics_open (metrics, &fault) == ERROR_NONE)
    return;
  log_event (LOG_LEVEL_WARNING, "metrics_not_served", NULL, fault.remedy, "%s", fault.message);
  if (error_may_pass (fault.error))
    metrics->retry_timer = timer_subscribe (metrics, node->timers, LISTEN_RETRY_MS, LISTEN_RETRY_MS,
                                            metrics_on_retry, metrics);
}
