/* Settings of one instance, read from an INI file and checked as a whole. */
#pragma once

#include <buckthornhead/profile.h>

enum
{
  SETTINGS_BACKENDS_MAX = 512,
  ADDRESS_MAX_BYTES = 64
};

/* One backend server as the settings list it. The platform's list may add and remove more. */
struct BackendSetting
{
  char name[NAME_MAX_BYTES + 1];
  char address[ADDRESS_MAX_BYTES + 1]; /* IP:port */
  char zone[NAME_MAX_BYTES + 1];
  enum CallTarget kind;
  char target[NAME_MAX_BYTES + 1]; /* model or plain service that it serves */
};

/* Sections: [instance] name, zone, data_folder; [listen] caller, operator, peer (IP:port each);
 * [platform] kv (URL), instances (URL, optional), prefix; [threads] caller, backend;
 * [limits] body_bytes, header_bytes, connections, json_depth, request_timeout (units: ms s m,
 * K M); [journal] writes_per_s (of the whole fleet), retry; [homes] partitions, group_size, lease;
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
  char instances_url[256]; /* "": no list */
  char prefix[64];
  uint32_t caller_threads, backend_threads;
  uint32_t body_max_bytes, header_max_bytes, connections_max, json_depth_max;
  uint32_t request_timeout_ms;
  uint32_t journal_writes_per_s, journal_retry_ms;
  uint32_t n_partitions, partition_group_size;
  uint32_t lease_ttl_s;
  char operator_token[128];        /* "": operators are not asked for one */
  struct BackendSetting *backends; /* talloc array, child of the settings */
  size_t n_backends;
};

/* Reads and checks file. On ERROR_INVALID faults (a zeroed talloc object) holds every fault found
 * in the one run, a thousand at most, by line. */
int32_t
settings_load (TALLOC_CTX *ctx,
               const char *file,
               struct Settings **settings,
               struct ConfigFaults *faults);

/* The same for text that was read already; file names it in the faults. */
int32_t
settings_parse (TALLOC_CTX *ctx,
                const char *file,
                const char *text,
                struct Settings **settings,
                struct ConfigFaults *faults);

/* The whole of an INI file, as text that belongs to ctx; NULL with a fault when it can not be read
 * or is no text. */
char *
config_file_read (TALLOC_CTX *ctx, const char *file, struct ConfigFaults *faults);

/* Splits "IP:port" ("[IP]:port" for IPv6), the IP in its usual form; ERROR_INVALID for
 * anything but an IP number and a port. */
int32_t
address_parse (const char *address, char ip[46], uint16_t *port);
