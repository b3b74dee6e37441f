#ifndef PU_ENTRY_PRIVATE_H
#define PU_ENTRY_PRIVATE_H

#include "directory/directory.h"
#include "document/document.h"
#include "entry/entry.h"
#include "entry/events.h"
#include "entry/request.h"
#include "entry/stream.h"
#include "http/client.h"
#include "http/server.h"
#include "once/once.h"
#include "routing/router.h"
#include "suspects/suspects.h"

/*
 * entry_private - the entry's tables and one request, shared by its files.
 */

G_BEGIN_DECLS

#define PU_ENTRY_LOG_SLICE "entry"

/* A request is relayed once to an entry of its service, and once more when it
   became a suspect there: suspects of a model run at one entry alone.  */
#define PU_RELAY_HOPS_MAX 2

typedef struct pu_exchange pu_exchange_t;
typedef struct pu_reading pu_reading_t;

/* A strike on its way into the log: its request must not run before the log
   has said whether it is convicted.  */
typedef struct
{
  pu_entry_t *en;
  guint64 fingerprint;
  char *model;
  char *backend;
  guint64 incarnation;
  bool apart;       /* it ran there as a suspect */
  guint64 position; /* of the log, once it is in; 0: not yet */
  guint64 due;      /* loop time to propose it again; 0: it is proposed */
  guint64 until;    /* loop time when it is given up */
  guint64 settled;  /* loop time when all entries have it; 0: not yet in */
} pu_strike_t;

/* A backend server, as the view or its own reports tell.  */
typedef struct
{
  char *name;
  char *address;
  guint64 incarnation;
  guint64 load_id;            /* of the incarnation */
  pu_router_backend_t handle; /* PU_ROUTER_NONE when down */
  guint number;               /* of the suspects' table; never used again */
  bool leaving;
  bool plain;
  bool down;              /* by the view, or found dead here */
  guint suspects;         /* that run there from here: nothing else is sent */
  guint aborted_suspects; /* of these, cut: they may be killing it */
  GPtrArray *held;        /* of pu_exchange_t: wait for the probe's answer */
  pu_entry_t *en;
  pu_http_call_t *probe;
  guint refused;         /* probes in a row that nobody listened to */
  guint64 probe_at;      /* loop time of the next one; 0: none */
  guint64 aborted_until; /* loop time: those that were cut count until then */
  guint64 local_down_until;   /* loop time: found dead here, whatever the view
                           says;   0: not */
  GHashTable *copy_overrides; /* model -> copy_override_t: copies that were
                         told of, or found missing, since its last report */
} pu_server_t;

/* A backend server that reports to this entry.  */
typedef struct
{
  pu_entry_t *en;
  pu_backend_record *record;   /* as reported so far */
  pu_backend_record *accepted; /* as the log has it from here; NULL: not */
  pu_backend_record *proposed; /* with the log now; NULL: none */
  guint64 seq;
} pu_reporter_t;

typedef enum
{
  PU_EXCHANGE_WAITING,  /* for its like, or for a suspect to leave a copy */
  PU_EXCHANGE_CLAIMING, /* its key is with the log */
  PU_EXCHANGE_QUEUED,   /* in the router */
  PU_EXCHANGE_RUNNING,  /* at a backend server or another entry */
  PU_EXCHANGE_PROBING,  /* its attempt broke: the backend server is probed */
} pu_x_phase_t;

/* One attempt at a backend server or another entry.  */
typedef struct
{
  pu_http_call_t *call;
  pu_server_t *server; /* NULL: another entry */
  guint64 incarnation; /* of the backend server */
  guint64 sent_at;     /* loop time */
  char *entry;         /* name of the other entry */
  int status;
  pu_response_class_t answer;
  GPtrArray *passed;    /* names and values of its headers that are passed on;
                           NULL: none are */
  bool streaming;       /* the answer is a stream of events */
  bool answered;        /* the head came */
  bool begun;           /* a token came: the suspects' table knows */
  bool counted;         /* the router knows of the first token */
  bool suspect_tracked; /* with the suspects' table */
  bool apart;           /* as a suspect */
  char *content_type;
  char *outcome;               /* X-Outcome of another entry's answer */
  char *retry_after;           /* of the same */
  GByteArray *whole;           /* body of an answer that is not a stream */
  pu_stream_t *stream;         /* PU_RESPONSE_TOKENS */
  pu_event_filter_t *events;   /* PU_RESPONSE_EVENTS */
  bool overflow;               /* the whole answer is too large */
  bool done;                   /* the stream\'s end mark came */
  bool broken;                 /* the stream can\'t go on */
  pu_router_failure_t failure; /* why it is held */
} pu_attempt_t;

