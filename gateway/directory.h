/* Answers callers that ask which gateways to use. */
#pragma once

#include "front.h"

struct HttpExchange;

/* Answers exchange, at once or, while the gateway starts and knows few others, within
 * DIRECTORY_HOLD_MS. */
void
directory_answer (struct Front *front, struct HttpExchange *exchange);
