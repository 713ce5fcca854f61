#include "home_internal.h"

#include <stdio.h>
#include <string.h>

#include <xxhash.h>

/* The message prefix of the body of a branch's last turn. */
struct HomePrefix
{
  char key[PROGRAM_ID_MAX_BYTES + NAME_MAX_BYTES + 2]; /* program, '/', branch */
  uint64_t sequence;
  uint32_t messages_end;
  XXH128_hash_t hash;
  UT_hash_handle by_key;
};

static void
prefix_key (char *key, size_t size, const struct CallKey *call)
{
  snprintf (key, size, "%s/%s", call->program, call->branch);
}

static struct HomePrefix *
prefix_find (struct Home *home, const struct CallKey *call)
{
  struct HomePrefix *prefix;
  char key[sizeof prefix->key];

  prefix_key (key, sizeof key, call);
  HASH_FIND (by_key, home->prefixes, key, strlen (key), prefix);
  return prefix;
}

/* Returns the offset in the body of the first message that the previous turn did not have. */
static uint32_t
history_new_messages_at (struct Home *home, const struct Call *call)
{
  const uint32_t head_bytes = (uint32_t)strlen (CHAT_BODY_HEAD);
  const struct HomePrefix *prefix = prefix_find (home, &call->key);

  /* Another home may have run turns in between: compares with the directly preceding one only. */
  if (prefix == NULL || prefix->sequence + 1 != call->key.sequence
      || prefix->messages_end >= call->messages_end || call->body[prefix->messages_end] != ',')
    return head_bytes;
  if (!XXH128_isEqual (XXH3_128bits (call->body, prefix->messages_end), prefix->hash))
    return head_bytes;
  return prefix->messages_end + 1;
}

const uint8_t *
home_history_part (struct HomeCall *call, size_t *n_bytes)
{
  const struct Call *c = &call->call;
  uint32_t from;
  char *part;

  *n_bytes = c->body_bytes;
  if (c->messages_end == 0)
    return c->body;
  from = history_new_messages_at (call->home, c);
  part =
      talloc_asprintf (call, "[%.*s]", (int)(c->messages_end - from), (const char *)c->body + from);
  if (part == NULL)
    return c->body;
  *n_bytes = strlen (part);
  return (const uint8_t *)part;
}

void
home_history_remember (struct HomeCall *call)
{
  struct Home *home = call->home;
  const struct Call *c = &call->call;
  struct HomePrefix *prefix;

  prefix = prefix_find (home, &c->key);
  if (c->messages_end == 0)
    {
      /* A call to a service has no messages; the next chat is still compared with the last chat. */
      if (prefix != NULL && prefix->sequence + 1 == c->key.sequence)
        prefix->sequence = c->key.sequence;
      return;
    }
  if (prefix == NULL)
    {
      prefix = talloc_zero (home->incarnation_ctx, struct HomePrefix);
      if (prefix == NULL)
        return;
      prefix_key (prefix->key, sizeof prefix->key, &c->key);
      HASH_ADD (by_key, home->prefixes, key, strlen (prefix->key), prefix);
    }
  prefix->sequence = c->key.sequence;
  prefix->messages_end = c->messages_end;
  prefix->hash = XXH3_128bits (c->body, c->messages_end);
}

void
home_history_forget (struct Home *home, const char *program)
{
  struct HomePrefix *prefix, *next;
  size_t n = strlen (program);

  HASH_ITER (by_key, home->prefixes, prefix, next)
  {
    if (strncmp (prefix->key, program, n) != 0 || prefix->key[n] != '/')
      continue;
    HASH_DELETE (by_key, home->prefixes, prefix);
    talloc_free (prefix);
  }
}

void
home_history_clear (struct Home *home)
{
  HASH_CLEAR (by_key, home->prefixes);
}