/* A failure that a backend server answered, while the request was tried
   elsewhere: its caller gets it unless another attempt does better.  */
typedef struct
{
  int status; /* 0: none is kept */
  GPtrArray *passed;
  GByteArray *whole;
} pu_kept_t;

/* One request of a caller.  */
struct pu_exchange
{
  pu_entry_t *en;
  pu_http_request_t *http; /* NULL: the caller has gone or has its answer */
  GList link;              /* in the entry's open */
  guint64 number;
  pu_request_t q;
  char *key;         /* of an at-most-once call */
  guint64 window_ms; /* how long its service keeps the result */
  bool chat;
  bool once;    /* its key is claimed before it is sent */
  bool relayed; /* by another entry */
  guint hops;   /* times that it was relayed */
  pu_x_phase_t phase;
  guint64 duplicate_wait_since; /* loop time: waits for its like's answer; 0:
                                   not yet */
  guint duplicate_wait_server;  /* number of the backend server */
  bool no_copy;                 /* waits for a suspect to leave one */
  bool wants;                   /* waits for its model to be loaded */
  pu_ticket_t ticket;
  pu_once_handle_t claim;
  guint attempts;
  bool offered_again; /* to the router, after it had tried every copy */
  GPtrArray *avoid;   /* names of entries that failed */
  pu_attempt_t at;
  pu_kept_t kept;
  pu_delivered_t sent;   /* what the caller has got of a stream of tokens */
  guint64 last_event;    /* number of the last event that the caller has got */
  guint events;          /* that the caller has got from here */
  guint64 last_event_at; /* when the last of them came, loop time */
  guint first_ms;        /* from the arrival to the first of them */
  guint pause_ms;        /* the longest between two of them */
  guint resumed;         /* tokens that the other entry's caller had before */
  bool head_sent;
  bool may_have_run;
  bool demand_told;
  guint predicted_ms; /* time to the first token, by the router */
};

struct pu_entry
{
  pu_entry_options_t o;
  pu_frontend_t front; /* the one in the options, else our own */
  char *name;
  char *region;
  char *zone;
  char *peer_key;
  char **backend_keys;
  pu_http_server_t *server;
  pu_http_client_t *client;
  pu_router_t *router;
  pu_directory_t *directory;
  pu_once_t *once;
  pu_suspects_t *suspects;
  pu_document_t *document;
  guint64 document_version;
  guint64 refused_version;    /* of the document that could not be read */
  pu_reading_t *reading;      /* of the next document; NULL: none is read */
  guint64 changes;            /* of the view, as taken in */
  GPtrArray *others;          /* peers' addresses of all other entries */
  guint64 other_entries_view; /* of the view's members, as they are in there */
  GHashTable *servers;        /* name -> pu_server_t */
  GHashTable *waiting;   /* set of pu_server_t of which something ends with
                            time */
  GHashTable *reporters; /* name -> pu_reporter_t */
  GHashTable *strikes;   /* &fingerprint -> pu_strike_t */
  GHashTable *struck;    /* set of &fingerprint, as in the view */
  GHashTable *rates;     /* service -> double: requests a second */
  GHashTable *counts;    /* service -> guint in this second */
  GHashTable *run_ms;    /* model -> double: mean time of a request */
  GHashTable *claims;    /* once handle -> pu_exchange_t */
  GHashTable *tickets;   /* &ticket -> pu_exchange_t */
  GHashTable *numbers;   /* &number -> pu_exchange_t */
  GQueue open;           /* of pu_exchange_t */
  GQueue startup;        /* of held_t of startup.c */
  gsize startup_bytes;   /* of their bodies */
  GHashTable *listeners; /* peers' address -> load_receiver_t of spread.c */
  GHashTable *load_ids;  /* &load_id -> pu_server_t */
  GHashTable *wants;     /* model -> want_t of wants.c */
  uv_timer_t tick;
  uv_timer_t wake; /* the router's next decision */
  guint handles;   /* open */
  guint pending;   /* proposals and readings that will call back */
  guint64 last_number;
  guint last_server_number;
  guint64 second;               /* loop time of the last rates */
  guint64 flushed;              /* loop time when loads were sent on */
  guint64 receivers_counted_at; /* loop time when the listeners' loads were
                                   counted */
  guint64 invalid_reports;
  guint64 bad_logged;
  GRand *random;
  bool leaving;
  bool stopping;
  bool server_stopped;
  bool claim_actions_running; /* the actions of `once` are being carried out */
  bool freed;
  void (*stop_cb) (void *data);
  void *stop_data;
};

