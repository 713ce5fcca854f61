/* A caller that keeps its connections open and knows exactly what it was told: no library sends
 * anything a second time. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  CLIENT_TEXT_MAX = 16 * 1024
};

/* One connection; used again until either side closes it. */
struct ClientLink
{
  uint16_t port;
  int fd; /* -1: closed */
};

struct ClientReply
{
  uint32_t status; /* 0: no answer began */
  bool whole;      /* the answer came to its end */
  bool sent;       /* the request may have been read */
  char text[CLIENT_TEXT_MAX];
  size_t n_bytes;
};

/* One request. headers: lines that end with CR LF. Gives up after timeout_ms without a byte. */
void
client_send (struct ClientLink *link,
             const char *path,
             const char *headers,
             const char *body,
             uint32_t timeout_ms,
             struct ClientReply *reply);

void
client_close (struct ClientLink *link);
