#include "settings/schema.h"

#include <string.h>

#include "settings/settings.h"

/* Longest name or address, in bytes, that fits the messages between
   daemons.  */
#define NAME_MAX_BYTES 64
#define PATH_MAX_BYTES 4000
#define KEY_MAX_BYTES 256
#define LIST_MAX_ITEMS 1024

#define LOAD_EXCHANGE_MAX_MS 1000

#define KB 1024.0
#define MB (1024.0 * KB)
#define MINUTE_MS 60000.0
#define HOUR_MS (60.0 * MINUTE_MS)
#define DAY_MS (24.0 * HOUR_MS)

#define SCHEMA(table, row)                                                    \
  {                                                                           \
    table, G_N_ELEMENTS (table), sizeof (row), 0, NULL                        \
  }

/* An integer field of the struct ROW, from LEAST to MOST in the unit OF, with
   the default START.  */
#define INT(row, field, least, most, start, of)                               \
  {                                                                           \
    .name = #field, .type = PU_FIELD_INT, .offset = offsetof (row, field),    \
    .min = (least), .max = (most), .fallback = (start), .unit = (of)          \
  }

static const char *const log_levels[]
    = { "warn", "note", "info", "debug", NULL };

/* Index of "info".  */
#define LOG_LEVEL_DEFAULT 2

static const char *
check_role (const char *s)
{
  if (strcmp (s, "entry") == 0 || strcmp (s, "control") == 0)
    return NULL;
  return "is not one of: entry, control";
}

static const char *
check_address (const char *s)
{
  char host[PU_SETTINGS_HOST_MAX];
  guint16 port;

  if (pu_settings_split_address (s, host, &port))
    return NULL;
  return "is not an IP number and a port, such as 127.0.0.1:8080";
}

/* A key is sent in an HTTP header, so it may hold printable ASCII only.  */
static const char *
check_key (const char *s)
{
  for (; *s != '\0'; s++)
    {
      if (!g_ascii_isgraph (*s))
        return "has a character that is not printable ASCII, or a space";
    }
  return NULL;
}

static const pu_field_t address_fields[] = {
  { .name = "callers",
    .type = PU_FIELD_STRING,
    .offset = offsetof (pu_settings_addresses_t, callers),
    .max = NAME_MAX_BYTES,
    .check = check_address },
  { .name = "operators",
    .type = PU_FIELD_STRING,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_settings_addresses_t, operators),
    .max = NAME_MAX_BYTES,
    .check = check_address },
  { .name = "peers",
    .type = PU_FIELD_STRING,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_settings_addresses_t, peers),
    .max = NAME_MAX_BYTES,
    .check = check_address },
  { .name = "metrics",
    .type = PU_FIELD_STRING,
    .offset = offsetof (pu_settings_addresses_t, metrics),
    .max = NAME_MAX_BYTES,
    .check = check_address },
};
static const pu_schema_t address_schema
    = SCHEMA (address_fields, pu_settings_addresses_t);

static const pu_field_t listen_fields[] = {
  { .name = "peers",
    .type = PU_FIELD_STRING,
    .offset = offsetof (pu_settings_listen_t, peers),
    .max = NAME_MAX_BYTES,
    .check = check_address },
};
static const pu_schema_t listen_schema
    = SCHEMA (listen_fields, pu_settings_listen_t);

static const pu_field_t operator_fields[] = {
  { .name = "name",
    .type = PU_FIELD_STRING,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_settings_operator_t, name),
    .max = NAME_MAX_BYTES,
    .check = pu_json_check_name },
  { .name = "key",
    .type = PU_FIELD_STRING,
    .flags = PU_FIELD_REQUIRED | PU_FIELD_SECRET,
    .offset = offsetof (pu_settings_operator_t, key),
    .min = PU_SETTINGS_KEY_MIN,
    .max = KEY_MAX_BYTES,
    .check = check_key },
};
static const pu_schema_t operator_schema
    = SCHEMA (operator_fields, pu_settings_operator_t);

