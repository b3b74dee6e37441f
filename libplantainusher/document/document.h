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
typedef guint32 pu_team_handle_t;

/* A handle that refers to no row.  */
#define PU_HANDLE_NONE G_MAXUINT32

/* Maximum length in bytes of the name of a service, model or adapter, and of a
   version.  */
#define PU_DOCUMENT_NAME_MAX 64

/* Maximum length of a document in bytes; the same as PU_DOCUMENT_MAX of the
   replicated log.  */
#define PU_DOCUMENT_TEXT_MAX ((size_t)4194304)

/* Length in bytes from which a text must not be parsed on an event loop:
   parsing it takes tens of milliseconds, or a second on a small processor
   share.  Parsing accesses only its arguments and can run on another
   thread.  */
#define PU_DOCUMENT_LONG_BYTES ((size_t)65536)

typedef enum
{
  PU_SERVICE_MODEL, /* runs requests on model engines */
  PU_SERVICE_PLAIN  /* runs requests on plain backend servers */
} pu_service_kind_t;

typedef enum
{
  PU_MODEL_BASE,   /* a complete model */
  PU_MODEL_ADAPTER /* loaded on an engine that holds the base model */
} pu_model_kind_t;

/* Latency targets in milliseconds.  A request that meets them counts as
   answered within target.  */
typedef struct
{
  guint32 first_token_ms; /* model services: time to the first token; else 0 */
  guint32 per_token_ms;   /* model services: mean time between two tokens; else
                             0 */
  guint32 answer_ms;      /* plain services: time to the complete answer; else
                             0 */
} pu_targets_t;

/* Properties of a service's engines, which are all of one type.  */
typedef struct
{
  guint32 slots;          /* maximum of requests in the batch of one engine; 0:
                             unknown */
  guint32 kv_tokens;      /* capacity of one engine's KV cache; 0: unknown */
  guint32 adapter_places; /* maximum of adapters loaded on one engine; 0: no
                             limit */
  guint32 memory_mb;      /* memory for weights and adapters; 0: as the engine
                             announces */
  guint32 host_mb;        /* host memory for copies of weights */
  guint32 disk_mb;        /* space on the engine's own disk for copies of
                             weights */
  guint32 event_tokens;   /* number of tokens in one event of a stream */
} pu_engine_class_t;

typedef struct
{
  const char *name;
  guint32 kind;       /* pu_service_kind_t */
  guint32 importance; /* 1..10, 10 is the highest */
  pu_targets_t targets;
  guint32 timeout_ms;      /* deadline of a request whose caller gives none */
  guint32 max_concurrency; /* maximum of requests that run concurrently in the
                              whole system */
  guint32 max_queue;       /* maximum of requests that wait concurrently at one
                              entry */
  guint32 claim_window_s;  /* how long the Idempotency-Key of an at-most-once
                              request is stored */
  guint32 connections;     /* maximum of connections to one backend server; 0:
                              no limit */
  const char *health_path; /* path of the health check; "": no health check */
  pu_engine_class_t engine;
  pu_json_strings_t model_names;    /* names in the order of the document */
  pu_json_strings_t not_repeatable; /* entries "METHOD /path-prefix" of
                                       requests that run at most once */
  const pu_model_handle_t *models;  /* the handles of model_names, in the same
                                       order */
} pu_service_t;

typedef struct
{
  const char *name;
  pu_model_kind_t kind;
  const char *base_name;  /* adapters: name of the base model; else "" */
  pu_model_handle_t base; /* adapters: handle of the base model; else
                             PU_HANDLE_NONE */
  const char *version;
  const char *previous_version; /* version to roll back to; "": none */
  guint32 memory_mb;            /* memory for the weights on each accelerator
                                   that a copy uses */
  guint32 kv_cache_mb;          /* memory reserved for the KV cache on each
                                   accelerator; adapters: 0 */
  guint32 accelerators; /* accelerators that a copy uses (tensor-parallel
                           width); adapters: as the base model */
  guint32 min_copies;   /* >= 1 */
  guint32 max_copies;   /* >= min_copies */
  guint32 load_ms; /* time of a load from the weights store; 0 in this field
                      and the next two: unknown */
  guint32 disk_load_ms; /* time of a load from the engine's own disk */
  guint32 host_load_ms; /* time of a load from the memory of the engine's
                           host */
  bool on_demand;       /* adapters: loaded when a request needs it, on an
                           engine where the base model is ready; min_copies
                           does not apply */
} pu_model_t;

