/* Packing of configuration changes, and of the entries and checkpoints that peers exchange. */
#pragma once

#include <buckthornhead/config_log.h>

enum
{
  CONFIG_TEXT_MAX_BYTES = 256 * 1024 /* two texts per change must fit into one value */
};

/* Packs and unpacks a change in the form in which the key-value service stores it. */
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

/* A value of the key-value service that is sent to a peer, with its revision. */
enum ConfigTransferKind
{
  CONFIG_TRANSFER_ENTRY = 1,
  CONFIG_TRANSFER_CHECKPOINT = 2
};
struct ConfigTransfer
{
  enum ConfigTransferKind kind;
  uint64_t revision;
  const uint8_t *value;
  size_t value_bytes;
};
int32_t
config_transfer_pack (TALLOC_CTX *ctx,
                      const struct ConfigTransfer *transfer,
                      uint8_t **packed,
                      size_t *n_bytes);
/* The value belongs to ctx. */
int32_t
config_transfer_unpack (TALLOC_CTX *ctx,
                        const uint8_t *packed,
                        size_t n_bytes,
                        struct ConfigTransfer *transfer);
