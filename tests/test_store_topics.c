#include "test_main.h"

#include "../gateway/node_directory.h"
#include "../gateway/store_internal.h"
#include "../gateway/zone_servers.h"

#include "fakes/fake_timer.h"

#include <buckthornhead/error.h>

#include <string.h>

enum
{
  WATCH_MS = 800,
  LINK = 1
};

/* Messages to peers are not needed here. */

int32_t
node_send (struct Node *node, const char *peer, const struct GatewayMessage *message)
{
  (void)node, (void)peer, (void)message;
  return ERROR_NONE;
}

int32_t
node_answer (struct Node *node, uint64_t link, const struct GatewayMessage *message)
{
  (void)node, (void)link, (void)message;
  return ERROR_NONE;
}

void
node_send_some (struct Node *node, const struct GatewayMessage *message, enum PeerChoice choice)
{
  (void)node, (void)message, (void)choice;
}

bool
node_peer_is_live (const struct Node *node, const struct Peer *peer)
{
  (void)node, (void)peer;
  return true;
}

void
node_directory_take (struct Node *node, const struct Snapshot *snapshot)
{
  (void)node, (void)snapshot;
}

void
zone_servers_refresh (struct StoreReader *reader)
{
  (void)reader;
}

/* A process that receives lists, and the last list that its gateway was passed. */
struct Receiver
{
  struct Node node;
  struct StoreReader *reader;
  int64_t revision;
  bool after_gap;
};

static void
receiver_on_snapshot (void *data, const struct Snapshot *snapshot, bool after_gap)
{
  struct Receiver *receiver = data;

  receiver->revision = snapshot->revision;
  receiver->after_gap = after_gap;
}

static struct Receiver *
receiver_new (TALLOC_CTX *ctx)
{
  struct Receiver *receiver = talloc_zero (ctx, struct Receiver);

  receiver->node.timers = fake_timer_new (receiver);
  receiver->reader = talloc_zero (receiver, struct StoreReader);
  receiver->node.reader = receiver->reader;
  receiver->node.handler.snapshot = receiver_on_snapshot;
  receiver->node.handler.data = receiver;
  receiver->reader->node = &receiver->node;
  receiver->reader->wait_ms = WATCH_MS;
  fake_timer_advance (receiver->node.timers, 1000);
  return receiver;
}

static void
receive_list (struct Receiver *receiver, int64_t revision, bool after_gap)
{
  struct SnapshotItem item = { .key = "r1", .value = (const uint8_t *)"x", .value_bytes = 1 };
  const struct Snapshot list = { .kind = SNAPSHOT_SUBSET,
                                 .revision = revision,
                                 .content = (uint64_t)revision,
                                 .after_gap = after_gap,
                                 .items = &item,
                                 .n_items = 1 };

  CU_ASSERT_TRUE (store_reader_receive_snapshot (receiver->reader, LINK, &list));
  CU_ASSERT_EQUAL (receiver->revision, revision);
}

/* Guards against a process that was cut off and makes all others keep servers that have left: its
 * first list follows a gap of its own, theirs does not. */
static void
test_gap_of_another_process_is_not_a_gap_here (void)
{
  struct Receiver *receiver = receiver_new (NULL);

  receive_list (receiver, 82, false);
  fake_timer_advance (receiver->node.timers, 10);
  receive_list (receiver, 83, true);
  CU_ASSERT_FALSE (receiver->after_gap);
  talloc_free (receiver);
}

/* Guards against lists that are marked for seconds after an outage, each of which would make a
 * gateway keep the servers that leave meanwhile. */
static void
test_only_the_first_list_follows_an_outage (void)
{
  struct Receiver *receiver = receiver_new (NULL);

  receive_list (receiver, 82, false);
  fake_timer_advance (receiver->node.timers, 3000);
  receive_list (receiver, 83, true);
  CU_ASSERT_TRUE (receiver->after_gap);
  fake_timer_advance (receiver->node.timers, 400);
  receive_list (receiver, 84, true);
  CU_ASSERT_FALSE (receiver->after_gap);
  talloc_free (receiver);
}

/* A process that was suspended receives its first list from a peer that was not. */
static void
test_late_list_without_a_mark_follows_no_outage (void)
{
  struct Receiver *receiver = receiver_new (NULL);

  receive_list (receiver, 82, false);
  fake_timer_advance (receiver->node.timers, 5000);
  receive_list (receiver, 83, false);
  CU_ASSERT_FALSE (receiver->after_gap);
  talloc_free (receiver);
}

const char test_suite_name[] = "store_topics";

const struct TestCase test_cases[] = {
  { "a gap of another process is not a gap here", test_gap_of_another_process_is_not_a_gap_here },
  { "only the first list follows an outage", test_only_the_first_list_follows_an_outage },
  { "a late list without a mark follows no outage",
    test_late_list_without_a_mark_follows_no_outage },
  { NULL, NULL },
};
