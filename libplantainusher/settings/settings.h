#ifndef PU_SETTINGS_SETTINGS_H
#define PU_SETTINGS_SETTINGS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "base/findings.h"
#include "base/json.h"

G_BEGIN_DECLS

/*
 * settings - the settings file of one daemon.
 *
 * The file is JSON with comments; docs/DOCUMENT.md lists every field.  The
 * strings live as long as the settings.  Addresses are numeric: "IP:port" for
 * IPv4, "[IP]:port" for IPv6.
 */

/* Maximum size of a settings file, in bytes.  */
#define PU_SETTINGS_TEXT_MAX ((size_t)1048576)

/* Minimum length of a key, in bytes.  */
#define PU_SETTINGS_KEY_MIN 16

/* Maximum number of voters of the replicated log.  */
#define PU_SETTINGS_VOTERS_MAX 7

typedef struct
{
  const char *callers;   /* entries only; else "" */
  const char *operators; /* of every daemon */
  const char *metrics;   /* "": metrics on the operators' address only */
  const char *peers;     /* of every daemon */
} pu_settings_addresses_t;

/* Listen addresses that differ from the advertised ones.  */
typedef struct
{
  const char *peers; /* "": at addresses.peers */
} pu_settings_listen_t;

/* The key of one operator; the history records the name.  */
typedef struct
{
  const char *name;
  const char *key;
} pu_settings_operator_t;

typedef struct
{
  pu_json_rows_t operators;   /* pu_settings_operator_t */
  pu_json_strings_t backends; /* each allows a backend server to report */
  const char *peers;          /* shared by all daemons */
} pu_settings_keys_t;

typedef struct
{
  const char *name;
  const char *peers; /* its peers' address */
} pu_settings_voter_t;

typedef struct
{
  guint32 max_header_bytes;       /* of a caller's request */
  guint32 max_body_bytes;         /* of a caller's request */
  guint32 max_announcement_bytes; /* of a backend server's report */
  guint32 max_connections;        /* open at once from callers */
  guint32 max_open_streams;       /* requests in progress at once */
  guint32 load_exchange_entries;  /* fewest entries that exchange loads */
  guint32 max_peer_message_bytes; /* of one message between daemons */
  guint32 memory_mb;              /* of this process; 0: the limit of its
                                     cgroup */
  guint32 max_claims;             /* at-most-once keys kept by a voter */
  guint32 snapshot_entries;       /* log entries between snapshots */
  double drain_s; /* longest wait for requests in flight at a planned stop */
  guint32 voters; /* spare instances are added as voters up to this
                     number; 0: only operators add voters */
  /* All instances together admit of a team over allowance_window_s no more
     than (rate * window + burst) * (1 + overage) + slack units.  */
  double allowance_window_s;
  double allowance_overage;
  guint32 allowance_slack;
} pu_settings_limits_t;

typedef struct
{
  guint32 heartbeat_ms;        /* interval, leader to voters */
  guint32 election_ms;         /* minimum silence before an election;
                                  the leader's lease is derived from it */
  guint32 replace_after_ms;    /* a voter silent for longer is replaced by a
                                  spare instance, if there is one */
  guint32 poll_wait_ms;        /* a long poll that has no change to return ends
                                  after this */
  guint32 leave_ms;            /* how long a leaving entry accepts callers; 0:
                                  entries_ttl_s */
  guint32 loads_ms;            /* minimum interval between an entry's messages
                                  about loads to another entry */
  guint32 load_exchange_ms;    /* minimum interval between an entry's
                                  statements of its load to a voter
                                  (routing/load_hub.h); 0: none */
  guint32 gather_ms;           /* delay before daemons are notified of changed
                                  copies, so that one message covers several
                                  changes */
  guint32 sessions_ms;         /* interval of a voter's messages to the leader
                                  on daemons, backend servers and demand */
  guint32 session_ms;          /* a daemon silent for longer is down */
  guint32 backend_lease_ms;    /* a backend server silent for longer is down */
  guint32 report_interval_ms;  /* requested of backend servers */
  guint32 order_life_ms;       /* latest time, from its creation, at which an
                                  order to an engine can take effect */
  guint32 rpc_timeout_ms;      /* of one call between daemons */
  guint32 connect_timeout_ms;  /* of any new connection */
  guint32 progress_timeout_ms; /* a stream that sends no byte for longer counts
                                  as stalled */
  guint32 probe_timeout_ms;    /* of the health probe that checks a suspected
                                 failure, on a new connection */
  guint32 idle_connection_ms;  /* lifetime of an idle pooled connection */
  guint32 idle_stated_max_ms;  /* its longest lifetime where the backend server
                                  states a time-out; 0: idle_connection_ms */
  guint32 entries_ttl_s;       /* how long callers cache an answer */
} pu_settings_timing_t;

/* The platform's parameters for an instance that runs on it;
   platform/settings.c derives times and limits from them.  */
