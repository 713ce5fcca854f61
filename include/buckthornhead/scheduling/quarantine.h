/* Quarantine of requests that crash the backend servers that run them.
 *
 * Every request that was running on a server when it crashed is a suspect. One that was running on
 * two servers that crashed one after the other, without a complete response in between, is in
 * quarantine. Crashes at the same time count as one, since a rack or an availability zone may have
 * failed. A complete response clears a request.
 *
 * A quarantined request may be tried again after a pause that grows with each crash, if the options
 * say so: other requests of the same servers may be quarantined with the one that crashed them.
 *
 * Does no I/O; callers pass in the time in ms, which is positive. */
#pragma once

#include <buckthornhead/call.h>

#include <talloc.h>
#include <uthash.h>

enum
{
  QUARANTINE_CRASHES_MAX = 6, /* kept per request */
  QUARANTINE_THRESHOLD = 2,   /* crashes one after the other */
  QUARANTINE_TRIALS_MAX = 4,  /* then only an operator ends the quarantine */
  QUARANTINE_LIST_MAX = 4096, /* suspects, and as many quarantined requests */
  QUARANTINE_TRIAL_MS = 5000  /* within which the outcome of a trial is known */
};

/* A server that ended while it ran a request. */
struct CrashRecord
{
  char server[NAME_MAX_BYTES + 1];
  uint64_t started_unix_ms; /* identifies the server's process; 0: unknown */
  int64_t sent_ms;          /* when the request was sent to the server */
  int64_t ended_ms;
  /* Does not count: the server turned out to be running, or the request has had a complete response
   * since. */
  bool discounted;
};

/* What is known of one request. */
struct SuspectRecord
{
  uint8_t digest[DIGEST_BYTES];
  struct CrashRecord crashes[QUARANTINE_CRASHES_MAX]; /* by .ended_ms */
  uint32_t n_crashes;
  int64_t cleared_ms;   /* its last complete response; 0: none. Earlier crashes do not count. */
  int64_t trial_ms;     /* start of its last trial; 0: none */
  uint32_t trial_level; /* number of the next trial, of QUARANTINE_TRIALS_MAX; a trial without an
                           outcome raises it as a crash does */
};

struct Suspect
{
  struct Suspect *previous, *next; /* in its list, oldest first */
  struct SuspectRecord record;
  bool quarantined; /* the list that it is in */
  bool changed;     /* here, since it was last returned by quarantine_next_changed */
  bool is_shared;   /* it was returned by quarantine_next_changed, or merged */
  int64_t changed_ms;
  UT_hash_handle hh;
};

struct QuarantineOptions
{
  bool has_trials; /* false: a quarantined request stays so until it is forgotten */
  /* Servers that end within this of each other count as one event: a request that is sent on at
   * once reaches servers of the same rack, which end for it after a round trip. */
  uint32_t same_event_ms;
};

struct Quarantine;

enum QuarantineVerdict
{
  VERDICT_FREE,    /* no crash counts against it */
  VERDICT_SUSPECT, /* was running on one server that crashed */
  VERDICT_HELD,    /* in quarantine */
  VERDICT_TRIAL    /* in quarantine, and due to be tried again */
};

struct QuarantineState
{
  enum QuarantineVerdict verdict;
  uint32_t n_crashes; /* that count, one after the other */
  int64_t wait_ms;    /* VERDICT_HELD: until a trial is due; INT64_MAX: none will be */
};

struct Quarantine *
quarantine_new (TALLOC_CTX *ctx, const struct QuarantineOptions *options);

/* Returns true if no crash of any request is recorded. */
bool
quarantine_is_empty (const struct Quarantine *quarantine);

struct QuarantineState
quarantine_check (const struct Quarantine *quarantine,
                  const uint8_t digest[DIGEST_BYTES],
                  int64_t now_ms);

bool
quarantine_contains (const struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES]);

/* Returns whether a server crashed while it ran the request. So did all requests that ran at the
 * same time: the scheduler retries them one at a time (DispatchItem.suspect), so that a second
 * crash identifies one of them. */
bool
quarantine_is_suspect (const struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES]);

/* Records that a server crashed while it ran the request. A server counts once. Returns true if
 * this puts the request in quarantine. */
bool
quarantine_record_crash (struct Quarantine *quarantine,
                         const uint8_t digest[DIGEST_BYTES],
                         const struct CrashRecord *crash,
                         int64_t now_ms);

/* Records a complete response. A request with one of the last RECENT_HASHES_MAX of this process
 * does not crash servers: one that is sent often runs on most servers when they crash. Returns true
 * if crashes counted. */
bool
quarantine_record_complete (struct Quarantine *quarantine,
                            const uint8_t digest[DIGEST_BYTES],
                            int64_t now_ms);

/* Takes back the crashes that count, as an operator decides. Returns true if there were any. */
bool
quarantine_clear (struct Quarantine *quarantine,
                  const uint8_t digest[DIGEST_BYTES],
                  int64_t now_ms);

/* Records that the server's process was running from since_ms to until_ms: connections that broke
 * in between do not count as its crash. Returns whether any did. */
bool
quarantine_refute (struct Quarantine *quarantine,
                   const char *server,
                   uint64_t started_unix_ms,
                   int64_t since_ms,
                   int64_t until_ms,
                   int64_t now_ms);

/* Records that a trial of the request begins. */
void
quarantine_begin_trial (struct Quarantine *quarantine,
                        const uint8_t digest[DIGEST_BYTES],
                        int64_t now_ms);

/* Adds what another process knows. Returns whether it was new. */
bool
quarantine_merge (struct Quarantine *quarantine,
                  const struct SuspectRecord *record,
                  int64_t now_ms);

/* Forgets suspects and quarantined requests that have not changed for long. */
void
quarantine_expire (struct Quarantine *quarantine, int64_t now_ms);

/* Returns the oldest suspect that has changed here, and resets its mark; NULL if there is none.
 * Leaves out those that no other process knows and against which no crash counts. */
const struct SuspectRecord *
quarantine_next_changed (struct Quarantine *quarantine);

/* Marks a request as changed, so that it is reported again. */
void
quarantine_mark_changed (struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES]);

uint32_t
quarantine_n_quarantined (const struct Quarantine *quarantine);

/* Returns a number that grows with each change. */
uint64_t
quarantine_version (const struct Quarantine *quarantine);

/* Returns the next quarantined request; the first one after NULL. */
const struct Suspect *
quarantine_next (const struct Quarantine *quarantine, const struct Suspect *previous);

/* Returns what is known of a request; NULL if nothing is. Valid until the next change. */
const struct SuspectRecord *
quarantine_record (const struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES]);

/* Returns the state of a record that was not looked up. */
struct QuarantineState
quarantine_state_of (const struct Quarantine *quarantine,
                     const struct SuspectRecord *record,
                     int64_t now_ms);
