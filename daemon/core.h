/* State shared by the modules of the core thread. Only that thread uses it. */
#pragma once

#include <buckthornhead/backend_pool.h>
#include <buckthornhead/caller_http.h>
#include <buckthornhead/config_log.h>
#include <buckthornhead/curl_loop.h>
#include <buckthornhead/homes.h>
#include <buckthornhead/journal.h>
#include <buckthornhead/kv.h>
#include <buckthornhead/ledger.h>
#include <buckthornhead/membership.h>
#include <buckthornhead/peer_net.h>
#include <buckthornhead/settings.h>
#include <buckthornhead/timer.h>

/* Responses to all modules arrive over the same link. Each module therefore numbers its requests
 * from its own base, and the range of the id selects the module that gets the response. */
#define ENTRY_ID_BASE (1ULL << 63)
#define OPERATOR_ID_BASE (1ULL << 62)
#define SPOOLER_ID_BASE (1ULL << 61)

struct Core
{
  const struct Settings *settings;
  struct tevent_context *events;
  struct TimerService *timers;
  struct Mailbox *mailbox;
  struct CurlLoop *loop;
  struct KvPort *kv;
  struct PeerNet *net;
  struct BackendPool *pool;
  struct CallerHttp *http;
  struct Membership *membership;
  struct ConfigLog *config;
  struct ConfigState *state; /* the configuration in force, NULL before the first */
  struct Fleet *fleet;
  struct Entry *entry;
  struct Home *home;
  struct Owner *owner;
  struct Operator *operators;
  struct Spooler *spooler;
  char incarnation[INCARNATION_MAX_BYTES + 1];
  bool platform_up;
  bool draining; /* requested by an operator or a signal */
  int64_t draining_since_ms;
  uint64_t responses_max_bytes; /* bound on the large responses that are collected; 0: none */
  struct PeerOutcomes outcomes;
};

int64_t
core_unix_ms (void);
