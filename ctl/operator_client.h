/* HTTP client of the operators' interface that each instance serves. */
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
  const char *token; /* NULL: none is sent */
};

/* error: ERROR_NONE (an answer with status 200), ERROR_UNREACHABLE (no instance took the request),
 * ERROR_UNKNOWN_EFFECT (a POST left, its answer is lost), else the error that the answer names or
 * its status means. fault has the words. */
struct OperatorAnswer
{
  int32_t error;
  struct Fault fault;
  json_t *body; /* NULL when there is none or it is no JSON; owned by the answer */
  char *text;   /* the raw body, talloc'd */
};

/* Reads path from the first instance that answers. */
struct OperatorAnswer *
operator_get (TALLOC_CTX *ctx, const struct OperatorClient *client, const char *path);

/* Sends body to the first instance that can be connected to, and to no other after that. */
struct OperatorAnswer *
operator_post (TALLOC_CTX *ctx,
               const struct OperatorClient *client,
               const char *path,
               const json_t *body);
