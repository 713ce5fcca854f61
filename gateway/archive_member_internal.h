/* Shared by the files of an archive's membership: archive_member.c changes the set,
 * archive_member_copy.c decides what is copied and when, and archive_retire.c handles retirements.
 */
#pragma once

#include "archive_member.h"

enum
{
  RETIRE_MAX = 16
};

/* What the records of other archives are copied for. */
enum CopyPurpose
{
  COPY_FOR_NOTHING,
  COPY_AHEAD,   /* of a change in which this archive is likely to join */
  COPY_RESTORE, /* a lost disk */
  COPY_CHANGE   /* of the set, which must be complete before the next stage */
};

struct ArchiveMember
{
  struct Node *node;
  struct Archive *archive;
  struct DiskLog *log;
  int64_t bootstrap_since_ms; /* when bootstrap_generation was received */
  uint64_t bootstrap_generation;
  bool bootstrapping; /* first start of the whole system, and this archive has not joined yet */
  struct ArchiveCopy *copy;
  enum CopyPurpose copy_purpose;
  uint64_t copy_generation; /* of the set, when the copy was begun or continued for its purpose */
  bool caught_up;           /* logged that the copy ahead has all records */
  uint64_t synced_generation;
  int64_t stuck_since_ms;       /* since when no turn can be served for lack of disks; 0: not so */
  int64_t incomplete_logged_ms; /* when the last such line was logged */
  char retiring[RETIRE_MAX][NAME_MAX_BYTES + 1];
  size_t n_retiring;
  struct ArchiveStep step;   /* being written to the store; points to joining and leaving */
  struct ArchiveSet new_set; /* written to the store for that step */
  char joining[NAME_MAX_BYTES + 1], leaving[NAME_MAX_BYTES + 1];
  bool write_pending;
  int64_t retry_ms;
  struct ArchiveNames tracked;              /* archives that the set's requests go to */
  int64_t silent_since_ms[ARCHIVE_SET_MAX]; /* of each of them; 0: live */
  int64_t vacant_since_ms; /* since when this archive could replace a member; 0: none */
  uint64_t ending_generation;
  int64_t ending_since_ms; /* when ending_generation was received */
  bool reported_running, reported_completed, report_pending;
  bool waiting_logged; /* that the retirement of this archive waits for another one */
};

const char *
member_name (const struct ArchiveMember *member);

int64_t
member_now_ms (const struct ArchiveMember *member);

bool
member_peer_is_live (const struct ArchiveMember *member, const char *name);

/* Returns for how long an archive of the set has been silent; 0 if it is live. */
int64_t
member_silence_ms (const struct ArchiveMember *member, const char *name);

/* Returns how many archives outside the set should join before this one, in place of leaving. */
size_t
member_count_before (const struct ArchiveMember *member, const char *leaving, bool must_live);

/* Returns whether this archive may replace a member that has been silent for silence_ms, or one
 * that is retired, or be added to a set that is too small. */
bool
member_may_join (const struct ArchiveMember *member, int64_t silence_ms, const char **leaving);

/* Begins, continues or ends the copy. A copy goes on where it is when its purpose changes, so that
 * little is left to copy once a change of the set has begun. */
void
member_update_copy (struct ArchiveMember *member);

/* Ends the wait of archives that lost their disks, and of which each would wait for the others to
 * be complete. */
void
member_check_stuck (struct ArchiveMember *member);

/* Returns whether the operators retire that archive. */
bool
member_is_retiring (const struct ArchiveMember *member, const char *name);

/* Reports the state of this archive's retirement to the operators. */
void
member_report (struct ArchiveMember *member);
