#include "document/internal.h"

/* Maxima of lists and values in a document.  Any table row within them fits
   into one message between daemons.  */
#define SERVICES_MAX 1024
#define MODELS_MAX 4096
#define ADAPTERS_MAX 16384
#define COPIES_MAX 1024
#define ACCELERATORS_MAX 64
#define MEMORY_MB_MAX 10000000
#define NOT_REPEATABLE_MAX 256
#define ROUTES_MAX 16384
/* Maximum of store_full_speed (concurrent loads) and of store_loads_per_s
   (loads per second).  Thousands of engines can share one weights store.  */
#define STORE_LOADS_MAX 100000
#define PARTS_MAX 256
#define PATH_MAX_BYTES 4096
#define HOST_MAX_BYTES 255
#define TEAMS_MAX 4096
#define KEYS_MAX 1024
/* Maximum of a team's rate and burst.  */
#define UNITS_MAX 4000000000.0
#define PRIORITY_MAX 9
#define DEFAULT_PRIORITY 5

#define MINUTE_MS 60000.0
#define HOUR_MS (60.0 * MINUTE_MS)
#define DAY_S 86400.0

#define SCHEMA(table, row, key, check)                                        \
  {                                                                           \
    table, G_N_ELEMENTS (table), sizeof (row), key, check                     \
  }

/* An optional integer FIELD of the struct ROW, from LEAST to MOST in the unit
   OF, with the default START.  */
#define INT(row, field, least, most, start, of)                               \
  {                                                                           \
    .name = #field, .type = PU_FIELD_INT, .offset = offsetof (row, field),    \
    .min = (least), .max = (most), .fallback = (start), .unit = (of)          \
  }

/* A required integer FIELD of the struct ROW, from LEAST to MOST in the unit
   OF.  */
#define REQUIRED_INT(row, field, least, most, of)                             \
  {                                                                           \
    .name = #field, .type = PU_FIELD_INT, .flags = PU_FIELD_REQUIRED,         \
    .offset = offsetof (row, field), .min = (least), .max = (most),           \
    .unit = (of)                                                              \
  }

#define NUMBER(row, field, least, most, start, of)                            \
  {                                                                           \
    .name = #field, .type = PU_FIELD_NUMBER, .offset = offsetof (row, field), \
    .min = (least), .max = (most), .fallback = (start), .unit = (of)          \
  }

#define NAME(row, key, field, need)                                           \
  {                                                                           \
    .name = (key), .type = PU_FIELD_STRING, .flags = (need),                  \
    .offset = offsetof (row, field), .max = PU_DOCUMENT_NAME_MAX,             \
    .check = pu_json_check_name                                               \
  }

static const char *const service_kinds[]
    = { [PU_SERVICE_MODEL] = "model", [PU_SERVICE_PLAIN] = "plain", NULL };

#define BOOL(row, field)                                                      \
  {                                                                           \
    .name = #field, .type = PU_FIELD_BOOL, .offset = offsetof (row, field)    \
  }

#define ENGINE(field, most, of) INT (pu_engine_class_t, field, 0, most, 0, of)

static const pu_field_t engine_fields[] = {
  ENGINE (slots, 100000, "requests"),
  ENGINE (kv_tokens, 4000000000.0, "tokens"),
  ENGINE (adapter_places, 100000, "adapters"),
  ENGINE (memory_mb, MEMORY_MB_MAX, "MB"),
  ENGINE (host_mb, MEMORY_MB_MAX, "MB"),
  ENGINE (disk_mb, MEMORY_MB_MAX, "MB"),
  ENGINE (event_tokens, 100000, "tokens"),
};
static const pu_schema_t engine_schema
    = SCHEMA (engine_fields, pu_engine_class_t, 0, NULL);

/* An omitted latency target is read as 0.  The default depends on the kind of
   the service and is set after the checks.  */
