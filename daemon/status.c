#include "status.h"

#include "fleet.h"

#include <string.h>

static json_t *
number_json (uint64_t value)
{
  return json_integer ((json_int_t)value);
}

static json_t *
instance_json (const struct FleetMember *member, const struct PeerHeartbeat *heartbeat)
{
  json_t *json = json_pack ("{s:s,s:s,s:s,s:s,s:b,s:b}", "instance", member->instance,
                            "incarnation", member->incarnation, "zone", member->zone, "state",
                            member->draining || heartbeat->draining ? "draining" : "serving",
                            "platform_up", heartbeat->platform_up, "suspected", member->suspected);

  json_object_set_new (json, "caller_address", json_string (member->caller_address));
  json_object_set_new (json, "config_revision", number_json (heartbeat->config_revision));
  json_object_set_new (json, "partitions", number_json (heartbeat->partitions));
  json_object_set_new (json, "programs", number_json (heartbeat->programs));
  json_object_set_new (json, "in_flight", number_json (heartbeat->in_flight));
  json_object_set_new (json, "waiting", number_json (heartbeat->waiting));
  return json;
}

/* Copies the last heartbeat of a member, or this instance's current one, to *heartbeat. */
static void
member_heartbeat (struct Core *core,
                  TALLOC_CTX *ctx,
                  const struct FleetMember *member,
                  struct PeerHeartbeat *heartbeat)
{
  if (strcmp (member->instance, core->settings->instance) == 0)
    fleet_own_heartbeat (core->fleet, ctx, heartbeat);
  else
    *heartbeat = member->heartbeat;
}

static void
outcomes_add (struct PeerOutcomes *sum, const struct PeerOutcomes *one)
{
  sum->created += one->created;
  sum->done += one->done;
  sum->cancelled += one->cancelled;
  sum->over_budget += one->over_budget;
  sum->late += one->late;
  sum->refused += one->refused;
  sum->may_have_run += one->may_have_run;
  sum->program_ms += one->program_ms;
  sum->prefix_tokens += one->prefix_tokens;
  sum->cached_tokens += one->cached_tokens;
}

static json_t *
outcomes_json (const struct PeerOutcomes *sum)
{
  json_t *json = json_object ();

  json_object_set_new (json, "created", number_json (sum->created));
  json_object_set_new (json, "done", number_json (sum->done));
  json_object_set_new (json, "cancelled", number_json (sum->cancelled));
  json_object_set_new (json, "over_budget", number_json (sum->over_budget));
  json_object_set_new (json, "late", number_json (sum->late));
  json_object_set_new (json, "refused", number_json (sum->refused));
  json_object_set_new (json, "may_have_run", number_json (sum->may_have_run));
  json_object_set_new (json, "program_ms_mean",
                       number_json (sum->done > 0 ? sum->program_ms / sum->done : 0));
  json_object_set_new (json, "prefix_tokens", number_json (sum->prefix_tokens));
  json_object_set_new (json, "cached_tokens", number_json (sum->cached_tokens));
  return json;
}

static void
attention_add (json_t *attention, const char *instance, const char *problem, const char *remedy)
{
  json_array_append_new (attention,
                         json_pack ("{s:s+,s:s}", "what", instance, problem, "remedy", remedy));
}

static void
attention_of_member (json_t *attention,
                     const struct FleetMember *member,
                     const struct PeerHeartbeat *heartbeat,
                     uint64_t revision)
{
  if (member->suspected)
    attention_add (attention, member->instance, " sends no heartbeats",
                   "check whether the instance is running");
  else if (!heartbeat->platform_up)
    attention_add (attention, member->instance, " cannot reach the platform's service",
                   "see OPERATIONS: outage of the platform");
  else if (heartbeat->config_revision < revision)
    attention_add (attention, member->instance, " has an older configuration",
                   "wait a few seconds; if this persists, check its log");
}

static void
attention_of_fleet (struct Core *core, json_t *attention, size_t n_members)
{
  const struct FleetLost *lost;
  size_t n = fleet_lost (core->fleet, &lost);

  for (size_t i = 0; i < n; i++)
    attention_add (attention, lost[i].instance, " left without a drain",
                   "replace it; its programs were taken over");
  if (n_members == 0)
    attention_add (attention, core->settings->instance,
                   " has not reached the platform's service since its start",
                   "see OPERATIONS: outage of the platform");
}

static json_t *
status_overview (struct Core *core)
{
  TALLOC_CTX *ctx = talloc_new (core);
  const struct FleetMember *members;
  size_t n = fleet_members (core->fleet, &members);
  uint64_t revision = config_log_revision (core->config);
  uint64_t oldest = revision;
  struct PeerOutcomes sum = { 0 };
  json_t *json = json_object ();
  json_t *instances = json_array ();
  json_t *attention = json_array ();

  for (size_t i = 0; i < n; i++)
    {
      struct PeerHeartbeat heartbeat;

      member_heartbeat (core, ctx, &members[i], &heartbeat);
      outcomes_add (&sum, &heartbeat.outcomes);
      json_array_append_new (instances, instance_json (&members[i], &heartbeat));
      attention_of_member (attention, &members[i], &heartbeat, revision);
      if (heartbeat.config_revision < oldest)
        oldest = heartbeat.config_revision;
    }
  attention_of_fleet (core, attention, n);
  json_object_set_new (json, "instances", instances);
  json_object_set_new (json, "outcomes", outcomes_json (&sum));
  json_object_set_new (json, "config_revision", number_json (revision));
  json_object_set_new (json, "oldest_revision", number_json (oldest));
  json_object_set_new (json, "attention", attention);
  talloc_free (ctx);
  return json;
}

