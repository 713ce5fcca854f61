/* The operators' configuration, stored as an append-only log of changes.
 *
 * Change n is stored under <prefix>config/<n as 12 digits>. The key is created only if absent and
 * never overwritten, so the log itself is the audit trail. The configuration is the result of
 * applying changes 1 to n in order; its revision is n, and an instance never reverts to a lower
 * revision. Checkpoints at <prefix>config-checkpoint limit the number of changes that a starting
 * instance reads. Peers also exchange entries, so that an instance that starts
 * while the key-value service is down reaches the highest revision of any peer. */
#pragma once

#include <buckthornhead/kv.h>
#include <buckthornhead/profile.h>
#include <buckthornhead/timer.h>

struct ConfigLog;

enum ConfigChangeKind
{
  CONFIG_CHANGE_PROFILE = 1, /* name, text: INI of the profile */
  CONFIG_CHANGE_SERVICE = 2, /* name: service; text: name of its profile */
  CONFIG_CHANGE_DRAIN = 3    /* name: instance; text: "on" or "off" */
};

struct ConfigChange
{
  enum ConfigChangeKind kind;
  char change_id[NAME_MAX_BYTES + 1]; /* chosen by the client; identifies a repeated change */
  char name[NAME_MAX_BYTES + 1];
  char author[NAME_MAX_BYTES + 1];
  char reason[256];
  int64_t when_unix_ms;
  uint64_t expected_revision; /* the object's last revision when the editor read it; 0: the
                                 object does not exist yet; UINT64_MAX: not checked */
  const char *text;
  const char *before; /* previous text of the object; set by the log */
  uint64_t revision;  /* number of this change; set by the log */
};

/* Validated configuration at one revision; immutable, so that RCU can publish it. */
struct ConfigService
{
  char name[NAME_MAX_BYTES + 1];
  char profile[NAME_MAX_BYTES + 1];
  uint64_t revision;
};
struct ConfigProfile
{
  struct Profile profile;
  const char *text;
  uint64_t revision;
};
struct ConfigState
{
  uint64_t revision;
  struct ConfigProfile *profiles;
  size_t n_profiles;
  struct ConfigService *services;
  size_t n_services;
  char (*draining)[NAME_MAX_BYTES + 1];
  size_t n_draining;
};

/* Reports the result of a change. error is ERROR_NONE (in force on this instance at revision),
 * ERROR_CONFLICT (fault names the differences), ERROR_INVALID, ERROR_PLATFORM_DOWN (rejected, not
 * applied) or ERROR_UNKNOWN_EFFECT (send the change again with the same change id). */
typedef void (*ConfigApplyDone) (void *data,
                                 int32_t error,
                                 uint64_t revision,
                                 const struct Fault *);

struct ConfigLogOptions
{
  const char *prefix;
  uint32_t poll_ms; /* interval between reads while the watch is down; jittered */
  uint64_t seed;    /* jitter seed, different on each instance */
  /* Called when a higher revision is in force. state is a new talloc object, which the callback
   * owns from then on. */
  void (*changed) (void *data, struct ConfigState *state);
  void *data;
};

struct ConfigLog *
config_log_new (TALLOC_CTX *ctx,
                struct KvPort *kv,
                struct TimerService *timers,
                const struct ConfigLogOptions *options);

/* Validates and appends a change. done is never called before this function returns. A repeated
 * change id returns the result of the first change, as long as that is among the last 1024. An
 * instance processes its changes one at a time, in the order of submission. */
int32_t
config_log_apply (struct ConfigLog *log,
                  const struct ConfigChange *change,
                  ConfigApplyDone done,
                  void *data);

uint64_t
config_log_revision (const struct ConfigLog *log);

/* Returns entry n packed for a peer (belongs to ctx), or NULL if n is 0 or above the revision. If
 * entry n is too old to be kept, returns a checkpoint of the whole configuration at the current
 * revision instead. */
uint8_t *
config_log_entry (const struct ConfigLog *log, TALLOC_CTX *ctx, uint64_t n, size_t *bytes);

/* Applies an entry or a checkpoint packed by a peer. Entries are accepted in order only:
 * ERROR_OUT_OF_ORDER means that earlier ones are missing. A revision that is not above the own one
 * is ignored. */
int32_t
config_log_apply_entry (struct ConfigLog *log, const uint8_t *packed, size_t bytes);

/* True when entry n is kept. config_log_entry returns the same checkpoint for every older n, so a
 * peer needs only one of those. */
bool
config_log_has_entry (const struct ConfigLog *log, uint64_t n);

/* Calls fn for each change that is still kept (the last 1024), oldest first: the audit trail. */
typedef void (*ConfigChangeFn) (void *data, const struct ConfigChange *change);
void
config_log_each (const struct ConfigLog *log, ConfigChangeFn fn, void *data);
