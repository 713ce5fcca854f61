#include "test_main.h"

#include "gateways.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Sends the program's next turn, which continues its last one if there is one, and returns the
 * status. */
static uint32_t
turn_status (struct Fleet *fleet, TALLOC_CTX *ctx, uint32_t gateway, const char *turn)
{
  return turn_send_until_accepted (fleet, ctx, gateway, "p", turn, fleet->last_turn_id, "x")
      ->status;
}

/* Returns the n-th event of the last turn as it appears in the histories of later turns. The turn's
 * id is that of the accepted attempt; each rejected attempt had an id of its own. */
static const char *
event_of_last (const struct Fleet *fleet, TALLOC_CTX *ctx, int n)
{
  return talloc_asprintf (ctx, "%s-%d\n", fleet->last_turn_id, n);
}

/* Returns whether the engine received text in the body of the last turn. */
static bool
history_has (struct Fleet *fleet, TALLOC_CTX *ctx, const char *text)
{
  const char *body = installation_body_of (fleet->installation, ctx, fleet->last_turn_id);

  return body != NULL && strstr (body, text) != NULL;
}

/* All processes are killed right after a turn's response ended. After their restart the program
 * must be able to continue from that turn, and its charge must still count against the budget. */
static void
test_a_turn_survives_the_kill_of_all_processes (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 2, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct HttpReply *reply;
  const char *event;

  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t1"), 200);
  event = event_of_last (fleet, ctx, 4);
  for (uint32_t i = 0; i < 3; i++)
    process_kill (fleet->archives[i].process);
  for (uint32_t i = 0; i < 2; i++)
    process_kill (fleet->gateways[i].process);
  for (uint32_t i = 0; i < 3; i++)
    archive_start (fleet, i, false);
  for (uint32_t i = 0; i < 2; i++)
    gateway_start (fleet, i);
  CU_ASSERT_TRUE (gateway_wait_ready (fleet, 1));
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 1, "t2"), 200);
  CU_ASSERT_TRUE (history_has (fleet, ctx, event));
  /* t1 and t2 took 76 tokens each; a reservation of 200 more exceeds the budget of 300. */
  reply = turn_send (fleet, ctx, 1, "p", "t3", fleet->last_turn_id, 300, "x");
  CU_ASSERT_EQUAL (reply->status, 402);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* One archive after the other loses its disk right after it acknowledged a turn, and restarts
 * empty. It must copy the others' records before it counts towards a quorum, so that no turn is
 * lost. */
static void
test_disks_are_lost_one_after_the_other (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  const char *events[4];
  char turn[16];

  for (uint32_t i = 0; i < 4; i++)
    {
      struct ArchiveNode *a = &fleet->archives[i % 3];

      snprintf (turn, sizeof turn, "t%u", i);
      CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, turn), 200);
      events[i] = event_of_last (fleet, ctx, 1);
      process_kill (a->process);
      archive_delete_data (fleet, i % 3);
      archive_start (fleet, i % 3, false);
      CU_ASSERT_TRUE (process_wait_for_output (a->process, "archive_complete"));
    }
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "last"), 200);
  for (uint32_t i = 0; i < 4; i++)
    CU_ASSERT_TRUE (history_has (fleet, ctx, events[i]));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Two of three archives are down. The remaining one cannot tell whether a turn that it does not
 * have exists, because the others may have acknowledged it. The request must be rejected with 503
 * and not run, and never with a response that the previous turn does not exist. */
static void
test_too_few_archives_reject_a_turn (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t1"), 200);
  process_kill (fleet->archives[0].process);
  process_kill (fleet->archives[1].process);
  for (int i = 0; i < 5; i++)
    {
      char turn[16];

      snprintf (turn, sizeof turn, "x%d", i);
      CU_ASSERT_EQUAL (turn_send (fleet, ctx, 0, "p", turn, "never", 0, "x")->status, 503);
      CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, turn), 0);
    }
  /* Plain requests need no archive. */
  CU_ASSERT_EQUAL (tool_send (fleet, ctx, 0, "/safe/1", "r1")->status, 200);
  archive_start (fleet, 0, false);
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t2"), 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Once the loss of one archive has expired, the other one can be restored from it. */
static bool
loss_has_expired (void *data)
{
  const struct Fleet *fleet = data;

  return process_count_output (fleet->archives[0].process, "archive_loss_expired")
             + process_count_output (fleet->archives[1].process, "archive_loss_expired")
         > 0;
}

