#include <buckthornhead/membership.h>

#include "kv_follow.h"
#include "registration.h"

#include <buckthornhead/error.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  READ_LIMIT = 512,
  /* How long a watch whose connection broke silently can hide a lapsed lease. It adds to the lease
   * period before the programs of a failed instance are taken over. */
  WATCH_MS = 5000
};

struct ListedMember
{
  struct Member member;
  bool seen;    /* by the current read */
  bool missing; /* its key was deleted; removed unless it is back when the grace period ends */
};

struct Membership
{
  struct TimerService *timers;
  struct MembershipOptions options;
  char *prefix; /* of the members' keys */
  struct Registration *registration;
  struct KvFollow *follow;
  struct ListedMember *list; /* sorted by instance */
  size_t n_list;
  bool changed; /* since the last call of members_changed */
  bool up;
  int64_t available_ms; /* when the service was last available */
  struct Timer *grace_timer;
};

/* Returns the index of instance, or the index at which it has to be inserted. */
static size_t
membership_find (const struct Membership *m, const char *instance, bool *found)
{
  size_t i = 0;

  while (i < m->n_list && strcmp (m->list[i].member.instance, instance) < 0)
    i++;
  *found = i < m->n_list && strcmp (m->list[i].member.instance, instance) == 0;
  return i;
}

static void
membership_remove_at (struct Membership *m, size_t i)
{
  m->n_list--;
  memmove (m->list + i, m->list + i + 1, (m->n_list - i) * sizeof *m->list);
  m->changed = true;
}

static void
membership_notify (struct Membership *m)
{
  struct Member *members = talloc_array (m, struct Member, m->n_list);

  for (size_t i = 0; i < m->n_list; i++)
    members[i] = m->list[i].member;
  m->changed = false;
  m->options.members_changed (m->options.data, members, m->n_list);
  talloc_free (members);
}

static void
membership_on_grace_end (void *data)
{
  struct Membership *m = data;

  m->grace_timer = NULL;
  for (size_t i = m->n_list; i-- > 0;)
    if (m->list[i].missing)
      membership_remove_at (m, i);
  if (m->changed)
    membership_notify (m);
}

/* Starts a grace period after an outage that may have outlasted the leases. Such an outage deletes
 * every key, and the first instance to read them afterwards would otherwise treat all others as
 * failed and take over their partitions. A missing member has one lease period to come back. */
static void
membership_check_grace (struct Membership *m)
{
  int64_t now_ms = timer_now_ms (m->timers);
  int64_t ttl_ms = (int64_t)m->options.lease_ttl_s * 1000;

  if (now_ms - m->available_ms >= ttl_ms * 2 / 3)
    {
      talloc_free (m->grace_timer);
      m->grace_timer = timer_subscribe (m, m->timers, ttl_ms, 0, membership_on_grace_end, m);
    }
  m->available_ms = now_ms;
}

static void
membership_on_availability (void *data, bool available)
{
  struct Membership *m = data;

  if (available)
    membership_check_grace (m);
  if (m->up == available)
    return;
  m->up = available;
  if (m->options.platform_changed != NULL)
    m->options.platform_changed (m->options.data, available);
}

static void
membership_on_registered (void *data)
{
  struct Membership *m = data;

  m->options.incarnation_changed (m->options.data, registration_incarnation (m->registration));
}

static void
membership_on_lost (void *data)
{
  struct Membership *m = data;

  log_event (LOG_LEVEL_NOTICE, "incarnation_given_up", NULL, NULL, "%s", m->options.instance);
}

/* Handles the deletion of the key of member i. */
static void
membership_key_deleted (struct Membership *m, size_t i)
{
  if (m->grace_timer != NULL)
    m->list[i].missing = true;
  else
    membership_remove_at (m, i);
}

static void
membership_set (struct Membership *m, const struct Member *member)
{
  bool found = false;
  size_t i = membership_find (m, member->instance, &found);

  if (!found)
    {
      m->list = talloc_realloc (m, m->list, struct ListedMember, m->n_list + 1);
      memmove (m->list + i + 1, m->list + i, (m->n_list - i) * sizeof *m->list);
      m->n_list++;
    }
  if (!found || memcmp (&m->list[i].member, member, sizeof *member) != 0)
    m->changed = true;
  m->list[i].member = *member;
  m->list[i].seen = true;
  m->list[i].missing = false;
}

/* Handles a key without an incarnation: it was deleted, or its instance is registering again and
 * has dropped its former incarnation. */
static void
membership_clear (struct Membership *m, const char *instance, bool deleted)
{
  bool found = false;
  size_t i = membership_find (m, instance, &found);

  if (found && deleted)
    membership_key_deleted (m, i);
  else if (found)
    membership_remove_at (m, i);
}

