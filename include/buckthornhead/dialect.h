/* Port to whoever calls the gateway and whatever it calls: how requests, answers, the operators'
 * configuration and the list of backend servers are spelled.
 *
 * The gateway works with these types alone; one adapter fills them. */
#pragma once

#include <buckthornhead/http_client.h>
#include <buckthornhead/http_server.h>
#include <buckthornhead/route.h>
#include <buckthornhead/scheduling/replica_set.h>

/* Requests to the gateway itself. */
enum OwnPath
{
  OWN_PATH_NONE,     /* a caller's request, to be forwarded */
  OWN_PATH_READY,    /* does this gateway take callers? */
  OWN_PATH_ADDRESSES /* which gateways do? */
};

/* Which key a caller shows. */
enum CredentialKind
{
  CREDENTIAL_NONE,      /* it shows none */
  CREDENTIAL_KEY,       /* one key */
  CREDENTIAL_UNREADABLE /* several, or something that is no key */
};

/* What a caller's request says, beside its body. Texts belong to the exchange or to ctx. */
struct CallerRequest
{
  const char *host;
  const char *id;         /* of this attempt of the caller */
  int64_t timeout_ms;     /* how long the caller waits, from its arrival; 0: did not say */
  const char *program;    /* "" when it belongs to none */
  const char *previous;   /* turn that it continues; "" for none */
  uint64_t budget_tokens; /* of the program; 0: did not say */
  uint32_t max_tokens;    /* that the answer may have */
  bool has_program_left;
  int64_t program_left_ms; /* until its program should be finished */
  struct PrefixPart parts[PREFIX_PARTS_MAX];
  size_t n_parts;
  const char *object;       /* that the request concerns, as its caller names it; "": none */
  const char *resume_after; /* id of the last event that the caller has of this stream; "": none */
  enum CredentialKind credential;
  const char *key; /* CREDENTIAL_KEY only: not to be logged */
  size_t key_bytes;
};

/* Where and how a request goes on. */
struct UpstreamTarget
{
  const char *replica; /* id: another server at that address must not run it */
  const char *address;
  int64_t left_ms; /* that the server may take */
  size_t body_bytes;
  /* Whose request it is, "" for nobody's; the caller's credential stays here. NULL: the
   * installation has no customers, and a credential is a header like others. */
  const char *customer;
  const char *resume_after; /* event after which the stream goes on; NULL or "": from its start */
};

/* What a backend server's answer says, beside its body. */
struct ReplicaAnswer
{
  uint32_t status;
  bool genuine; /* bears the server's own proof */
  bool not_run; /* the server says that it did not run the request */
  bool has_load;
  uint32_t running, waiting, slots;
};

struct RetireNote
{
  char key[200];
  char value[64];
};

struct Dialect
{
  const char *id_header;       /* that servers repeat in their answers */
  const char *operator_prefix; /* of all that the operators write in the store */
  const char *routes_key;
  const char *retire_prefix; /* a machine's name follows: it is to be emptied */
  const char *servers_prefix;

  enum OwnPath (*own_path) (const char *target);
  /* The availability zone in which the asker of OWN_PATH_ADDRESSES says it is; "" when it does not.
   */
  void (*asker_zone) (const char *target, char zone[NAME_MAX_BYTES + 1]);
  /* ERROR_INVALID with fault when the request lacks what it must say. */
  int32_t (*read_request) (TALLOC_CTX *ctx,
                           const struct HttpExchange *exchange,
                           struct CallerRequest *request,
                           struct Fault *fault);
  /* Request line and headers for the server; NULL without memory. */
  char *(*write_request) (TALLOC_CTX *ctx,
                          const struct HttpExchange *exchange,
                          const struct UpstreamTarget *target);
  void (*read_answer) (const struct HttpAnswerHead *head, struct ReplicaAnswer *answer);
  /* The answer's headers as the caller gets them. ERROR_NO_MEMORY. */
  int32_t (*forward_headers) (TALLOC_CTX *ctx,
                              const struct HttpAnswerHead *head,
                              struct HttpHeaders *headers);
  int32_t (*read_routes) (TALLOC_CTX *ctx,
                          const uint8_t *bytes,
                          size_t n_bytes,
                          struct RouteTable **table,
                          struct Fault *fault);
  int32_t (*read_server) (const char *key,
                          const uint8_t *bytes,
                          size_t n_bytes,
                          struct ReplicaEntry *entry,
                          struct Fault *fault);
  /* Key and value that tell the operators how far a machine's emptying is. */
  void (*write_retired) (const char *machine, bool completed, struct RetireNote *note);
  /* The body that answers OWN_PATH_ADDRESSES; callers keep it for keep_s. */
  char *(*write_addresses) (TALLOC_CTX *ctx,
                            const char *const *addresses,
                            size_t n_addresses,
                            uint32_t keep_s);
};
