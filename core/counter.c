#include <buckthornhead/counter.h>

#include <inttypes.h>
#include <stdalign.h>
#include <stdatomic.h>

enum
{
  CACHE_LINE_BYTES = 64
};

enum CounterType
{
  COUNTER_TYPE_COUNTER,
  COUNTER_TYPE_GAUGE
};

struct CounterInfo
{
  const char *name;
  enum CounterType type;
  const char *help;
};

#define COUNTS(name, help)                                                                         \
  {                                                                                                \
    "buckthornhead_" name "_total", COUNTER_TYPE_COUNTER, help                                     \
  }
#define GAUGES(name, help)                                                                         \
  {                                                                                                \
    "buckthornhead_" name, COUNTER_TYPE_GAUGE, help                                                \
  }

static const struct CounterInfo counter_infos[N_COUNTERS] = {
  [COUNTER_CALLS_ACCEPTED] = COUNTS ("calls_accepted", "Calls that a home accepted"),
  [COUNTER_CALLS_REFUSED] = COUNTS ("calls_refused", "Calls refused without having run"),
  [COUNTER_CALLS_ENDED] = COUNTS ("calls_ended", "Calls whose outcome is in the journal"),
  [COUNTER_CALLS_JOINED] = COUNTS ("calls_joined", "Resends that joined the call in flight"),
  [COUNTER_CALLS_STORED] = COUNTS ("calls_stored", "Resends served from the stored response"),
  [COUNTER_CALLS_FORWARDED] =
      COUNTS ("calls_forwarded", "Calls forwarded to another instance as the home"),
  [COUNTER_CALLS_RETRIED] = COUNTS ("calls_retried", "Calls sent to a backend server again"),
  [COUNTER_CALLS_MAY_HAVE_RUN] =
      COUNTS ("calls_may_have_run", "Non-idempotent calls whose outcome is unknown"),
  [COUNTER_PROGRAMS_CREATED] = COUNTS ("programs_created", "Programs created"),
  [COUNTER_PROGRAMS_DONE] = COUNTS ("programs_done", "Programs that their callers ended as done"),
  [COUNTER_PROGRAMS_OVER_BUDGET] =
      COUNTS ("programs_over_budget", "Programs ended because their budget was used up"),
  [COUNTER_PROGRAMS_LATE] = COUNTS ("programs_late", "Programs ended by their deadline"),
  [COUNTER_PROGRAMS_CANCELLED] =
      COUNTS ("programs_cancelled", "Programs cancelled or abandoned by their callers"),
  [COUNTER_PROGRAM_MS] =
      COUNTS ("program_milliseconds", "Sum of the latency of ended programs, in milliseconds"),
  [COUNTER_PREFIX_TOKENS] = COUNTS ("prefix_tokens", "Prompt tokens of ended calls"),
  [COUNTER_PREFIX_CACHED] =
      COUNTS ("prefix_cached_tokens", "Prompt tokens that the engines found in their cache"),
  [COUNTER_KV_READS] = COUNTS ("kv_reads", "Reads and watches sent to the key-value service"),
  [COUNTER_KV_LISTS] = COUNTS ("kv_lists", "Reads of list pages, included in kv_reads"),
  [COUNTER_KV_WATCHES] = COUNTS ("kv_watches", "Watches, included in kv_reads"),
  [COUNTER_KV_WRITES] = COUNTS ("kv_writes", "Writes sent to the key-value service"),
  [COUNTER_KV_FAILURES] =
      COUNTS ("kv_failures", "Requests to the key-value service without a usable response"),
  [COUNTER_JOURNAL_SLOTS] = COUNTS ("journal_slots", "Journal slots written"),
  [COUNTER_JOURNAL_RECORDS] = COUNTS ("journal_records", "Journal records written"),
  [COUNTER_JOURNAL_FENCED] =
      COUNTS ("journal_fenced", "Times this process found its journal sealed"),
  [COUNTER_TAKEOVERS] = COUNTS ("takeovers", "Partitions taken over from a silent instance"),
  [COUNTER_HANDOFFS] = COUNTS ("handoffs", "Partitions handed off as planned"),
  [COUNTER_RELEASES] =
      COUNTS ("releases", "Releases of ended programs' engine memory that were acknowledged"),
  [COUNTER_QUARANTINED] =
      COUNTS ("quarantined", "Requests quarantined after crashing two backend servers"),
  [COUNTER_CONFIG_APPLIED] =
      COUNTS ("config_applied", "Configuration changes applied by this instance"),
  [COUNTER_CONFIG_CONFLICTS] =
      COUNTS ("config_conflicts", "Configuration changes refused due to a conflict"),
  [COUNTER_PEER_MESSAGES] = COUNTS ("peer_messages", "Messages sent to other instances"),
  [COUNTER_PEER_BYTES] = COUNTS ("peer_bytes", "Bytes sent to other instances"),
  [COUNTER_REQUESTS_ANSWERED] =
      COUNTS ("requests_answered",
              "Requests whose caller received a complete response of a backend server"),
  [COUNTER_PROGRAMS_REJECTED] =
      COUNTS ("programs_rejected", "Programs rejected when they began, since servers are busy"),
  [COUNTER_REQUESTS_OVER_LIMIT] =
      COUNTS ("requests_over_limit",
              "Requests rejected with Retry-After because their customer's limit was reached"),
  [COUNTER_REQUESTS_REFUSED] =
      COUNTS ("requests_refused", "Requests rejected with Retry-After without having run"),
  [COUNTER_REQUESTS_REJECTED] =
      COUNTS ("requests_rejected", "Requests rejected by configuration or budget, or as malformed"),
  [COUNTER_REQUESTS_BROKEN] =
      COUNTS ("requests_broken", "Requests that may have run and received no complete response"),
  [COUNTER_REQUESTS_LEFT] =
      COUNTS ("requests_left", "Requests whose caller disconnected before the response"),
  [COUNTER_REQUESTS_QUARANTINED] =
      COUNTS ("requests_quarantined", "Requests rejected for the servers that crashed under them"),
  [COUNTER_REQUESTS_SENT_AGAIN] =
      COUNTS ("requests_sent_again", "Attempts of requests at another server after the first"),
  [COUNTER_SLOTS_REPORTED] =
      COUNTS ("slots_reported", "Slots in use that were reported to a new owner of their server"),
  [COUNTER_SLOTS_WITHOUT_OWNER] = COUNTS (
      "slots_without_owner", "Requests sent without a slot, since no owner could be queried"),
  [COUNTER_ENTRIES_UNREADABLE] =
      COUNTS ("entries_unreadable", "Distinct malformed entries of backend servers"),
  [COUNTER_STREAMS_RESUMED] =
      COUNTS ("streams_resumed", "Interrupted streams that were resumed at another server"),
  [COUNTER_RESPONSES_UNFRAMED] =
      COUNTS ("responses_unframed", "Responses that end with the connection to their server"),
  [COUNTER_RESPONSES_DISCARDED] =
      COUNTS ("responses_discarded", "Responses of backend servers to other requests"),
  [COUNTER_RESPONSES_NOT_ATTRIBUTED] =
      COUNTS ("responses_not_attributed",
              "Responses without a request id on connections with earlier requests"),
  [COUNTER_TURNS_STORED] = COUNTS ("turns_stored", "Turns stored by enough archives"),
  [COUNTER_HISTORY_QUERIES] =
      COUNTS ("history_queries", "Further queries for turns that the first archive did not send"),
  [COUNTER_HISTORY_BYTES] = COUNTS ("history_bytes", "Bytes of earlier turns read from archives"),
  [COUNTER_HISTORIES_UNREAD] =
      COUNTS ("histories_unread", "Turns rejected since no archive sent all earlier turns"),
  [COUNTER_CHAINS_SENT] =
      COUNTS ("chains_sent", "Chains of earlier turns sent to an archive that lacked some of them"),
  [COUNTER_CHAIN_BYTES] = COUNTS ("chain_bytes", "Bytes of earlier turns sent to archives"),
  [COUNTER_QUOTA_REQUESTED] =
      COUNTS ("quota_leases_requested", "Requests for tokens of customers' limits"),
  [COUNTER_QUOTA_GRANTED] =
      COUNTS ("quota_tokens_granted", "Tokens of customers' limits that were granted"),
  [COUNTER_QUOTA_REJECTED] =
      COUNTS ("quota_leases_rejected", "Requests for tokens that the customer's owner rejected"),
  [COUNTER_QUOTA_RETURNED] =
      COUNTS ("quota_tokens_returned", "Tokens returned to other gateways without being used"),
  [COUNTER_QUOTA_TIMEOUTS] =
      COUNTS ("quota_timeouts", "Requests rejected because no owner of a limit responded"),
  [COUNTER_ARCHIVE_RECORDS] =
      COUNTS ("archive_records", "Records that this archive wrote to its disk"),
  [COUNTER_ARCHIVE_SYNCS] = COUNTS ("archive_syncs", "Batches of records that this archive synced"),
  [COUNTER_ACCEPTS_FAILED] = COUNTS (
      "accepts_failed", "Connections that could not be accepted, mostly for lack of a descriptor"),
  [COUNTER_CONNECTIONS_REJECTED] =
      COUNTS ("connections_rejected", "Connections closed at once because their listener was full"),
  [COUNTER_CLIENTS_GIVEN_UP] = COUNTS (
      "clients_given_up", "Clients rejected or disconnected for lack of memory or connections"),
  [COUNTER_CONNECTS_FAILED] =
      COUNTS ("connects_failed", "Connections not opened for lack of a descriptor or a local port"),
  [GAUGE_CONFIG_REVISION] =
      GAUGES ("config_revision", "Configuration revision in force on this instance"),
  [GAUGE_PARTITIONS_OWNED] = GAUGES ("partitions_owned", "Partitions whose home is this instance"),
  [GAUGE_PROGRAMS] = GAUGES ("programs", "Live programs whose home is this instance"),
  [GAUGE_CALLS_WAITING] =
      GAUGES ("calls_waiting", "Calls waiting for a backend server that this instance owns"),
  [GAUGE_CALLS_IN_FLIGHT] =
      GAUGES ("calls_in_flight", "Calls in flight to backend servers that this instance owns"),
  [GAUGE_DRAINING] = GAUGES ("draining", "1 while this instance is draining"),
  [GAUGE_LOOP_LAG_MS] =
      GAUGES ("loop_lag_ms",
              "Moving average of the time that events wait for the processor, in milliseconds"),
  [GAUGE_HELD_BYTES] =
      GAUGES ("held_bytes", "Memory of buffers for data of requests and responses, in bytes"),
  [GAUGE_PLATFORM_UP] = GAUGES ("platform_up", "1 while the key-value service responds"),
};

