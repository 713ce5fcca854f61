/* Stand-in for the platform: its key-value service and its list of backend servers, over HTTP. */
#pragma once

#include <stdint.h>

struct Platform;

struct PlatformOptions
{
  const char *listen;         /* "IP:port"; port 0 takes a free one */
  uint32_t writes_per_s;      /* 0: no limit */
  uint32_t reads_per_s;       /* 0: no limit */
  const char *instances_file; /* JSON array; NULL: an empty list */
};

/* Returns NULL when it cannot listen on the address or cannot read the file. */
struct Platform *
platform_start (const struct PlatformOptions *options);
uint16_t
platform_port (const struct Platform *platform);
void
platform_stop (struct Platform *platform);
