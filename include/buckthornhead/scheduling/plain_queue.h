/* Rules for requests that wait in the queue of a plain server's owner (slot_queue.h): the times
 * that a request states to the owner, and whether it can still be served. Does no I/O. */
#pragma once

#include <buckthornhead/scheduling/slot_queue.h>

/* The times of a request that determine its place in a queue; milliseconds of the same clock. */
struct PlainRequest
{
  int64_t program_deadline_ms; /* INT64_MAX: none known */
  int64_t deadline_ms;         /* of the request's caller or route */
};

/* Returns the service time in ms of a server until it is measured, at least 1; target_ms is the
 * target latency of the request's route. */
uint32_t
plain_first_service_ms (uint32_t target_ms);

/* Returns the deadline in ms that orders the request in the queue: its program's, or else its own,
 * so that a retry with more time left never goes before a first try with less. */
int64_t
plain_order_deadline_ms (const struct PlainRequest *request);

/* Returns the longest wait in ms after which the request can still be served before its deadline;
 * below 0 when none is short enough. service_ms is the expected service time. */
int64_t
plain_longest_wait_ms (const struct PlainRequest *request, uint32_t service_ms, int64_t now_ms);

/* Returns whether a request that would wait here_ms at its server moves to one where it would wait
 * there_ms. */
bool
plain_is_worth_moving (uint32_t here_ms, uint32_t there_ms);

/* Returns after how many ms a request that is expected to wait wait_ms queries its owner again. */
uint32_t
plain_query_interval_ms (uint32_t wait_ms);