/* Each counter has its own cache line, so that threads that add to different counters do not slow
 * each other down by false sharing. */
struct CounterCell
{
  alignas (CACHE_LINE_BYTES) _Atomic uint64_t value;
};

static struct CounterCell cells[N_COUNTERS];

void
counter_add (enum Counter counter, uint64_t n)
{
  atomic_fetch_add_explicit (&cells[counter].value, n, memory_order_relaxed);
}

void
gauge_set (enum Counter gauge, uint64_t value)
{
  atomic_store_explicit (&cells[gauge].value, value, memory_order_relaxed);
}

void
gauge_add (enum Counter gauge, int64_t change)
{
  atomic_fetch_add_explicit (&cells[gauge].value, (uint64_t)change, memory_order_relaxed);
}

uint64_t
counter_read (enum Counter counter)
{
  return atomic_load_explicit (&cells[counter].value, memory_order_relaxed);
}

const char *
counter_name (enum Counter counter)
{
  return counter_infos[counter].name;
}

char *
counter_render (TALLOC_CTX *ctx)
{
  char *text = talloc_strdup (ctx, "");

  for (int i = 0; i < N_COUNTERS && text != NULL; i++)
    {
      const struct CounterInfo *info = &counter_infos[i];
      const char *type = info->type == COUNTER_TYPE_GAUGE ? "gauge" : "counter";

      text = talloc_asprintf_append_buffer (text, "# HELP %s %s.\n# TYPE %s %s\n%s %" PRIu64 "\n",
                                            info->name, info->help, info->name, type, info->name,
                                            counter_read ((enum Counter)i));
    }
  return text;
}
