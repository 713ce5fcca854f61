#include "soak_client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <http_parser.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

struct ResponseReader
{
  struct ClientReply *reply;
  bool keep_alive;
};

static int
on_headers (http_parser *parser)
{
  struct ResponseReader *reader = parser->data;

  reader->reply->status = parser->status_code;
  return 0;
}

static int
on_body (http_parser *parser, const char *bytes, size_t n_bytes)
{
  struct ClientReply *reply = ((struct ResponseReader *)parser->data)->reply;

  if (reply->n_bytes + n_bytes >= CLIENT_TEXT_MAX)
    return -1;
  memcpy (reply->text + reply->n_bytes, bytes, n_bytes);
  reply->n_bytes += n_bytes;
  reply->text[reply->n_bytes] = '\0';
  return 0;
}

static int
on_complete (http_parser *parser)
{
  struct ResponseReader *reader = parser->data;

  reader->reply->complete = true;
  reader->keep_alive = http_should_keep_alive (parser) != 0;
  return 0;
}

static const http_parser_settings settings = {
  .on_headers_complete = on_headers,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
client_close (struct ClientLink *link)
{
  if (link->fd >= 0)
    close (link->fd);
  link->fd = -1;
}

static bool
client_open (struct ClientLink *link, uint32_t timeout_ms)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (link->port) };
  struct timeval timeout = { timeout_ms / 1000, (timeout_ms % 1000) * 1000 };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  link->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (link->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (link->fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect (link->fd, (struct sockaddr *)&address, sizeof address) == 0)
    return true;
  client_close (link);
  return false;
}

static bool
client_write (struct ClientLink *link, const char *bytes, size_t n_bytes)
{
  while (n_bytes > 0)
    {
      ssize_t n = send (link->fd, bytes, n_bytes, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      bytes += n;
      n_bytes -= (size_t)n;
    }
  return true;
}

static bool
client_read (struct ClientLink *link, struct ClientReply *reply)
{
  struct ResponseReader reader = { reply, false };
  http_parser parser;
  char bytes[4096];

  http_parser_init (&parser, HTTP_RESPONSE);
  parser.data = &reader;
  while (!reply->complete)
    {
      ssize_t n = recv (link->fd, bytes, sizeof bytes, 0);

      if (n < 0)
        return false;
      http_parser_execute (&parser, &settings, bytes, (size_t)n);
      if (n == 0 || HTTP_PARSER_ERRNO (&parser) != HPE_OK)
        return false;
    }
  return reader.keep_alive;
}

void
client_send (struct ClientLink *link,
             const char *path,
             const char *headers,
             const char *body,
             uint32_t timeout_ms,
             struct ClientReply *reply)
{
  char request[4096];
  int n;

  memset (reply, 0, sizeof *reply);
  if (link->fd < 0 && !client_open (link, timeout_ms))
    return;
  n = snprintf (request, sizeof request,
                "POST %s HTTP/1.1\r\nHost: x.example\r\n%sContent-Length: %zu\r\n\r\n%s", path,
                headers, strlen (body), body);
  reply->sent = true;
  if (!client_write (link, request, (size_t)n) || !client_read (link, reply))
    client_close (link);
}
