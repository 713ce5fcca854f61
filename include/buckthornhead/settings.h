/* Settings of one instance, read from an INI file and validated. */
#pragma once

#include <buckthornhead/profile.h>

enum
{
  SETTINGS_BACKENDS_MAX = 512,
  ADDRESS_MAX_BYTES = 64
};

/* A backend server listed in the settings. The platform's list may add and remove servers. */
struct BackendSetting
{
  char name[NAME_MAX_BYTES + 1];
  char address[ADDRESS_MAX_BYTES + 1]; /* IP:port */
  char zone[NAME_MAX_BYTES + 1];
  enum CallTarget kind;
  char target[NAME_MAX_BYTES + 1]; /* name of the model or plain service that it serves */
};

/* Sections: [instance] name, zone, data_folder; [listen] caller, operator, peer (IP:port each);
 * [platform] kv (URL), instances (URL, optional), prefix; [threads] caller, backend;
 * [limits] body_bytes, header_bytes, connections, json_depth, request_timeout (units: ms s m,
 * K M); [journal] writes_per_s (for the whole fleet), retry; [homes] partitions, group_size, lease;
 * [secrets] operator_token_file; [backend NAME] kind, target, address, zone. */
struct Settings
{
  char instance[NAME_MAX_BYTES + 1];
  char zone[NAME_MAX_BYTES + 1];
  char data_folder[256]; /* "": no disk */
  char caller_listen[ADDRESS_MAX_BYTES + 1];
  char operator_listen[ADDRESS_MAX_BYTES + 1];
  char peer_listen[ADDRESS_MAX_BYTES + 1];
  char kv_url[256];
  char instances_url[256]; /* "": no instance list */
  char prefix[64];
  uint32_t caller_threads, backend_threads;
  uint32_t body_max_bytes, header_max_bytes, connections_max, json_depth_max;
  uint64_t held_memory_bytes; /* bound on callers' data; 0: a share of the machine's memory */
  uint32_t request_timeout_ms;
  uint32_t journal_writes_per_s, journal_retry_ms;
  uint32_t n_partitions, partition_group_size;
  uint32_t lease_ttl_s;
  char operator_token[128];        /* "": no operator authentication */
  struct BackendSetting *backends; /* talloc array, child of the settings */
  size_t n_backends;
};

/* Reads and validates file. On ERROR_INVALID, faults (a zeroed talloc object) contains every fault,
 * at most 1000, sorted by line. */
int32_t
settings_load (TALLOC_CTX *ctx,
               const char *file,
               struct Settings **settings,
               struct ConfigFaults *faults);

/* The same for text in memory; file is the name used in the faults. */
int32_t
settings_parse (TALLOC_CTX *ctx,
                const char *file,
                const char *text,
                struct Settings **settings,
                struct ConfigFaults *faults);

/* Returns the contents of an INI file; belongs to ctx. Returns NULL and adds a fault if the file
 * cannot be read, is too large or contains a NUL byte. */
char *
config_file_read (TALLOC_CTX *ctx, const char *file, struct ConfigFaults *faults);

/* Splits "IP:port" ("[IP]:port" for IPv6) and normalizes the IP address. Returns ERROR_INVALID for
 * anything but an IP address and a port. */
int32_t
address_parse (const char *address, char ip[46], uint16_t *port);
