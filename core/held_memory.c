#include <buckthornhead/held_memory.h>

#include <buckthornhead/counter.h>

static int
buffer_free (uint8_t *buffer)
{
  gauge_add (GAUGE_HELD_BYTES, -(int64_t)talloc_get_size (buffer));
  return 0;
}

uint8_t *
held_memory_resize (TALLOC_CTX *ctx, uint8_t *buffer, size_t n_bytes)
{
  size_t n_before = buffer != NULL ? talloc_get_size (buffer) : 0;
  uint8_t *resized = talloc_realloc (ctx, buffer, uint8_t, n_bytes);

  if (resized == NULL)
    return NULL;
  talloc_set_destructor (resized, buffer_free);
  gauge_add (GAUGE_HELD_BYTES, (int64_t)n_bytes - (int64_t)n_before);
  return resized;
}

uint64_t
held_memory_bytes (void)
{
  return counter_read (GAUGE_HELD_BYTES);
}
