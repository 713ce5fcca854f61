/* How a change of the configuration and a checkpoint are packed. */
#pragma once

#include <buckthornhead/config_log.h>

enum
{
  CONFIG_TEXT_MAX_BYTES = 256 * 1024 /* a change holds two texts and fits into one value */
};

/* A change as the key-value service keeps it. */
int32_t
config_change_pack (TALLOC_CTX *ctx,
                    const struct ConfigChange *change,
                    uint8_t **packed,
                    size_t *n_bytes);
int32_t
config_change_unpack (TALLOC_CTX *ctx,
                      const uint8_t *packed,
                      size_t n_bytes,
                      struct ConfigChange **change);

/* What instances pass on: a value of the key-value service and the revision it stands for. */
enum ConfigParcelKind
{
  CONFIG_PARCEL_ENTRY = 1,
  CONFIG_PARCEL_CHECKPOINT = 2
};
struct ConfigParcel
{
  enum ConfigParcelKind kind;
  uint64_t revision;
  const uint8_t *value;
  size_t value_bytes;
};
int32_t
config_parcel_pack (TALLOC_CTX *ctx,
                    const struct ConfigParcel *parcel,
                    uint8_t **packed,
                    size_t *n_bytes);
/* The value belongs to ctx. */
int32_t
config_parcel_unpack (TALLOC_CTX *ctx,
                      const uint8_t *packed,
                      size_t n_bytes,
                      struct ConfigParcel *parcel);
