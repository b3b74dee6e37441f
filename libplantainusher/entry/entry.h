#ifndef PU_ENTRY_ENTRY_H
#define PU_ENTRY_ENTRY_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/counters.h"
#include "base/error.h"
#include "base/memory_budget.h"
#include "control/grants.h"
#include "entry/front.h"
#include "routing/allowance.h"
#include "routing/gossip.h"
#include "routing/request_sizes.h"
#include "routing/load_client.h"
#include "routing/witnesses.h"
#include "state/state.h"

G_BEGIN_DECLS

/*
 * entry - a daemon's listener for callers and backend servers.
 *
 * It answers which entries serve a service, receives the reports of backend
 * servers, and sends each request to a backend server or relays it to an entry
 * that serves the service.  The entry uses the rest of the daemon through
 * pu_entry_hooks_t, and the daemon notifies it when the view has changed.  The
 * processing of a request is described in docs/design/relay.md.
 *
 * Terms: the "view" is the local copy of the replicated state.  The "document"
 * is the operators' configuration of services, routes and models.  A "copy" is
 * a model loaded on a backend server.  An "incarnation" is one run of a
 * process.  A "strike" records in the replicated log that a request was
 * running on a backend server that crashed.
 */

typedef struct pu_entry pu_entry_t;

/* A load report as sent between entries.  */
typedef struct
{
  guint64 id; /* pu_entry_load_id of the backend server's incarnation */
  guint64 seq;
  guint running;
  guint waiting;
  guint age_ms; /* time since the backend server's report was received */
  guint64 at; /* uv_now when the backend server's report was received; not sent
                 to other entries */
} pu_entry_load_t;

/* pu_entry_load_id - the id of an incarnation of a backend server in load
   reports between entries, a hash of 64 bits.  After a collision (probability
   1 in 2^64 for two servers) each of the two would also be given the loads of
   the other, which is harmless because the router uses loads only as
   hints.  */
guint64 pu_entry_load_id (const char *backend, guint64 incarnation);

/* The software version that began a stream, as sent between entries.  */
typedef struct
{
  guint64 key;    /* hash of the id of the request that began it */
  char *software; /* version of the backend server's software */
  guint life_ms;  /* how long the stream can be resumed */
} pu_entry_origin_t;

/* Statements of backend servers in one message between entries.  */
#define PU_ENTRY_STATEMENTS_MAX 64

/* A crash of a backend server under a part of a prompt, as hashes (see
   suspects/parts.h).  */
typedef struct
{
  guint64 part;
  guint64 backend;
  guint64 request;
} pu_entry_accusation_t;

/* pu_entry_done_fn - receives the reply R to a proposal, or the error E, as
   pu_agent_done_fn does.  */
typedef void pu_entry_done_fn (void *data, const pu_reply *r,
                               const pu_error_t *e);

/* pu_entry_json_fn - receives the RESULT of a request to the leader, or the
   error E, as pu_agent_json_fn does.  */
typedef void pu_entry_json_fn (void *data, json_t *result,
                               const pu_error_t *e);

/* pu_entry_grants_fn - receives the GRANTS of the leader, of
   pu_allowance_grant_t, or the error E, as pu_agent_grants_fn does.  */
typedef void pu_entry_grants_fn (void *data, const GArray *grants,
                                 const pu_error_t *e);

/* pu_entry_loads_fn - receives the reply R to a statement of load, or the
   error E, as pu_agent_loads_fn does.  */
typedef void pu_entry_loads_fn (void *data, const pu_load_reply_t *r,
                                gsize bytes, const pu_error_t *e);

/* Functions that the daemon provides to the entry.  The first argument of each
   function is the member `data`.  */
