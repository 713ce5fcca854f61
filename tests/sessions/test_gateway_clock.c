#include "test_main.h"

#include "gateways.h"

#include "../adapters/disk_frame.h"

#include <dirent.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  EXPIRY_WAIT_S = 9, /* several of the archives' expiry periods */
  DAY_MS = 24 * 3600 * 1000
};

/* Adds shift_ms to the stamp of a stored record: an array of a small integer, unless it is saved
 * state, and the stamp, as an integer of 8 bytes. */
static void
record_shift (void *data, const struct DiskPlace *place, const uint8_t *record, size_t n_bytes)
{
  int64_t shift_ms = *(const int64_t *)data;
  uint8_t *bytes = (uint8_t *)record;
  size_t at = bytes[0] == 0xdc ? 3 : 1;
  uint64_t unix_ms = 0;

  (void)place;
  if (bytes[at] < 0x80)
    at++;
  CU_ASSERT_FATAL (bytes[at] == 0xcf || bytes[at] == 0xd3);
  for (size_t i = 1; i <= 8; i++)
    unix_ms = unix_ms << 8 | bytes[at + i];
  unix_ms += (uint64_t)shift_ms;
  for (size_t i = 8; i >= 1; i--, unix_ms >>= 8)
    bytes[at + i] = (uint8_t)unix_ms;
  disk_frame_write_header (bytes - FRAME_HEADER_BYTES, record, n_bytes);
}

static void
file_shift (const char *path, int64_t shift_ms)
{
  size_t n_bytes;
  uint8_t *bytes = disk_file_read (NULL, path, &n_bytes);
  FILE *file = fopen (path, "r+");

  CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
  CU_ASSERT_PTR_NOT_NULL_FATAL (file);
  disk_frames_foreach (bytes, n_bytes, 0, record_shift, &shift_ms);
  CU_ASSERT_EQUAL (fwrite (bytes, 1, n_bytes, file), n_bytes);
  fclose (file);
  talloc_free (bytes);
}

/* Moves all times in an archive's folder by -ahead_ms, which is the same as a wall clock that is
 * ahead by it at the next start. */
static void
folder_set_clock_ahead (const char *folder, int64_t ahead_ms)
{
  DIR *dir = opendir (folder);
  const struct dirent *entry;
  char path[600];

  CU_ASSERT_PTR_NOT_NULL_FATAL (dir);
  if (dir == NULL)
    return;
  while ((entry = readdir (dir)) != NULL)
    {
      snprintf (path, sizeof path, "%s/%s", folder, entry->d_name);
      if (strncmp (entry->d_name, "log-", 4) == 0 || strncmp (entry->d_name, "kept-", 5) == 0)
        file_shift (path, -ahead_ms);
    }
  closedir (dir);
}

static void
fleet_kill_all (struct Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->n_archives; i++)
    process_kill (fleet->archives[i].process);
  for (uint32_t i = 0; i < fleet->n_gateways; i++)
    process_kill (fleet->gateways[i].process);
}

static void
fleet_start_again (struct Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->n_archives; i++)
    archive_start (fleet, i, false);
  for (uint32_t i = 0; i < fleet->n_gateways; i++)
    gateway_start (fleet, i);
  CU_ASSERT_TRUE (gateway_wait_ready (fleet, 0));
}

/* All processes are killed after a turn's response ended, and return with another clock. The turn
 * must still be continued, and its charge must still count. */
static void
check_return (int64_t ahead_ms, bool is_previous_version)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct HttpReply *reply;

  reply = turn_send_until_accepted (fleet, ctx, 0, "p", "t1", fleet->last_turn_id, "x");
  CU_ASSERT_EQUAL (reply->status, 200);
  fleet_kill_all (fleet);
  for (uint32_t i = 0; i < fleet->n_archives; i++)
    {
      folder_set_clock_ahead (fleet->archives[i].folder, ahead_ms);
      if (is_previous_version)
        unlink (talloc_asprintf (ctx, "%s/kept-clock", fleet->archives[i].folder));
    }
  fleet_start_again (fleet);
  sleep (EXPIRY_WAIT_S);
  for (uint32_t i = 0; i < fleet->n_archives; i++)
    CU_ASSERT_EQUAL (
        access (talloc_asprintf (ctx, "%s/kept-clock", fleet->archives[i].folder), R_OK), 0);
  reply = turn_send_until_accepted (fleet, ctx, 0, "p", "t2", fleet->last_turn_id, "x");
  CU_ASSERT_EQUAL (reply->status, 200);
  /* t1 and t2 took 76 tokens each; a reservation of 200 more exceeds the budget of 300. */
  reply = turn_send (fleet, ctx, 0, "p", "t3", fleet->last_turn_id, 300, "x");
  CU_ASSERT_EQUAL (reply->status, 402);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

static void
test_archives_return_with_a_clock_ahead (void)
{
  check_return (100 * 1000, false);
  check_return (DAY_MS, false);
}

static void
test_archives_return_with_a_clock_behind (void)
{
  check_return (-DAY_MS, false);
}

/* The log of a version that saved no clock. */
static void
test_archives_are_upgraded_with_a_clock_ahead (void)
{
  check_return (DAY_MS, true);
}

const char test_suite_name[] = "gateway_clock";
const struct TestCase test_cases[] = {
  { "archives return with a clock that is ahead", test_archives_return_with_a_clock_ahead },
  { "archives return with a clock that is behind", test_archives_return_with_a_clock_behind },
  { "archives are upgraded with a clock that is ahead",
    test_archives_are_upgraded_with_a_clock_ahead },
  { NULL, NULL },
};