static const pu_field_t target_fields[] = {
  INT (pu_targets_t, first_token_ms, 1, HOUR_MS, 0, "ms"),
  INT (pu_targets_t, per_token_ms, 1, MINUTE_MS, 0, "ms"),
  INT (pu_targets_t, answer_ms, 1, HOUR_MS, 0, "ms"),
};
static const pu_schema_t target_schema
    = SCHEMA (target_fields, pu_targets_t, 0, NULL);

static const pu_field_t service_fields[] = {
  { .name = "kind",
    .type = PU_FIELD_WORD,
    .offset = offsetof (pu_service_t, kind),
    .fallback = PU_SERVICE_MODEL,
    .words = service_kinds },
  { .name = "models",
    .type = PU_FIELD_STRINGS,
    .offset = offsetof (pu_service_t, model_names),
    .max = MODELS_MAX + ADAPTERS_MAX,
    .check = pu_json_check_name },
  INT (pu_service_t, importance, 1, 10, 5, NULL),
  { .name = "targets",
    .type = PU_FIELD_OBJECT,
    .offset = offsetof (pu_service_t, targets),
    .schema = &target_schema },
  INT (pu_service_t, timeout_ms, 10, HOUR_MS, MINUTE_MS, "ms"),
  INT (pu_service_t, max_concurrency, 1, 1000000, 1024, "requests"),
  INT (pu_service_t, max_queue, 0, 100000, 256, "requests"),
  { .name = "not_repeatable",
    .type = PU_FIELD_STRINGS,
    .offset = offsetof (pu_service_t, not_repeatable),
    .max = NOT_REPEATABLE_MAX,
    .check = pu_document_check_not_repeatable },
  INT (pu_service_t, claim_window_s, 1, DAY_S, 600, "s"),
  INT (pu_service_t, connections, 0, 1000000, 0, "connections"),
  { .name = "health_path",
    .type = PU_FIELD_STRING,
    .offset = offsetof (pu_service_t, health_path),
    .max = PATH_MAX_BYTES },
  { .name = "engine",
    .type = PU_FIELD_OBJECT,
    .offset = offsetof (pu_service_t, engine),
    .schema = &engine_schema },
};
static const pu_schema_t service_schema
    = SCHEMA (service_fields, pu_service_t, offsetof (pu_service_t, name),
              pu_json_check_name);

static const pu_field_t model_fields[] = {
  NAME (pu_model_t, "version", version, PU_FIELD_REQUIRED),
  NAME (pu_model_t, "previous_version", previous_version, 0),
  REQUIRED_INT (pu_model_t, memory_mb, 1, MEMORY_MB_MAX, "MB"),
  REQUIRED_INT (pu_model_t, kv_cache_mb, 0, MEMORY_MB_MAX, "MB"),
  INT (pu_model_t, accelerators, 1, ACCELERATORS_MAX, 1, "accelerators"),
  INT (pu_model_t, min_copies, 1, COPIES_MAX, 1, "copies"),
  INT (pu_model_t, max_copies, 1, COPIES_MAX, COPIES_MAX, "copies"),
  INT (pu_model_t, load_ms, 0, HOUR_MS, 0, "ms"),
  INT (pu_model_t, disk_load_ms, 0, HOUR_MS, 0, "ms"),
  INT (pu_model_t, host_load_ms, 0, HOUR_MS, 0, "ms"),
};
static const pu_schema_t model_schema = SCHEMA (
    model_fields, pu_model_t, offsetof (pu_model_t, name), pu_json_check_name);

