/* Turns of agent programs as stored by the archives.
 *
 * A turn is written once, under a unique id, to the disks of several archives. It is immutable, so
 * that all copies are equivalent and no archive has to act as leader. Agreement is needed only on a
 * program's budget, which is summed over intersecting quorums; see turn_quorum.h.
 *
 * Turns and programs belong to a customer. Their ids are unknown to other customers. */
#pragma once

#include <buckthornhead/call.h>

#include <talloc.h>

/* A turn that may be continued. */
struct TurnText
{
  char turn[NAME_MAX_BYTES + 1];
  char previous[NAME_MAX_BYTES + 1]; /* "" for the first of a chain */
  char server[NAME_MAX_BYTES + 1];   /* backend server that ran it */
  const uint8_t *input;
  size_t input_bytes;
  const uint8_t *output;
  size_t output_bytes;
};

/* What an archive stores of a turn besides its texts. */
struct TurnOrigin
{
  char program[NAME_MAX_BYTES + 1];
  uint32_t charge_tokens;
  uint32_t retention_ms;
};

/* The charge of one turn to its program's budget. */
struct TurnCharge
{
  char turn[NAME_MAX_BYTES + 1];
  uint32_t tokens;
  bool settled; /* false: reserved, an upper bound of the charge */
};

/* Set in the id of TurnOpen and TurnRead if the response is to report chains, and in the id of
 * TurnClose if the turn is to be stored only by archives that store all turns before it. Earlier
 * versions return the id unchanged and do neither. */
#define TURN_WITH_CHAIN (1ULL << 63)

enum
{
  /* Sessions of a prompt, from its last part backwards: the turn's own session, and the one that
   * started it as a sub-agent. */
  TURN_SESSIONS_MAX = 2
};

/* The server whose cache holds a session, as recorded by the session's last turn. */
struct SessionPlace
{
  uint64_t session; /* id of the session's part of the prompt; 0: unknown */
  uint32_t tokens;  /* length of that part when the turn was sent */
  char server[NAME_MAX_BYTES + 1];
};

/* Requests an archive to reserve tokens for a turn and to return its records of the program. */
struct TurnOpen
{
  uint64_t id;                       /* of the request, repeated in the response */
  uint64_t generation;               /* of the set of archives that the requester has */
  char customer[NAME_MAX_BYTES + 1]; /* "" without a customer */
  char turn[NAME_MAX_BYTES + 1];
  char program[NAME_MAX_BYTES + 1];
  char previous[NAME_MAX_BYTES + 1];
  uint32_t reserve_tokens;
  bool want_history;
  uint64_t sessions[TURN_SESSIONS_MAX]; /* sessions to return the place of; 0: none */
};

/* Requests a turn and the turns before it in its chain. */
struct TurnRead
{
  uint64_t id;
  char customer[NAME_MAX_BYTES + 1];
  char turn[NAME_MAX_BYTES + 1];
};

struct TurnOpened
{
  uint64_t id;
  /* ERROR_NONE; ERROR_IO: not reserved, the disk failed; ERROR_FENCED: not reserved, the
   * requester's set of archives is older than the archive's. */
  int32_t error;
  bool complete;            /* the archive has every record that it ever acknowledged */
  bool has_turn;            /* the turn of TurnRead, or previous of TurnOpen, is stored here */
  bool reports_chain;       /* with has_chain and origins */
  bool has_chain;           /* with has_turn: all turns before that one are stored here, too */
  struct TurnText *history; /* newest first, up to the chain's start, a gap or the size limit */
  size_t n_history;
  struct TurnOrigin *origins; /* of the turns in history; NULL without reports_chain */
  struct TurnCharge *charges; /* of the program, without the new turn */
  size_t n_charges;
  struct SessionPlace place; /* of the first requested session that is known */
};

/* Reports that a turn has ended, its charge, and its text if it may be continued. */
struct TurnClose
{
  uint64_t id;
  uint64_t generation;
  char customer[NAME_MAX_BYTES + 1];
  char program[NAME_MAX_BYTES + 1];
  uint32_t charge_tokens;
  bool kept;
  uint32_t retention_ms;
  uint64_t session; /* now in the cache of text.server; 0: none */
  uint32_t session_tokens;
  struct TurnText text;
};

/* Response to TurnClose: error is ERROR_NONE once the record is durable on the archive's disk;
 * ERROR_NOT_FOUND: not stored, since the archive lacks turns before it. */
struct TurnClosed
{
  uint64_t id;
  int32_t error;
};