typedef struct
{
  const char *ready;     /* address of the platform's readiness checks; "":
                            this instance is not on the platform */
  const char *control;   /* address for backend servers and operators */
  const char *directory; /* address for callers' directory queries */
  guint32 memory_mb;     /* limit of this process */
  guint32 descriptors;   /* limit of this process */
  guint32 report_ms;     /* interval of a backend server's reports */
  double grace_s;        /* from the stop signal to the kill */
  guint32 lease_ms;      /* lease of the instance that sends orders to
                            engines */
  guint32 ttl_s;         /* callers cache a directory answer this long */
  double callers_share;  /* part of the entries of an availability zone that
                            the directory names to callers; 1: all */
  bool fenced;           /* engines reject orders with an old fencing token */
  double retry_ratio;    /* retries per first attempt, over all instances */
  guint32 retry_slack;   /* retries allowed beyond that, over all instances */
  double store_overage;  /* loads from the weights store as a multiple of its
                            rate; above 1 counts as 1 */
  bool restore_by_gain;  /* as in the document's /placement, which the
                            platform's documents cannot state */
  guint32 load_exchange_ms;  /* as in pu_settings_timing_t */
  bool place_by_urgency;     /* the same */
  bool place_by_speed;       /* the same */
  double allowance_window_s; /* as in pu_settings_limits_t */
  double allowance_overage;  /* the same; 1 or more: as a multiple of the
                                allowance */
  guint32 allowance_slack;
} pu_settings_platform_t;

typedef struct
{
  const char *name; /* of the instance, unique in the system */
  const char *region;
  const char *zone; /* availability zone */
  bool entry;       /* role: serves callers and backend servers */
  bool control;     /* role: votes in the replicated log */
  pu_json_strings_t roles;
  pu_settings_addresses_t addresses; /* as advertised to others */
  pu_settings_listen_t listen;
  const char *data_folder; /* control only; else may be "" */
  pu_settings_keys_t keys;
  pu_json_strings_t join;  /* peers' addresses of control daemons */
  pu_json_rows_t voters;   /* pu_settings_voter_t: the initial set, used only
                              while the data folder is new */
  pu_json_strings_t seeds; /* addresses of control instances; only the host is
                              used, with the port of addresses.peers */
  bool keep_origins;       /* one keeper of each stream's origin is a voter,
                              which keeps it in its data folder */
  bool found;              /* the seeds are the initial voters, while the data
                              folder is new */
  pu_settings_platform_t platform;
  pu_settings_limits_t limits;
  pu_settings_timing_t timing;
  guint32 log_level;      /* index; see pu_settings_log_level */
  pu_json_arena_t *arena; /* holds the strings and lists above */
} pu_settings_t;

/* pu_settings_parse - parses LEN bytes of TEXT.  Adds a finding to F for each
   error.  Returns new settings, or NULL when it added a finding.  */
pu_settings_t *pu_settings_parse (const char *text, size_t len,
                                  pu_findings_t *f);

/* pu_settings_load - as pu_settings_parse, from the file at PATH; an
   unreadable file is a finding too.  */
pu_settings_t *pu_settings_load (const char *path, pu_findings_t *f);

void pu_settings_free (pu_settings_t *s);

/* pu_settings_to_json - returns a new object, for the dump, with every field,
   defaults included and keys hidden.  The caller owns it.  */
json_t *pu_settings_to_json (const pu_settings_t *s);

/* pu_settings_peer_listen_address - returns the address to listen on for
   peers, which is also the source address of connections to them.  */
const char *pu_settings_peer_listen_address (const pu_settings_t *s);

/* pu_settings_on_platform - returns whether the instance runs on the
   platform.  */
bool pu_settings_on_platform (const pu_settings_t *s);

/* pu_settings_seeds - returns the peers' addresses of the seeds as a new,
   NULL-terminated array; free it with g_strfreev.  */
char **pu_settings_seeds (const pu_settings_t *s);

/* pu_settings_is_initial_voter - returns whether this instance is an initial
   voter: it has the role control, `found` is set and its address is among the
   seeds.  */
bool pu_settings_is_initial_voter (const pu_settings_t *s);

/* pu_settings_log_level - returns "warn", "note", "info" or "debug".  */
const char *pu_settings_log_level (const pu_settings_t *s);

/* pu_settings_restart_diff - returns the fields that differ between OLDER
   and NEWER and need a restart, as a new, NULL-terminated array of JSON
   pointers.  The array is empty when every difference can be reloaded at run
   time: log_level, join, seeds, the keys of operators and backend servers, and
   limits except max_peer_message_bytes, memory_mb, snapshot_entries, voters
   and allowance_*.  Free it with g_strfreev.  */
char **pu_settings_restart_diff (const pu_settings_t *older,
                                 const pu_settings_t *newer);

/* pu_settings_keep_restart_fields - copies the fields that need a restart from
   OLDER to NEWER.  Their strings still belong to OLDER, which must outlive
   NEWER.  */
void pu_settings_keep_restart_fields (pu_settings_t *newer,
                                      const pu_settings_t *older);

/* pu_settings_split_address - splits "IP:port" or "[IP]:port" into HOST (of
   at least PU_SETTINGS_HOST_MAX bytes) and PORT.  Returns false when ADDRESS
   is neither, or the port is not in 1..65535.  */
#define PU_SETTINGS_HOST_MAX 46
bool pu_settings_split_address (const char *address, char *host,
                                guint16 *port);

G_END_DECLS

#endif
