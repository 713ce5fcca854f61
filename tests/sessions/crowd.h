/* Clients that send more than their requests need, stop short of an end, or read slowly: many at
 * once, each with one connection. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

struct CrowdPlan
{
  const char *name;
  uint32_t n_clients;
  const char *head;  /* sent first; %u is the client's number */
  const char *piece; /* then repeated, .piece_bytes of it for .n_pieces times */
  uint32_t piece_bytes, n_pieces;
  const char *tail;     /* then once; NULL: the client stops */
  uint32_t read_bytes;  /* read at most in each round of 100 ms; 0: nothing is read */
  uint32_t chunk_bytes; /* not 0: each piece is a chunk of that many bytes instead of .piece */
  bool returns;         /* connects again after the connection was closed */
};

struct Crowd;

/* Connects all clients to 127.0.0.1:port. */
struct Crowd *
crowd_new (TALLOC_CTX *ctx, const struct CrowdPlan *plan, uint16_t port);
/* Lets the clients send and read until each has sent all it has or is disconnected, or for a while
 * if they return, and for hold_ms longer. */
void
crowd_play (struct Crowd *crowd, uint32_t hold_ms);
/* The same in the background, until crowd_stop. */
void
crowd_start (struct Crowd *crowd);
void
crowd_stop (struct Crowd *crowd);
