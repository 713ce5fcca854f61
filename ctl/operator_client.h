/* HTTP client for the operators' interface, which each instance serves. */
#pragma once

#include <buckthornhead/error.h>

#include <jansson.h>
#include <stddef.h>
#include <talloc.h>

enum
{
  OPERATOR_ADDRESSES_MAX = 16
};

struct OperatorClient
{
  const char *addresses[OPERATOR_ADDRESSES_MAX]; /* IP:port, tried in this order */
  size_t n_addresses;
  const char *token; /* NULL: no token is sent */
};

/* error is ERROR_NONE (status 200), ERROR_UNREACHABLE (no instance received the request, or the
 * response to a GET was lost), ERROR_UNKNOWN_EFFECT (a POST was sent, but its response was lost),
 * or the error that the response names or its status maps to. fault has the message and remedy. */
struct OperatorResponse
{
  int32_t error;
  struct Fault fault;
  json_t *body; /* NULL if the response has no JSON body; owned by the response */
  char *text;   /* raw body, allocated with talloc */
};

/* Sends a GET request for path to each instance in turn until one responds. */
struct OperatorResponse *
operator_get (TALLOC_CTX *ctx, const struct OperatorClient *client, const char *path);

/* Sends body to the first instance that accepts a connection, and to no other afterwards. */
struct OperatorResponse *
operator_post (TALLOC_CTX *ctx,
               const struct OperatorClient *client,
               const char *path,
               const json_t *body);