static const pu_field_t adapter_fields[] = {
  NAME (pu_model_t, "base", base_name, PU_FIELD_REQUIRED),
  NAME (pu_model_t, "version", version, PU_FIELD_REQUIRED),
  NAME (pu_model_t, "previous_version", previous_version, 0),
  REQUIRED_INT (pu_model_t, memory_mb, 1, MEMORY_MB_MAX, "MB"),
  INT (pu_model_t, min_copies, 1, COPIES_MAX, 1, "copies"),
  INT (pu_model_t, max_copies, 1, COPIES_MAX, COPIES_MAX, "copies"),
  BOOL (pu_model_t, on_demand),
};
static const pu_schema_t adapter_schema
    = SCHEMA (adapter_fields, pu_model_t, offsetof (pu_model_t, name),
              pu_json_check_name);

static const char *const route_answers[]
    = { [PU_ROUTE_WHOLE] = "whole", [PU_ROUTE_STREAM] = "stream", NULL };

static const pu_field_t part_fields[] = {
  NAME (pu_route_part_t, "service", service_name, PU_FIELD_REQUIRED),
  INT (pu_route_part_t, weight, 0, 1000000, 1, NULL),
};
static const pu_schema_t part_schema
    = SCHEMA (part_fields, pu_route_part_t, 0, NULL);

static const pu_field_t route_fields[] = {
  { .name = "host",
    .type = PU_FIELD_STRING,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_route_t, host),
    .max = HOST_MAX_BYTES,
    .check = pu_document_check_host },
  { .name = "path_prefix",
    .type = PU_FIELD_STRING,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_route_t, path_prefix),
    .max = PATH_MAX_BYTES,
    .check = pu_document_check_prefix },
  { .name = "answer",
    .type = PU_FIELD_WORD,
    .offset = offsetof (pu_route_t, answer),
    .fallback = PU_ROUTE_WHOLE,
    .words = route_answers },
  BOOL (pu_route_t, repeatable),
  BOOL (pu_route_t, resumable),
  INT (pu_route_t, attempts, 1, 100, 1, "backend servers"),
  REQUIRED_INT (pu_route_t, timeout_ms, 1, DAY_S * 1000, "ms"),
  INT (pu_route_t, target_ms, 0, DAY_S * 1000, 0, "ms"),
  INT (pu_route_t, gap_ms, 0, DAY_S * 1000, 0, "ms"),
  INT (pu_route_t, patience_ms, 0, DAY_S * 1000, 0, "ms"),
  BOOL (pu_route_t, serve_late),
  { .name = "public",
    .type = PU_FIELD_BOOL,
    .offset = offsetof (pu_route_t, public_access) },
  BOOL (pu_route_t, cost_of_delay),
  INT (pu_route_t, priority, 0, PRIORITY_MAX, DEFAULT_PRIORITY, NULL),
  { .name = "to",
    .type = PU_FIELD_LIST,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_route_t, parts),
    .min = 1,
    .max = PARTS_MAX,
    .schema = &part_schema },
};
static const pu_schema_t route_schema = SCHEMA (
    route_fields, pu_route_t, offsetof (pu_route_t, name), pu_json_check_name);

static const pu_field_t caller_fields[] = {
  INT (pu_caller_limits_t, max_header_bytes, 0, 1e9, 0, "bytes"),
  INT (pu_caller_limits_t, max_body_bytes, 0, 1e9, 0, "bytes"),
  INT (pu_caller_limits_t, header_timeout_ms, 0, HOUR_MS, 0, "ms"),
  INT (pu_caller_limits_t, idle_timeout_ms, 0, HOUR_MS, 0, "ms"),
};
static const pu_schema_t caller_schema
    = SCHEMA (caller_fields, pu_caller_limits_t, 0, NULL);

