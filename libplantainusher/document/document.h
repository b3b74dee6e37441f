#ifndef PU_DOCUMENT_DOCUMENT_H
#define PU_DOCUMENT_DOCUMENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "base/findings.h"
#include "base/json.h"

G_BEGIN_DECLS

/*
 * document - the desired configuration of the system, as operators submit it.
 *
 * The text is one strict JSON object; docs/DOCUMENT.md lists every field:
 *
 *   {
 *     "services": {
 *       "tutor": {"kind": "model", "models": ["small", "small-en"],
 *                 "importance": 7,
 *                 "targets": {"first_token_ms": 800, "per_token_ms": 60},
 *                 "timeout_ms": 60000, "max_concurrency": 64,
 *                 "max_queue": 128},
 *       "board": {"kind": "plain", "targets": {"answer_ms": 200},
 *                 "not_repeatable": ["POST /rooms/assign"],
 *                 "claim_window_s": 600}
 *     },
 *     "models": {
 *       "small": {"version": "3", "memory_mb": 14000, "kv_cache_mb": 6000}
 *     },
 *     "adapters": {
 *       "small-en": {"base": "small", "version": "1", "memory_mb": 200}
 *     },
 *     "routes": {
 *       "rooms": {"host": "rooms.example", "path_prefix": "/state/",
 *                 "to": [{"service": "board", "weight": 1}],
 *                 "timeout_ms": 800, "target_ms": 100}
 *     },
 *     "placement": {"moves_weight": 0.5, "store_loads_per_s": 2,
 *                   "store_full_speed": 3},
 *     "version_change": {"watch_s": 60, "max_failures": 3}
 *   }
 *
 * A parsed document is immutable and reference-counted.  Services, models and
 * routes are rows of tables.  A handle is the index of a row and is valid for
 * that document only.  Rows are sorted by name, so that the same text gives
 * the same handles on every daemon.  Models and adapters share one table and
 * one name space, since a caller names either in `model`.
 */

typedef struct pu_document pu_document_t;
typedef guint32 pu_model_handle_t;
typedef guint32 pu_service_handle_t;

/* A handle that refers to no row.  */
#define PU_HANDLE_NONE G_MAXUINT32

/* Longest name of a service, model, adapter or version, in bytes.  */
#define PU_DOCUMENT_NAME_MAX 64

/* Longest document, in bytes; the same as PU_DOCUMENT_MAX of the log.  */
#define PU_DOCUMENT_TEXT_MAX ((size_t)4194304)

/* Texts of at least this many bytes take tens of milliseconds to parse, or a
   second on a small processor share, and must not be parsed on an event loop.
   Parsing accesses only its arguments and can run on another thread.  */
#define PU_DOCUMENT_LONG_BYTES ((size_t)65536)

typedef enum
{
  PU_SERVICE_MODEL, /* requests to model engines */
  PU_SERVICE_PLAIN  /* requests to plain backend servers */
} pu_service_kind_t;

typedef enum
{
  PU_MODEL_BASE,   /* a complete model */
  PU_MODEL_ADAPTER /* loaded on an engine that holds its base */
} pu_model_kind_t;

/* Latency targets in milliseconds.  A request that meets them counts as
   answered within target.  */
typedef struct
{
  guint32 first_token_ms; /* model services; else 0 */
  guint32 per_token_ms; /* model services: mean time between tokens; else 0 */
  guint32 answer_ms;    /* plain services: the complete answer; else 0 */
} pu_targets_t;

/* Properties of a service's engines, which are all of one type.  */
typedef struct
{
  guint32 slots;          /* requests in one engine's batch; 0: unknown */
  guint32 kv_tokens;      /* capacity of its KV cache; 0: unknown */
  guint32 adapter_places; /* adapters loaded at once; 0: no limit */
  guint32 memory_mb;      /* for weights and adapters; 0: as announced */
  guint32 host_mb;        /* for copies of weights in host memory */
  guint32 disk_mb;        /* for copies of weights on its own disk */
  guint32 event_tokens;   /* tokens in one event of a stream */
} pu_engine_class_t;

typedef struct
{
  const char *name;
  guint32 kind;       /* pu_service_kind_t */
  guint32 importance; /* 1..10, 10 is the highest */
  pu_targets_t targets;
  guint32 timeout_ms;      /* when the caller gives none */
  guint32 max_concurrency; /* requests running at once in the whole system */
  guint32 max_queue;       /* requests waiting at once at one entry */
  guint32 claim_window_s;  /* how long an at-most-once key is kept */
  guint32 connections;     /* per backend server; 0: no limit */
  const char *health_path; /* path of the health check; "": none */
  pu_engine_class_t engine;
  pu_json_strings_t model_names;    /* as listed */
  pu_json_strings_t not_repeatable; /* "METHOD /path-prefix" */
  const pu_model_handle_t *models;  /* model_names.n of them, as listed */
} pu_service_t;

