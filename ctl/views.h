/* What each operators' answer looks like to a person. */
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
/* The profile's text as it was applied, so that it can be edited and applied again. */
void
view_profile (FILE *out, const json_t *body);
void
view_services (FILE *out, const json_t *body);
void
view_audit (FILE *out, const json_t *body);
void
view_object (FILE *out, const json_t *body);
