/* Mechanisms that decide where requests go, when, and how often, each with a switch.
 *
 * All are on; operators switch one off to see what it is worth where they are, or when they suspect
 * it. What must hold does not depend on any of them. */
#pragma once

#include <stdint.h>

/* 1: on. */
struct Decisions
{
  int32_t sessions;  /* a session's turns go where its last turn ran */
  int32_t parts;     /* shared parts of prompts draw requests to servers that read them */
  int32_t objects;   /* requests that concern one object meet on one server */
  int32_t zones;     /* servers of the gateway's own availability zone go first */
  int32_t failures;  /* servers that fail what they are sent get less */
  int32_t owners;    /* an engine's owner says when a turn may be sent there */
  int32_t order;     /* owners order by program; off: in order of arrival */
  int32_t patience;  /* a silent server's repeatable request goes to another one */
  int32_t resume;    /* a stream that broke off goes on at another server */
  int32_t under_way; /* a customer's limit is spent on programs under way before others */
};