/* The form of the responses to the requests of a route.  */
typedef enum
{
  PU_ROUTE_WHOLE, /* one complete response */
  PU_ROUTE_STREAM /* numbered server-sent events */
} pu_route_answer_t;

/* A service to which a route sends a share of its requests, in proportion to
   the weight.  */
typedef struct
{
  const char *service_name;
  guint32 weight;
  pu_service_handle_t service;
} pu_route_part_t;

/* A route: the settings for requests that match a host and a path prefix.  */
typedef struct
{
  const char *name;
  const char *host;
  const char *path_prefix; /* begins and ends with a slash */
  guint32 answer;          /* pu_route_answer_t */
  bool repeatable;         /* a request may be executed more than once */
  bool resumable;          /* an interrupted stream may resume on another
                              backend server */
  guint32 attempts;        /* maximum of backend servers tried for one
                              request */
  guint32 timeout_ms;      /* maximum time that a caller waits for the
                              response */
  guint32 target_ms;       /* target time until the first event or the complete
                              response; 0: no target */
  guint32 gap_ms;          /* target for the longest time between two events;
                              0: no target */
  guint32 patience_ms;     /* time without a first event after which callers
                              disconnect; 0: the same as timeout_ms */
  bool serve_late;      /* a response that misses target_ms is still useful */
  bool public_access;   /* no key is needed */
  bool cost_of_delay;   /* requests are ordered by what a delay costs
                           (routing/delay_cost.h) */
  guint32 priority;     /* 0..9, 9 is the highest */
  pu_json_rows_t parts; /* services, of pu_route_part_t */
  guint32 weight_sum;   /* sum of the parts' weights */
} pu_route_t;

/* Limits on the size and the duration of callers' requests.  A limit in the
   settings of the daemon applies where it is lower than a field of this
   struct, or where that field is 0.  */
typedef struct
{
  guint32 max_header_bytes;
  guint32 max_body_bytes;
  guint32 header_timeout_ms;
  guint32 idle_timeout_ms;
} pu_caller_limits_t;

typedef guint32 pu_route_handle_t;

/* What the allowance of a team counts.  */
typedef enum
{
  PU_TEAM_REQUESTS,
  PU_TEAM_TOKENS /* tokens of the prompt and the most tokens of the output */
} pu_team_unit_t;

/* The priority of a team that has none.  */
#define PU_TEAM_PRIORITY_NONE 10

/* A team: a group of callers who share keys, a priority and an allowance.  */
typedef struct
{
  const char *name;
  pu_json_strings_t keys; /* secret; must not be written to logs */
  guint32 priority;       /* 0..9, 9 is the highest; or
                             PU_TEAM_PRIORITY_NONE */
  guint32 unit;           /* pu_team_unit_t */
  guint32 plain_tokens; /* tokens that a request counts as that states none */
  guint32 rate_per_s;   /* units per second, of all instances together; 0: no
                           limit */
  guint32 burst;        /* units beyond the rate; 0: none */
} pu_team_t;

typedef struct
{
  double moves_weight;      /* 0: maximizes the share of requests answered
                               within target; 1: minimizes the number of moves
                               of copies */
  double store_loads_per_s; /* rate of the weights store: model loads that it
                               can start per second */
  guint32 store_full_speed; /* concurrent model loads that the weights store
                               serves at full speed */
  guint32 min_stay_s;       /* the planner assigns a higher cost to moving a
                               copy that has been ready for less time */
  guint32 payback_s;        /* period in which the gain of moving a copy must
                               exceed the cost of the move */
  bool zone_spread;         /* prefer different availability zones for copies
                               of a model */
  bool restore_by_gain;     /* loads of missing copies and of copies for demand
                               are ordered by what they save callers */
  bool place_by_urgency;    /* what a copy saves is weighted by the urgency of
                               the requests */
  bool place_by_speed;      /* the capacity of an engine is divided by its
                               slowness */
} pu_placement_settings_t;

/* Settings for the replacement of a model version.  The new version is loaded
   while the old one still serves, is monitored, and is rolled back when it
   fails.  */
typedef struct
{
  guint32 watch_s;      /* time for which a ready new version is monitored
                           before the old version is unloaded */
  guint32 max_failures; /* failed loads or crashes of the new version that
                           cause the roll-back */
} pu_version_change_t;

