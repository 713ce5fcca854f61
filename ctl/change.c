#include "change.h"

#include <buckthornhead/error.h>

#include <inttypes.h>
#include <sys/random.h>
#include <time.h>

enum
{
  UUID_BYTES = 16,
  SETTLE_RETRY_INTERVAL_MS = 500,
  MS_PER_SECOND = 1000,
  NS_PER_MS = 1000000
};

int32_t
change_id_new (char change_id[NAME_MAX_BYTES + 1])
{
  uint8_t b[UUID_BYTES];

  if (getrandom (b, sizeof b, 0) != (ssize_t)sizeof b)
    return ERROR_IO;
  b[6] = (uint8_t)((b[6] & 0x0f) | 0x40);
  b[8] = (uint8_t)((b[8] & 0x3f) | 0x80);
  snprintf (change_id, NAME_MAX_BYTES + 1,
            "%02x%02x%02x%02x-%02x%02x-%02x%02x-%02x%02x-%02x%02x%02x%02x%02x%02x", b[0], b[1],
            b[2], b[3], b[4], b[5], b[6], b[7], b[8], b[9], b[10], b[11], b[12], b[13], b[14],
            b[15]);
  return ERROR_NONE;
}

static int64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * MS_PER_SECOND + now.tv_nsec / NS_PER_MS;
}

static json_t *
change_to_json (const struct ChangeRequest *change)
{
  json_t *body = json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s}", "kind", change->kind, "name",
                            change->name, "text", change->text, "change_id", change->change_id,
                            "who", change->who, "reason", change->reason);

  if (body != NULL && change->has_expected_revision)
    json_object_set_new (body, "expected_revision",
                         json_integer ((json_int_t)change->expected_revision));
  return body;
}

/* Determines the result of a change whose response was lost. The change may be in force, so both
 * reporting a failure and sending a new change would be wrong. The result is queried by the change
 * id: an instance that has the change returns its revision. If the instance does not have it, the
 * same change is sent again, which is safe because the log applies an id only once. Only 200 and a
 * conflict are final: any other response to a retry leaves the result of the first attempt
 * unknown. */
static struct OperatorResponse *
settle_lost_change (TALLOC_CTX *ctx,
                    const struct OperatorClient *client,
                    const struct ChangeRequest *change,
                    const json_t *body,
                    struct OperatorResponse *lost_response)
{
  const char *path =
      talloc_asprintf (ctx, "/operator/changes/%s", ctl_escape (ctx, change->change_id));
  int64_t deadline_ms = now_ms () + (int64_t)change->settle_ms;
  const struct timespec interval = { 0, (long)SETTLE_RETRY_INTERVAL_MS * NS_PER_MS };

  for (;;)
    {
      struct OperatorResponse *response = operator_get (ctx, client, path);

      if (response != NULL && response->error == ERROR_NOT_FOUND)
        response = operator_post (ctx, client, "/operator/changes", body);
      if (response != NULL && (response->error == ERROR_NONE || response->error == ERROR_CONFLICT))
        return response;
      if (now_ms () >= deadline_ms)
        return lost_response;
      nanosleep (&interval, NULL);
    }
}

static int
print_applied_change (const struct OperatorResponse *response,
                      const struct ChangeRequest *change,
                      bool json,
                      const struct CommandIo *io)
{
  json_int_t revision = json_integer_value (json_object_get (response->body, "revision"));

  if (json)
    fprintf (io->out, "{\"revision\":%" JSON_INTEGER_FORMAT ",\"change_id\":\"%s\"}\n", revision,
             change->change_id);
  else
    fprintf (io->out, "%s %s: revision %" JSON_INTEGER_FORMAT "\n", change->kind, change->name,
             revision);
  return EXIT_CODE_OK;
}

int
change_send (const struct OperatorClient *client,
             const struct ChangeRequest *change,
             bool json,
             const struct CommandIo *io)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  json_t *body = change_to_json (change);
  struct OperatorResponse *response = NULL;
  int exit_code;

  fprintf (io->err, "change id %s\n", change->change_id);
  fflush (io->err);
  if (body != NULL)
    response = operator_post (ctx, client, "/operator/changes", body);
  if (response != NULL && response->error == ERROR_UNKNOWN_EFFECT)
    response = settle_lost_change (ctx, client, change, body, response);
  if (response != NULL && response->error == ERROR_NONE)
    exit_code = print_applied_change (response, change, json, io);
  else
    exit_code = ctl_print_response (response, json, NULL, io);
  if (exit_code == EXIT_CODE_EFFECT_UNKNOWN)
    fprintf (io->err, "query the result with: buckthornhead ctl change %s\n", change->change_id);
  json_decref (body);
  talloc_free (ctx);
  return exit_code;
}
