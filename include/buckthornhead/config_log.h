/* The operators' configuration as one log of changes, each entry written once.
 *
 * Key of change n: <prefix>config/<n as 12 digits>, created only if absent, so a change is in the
 * audit trail because it is the audit trail. The configuration is the fold of entries 1..n; its
 * revision is n, and an instance never goes from a higher to a lower one. Checkpoints at
 * <prefix>config-checkpoint bound the reading. Entries also travel between peers, so that an
 * instance that starts while the service is down has the highest revision any peer has. */
#pragma once

#include <buckthornhead/kv.h>
#include <buckthornhead/profile.h>
#include <buckthornhead/timer.h>

struct ConfigLog;

enum ConfigChangeKind
{
  CONFIG_CHANGE_PROFILE = 1, /* name, text: INI of the profile */
  CONFIG_CHANGE_SERVICE = 2, /* name: service; text: profile it runs under */
  CONFIG_CHANGE_DRAIN = 3    /* name: instance; text: "on" or "off" */
};

struct ConfigChange
{
  enum ConfigChangeKind kind;
  char change_id[NAME_MAX_BYTES + 1]; /* chosen by the operator's client; settles lost answers */
  char name[NAME_MAX_BYTES + 1];
  char who[NAME_MAX_BYTES + 1];
  char reason[256];
  int64_t when_unix_ms;
  uint64_t expected_revision; /* entry that last changed this object, as its editor saw it;
                                 0: it does not exist yet; UINT64_MAX: whatever it is */
  const char *text;
  const char *before; /* filled in by the log */
  uint64_t revision;  /* filled in by the log: n */
};

/* Checked state after folding; immutable, so it can be published by RCU. */
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

/* error: ERROR_NONE (in force here, .revision), ERROR_CONFLICT (fault says what differs),
 * ERROR_INVALID, ERROR_PLATFORM_DOWN (refused, not applied), ERROR_UNKNOWN_EFFECT (ask again by
 * change id). */
typedef void (*ConfigApplyDone) (void *data,
                                 int32_t error,
                                 uint64_t revision,
                                 const struct Fault *);

struct ConfigLogOptions
{
  const char *prefix;
  uint32_t poll_ms; /* jittered; used when the watch is down */
  uint64_t seed;    /* of the jitter: another one at each instance */
  /* A higher revision is in force. The state is a fresh talloc object whose ownership passes to
   * the callback. */
  void (*changed) (void *data, struct ConfigState *state);
  void *data;
};

struct ConfigLog *
config_log_new (TALLOC_CTX *ctx,
                struct KvPort *kv,
                struct TimerService *timers,
                const struct ConfigLogOptions *options);

/* Checks, then appends a change; every verdict comes later, through done. The same change id
 * again gives the first one's result, as long as it is among the last 1024. Changes of one
 * instance are taken one after the other. */
int32_t
config_log_apply (struct ConfigLog *log,
                  const struct ConfigChange *change,
                  ConfigApplyDone done,
                  void *data);

uint64_t
config_log_revision (const struct ConfigLog *log);

/* Entry n packed for a peer (belongs to ctx), or NULL above the revision; and the same taken in
 * from a peer. Entries are taken in order only; ERROR_OUT_OF_ORDER asks for the ones between. For
 * an n so old that it is no longer kept, the whole configuration at the present revision is given
 * instead; whoever takes it is at that revision then. What is not higher than the own revision
 * is left alone. */
uint8_t *
config_log_entry (const struct ConfigLog *log, TALLOC_CTX *ctx, uint64_t n, size_t *bytes);
int32_t
config_log_take_entry (struct ConfigLog *log, const uint8_t *packed, size_t bytes);

/* Whether entry n is kept by itself. Of those that are not, one is enough: it stands for all. */
bool
config_log_keeps (const struct ConfigLog *log, uint64_t n);

/* Calls fn for each change still kept here (the last 1024), oldest first: the audit trail. */
typedef void (*ConfigChangeFn) (void *data, const struct ConfigChange *change);
void
config_log_each (const struct ConfigLog *log, ConfigChangeFn fn, void *data);