static const pu_field_t placement_fields[] = {
  NUMBER (pu_placement_settings_t, moves_weight, 0, 1, 0.5, NULL),
  NUMBER (pu_placement_settings_t, store_loads_per_s, 0.01, STORE_LOADS_MAX, 2,
          "loads a second"),
  INT (pu_placement_settings_t, store_full_speed, 1, STORE_LOADS_MAX, 3,
       "loads"),
  INT (pu_placement_settings_t, min_stay_s, 0, DAY_S, 120, "s"),
  INT (pu_placement_settings_t, payback_s, 1, DAY_S, 300, "s"),
  { .name = "zone_spread",
    .type = PU_FIELD_BOOL,
    .offset = offsetof (pu_placement_settings_t, zone_spread),
    .fallback = 1 },
  BOOL (pu_placement_settings_t, restore_by_gain),
  BOOL (pu_placement_settings_t, place_by_urgency),
  BOOL (pu_placement_settings_t, place_by_speed),
};
static const pu_schema_t placement_schema
    = SCHEMA (placement_fields, pu_placement_settings_t, 0, NULL);

static const char *const team_units[]
    = { [PU_TEAM_REQUESTS] = "requests", [PU_TEAM_TOKENS] = "tokens", NULL };

static const pu_field_t team_fields[] = {
  { .name = "keys",
    .type = PU_FIELD_STRINGS,
    .flags = PU_FIELD_SECRET,
    .offset = offsetof (pu_team_t, keys),
    .max = KEYS_MAX,
    .check = pu_document_check_key },
  INT (pu_team_t, priority, 0, PRIORITY_MAX, PU_TEAM_PRIORITY_NONE, NULL),
  { .name = "unit",
    .type = PU_FIELD_WORD,
    .offset = offsetof (pu_team_t, unit),
    .fallback = PU_TEAM_REQUESTS,
    .words = team_units },
  INT (pu_team_t, plain_tokens, 1, UNITS_MAX, 1, "tokens"),
  INT (pu_team_t, rate_per_s, 0, UNITS_MAX, 0, "units/s"),
  INT (pu_team_t, burst, 0, UNITS_MAX, 0, "units"),
};
static const pu_schema_t team_schema = SCHEMA (
    team_fields, pu_team_t, offsetof (pu_team_t, name), pu_json_check_name);

static const pu_field_t version_fields[] = {
  INT (pu_version_change_t, watch_s, 0, DAY_S, 60, "s"),
  INT (pu_version_change_t, max_failures, 1, 100, 3, "failures"),
};
static const pu_schema_t version_schema
    = SCHEMA (version_fields, pu_version_change_t, 0, NULL);

static const pu_field_t fields[] = {
  { .name = "services",
    .type = PU_FIELD_MAP,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_document_t, services),
    .max = SERVICES_MAX,
    .schema = &service_schema },
  { .name = "models",
    .type = PU_FIELD_MAP,
    .offset = offsetof (pu_document_t, bases),
    .max = MODELS_MAX,
    .schema = &model_schema },
  { .name = "adapters",
    .type = PU_FIELD_MAP,
    .offset = offsetof (pu_document_t, adapters),
    .max = ADAPTERS_MAX,
    .schema = &adapter_schema },
  { .name = "routes",
    .type = PU_FIELD_MAP,
    .offset = offsetof (pu_document_t, routes),
    .max = ROUTES_MAX,
    .schema = &route_schema },
  { .name = "teams",
    .type = PU_FIELD_MAP,
    .offset = offsetof (pu_document_t, teams),
    .max = TEAMS_MAX,
    .schema = &team_schema },
  { .name = "callers",
    .type = PU_FIELD_OBJECT,
    .offset = offsetof (pu_document_t, callers),
    .schema = &caller_schema },
  { .name = "source",
    .type = PU_FIELD_STRING,
    .offset = offsetof (pu_document_t, source),
    .max = PU_DOCUMENT_TEXT_MAX },
  { .name = "placement",
    .type = PU_FIELD_OBJECT,
    .offset = offsetof (pu_document_t, placement),
    .schema = &placement_schema },
  { .name = "version_change",
    .type = PU_FIELD_OBJECT,
    .offset = offsetof (pu_document_t, version_change),
    .schema = &version_schema },
};

const pu_schema_t pu_document_schema = SCHEMA (fields, pu_document_t, 0, NULL);
