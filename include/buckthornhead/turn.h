/* Turns of agent programs as the archive keeps them.
 *
 * A turn is written once, under an id that nobody else has, to the disks of several archives; it
 * never changes, so that any copy is as good as another and no archive has to lead. What is agreed
 * on is only the budget, and that by a sum over sets that meet: see turn_quorum.h.
 *
 * Turns and programs belong to a customer: under another one's name their ids are unknown. */
#pragma once

#include <buckthornhead/call.h>

#include <talloc.h>

/* A turn that may be continued. */
struct TurnText
{
  char turn[NAME_MAX_BYTES + 1];
  char previous[NAME_MAX_BYTES + 1]; /* "" for the first of a chain */
  char server[NAME_MAX_BYTES + 1];   /* id of the backend server that ran it */
  const uint8_t *input;
  size_t input_bytes;
  const uint8_t *output;
  size_t output_bytes;
};

/* What one turn takes of its program's budget. */
struct TurnCharge
{
  char turn[NAME_MAX_BYTES + 1];
  uint32_t tokens;
  bool settled; /* false: reserved, the most that it may come to */
};

enum
{
  /* Of a prompt, from its last part back: the session's own, and that of the session in which a
   * sub-agent was started. */
  TURN_SESSIONS_MAX = 2
};

/* The server whose cache holds a session, as far as its last turn says. */
struct SessionPlace
{
  uint64_t session; /* id of the session's part of the prompt; 0: not known */
  uint32_t tokens;  /* of it, when that turn was sent */
  char server[NAME_MAX_BYTES + 1];
};

/* Asks an archive to reserve tokens for a turn and to say what it knows. */
struct TurnOpen
{
  uint64_t id;                       /* of the question, repeated in the answer */
  uint64_t generation;               /* of the set of archives that the asker knows */
  char customer[NAME_MAX_BYTES + 1]; /* "" where there are none */
  char turn[NAME_MAX_BYTES + 1];
  char program[NAME_MAX_BYTES + 1];
  char previous[NAME_MAX_BYTES + 1];
  uint32_t reserve_tokens;
  bool want_history;
  uint64_t sessions[TURN_SESSIONS_MAX]; /* whose places are asked for, 0: none */
};

/* Asks for a turn and those before it, as far as the archive has them. */
struct TurnRead
{
  uint64_t id;
  char customer[NAME_MAX_BYTES + 1];
  char turn[NAME_MAX_BYTES + 1];
};

struct TurnOpened
{
  uint64_t id;
  int32_t error; /* ERROR_NONE; ERROR_IO: not reserved, the disk failed; ERROR_FENCED: not
            reserved, the set of archives is older than the archive's */
  bool complete; /* the archive has everything that it ever acknowledged */
  bool has_turn; /* the turn that was asked for, or the previous one, is kept here */
  struct TurnText *history; /* newest first, ending at the first of the chain or at a gap */
  size_t n_history;
  struct TurnCharge *charges; /* of the program, the new turn's left out */
  size_t n_charges;
  struct SessionPlace place; /* of the first session that was asked for and is known */
};

/* A turn has ended: what it took of the budget, and its text if it may be continued. */
struct TurnClose
{
  uint64_t id;
  uint64_t generation;
  char customer[NAME_MAX_BYTES + 1];
  char program[NAME_MAX_BYTES + 1];
  uint32_t charge_tokens;
  bool kept;
  uint32_t retention_ms;
  uint64_t session; /* that text.server holds now; 0: none */
  uint32_t session_tokens;
  struct TurnText text;
};

/* The turn that closes is durable on this archive's disk; or error says why not. */
struct TurnClosed
{
  uint64_t id;
  int32_t error;
};
