/* Fair sharing of one backend server between the services waiting for it, by weighted virtual time.
 *
 * Each service has two heaps of waiting calls: those whose program is admitted to the server's
 * cache (ready) and those whose program is not (unadmitted). A service's virtual time grows with
 * the tokens it has received, divided by its share. Services are compared by virtual time in steps
 * of a slack, and within one step by their most urgent call: so urgency decides between services
 * that are about even, and fairness once one runs ahead. */
#pragma once

#include <buckthornhead/policy.h>

#include "policy_heap.h"
#include "policy_table.h"

struct FairService
{
  struct TableNode by_name;
  char name[NAME_MAX_BYTES + 1];
  struct PolicyWeights weights; /* as last pushed */
  double virtual_tokens;
  struct PolicyHeap ready, unadmitted;
  struct HeapNode ready_node, unadmitted_node;
  uint32_t n_waiting;
  /* Learned values: */
  double generated_tokens; /* of one call */
  double pause_ms;         /* between a program's calls */
  double wait_new_ms;      /* of its programs' first calls */
  int64_t wait_new_at_ms;  /* when the last of these was sent */
};

struct FairShare
{
  struct PolicyTable services;
  struct PolicyHeap ready, unadmitted; /* of services */
  double virtual_tokens;               /* of the service served last */
};

/* Returns the service of that name, created if new; NULL when out of memory. */
struct FairService *
fair_share_service (TALLOC_CTX *ctx, struct FairShare *fair, const char *name);

/* Add and remove a waiting call's node. */
bool
fair_share_add (TALLOC_CTX *ctx,
                struct FairShare *fair,
                struct FairService *service,
                struct HeapNode *node,
                bool ready);
void
fair_share_remove (TALLOC_CTX *ctx,
                   struct FairShare *fair,
                   struct FairService *service,
                   struct HeapNode *node,
                   bool ready);

/* Charges the service for tokens it has received; tokens is negative if it received fewer than
 * charged before. */
void
fair_share_charge (TALLOC_CTX *ctx,
                   struct FairShare *fair,
                   struct FairService *service,
                   double tokens);
