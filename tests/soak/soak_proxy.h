/* Loopback connections that misbehave: a forwarder of ports between two processes. */
#pragma once

#include <stdint.h>

#include <talloc.h>

enum ProxyMode
{
  PROXY_PASSES,
  PROXY_DELAYS,       /* each byte by .delay_ms */
  PROXY_SILENCES,     /* connections of that time stay open and carry nothing any more */
  PROXY_CUTS_ANSWERS, /* the same for what flows back to the dialler */
  PROXY_RESETS,       /* all connections are reset, new ones at once */
  N_PROXY_MODES
};

struct Proxy;

/* Forwards from port to target_port of 127.0.0.1 on a thread of its own. NULL when it can not. */
struct Proxy *
proxy_new (TALLOC_CTX *ctx, uint16_t port, uint16_t target_port);
void
proxy_set (struct Proxy *proxy, enum ProxyMode mode, uint32_t delay_ms);
void
proxy_end (struct Proxy *proxy);