typedef struct
{
  const char *name;
  pu_model_kind_t kind;
  const char *base_name;  /* adapters; else "" */
  pu_model_handle_t base; /* adapters; else PU_HANDLE_NONE */
  const char *version;
  const char *previous_version; /* to roll back to; "" for none */
  guint32 memory_mb;            /* weights, on each accelerator it uses */
  guint32 kv_cache_mb;          /* reserved on each accelerator; adapters: 0 */
  guint32 accelerators; /* tensor-parallel width; adapters: the base's */
  guint32 min_copies;   /* >= 1 */
  guint32 max_copies;   /* >= min_copies */
  guint32 load_ms; /* from the weights store; here and below, 0: unknown */
  guint32 disk_load_ms; /* from the engine's own disk */
  guint32 host_load_ms; /* from its host's memory */
  bool on_demand;       /* adapters: loaded on a request, where their base is
                           ready; no minimum number of copies is kept */
} pu_model_t;

/* The form of a route's answers.  */
typedef enum
{
  PU_ROUTE_WHOLE, /* one complete response */
  PU_ROUTE_STREAM /* numbered server-sent events */
} pu_route_answer_t;

/* A destination of a route, which gets a share of the requests in proportion
   to its weight.  */
typedef struct
{
  const char *service_name;
  guint32 weight;
  pu_service_handle_t service;
} pu_route_part_t;

/* Requests that are matched by host and path.  */
typedef struct
{
  const char *name;
  const char *host;
  const char *path_prefix; /* begins and ends with a slash */
  guint32 answer;          /* pu_route_answer_t */
  bool repeatable;         /* a request may be executed more than once */
  bool resumable;          /* an interrupted stream may resume on another
                              backend server */
  guint32 attempts;        /* most backend servers tried for one request */
  guint32 timeout_ms;      /* longest that a caller waits */
  guint32 target_ms;       /* until the first event or the complete answer */
  guint32 gap_ms;          /* longest time between two events; 0: no target */
  guint32 patience_ms;  /* callers disconnect after this time without a first
                           event; 0: at the timeout */
  bool serve_late;      /* an answer after the target is still useful */
  guint32 priority;     /* 0..9, 9 is the highest */
  pu_json_rows_t parts; /* pu_route_part_t */
  guint32 weight_sum;   /* sum of the parts' weights */
} pu_route_t;

/* Limits on the size and the duration of callers' requests.  The daemon's own
   settings apply where they are lower, and where a field here is 0.  */
typedef struct
{
  guint32 max_header_bytes;
  guint32 max_body_bytes;
  guint32 header_timeout_ms;
  guint32 idle_timeout_ms;
} pu_caller_limits_t;

typedef guint32 pu_route_handle_t;

typedef struct
{
  double moves_weight;      /* 0: maximizes the share of requests answered
                               within target; 1: minimizes moves */
  double store_loads_per_s; /* loads that may start per second */
  guint32 store_full_speed; /* concurrent loads that the store serves at full
                               speed */
  guint32 min_stay_s;       /* the planner counts the move of a copy that
                               has been ready for less time as costlier */
  guint32 payback_s;        /* period over which a move's gain must exceed its
                               cost */
  bool zone_spread;         /* prefer different zones for copies of a model */
} pu_placement_settings_t;

/* Replacement of a model version.  The new version is loaded while the old one
   still serves, monitored, and rolled back when it fails.  */
typedef struct
{
  guint32 watch_s;      /* from ready until the old version is unloaded */
  guint32 max_failures; /* failed loads or crashes until the roll-back */
} pu_version_change_t;

/* pu_document_parse - reads LEN bytes of TEXT.  Adds a finding to F for each
   fault, with its JSON pointer, or with line and column for bad syntax.
   Returns a document with one reference, or NULL when there is a finding.  */
pu_document_t *pu_document_parse (const char *text, size_t len,
                                  pu_findings_t *f);

/* pu_document_from_json - as pu_document_parse, for VALUE, whose reference
   the caller keeps.  */
pu_document_t *pu_document_from_json (const json_t *value, pu_findings_t *f);

/* pu_document_load - as pu_document_parse, for a canonical text from the log.
   The document stores no text, since writing it takes a third of the time of
   pu_document_parse.  */
pu_document_t *pu_document_load (const char *text, size_t len,
                                 pu_findings_t *f);

pu_document_t *pu_document_ref (pu_document_t *d);
/* pu_document_unref - frees D with its last reference; NULL is allowed.  */
void pu_document_unref (pu_document_t *d);

/* pu_document_text - the canonical text: as submitted, with sorted keys and
   an indent of two.  Parsing it gives an equal document and the same text.
   Owned by D; NULL for one that was made by pu_document_load.  */
const char *pu_document_text (const pu_document_t *d);

/* pu_document_effective - a new JSON object with every field, those left out
   in the text at their defaults.  The caller owns it.  */
json_t *pu_document_effective (const pu_document_t *d);

guint pu_document_services (const pu_document_t *d); /* number of rows */
guint pu_document_models (const pu_document_t *d);   /* adapters included */

/* pu_document_service, pu_document_model - the row of H; H must be valid.  */
const pu_service_t *pu_document_service (const pu_document_t *d,
                                         pu_service_handle_t h);
