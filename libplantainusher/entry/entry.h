#ifndef PU_ENTRY_ENTRY_H
#define PU_ENTRY_ENTRY_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/counters.h"
#include "base/error.h"
#include "entry/front.h"
#include "state/state.h"

G_BEGIN_DECLS

/*
 * entry - a daemon's listener for callers and backend servers.
 *
 * It answers which entries serve a service, takes the reports of backend
 * servers, and carries each request to a backend server, or one hop to an
 * entry that serves the service.  What it needs of the rest of the daemon
 * comes through hooks, and the daemon tells it when the view has changed.
 * docs/design/relay.md says what happens to a request.
 */

typedef struct pu_entry pu_entry_t;

/* A load report that goes from entry to entry.  */
typedef struct
{
  guint64 id; /* of the backend server, see pu_entry_load_id */
  guint64 seq;
  guint running;
  guint waiting;
  guint age_ms; /* since the backend server's report came */
  guint64 at;   /* loop time of that; of no meaning to another entry */
} pu_entry_load_t;

/* pu_entry_load_id - what stands for an incarnation of a backend server in
   load reports between entries.  Two that have the same id (one of 2^64) would
   take each other's loads, which are hints.  */
guint64 pu_entry_load_id (const char *backend, guint64 incarnation);

/* pu_entry_done_fn - the same as pu_agent_done_fn.  */
typedef void pu_entry_done_fn (void *data, const pu_reply *r,
                               const pu_error_t *e);

/* pu_entry_json_fn - the same as pu_agent_json_fn.  */
typedef void pu_entry_json_fn (void *data, json_t *result,
                               const pu_error_t *e);

/* What the daemon does for the entry.  Each gets DATA first.  */
typedef struct
{
  /* The public copy of the state; never NULL.  */
  const pu_state_t *(*view) (void *data);
  /* Whether the view may be served from.  */
  bool (*ready) (void *data);
  /* Whether what is renewed here reaches the leader.  */
  bool (*leader_reachable) (void *data);
  /* The incarnation of this daemon, owner of its claims.  */
  guint64 (*incarnation) (void *data);
  /* As pu_agent_propose: FN exactly once, never from within.  */
  void (*propose) (void *data, const pu_command *c, guint timeout_ms,
                   pu_entry_done_fn *fn, void *fn_data);
  /* As pu_agent_renew and pu_agent_demand.  */
  void (*renew) (void *data, const char *backend, guint64 incarnation);
  void (*demand) (void *data, const char *model, guint32 requests,
                  guint32 stream_ms);
  /* As pu_agent_want; may be NULL.  */
  void (*want) (void *data, const char *model, guint timeout_ms,
                pu_entry_json_fn *fn, void *fn_data);
  /* Sends N loads to the daemon whose peers' address is ADDRESS; they hold
     until the next, for LIFE_MS at most.  May be NULL.  */
  void (*loads) (void *data, const char *address, const pu_entry_load_t *loads,
                 guint n, guint life_ms);
  /* Tells the daemon whose peers' address is ADDRESS that the copy of MODEL on
     the backend server with the load id ID gets nothing more for LIFE_MS.  May
     be NULL.  */
  void (*withdraw) (void *data, const char *address, guint64 id,
                    const char *model, guint life_ms);
  void *data;
} pu_entry_hooks_t;

/* Deliberate faults for the tests that show the checks can fail.  */
typedef enum
{
  PU_ENTRY_BREAK_FORWARD_REPLAY = 1, /* pass a replay on from its start */
  PU_ENTRY_BREAK_RETRY_NON_REPEATABLE = 2, /* try again what may run once */
  PU_ENTRY_BREAK_REPORT_NOT_RUN = 4,       /* tell every failure as not run */
  PU_ENTRY_BREAK_END_TRUNCATED = 8 /* end a truncated stream as if whole */
} pu_entry_break_t;

typedef struct
{
  uv_loop_t *loop;
  const char *name; /* of this instance */
  const char *region;
  const char *zone;
  const char *host; /* IP number of the callers' address */
  int port;
  const char *certificate; /* PEM files; NULL: no TLS */
  const char *key;
  const char *peer_key;            /* marks a request relayed by an entry */
  const char *const *backend_keys; /* any of them opens the announce path */
  guint n_backend_keys;
  pu_counters_t *counters; /* may be NULL */
  guint32 seed;
  gsize header_max;                 /* bytes; 0 here and below: the default */
  gsize body_max;                   /* 8 MiB; also the longest whole answer */
  gsize announcement_max;           /* 1 MiB */
  guint connections_max;            /* 4096 */
  guint requests_max;               /* 4096: in progress at once */
  guint connect_ms;                 /* 1000 */
  guint stream_progress_timeout_ms; /* 10000: a stream without a byte is silent
                                     */
  guint strike_settle_ms; /* 1000: a strike is known everywhere after this */
  guint health_probe_timeout_ms; /* 1000: second opinion on a new connection */
  guint idle_ms;                 /* 4000: life of an idle pooled connection */
  guint report_ms;               /* 1000: asked of backend servers */
  guint
      log_proposal_timeout_ms; /* 2000: a claim that takes longer is refused */
  guint loads_ms; /* 1000: least time between two messages of loads to
                     another entry */
  bool loads_to_all_entries;  /* not only to entries of the same services */
  guint ttl_s;                /* 10: how long callers keep an answer */
  guint test_breaks;          /* pu_entry_break_t; 0 outside tests */
  const pu_frontend_t *front; /* copied; NULL: the entry's own */
  pu_entry_hooks_t hooks;
} pu_entry_options_t;

