#ifndef PU_DOCUMENT_INTERNAL_H
#define PU_DOCUMENT_INTERNAL_H

#include "document/document.h"

G_BEGIN_DECLS

/* Used only in libplantainusher/document.  The schema fills in the first group
   of fields; the lookup tables are built from them.  */
struct pu_document
{
  pu_json_rows_t services; /* pu_service_t, by name */
  pu_json_rows_t bases;    /* pu_model_t, by name */
  pu_json_rows_t adapters; /* pu_model_t, by name */
  pu_json_rows_t routes;   /* pu_route_t, by name */
  pu_caller_limits_t callers;
  const char *source;
  pu_placement_settings_t placement;
  pu_version_change_t version_change;

  guint refs;
  pu_json_arena_t *arena;
  char *text;
  pu_model_t *models; /* bases and adapters, by name */
  guint n_models;
  GHashTable *service_names;            /* name -> handle + 1 */
  GHashTable *model_names;              /* name -> handle + 1 */
  pu_service_handle_t *default_service; /* by model handle */
  pu_model_handle_t *adapters_by_base;  /* adapters, grouped by their base */
  guint *first_adapter; /* by model handle: index into adapters_by_base; has
                           one more element, the end of the last group */
  GHashTable *hosts;    /* lower case -> GArray of route handles, those with
                           the longest prefix first */
};

/* pu_document_check adds at most this many findings.  */
#define PU_DOCUMENT_FINDINGS_MAX 200

extern const pu_schema_t pu_document_schema;

/* pu_document_check_not_repeatable - a pu_string_check_t for an entry
   "METHOD /path-prefix".  */
const char *pu_document_check_not_repeatable (const char *s);

/* pu_document_check - adds a finding for each violation of a rule that spans
   several fields or rows.  Names must have been resolved.  */
void pu_document_check (const pu_document_t *d, pu_findings_t *f);

/* pu_routes_build - builds the lookup table of D's routes.  Services must have
   handles.  */
void pu_routes_build (pu_document_t *d);
void pu_routes_clear (pu_document_t *d);

/* pu_document_check_prefix, pu_document_check_host - pu_string_check_t.  */
const char *pu_document_check_prefix (const char *s);
const char *pu_document_check_host (const char *s);

/* Faults that tests inject to show that their checks detect them.  */
typedef enum
{
  PU_DOCUMENT_BREAK_NONE,
  PU_DOCUMENT_BREAK_TOTAL_MEMORY, /* total memory omits one server */
  PU_DOCUMENT_BREAK_ACCELERATORS  /* packing ignores the number of
                                    accelerators */
} pu_document_break_t;

/* pu_document_check_fit_with_break - pu_document_check_fit with the fault
   TEST_BREAK.  */
pu_fit_t pu_document_check_fit_with_break (const pu_document_t *d,
                                           const pu_capacity_t *c, size_t n,
                                           pu_document_break_t test_break,
                                           pu_findings_t *f);

G_END_DECLS

#endif