const pu_model_t *pu_document_model (const pu_document_t *d,
                                     pu_model_handle_t h);
const pu_placement_settings_t *pu_document_placement (const pu_document_t *d);
const pu_caller_limits_t *pu_document_caller_limits (const pu_document_t *d);

/* pu_document_source - the unchanged source text from which the submitter
   generated D; "" when there is none.  */
const char *pu_document_source (const pu_document_t *d);

guint pu_document_routes (const pu_document_t *d); /* number of rows */
const pu_route_t *pu_document_route (const pu_document_t *d,
                                     pu_route_handle_t h);

/* pu_document_route_named - whether D has a route called NAME.  */
bool pu_document_route_named (const pu_document_t *d, const char *name);

/* pu_document_find_route - the route of a request for HOST (without regard to
   case and port) and PATH (without a query): the route of that host with the
   longest matching path prefix, or PU_HANDLE_NONE.  */
pu_route_handle_t pu_document_find_route (const pu_document_t *d,
                                          const char *host, const char *path);

/* pu_route_choose_service - selects a service of R at random, in proportion to
   the weights.  DRAW is a random number.  */
pu_service_handle_t pu_route_choose_service (const pu_route_t *r,
                                             guint32 draw);

const pu_version_change_t *pu_document_version_change (const pu_document_t *d);

/* pu_document_find_service, pu_document_find_model - the handle of NAME (a
   model or an adapter), or PU_HANDLE_NONE.  */
pu_service_handle_t pu_document_find_service (const pu_document_t *d,
                                              const char *name);
pu_model_handle_t pu_document_find_model (const pu_document_t *d,
                                          const char *name);

/* pu_document_engine_class - the engine properties of SERVICE, or NULL when it
   is not declared.  */
const pu_engine_class_t *pu_document_engine_class (const pu_document_t *d,
                                                   const char *service);

/* pu_document_default_service - the service of a request that names only its
   model: the first, in order of name, that lists H.  */
pu_service_handle_t pu_document_default_service (const pu_document_t *d,
                                                 pu_model_handle_t h);

/* pu_document_service_lists_model - whether service S lists model M.  */
bool pu_document_service_lists_model (const pu_document_t *d,
                                      pu_service_handle_t s,
                                      pu_model_handle_t m);

/* pu_document_adapters - the handles of the adapters of base model H; sets N
   to their number.  Owned by D; NULL when there are none.  */
const pu_model_handle_t *pu_document_adapters (const pu_document_t *d,
                                               pu_model_handle_t h, guint *n);

/* pu_model_load_mb - memory that one copy takes on each accelerator:
   weights and reserved KV cache.  A load order reserves this amount.  */
guint32 pu_model_load_mb (const pu_model_t *m);

/* pu_service_not_repeatable - whether METHOD on PATH (below the service, with
   or without a query) matches an entry of S's not_repeatable.  A prefix
   matches whole segments; method `*` matches all.  PATH is normalized
   before the comparison: escapes are decoded, and empty segments, `.` segments
   and segment parameters are dropped.  Servers differ in whether they resolve
   `..`, so PATH matches if either form does.  */
bool pu_service_not_repeatable (const pu_service_t *s, const char *method,
                                const char *path);

/* pu_document_near_services, pu_document_near_models - up to three declared
   names similar to NAME, as one text such as "small, small-en"; "" when none
   is similar.  The caller frees it.  */
char *pu_document_near_services (const pu_document_t *d, const char *name);
char *pu_document_near_models (const pu_document_t *d, const char *name);

/* Capacity of one backend server.  */
typedef struct
{
  const char *name;
  guint32 accelerators;
  guint32 memory_mb; /* of each accelerator */
} pu_capacity_t;

typedef enum
{
  PU_FIT_PACKED,    /* a placement of all min_copies was found */
  PU_FIT_UNPROVED,  /* no placement was found or proved impossible */
  PU_FIT_IMPOSSIBLE /* proved; the findings give the reasons */
} pu_fit_t;

/* pu_document_check_fit - whether min_copies of every model fit N backend
   servers at C.  A copy takes its memory on every accelerator of the server
   that holds it, a server holds one copy of a model at most and must have at
   least the model's number of accelerators; an adapter needs its base on the
   same server.  Adds findings with the sums for PU_FIT_IMPOSSIBLE only.
   Returns PU_FIT_UNPROVED when N is 0.  */
pu_fit_t pu_document_check_fit (const pu_document_t *d, const pu_capacity_t *c,
                                size_t n, pu_findings_t *f);

/* pu_document_diff - the difference of two document texts as JSON values
   (NULL for none): a new array of {"path","kind","old","new"}, kind being
   added, removed or changed; old or new is left out where there is none.
   Objects are compared recursively.  Each entry added to or removed from a
   list of strings is reported at the list's path; any other list that differs
   is reported as one change.  The caller owns the result.  */
json_t *pu_document_diff (const json_t *older, const json_t *newer);

G_END_DECLS

#endif