static const pu_field_t key_fields[] = {
  { .name = "operators",
    .type = PU_FIELD_LIST,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_settings_keys_t, operators),
    .min = 1,
    .max = LIST_MAX_ITEMS,
    .schema = &operator_schema },
  { .name = "backends",
    .type = PU_FIELD_STRINGS,
    .flags = PU_FIELD_SECRET,
    .offset = offsetof (pu_settings_keys_t, backends),
    .max = LIST_MAX_ITEMS,
    .check = check_key },
  { .name = "peers",
    .type = PU_FIELD_STRING,
    .flags = PU_FIELD_REQUIRED | PU_FIELD_SECRET,
    .offset = offsetof (pu_settings_keys_t, peers),
    .min = PU_SETTINGS_KEY_MIN,
    .max = KEY_MAX_BYTES,
    .check = check_key },
};
static const pu_schema_t key_schema = SCHEMA (key_fields, pu_settings_keys_t);

static const pu_field_t voter_fields[] = {
  { .name = "name",
    .type = PU_FIELD_STRING,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_settings_voter_t, name),
    .max = NAME_MAX_BYTES,
    .check = pu_json_check_name },
  { .name = "peers",
    .type = PU_FIELD_STRING,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_settings_voter_t, peers),
    .max = NAME_MAX_BYTES,
    .check = check_address },
};
static const pu_schema_t voter_schema
    = SCHEMA (voter_fields, pu_settings_voter_t);

#define LIMIT(field, least, most, start, of)                                  \
  INT (pu_settings_limits_t, field, least, most, start, of)
#define LIMIT_NUMBER(field, least, most, start, of)                           \
  {                                                                           \
    .name = #field, .type = PU_FIELD_NUMBER,                                  \
    .offset = offsetof (pu_settings_limits_t, field), .min = (least),         \
    .max = (most), .fallback = (start), .unit = (of)                          \
  }

static const pu_field_t limit_fields[] = {
  LIMIT (max_header_bytes, 1 * KB, 1 * MB, 32 * KB, "bytes"),
  LIMIT (max_body_bytes, 1 * KB, 1024 * MB, 16 * MB, "bytes"),
  LIMIT (max_announcement_bytes, 4 * KB, 64 * MB, 1 * MB, "bytes"),
  LIMIT (max_connections, 16, 1000000, 4096, "connections"),
  LIMIT (max_open_streams, 16, 1000000, 4096, "requests"),
  LIMIT (load_exchange_entries, 0, 100000, 0, "entries"),
  LIMIT (max_peer_message_bytes, 5 * MB, 1024 * MB, 64 * MB, "bytes"),
  LIMIT (memory_mb, 0, 1000000, 0, "MB"),
  LIMIT (max_claims, 16, 1000000, 200000, "keys"),
  LIMIT (snapshot_entries, 16, 10000000, 10000, "entries"),
  LIMIT_NUMBER (drain_s, 0, 3600, 60, "s"),
  LIMIT (voters, 0, PU_SETTINGS_VOTERS_MAX, 0, "voters"),
  LIMIT_NUMBER (allowance_window_s, 0.1, 3600, 8, "s"),
  LIMIT_NUMBER (allowance_overage, 0, 10, 0, NULL),
  LIMIT (allowance_slack, 0, 1000000000, 0, "units"),
};
static const pu_schema_t limit_schema
    = SCHEMA (limit_fields, pu_settings_limits_t);

#define TIME(field, least, most, start, of)                                   \
  INT (pu_settings_timing_t, field, least, most, start, of)