/* pu_document_parse - reads LEN bytes of TEXT.  Adds a finding to F for each
   fault, with its JSON pointer, or with line and column for bad syntax.
   Returns a document with one reference, or NULL when there is a finding.  */
pu_document_t *pu_document_parse (const char *text, size_t len,
                                  pu_findings_t *f);

/* pu_document_from_json - as pu_document_parse, for the parsed JSON in VALUE.
   The calling function keeps its reference to VALUE.  */
pu_document_t *pu_document_from_json (const json_t *value, pu_findings_t *f);

/* pu_document_load - as pu_document_parse, for a canonical text from the
   replicated log.  The document does not store its text, since writing the
   text takes a third of the time of pu_document_parse.  */
pu_document_t *pu_document_load (const char *text, size_t len,
                                 pu_findings_t *f);

pu_document_t *pu_document_ref (pu_document_t *d);
/* pu_document_unref - drops a reference to D and frees D with the last one.  D
   may be NULL.  */
void pu_document_unref (pu_document_t *d);

/* pu_document_text - returns the canonical text: the document as submitted,
   with sorted keys and an indent of two spaces.  Parsing that text gives an
   equal document and the same text.  The result is owned by D; it is NULL for
   a document from pu_document_load.  */
const char *pu_document_text (const pu_document_t *d);

/* pu_document_effective - returns a new JSON object with every field; fields
   that the text omits have their defaults.  The calling function owns the
   object.  */
json_t *pu_document_effective (const pu_document_t *d);

guint pu_document_services (const pu_document_t *d); /* number of services */
guint pu_document_models (const pu_document_t *d);   /* number of models and
                                                        adapters */

/* pu_document_service, pu_document_model - return the row of the handle H,
   which must be valid.  */
const pu_service_t *pu_document_service (const pu_document_t *d,
                                         pu_service_handle_t h);
const pu_model_t *pu_document_model (const pu_document_t *d,
                                     pu_model_handle_t h);
const pu_placement_settings_t *pu_document_placement (const pu_document_t *d);
const pu_caller_limits_t *pu_document_caller_limits (const pu_document_t *d);

/* pu_document_source - returns the source text, byte for byte, from which the
   submitter generated the document D; "" when there is none.  */
const char *pu_document_source (const pu_document_t *d);

guint pu_document_routes (const pu_document_t *d); /* number of routes */
const pu_route_t *pu_document_route (const pu_document_t *d,
                                     pu_route_handle_t h);

/* pu_document_route_named - whether D has a route called NAME.  */
bool pu_document_route_named (const pu_document_t *d, const char *name);

/* pu_document_find_route - returns the route for a request with HOST (compared
   without regard to case and port) and PATH (without a query).  That is the
   route of HOST with the longest matching path prefix, or PU_HANDLE_NONE.  */
pu_route_handle_t pu_document_find_route (const pu_document_t *d,
                                          const char *host, const char *path);

/* pu_route_choose_service - selects one of the services of R in proportion to
   their weights.  DRAW is a random number.  */
pu_service_handle_t pu_route_choose_service (const pu_route_t *r,
                                             guint32 draw);

guint pu_document_teams (const pu_document_t *d); /* number of teams */
const pu_team_t *pu_document_team (const pu_document_t *d, pu_team_handle_t h);

/* pu_document_find_team - returns the team called NAME, or
   PU_HANDLE_NONE.  */
pu_team_handle_t pu_document_find_team (const pu_document_t *d,
                                        const char *name);

/* pu_document_find_key - returns the team that holds the key of LEN bytes at
   KEY, or PU_HANDLE_NONE.  The time taken does not tell where KEY differs from
   the keys of the document.  */
pu_team_handle_t pu_document_find_key (const pu_document_t *d, const char *key,
                                       size_t len);

/* pu_document_request_priority - returns the priority, 0..9, of a request of
   the team T (PU_HANDLE_NONE: none) on the route R.  A team's priority
   precedes that of the route: the pairs of priorities that occur in D are
   ranked from 9 downwards.  Without a team with a priority it is that of R. */
guint pu_document_request_priority (const pu_document_t *d,
                                    const pu_route_t *r, pu_team_handle_t t);

/* pu_team_cost - returns what a request counts as towards the allowance of T:
   1, or its TOKENS, which are 0 if it states none.  At least 1.  */
