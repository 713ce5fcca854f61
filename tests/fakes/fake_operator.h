/* Fake operator interface of an instance: sends scripted replies in order, logs all requests. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

struct FakeReply
{
  uint32_t status; /* 0: closes the connection without a response, after logging the request */
  const char *body;
};

struct FakeOperator;

/* Serves replies on a loopback port until freed. An entry with a NULL body ends the list; from then
 * on every request gets status 500. */
struct FakeOperator *
fake_operator_new (TALLOC_CTX *ctx, const struct FakeReply *replies);

/* "127.0.0.1:PORT" */
const char *
fake_operator_address (const struct FakeOperator *fake);

/* Returns the received requests, one line each: METHOD URL[ BODY][ (AUTHORIZATION)]. The text is
 * allocated on ctx. */
char *
fake_operator_log (struct FakeOperator *fake, TALLOC_CTX *ctx);