static const pu_field_t timing_fields[] = {
  TIME (heartbeat_ms, 10, MINUTE_MS, 100, "ms"),
  TIME (election_ms, 50, MINUTE_MS, 1000, "ms"),
  TIME (replace_after_ms, 1000, DAY_MS, 60000, "ms"),
  TIME (poll_wait_ms, 100, MINUTE_MS, 2000, "ms"),
  TIME (gather_ms, 1, MINUTE_MS, 250, "ms"),
  TIME (sessions_ms, 50, MINUTE_MS, 1000, "ms"),
  TIME (loads_ms, 50, MINUTE_MS, 1000, "ms"),
  TIME (load_exchange_ms, 0, LOAD_EXCHANGE_MAX_MS, 0, "ms"),
  TIME (leave_ms, 0, HOUR_MS, 0, "ms"),
  TIME (session_ms, 500, HOUR_MS, 8000, "ms"),
  TIME (backend_lease_ms, 500, HOUR_MS, 5000, "ms"),
  TIME (report_interval_ms, 50, MINUTE_MS, 1000, "ms"),
  TIME (order_life_ms, 1000, HOUR_MS, 60000, "ms"),
  TIME (rpc_timeout_ms, 50, MINUTE_MS, 2000, "ms"),
  TIME (connect_timeout_ms, 50, MINUTE_MS, 1000, "ms"),
  TIME (progress_timeout_ms, 100, HOUR_MS, 10000, "ms"),
  TIME (probe_timeout_ms, 50, MINUTE_MS, 1000, "ms"),
  TIME (idle_connection_ms, 100, HOUR_MS, 10000, "ms"),
  TIME (idle_stated_max_ms, 0, HOUR_MS, 0, "ms"),
  TIME (entries_ttl_s, 1, 3600, 15, "s"),
};
static const pu_schema_t timing_schema
    = SCHEMA (timing_fields, pu_settings_timing_t);

#define PLATFORM_ADDRESS(field)                                               \
  {                                                                           \
    .name = #field, .type = PU_FIELD_STRING,                                  \
    .offset = offsetof (pu_settings_platform_t, field),                       \
    .max = NAME_MAX_BYTES, .check = check_address                             \
  }
/* A limit of the platform may have a fraction.  It is rounded down, so that
   the daemon's limit is never longer or larger than the platform's.  */
#define PLATFORM_LIMIT(field, least, most, start, of)                         \
  {                                                                           \
    .name = #field, .type = PU_FIELD_INT, .flags = PU_FIELD_ROUND_DOWN,       \
    .offset = offsetof (pu_settings_platform_t, field), .min = (least),       \
    .max = (most), .fallback = (start), .unit = (of)                          \
  }
#define PLATFORM_NUMBER(field, least, most, start, of)                        \
  {                                                                           \
    .name = #field, .type = PU_FIELD_NUMBER,                                  \
    .offset = offsetof (pu_settings_platform_t, field), .min = (least),       \
    .max = (most), .fallback = (start), .unit = (of)                          \
  }

static const pu_field_t platform_fields[] = {
  PLATFORM_ADDRESS (ready),
  PLATFORM_ADDRESS (control),
  PLATFORM_ADDRESS (directory),
  PLATFORM_LIMIT (memory_mb, 16, 1000000, 256, "MB"),
  PLATFORM_LIMIT (descriptors, 64, 1000000, 4096, "descriptors"),
  PLATFORM_LIMIT (report_ms, 50, MINUTE_MS, 1000, "ms"),
  PLATFORM_NUMBER (grace_s, 0, 3600, 8, "s"),
  PLATFORM_LIMIT (lease_ms, 50, MINUTE_MS, 3000, "ms"),
  PLATFORM_LIMIT (ttl_s, 0, 3600, 5, "s"),
  PLATFORM_NUMBER (callers_share, 0.01, 1, 1, NULL),
  { .name = "fenced",
    .type = PU_FIELD_BOOL,
    .offset = offsetof (pu_settings_platform_t, fenced),
    .fallback = 0 },
  PLATFORM_NUMBER (retry_ratio, 0, 10, 0.1, "retries a request"),
  PLATFORM_LIMIT (retry_slack, 0, 1000000, 1000000, "retries"),
  PLATFORM_NUMBER (store_overage, 0.1, 10, 1, NULL),
  { .name = "restore_by_gain",
    .type = PU_FIELD_BOOL,
    .offset = offsetof (pu_settings_platform_t, restore_by_gain),
    .fallback = 0 },
  PLATFORM_LIMIT (load_exchange_ms, 0, LOAD_EXCHANGE_MAX_MS, 0, "ms"),
  { .name = "place_by_urgency",
    .type = PU_FIELD_BOOL,
    .offset = offsetof (pu_settings_platform_t, place_by_urgency),
    .fallback = 0 },
  { .name = "place_by_speed",
    .type = PU_FIELD_BOOL,
    .offset = offsetof (pu_settings_platform_t, place_by_speed),
    .fallback = 0 },
  PLATFORM_NUMBER (allowance_window_s, 0.1, 3600, 8, "s"),
  PLATFORM_NUMBER (allowance_overage, 0, 10, 0, NULL),
  PLATFORM_LIMIT (allowance_slack, 0, 1000000000, 0, "units"),
};
static const pu_schema_t platform_schema
    = SCHEMA (platform_fields, pu_settings_platform_t);

