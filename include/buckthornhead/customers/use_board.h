/* What other gateways told of customers' use, and its sums.
 *
 * A gateway tells its own use to the aggregators of its zone; these tell the zone's sum to those of
 * other zones, and the fleet's to their members. Two aggregators of a zone say nearly the same: the
 * one heard last counts. Whoever is silent for long counts no more. Pure. */
#pragma once

#include <buckthornhead/customers/quota.h>

/* Whose use a message sums. */
enum UseScope
{
  USE_OF_GATEWAY = 0, /* the sender's own */
  USE_OF_ZONE = 1,    /* of all gateways of the sender's zone */
  USE_OF_FLEET = 2    /* of all gateways, for those of the sender's zone */
};

struct UseReport
{
  enum UseScope scope;
  char zone[NAME_MAX_BYTES + 1]; /* of the sender */
  struct CustomerUse *uses;
  size_t n_uses;
};

struct UseBoard;

/* NULL without memory. */
struct UseBoard *
use_board_new (TALLOC_CTX *ctx);

/* A newer word of the same sender and scope takes the place of the older one. */
void
use_board_take (struct UseBoard *board,
                const char *sender,
                const struct UseReport *report,
                int64_t now_ms);

/* The sum of own, and of what the gateways that report here told of themselves; for USE_OF_FLEET
 * with other zones'. Belongs to ctx; NULL without memory. */
struct CustomerUse *
use_board_sum (struct UseBoard *board,
               TALLOC_CTX *ctx,
               enum UseScope scope,
               const struct CustomerUse *own,
               size_t n_own,
               int64_t now_ms,
               size_t *n_uses);

/* The last word about the fleet; NULL when there is none that still counts. */
const struct UseReport *
use_board_fleet (struct UseBoard *board, int64_t now_ms);

/* When any gateway was heard last; 0: never. */
int64_t
use_board_received_ms (const struct UseBoard *board);
