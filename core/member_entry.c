#include "member_entry.h"

#include <buckthornhead/error.h>
#include <buckthornhead/pack.h>

#include <string.h>

enum
{
  MEMBER_VERSION = 1
};

int32_t
member_pack (TALLOC_CTX *ctx, const struct Member *member, uint8_t **packed, size_t *n_bytes)
{
  struct PackWriter *writer = pack_writer_new (ctx, false);

  if (writer == NULL)
    return ERROR_NO_MEMORY;
  pack_array (writer, 6);
  pack_u64 (writer, MEMBER_VERSION);
  pack_string (writer, member->incarnation);
  pack_string (writer, member->zone);
  pack_string (writer, member->caller_address);
  pack_string (writer, member->peer_address);
  pack_bool (writer, member->draining);
  return pack_finish (writer, ctx, packed, n_bytes);
}

int32_t
member_unpack (const uint8_t *packed, size_t n_bytes, struct Member *member)
{
  struct PackReader reader;
  void *document = pack_open (NULL, packed, n_bytes, &reader);
  int32_t error = ERROR_INVALID;

  memset (member, 0, sizeof *member);
  if (document == NULL)
    return ERROR_INVALID;
  if (read_u64 (&reader, MEMBER_VERSION) == MEMBER_VERSION)
    {
      read_string (&reader, member->incarnation, sizeof member->incarnation);
      read_string (&reader, member->zone, sizeof member->zone);
      read_string (&reader, member->caller_address, sizeof member->caller_address);
      read_string (&reader, member->peer_address, sizeof member->peer_address);
      member->draining = read_bool (&reader);
      error = read_end (&reader);
    }
  talloc_free (document);
  return error;
}