static void
membership_on_read_begin (void *data)
{
  struct Membership *m = data;

  for (size_t i = 0; i < m->n_list; i++)
    m->list[i].seen = false;
}

static bool
membership_on_entry (void *data, const struct KvEntry *entry)
{
  struct Membership *m = data;
  const char *instance = entry->key + strlen (m->prefix);
  bool own = strcmp (instance, m->options.instance) == 0;
  struct Member member = { 0 };

  if (!entry->deleted && member_unpack (entry->value, entry->value_bytes, &member) != ERROR_NONE)
    {
      log_event (LOG_LEVEL_ERROR, "member_not_understood", NULL,
                 "run the same version on all instances", "%s", instance);
      return true;
    }
  snprintf (member.instance, sizeof member.instance, "%s", instance);
  if (member.incarnation[0] != '\0')
    membership_set (m, &member);
  else
    membership_clear (m, instance, entry->deleted);
  if (own)
    registration_observe (m->registration, entry->deleted ? NULL : &member, entry->mod_revision);
  return true;
}

/* Handles the members that a complete read did not contain as deleted. This and a deletion reported
 * by a watch are the only ways to remove a member: a service that does not reply removes none. */
static void
membership_sweep (struct Membership *m, int64_t revision)
{
  bool own_seen = false;

  size_t own = membership_find (m, m->options.instance, &own_seen);

  own_seen = own_seen && m->list[own].seen;
  for (size_t i = m->n_list; i-- > 0;)
    if (!m->list[i].seen)
      membership_key_deleted (m, i);
  if (!own_seen)
    registration_observe (m->registration, NULL, revision);
}

static void
membership_on_page (void *data, bool whole, int64_t revision)
{
  struct Membership *m = data;

  if (whole)
    membership_sweep (m, revision);
  if (m->changed)
    membership_notify (m);
}

static int32_t
membership_start_follow (struct Membership *m, struct KvPort *kv, struct TimerService *timers)
{
  struct KvFollowOptions options = { .prefix = m->prefix };

  options.poll_ms = m->options.poll_ms;
  options.watch_ms = WATCH_MS;
  options.read_limit = READ_LIMIT;
  options.seed = m->options.seed + 1;
  options.begin = membership_on_read_begin;
  options.on_entry = membership_on_entry;
  options.on_page = membership_on_page;
  options.availability = membership_on_availability;
  options.data = m;
  m->follow = kv_follow_new (m, kv, timers, &options);
  if (m->follow == NULL)
    return ERROR_NO_MEMORY;
  kv_follow_start (m->follow);
  return ERROR_NONE;
}

static int32_t
membership_register (struct Membership *m, struct KvPort *kv, struct TimerService *timers)
{
  struct RegistrationOptions options = { 0 };
  struct Member self = { 0 };
  char *key = talloc_asprintf (m, "%s%s", m->prefix, m->options.instance);

  snprintf (self.instance, sizeof self.instance, "%s", m->options.instance);
  snprintf (self.zone, sizeof self.zone, "%s", m->options.zone);
  snprintf (self.caller_address, sizeof self.caller_address, "%s", m->options.caller_address);
  snprintf (self.peer_address, sizeof self.peer_address, "%s", m->options.peer_address);
  options.key = key;
  options.lease_ttl_s = m->options.lease_ttl_s;
  options.seed = m->options.seed;
  options.registered = membership_on_registered;
  options.lost = membership_on_lost;
  options.availability = membership_on_availability;
  options.data = m;
  m->registration = registration_new (m, kv, timers, &self, &options);
  return m->registration != NULL ? ERROR_NONE : ERROR_NO_MEMORY;
}

struct Membership *
membership_new (TALLOC_CTX *ctx,
                struct KvPort *kv,
                struct TimerService *timers,
                const struct MembershipOptions *options)
{
  struct Membership *m = talloc_zero (ctx, struct Membership);

  if (m == NULL)
    return NULL;
  m->timers = timers;
  m->available_ms = timer_now_ms (timers);
  m->options = *options;
  m->options.instance = talloc_strdup (m, options->instance);
  m->prefix = talloc_asprintf (m, "%smember/", options->prefix);
  if (m->options.instance == NULL || m->prefix == NULL
      || membership_register (m, kv, timers) != ERROR_NONE
      || membership_start_follow (m, kv, timers) != ERROR_NONE)
    TALLOC_FREE (m);
  return m;
}

const char *
membership_incarnation (const struct Membership *membership)
{
  return registration_incarnation (membership->registration);
}

void
membership_rejoin (struct Membership *membership)
{
  registration_rejoin (membership->registration);
}

void
membership_set_draining (struct Membership *membership, bool draining)
{
  registration_set_draining (membership->registration, draining);
}

void
membership_leave (struct Membership *membership, void (*done) (void *data), void *data)
{
  registration_leave (membership->registration, done, data);
}