typedef struct
{
  /* The local copy of the replicated state; never NULL.  */
  const pu_state_t *(*view) (void *data);
  /* Whether requests may be served from the view.  */
  bool (*ready) (void *data);
  /* Whether the view has all that was committed until a short while ago; may
     be NULL: always.  */
  bool (*view_current) (void *data);
  /* Whether the view had all that a voter had committed when it answered a
     short while ago; may be NULL: always.  */
  bool (*caught_up) (void *data);
  /* Whether the lease renewals that this entry makes with `renew` reach the
     leader.  */
  bool (*leader_reachable) (void *data);
  /* The incarnation of this daemon, which owns the claims of at-most-once
     calls that this entry makes.  */
  guint64 (*incarnation) (void *data);
  /* Proposes C to the replicated log, as pu_agent_propose does.  FN is called
     exactly once, and only after `propose` has returned.  */
  void (*propose) (void *data, const pu_command *c, guint timeout_ms,
                   pu_entry_done_fn *fn, void *fn_data);
  /* Renew the lease of a backend server and report the demand for a model to
     the leader, as pu_agent_renew and pu_agent_demand do.  */
  void (*renew) (void *data, const char *backend, guint64 incarnation);
  void (*demand) (void *data, const char *model, guint32 requests,
                  guint32 stream_ms);
  /* Reports how urgent requests for a model are, as pu_agent_urgency; may be
     NULL.  */
  void (*urgency) (void *data, const char *model, guint32 stream_ms,
                   guint32 weighted_ms);
  /* Asks the leader to have MODEL loaded, as pu_agent_want; may be NULL.  */
  void (*request_model_load) (void *data, const char *model, guint timeout_ms,
                              pu_entry_json_fn *fn, void *fn_data);
  /* Asks the leader for requests to a backend server that limits them, as
     pu_agent_request_grant; may be NULL: limits are not obeyed.  */
  void (*request_grant) (void *data, const pu_grant_request_t *q,
                         guint timeout_ms, pu_entry_json_fn *fn,
                         void *fn_data);
  /* Asks the leader for units of teams' allowances, ASKS of
     pu_allowance_ask_t, as pu_agent_ask_allowance; may be NULL: teams are not
     limited.  */
  void (*ask_allowance) (void *data, const GArray *asks, guint timeout_ms,
                         pu_entry_grants_fn *fn, void *fn_data);
  /* Returns the peer addresses of the *N voters in the order in which they
     are the hub of the exchange of loads, which are valid until the loop runs
     again.  May be NULL: loads are not exchanged.  */
  const char *const *(*load_voters) (void *data, guint *n);
  /* States this entry's load to the voter with the peer address VOTER, as
     pu_agent_exchange_loads; may be NULL as well.  */
  void (*exchange_loads) (void *data, const char *voter,
                          const pu_load_statement_t *s,
                          const pu_load_since_t *since, guint timeout_ms,
                          pu_entry_loads_fn *fn, void *fn_data);
  /* Tells the leader that a backend server refuses connections, as
     pu_agent_report_refusal; may be NULL.  */
  void (*report_refusal) (void *data, const char *backend, guint64 incarnation,
                          guint timeout_ms, pu_entry_json_fn *fn,
                          void *fn_data);
  /* Sends N load reports to the daemon with the peer address ADDRESS.  The
     reports are valid until the next ones arrive, and for LIFE_MS at most.
     May be NULL.  */
  void (*loads) (void *data, const char *address, const pu_entry_load_t *loads,
                 guint n, guint life_ms);
  /* Tells the daemon with the peer address ADDRESS to send no new requests to
     the copy of MODEL on the backend server with the load id ID for LIFE_MS.
     May be NULL.  */
  void (*withdraw) (void *data, const char *address, guint64 id,
                    const char *model, guint life_ms);
  /* Sends N origins of streams to the daemon with the peer address ADDRESS,
     which gets them unless the connection breaks.  May be NULL.  */
  void (*tell_origins) (void *data, const char *address,
                        const pu_entry_origin_t *origins, guint n);
  /* Returns the peer addresses of the *N voters that this daemon knows, which
     are valid until the loop runs again.  May be NULL: the keepers of origins
     need not be voters.  */
  const char *const *(*voters) (void *data, guint *n);
  /* Keeps N origins of streams over the end of the process.  May be NULL.  */
  void (*keep_origins) (void *data, const pu_entry_origin_t *origins, guint n);
  /* Sends N accusations to the daemon with the peer address ADDRESS.  May be
     NULL.  */
  void (*tell_accusations) (void *data, const char *address,
                            const pu_entry_accusation_t *accusations, guint n);
  /* Sends N statements of backend servers, at most PU_ENTRY_STATEMENTS_MAX, to
     the daemon with the peer address ADDRESS at loop time NOW.  Returns false
     if there is no connection to it yet.  May be NULL.  */
  bool (*tell_statements) (void *data, const char *address,
                           const pu_statement_t *statements, guint n,
                           guint64 now);
  /* Asks the daemon with the peer address ADDRESS for the origin KEY.  An
     answer is given to pu_entry_receive_origin, if one comes within
     TIMEOUT_MS.  May be NULL.  */
  void (*ask_origin) (void *data, const char *address, guint64 key,
                      guint timeout_ms);
  /* Asks the daemon with the peer address ADDRESS what it sees of BACKEND in
     INCARNATION.  An answer is given to pu_entry_receive_sight with INQUIRY,
     if one comes within TIMEOUT_MS.  May be NULL: crashes are confirmed by
     nobody.  */
  void (*ask_witness) (void *data, const char *address, const char *backend,
                       guint64 incarnation, guint64 inquiry, guint timeout_ms);
  void *data;
} pu_entry_hooks_t;

