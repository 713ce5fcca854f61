#include <buckthornhead/message_count.h>

#include <inttypes.h>
#include <stdatomic.h>

enum
{
  N_KINDS = GATEWAY_KIND_MAX + 1
};

struct MessageCounter
{
  _Atomic uint64_t messages, bytes;
};

static struct MessageCounter counters[N_MESSAGE_DIRECTIONS][N_KINDS];

static const char *const direction_names[N_MESSAGE_DIRECTIONS] = {
  [MESSAGE_SENT] = "sent",
  [MESSAGE_RECEIVED] = "received",
};

static const char *
kind_name (enum GatewayKind kind)
{
  switch (kind)
    {
    case GATEWAY_TURN_OPEN:
      return "turn_open";
    case GATEWAY_TURN_READ:
      return "turn_read";
    case GATEWAY_TURN_OPENED:
      return "turn_opened";
    case GATEWAY_TURN_CLOSE:
      return "turn_close";
    case GATEWAY_TURN_CLOSED:
      return "turn_closed";
    case GATEWAY_HEARTBEAT:
      return "heartbeat";
    case GATEWAY_SNAPSHOT:
      return "snapshot";
    case GATEWAY_COPY_WANT:
      return "copy_want";
    case GATEWAY_COPY_PART:
      return "copy_part";
    case GATEWAY_RELAY:
      return "relay";
    case GATEWAY_SLOT_REQUEST:
      return "slot_ask";
    case GATEWAY_SLOT_STATE:
      return "slot_state";
    case GATEWAY_SLOT_DONE:
      return "slot_done";
    case GATEWAY_ALIVE:
      return "alive";
    case GATEWAY_SNAPSHOT_WANT:
      return "snapshot_want";
    case GATEWAY_DIGESTS:
      return "digests";
    case GATEWAY_PROBE:
      return "probe";
    case GATEWAY_USAGES:
      return "uses";
    case GATEWAY_QUOTA_REQUEST:
      return "quota_request";
    case GATEWAY_QUOTA_GRANT:
      return "quota_grant";
    case GATEWAY_QUOTA_RETURN:
      return "quota_return";
    case GATEWAY_PACES:
      return "paces";
    case GATEWAY_SUSPECTS:
      return "suspects";
    }
  return "unknown";
}

void
message_count_add (enum MessageDirection direction, enum GatewayKind kind, size_t n_bytes)
{
  struct MessageCounter *counter = &counters[direction][kind];

  atomic_fetch_add_explicit (&counter->messages, 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&counter->bytes, n_bytes, memory_order_relaxed);
}

uint64_t
message_count_read (enum MessageDirection direction, enum GatewayKind kind)
{
  return atomic_load_explicit (&counters[direction][kind].messages, memory_order_relaxed);
}

char *
message_count_render (TALLOC_CTX *ctx)
{
  char *text = talloc_strdup (ctx, "");

  for (uint32_t direction = 0; direction < N_MESSAGE_DIRECTIONS; direction++)
    for (uint32_t kind = GATEWAY_TURN_OPEN; kind < N_KINDS; kind++)
      {
        uint64_t n = message_count_read (direction, kind);

        if (n == 0)
          continue;
        text = talloc_asprintf_append_buffer (
            text,
            "buckthornhead_messages_%s_total{kind=\"%s\"} %" PRIu64 "\n"
            "buckthornhead_message_bytes_%s_total{kind=\"%s\"} %" PRIu64 "\n",
            direction_names[direction], kind_name (kind), n, direction_names[direction],
            kind_name (kind),
            atomic_load_explicit (&counters[direction][kind].bytes, memory_order_relaxed));
      }
  return text;
}
