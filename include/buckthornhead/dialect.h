/* Port for a platform's wire formats: requests, responses, the operators' configuration and the
 * list of backend servers.
 *
 * The gateway uses only these types; one adapter converts them from and to the wire formats. */
#pragma once

#include <buckthornhead/http_client.h>
#include <buckthornhead/http_server.h>
#include <buckthornhead/route.h>
#include <buckthornhead/scheduling/replica_set.h>

/* Paths that the gateway serves itself. */
enum GatewayPath
{
  GATEWAY_PATH_NONE,     /* any other path: the request is forwarded */
  GATEWAY_PATH_READY,    /* readiness probe */
  GATEWAY_PATH_ADDRESSES /* addresses of the ready gateways */
};

/* Key that a request carries. */
enum CredentialKind
{
  CREDENTIAL_NONE,      /* no key */
  CREDENTIAL_KEY,       /* one key */
  CREDENTIAL_UNREADABLE /* several keys, or a malformed one */
};

/* Parameters of a caller's request, without its body. The exchange or ctx owns the strings. */
struct CallerRequest
{
  const char *host;
  const char *id;         /* identifies this attempt of the caller */
  int64_t timeout_ms;     /* caller's timeout, from the request's arrival; 0: unspecified */
  const char *program;    /* "": none */
  const char *previous;   /* turn that the request continues; "": none */
  uint64_t budget_tokens; /* of the program; 0: unspecified */
  uint32_t max_tokens;    /* limit of the response */
  bool has_program_timeout;
  int64_t program_timeout_ms; /* until the program's deadline */
  struct PrefixPart parts[PREFIX_PARTS_MAX];
  size_t n_parts;
  const char *object;       /* that the request concerns, as named by its caller; "": none */
  const char *resume_after; /* id of the last stream event that the caller received; "": none */
  enum CredentialKind credential;
  const char *key; /* CREDENTIAL_KEY only; must not be logged */
  size_t key_bytes;
};

/* Destination of a forwarded request. */
struct UpstreamTarget
{
  const char *replica; /* id of the server; another one at the same address must not run it */
  const char *address;
  int64_t left_ms; /* the server's time limit */
  size_t body_bytes;
  /* Name of the customer, "" when the request has none; the caller's credential is not forwarded.
   * NULL: the deployment has no customers, and a credential is forwarded like any header. */
  const char *customer;
  const char *resume_after; /* last event received of a resumed stream; NULL or "": none */
};

/* Parameters of a backend server's response, without its body. */
struct ServerResponse
{
  uint32_t status;
  bool has_seal; /* carries the header that proves that the server itself responded */
  bool rejected; /* the server reports that it did not run the request */
  bool has_load;
  uint32_t running, waiting, slots;
  /* How long work takes on the server's machine at this moment, in percent of the usual; 0: not
   * reported. */
  uint32_t work_time_percent;
};

/* Entry of the platform's store that reports how far an instance is emptied. */
struct RetireStatus
{
  char key[200];
  char value[64];
};

struct Dialect
{
  /* Returns whether the deployment's features, as the platform lists them, say that callers compete
   * for the servers' capacity. */
  bool (*declares_contention) (const char *features);
  const char *id_header;       /* servers echo it in their responses */
  const char *operator_prefix; /* of all keys that the operators write to the store */
  const char *routes_key;
  const char *retire_prefix; /* followed by the name of an instance that is to be emptied */
  const char *servers_prefix;

  enum GatewayPath (*gateway_path) (const char *target);
  /* Availability zone that the requester of GATEWAY_PATH_ADDRESSES specifies; "" when it does not.
   */
  void (*read_query_zone) (const char *target, char zone[NAME_MAX_BYTES + 1]);
  /* ERROR_INVALID with fault when a required parameter is missing or malformed. */
  int32_t (*read_request) (TALLOC_CTX *ctx,
                           const struct HttpExchange *exchange,
                           struct CallerRequest *request,
                           struct Fault *fault);
  /* Returns the request line and headers for the server; NULL when out of memory. */
  char *(*write_request) (TALLOC_CTX *ctx,
                          const struct HttpExchange *exchange,
                          const struct UpstreamTarget *target);
  void (*read_response) (const struct HttpResponseHead *head, struct ServerResponse *response);
  /* Fills in the response headers to send to the caller. ERROR_NONE or ERROR_NO_MEMORY. */
  int32_t (*forward_headers) (TALLOC_CTX *ctx,
                              const struct HttpResponseHead *head,
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
  /* Fills in the key and value that report to the operators how far an instance is emptied. */
  void (*write_retire_status) (const char *machine, bool completed, struct RetireStatus *note);
  /* Returns the response body for GATEWAY_PATH_ADDRESSES; callers cache it for keep_s. */
  char *(*write_addresses) (TALLOC_CTX *ctx,
                            const char *const *addresses,
                            size_t n_addresses,
                            uint32_t keep_s);
};
