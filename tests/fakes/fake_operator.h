/* Fake of an instance's operators' interface: answers requests in order from a script and notes
 * each one. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

struct FakeReply
{
  uint32_t status; /* 0: the connection is closed without an answer, the request was taken */
  const char *body;
};

struct FakeOperator;

/* Serves replies (the last one ends with a NULL body and status 0) on a loopback port until freed.
 * After the last reply everything is answered with status 500. */
struct FakeOperator *
fake_operator_new (TALLOC_CTX *ctx, const struct FakeReply *replies);

/* "127.0.0.1:PORT" */
const char *
fake_operator_address (const struct FakeOperator *fake);

/* What came, a line each: METHOD URL[ BODY][ (AUTHORIZATION)]; belongs to ctx. */
char *
fake_operator_log (struct FakeOperator *fake, TALLOC_CTX *ctx);
