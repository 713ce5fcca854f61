/* Print the responses of the operators' interface as text. */
#pragma once

#include <jansson.h>
#include <stdio.h>

typedef void (*ViewFn) (FILE *out, const json_t *body);

void
view_status (FILE *out, const json_t *body);
void
view_instances (FILE *out, const json_t *body);
void
view_backends (FILE *out, const json_t *body);
void
view_programs (FILE *out, const json_t *body);
void
view_profiles (FILE *out, const json_t *body);
/* Prints the text of the profile as it was applied, below a comment with its revision, so that it
 * can be edited and applied again. */
void
view_profile (FILE *out, const json_t *body);
void
view_services (FILE *out, const json_t *body);
void
view_audit (FILE *out, const json_t *body);
void
view_object (FILE *out, const json_t *body);
