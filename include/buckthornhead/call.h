/* Types that describe a call, shared by the caller API, the links between instances, the journal
 * and the scheduling policy. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  NAME_MAX_BYTES = 64, /* instance, availability zone, service, profile, branch, model */
  PROGRAM_ID_MAX_BYTES = 64,
  DIGEST_BYTES = 32, /* SHA-256 */
  /* Limit on a backend server's response: it is journaled in one value of the key-value service. */
  CALL_RESPONSE_MAX_BYTES = 1024 * 1024,
  CALL_SMALL_RESPONSE_BYTES =
      64 * 1024, /* of a response that is never cut off for lack of memory */
  MAIN_BRANCH_BYTES = 5
};

/* Branch of the program's own calls. Each sub-agent uses a branch with another name. */
#define MAIN_BRANCH "main"

/* Prefix of a chat request's body. The messages follow it, up to Call.messages_end. */
#define CHAT_BODY_HEAD "{\"messages\":["

/* Identifies one call of one program. */
struct CallKey
{
  char program[PROGRAM_ID_MAX_BYTES + 1];
  char branch[NAME_MAX_BYTES + 1];
  uint64_t sequence; /* from 1 on each branch */
};

/* Whether a request ran, as reported to its caller. */
enum RanState
{
  RAN_NO = 0, /* it was not dispatched and will not be */
  RAN_YES = 1,
  RAN_MAYBE = 2
};

enum CallTarget
{
  CALL_TARGET_ENGINE, /* target names a model */
  CALL_TARGET_SERVICE /* target names a plain or tool service */
};

/* A call as received from its caller. The code that passes it owns what its pointers refer to. */
struct Call
{
  struct CallKey key;
  char service[NAME_MAX_BYTES + 1]; /* the agent service that runs the program */
  enum CallTarget target_kind;
  char target[NAME_MAX_BYTES + 1];
  char path[128]; /* path at a plain service */
  bool idempotent;
  bool stream;
  uint32_t max_tokens;          /* limit on generated tokens; part of the reservation */
  uint32_t prompt_tokens;       /* estimate */
  int64_t deadline_ms;          /* time left at receipt; 0: only the program's deadline */
  uint8_t digest[DIGEST_BYTES]; /* of the body and the target */
  const uint8_t *body;
  size_t body_bytes;
  /* Offset in the body of a chat request at which its messages end, before the closing bracket. The
   * next turn's body usually begins with the same bytes up to there. 0: not a chat. */
  uint32_t messages_end;
};

/* The result of a call that has ended. */
struct Outcome
{
  int32_t error; /* ERROR_NONE, ERROR_BACKEND, ERROR_MAY_HAVE_RUN, ... */
  enum RanState ran;
  uint32_t status;        /* HTTP status of the backend server, 0 when there was none */
  uint64_t charge_tokens; /* prompt and generated tokens charged to the budget */
  uint32_t cached_tokens; /* prompt tokens served from the engine's cache */
  char backend[NAME_MAX_BYTES + 1];
  const uint8_t *response;
  size_t response_bytes;
};
