/* Switches for the mechanisms that decide where, when and how often requests are sent.
 *
 * All are on by default but those with a mode. Operators switch one off to measure its effect in
 * their deployment, or when they suspect it of a fault. No guarantee of the system depends on any
 * of them. */
#pragma once

#include <stdint.h>

/* Whether a decision that answers shortage or uneven servers is made. */
enum DecisionMode
{
  DECISION_OFF,
  DECISION_ON,
  DECISION_AUTO /* only for services whose capacity is contended, as the deployment's settings or
                   the servers themselves report */
};

/* 1: on. */
struct Decisions
{
  int32_t sessions;  /* a session's turns are sent to the server of its last turn */
  int32_t parts;     /* servers that have processed a shared part of the prompt are preferred */
  int32_t objects;   /* requests for the same object are sent to the same server */
  int32_t zones;     /* servers of the gateway's own availability zone are preferred */
  int32_t failures;  /* servers with many failed requests are sent fewer */
  int32_t owners;    /* an engine's owner decides when a turn may be sent to it */
  int32_t order;     /* owners order turns by program; off: in order of arrival */
  int32_t patience;  /* a repeatable request is sent to another server when the first is silent */
  int32_t resume;    /* an interrupted stream is resumed on another server */
  int32_t under_way; /* a customer's limit serves running programs before new ones */

  /* An enum DecisionMode each; off by default. */
  int32_t admission;    /* programs that cannot end in time are rejected when they begin */
  int32_t pace;         /* servers are chosen by their measured and reported speed */
  int32_t plain_queues; /* requests to plain servers wait in the queue of the server's owner */
};
