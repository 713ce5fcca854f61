#include "contention.h"

#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  REPORTING_SERVICES_MAX = 64 /* further ones count as not contended */
};

struct Contention
{
  bool is_declared;
  char services[REPORTING_SERVICES_MAX][NAME_MAX_BYTES + 1];
  size_t n_services;
};

struct Contention *
contention_new (struct Front *front)
{
  const struct Node *node = front->node;
  struct Contention *contention = talloc_zero (front, struct Contention);

  if (contention != NULL)
    contention->is_declared =
        node->dialect->declares_contention (node->settings->platform_features);
  return contention;
}

static bool
contention_has_service (const struct Contention *contention, const char *service)
{
  for (size_t i = 0; i < contention->n_services; i++)
    if (strcmp (contention->services[i], service) == 0)
      return true;
  return false;
}

void
contention_record_report (struct Contention *contention, const char *service)
{
  if (contention_has_service (contention, service)
      || contention->n_services == REPORTING_SERVICES_MAX)
    return;
  snprintf (contention->services[contention->n_services++], NAME_MAX_BYTES + 1, "%s", service);
  log_event (LOG_LEVEL_NOTICE, "service_contended", NULL, NULL,
             "%s: a server reports how long work takes on its machine", service);
}

bool
front_decision_is_active (const struct Front *front, int32_t mode, const char *service)
{
  switch ((enum DecisionMode)mode)
    {
    case DECISION_OFF:
      return false;
    case DECISION_ON:
      return true;
    case DECISION_AUTO:
      return front->contention->is_declared || contention_has_service (front->contention, service);
    }
  return false;
}