/* --- announcement.c: the reports of backend servers --- */

/* A report; what it did not say is not set.  */
typedef struct
{
  bool whole; /* it says where the backend server listens */
  guint64 seq;
  pu_backend_record *record; /* all that is known of it now */
  bool has_load;
  pu_router_report_t load;
  bool has_events;
  pu_router_kv_events_t events;
  GArray *added;   /* of guint64 */
  GArray *removed; /* of guint64 */
} pu_announcement_t;

/* pu_announcement_read_sender - reads what each report says of its sender.
   False with findings.  NAME belongs to ROOT.  */
bool pu_announcement_read_sender (const json_t *root, const char **name,
                                  guint64 *incarnation, pu_findings_t *f);

/* pu_announcement_read - reads ROOT over BASE, the last report of the same
   incarnation, or NULL.  Returns false with findings; A is to be cleared in
   either case.  */
bool pu_announcement_read (pu_announcement_t *a, const json_t *root,
                           const pu_backend_record *base, pu_findings_t *f);
void pu_announcement_clear (pu_announcement_t *a);

/* --- answer.c: what callers are told --- */

const char *pu_run_outcome_name (pu_run_outcome_t o);

/* pu_respond_error - answers HTTP with a refusal; ID may be NULL.  */
void pu_respond_error (pu_http_request_t *http, const char *id,
                       const pu_refusal_t *r, const char *message);

/* pu_respond_json - answers with V, which is consumed.  */
void pu_respond_json (pu_http_request_t *http, int status, json_t *v);

/* pu_error_json_text - the JSON text of an error; free it with g_free.  */
char *pu_error_json_text (const pu_refusal_t *r, const char *message);

/* --- entries.c, announce.c: paths that take no backend server --- */

void pu_entry_serve_entries (pu_entry_t *en, pu_http_request_t *http);
void pu_entry_serve_models (pu_entry_t *en, pu_http_request_t *http);
void pu_entry_serve_health (pu_entry_t *en, pu_http_request_t *http);
void pu_entry_serve_announce (pu_entry_t *en, pu_http_request_t *http);

/* pu_service_entry_count - entries in the set of SERVICE at the present
 * demand.  */
guint pu_service_entry_count (const pu_entry_t *en, const char *service);
void pu_rates_add_request (pu_entry_t *en, const char *service);
void pu_rates_tick (pu_entry_t *en, guint64 now);

void pu_reporter_free (gpointer reporter);

/* --- startup.c: requests that come before there is a document --- */

/* pu_startup_hold - HTTP waits for the document; false: it does not, as too
   much waits.  After all instances were killed at once each of them has no
   document for a second, and a caller that is refused then has often no more
   tries: a twentieth of a minute's requests.  */
bool pu_startup_hold (pu_entry_t *en, pu_http_request_t *http);

/* pu_startup_admit - what waits goes on, once there is a document.  */
void pu_startup_admit (pu_entry_t *en);

