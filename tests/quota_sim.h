/* Simulates customers' limits under faults in virtual time, with the real quota code of each
 * gateway: its ledger, reports, sums and choice of aggregators. Callers send programs that call
 * tools together; gateways are suspended, killed and cut off, and their messages lost. Checks each
 * sliding window of the requests that were let through. */
#pragma once

#include <buckthornhead/customers/quota.h>

#include <stdbool.h>
#include <stdint.h>

enum
{
  QUOTA_SIM_CUSTOMERS = 4
};

/* Limits per second; each customer's burst is one second of its rate. */
extern const double quota_sim_rates[QUOTA_SIM_CUSTOMERS];

/* Sets how limits are divided in the simulations that start afterwards; QUOTA_BY_REPORTS before the
 * first call. */
void
quota_sim_set_sharing (enum QuotaSharing sharing);

/* Starts gateways in three zones, with all customers at their usual load. One simulation runs at a
 * time. */
void
quota_sim_start (uint32_t n_gateways, uint64_t seed);
void
quota_sim_end (void);

void
quota_sim_run (int64_t for_ms);

/* Sets the customer's load, as a multiple of the usual one. */
void
quota_sim_set_load (uint32_t customer, double load);

/* From now on half of all requests are sent to this gateway. */
void
quota_sim_prefer (uint32_t gateway);

/* What happens to the gateways from first to first + n - 1. */

/* They neither handle requests nor send or receive messages. */
void
quota_sim_suspend (uint32_t first, uint32_t n);
/* They read the requests of callers that still wait before anything else. */
void
quota_sim_resume (uint32_t first, uint32_t n);
/* Their processes end: the others learn of it when connections are refused. */
void
quota_sim_kill (uint32_t first, uint32_t n);
/* Their machines fail: the others learn of it from their silence. */
void
quota_sim_lose (uint32_t first, uint32_t n);
/* Requests a planned stop. */
void
quota_sim_stop (uint32_t first, uint32_t n);
void
quota_sim_restart (uint32_t first, uint32_t n);
/* Cut them off from all other gateways, but not from callers; with split, they reach each other. */
void
quota_sim_isolate (uint32_t first, uint32_t n);
void
quota_sim_split (uint32_t first, uint32_t n);
/* Four of five of the messages that they send or receive are lost. */
void
quota_sim_set_lossy (uint32_t first, uint32_t n, bool lossy);

/* What they send is lost, but they receive. */
void
quota_sim_mute (uint32_t first, uint32_t n);
/* The tokens that they grant are lost; their heartbeats arrive. */
void
quota_sim_set_silent (uint32_t first, uint32_t n, bool silent);
/* Every second gateway receives nothing from them. */
void
quota_sim_hide (uint32_t first, uint32_t n);

/* One of ten requests that wait for their customer's limit is ended, by its caller or its deadline,
 * and one of ten that were admitted is refused by all servers some time later. */
void
quota_sim_set_ending (bool ending);

/* Ends all cuts. */
void
quota_sim_reconnect (void);

/* Changes the customer's rate and burst at all gateways; the bound applies to windows that begin
 * from now on. */
void
quota_sim_set_limit (uint32_t customer, double rate_per_s);

/* With limits shared by leases: returns the gateway that owns the customer, if all gateways
 * that run are known to each other. */
uint32_t
quota_sim_owner (uint32_t customer);

/* Numbers of requests over all customers since the last call of quota_sim_reset_counts. */
struct QuotaSimCounts
{
  uint32_t n_admitted, n_rejected;
  uint32_t n_uncertain; /* included in n_rejected: no owner responded */
};

void
quota_sim_reset_counts (void);
struct QuotaSimCounts
quota_sim_counts (void);

/* Prints the customer's results. Returns its fullest window as a fraction of the bound. */
double
quota_sim_check (uint32_t customer, const char *title);
/* Returns the number of the customer's programs that began and failed on a refused request. */
uint32_t
quota_sim_failed (uint32_t customer);
