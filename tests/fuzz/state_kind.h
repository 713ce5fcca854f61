/* The first byte of an input of fuzz_state, modulo N_STATES, selects the format. */
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
