/* Settings of a gateway or an archive, read from an INI file and validated as a whole. */
#pragma once

#include <buckthornhead/customers/quota.h>
#include <buckthornhead/decisions.h>
#include <buckthornhead/settings.h>

/* Sections: [instance] name, zone, data_folder; [listen] caller, ready, directory, metrics, peer
 * (IP:port each) and announce; caller, ready and directory are for gateways; [platform] store
 * (URL), prefix, features, change_in_force; [membership] seeds, seed_port; [archives] first_start,
 * tolerated, longest_retention; [stop] grace; [directory] keep; [limits] connections, held_memory;
 * [quota] window, slack, sharing; [quarantine] crashing_requests; [decisions] the switches of
 * decisions.h. */
struct GatewaySettings
{
  char instance[NAME_MAX_BYTES + 1];
  char zone[NAME_MAX_BYTES + 1];
  char data_folder[256]; /* archives only */
  char caller_listen[ADDRESS_MAX_BYTES + 1];
  char ready_listen[ADDRESS_MAX_BYTES + 1];
  char directory_listen[ADDRESS_MAX_BYTES + 1];
  char metrics_listen[ADDRESS_MAX_BYTES + 1];
  char peer_listen[ADDRESS_MAX_BYTES + 1];
  char announce[ADDRESS_MAX_BYTES + 1]; /* address at which peers reach peer_listen; "": the same */
  char seeds[256];                      /* comma-separated IP:port of peers; "": none */
  uint32_t seed_port;                   /* replaces the ports in seeds; 0: keep them */
  char store_url[256];
  char prefix[64];             /* of the system's own keys in the store */
  char platform_features[512]; /* comma-separated, in the platform's words; see dialect.h */
  uint32_t change_in_force_ms; /* time for all processes to apply a change in the store */
  int32_t first_start; /* 1: first start of the whole system, so that an empty disk is complete */
  uint32_t tolerated;  /* number of archives that may lose their disks at once */
  /* Upper bound on how long an archive must keep a turn or a program's budget. */
  uint32_t longest_retention_ms;
  uint32_t grace_ms; /* from SIGTERM to the exit */
  uint32_t keep_s;   /* time for which callers may cache a list of addresses */
  uint32_t connections_max;
  /* Bound on the data held for callers and servers; 0: a share of the machine's memory. */
  uint64_t held_memory_bytes;
  uint32_t quota_window_ms; /* length of the sliding window in which a limit holds */
  uint32_t quota_slack;     /* requests over a limit that operators tolerate in each window */
  int32_t quota_sharing;    /* enum QuotaSharing */
  int32_t quarantine;       /* 1: requests that crash servers are not sent on */
  struct Decisions decisions;
};

/* Reads settings from file. On ERROR_INVALID, faults (a zeroed talloc object) holds all faults. */
int32_t
gateway_settings_load (TALLOC_CTX *ctx,
                       const char *file,
                       struct GatewaySettings **settings,
                       struct ConfigFaults *faults);

/* Like gateway_settings_load, for the text of a file. */
int32_t
gateway_settings_parse (TALLOC_CTX *ctx,
                        const char *file,
                        const char *text,
                        struct GatewaySettings **settings,
                        struct ConfigFaults *faults);
