#ifndef PU_DOCUMENT_INTERNAL_H
#define PU_DOCUMENT_INTERNAL_H

#include "document/document.h"

G_BEGIN_DECLS

/* Private to the slice.  The first part is what the schema fills in; the
   tables are made of it.  */
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
  pu_model_handle_t *by_base;           /* adapters, grouped by their base */
  guint *first_adapter; /* by model handle, one more: index into by_base */
  GHashTable *hosts;    /* lower case -> GArray of route handles, those with
                           the longest prefix first */
};

/* Cross checks add at most this many findings.  */
#define PU_DOCUMENT_FINDINGS_MAX 200

extern const pu_schema_t pu_document_schema;

/* pu_document_check_not_repeatable - a pu_string_check_t for an entry
   "METHOD /path-prefix".  */
const char *pu_document_check_not_repeatable (const char *s);

/* pu_document_check - adds a finding for each rule between rows that D breaks.
   Names are resolved already.  */
void pu_document_check (const pu_document_t *d, pu_findings_t *f);

/* pu_routes_make - the tables of D's routes, once services have handles.  */
void pu_routes_make (pu_document_t *d);
void pu_routes_clear (pu_document_t *d);

/* pu_document_check_prefix, pu_document_check_host - pu_string_check_t.  */
const char *pu_document_check_prefix (const char *s);
const char *pu_document_check_host (const char *s);

/* Faults that the tests put in, to show that they would see them.  */
typedef enum
{
  PU_DOCUMENT_BREAK_NONE,
  PU_DOCUMENT_BREAK_BOUND, /* the sum forgets a server */
  PU_DOCUMENT_BREAK_PACK   /* a model goes where accelerators are too few */
} pu_document_break_t;

/* pu_document_judge_fit - pu_document_check_fit with the fault BROKEN.  */
pu_fit_t pu_document_judge_fit (const pu_document_t *d, const pu_capacity_t *c,
                                size_t n, pu_document_break_t broken,
                                pu_findings_t *f);

G_END_DECLS

#endif
