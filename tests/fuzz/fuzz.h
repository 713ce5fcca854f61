/* Shared by the fuzz targets. A violated property aborts the process, so that it is found as a
 * crash is. */
#pragma once

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#define FUZZ_REQUIRE(condition)                                                                    \
  do                                                                                               \
    if (!(condition))                                                                              \
      {                                                                                            \
        fprintf (stderr, "%s:%d: property violated: %s\n", __FILE__, __LINE__, #condition);        \
        abort ();                                                                                  \
      }                                                                                            \
  while (0)

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n_bytes);
