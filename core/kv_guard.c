#include <buckthornhead/kv_guard.h>

#include <buckthornhead/error.h>

struct KvGuard;

/* Child of the owner, so that its destructor notifies the guard when the owner is freed. */
struct KvGuardLink
{
  struct KvGuard *guard;
};

struct KvGuard
{
  struct KvGuardLink *link; /* NULL once the owner was freed */
  KvDone done;
  void *data;
};

static int
kv_guard_link_free (struct KvGuardLink *link)
{
  if (link->guard != NULL)
    link->guard->link = NULL;
  return 0;
}

/* Runs also when the port is freed while the request is outstanding. */
static int
kv_guard_free (struct KvGuard *guard)
{
  if (guard->link != NULL)
    guard->link->guard = NULL;
  return 0;
}

static void
kv_guard_done (void *data, const struct KvResult *result)
{
  struct KvGuard *guard = data;
  KvDone done = guard->link != NULL ? guard->done : NULL;
  void *done_data = guard->data;

  talloc_free (guard->link);
  talloc_free (guard);
  if (done != NULL)
    done (done_data, result);
}

int32_t
kv_submit_guarded (
    TALLOC_CTX *owner, struct KvPort *kv, const struct KvRequest *request, KvDone done, void *data)
{
  struct KvGuard *guard = talloc_zero (kv, struct KvGuard);
  int32_t error;

  if (guard == NULL)
    return ERROR_NO_MEMORY;
  guard->done = done;
  guard->data = data;
  guard->link = talloc_zero (owner, struct KvGuardLink);
  if (guard->link == NULL)
    {
      talloc_free (guard);
      return ERROR_NO_MEMORY;
    }
  guard->link->guard = guard;
  talloc_set_destructor (guard, kv_guard_free);
  talloc_set_destructor (guard->link, kv_guard_link_free);
  error = kv_submit (kv, request, kv_guard_done, guard);
  if (error != ERROR_NONE)
    {
      talloc_free (guard->link);
      talloc_free (guard);
    }
  return error;
}
