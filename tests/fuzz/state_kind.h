/* First byte of fuzz_state's inputs, modulo N_STATES. */
#pragma once

enum StateKind
{
  STATE_GROUP,
  STATE_CHANGE,
  STATE_PARCEL,
  STATE_FOLD,
  STATE_MEMBER,
  STATE_SNAPSHOT,
  N_STATES
};