/* Faults that faults_test.cc injects to show that its checks can fail.  */
typedef enum
{
  PU_ENTRY_BREAK_FORWARD_REPLAY = 1, /* forward a replayed stream whole */
  PU_ENTRY_BREAK_RETRY_NON_REPEATABLE
  = 2, /* retry requests that may run only once */
  PU_ENTRY_BREAK_REPORT_NOT_RUN = 4, /* report every failure as not run */
  PU_ENTRY_BREAK_END_TRUNCATED = 8 /* end a truncated stream as if complete */
} pu_entry_break_t;

/* The options of an entry.  The numbers in the comments are the defaults that
   pu_entry_options_init sets.  */
typedef struct
{
  uv_loop_t *loop;
  const char *name; /* name of this instance */
  const char *region;
  const char *zone;
  const char *host; /* IP address to listen on for callers */
  int port;
  const char *certificate; /* PEM file, as is `key`; NULL: no TLS */
  const char *key;
  const char *peer_key;            /* authenticates requests that another entry
                                      relayed */
  const char *const *backend_keys; /* keys for reports of backend servers */
  guint n_backend_keys;
  pu_counters_t *counters; /* may be NULL */
  guint32 seed;
  gsize header_max; /* 32 KiB: maximum size of the request headers; 0: the
                       default of the HTTP server, also for connections_max */
  gsize body_max;   /* 8 MiB: maximum size of a request body and of a buffered
                       response */
  gsize announcement_max;     /* 1 MiB: maximum size of a report of a backend
                                 server */
  guint connections_max;      /* 4096: concurrent connections of callers */
  guint requests_max;         /* 4096: concurrent requests */
  pu_memory_budget_t *memory; /* of the process; must outlive the entry; NULL:
                                 not watched */
  guint connect_ms; /* 1000: connect timeout; 0: the HTTP client's default,
                       also for stream_progress_timeout_ms and idle_ms */
  guint stream_progress_timeout_ms; /* 10000: a stream that sends no byte for
                                       this time has failed */
  guint strike_settle_ms; /* 1000: time until all entries know of a strike */
  guint isolate_strikes;  /* 1: strikes that make a request a suspect, which
                             runs isolated (suspects/suspects.h) */
  guint together_strikes; /* 0: strikes from which identical requests are kept
                             on one backend server */
  double retry_ratio;     /* 0.1: retries for each first attempt, at most the
                             router's own share */
  double retry_slack;     /* -1: retries beyond that, of all entries together;
                             -1: the router's own number for each entry */
  bool acquit; /* false: a request that runs to its end loses its strikes */
  guint health_probe_timeout_ms; /* 1000: timeout of the health probe, which is
                                    sent on a new connection after an attempt
                                    broke off */
  guint idle_ms;            /* 4000: lifetime of an idle pooled connection */
  guint idle_stated_max_ms; /* 0: as in pu_http_client_options_t */
  guint report_ms; /* 1000: report interval requested of backend servers */
  /* 2000: timeout of a proposal to the log.  A claim is the log record that an
     idempotency key is taken.  If it takes longer, the request is refused,
     because a request with a key runs only after its claim was granted.  */
  guint log_proposal_timeout_ms;
  guint loads_ms; /* 1000: minimum interval between two load messages to
                     another entry */
  guint load_exchange_ms; /* 0: minimum interval between two statements of this
                             entry's load to a voter; 0: loads are not
                             exchanged */
  guint load_exchange_entries; /* 0: fewest entries that exchange loads */
  bool loads_to_all_entries;   /* send load reports to all entries, not only to
                                  entries that serve the same services */
  guint ttl_s;           /* 10: how long callers cache a list of entries */
  double callers_share;  /* 1: zone_share of pu_directory_options_t */
  bool place_by_urgency; /* false: report the urgency of requests only if the
                            document states place_by_urgency */
  guint test_breaks; /* injected faults, flags of pu_entry_break_t; 0 outside
                        tests */
  const pu_frontend_t *front; /* the struct is copied; NULL: built-in */
  pu_entry_hooks_t hooks;
} pu_entry_options_t;

/* pu_entry_options_init - fills O with the defaults.  */
void pu_entry_options_init (pu_entry_options_t *o);

/* pu_entry_new - creates an entry that listens on the address in O.  The
   strings of O are copied.  Returns NULL and sets E if pu_http_server_new
   fails.  */
