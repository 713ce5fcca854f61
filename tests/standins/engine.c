#include "engine_completion.h"
#include "standin.h"

#include <getopt.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

struct Engine
{
  struct EngineOptions options;
  struct EngineModel *model;
  pthread_mutex_t lock; /* guards fencing and orders */
  int64_t fencing;
  json_t *orders;
};

static enum MHD_Result
engine_reply_error (struct StandinRequest *request, uint32_t status, const char *message)
{
  return standin_reply_json (request, status, json_pack ("{s:{s:s}}", "error", "message", message));
}

static enum MHD_Result
engine_release (struct Engine *engine, struct StandinRequest *request)
{
  json_t *body = json_loads (request->body, 0, NULL);
  const char *program = json_string_value (json_object_get (body, "program"));
  struct EngineFaults *faults = engine_model_lock_faults (engine->model);
  bool ignore = faults->ignore_release;
  bool lose = faults->lose_release > 0;
  enum MHD_Result result;

  faults->lose_release -= lose;
  engine_model_unlock_faults (engine->model);
  if (lose)
    result = MHD_NO;
  else if (program == NULL)
    result = engine_reply_error (request, MHD_HTTP_BAD_REQUEST, "no program in the body");
  else if (ignore)
    result = engine_reply_error (request, MHD_HTTP_SERVICE_UNAVAILABLE, "release ignored");
  else
    result =
        standin_reply_json (request, MHD_HTTP_OK,
                            json_pack ("{s:b, s:I}", "released", 1, "tokens",
                                       (json_int_t)engine_model_release (engine->model, program)));
  json_decref (body);
  return result;
}

static enum MHD_Result
engine_reply_load (struct Engine *engine, struct StandinRequest *request)
{
  struct EngineLoad load = engine_model_load (engine->model);

  return standin_reply_json (
      request, MHD_HTTP_OK,
      json_pack ("{s:i, s:i, s:I, s:I, s:I, s:s}", "running", (int)load.running, "waiting",
                 (int)load.waiting, "cache_used_tokens", (json_int_t)load.used_tokens,
                 "cache_capacity_tokens", (json_int_t)engine->options.cache_tokens, "last_event",
                 (json_int_t)load.last_event, "engine_incarnation", engine->options.incarnation));
}

static enum MHD_Result
engine_reply_events (struct Engine *engine, struct StandinRequest *request)
{
  uint64_t after = strtoull (standin_argument (request, "after"), NULL, 10);

  return standin_reply_json (request, MHD_HTTP_OK,
                             json_pack ("{s:s, s:o}", "engine_incarnation",
                                        engine->options.incarnation, "events",
                                        engine_model_events (engine->model, after)));
}

static enum MHD_Result
engine_reply_held (struct Engine *engine, struct StandinRequest *request)
{
  const char *program = standin_argument (request, "program");
  uint64_t tokens = engine_model_held_tokens (engine->model, program);

  return standin_reply_json (
      request, MHD_HTTP_OK,
      json_pack ("{s:b, s:I}", "held", tokens > 0, "tokens", (json_int_t)tokens));
}

static enum MHD_Result
engine_accept_order (struct Engine *engine, struct StandinRequest *request)
{
  json_t *order = json_loads (request->body, 0, NULL);
  json_int_t fencing = json_integer_value (json_object_get (order, "fencing"));
  enum MHD_Result result;

  pthread_mutex_lock (&engine->lock);
  if (engine->options.fencing && fencing < engine->fencing)
    {
      json_decref (order);
      result = standin_reply_json (request, MHD_HTTP_CONFLICT,
                                   json_pack ("{s:{s:s}, s:I}", "error", "message",
                                              "stale fencing number", "fencing", engine->fencing));
      goto out;
    }
  if (fencing > engine->fencing)
    engine->fencing = fencing;
  json_array_append_new (engine->orders, order != NULL ? order : json_object ());
  result = standin_reply_json (request, MHD_HTTP_OK, json_pack ("{s:b}", "taken", 1));

out:
  pthread_mutex_unlock (&engine->lock);
  return result;
}

static enum MHD_Result
engine_reply_orders (struct Engine *engine, struct StandinRequest *request)
{
  json_t *orders;

  pthread_mutex_lock (&engine->lock);
  orders = json_deep_copy (engine->orders);
  pthread_mutex_unlock (&engine->lock);
  return standin_reply_json (request, MHD_HTTP_OK, json_pack ("{s:o}", "orders", orders));
}

static void
engine_set_fault (struct EngineFaults *faults, const char *name, const json_t *value)
{
  uint32_t n = (uint32_t)json_integer_value (value);

  if (strcmp (name, "crash_on") == 0)
    snprintf (faults->crash_on, sizeof faults->crash_on, "%s",
              json_is_string (value) ? json_string_value (value) : "");
  else if (strcmp (name, "close_after_run") == 0)
    faults->close_after_run = n;
  else if (strcmp (name, "close_mid_stream") == 0)
    faults->close_mid_stream = n;
  else if (strcmp (name, "lose_release") == 0)
    faults->lose_release = n;
  else if (strcmp (name, "ignore_release") == 0)
    faults->ignore_release = json_is_true (value);
  else if (strcmp (name, "hang") == 0)
    faults->hang = json_is_true (value);
  else if (strcmp (name, "answer_tokens") == 0)
    faults->answer_tokens = n;
  else if (strcmp (name, "vary") == 0)
    faults->vary = json_is_true (value);
  else if (strcmp (name, "slow_factor") == 0 && json_number_value (value) > 0)
    faults->slow_factor = json_number_value (value);
}

