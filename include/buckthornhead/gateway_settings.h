/* Settings of a gateway or an archive, read from an INI file and checked as a whole. */
#pragma once

#include <buckthornhead/customers/quota.h>
#include <buckthornhead/decisions.h>
#include <buckthornhead/settings.h>

/* Sections: [instance] name, zone, data_folder; [listen] caller, ready, directory, metrics, peer
 * (IP:port each, and announce; those of callers are for gateways); [platform] store (URL), prefix,
 * change_in_force; [membership] seeds, seed_port; [archives] first_start, tolerated; [stop] grace;
 * [directory] keep; [limits] connections; [quota] window, slack, sharing; [decisions], a switch
 * each: see decisions.h. */
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
  char announce[ADDRESS_MAX_BYTES + 1]; /* at which others reach peer_listen; "": there */
  char seeds[256];                      /* of peers, IP:port, with commas between them; "": none */
  uint32_t seed_port;                   /* in place of the ports in seeds; 0: those hold */
  char store_url[256];
  char prefix[64];             /* of the system's own keys in the store */
  uint32_t change_in_force_ms; /* within which all processes act on a change in the store */
  int32_t first_start; /* the whole system starts for the first time: an empty disk is whole */
  uint32_t tolerated;  /* archives that may lose their disks at the same time */
  uint32_t grace_ms;   /* from SIGTERM to the end */
  uint32_t keep_s;     /* how long callers may keep a list of addresses */
  uint32_t connections_max;
  uint32_t quota_window_ms; /* any span of this length counts */
  uint32_t quota_slack;     /* requests over a limit that operators do not mind in each */
  int32_t quota_sharing;    /* enum QuotaSharing */
  struct Decisions decisions;
};

/* On ERROR_INVALID faults (a zeroed talloc object) holds every fault found. */
int32_t
gateway_settings_load (TALLOC_CTX *ctx,
                       const char *file,
                       struct GatewaySettings **settings,
                       struct ConfigFaults *faults);

int32_t
gateway_settings_parse (TALLOC_CTX *ctx,
                        const char *file,
                        const char *text,
                        struct GatewaySettings **settings,
                        struct ConfigFaults *faults);