static json_t *
status_instances (struct Core *core)
{
  json_t *overview = status_overview (core);
  json_t *json = json_object ();

  json_object_set (json, "instances", json_object_get (overview, "instances"));
  json_decref (overview);
  return json;
}

static json_t *
status_backends (struct Core *core)
{
  const struct FleetBackend *backends;
  size_t n = fleet_backends (core->fleet, &backends);
  json_t *list = json_array ();

  for (size_t i = 0; i < n; i++)
    {
      const struct FleetBackend *b = &backends[i];
      const char *owner = fleet_owner (core->fleet, b);
      json_t *json = json_pack (
          "{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}", "name", b->setting.name, "kind",
          b->setting.kind == CALL_TARGET_ENGINE ? "engine" : "service", "target", b->setting.target,
          "address", b->setting.address, "zone", b->setting.zone, "state",
          b->live ? "live" : "leaving", "owner", owner != NULL ? owner : "", "in_flight",
          (int)b->digest.in_flight, "waiting", (int)b->digest.waiting, "limit",
          (int)b->digest.limit, "service_ms_per_call", (int)b->digest.service_ms_per_call);

      json_array_append_new (list, json);
    }
  return json_pack ("{s:o}", "backends", list);
}

static json_t *
profile_json (const struct ConfigProfile *profile)
{
  return json_pack ("{s:s,s:s,s:I}", "name", profile->profile.name, "text", profile->text,
                    "revision", (json_int_t)profile->revision);
}

static json_t *
status_profiles (const struct ConfigState *state)
{
  json_t *list = json_array ();

  for (size_t i = 0; state != NULL && i < state->n_profiles; i++)
    json_array_append_new (list, profile_json (&state->profiles[i]));
  return json_pack ("{s:o}", "profiles", list);
}

static json_t *
status_profile (const struct ConfigState *state, const char *name)
{
  for (size_t i = 0; state != NULL && i < state->n_profiles; i++)
    if (strcmp (state->profiles[i].profile.name, name) == 0)
      return profile_json (&state->profiles[i]);
  return NULL;
}

static json_t *
status_services (const struct ConfigState *state)
{
  json_t *list = json_array ();

  for (size_t i = 0; state != NULL && i < state->n_services; i++)
    json_array_append_new (list, json_pack ("{s:s,s:s,s:I}", "name", state->services[i].name,
                                            "profile", state->services[i].profile, "revision",
                                            (json_int_t)state->services[i].revision));
  return json_pack ("{s:o}", "services", list);
}

struct AuditFilter
{
  json_t *list;
  const char *name;      /* "" for all */
  const char *change_id; /* NULL for all */
};

static const char *
change_kind_name (enum ConfigChangeKind kind)
{
  switch (kind)
    {
    case CONFIG_CHANGE_PROFILE:
      return "profile";
    case CONFIG_CHANGE_SERVICE:
      return "service";
    case CONFIG_CHANGE_DRAIN:
      return "drain";
    }
  return "";
}

static void
audit_add (void *data, const struct ConfigChange *change)
{
  struct AuditFilter *filter = data;
  json_t *json;

  if (filter->name[0] != '\0' && strcmp (filter->name, change->name) != 0)
    return;
  if (filter->change_id != NULL && strcmp (filter->change_id, change->change_id) != 0)
    return;
  json = json_pack ("{s:I,s:s,s:s,s:s,s:s,s:s,s:I,s:s,s:s}", "revision",
                    (json_int_t)change->revision, "kind", change_kind_name (change->kind), "name",
                    change->name, "change_id", change->change_id, "who", change->author, "reason",
                    change->reason, "when_unix_ms", (json_int_t)change->when_unix_ms, "before",
                    change->before != NULL ? change->before : "", "after",
                    change->text != NULL ? change->text : "");
  json_array_append_new (filter->list, json);
}

static json_t *
status_audit (struct Core *core, const char *name)
{
  struct AuditFilter filter = { json_array (), name, NULL };

  config_log_each (core->config, audit_add, &filter);
  return json_pack ("{s:o}", "changes", filter.list);
}

static json_t *
status_change (struct Core *core, const char *change_id)
{
  struct AuditFilter filter = { json_array (), "", change_id };
  json_t *change;

  config_log_each (core->config, audit_add, &filter);
  change = json_incref (json_array_get (filter.list, 0));
  json_decref (filter.list);
  return change;
}

json_t *
status_json (struct Core *core, const char *path, const char *filter)
{
  static const char profiles[] = "/operator/profiles/";
  static const char changes[] = "/operator/changes/";

  if (strcmp (path, "/operator/status") == 0)
    return status_overview (core);
  if (strcmp (path, "/operator/instances") == 0)
    return status_instances (core);
  if (strcmp (path, "/operator/backends") == 0)
    return status_backends (core);
  if (strcmp (path, "/operator/profiles") == 0)
    return status_profiles (core->state);
  if (strcmp (path, "/operator/services") == 0)
    return status_services (core->state);
  if (strcmp (path, "/operator/audit") == 0)
    return status_audit (core, filter);
  if (strncmp (path, profiles, strlen (profiles)) == 0)
    return status_profile (core->state, path + strlen (profiles));
  if (strncmp (path, changes, strlen (changes)) == 0)
    return status_change (core, path + strlen (changes));
  return NULL;
}
