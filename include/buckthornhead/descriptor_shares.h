/* Divides the descriptors that a process may open, so that its callers cannot use up those that it
 * needs to serve them. */
#pragma once

#include <buckthornhead/error.h>

#include <stdint.h>

enum
{
  DESCRIPTORS_MIN = 40 /* with fewer, a process may be unable to serve a single request */
};

/* Numbers of connections, by kind. */
struct DescriptorShares
{
  uint32_t callers, ready, directory, metrics, operators;
  uint32_t servers; /* to backend servers */
};

/* Sets each share to the wanted number, or to its part of limit if that is less. What the shares
 * leave, more than an eighth of limit, is for links to peers and archives, the store, the listeners
 * and files. Returns ERROR_INVALID, with fault, when limit is below DESCRIPTORS_MIN. */
int32_t
descriptor_shares (uint64_t limit,
                   const struct DescriptorShares *wanted,
                   struct DescriptorShares *shares,
                   struct Fault *fault);