/* pu_startup_tick - what has waited too long is refused; all, when EN stops.
 */
void pu_startup_tick (pu_entry_t *en, guint64 now);

/* --- wants.c: requests for a model that no backend server has --- */

void pu_want_free (gpointer want);

/* pu_model_wait_allowed - whether the model of X can be asked for.  */
bool pu_model_wait_allowed (const pu_exchange_t *x);

/* pu_model_wait_begin - X waits while its model is asked for.  */
void pu_model_wait_begin (pu_exchange_t *x);

/* pu_model_wait_tick - X waits: goes on with it when there is a copy, asks
   again when it is time.  */
void pu_model_wait_tick (pu_exchange_t *x, guint64 now);

/* --- demand.c: what the leader hears of demand --- */

/* pu_demand_report - X is offered to the router here: tells of it once.  */
void pu_demand_report (pu_exchange_t *x);

/* pu_demand_record_run - the answer to X is whole: learns how long one takes.
 */
void pu_demand_record_run (pu_exchange_t *x);

/* --- spread.c: loads that go on to other entries --- */

/* pu_load_forward_interval_ms - how often an entry that hears of HEARD backend
   servers is told of each: it grows with them, so that the bytes do not.  */
guint pu_load_forward_interval_ms (guint heard);

/* pu_load_forward_lifetime_ms - how long a load holds that is told every
 * INTERVAL_MS. */
guint pu_load_forward_lifetime_ms (guint interval_ms);

/* The unit of loads_ms: what pu_load_forward_interval_ms gives at least.  */
#define PU_ENTRY_LOADS_INTERVAL_MIN_MS 1000

/* pu_load_forward_queue - queues the load R of INCARNATION of the backend
   server NAME for the other entries that route to it; a newer one takes the
   place of an older.  */
void pu_load_forward_queue (pu_entry_t *en, const char *name,
                            guint64 incarnation, const pu_router_report_t *r);

/* pu_load_forward_tick - sends what is queued to those whose time has come. */
void pu_load_forward_tick (pu_entry_t *en, guint64 now);
void pu_load_receiver_free (gpointer listener);

/* --- servers.c: backend servers in the router, probes, deaths --- */

pu_server_t *pu_server_find (const pu_entry_t *en, const char *name);
void pu_server_free (gpointer server);

/* pu_servers_sync - takes in the backend servers that changed after the view's
   count of changes was SINCE; 0: all.  */
void pu_servers_sync (pu_entry_t *en, guint64 since);

/* pu_server_apply - puts B into the router.  */
pu_server_t *pu_server_apply (pu_entry_t *en, const pu_backend_record *b);

/* pu_server_hold - X waits until S is known to be alive or dead.  */
void pu_server_hold (pu_server_t *s, pu_exchange_t *x);

/* pu_server_probe - nobody listened at S: looks again.  */
void pu_server_probe (pu_server_t *s);

/* pu_server_mark_present - S has MODEL, whatever its reports say, until loop
   time UNTIL.  */
void pu_server_mark_present (pu_server_t *s, const char *model, guint64 until);

/* pu_server_mark_absent - S has not got MODEL, whatever its reports say, until
   loop time UNTIL.  */
void pu_server_mark_absent (pu_server_t *s, const char *model, guint64 until);

/* pu_server_withdraw - the copy of MODEL on S, and those of its adapters, get
   nothing more until loop time UNTIL.  */
void pu_server_withdraw (pu_server_t *s, const char *model, guint64 until);

/* pu_server_is_withdrawn - whether the copy of MODEL on S gets nothing more
   until loop time UNTIL at least.  */
bool pu_server_is_withdrawn (const pu_server_t *s, const char *model,
                             guint64 until);

/* pu_server_mark_replaced - another process has the address of S now.  */
void pu_server_mark_replaced (pu_server_t *s);
void pu_servers_tick (pu_entry_t *en, guint64 now);
void pu_server_remove_held (pu_exchange_t *x);

/* pu_server_count_suspect - one more (or less) suspect runs at S.  */
void pu_server_count_suspect (pu_entry_t *en, pu_server_t *s, bool begins);