static const pu_field_t settings_fields[] = {
  { .name = "name",
    .type = PU_FIELD_STRING,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_settings_t, name),
    .max = NAME_MAX_BYTES,
    .check = pu_json_check_name },
  { .name = "region",
    .type = PU_FIELD_STRING,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_settings_t, region),
    .max = NAME_MAX_BYTES,
    .check = pu_json_check_name },
  { .name = "zone",
    .type = PU_FIELD_STRING,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_settings_t, zone),
    .max = NAME_MAX_BYTES,
    .check = pu_json_check_name },
  { .name = "roles",
    .type = PU_FIELD_STRINGS,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_settings_t, roles),
    .min = 1,
    .max = 2,
    .check = check_role },
  { .name = "addresses",
    .type = PU_FIELD_OBJECT,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_settings_t, addresses),
    .schema = &address_schema },
  { .name = "listen",
    .type = PU_FIELD_OBJECT,
    .offset = offsetof (pu_settings_t, listen),
    .schema = &listen_schema },
  { .name = "data_folder",
    .type = PU_FIELD_STRING,
    .offset = offsetof (pu_settings_t, data_folder),
    .min = 1,
    .max = PATH_MAX_BYTES },
  { .name = "keys",
    .type = PU_FIELD_OBJECT,
    .flags = PU_FIELD_REQUIRED,
    .offset = offsetof (pu_settings_t, keys),
    .schema = &key_schema },
  { .name = "join",
    .type = PU_FIELD_STRINGS,
    .offset = offsetof (pu_settings_t, join),
    .max = LIST_MAX_ITEMS,
    .check = check_address },
  { .name = "voters",
    .type = PU_FIELD_LIST,
    .offset = offsetof (pu_settings_t, voters),
    .max = PU_SETTINGS_VOTERS_MAX,
    .schema = &voter_schema },
  { .name = "seeds",
    .type = PU_FIELD_STRINGS,
    .offset = offsetof (pu_settings_t, seeds),
    .max = LIST_MAX_ITEMS,
    .check = check_address },
  { .name = "found",
    .type = PU_FIELD_BOOL,
    .offset = offsetof (pu_settings_t, found),
    .fallback = 0 },
  { .name = "keep_origins",
    .type = PU_FIELD_BOOL,
    .offset = offsetof (pu_settings_t, keep_origins),
    .fallback = 0 },
  { .name = "platform",
    .type = PU_FIELD_OBJECT,
    .offset = offsetof (pu_settings_t, platform),
    .schema = &platform_schema },
  { .name = "limits",
    .type = PU_FIELD_OBJECT,
    .offset = offsetof (pu_settings_t, limits),
    .schema = &limit_schema },
  { .name = "timing",
    .type = PU_FIELD_OBJECT,
    .offset = offsetof (pu_settings_t, timing),
    .schema = &timing_schema },
  { .name = "log_level",
    .type = PU_FIELD_WORD,
    .offset = offsetof (pu_settings_t, log_level),
    .fallback = LOG_LEVEL_DEFAULT,
    .words = log_levels },
};

const pu_schema_t pu_settings_schema = SCHEMA (settings_fields, pu_settings_t);

const char *
pu_settings_log_level (const pu_settings_t *s)
{
  return log_levels[s->log_level];
}
