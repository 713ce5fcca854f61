/* Responds to callers that query the list of gateways. */
#pragma once

#include "front.h"

struct HttpExchange;

/* Responds at once, or within DIRECTORY_DEFER_MS while the gateway is starting and its list is not
 * yet good enough. */
void
directory_answer (struct Front *front, struct HttpExchange *exchange);
