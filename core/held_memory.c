#include <buckthornhead/held_memory.h>

#include <buckthornhead/counter.h>

enum
{
  SHARE_EIGHTHS = 3,
  DOUBLED_MAX_BYTES = 64 * 1024
};

/* Counts its .n_bytes while it exists. */
struct Charge
{
  size_t n_bytes;
};

static struct
{
  uint64_t max_bytes;
  void (*exceeded) (void *data);
  void *data;
} watch;

static uint64_t sum_max_bytes; /* 0: none */

void
held_memory_add (size_t n_bytes)
{
  gauge_add (GAUGE_HELD_BYTES, (int64_t)n_bytes);
  if (watch.exceeded != NULL && held_memory_bytes () > watch.max_bytes)
    watch.exceeded (watch.data);
}

void
held_memory_subtract (size_t n_bytes)
{
  gauge_add (GAUGE_HELD_BYTES, -(int64_t)n_bytes);
}

static int
buffer_free (uint8_t *buffer)
{
  held_memory_subtract (talloc_get_size (buffer));
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
  if (n_bytes > n_before)
    held_memory_add (n_bytes - n_before);
  else
    held_memory_subtract (n_before - n_bytes);
  return resized;
}

size_t
held_memory_grown_size (size_t n_bytes, size_t max_bytes)
{
  size_t size = n_bytes <= DOUBLED_MAX_BYTES ? 2 * n_bytes : n_bytes + n_bytes / 2;

  return size < max_bytes ? size : max_bytes;
}

static int
charge_free (struct Charge *charge)
{
  held_memory_subtract (charge->n_bytes);
  return 0;
}

bool
held_memory_charge (TALLOC_CTX *ctx, size_t n_bytes)
{
  struct Charge *charge = talloc (ctx, struct Charge);

  if (charge == NULL)
    return false;
  charge->n_bytes = n_bytes;
  talloc_set_destructor (charge, charge_free);
  held_memory_add (n_bytes);
  return true;
}

uint64_t
held_memory_bytes (void)
{
  return counter_read (GAUGE_HELD_BYTES);
}

void
held_memory_set_max (uint64_t max_bytes)
{
  sum_max_bytes = max_bytes;
}

bool
held_memory_is_exhausted (void)
{
  return sum_max_bytes > 0 && held_memory_bytes () >= sum_max_bytes;
}

uint64_t
held_memory_share (uint64_t machine_bytes)
{
  return machine_bytes / 8 * SHARE_EIGHTHS;
}

void
held_memory_watch (uint64_t max_bytes, void (*exceeded) (void *data), void *data)
{
  watch.max_bytes = max_bytes;
  watch.exceeded = exceeded;
  watch.data = data;
}
