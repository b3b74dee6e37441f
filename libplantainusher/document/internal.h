#ifndef PU_DOCUMENT_INTERNAL_H
#define PU_DOCUMENT_INTERNAL_H

#include "document/document.h"

G_BEGIN_DECLS

/* Used only in libplantainusher/document.  Reading a JSON document by
   pu_document_schema fills in the fields from services to version_change; the
   lookup tables below them are built from these fields.  */
struct pu_document
{
  pu_json_rows_t services; /* pu_service_t, sorted by name */
  pu_json_rows_t bases;    /* pu_model_t, sorted by name */
  pu_json_rows_t adapters; /* pu_model_t, sorted by name */
  pu_json_rows_t routes;   /* pu_route_t, sorted by name */
  pu_caller_limits_t callers;
  const char *source;
  pu_placement_settings_t placement;
  pu_version_change_t version_change;

  guint refs;
  pu_json_arena_t *arena;
  char *text;
  pu_model_t *models; /* base models and adapters, sorted by name */
  guint n_models;
  GHashTable *service_names;            /* service name -> handle + 1 */
  GHashTable *model_names;              /* model name -> handle + 1 */
  pu_service_handle_t *default_service; /* default service of each model, by
                                           model handle */
  pu_model_handle_t *adapters_by_base;  /* handles of the adapters, grouped by
                                           base model */
  guint *first_adapter;    /* by model handle: index in adapters_by_base of the
                              first adapter of the model; one more element holds
                              the end of the last group */
  pu_json_rows_t teams;    /* of pu_team_t, sorted by name */
  GHashTable *team_names;  /* team name -> handle + 1 */
  GHashTable *key_digests; /* SHA-256 of a key -> handle of its team + 1 */
  guint8 *ranks; /* by team and route priority: rank of the pair; NULL: no team
                    has a priority */
  GHashTable *hosts; /* host in lower case -> GArray of route handles,
                        longest path prefix first */
};

/* Maximum number of findings that pu_document_check adds.  */
#define PU_DOCUMENT_FINDINGS_MAX 200

extern const pu_schema_t pu_document_schema;

/* pu_document_check_not_repeatable - checks an entry "METHOD /path-prefix" of
   not_repeatable.  A pu_string_check_t: returns the fault, or NULL.  */
const char *pu_document_check_not_repeatable (const char *s);

/* pu_document_check - adds a finding for each violation of a rule that spans
   several fields or rows.  The names in D must have been resolved to
   handles.  */
void pu_document_check (const pu_document_t *d, pu_findings_t *f);

/* pu_routes_build - builds the lookup table of D's routes.  The handles of D's
   services must be known, since the routes' service names are resolved to
   them.  */
void pu_routes_build (pu_document_t *d);
void pu_routes_clear (pu_document_t *d);

/* pu_teams_build - builds the lookup tables of D's teams.  */
void pu_teams_build (pu_document_t *d);
void pu_teams_clear (pu_document_t *d);

/* pu_document_check_key - checks a team's key.  A pu_string_check_t: returns
   the fault, or NULL.  */
const char *pu_document_check_key (const char *s);

/* pu_teams_check_keys - calls FN for each key that an earlier key of D equals:
   TEAM and INDEX are its place, FIRST the team that holds the earlier one.  */
typedef void pu_key_repeated_fn (void *data, const pu_team_t *team,
                                 guint index, const pu_team_t *first);
void pu_teams_check_keys (const pu_document_t *d, pu_key_repeated_fn *fn,
                          void *data);

/* pu_document_check_prefix, pu_document_check_host - check the path prefix and
   the host of a route.  Each is a pu_string_check_t: returns the fault, or
   NULL.  */
const char *pu_document_check_prefix (const char *s);
const char *pu_document_check_host (const char *s);

/* Faults that tests inject to show that their checks detect them.  */
typedef enum
{
  PU_DOCUMENT_BREAK_NONE,
  PU_DOCUMENT_BREAK_TOTAL_MEMORY, /* the total memory of the servers omits one
                                     server */
  PU_DOCUMENT_BREAK_ACCELERATORS  /* packing ignores how many accelerators a
                                     model needs */
} pu_document_break_t;

/* pu_document_check_fit_with_break - pu_document_check_fit with the injected
   fault TEST_BREAK.  */
pu_fit_t pu_document_check_fit_with_break (const pu_document_t *d,
                                           const pu_capacity_t *c, size_t n,
                                           pu_document_break_t test_break,
                                           pu_findings_t *f);

G_END_DECLS

#endif