pu_entry_t *pu_entry_new (const pu_entry_options_t *o, pu_error_t *e);

/* pu_entry_reload - applies the backend keys and the limits (the fields that
   end in _max) of O; the rest of O is ignored.  Strings are copied.  Requests
   in progress are not affected.  */
void pu_entry_reload (pu_entry_t *en, const pu_entry_options_t *o);

/* pu_entry_view_changed - applies the changes of the view to the entry's
   tables.  Call it after each change of the view, and when the view is ready
   for the first time.  */
void pu_entry_view_changed (pu_entry_t *en);

/* pu_entry_add_load - reports LOAD, of the incarnation that the entry knows of
   the backend server NAME, to the router and forwards it to the other
   entries.  The `seq` of LOAD must rise from call to call.  */
void pu_entry_add_load (pu_entry_t *en, const char *name,
                        const pu_router_report_t *load);

/* pu_entry_slowness - returns pu_router_slowness of the backend server NAME;
   0: not known.  */
double pu_entry_slowness (const pu_entry_t *en, const char *name);

/* pu_entry_withdraw_copy - the copy of MODEL on the backend server NAME is
   about to be unloaded: this entry and all others stop sending requests to
   that copy.  Without this call, each entry would notice only when the copy
   refuses a request from that entry.  */
void pu_entry_withdraw_copy (pu_entry_t *en, const char *name,
                             const char *model);

/* pu_entry_receive_withdrawal - receives a withdrawal that another entry sent:
   for LIFE_MS, this entry sends no new requests to the copy of MODEL on the
   backend server with the load id ID.  */
void pu_entry_receive_withdrawal (pu_entry_t *en, guint64 id,
                                  const char *model, guint life_ms);

/* pu_entry_receive_loads - receives N load reports from another entry.  The
   reports are valid for LIFE_MS.  */
void pu_entry_receive_loads (pu_entry_t *en, const pu_entry_load_t *loads,
                             guint n, guint life_ms);

/* pu_entry_receive_accusations - receives N accusations that another entry
   sent.  They count here for a while, though the log may lack them.  */
void pu_entry_receive_accusations (pu_entry_t *en,
                                   const pu_entry_accusation_t *list, guint n);

/* pu_entry_receive_statements - receives N statements of backend servers that
   another entry sent.  Their times are loop times of this entry.  */
void pu_entry_receive_statements (pu_entry_t *en, const pu_statement_t *list,
                                  guint n);

/* pu_entry_receive_origins - receives N origins that another entry sent.  */
void pu_entry_receive_origins (pu_entry_t *en, const pu_entry_origin_t *list,
                               guint n);

/* pu_entry_load_origin - KEPT is an origin that keep_origins was given before
   this process started.  It counts until the stream that it is of cannot be
   resumed any more, but a stream of this entry is resumed by it only after
   other keepers were asked: they may know another version for the same id.  */
void pu_entry_load_origin (pu_entry_t *en, const pu_entry_origin_t *kept);

/* pu_entry_find_origin - returns the software version that began the stream
   KEY, as far as this entry knows, "" if several did, or NULL.  Valid until
   the entry is called again.  */
const char *pu_entry_find_origin (const pu_entry_t *en, guint64 key);

/* pu_entry_receive_origin - receives the answer of another entry to
   ask_origin, in the form of pu_entry_find_origin.  */
void pu_entry_receive_origin (pu_entry_t *en, guint64 key,
                              const char *software);

/* pu_entry_receive_sight - receives the answer of another entry to
   ask_witness.  */
void pu_entry_receive_sight (pu_entry_t *en, guint64 inquiry,
                             pu_sight_t sight);

typedef void pu_entry_sight_fn (void *data, pu_sight_t sight);

/* pu_entry_see_backend - connects to the backend server NAME in INCARNATION,
   for another entry.  FN is called exactly once with what this entry sees of
   it, maybe before this returns.  */
void pu_entry_see_backend (pu_entry_t *en, const char *name,
                           guint64 incarnation, pu_entry_sight_fn *fn,
                           void *data);

/* pu_entry_accepts_reports - whether a report received now may be
   acknowledged.  If an instance without contact to the voters acknowledged it,
   no lease would be renewed: after five seconds all other instances would take
   the backend server for down, although it runs and could have reported to
   another instance.  */
bool pu_entry_accepts_reports (const pu_entry_t *en);

typedef enum
{
  PU_REPORT_APPLIED,
  PU_REPORT_LATE,       /* a later one of the same incarnation was applied */
  PU_REPORT_SUPERSEDED, /* a later incarnation is known */
  PU_REPORT_NO_ROOM     /* as many backend servers are up as there is room
                           for */
} pu_report_result_t;