/* Kills the three archives and starts them with settings, the first two with empty disks. */
static void
restart_without_two_disks (struct Fleet *fleet, const char *settings)
{
  for (uint32_t i = 0; i < 3; i++)
    process_kill (fleet->archives[i].process);
  archive_delete_data (fleet, 0);
  archive_delete_data (fleet, 1);
  fleet->archive_settings = settings;
  for (uint32_t i = 0; i < 3; i++)
    archive_start (fleet, i, false);
}

/* Two of three disks are lost, so that neither archive can be restored and turns were rejected for
 * good. */
static void
test_service_returns_after_more_disks_are_lost_than_tolerated (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 2, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t1"), 200);
  restart_without_two_disks (fleet, "longest_retention = 12s\n");
  for (uint32_t i = 0; i < 2; i++)
    CU_ASSERT_TRUE (process_wait_for_output (fleet->archives[i].process, "archive_incomplete"));
  CU_ASSERT_EQUAL (turn_send (fleet, ctx, 0, "p", "x1", "", 0, "x")->status, 503);
  CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, "x1"), 0);
  CU_ASSERT_TRUE (wait_for (loss_has_expired, fleet));
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 1, "t2"), 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Two of three disks are lost while an archive leaves the set, and each remaining one waited for a
 * copy for that change. */
static void
test_service_returns_after_disks_are_lost_in_a_change (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 2, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t1"), 200);
  installation_put (fleet->installation, "op/retire/storage-of-a-large-zone-3",
                    "{\"duration_s\":10}");
  CU_ASSERT_TRUE (fleet_wait_for_output (fleet, "2 members, change starting"));
  restart_without_two_disks (fleet, "longest_retention = 5s\n");
  CU_ASSERT_TRUE (wait_for (loss_has_expired, fleet));
  fleet->last_turn_id[0] = '\0';
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 1, "t2"), 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* One archive has lost its disk and another is away, which may serve others meanwhile: its loss
 * must not expire, or turns that the other one holds would be answered as unknown. */
static void
test_a_loss_does_not_expire_while_another_archive_is_away (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t1"), 200);
  fleet->archive_settings = "longest_retention = 2s\n";
  for (uint32_t i = 0; i < 3; i++)
    process_kill (fleet->archives[i].process);
  archive_delete_data (fleet, 0);
  archive_start (fleet, 0, false);
  archive_start (fleet, 2, false);
  sleep_ms (8000);
  CU_ASSERT_EQUAL (process_count_output (fleet->archives[0].process, "archive_loss_expired"), 0);
  CU_ASSERT_EQUAL (turn_send (fleet, ctx, 0, "p", "x1", fleet->last_turn_id, 0, "x")->status, 503);
  archive_start (fleet, 1, false);
  CU_ASSERT_TRUE (process_wait_for_output (fleet->archives[0].process, "archive_complete"));
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t2"), 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* An archive fails permanently, and an empty one starts under another name and address. It must
 * replace the failed one, so that afterwards the loss of any other archive is tolerated. */
static void
test_a_new_archive_replaces_a_failed_one (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  const char *event;

  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t1"), 200);
  event = event_of_last (fleet, ctx, 1);
  process_kill (fleet->archives[0].process);
  archive_start (fleet, 3, false);
  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[0].process, "generation 6, 3 members"));
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t2"), 200);
  process_kill (fleet->archives[1].process);
  archive_delete_data (fleet, 1);
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t3"), 200);
  CU_ASSERT_TRUE (history_has (fleet, ctx, event));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* The archive that replaces a failed one fails permanently itself while it copies. Its change would
 * never end and no other could start, so the next archive must take over. */