/* pu_servers_copy_isolated - whether a backend server with a copy of MODEL
   gets nothing just because a suspect runs there from here.  */
bool pu_servers_copy_isolated (const pu_entry_t *en, const char *model);

/* pu_server_suspect_aborted - one that runs at S was cut: it counts a little
   longer.  */
void pu_server_suspect_aborted (pu_server_t *s);

/* --- strikes.c: strikes against requests --- */

/* pu_strike_begin - proposes ONE, a strike for the death of S.  */
void pu_strike_begin (pu_entry_t *en, const pu_server_t *s,
                      const pu_suspects_strike_t *one);

/* pu_strike_pending - whether the log has yet to say what a strike against
   FINGERPRINT leads to.  */
bool pu_strike_pending (const pu_entry_t *en, guint64 fingerprint);

/* pu_strikes_tick - ends those that the view has, proposes others again.  */
void pu_strikes_tick (pu_entry_t *en, guint64 now);
void pu_strike_free (gpointer strike);

/* --- document.c: a new document comes into force --- */

/* pu_document_sync - reads the document in RECORD when that is another than
   the one in force: a short one now, then true; a long one in the thread pool,
   with a pu_view_sync at its end.  */
bool pu_document_sync (pu_entry_t *en, const pu_doc_record *record);

/* --- view.c --- */

void pu_view_sync (pu_entry_t *en);

/* pu_entry_uses_builtin_frontend - whether callers speak the completions
 * interface. */
static inline bool
pu_entry_uses_builtin_frontend (const pu_entry_t *en)
{
  return en->front.read == NULL;
}

/* pu_entry_fault_injected - whether RULE is broken on purpose; tests only.  */
static inline bool
pu_entry_fault_injected (const pu_entry_t *en, pu_entry_break_t rule)
{
  return (en->o.test_breaks & rule) != 0;
}

/* --- parse.c: from HTTP to an exchange --- */

/* pu_exchange_parse_model, pu_exchange_parse_plain - fill X; on false the
   caller is answered and X is to be freed.  */
bool pu_exchange_parse_model (pu_exchange_t *x, bool chat);
bool pu_exchange_parse_plain (pu_exchange_t *x);

/* pu_exchange_resume_body - the body of X with what the caller has got, as
   the member "resume_text".  */
GBytes *pu_exchange_resume_body (const pu_exchange_t *x);

/* --- admit.c: from a request to its exchange --- */

/* When a caller comes back that is refused for what lasts a moment, ms: by
   then it has asked which entries to use again.  */
#define PU_BUSY_RETRY_AFTER_MS 1000

/* The instance stops: what is new, and what can't end in time, is told so.  */
extern const pu_refusal_t pu_refusal_stopping;

/* pu_exchange_begin_model, _plain - take HTTP for a model or a plain service,
   or answer it.  */
void pu_exchange_begin_model (pu_entry_t *en, pu_http_request_t *http,
                              bool chat);
void pu_exchange_begin_plain (pu_entry_t *en, pu_http_request_t *http);

/* pu_exchange_begin_front - the same for a request that the given front
   reads.  */
void pu_exchange_begin_front (pu_entry_t *en, pu_http_request_t *http);

/* pu_exchange_begin_held - the same, with a document, for one that ARRIVED
   then.  */
void pu_exchange_begin_held (pu_entry_t *en, pu_http_request_t *http,
                             guint64 arrived);

/* pu_exchange_refuse_starting - HTTP is answered that there is no document. */
void pu_exchange_refuse_starting (pu_entry_t *en, pu_http_request_t *http);

/* --- exchange.c: one request from its admission to its end --- */

/* pu_exchange_free - frees X, which holds nothing of a router or a caller.  */
void pu_exchange_free (pu_exchange_t *x);

/* pu_exchange_route - decides where X goes now: another entry, the router's
   queue, a backend server, or a refusal.  */
void pu_exchange_route (pu_exchange_t *x);

/* pu_exchange_offer - the same, but here.  */
void pu_exchange_offer (pu_exchange_t *x);