/* pu_entry_add_report - applies a report that a frontend has read: RECORD
   (copied) with the sequence number SEQ, which rises from report to report of
   an incarnation.  Changes nothing unless it returns PU_REPORT_APPLIED.  */
pu_report_result_t pu_entry_add_report (pu_entry_t *en,
                                        const pu_backend_record *record,
                                        guint64 seq);

/* pu_entry_leave_fn - KNOWN: the log has it that a backend server leaves, so
   that each entry in contact with the voters learns of it.  */
typedef void pu_entry_leave_fn (void *data, bool known);

/* pu_entry_mark_leaving - records that INCARNATION of the backend server NAME
   has reported that it shuts down.  It gets no new requests of this entry, and
   the log is told until it has that.  FN, if not NULL, is called exactly once,
   within 800 ms and maybe before this returns: a leave that the log does not
   have must not be acknowledged.  */
void pu_entry_mark_leaving (pu_entry_t *en, const char *name,
                            guint64 incarnation, pu_entry_leave_fn *fn,
                            void *data);

/* pu_entry_mark_removed - does the same for the latest incarnation of NAME
   that this entry knows, for a message that names none.  Nothing is recorded,
   and FN gets false, if the message may be about another one: the view is too
   old to serve from, the incarnation has taken the place of an earlier one
   less than ten seconds ago, or no incarnation of NAME is known and others
   state theirs.  FN is not NULL.  */
void pu_entry_mark_removed (pu_entry_t *en, const char *name,
                            pu_entry_leave_fn *fn, void *data);

/* pu_entry_document - the document in force on this entry, or NULL.  */
const pu_document_t *pu_entry_document (const pu_entry_t *en);

/* pu_entry_document_version - the version of the document in force, or 0.  */
guint64 pu_entry_document_version (const pu_entry_t *en);

/* pu_entry_zone_entries - appends to OUT (of pu_directory_entry_t) the entries
   that callers in the availability zone ZONE are told of, see
   pu_directory_zone_entries.  */
void pu_entry_zone_entries (const pu_entry_t *en, const char *zone,
                            GArray *out);

/* pu_entry_leaving - whether pu_entry_leave or pu_entry_stop was called.  */
bool pu_entry_leaving (const pu_entry_t *en);

/* pu_entry_leave - /healthz reports that this entry is leaving, and
   /v1/entries no longer lists it.  Requests are still served.  */
void pu_entry_leave (pu_entry_t *en);

/* pu_entry_stop - graceful stop: accepts no more connections, completes the
   requests in progress and then calls CB.  */
void pu_entry_stop (pu_entry_t *en, void (*cb) (void *data), void *data);

/* pu_entry_abort - fails the requests that are still in progress, for a stop
   that takes too long.  The callback CB of pu_entry_stop is still called.  */
void pu_entry_abort (pu_entry_t *en);

/* pu_entry_free - frees EN after the callback of pu_entry_stop.  The loop must
   run until the handles are closed.  */
void pu_entry_free (pu_entry_t *en);

/* pu_entry_port - the port that EN listens on.  */
int pu_entry_port (const pu_entry_t *en);

/* pu_entry_in_flight - the number of requests in progress and of at-most-once
   calls whose outcome is not yet recorded.  */
guint pu_entry_in_flight (const pu_entry_t *en);

/* pu_entry_teams - returns a new array with what this entry has admitted and
   refused of each team of the document in force: "name", "unit",
   "rate_per_s" and "burst" of all entries together, "units_per_s",
   "requests_per_s", "refused_per_s" and "refused_pct" lately, "units",
   "requests" and "refused" since the start, "waiting" requests, "held_back",
   and "alone" without replies of the leader.  */
json_t *pu_entry_teams (const pu_entry_t *en);

/* pu_entry_each_request_size - calls FN for each team with a request that
   stated its tokens to this entry in the last ten minutes
   (routing/request_sizes.h).  */
void pu_entry_each_request_size (const pu_entry_t *en, pu_request_sizes_fn *fn,
                                 void *data);
/* pu_entry_load_exchange - sets S to the state of the exchange of loads.
   Returns false if loads are not exchanged.  */
bool pu_entry_load_exchange (const pu_entry_t *en, pu_load_client_state_t *s);

/* pu_entry_dump - returns a new object with the state of the requests, the
   router, the backend servers that report to this entry and the connection
   pools.  The caller owns it.  */
json_t *pu_entry_dump (const pu_entry_t *en);

G_END_DECLS

#endif
