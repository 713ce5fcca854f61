/* Authentication of requests: maps the caller's key to a customer. */
#pragma once

#include "front.h"

/* Looks up the caller's key in the current configuration and sets the request's customer. Returns
 * false when the request needs a key and the caller presents none that belongs to a customer. */
bool
credential_check (struct Request *request);

/* Describes what is wrong with the caller's credential, for the log; never includes the key. */
const char *
credential_problem (const struct CallerRequest *caller);

/* Rechecks the key after a configuration change, so that a request whose key was revoked while it
 * waited for a server does not run. Returns false once the key no longer belongs to the same
 * customer. */
bool
credential_is_valid (struct Request *request);