guint64 pu_team_cost (const pu_team_t *t, guint64 tokens);

const pu_version_change_t *pu_document_version_change (const pu_document_t *d);

/* pu_document_find_service, pu_document_find_model - return the handle of the
   service, or of the model or adapter, called NAME; PU_HANDLE_NONE when there
   is none.  */
pu_service_handle_t pu_document_find_service (const pu_document_t *d,
                                              const char *name);
pu_model_handle_t pu_document_find_model (const pu_document_t *d,
                                          const char *name);

/* pu_document_engine_class - returns the engine properties of the service
   SERVICE, or NULL when SERVICE is not declared.  */
const pu_engine_class_t *pu_document_engine_class (const pu_document_t *d,
                                                   const char *service);

/* pu_document_default_service - returns the service for a request that names a
   model H but no service: the first service, in order of name, that lists H.
   PU_HANDLE_NONE when no service does.  */
pu_service_handle_t pu_document_default_service (const pu_document_t *d,
                                                 pu_model_handle_t h);

/* pu_document_service_lists_model - whether service S lists model M.  */
bool pu_document_service_lists_model (const pu_document_t *d,
                                      pu_service_handle_t s,
                                      pu_model_handle_t m);

/* pu_document_adapters - returns the handles of the adapters of the base model
   H and sets N to their number.  The array is owned by D; it is NULL when
   there are no adapters.  */
const pu_model_handle_t *pu_document_adapters (const pu_document_t *d,
                                               pu_model_handle_t h, guint *n);

/* pu_model_load_mb - returns the memory in MB that one copy takes on each
   accelerator: weights and reserved KV cache.  A load order reserves this
   amount.  */
guint32 pu_model_load_mb (const pu_model_t *m);

/* pu_service_not_repeatable - whether METHOD on PATH (the path below the
   service's own, with or without a query) matches an entry of S's
   not_repeatable.  The path prefix of an entry matches whole segments; the
   method `*` matches all methods.  PATH is normalized before the comparison:
   escapes are decoded, and empty segments, `.` segments and segment parameters
   are dropped.  Servers differ in whether they resolve `..`, so PATH matches
   if it does so either with or without `..` resolved.  */
bool pu_service_not_repeatable (const pu_service_t *s, const char *method,
                                const char *path);

/* pu_document_near_services, pu_document_near_models - return up to three
   declared names similar to NAME, as one text such as "small, small-en"; ""
   when none is similar.  The calling function frees the text.  */
char *pu_document_near_services (const pu_document_t *d, const char *name);
char *pu_document_near_models (const pu_document_t *d, const char *name);

/* Capacity of one backend server.  */
typedef struct
{
  const char *name;
  guint32 accelerators;
  guint32 memory_mb; /* memory of each accelerator */
} pu_capacity_t;

typedef enum
{
  PU_FIT_PACKED,    /* a placement of all min_copies was found */
  PU_FIT_UNPROVED,  /* no placement was found, nor was it proved that none
                       exists */
  PU_FIT_IMPOSSIBLE /* it is proved that no placement exists; the findings give
                       the reasons */
} pu_fit_t;

/* pu_document_check_fit - whether min_copies copies of every model fit on the
   N backend servers at C.  A copy takes its memory on every accelerator of the
   server that holds it.  A server holds at most one copy of a model and must
   have at least as many accelerators as the model needs.  An adapter needs its
   base model on the same server.  Adds findings, with the sums of memory, only
   for PU_FIT_IMPOSSIBLE.  Returns PU_FIT_UNPROVED when N is 0.  */
pu_fit_t pu_document_check_fit (const pu_document_t *d, const pu_capacity_t *c,
                                size_t n, pu_findings_t *f);

/* pu_document_diff - returns the difference of two document texts, given as
   JSON values (NULL for no document).  The result is a new array of
   {"path","kind","old","new"}, with the kind added, removed or changed; a
   member old or new without a value is left out.  Objects are compared
   recursively.  Each entry added to or removed from a list of strings is
   reported at the path of the list; any other list that differs is reported as
   one change.  Keys of teams, and the source text of a document with teams,
   are shown as PU_DOCUMENT_HIDDEN_KEY.  The calling function owns the
   result.  */
#define PU_DOCUMENT_HIDDEN_KEY "(key)"
json_t *pu_document_diff (const json_t *older, const json_t *newer);

G_END_DECLS

#endif
