/* State of a turn between its request and the archives: turn.c opens it, turn_close.c closes it. */
#pragma once

#include "front.h"

#include <buckthornhead/archive_order.h>
#include <buckthornhead/scheduling/session_places.h>
#include <buckthornhead/turn_history.h>

enum TurnPhase
{
  TURN_OPENING, /* reserving tokens */
  TURN_READING, /* fetching the rest of the history */
  TURN_RUNNING, /* sent to a server */
  TURN_CLOSING  /* being stored */
};

struct Turn
{
  enum TurnPhase phase;
  int64_t started_ms, phase_ms; /* when the turn and its current phase started */
  uint64_t query_id;            /* of the pending query to the archives */
  uint64_t open_id;             /* of the reservation, to which responses may come later */
  struct Timer *timer;
  struct ArchiveNames answered; /* archives that responded to the open query */
  struct ArchiveNames complete; /* of these, the ones that lack no acknowledged data */
  bool previous_exists;         /* an archive has the previous turn */
  struct TurnCharge *charges;
  size_t n_charges;
  struct TurnHistory *history;      /* its texts are in the request's body once that is built */
  struct ArchiveNames holders;      /* archives that store the previous turn and all before it */
  char reader[NAME_MAX_BYTES + 1];  /* archive that was last queried for the history */
  char missing[NAME_MAX_BYTES + 1]; /* turn for which it was queried; "": the previous turn */
  bool waits_for_reader;            /* enough other archives have responded before it */
  bool reader_late;                 /* READER_LATE_MS have passed since then */
  struct ArchiveNames sent;         /* archives that were sent the turn's texts first */
  bool sent_to_all;                 /* the texts were then sent to the others, too */
  bool retried;                     /* the query was repeated through another gateway */
  bool close_sent;                  /* the archives were notified of the turn's end */
  struct ChainSend *chain_sends;    /* to archives that lack earlier turns */
  size_t n_chain_sends;
  bool chain_progressed;     /* an archive has stored turns of the chain since the last timeout */
  struct SessionPlace place; /* best place of its session among the responses */
};

/* Lists the archives to query in the preferred order for the request's program; returns their
 * number. */
size_t
turn_sort_archives (const struct Request *request,
                    struct ArchiveCandidate candidates[ARCHIVE_SET_MAX]);

/* Lists the prompt's parts from the last one backwards, except the first, which programs share.
 * Lists none on routes that keep turns: the previous turn's record names its server there. */
void
turn_sessions (const struct Request *request, uint64_t sessions[TURN_SESSIONS_MAX]);

/* Starts a phase with a new query, to which no archive has responded yet. */
void
turn_begin_phase (struct Request *request, struct Turn *turn, enum TurnPhase phase);

/* Records a response to the open query. Returns true for the first one from archive. */
bool
turn_record_response (struct Turn *turn, const char *archive);

/* Returns the request whose turn has sent this query; NULL when it has ended. */
struct Request *
turn_find (struct Front *front, uint64_t query_id);

/* Sends the close of a kept turn to the archives that have not responded. */
void
turn_send_close (struct Request *request);

/* Sends the close of a kept turn to one archive, which stores it only if it has all turns before
 * it, unless needs_chain is false. */
void
turn_send_close_to (struct Request *request, const char *archive, bool needs_chain);

/* turn_chain.c: sends the turns before a turn to an archive that lacks some of them. */

struct ChainSend;

/* Returns whether id is that of a query by which turns are sent. */
bool
turn_chain_has_query (const struct Turn *turn, uint64_t id);

/* Starts sending them; the turn's close follows. */
void
turn_chain_send (struct Request *request, const char *archive);

/* Handles an archive's response to the last of the turns sent to it. Returns false if it responds
 * to another query. */
bool
turn_chain_on_closed (struct Request *request, const struct TurnClosed *closed);
