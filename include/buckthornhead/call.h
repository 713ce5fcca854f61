/* What a call is: the words shared by the callers' interface, the links between instances, the
 * journal and the policy. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  NAME_MAX_BYTES = 64, /* instance, availability zone, service, profile, branch, model */
  PROGRAM_ID_MAX_BYTES = 64,
  DIGEST_BYTES = 32, /* SHA-256 */
  MAIN_BRANCH_BYTES = 5
};

/* The branch that a program's own calls are on; each sub-agent names another. */
#define MAIN_BRANCH "main"

/* How the body of a chat begins; what stands between it and .messages_end are its messages. */
#define CHAT_BODY_HEAD "{\"messages\":["

/* Names one call of one program. */
struct CallKey
{
  char program[PROGRAM_ID_MAX_BYTES + 1];
  char branch[NAME_MAX_BYTES + 1];
  uint64_t sequence; /* from 1 on each branch */
};

/* Whether a request ran, as told to its caller. */
enum RanState
{
  RAN_NO = 0, /* no dispatch happened and none can */
  RAN_YES = 1,
  RAN_MAYBE = 2
};

enum CallTarget
{
  CALL_TARGET_ENGINE, /* target names a model */
  CALL_TARGET_SERVICE /* target names a plain or tool service */
};

/* A call as its caller made it. Pointers belong to whoever passes it. */
struct Call
{
  struct CallKey key;
  char service[NAME_MAX_BYTES + 1]; /* the agent service that runs the program */
  enum CallTarget target_kind;
  char target[NAME_MAX_BYTES + 1];
  char path[128]; /* path at a plain service */
  bool idempotent;
  bool stream;
  uint32_t max_tokens;          /* most that the answer may generate: what is reserved */
  uint32_t prompt_tokens;       /* estimate */
  int64_t deadline_ms;          /* time left when received; 0: the program's own deadline only */
  uint8_t digest[DIGEST_BYTES]; /* of the body and the target */
  const uint8_t *body;
  size_t body_bytes;
  /* Of a chat: the body begins with CHAT_BODY_HEAD and its messages, up to here without the closing
   * bracket. The next turn's body usually begins with the same bytes. 0: no chat. */
  uint32_t messages_end;
};

/* The end of a call. */
struct Outcome
{
  int32_t error; /* ERROR_NONE, ERROR_BACKEND, ERROR_MAY_HAVE_RUN, ... */
  enum RanState ran;
  uint32_t status;        /* HTTP status of the backend server, 0 when there was none */
  uint64_t charge_tokens; /* prompt and generated tokens charged to the budget */
  uint32_t cached_tokens; /* prompt tokens that the engine found cached */
  char backend[NAME_MAX_BYTES + 1];
  const uint8_t *answer;
  size_t answer_bytes;
};
