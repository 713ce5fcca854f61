/* Messages between gateways and archives, and entries of the platform: any input is rejected, or
 * packs and unpacks to the same value. An event stream gives the same events however it is split.
 * The first byte selects the format. */
#include "fuzz.h"

#include <buckthornhead/error.h>
#include <buckthornhead/event_stream.h>
#include <buckthornhead/gateway_message.h>
#include <buckthornhead/scheduling/replica_set.h>

#include <platform.h>
#include <string.h>

enum
{
  N_KINDS = 6
};

static void
fuzz_message (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes)
{
  struct GatewayMessage *message, *again;
  uint8_t *packed, *repacked;
  size_t n_packed, n_repacked;

  if (gateway_message_unpack (ctx, bytes, n_bytes, &message) != ERROR_NONE)
    return;
  FUZZ_REQUIRE (gateway_message_pack (ctx, message, &packed, &n_packed) == ERROR_NONE);
  FUZZ_REQUIRE (gateway_message_unpack (ctx, packed, n_packed, &again) == ERROR_NONE);
  FUZZ_REQUIRE (gateway_message_pack (ctx, again, &repacked, &n_repacked) == ERROR_NONE);
  FUZZ_REQUIRE (n_packed == n_repacked && memcmp (packed, repacked, n_packed) == 0);
}

static void
fuzz_archive_set (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes)
{
  struct ArchiveSet set, again;
  uint8_t *packed;
  size_t n_packed;

  if (archive_set_decode (bytes, n_bytes, &set) != ERROR_NONE)
    return;
  FUZZ_REQUIRE (archive_set_encode (ctx, &set, &packed, &n_packed) == ERROR_NONE);
  FUZZ_REQUIRE (archive_set_decode (packed, n_packed, &again) == ERROR_NONE);
  FUZZ_REQUIRE (again.generation == set.generation && again.members.n == set.members.n);
}

static void
fuzz_replica_entry (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes)
{
  struct ReplicaEntry entry;
  uint8_t *packed;
  size_t n_packed;

  if (replica_entry_unpack (bytes, n_bytes, &entry) != ERROR_NONE)
    return;
  packed = replica_entry_pack (ctx, &entry, &n_packed);
  FUZZ_REQUIRE (packed != NULL && replica_entry_unpack (packed, n_packed, &entry) == ERROR_NONE);
}

static void
fuzz_routes (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes)
{
  struct RouteTable *table;
  struct Fault fault;

  if (platform_dialect.read_routes (ctx, bytes, n_bytes, &table, &fault) == ERROR_NONE)
    route_table_find (table, "x.example", "/a/b");
}

static void
fuzz_server (const uint8_t *bytes, size_t n_bytes)
{
  struct ReplicaEntry entry;
  struct Fault fault;

  if (platform_dialect.read_server ("servers/i-1", bytes, n_bytes, &entry, &fault) != ERROR_NONE)
    return;
  FUZZ_REQUIRE (entry.slots > 0 && entry.zone[0] != '\0' && entry.service[0] != '\0');
}

static void
fuzz_events (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes)
{
  struct EventStream whole = { .collects_data = true }, split = { .collects_data = true };

  event_stream_parse (ctx, &whole, bytes, n_bytes);
  for (size_t i = 0; i < n_bytes; i++)
    event_stream_parse (ctx, &split, bytes + i, 1);
  FUZZ_REQUIRE (whole.n_events == split.n_events);
  FUZZ_REQUIRE (byte_queue_length (&whole.data) == byte_queue_length (&split.data));
  FUZZ_REQUIRE (whole.incomplete_bytes == split.incomplete_bytes
                && whole.incomplete_bytes <= n_bytes);
  FUZZ_REQUIRE (event_stream_is_inside_event (&whole) == event_stream_is_inside_event (&split));
  FUZZ_REQUIRE (whole.incomplete_bytes > 0 || !event_stream_is_inside_event (&whole));
  FUZZ_REQUIRE (whole.has_last_id == split.has_last_id && whole.last_id == split.last_id);
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t n_bytes)
{
  TALLOC_CTX *ctx = talloc_new (NULL);

  if (n_bytes == 0)
    goto out;
  switch (bytes[0] % N_KINDS)
    {
    case 0:
      fuzz_message (ctx, bytes + 1, n_bytes - 1);
      break;
    case 1:
      fuzz_archive_set (ctx, bytes + 1, n_bytes - 1);
      break;
    case 2:
      fuzz_replica_entry (ctx, bytes + 1, n_bytes - 1);
      break;
    case 3:
      fuzz_routes (ctx, bytes + 1, n_bytes - 1);
      break;
    case 4:
      fuzz_server (bytes + 1, n_bytes - 1);
      break;
    default:
      fuzz_events (ctx, bytes + 1, n_bytes - 1);
      break;
    }
out:
  talloc_free (ctx);
  return 0;
}
