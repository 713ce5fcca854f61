/* Profiles and the operators' configuration: named profiles, and which service runs under which.
 *
 * Pure: text in, checked structures out. Where changes are kept is config_log.h. */
#pragma once

#include <buckthornhead/error.h>
#include <buckthornhead/policy.h>

#include <talloc.h>

/* One profile, as checked from its INI text. */
struct Profile
{
  char name[NAME_MAX_BYTES + 1];
  struct PolicyWeights weights;
  uint64_t program_budget_tokens; /* a program's budget when its caller names none, and its cap */
  uint32_t turn_limit;            /* most turns of a program: stops endless loops */
  uint32_t program_deadline_s;    /* 0: none */
  uint32_t call_timeout_ms;
  uint32_t reserve_tokens_max; /* most that one call may reserve */
};

/* One fault in a file. */
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

/* Checks text as a profile; all faults in one run, by line. ERROR_INVALID when there is any, and
 * *profile is then not to be used. faults is a talloc object (zeroed), or NULL. */
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

/* By line; faults of one line keep their order. */
void
config_faults_sort (struct ConfigFaults *faults);

/* One line a fault, "FILE:LINE: KEY: MESSAGE; REMEDY"; belongs to ctx. */
char *
config_faults_render (TALLOC_CTX *ctx, const struct ConfigFaults *faults);