static enum MHD_Result
engine_control (struct Engine *engine, struct StandinRequest *request)
{
  json_t *settings = json_loads (request->body, 0, NULL);
  struct EngineFaults *faults = engine_model_lock_faults (engine->model);
  const char *name;
  json_t *value;

  json_object_foreach (settings, name, value) { engine_set_fault (faults, name, value); }
  engine_model_unlock_faults (engine->model);
  json_decref (settings);
  return standin_reply_json (request, MHD_HTTP_OK, json_pack ("{s:b}", "set", 1));
}

static enum MHD_Result
engine_handle (void *data, struct StandinRequest *request)
{
  struct Engine *engine = data;

  if (standin_is (request, "POST", "/v1/chat/completions"))
    return engine_complete (engine->model, engine->options.model, request);
  if (standin_is (request, "POST", "/release"))
    return engine_release (engine, request);
  if (standin_is (request, "GET", "/load"))
    return engine_reply_load (engine, request);
  if (standin_is (request, "GET", "/events"))
    return engine_reply_events (engine, request);
  if (standin_is (request, "GET", "/held"))
    return engine_reply_held (engine, request);
  if (standin_is (request, "POST", "/orders"))
    return engine_accept_order (engine, request);
  if (standin_is (request, "GET", "/orders"))
    return engine_reply_orders (engine, request);
  if (standin_is (request, "GET", "/log"))
    return standin_reply_json (request, MHD_HTTP_OK,
                               json_pack ("{s:o}", "calls", engine_model_log (engine->model)));
  if (standin_is (request, "POST", "/control"))
    return engine_control (engine, request);
  return engine_reply_error (request, MHD_HTTP_NOT_FOUND, "no such path");
}

static bool
engine_parse_options (int argc, char **argv, struct EngineOptions *options, const char **listen)
{
  static const struct option names[] = {
    { "listen", required_argument, NULL, 'l' },
    { "name", required_argument, NULL, 'n' },
    { "model", required_argument, NULL, 'm' },
    { "tokens-per-second", required_argument, NULL, 't' },
    { "prefill-tokens-per-second", required_argument, NULL, 'p' },
    { "max-batch", required_argument, NULL, 'b' },
    { "cache-tokens", required_argument, NULL, 'c' },
    { "report-lag-ms", required_argument, NULL, 'r' },
    { "fencing", required_argument, NULL, 'f' },
    { "incarnation", required_argument, NULL, 'i' },
    { NULL, 0, NULL, 0 },
  };
  int option;

  while ((option = getopt_long (argc, argv, "", names, NULL)) != -1)
    switch (option)
      {
      case 'l':
        *listen = optarg;
        break;
      case 'n':
        options->name = optarg;
        break;
      case 'm':
        options->model = optarg;
        break;
      case 't':
        options->tokens_per_second = strtod (optarg, NULL);
        break;
      case 'p':
        options->prefill_tokens_per_second = strtod (optarg, NULL);
        break;
      case 'b':
        options->max_batch = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'c':
        options->cache_tokens = strtoull (optarg, NULL, 10);
        break;
      case 'r':
        options->report_lag_ms = strtoll (optarg, NULL, 10);
        break;
      case 'f':
        options->fencing = strcmp (optarg, "ignore") != 0;
        break;
      case 'i':
        options->incarnation = optarg;
        break;
      default:
        return false;
      }
  return *listen != NULL && options->tokens_per_second > 0 && options->prefill_tokens_per_second > 0
         && options->max_batch > 0;
}

int
standin_engine_run (int argc, char **argv)
{
  struct EngineOptions options = { .name = "engine",
                                   .model = "model",
                                   .tokens_per_second = 50,
                                   .prefill_tokens_per_second = 8000,
                                   .max_batch = 16,
                                   .cache_tokens = 200000,
                                   .fencing = true };
  struct Engine engine = { .lock = PTHREAD_MUTEX_INITIALIZER };
  struct StandinService service = { .handle = engine_handle, .data = &engine };
  const char *listen = NULL;
  char incarnation[32];

  snprintf (incarnation, sizeof incarnation, "%" PRIx64, (uint64_t)time (NULL));
  options.incarnation = incarnation;
  if (!engine_parse_options (argc, argv, &options, &listen))
    {
      fprintf (
          stderr,
          "engine: invalid options; --listen is required, rates and batch size must be positive\n");
      return 2;
    }
  engine.options = options;
  engine.orders = json_array ();
  engine.model = engine_model_new (NULL, &options);
  standin_block_signals ();
  if (!engine_model_start (engine.model))
    return 1;
  return standin_serve (listen, &service);
}
