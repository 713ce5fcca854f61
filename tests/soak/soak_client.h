/* Blocking HTTP client on persistent connections. It does not use an HTTP library, which might send
 * a request a second time by itself and hide the first outcome. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  CLIENT_TEXT_MAX = 16 * 1024
};

/* A connection, reused until either side closes it. */
struct ClientLink
{
  uint16_t port;
  int fd; /* -1: closed */
};

struct ClientReply
{
  uint32_t status; /* 0: no response was started */
  bool complete;   /* the response was received completely */
  bool sent;       /* the gateway may have received the request */
  char text[CLIENT_TEXT_MAX];
  size_t n_bytes;
};

/* Sends a POST request. headers: lines that end with CR LF. Times out after timeout_ms without a
 * byte. */
void
client_send (struct ClientLink *link,
             const char *path,
             const char *headers,
             const char *body,
             uint32_t timeout_ms,
             struct ClientReply *reply);

void
client_close (struct ClientLink *link);
