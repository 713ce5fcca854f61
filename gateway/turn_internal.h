/* A turn between its request and the archives: turn.c opens it, turn_close.c ends it. */
#pragma once

#include "front.h"

#include <buckthornhead/archive_order.h>
#include <buckthornhead/scheduling/session_places.h>

enum TurnPhase
{
  TURN_OPENING, /* reserving */
  TURN_READING, /* the history is not whole yet */
  TURN_RUNNING, /* with a server */
  TURN_CLOSING  /* being stored */
};

struct Turn
{
  enum TurnPhase phase;
  int64_t started_ms, phase_ms; /* when the turn and its present phase began */
  uint64_t query_id;            /* id of the question that is open */
  struct Timer *timer;
  struct ArchiveNames answered; /* archives, to this question */
  struct ArchiveNames complete; /* of them, those that lack nothing */
  bool previous_exists;         /* one of them has it */
  struct TurnCharge *charges;
  size_t n_charges;
  struct TurnText *history; /* of the history, in any order */
  size_t n_history;
  char reader[NAME_MAX_BYTES + 1];    /* archive that was asked for the history at first */
  bool waits_for_reader, reader_late; /* others answered before it; long before it */
  size_t n_reads, next_reader;
  char missing[NAME_MAX_BYTES + 1]; /* piece that is asked for */
  struct ArchiveNames sent;         /* archives that got the turn's texts at first */
  bool sent_to_all;                 /* the others got them, too */
  bool retried;                     /* through another gateway */
  bool close_sent;                  /* the archives were told how the turn ended */
  struct SessionPlace place;        /* of its session, the best that an archive told */
};

/* The archives that the set asks, in the order of the request's program. Returns how many. */
size_t
turn_sort_archives (const struct Request *request,
                    struct ArchiveCandidate candidates[ARCHIVE_SET_MAX]);

/* The parts of the prompt, from the last back, that are of a session and not shared by programs;
 * none where turns are kept: a turn names the one before it there, and with it the server. */
void
turn_sessions (const struct Request *request, uint64_t sessions[TURN_SESSIONS_MAX]);

/* Begins a phase with a question of its own, which nobody has answered. */
void
turn_begin_phase (struct Request *request, struct Turn *turn, enum TurnPhase phase);

/* True the first time that archive answers the open question. */
bool
turn_record_response (struct Turn *turn, const char *archive);

/* The request whose turn has this question open; NULL: none has any more. */
struct Request *
turn_find (struct Front *front, uint64_t question);

/* Sends the end of a turn that is kept to the archives that have not answered. */
void
turn_send_close (struct Request *request);
