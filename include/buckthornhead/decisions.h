/* Switches for the mechanisms that decide where, when and how often requests are sent.
 *
 * All are on by default. Operators switch one off to measure its effect in their deployment, or
 * when they suspect it of a fault. No guarantee of the system depends on any of them. */
#pragma once

#include <stdint.h>

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
};