/* pu_entry_options_init - fills O with the defaults.  */
void pu_entry_options_init (pu_entry_options_t *o);

/* pu_entry_new - listens.  The strings of O are copied.  NULL and E as of
   pu_http_server_new.  */
pu_entry_t *pu_entry_new (const pu_entry_options_t *o, pu_error_t *e);

/* pu_entry_reload - takes the backend keys and the limits (the fields that end
   in _max) of O over; all else of O is ignored.  Strings are copied.  What is
   in progress goes on.  */
void pu_entry_reload (pu_entry_t *en, const pu_entry_options_t *o);

/* pu_entry_view_changed - call after each change of the view, and once when
   it is first ready.  */
void pu_entry_view_changed (pu_entry_t *en);

/* pu_entry_add_load - the backend server NAME, as it is known here, has LOAD,
   of which SEQ rises: the other entries are told.  */
void pu_entry_add_load (pu_entry_t *en, const char *name,
                        const pu_router_report_t *load);

/* pu_entry_withdraw_copy - the copy of MODEL on the backend server NAME is
   about to be unloaded: this entry and all others send nothing more there.
   Without that each of them learns of it by a refusal of its own.  */
void pu_entry_withdraw_copy (pu_entry_t *en, const char *name,
                             const char *model);

/* pu_entry_receive_withdrawal - the same, as another entry tells it.  */
void pu_entry_receive_withdrawal (pu_entry_t *en, guint64 id,
                                  const char *model, guint life_ms);

/* pu_entry_receive_loads - N loads that another entry sent, good for LIFE_MS.
 */
void pu_entry_receive_loads (pu_entry_t *en, const pu_entry_load_t *loads,
                             guint n, guint life_ms);

/* pu_entry_accepts_reports - whether a report that comes now may be
   acknowledged. One that is acknowledged by an instance that is cut off from
   the voters renews no lease: in five seconds the backend server is down
   everywhere else, though it runs and would have reported to another instance.
 */
bool pu_entry_accepts_reports (const pu_entry_t *en);

/* pu_entry_add_report - a front has read what a backend server says of itself:
   RECORD (copied) with the number SEQ, which rises within its incarnation.
   False: it is no newer than what is known, and changes nothing.  */
bool pu_entry_add_report (pu_entry_t *en, const pu_backend_record *record,
                          guint64 seq);

/* pu_entry_mark_leaving - backend server NAME says that it ends: it gets
   nothing new from here on.  */
void pu_entry_mark_leaving (pu_entry_t *en, const char *name);

/* pu_entry_document - the document in force here, or NULL.  */
const pu_document_t *pu_entry_document (const pu_entry_t *en);

/* pu_entry_document_version - the version of that document; 0: there is
   none.  */
guint64 pu_entry_document_version (const pu_entry_t *en);

/* pu_entry_leaving - whether a planned stop has begun.  */
bool pu_entry_leaving (const pu_entry_t *en);

/* pu_entry_leave - from now on /healthz and /v1/entries no longer name this
   entry.  Requests are still served.  */
void pu_entry_leave (pu_entry_t *en);

/* pu_entry_stop - the planned stop: accepts no connections, finishes what is
   open and then calls CB.  */
void pu_entry_stop (pu_entry_t *en, void (*cb) (void *data), void *data);

/* pu_entry_abort - gives up what is still open, for a stop that takes too
   long.  CB of pu_entry_stop still comes.  */
void pu_entry_abort (pu_entry_t *en);

/* pu_entry_free - after the callback of stop.  The loop must run until the
   handles are closed.  */
void pu_entry_free (pu_entry_t *en);

int pu_entry_port (const pu_entry_t *en);

/* pu_entry_in_flight - requests in progress and outcomes not yet recorded.  */
guint pu_entry_in_flight (const pu_entry_t *en);

/* pu_entry_dump - a new object with the requests, the router, the backend
   servers that report here and the pools.  The caller owns it.  */
json_t *pu_entry_dump (const pu_entry_t *en);

G_END_DECLS

#endif
