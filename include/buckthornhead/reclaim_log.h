/* Counts clients that are given up for lack of memory, and logs them, at most once in 10 s. */
#pragma once

#include <stdint.h>

/* An all-zero log has no line yet. */
struct ReclaimLog
{
  int64_t logged_ms;
  uint32_t n_given_up; /* since the last line */
};

/* Records a client that was given up at now_ms because of a bound of max_bytes. */
void
reclaim_log_record (struct ReclaimLog *log, uint64_t max_bytes, int64_t now_ms);
