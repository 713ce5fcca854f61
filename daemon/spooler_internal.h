/* Internals shared by spooler.c (stores records on this instance's disk, as a holder),
 * spooler_writer.c (sends this instance's records to holders) and spooler_collect.c (reads a failed
 * home's records from holders). */
#pragma once

#include "spooler.h"

enum
{
  SPOOL_COPIES = 2
};

/* A put of another instance that waits for the next sync. */
struct SpoolerAck
{
  struct SpoolerAck *next;
  uint64_t link, id;
};

/* One copy of a record, sent to an instance with a disk. */
struct SpoolerCopy
{
  char instance[NAME_MAX_BYTES + 1];
  char zone[NAME_MAX_BYTES + 1];
  uint64_t link, id;
  bool sent, durable;
};

struct SpoolerWrite
{
  struct SpoolerWrite *next;
  uint64_t number;
  uint8_t *record;
  size_t n_bytes;
  struct SpoolerCopy copies[SPOOL_COPIES];
  JournalDone done;
  void *data;
};

struct SpoolerCollect;

struct Spooler
{
  struct Core *core;
  struct Spool *spool; /* NULL: no disk here */
  bool registered, registering;
  int64_t register_next_ms;
  uint64_t next_id;
  struct SpoolerAck *acks;
  /* Writer. */
  char incarnation[INCARNATION_MAX_BYTES + 1];
  uint64_t next_number, dropped_number;
  struct SpoolerWrite *first, **last;
  bool sealed; /* a holder reported that this writer was sealed */
  /* Instances that hold records of this writer. */
  char holders[16][NAME_MAX_BYTES + 1];
  uint32_t n_holders;
  struct SpoolerCollect *collects;
};

void
spooler_writer_tick (struct Spooler *spooler);
bool
spooler_writer_on_response (struct Spooler *spooler,
                            uint64_t link,
                            const struct PeerResponse *response);
void
spooler_writer_on_closed (struct Spooler *spooler, uint64_t link);

void
spooler_collect_tick (struct Spooler *spooler);
void
spooler_collect_record (struct Spooler *spooler, const struct PeerMessage *message);
bool
spooler_collect_on_response (struct Spooler *spooler, const struct PeerResponse *response);
void
spooler_collect_on_closed (struct Spooler *spooler, uint64_t link);
