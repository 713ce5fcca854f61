/* What the fuzz targets share. A broken property stops the process, as a crash does. */
#pragma once

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#define FUZZ_REQUIRE(condition)                                                                    \
  do                                                                                               \
    if (!(condition))                                                                              \
      {                                                                                            \
        fprintf (stderr, "%s:%d: does not hold: %s\n", __FILE__, __LINE__, #condition);            \
        abort ();                                                                                  \
      }                                                                                            \
  while (0)

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n_bytes);
