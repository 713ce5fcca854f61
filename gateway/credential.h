/* Whose request it is, by the key that its caller shows. */
#pragma once

#include "front.h"

/* Looks the key up in the present configuration. False: the request needs a key, and its caller
 * shows none that a customer has. */
bool
credential_check (struct Request *request);

/* What is wrong with what the caller shows, for the log; the key itself is never told. */
const char *
credential_problem (const struct CallerRequest *caller);

/* Guards against a key that was taken away while its request waited for a server: the request would
 * run for a customer who has withdrawn it. False: the key is not that customer's any more. */
bool
credential_is_valid (struct Request *request);
