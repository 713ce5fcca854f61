/* Scheduling profiles: parsing and validation of their INI text, and faults in files.
 *
 * Does no I/O. config_log.h stores the profiles and assigns them to services. */
#pragma once

#include <buckthornhead/error.h>
#include <buckthornhead/policy.h>

#include <talloc.h>

/* A validated profile. */
struct Profile
{
  char name[NAME_MAX_BYTES + 1];
  struct PolicyWeights weights;
  uint64_t program_budget_tokens; /* default and upper limit of a program's budget */
  uint32_t turn_limit;            /* maximum turns per program, against endless loops */
  uint32_t program_deadline_s;    /* 0: no deadline */
  uint32_t call_timeout_ms;
  uint32_t reserve_tokens_max; /* maximum per call */
};

/* A fault in a file. */
struct ConfigFault
{
  char file[128];
  uint32_t line;
  char key[64];
  char message[FAULT_MESSAGE_BYTES];
  char remedy[FAULT_REMEDY_BYTES];
};

struct ConfigFaults
{
  struct ConfigFault *items; /* talloc array, child of the struct */
  size_t n_items;
};

/* Parses and validates a profile. Adds every fault in text, sorted by line. Returns ERROR_INVALID
 * if there is any; *profile is then invalid. faults is a zeroed talloc object or NULL. */
int32_t
profile_parse (const char *file,
               const char *text,
               struct Profile *profile,
               struct ConfigFaults *faults);

void
config_faults_add (struct ConfigFaults *faults,
                   const char *file,
                   uint32_t line,
                   const char *key,
                   const char *remedy,
                   const char *format,
                   ...) __attribute__ ((format (printf, 6, 7)));

/* Sorts by line; faults of one line keep their order. */
void
config_faults_sort (struct ConfigFaults *faults);

/* Returns one line per fault, "FILE:LINE: KEY: MESSAGE; REMEDY"; belongs to ctx. */
char *
config_faults_render (TALLOC_CTX *ctx, const struct ConfigFaults *faults);
