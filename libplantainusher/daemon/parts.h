#ifndef PU_DAEMON_PARTS_H
#define PU_DAEMON_PARTS_H

#include "agent/agent.h"
#include "base/counters.h"
#include "control/control.h"
#include "daemon/daemon.h"
#include "daemon/lag.h"
#include "daemon/memory_watch.h"
#include "daemon/metrics.h"
#include "daemon/origin_file.h"
#include "entry/entry.h"
#include "http/server.h"
#include "operator/operator.h"
#include "platform/platform.h"
#include "placer/placer.h"
#include "placer/sequenced.h"
#include "rpc/server.h"

G_BEGIN_DECLS

/*
 * parts - what the files of this slice share.
 */

typedef enum
{
  PU_DAEMON_RUNNING,
  PU_DAEMON_LEAVING,   /* callers are told to go elsewhere */
  PU_DAEMON_FINISHING, /* open requests are finished */
  PU_DAEMON_DEPARTING, /* it says that it is down */
  PU_DAEMON_HANDING,   /* the lead goes to another voter */
  PU_DAEMON_CLOSING,   /* the listeners and the log are closed */
  PU_DAEMON_STOPPED
} pu_daemon_phase_t;

struct pu_daemon
{
  uv_loop_t *loop;
  pu_settings_t *started;  /* what the parts were made from */
  pu_settings_t *settings; /* in force; the same until they are read again */
  pu_counters_t *counters;
  pu_lag_t *lag;
  pu_memory_watch_t *memory;
  pu_rpc_server_t *peers;
  pu_control_t *control;     /* NULL without the role */
  pu_placer_t *placer;       /* goes with control, but on the platform */
  pu_sequenced_t *sequenced; /* the same on the platform */
  pu_agent_t *agent;
  pu_metrics_t *metrics;         /* NULL without an address for it */
  pu_platform_t *platform;       /* NULL but for an instance of the platform */
  pu_entry_t *entry;             /* NULL without the role */
  pu_origin_file_t *origin_file; /* NULL where no origins are kept */
  pu_operator_t *operator;
  pu_http_server_t *operators;
  GHashTable *limited_teams;     /* set of names that the control has; NULL
                                    without the role control */
  guint64 limited_teams_version; /* of the document they are of */
  pu_daemon_phase_t phase;
  uint64_t phase_since; /* ms of the loop's clock */
  uv_timer_t timer;     /* of the stop */
  bool hurry;           /* a second stop was asked for */
  bool closed_control;
  bool closed_operators;
  bool closed_platform;
  void (*stopped) (void *data);
  void *stopped_data;
};

/* hooks.c - what the entry and the operators' paths ask of the daemon.  */
void pu_daemon_entry_hooks (pu_daemon_t *d, pu_entry_hooks_t *h);
void pu_daemon_operator_hooks (pu_daemon_t *d, pu_operator_hooks_t *h);
void pu_daemon_metrics (GString *out, void *daemon);

/* loads.c - load reports and other news between entries, one way.  */
void pu_daemon_loads_listen (pu_daemon_t *d);
void pu_daemon_loads_out (void *daemon, const char *address,
                          const pu_entry_load_t *loads, guint n,
                          guint life_ms);

void pu_daemon_withdraw_out (void *daemon, const char *address, guint64 id,
                             const char *model, guint life_ms);

void pu_daemon_accusations_tell (void *daemon, const char *address,
                                 const pu_entry_accusation_t *accusations,
                                 guint n);

bool pu_daemon_statements_tell (void *daemon, const char *address,
                                const pu_statement_t *statements, guint n,
                                guint64 now);

/* pu_daemon_peer_call - calls PROC of the daemon at ADDRESS with M, an XDR
   record of the type TYPE; FN gets D.  Does nothing for an invalid address. */
void pu_daemon_peer_call (pu_daemon_t *d, const char *address, guint32 proc,
                          xdrproc_t type, const void *m, guint timeout_ms,
                          pu_rpc_answer_t *fn);

/* origins.c - what began streams, between entries.  */
void pu_daemon_origins_listen (pu_daemon_t *d);
void pu_daemon_origins_tell (void *daemon, const char *address,
                             const pu_entry_origin_t *origins, guint n);
void pu_daemon_origins_keep (void *daemon, const pu_entry_origin_t *origins,
                             guint n);

/* pu_daemon_origins_load - gives the entry the origins that are kept in the
   data folder, and keeps those to come there.  */
void pu_daemon_origins_load (pu_daemon_t *d);
void pu_daemon_origin_ask (void *daemon, const char *address, guint64 key,
                           guint timeout_ms);

/* witnesses.c - what entries see of a backend server, between entries.  */
void pu_daemon_witnesses_listen (pu_daemon_t *d);
void pu_daemon_witness_ask (void *daemon, const char *address,
                            const char *backend, guint64 incarnation,
                            guint64 inquiry, guint timeout_ms);

/* allowances.c - teams' allowances, at the leader and for operators.  */
void pu_daemon_allowances_begin (pu_daemon_t *d);
void pu_daemon_allowances_end (pu_daemon_t *d);

/* pu_daemon_allowances - returns a new object: for each team with a limit what
   the control, which leads, grants from.  */
json_t *pu_daemon_allowances (void *daemon);

/* pu_daemon_teams - returns pu_entry_teams with the figures that the leader
   states in CONTROL, its status, or NULL.  */
json_t *pu_daemon_teams (pu_daemon_t *d, const json_t *control);

/* pu_daemon_print_teams - appends the counters of teams to OUT.  */
void pu_daemon_print_teams (const pu_daemon_t *d, GString *out);

/* status.c - what operators see.  */
void pu_daemon_status (json_t *status, pu_operator_json_fn *done,
                       void *done_data, void *daemon);
json_t *pu_daemon_dump (void *daemon);
json_t *pu_daemon_placement (void *daemon);

/* build.c - the parts from the settings.  */
bool pu_daemon_build (pu_daemon_t *d, pu_error_t *e);

/* pu_daemon_join_addresses - peers' addresses where a voter may be asked, as
   S has them: a new array that frees its strings.  */
GPtrArray *pu_daemon_join_addresses (const pu_settings_t *s);

/* pu_daemon_entry_reloadable - sets in O what may change at run time.  */
void pu_daemon_entry_reloadable (const pu_settings_t *s,
                                 pu_entry_options_t *o);

/* pu_daemon_operator_keys - the operators' keys of S as the operator slice
   takes them; free the array with g_free.  */
pu_operator_key_t *pu_daemon_operator_keys (const pu_settings_t *s);

G_END_DECLS

#endif