static void
test_an_archive_fails_while_it_joins (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  const char *event;

  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t1"), 200);
  event = event_of_last (fleet, ctx, 1);
  process_kill (fleet->archives[0].process);
  archive_start (fleet, 3, false);
  CU_ASSERT_TRUE (process_wait_for_output (fleet->archives[3].process,
                                           "generation 4, 3 members, change starting"));
  process_kill (fleet->archives[3].process);
  archive_start (fleet, 4, false);
  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[0].process, "generation 7, 3 members"));
  process_kill (fleet->archives[1].process);
  archive_delete_data (fleet, 1);
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t2"), 200);
  CU_ASSERT_TRUE (history_has (fleet, ctx, event));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

struct KeyWatch
{
  struct Installation *installation;
  const char *key, *text;
};

static bool
key_has (void *data)
{
  const struct KeyWatch *watch = data;
  char *value = installation_get (watch->installation, NULL, watch->key);
  bool has = value != NULL && strstr (value, watch->text) != NULL;

  talloc_free (value);
  return has;
}

/* An instance is retired and there is no spare archive. The remaining ones must copy from each
 * other before the retirement is reported as completed; right afterwards its disk is removed and
 * another archive loses its own. */
static void
test_a_retired_archive_loses_no_turn (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  struct KeyWatch watch = { fleet->installation, "status/retire/storage-of-a-large-zone-3",
                            "completed" };
  uint32_t n_failed = CU_get_number_of_failures ();
  const char *event;

  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t1"), 200);
  event = event_of_last (fleet, ctx, 1);
  installation_put (fleet->installation, "op/retire/storage-of-a-large-zone-3",
                    "{\"duration_s\":10}");
  CU_ASSERT_TRUE (wait_for (key_has, &watch));
  process_kill (fleet->archives[2].process);
  archive_delete_data (fleet, 2);
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t2"), 200);
  process_kill (fleet->archives[0].process);
  archive_delete_data (fleet, 0);
  archive_start (fleet, 0, false);
  CU_ASSERT_TRUE (process_wait_for_output (fleet->archives[0].process, "archive_complete"));
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t3"), 200);
  CU_ASSERT_TRUE (history_has (fleet, ctx, event));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Retires the third archive and, once that is completed, removes its machine with the disk. */
static void
retire_third_archive (struct Fleet *fleet)
{
  struct KeyWatch watch = { fleet->installation, "status/retire/storage-of-a-large-zone-3",
                            "completed" };

  installation_put (fleet->installation, "op/retire/storage-of-a-large-zone-3",
                    "{\"duration_s\":10}");
  CU_ASSERT_TRUE (wait_for (key_has, &watch));
  process_kill (fleet->archives[2].process);
  archive_delete_data (fleet, 2);
}

/* One of two archives that a retirement has left is lost for good, and the change that replaces it
 * never ended. */
static void
test_an_archive_is_replaced_after_a_retirement (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  const char *event;

  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t1"), 200);
  event = event_of_last (fleet, ctx, 1);
  retire_third_archive (fleet);
  process_kill (fleet->archives[0].process);
  archive_delete_data (fleet, 0);
  archive_start (fleet, 3, false);
  CU_ASSERT_TRUE (process_wait_for_output (fleet->archives[3].process, "generation 9, 2 members"));
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t2"), 200);
  CU_ASSERT_TRUE (history_has (fleet, ctx, event));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* A second retirement left one archive, and all turns were lost with its disk. */
static void
test_a_second_retirement_waits_for_another_archive (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  struct KeyWatch watch = { fleet->installation, "status/retire/storage-of-a-large-zone-2",
                            "completed" };
  uint32_t n_failed = CU_get_number_of_failures ();
  const char *event;

  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t1"), 200);
  event = event_of_last (fleet, ctx, 1);
  retire_third_archive (fleet);
  installation_put (fleet->installation, "op/retire/storage-of-a-large-zone-2",
                    "{\"duration_s\":10}");
  CU_ASSERT_TRUE (process_wait_for_output (fleet->archives[1].process, "archive_retirement_waits"));
  CU_ASSERT_FALSE (key_has (&watch));
  process_kill (fleet->archives[0].process);
  archive_delete_data (fleet, 0);
  archive_start (fleet, 0, false);
  CU_ASSERT_TRUE (process_wait_for_output (fleet->archives[0].process, "archive_complete"));
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t2"), 200);
  CU_ASSERT_TRUE (history_has (fleet, ctx, event));
  archive_start (fleet, 3, false);
  CU_ASSERT_TRUE (wait_for (key_has, &watch));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* An archive is lost for good while the others copy for a retirement, which waited for it without
 * end; no other change could start. */
static void
test_an_archive_fails_during_a_retirement (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  struct KeyWatch watch = { fleet->installation, "status/retire/storage-of-a-large-zone-3",
                            "completed" };
  uint32_t n_failed = CU_get_number_of_failures ();
  const char *event;

  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t1"), 200);
  event = event_of_last (fleet, ctx, 1);
  installation_put (fleet->installation, "op/retire/storage-of-a-large-zone-3",
                    "{\"duration_s\":10}");
  CU_ASSERT_TRUE (fleet_wait_for_output (fleet, "generation 4, 2 members, change starting"));
  process_kill (fleet->archives[0].process);
  archive_delete_data (fleet, 0);
  CU_ASSERT_TRUE (fleet_wait_for_output (fleet, "generation 5, 3 members"));
  archive_start (fleet, 3, false);
  CU_ASSERT_TRUE (wait_for (key_has, &watch));
  process_kill (fleet->archives[2].process);
  archive_delete_data (fleet, 2);
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t2"), 200);
  CU_ASSERT_TRUE (history_has (fleet, ctx, event));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* A gateway restarts while the platform's store is down. It must receive the configuration, the
 * servers and the archives from its peers, and serve. */
static void
test_a_gateway_starts_while_the_store_is_down (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 2, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t1"), 200);
  installation_set_store (fleet->installation, STORE_UNAVAILABLE);
  process_kill (fleet->gateways[0].process);
  gateway_start (fleet, 0);
  CU_ASSERT_TRUE (gateway_wait_ready (fleet, 0));
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t2"), 200);
  CU_ASSERT_EQUAL (tool_send (fleet, ctx, 0, "/safe/1", "r1")->status, 200);
  installation_set_store (fleet->installation, STORE_RESPONDS);
  installation_configure (fleet->installation, 3, "");
  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[0].process, "version 3,"));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* An archive is suspended for some seconds, and the gateway closes the silent link and dials again.
 * Once the archive has resumed, the new link must stay open: when its silence was measured from the
 * last message on the previous link, it was closed again at every heartbeat, and the archive was
 * never reached. */
static void
test_a_suspended_archive_is_reached_again (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  struct Process *gateway = fleet->gateways[0].process;
  uint32_t n_failed = CU_get_number_of_failures (), n_silent;

  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t1"), 200);
  process_signal (fleet->archives[0].process, SIGSTOP);
  CU_ASSERT_TRUE (process_wait_for_output (gateway, "peer_link_silent"));
  sleep_ms (2500);
  process_signal (fleet->archives[0].process, SIGCONT);
  sleep_ms (2500);
  n_silent = process_count_output (gateway, "peer_link_silent");
  sleep_ms (3000);
  CU_ASSERT_EQUAL (process_count_output (gateway, "peer_link_silent"), n_silent);
  process_kill (fleet->archives[1].process);
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t2"), 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* All processes are killed while the platform's store is down, so that none has the configuration
 * and the list of servers in memory. The archives must load them from their disks and dial the
 * gateways listed there. */
static void
test_everything_starts_while_the_store_is_down (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 2, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  const char *event;

  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t1"), 200);
  event = event_of_last (fleet, ctx, 4);
  sleep_ms (5000); /* more than two periods in which the archives save the state */
  installation_set_store (fleet->installation, STORE_UNAVAILABLE);
  for (uint32_t i = 0; i < 3; i++)
    process_kill (fleet->archives[i].process);
  for (uint32_t i = 0; i < 2; i++)
    process_kill (fleet->gateways[i].process);
  for (uint32_t i = 0; i < 3; i++)
    archive_start (fleet, i, false);
  for (uint32_t i = 0; i < 2; i++)
    gateway_start (fleet, i);
  CU_ASSERT_TRUE (gateway_wait_ready (fleet, 0));
  CU_ASSERT_EQUAL (turn_status (fleet, ctx, 0, "t2"), 200);
  CU_ASSERT_TRUE (history_has (fleet, ctx, event));
  CU_ASSERT_EQUAL (tool_send (fleet, ctx, 0, "/safe/1", "r1")->status, 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

struct ExpectedAddresses
{
  struct Fleet *fleet;
  uint32_t gateway;
  size_t n;
};

static bool
directory_is_complete (void *data)
{
  const struct ExpectedAddresses *expected = data;
  const struct GatewayNode *g = &expected->fleet->gateways[expected->gateway];
  struct HttpReply *reply = http_get (NULL, g->directory, "/-/resolve?name=x&region=r&zone=a");
  size_t n = json_array_size (json_object_get (reply->json, "addresses"));

  talloc_free (reply);
  return n >= expected->n;
}

/* All instances lose power while the platform's store is unavailable, and it stays so. The archives
 * have saved the list of processes and dial them; a gateway that starts has only those that dialled
 * it. Unless it receives the other gateways from its peers, it directs all its callers to the few
 * that it has, which then carry the whole load. */
static void
test_gateways_find_each_other_while_the_store_is_down (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 3, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  for (uint32_t i = 0; i < 3; i++)
    {
      struct ExpectedAddresses expected = { fleet, i, 3 };

      CU_ASSERT_TRUE (wait_for (directory_is_complete, &expected));
    }
  /* Until the archives have saved the list of processes. */
  sleep_ms (4500);
  installation_set_store (fleet->installation, STORE_UNAVAILABLE);
  for (uint32_t i = 0; i < 3; i++)
    {
      process_kill (fleet->gateways[i].process);
      process_kill (fleet->archives[i].process);
    }
  for (uint32_t i = 0; i < 3; i++)
    {
      gateway_start (fleet, i);
      archive_start (fleet, i, false);
    }
  for (uint32_t i = 0; i < 3; i++)
    {
      struct ExpectedAddresses expected = { fleet, i, 3 };

      CU_ASSERT_TRUE (wait_for (directory_is_complete, &expected));
    }
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* A gateway restarts, and its peers reach it before it has read the store. It must not treat links
 * that it has just dialled as silent: otherwise it closes all of them at the first heartbeat and
 * rejects the callers of the first second. */
static void
test_a_restarted_gateway_keeps_its_links (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 2, 3);
  uint32_t n_failed = CU_get_number_of_failures (), before;

  before = process_count_output (fleet->gateways[0].process, "peer_link_silent");
  process_kill (fleet->gateways[0].process);
  installation_set_store (fleet->installation, STORE_UNAVAILABLE);
  sleep_ms (1000);
  gateway_start (fleet, 0);
  CU_ASSERT_TRUE (gateway_wait_ready (fleet, 0));
  sleep_ms (1500);
  CU_ASSERT_EQUAL (process_count_output (fleet->gateways[0].process, "peer_link_silent"), before);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

struct BudgetTurn
{
  struct Fleet *fleet;
  const char *turn;
  uint32_t status;
};

static void *
budget_turn (void *data)
{
  struct BudgetTurn *turn = data;
  struct HttpReply *reply = turn_send (turn->fleet, NULL, 0, "p", turn->turn, "", 300, "x");

  turn->status = reply->status;
  talloc_free (reply);
  return NULL;
}

static bool
first_turn_runs (void *data)
{
  return installation_runs_of (data, "t1") > 0;
}

static bool
budget_allows_a_turn (void *data)
{
  struct BudgetTurn *turn = data;
  static char ids[16][8];
  static uint32_t n;

  snprintf (ids[n % 16], sizeof ids[0], "b%u", n);
  turn->turn = ids[n++ % 16];
  budget_turn (turn);
  sleep_ms (100);
  return turn->status == 200;
}

/* A turn reserves 200 tokens of a budget of 300 and uses none: its engine hangs until the turn's
 * deadline has passed. At that moment all archives are down and none receives the settlement.
 * Unless it is sent again once they are back, the program's next turns are rejected because the
 * budget appears to be spent. */
static void
test_a_lost_settlement_is_sent_again (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct BudgetTurn first = { .fleet = fleet, .turn = "t1" };
  struct BudgetTurn later = { .fleet = fleet };
  pthread_t thread;

  server_set_mode (fleet->installation, FIRST_ENGINE, SERVER_HANGS);
  server_set_mode (fleet->installation, FIRST_ENGINE + 1, SERVER_HANGS);
  pthread_create (&thread, NULL, budget_turn, &first);
  CU_ASSERT_TRUE (wait_for (first_turn_runs, fleet->installation));
  for (uint32_t i = 0; i < 3; i++)
    process_kill (fleet->archives[i].process);
  pthread_join (thread, NULL);
  CU_ASSERT_EQUAL (first.status, 504);
  server_set_mode (fleet->installation, FIRST_ENGINE, SERVER_RESPONDS);
  server_set_mode (fleet->installation, FIRST_ENGINE + 1, SERVER_RESPONDS);
  for (uint32_t i = 0; i < 3; i++)
    archive_start (fleet, i, false);
  CU_ASSERT_TRUE (wait_for (budget_allows_a_turn, &later));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Calls to the platform's store are expensive: when idle, all processes together must make no more
 * than two or three per second, regardless of their number. */
static void
test_one_process_reads_the_store_for_all (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 3, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  uint64_t before;

  sleep_ms (2000);
  before = installation_store_calls (fleet->installation);
  sleep_ms (4000);
  /* One process makes watch calls of 0.8 s; the same number again is allowed for processes that
   * take over from it. */
  CU_ASSERT (installation_store_calls (fleet->installation) - before <= 10);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "sessions: gateway and archives";
const struct TestCase test_cases[] = {
  { "a turn survives the kill of all processes", test_a_turn_survives_the_kill_of_all_processes },
  { "disks are lost one after the other", test_disks_are_lost_one_after_the_other },
  { "too few archives reject a turn", test_too_few_archives_reject_a_turn },
  { "service returns after more disks are lost than tolerated",
    test_service_returns_after_more_disks_are_lost_than_tolerated },
  { "service returns after disks are lost in a change",
    test_service_returns_after_disks_are_lost_in_a_change },
  { "a loss does not expire while another archive is away",
    test_a_loss_does_not_expire_while_another_archive_is_away },
  { "a new archive replaces a failed one", test_a_new_archive_replaces_a_failed_one },
  { "an archive fails while it joins", test_an_archive_fails_while_it_joins },
  { "a retired archive loses no turn", test_a_retired_archive_loses_no_turn },
  { "a gateway starts while the store is down", test_a_gateway_starts_while_the_store_is_down },
  { "a suspended archive is reached again", test_a_suspended_archive_is_reached_again },
  { "everything starts while the store is down", test_everything_starts_while_the_store_is_down },
  { "gateways find each other while the store is down",
    test_gateways_find_each_other_while_the_store_is_down },
  { "a restarted gateway keeps its links", test_a_restarted_gateway_keeps_its_links },
  { "a lost settlement is sent again", test_a_lost_settlement_is_sent_again },
  { "one process reads the store for all", test_one_process_reads_the_store_for_all },
  { "an archive is replaced after a retirement", test_an_archive_is_replaced_after_a_retirement },
  { "a second retirement waits for another archive",
    test_a_second_retirement_waits_for_another_archive },
  { "an archive fails during a retirement", test_an_archive_fails_during_a_retirement },
  { NULL, NULL },
};