/* pu_exchange_fail - the final answer is R; X is freed.  */
void pu_exchange_fail (pu_exchange_t *x, const pu_refusal_t *r,
                       const char *message);

/* pu_exchange_fail_refused - the same for a refusal of the router's.  */
void pu_exchange_fail_refused (pu_exchange_t *x,
                               const pu_router_decision_t *d);

/* pu_exchange_retry - the attempt of X is over without an answer: tries
   again, or fails.  */
void pu_exchange_retry (pu_exchange_t *x, pu_router_failure_t failure);

/* pu_exchange_finish - X has its answer; it is freed.  */
void pu_exchange_finish (pu_exchange_t *x);

/* pu_exchange_apply_decision - carries out a decision of the router.  */
void pu_exchange_apply_decision (pu_exchange_t *x,
                                 const pu_router_decision_t *d);

/* pu_exchanges_tick - deadlines, and suspects that may run now.  */
void pu_exchanges_tick (pu_entry_t *en, guint64 now);
void pu_exchanges_abort (pu_entry_t *en);

/* pu_entry_limits_set - what a caller may send: the least of what the options
   and the document in force allow.  */
void pu_entry_limits_set (pu_entry_t *en);

/* pu_entry_check_stopped - after a request has ended or a callback has come:
   whether a stop or the freeing of the entry is complete.  */
void pu_entry_check_stopped (pu_entry_t *en);

/* pu_entry_schedule_router - the router is asked for its next decisions soon.
 */
void pu_entry_schedule_router (pu_entry_t *en);

/* --- own_front.c: the completions interface --- */

/* pu_entry_own_front - the entry's own front; its `read` is NULL, see
   parse.c.  */
void pu_entry_own_front (pu_frontend_t *f);

/* pu_builtin_request_headers - what the head of an attempt of X says.  */
void pu_builtin_request_headers (const pu_exchange_t *x, pu_header_list_t *h);

/* pu_builtin_classify_response - reads the head R of the answer to an attempt
 * of X.  */
void pu_builtin_classify_response (pu_exchange_t *x,
                                   const pu_http_response_t *r);

/* --- attempt.c: one try at a backend server or another entry --- */

bool pu_attempt_start (pu_exchange_t *x, pu_server_t *s);
bool pu_attempt_relay (pu_exchange_t *x, const pu_directory_entry_t *to);

/* pu_kept_clear - nothing is kept from here on.  */
void pu_kept_clear (pu_kept_t *k);

/* pu_attempt_clear - ends the attempt of X: cancels what runs.  */
void pu_attempt_clear (pu_exchange_t *x);

/* --- deliver.c: an attempt's answer on its way to the caller --- */

/* pu_deliver_tokens, pu_deliver_events - a pu_stream_cb and a
   pu_event_filter_cb, DATA being the exchange.  */
void pu_deliver_tokens (void *data, const char *bytes, gsize len,
                        guint tokens);
void pu_deliver_events (void *data, const char *bytes, gsize len, guint n);

/* pu_deliver_stream_end - the stream is whole.  */
void pu_deliver_stream_end (pu_exchange_t *x);

/* pu_deliver_response - the answer that is held whole goes to the caller.  */
void pu_deliver_response (pu_exchange_t *x);

/* pu_deliver_saved_failure - passes the kept failure of a backend server on.
 */
void pu_deliver_saved_failure (pu_exchange_t *x);

/* pu_deliver_at_most_once - the same for an at-most-once call; frees X.  */
void pu_deliver_at_most_once (pu_exchange_t *x);

/* --- claim.c: at-most-once calls --- */

void pu_claim_begin (pu_exchange_t *x);
/* pu_claim_finished - the dispatched call X ended; frees X.  RESULT goes
   with PU_ONCE_OUTCOME_RAN.  */
void pu_claim_finished (pu_exchange_t *x, pu_once_outcome_t outcome,
                        const pu_once_result_t *result);
void pu_claim_run_actions (pu_entry_t *en);

G_END_DECLS

#endif
