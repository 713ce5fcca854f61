#include "test_main.h"

#include "fakes/descriptors.h"
#include "fakes/raw_socket.h"

#include <buckthornhead/error.h>
#include <buckthornhead/held_memory.h>
#include <buckthornhead/peer_net.h>
#include <buckthornhead/timer_tevent.h>

#include <stdio.h>
#include <unistd.h>

enum
{
  /* Without descriptors: far more rounds than the loop's timers cause, and far fewer than it runs
   * when a descriptor stays readable. */
  STARVED_MS = 500,
  STARVED_ROUNDS_MAX = 400,
  QUEUE_MAX_BYTES = 8 * 1024 * 1024,
  MESSAGE_BYTES = 1024 * 1024,
  MESSAGES_MAX = 64
};

struct Endpoint
{
  struct PeerNet *net;
  char address[32];
  bool was_refused, has_received;
};

static void
on_received (void *data, uint64_t link, const char *instance, const struct PeerMessage *message)
{
  struct Endpoint *endpoint = data;

  (void)link;
  (void)instance;
  (void)message;
  endpoint->has_received = true;
}

static void
on_closed (void *data, uint64_t link, const char *instance)
{
  (void)data;
  (void)link;
  (void)instance;
}

static void
on_refused (void *data, const char *instance, uint32_t n)
{
  struct Endpoint *endpoint = data;

  (void)instance;
  endpoint->was_refused = endpoint->was_refused || n > 0;
}

static void
choose_address (struct Endpoint *endpoint)
{
  uint16_t port;
  int fd = raw_listen (&port);

  close (fd);
  snprintf (endpoint->address, sizeof endpoint->address, "127.0.0.1:%u", port);
}

static void
start (struct Endpoint *endpoint, struct tevent_context *events, const char *instance)
{
  const struct PeerNetOptions options = {
    .listen = endpoint->address,
    .instance = instance,
    .zone = "a",
    .dial_on_demand = true,
    .received = on_received,
    .closed = on_closed,
    .connect_refused = on_refused,
    .data = endpoint,
  };
  struct Fault fault = { 0 };

  endpoint->net = peer_net_new (events, events, timer_tevent_new (events, events), &options);
  CU_ASSERT_EQUAL (peer_net_listen (endpoint->net, &fault), ERROR_NONE);
}

/* Guards against messages that cannot be sent to a process that has just started, because it was
 * dialled shortly before. */
static void
test_a_process_that_has_connected_is_dialled_at_once (void)
{
  struct tevent_context *events = tevent_context_init (NULL);
  struct Endpoint a = { 0 }, b = { 0 };

  choose_address (&a);
  choose_address (&b);
  start (&a, events, "a");
  peer_net_set_address (a.net, "b", b.address);
  CU_ASSERT_NOT_EQUAL (peer_net_link_to (a.net, "b"), PEER_LINK_NONE);
  CU_ASSERT_TRUE (events_until (events, &a.was_refused));
  CU_ASSERT_EQUAL (peer_net_link_to (a.net, "b"), PEER_LINK_NONE);
  start (&b, events, "b");
  peer_net_set_address (b.net, "a", a.address);
  peer_net_link_to (b.net, "a");
  CU_ASSERT_TRUE (events_until (events, &a.has_received));
  CU_ASSERT_NOT_EQUAL (peer_net_link_to (a.net, "b"), PEER_LINK_NONE);
  talloc_free (events);
}

/* Guards against the same for a process that has started again at another address. */
static void
test_a_new_address_is_dialled_at_once (void)
{
  struct tevent_context *events = tevent_context_init (NULL);
  struct Endpoint a = { 0 }, b = { 0 };

  choose_address (&a);
  choose_address (&b);
  start (&a, events, "a");
  peer_net_set_address (a.net, "b", b.address);
  peer_net_link_to (a.net, "b");
  CU_ASSERT_TRUE (events_until (events, &a.was_refused));
  choose_address (&b);
  start (&b, events, "b");
  peer_net_set_address (a.net, "b", b.address);
  CU_ASSERT_NOT_EQUAL (peer_net_link_to (a.net, "b"), PEER_LINK_NONE);
  talloc_free (events);
}

/* Guards against a loop that spins on the peers' listening socket while accepting fails. */
static void
test_accepting_waits_for_descriptors (void)
{
  struct tevent_context *events = tevent_context_init (NULL);
  struct Endpoint a = { 0 }, b = { 0 };
  struct Descriptors *used;

  choose_address (&a);
  choose_address (&b);
  start (&a, events, "a");
  start (&b, events, "b");
  peer_net_set_address (b.net, "a", a.address);
  peer_net_link_to (b.net, "a");
  used = descriptors_use_up (0);
  CU_ASSERT (events_count_rounds (events, STARVED_MS) < STARVED_ROUNDS_MAX);
  CU_ASSERT_FALSE (a.has_received);
  descriptors_release (used);
  CU_ASSERT_TRUE (events_until (events, &a.has_received));
  talloc_free (events);
}

/* Guards against messages without a bound for a peer that does not read. */
static void
test_messages_to_a_peer_that_does_not_read_are_bounded (void)
{
  struct tevent_context *events = tevent_context_init (NULL);
  const struct PeerNetOptions options = {
    .instance = "a",
    .zone = "a",
    .dial_on_demand = true,
    .queue_max_bytes = QUEUE_MAX_BYTES,
    .received = on_received,
    .closed = on_closed,
    .connect_refused = on_refused,
  };
  struct PeerNet *net = peer_net_new (events, events, timer_tevent_new (events, events), &options);
  uint8_t *bytes = talloc_zero_array (events, uint8_t, MESSAGE_BYTES);
  const struct PeerMessage message = { .kind = PEER_GATEWAY,
                                       .gateway = { .bytes = bytes, .n_bytes = MESSAGE_BYTES } };
  uint64_t n_before = held_memory_bytes (), link;
  uint32_t n_sent = 0;
  char address[32];
  uint16_t port;
  int listen_fd = raw_listen (&port), fd;

  snprintf (address, sizeof address, "127.0.0.1:%u", port);
  peer_net_set_address (net, "b", address);
  link = peer_net_link_to (net, "b");
  fd = raw_accept (listen_fd, events);
  while (n_sent < MESSAGES_MAX && peer_net_send (net, link, &message) == ERROR_NONE)
    n_sent++;
  CU_ASSERT (n_sent < MESSAGES_MAX);
  CU_ASSERT (peer_net_queued_bytes (net, link) > QUEUE_MAX_BYTES);
  CU_ASSERT (peer_net_queued_bytes (net, link) < QUEUE_MAX_BYTES + 2 * MESSAGE_BYTES);
  CU_ASSERT (held_memory_bytes () - n_before >= QUEUE_MAX_BYTES);
  close (fd);
  close (listen_fd);
  talloc_free (events);
  CU_ASSERT_EQUAL (held_memory_bytes (), n_before);
}

const char test_suite_name[] = "peer_net";
const struct TestCase test_cases[] = {
  { "a process that has connected is dialled at once",
    test_a_process_that_has_connected_is_dialled_at_once },
  { "a new address is dialled at once", test_a_new_address_is_dialled_at_once },
  { "accepting waits for descriptors", test_accepting_waits_for_descriptors },
  { "messages to a peer that does not read are bounded",
    test_messages_to_a_peer_that_does_not_read_are_bounded },
  { NULL, NULL },
};
