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
#include "routing/brittle.h"
#include "routing/crowded.h"
#include "routing/lost.h"
#include "routing/origins.h"
#include "routing/reach.h"
#include "routing/router.h"
#include "routing/gossip.h"
#include "routing/versions.h"
#include "suspects/parts.h"
#include "suspects/suspects.h"

/*
 * entry_private - the entry's tables and the state of one request, shared by
 * the source files of the entry.
 *
 * "Loop time" is uv_now of the entry's loop, in milliseconds.  A "suspect" is
 * a request that may have crashed a backend server (suspects/suspects.h).  A
 * request is "convicted" when the log has recorded so many strikes against it
 * that it must not run again.  A "fingerprint" is a hash that is equal for
 * identical requests.  A "ticket" is the router's handle of a request that it
 * has queued or dispatched.  A "claim" is the record in the log that an entry
 * runs the at-most-once call with an Idempotency-Key.  "The log" is the
 * replicated log.  The header entry.h explains "view", "document", "copy",
 * "incarnation" and "strike".
 */

G_BEGIN_DECLS

#define PU_ENTRY_LOG_SLICE "entry"

/* The most relays of one request: one to an entry that serves its service, and
   a second one if the request became a suspect at that entry, because the
   suspects of a model are run by a single entry.  */
#define PU_RELAY_HOPS_MAX 2

typedef struct pu_exchange pu_exchange_t;
typedef struct pu_document_parse pu_document_parse_t;
typedef struct pu_load_exchange pu_load_exchange_t;

/* A strike that is being proposed to the log.  Requests with this fingerprint
   must not run until the log has decided whether the request is convicted.  */
typedef struct
{
  pu_entry_t *en;
  guint64 number; /* unique within the entry */
  guint64 fingerprint;
  char *model;
  char *backend;
  guint64 incarnation;
  bool isolated;      /* the request ran on `backend` as a suspect */
  guint64 position;   /* position in the log; 0: not committed yet */
  guint64 propose_at; /* loop time of the next proposal; 0: none is due */
  guint64 give_up_at; /* loop time when the strike is abandoned */
  guint64 settled_at; /* loop time from which all entries are taken to have
                         received the strike; 0: its log position is not in the
                         view yet */
} pu_strike_t;

/* A backend server as described by the view and by the reports that it sent to
   this entry.  */
typedef struct
{
  char *name;
  char *address;
  guint64 incarnation;
  guint64 load_id;            /* pu_entry_load_id of the incarnation */
  pu_router_backend_t handle; /* router's handle; PU_ROUTER_NONE when down */
  /* Identifies the server in `suspects` of the entry, the table that records
     which request is in flight on which server; never reused.  */
  guint number;
  guint64 replaced_at;   /* loop time when its incarnation took the place of an
                            earlier one; 0: this entry knew none */
  char *software;        /* version of its own software; "": not known */
  char *counted_service; /* under which it is counted in `versions` of the
                            entry, with counted_software; NULL: it is not */
  char *counted_software;

  bool software_disputed; /* its incarnation has stated several versions */
  bool leaving;
  bool plain; /* serves a plain service, not models */
  bool down;  /* according to the view, or found dead by this entry */
  guint running_suspects; /* suspects that this entry runs on the server; while
                             there are any, the entry sends it nothing else */
  guint aborted_suspects; /* those of running_suspects whose attempt was
                             cancelled or lost its connection: such a suspect
                             may still run and crash the server */
  GPtrArray *held_exchanges; /* of pu_exchange_t that wait for the result of
                                `probe` */
  pu_entry_t *en;
  pu_http_call_t *probe;
  guint64 probe_began_at; /* loop time */
  bool probe_again;       /* an attempt broke while `probe` ran */
  guint failed_probes;    /* consecutive probes that were refused or closed */
  guint crash_confirmations; /* other backend servers that have refused a
                                connection since this one was found to */
  guint64 probe_at;          /* loop time of the next probe; 0: none */
  guint64 aborted_until;     /* loop time until which aborted_suspects is still
                              counted in running_suspects */
  guint64 back_off_until;    /* loop time until which it wants no requests of
                                this entry */
  pu_brittle_t *brittle;     /* NULL: it bears any number of rejections */
  pu_crowded_t *crowded;     /* of a plain server; NULL: this entry has sent it
                                nothing */
  double stated_per_s;   /* rejections per second that it bears, as it states;
                            0: any number */
  guint64 crowded_until; /* loop time until which it is known to have no room
                            for what all entries send */
  guint64 crowded_logged_at; /* loop time of the last log line on it */
  guint64 adopted_until; /* loop time until which this entry sends requests to
                            the server, whoever owns it */
  double limit_per_s;    /* requests per second that it takes from all entries
                            together; 0: not limited */
  guint64 limit_stated_at;   /* loop time when it last stated limit_per_s */
  guint grants;              /* requests that the leader has granted */
  guint64 grants_until;      /* loop time until which `grants` is valid */
  guint64 next_grant_at;     /* loop time when to ask for the next grant */
  bool grant_requested;      /* a grant request has no reply yet */
  bool refusal_reporting;    /* a report of a refused connection has no reply
                                yet */
  guint64 refusal_report_at; /* loop time of the next such report */
  guint64 inquiry; /* number of the inquiry whether it has crashed; 0: none */
  guint64 inquiry_incarnation;
  pu_witnesses_t witnesses;  /* of the inquiry */
  bool broke_off;            /* requests broke off, which the check is about */
  guint64 refused_at;        /* loop time when the check began */
  guint64 next_inquiry_at;   /* loop time of the next one if none breaks off */
  guint64 unconfirmed_until; /* loop time until which it counts as crashed if
                                the log has it as down */
  guint64 local_down_until;  /* loop time until which this entry takes the
                                server for dead, even if the view lists it as
                                up; 0: not found dead */
  GHashTable
      *copy_overrides; /* model -> copy_override_t: copies known to be present,
                  or found missing, contrary to the last report */
} pu_server_t;

/* A backend server that reports to this entry.  */
typedef struct
{
  pu_entry_t *en;
  pu_backend_record *record;   /* merged from all reports so far */
  pu_backend_record *accepted; /* last record that the log accepted from this
                                  entry; NULL: none */
  pu_backend_record *proposed; /* being proposed to the log; NULL: none */
  guint64 seq;                 /* sequence number of the last report */
} pu_reporter_t;

typedef enum
{
  PU_EXCHANGE_WAITING, /* waits for an identical request, for the log to decide
                          on a strike, for the end of a suspect that occupies a
                          copy, or for its model to be loaded */
  PU_EXCHANGE_CLAIMING, /* the claim of its Idempotency-Key, or the outcome of
                           the claimed call, is being proposed to the log */
  PU_EXCHANGE_QUEUED,   /* waits in the router's queue */
  PU_EXCHANGE_RUNNING,  /* sent to a backend server or relayed to another entry
                         */
  PU_EXCHANGE_PROBING,  /* its attempt broke off, and the backend server of the
                           attempt is being probed */
} pu_exchange_phase_t;

/* One attempt at a backend server or another entry.  */
typedef struct
{
  pu_http_call_t *call;
  pu_server_t *server; /* NULL: relayed to another entry */
  guint64 incarnation; /* incarnation of the backend server */
  guint64 sent_at;     /* loop time when the call was started */
  char *entry;    /* name of the entry that it is relayed to; NULL: none */
  char *owner;    /* name of the entry by whose way it goes to `server`, which
                     is brittle; NULL: it goes there itself */
  char *software; /* of the backend server, as that entry states; NULL: not
                     stated */
  int status;
  pu_response_class_t answer;
  GPtrArray *headers; /* alternating names and values of the response headers
                        to forward; NULL: none */
  bool streaming;     /* the response is a stream of events */
  bool answered;      /* the response head was received */
  bool reported_to_suspects; /* the first token was reported to the suspects'
                                table */
  bool reported_to_router;   /* the first token was reported to the router */
  bool suspect_tracked; /* the attempt is recorded in the suspects' table */
  bool connection_lost; /* the connection broke, which may be a crash */
  bool complete;        /* the whole response has come, by its length */
  bool rejected;        /* the backend server had no room for it */
  bool by_server;       /* the response that came by way of `owner` is that of
                           `server` */
  bool as_suspect;      /* the attempt runs as a suspect */
  char *content_type;
  char *outcome;               /* X-Outcome of the response */
  char *retry_after;           /* Retry-After of the response */
  GByteArray *body;            /* body of a buffered response */
  pu_stream_t *stream;         /* parser of tokens; NULL: none */
  pu_event_filter_t *events;   /* parser of numbered events; NULL: none */
  bool overflow;               /* the buffered response is too large */
  bool done;                   /* the end mark of the stream was received */
  bool broken;                 /* the stream can't be continued */
  pu_router_failure_t failure; /* why the exchange is in PU_EXCHANGE_PROBING */
} pu_attempt_t;

/* An error response of a backend server, stored while the request is retried
   on another one.  The caller gets this response if no later attempt has a
   better result.  */
typedef struct
{
  int status;         /* 0: no response is stored */
  GPtrArray *headers; /* alternating names and values to forward */
  GByteArray *body;
} pu_saved_failure_t;

/* One request of a caller, from its admission to its final response.  */
struct pu_exchange
{
  pu_entry_t *en;
  pu_http_request_t *http; /* NULL: the caller disconnected or was answered */
  GList link;              /* in the entry's queue `open` */
  guint64 number; /* number of the exchange, unique within the entry */
  pu_request_t q;
  char *key;         /* Idempotency-Key; NULL: none */
  guint64 window_ms; /* how long its service stores the result */
  bool chat;         /* a chat completion */
  bool once;    /* at-most-once call: its key is claimed before it is sent */
  bool relayed; /* received from another entry */
  guint hops;   /* number of relays so far */
  pu_exchange_phase_t phase;
  guint64 duplicate_wait_since;       /* loop time when it began to wait for an
                                         identical request that runs on another
                                         backend server; 0: it does not wait */
  guint duplicate_wait_server_number; /* number of the backend server that it
                                         must not be sent to while it waits */
  bool waits_for_suspect; /* no copy of its model is ready, because a suspect
                             occupies one: waits until that suspect ends */
  bool waits_for_model;   /* waits for its model to be loaded */
  guint grant_server; /* number of the backend server for which it waits for
                         the leader's grant; 0: none */
  bool waits_for_allowance; /* waits for units of its team's allowance */
  gsize body_counted;       /* bytes of the body in the entry's body_bytes */
  bool charged_here;        /* this entry took its units from the allowance,
                               and has not put them back */
  GList allowance_link;     /* in the entry's queue `allowance_waiting` */
  pu_ticket_t ticket;
  pu_once_handle_t claim;
  guint attempts;
  guint server_attempts; /* those at backend servers that got a connection */
  guint unconnected;     /* those at backend servers that got none */
  guint attempts_spent;  /* attempts of earlier tickets, which the limit of its
                            route covers too */
  bool offered_again; /* was offered to the router again after every copy had
                        been tried */
  GPtrArray *avoid;   /* names of entries to which a relay failed */
  GPtrArray *unreached_owners; /* names of owners of backend servers that were
                                  not reached, or did not serve it; NULL:
                                  none */
  char *only_server;    /* backend server for which it came here by way of its
                           owner, the only one that may run it; NULL: any */
  char *failed_server;  /* on which its last attempt failed; NULL: none */
  guint relay_age_ms;   /* how long the entry that sent it to this owner had
                           it */
  guint owner_retry_ms; /* the shortest time to come back that an owner
                           named in a refusal; 0: none */
  double only_server_bound; /* rejections per second that this server bears;
                               0: not known */
  pu_attempt_t at;
  pu_saved_failure_t saved_failure;
  pu_delivered_t delivered; /* the part of a token stream sent to the caller */
  char *software;    /* version of the software that began its stream; "": not
                        known, the stream can't be resumed; NULL: the stream
                        has not begun */
  bool began_here;   /* this entry has recorded the origin of its stream */
  bool origin_asked; /* other entries were asked for the origin of the stream
                        that it resumes */
  guint origin_answers_due;
  char *origin_found; /* the version that was answered so far, "" if answers
                         differ, or NULL; only where keepers are voters */
  guint64 origin_ask_until; /* loop time until which keepers that do not answer
                               are asked again; 0: not asked yet */
  guint64 origin_wait_until;  /* loop time until which it waits for these
                                 answers; 0: it does not wait */
  guint64 contact_wait_until; /* loop time until which it waits for contact to
                                 the voters, without which the origin is not
                                 certain; 0: it has not waited */
  guint64 last_event; /* number of the last event that the caller received */
  guint events;       /* number of events that this entry sent to the caller */
  guint64 last_event_at; /* loop time of the last event sent to the caller */
  guint first_event_ms; /* time from the arrival to the first event sent to the
                           caller */
  guint max_event_gap_ms; /* the longest time between two events sent to the
                             caller */
  guint resumed; /* tokens that the caller had received through the entry that
                    relayed the request to this one */
  bool head_sent;
  bool may_have_run;
  bool demand_reported; /* its demand was reported to the leader */
  guint predicted_ms;   /* time to the first token estimated by the router */
};

struct pu_entry
{
  pu_entry_options_t o;
  pu_frontend_t front; /* the frontend of the options, or the built-in one */
  char *name;
  char *region;
  char *zone;
  char *peer_key;
  char **backend_keys;
  pu_http_server_t *server;
  pu_http_client_t *client;
  pu_router_t *router;
  pu_directory_t *directory;
  double retry_pct;    /* of the router: retries earned by 100 requests */
  guint retry_entries; /* entries that share the retries with this one */
  bool retry_shared;   /* callers are told of this entry */
  double retry_burst;  /* the router's own bound on saved retries */
  pu_once_t *once;
  pu_suspects_t *suspects;
  pu_parts_t *parts; /* parts of prompts that may crash backend servers */
  GHashTable *logged_parts;   /* set of &part: those that the view has a record
                                 of */
  GHashTable *part_standings; /* &part of the view -> pu_parts_verdict_t that
                                 was logged */
  pu_document_t *document;
  /* Sets of the priorities of requests on routes with cost_of_delay and on the
     other routes, a bit for each.  */
  guint delay_priorities;
  guint fixed_priorities;
  pu_router_stats_t delay_logged; /* as of the last log line on delays */
  guint64 delay_logged_at;
  guint64 document_version;
  guint64 rejected_version; /* version of the last document that was invalid */
  pu_document_parse_t *parsing; /* parse in progress; NULL: none */
  guint64 changes; /* change count of the view (this daemon's copy of the
                      replicated state) that was last applied */
  uint64_t buffered_bytes; /* of the responses that are kept whole */
  uint64_t body_bytes;     /* of the large bodies of requests in progress */
  pu_gossip_t *statements; /* what backend servers state */
  guint64 statement_entries_version; /* version of the view's members that
                                        `statements` has */
  GPtrArray *other_addresses;        /* peer addresses of all other entries */
  guint64 other_addresses_version;   /* version of the view's members that
                                   other_addresses was made from */
  GHashTable *servers;               /* name -> pu_server_t */
  GHashTable
      *ticking_servers; /* set of pu_server_t that have a pending timer */
  GHashTable *brittle_servers; /* set of pu_server_t that bear few
                                  rejections */
  GHashTable *heard_services;  /* set of services of which an answer came */
  GHashTable *crowded_servers; /* set of pu_server_t that are crowded */
  GHashTable *asked_services;  /* other service -> asked_t of brittle.c */
  bool applying_all;     /* all backend servers of the view are applied */
  guint changes_logged;  /* changes of state among them */
  GHashTable *reporters; /* name -> pu_reporter_t */
  GHashTable *leaves;    /* set of leave_t of leaves.c */
  pu_reach_t reach;      /* whether it reaches the backend servers */
  pu_lost_t *lost;       /* of pu_server_t: those that it does not reach */
  guint64 heard_at;      /* loop time when a backend server last sent
                            anything */
  GPtrArray *peers;      /* of peer_t of reach.c: the other entries */
  guint64 peers_version; /* version of the view's members that peers was made
                            from */
  GHashTable *cut_off_peers; /* name -> guint64: loop time until which an entry
                                counts as cut off from the backend servers */
  pu_origins_t *origins;     /* what began streams, here and elsewhere */
  pu_origins_t *kept_origins; /* the same, as kept before this process */
  guint64 origins_since;      /* loop time of the start of this entry */
  pu_versions_t *versions;    /* software versions by service */
  guint64 served_position;    /* up to this position of the log, `versions` has
                                 those that serve no more */
  GHashTable *outgoing_origins; /* peer address -> GArray of
                                   pu_entry_origin_t, to be sent */
  uv_timer_t origins_timer;     /* sends outgoing_origins */
  GPtrArray *strikes;           /* of pu_strike_t, owned */
  GHashTable *acquittals; /* set of &fingerprint: acquittals that are being
                             proposed to the log */
  GHashTable *suspect_standings; /* &fingerprint of the view -> standing_t of
                                    view.c */
  GHashTable *rates;             /* service -> double: requests per second */
  GHashTable *counts; /* service -> guint: requests in the current second */
  GHashTable *mean_run_ms; /* model -> double: mean run time of a request */
  GHashTable *claims;      /* pu_once_handle_t -> pu_exchange_t */
  GHashTable *tickets;     /* &ticket -> pu_exchange_t */
  GHashTable *numbers;     /* &number -> pu_exchange_t */
  GQueue open;             /* of pu_exchange_t */
  GQueue startup_queue;    /* of held_request_t of startup.c */
  gsize startup_bytes;     /* total size of the bodies in startup_queue */
  GHashTable
      *load_receivers;  /* peer address -> load_receiver_t of load_forward.c */
  GHashTable *load_ids; /* &load_id -> pu_server_t */
  GHashTable *model_waits;   /* model -> model_wait_t of model_wait.c */
  pu_allowance_t *allowance; /* of all teams */
  GQueue allowance_waiting;  /* of pu_exchange_t that wait for it */
  pu_request_sizes_t *request_sizes;
  GHashTable *team_rates;            /* name -> team_rates_t of allowances.c */
  guint64 team_rates_at;             /* loop time of their last update */
  uv_timer_t allowance_timer;        /* next question to the leader */
  pu_load_exchange_t *load_exchange; /* NULL: loads are not exchanged */
  uv_timer_t load_exchange_timer;    /* next statement */
  uv_timer_t tick_timer;
  uv_timer_t router_timer; /* next call of pu_router_schedule */
  guint open_handles;      /* number of open libuv handles */
  guint pending; /* number of callbacks still expected from proposals, load
                    requests and parses */
  guint64 last_number; /* of an exchange */
  guint64 last_strike_number;
  guint64 last_inquiry;
  GHashTable *inquiries; /* &inquiry -> pu_server_t */
  guint sightings;       /* as a witness, that have not ended */
  guint last_server_number;
  guint64 rates_updated_at; /* loop time when the rates were last updated */
  guint64
      load_forward_ticked_at; /* loop time of the last pu_load_forward_tick */
  guint64 receivers_counted_at; /* loop time when, for each load receiver, the
                                   backend servers whose loads it is sent were
                                   last counted */
  guint64 invalid_reports;
  guint64 invalid_report_logged_at; /* loop time when an invalid report was
                                       last logged; limits the log lines */
  guint64 no_room_logged_at; /* the same for a report that there is no room
                                for */
  GRand *random;
  bool leaving;
  bool stopping;
  bool server_stopped;
  bool claim_actions_running; /* pu_claim_run_actions is running: it is not
                                 reentrant */
  bool freed;
  void (*stop_cb) (void *data);
  void *stop_data;
};

/* --- announcement.c: the reports of backend servers --- */

/* A parsed report.  Members that the report left out are not set.  */
typedef struct
{
  bool full; /* it gives the address of the backend server */
  guint64 seq;
  pu_backend_record *record; /* the base record with the report applied */
  bool has_load;
  pu_router_report_t load;
  bool has_events;
  pu_router_kv_events_t events;
  GArray *added;   /* of guint64: hashes of the blocks newly cached */
  GArray *removed; /* of guint64: hashes of the blocks no longer cached */
} pu_announcement_t;

/* pu_announcement_read_sender - reads the name and the incarnation of the
   sender, which every report has.  Returns false with findings in F.  NAME
   belongs to ROOT.  */
bool pu_announcement_read_sender (const json_t *root, const char **name,
                                  guint64 *incarnation, pu_findings_t *f);

/* pu_announcement_read - reads the report ROOT as a change of BASE, the record
   of the same incarnation, or NULL if there is none.  Returns false with
   findings in F.  A must be cleared in either case.  */
bool pu_announcement_read (pu_announcement_t *a, const json_t *root,
                           const pu_backend_record *base, pu_findings_t *f);
void pu_announcement_clear (pu_announcement_t *a);

/* --- answer.c: JSON and error responses --- */

/* pu_run_outcome_name - the value of X-Outcome for O.  */
const char *pu_run_outcome_name (pu_run_outcome_t o);

/* pu_respond_error - responds to HTTP with the error R.  ID is the request id
   and may be NULL.  */
void pu_respond_error (pu_http_request_t *http, const char *id,
                       const pu_refusal_t *r, const char *message);

/* pu_respond_json - responds with V, whose reference is consumed.  */
void pu_respond_json (pu_http_request_t *http, int status, json_t *v);

/* pu_error_json_text - returns the JSON text of an error.  Free it with
   g_free.  */
char *pu_error_json_text (const pu_refusal_t *r, const char *message);

/* --- entries.c, announce.c: requests that the entry answers itself --- */

void pu_entry_serve_entries (pu_entry_t *en, pu_http_request_t *http);
void pu_entry_serve_models (pu_entry_t *en, pu_http_request_t *http);
void pu_entry_serve_health (pu_entry_t *en, pu_http_request_t *http);
void pu_entry_serve_announce (pu_entry_t *en, pu_http_request_t *http);

/* pu_service_entry_count - the number of entries that serve SERVICE at its
   current request rate.  */
guint pu_service_entry_count (const pu_entry_t *en, const char *service);

/* pu_rates_add_request - counts one request for SERVICE; pu_rates_tick updates
   the mean rates from the counts.  */
void pu_rates_add_request (pu_entry_t *en, const char *service);
void pu_rates_tick (pu_entry_t *en, guint64 now);

void pu_reporter_free (gpointer reporter);

/* --- startup.c: requests received before the first document --- */

/* pu_startup_hold - queues HTTP until there is a document.  Returns false if
   the queue is full or the entry is stopping.  When all instances restart at
   the same time, each has no document for about a second.  Refusing requests
   in that second lost a twentieth of all requests of that minute, because
   callers often have no retries left by then.  */
bool pu_startup_hold (pu_entry_t *en, pu_http_request_t *http);

/* pu_startup_admit - begins the exchanges of the queued requests if there is a
   document.  */
void pu_startup_admit (pu_entry_t *en);

/* pu_startup_tick - refuses the queued requests that have waited longer than
   HOLD_TIMEOUT_MS of startup.c, or all queued requests if EN is stopping.  */
void pu_startup_tick (pu_entry_t *en, guint64 now);

/* --- model_wait.c: requests for a model without a ready copy --- */

void pu_model_wait_free (gpointer wait);

/* pu_model_waits_remove_stale - removes the records of models that the
   document in force does not declare and of which no load request is in
   flight.  */
void pu_model_waits_remove_stale (pu_entry_t *en);

/* pu_model_wait_allowed - whether X may wait while the leader has the model of
   X loaded.  */
bool pu_model_wait_allowed (const pu_exchange_t *x);

/* pu_model_wait_begin - makes X wait, and asks the leader to load its model.
   Refuses X if a retry by the caller would be served no later than X.  */
void pu_model_wait_begin (pu_exchange_t *x);

/* pu_model_wait_tick - checks X, which waits for its model.  Offers X to the
   router once there is a ready copy, refuses X when its caller is about to
   disconnect, or asks the leader again.  */
void pu_model_wait_tick (pu_exchange_t *x, guint64 now);

/* --- refusals.c: engines that refuse connections --- */

/* pu_server_refused - tells the leader that S, an engine, refuses connections
   from this instance, unless it has just been told.  */
void pu_server_refused (pu_server_t *s);

/* --- demand.c: demand reported to the leader --- */

/* pu_demand_report - reports the demand of X to the leader, once for each
   request.  Call it when X is offered to the router.  */
void pu_demand_report (pu_exchange_t *x);

/* pu_demand_record_run - updates the mean run time of the model of X.  Call it
   when X has been answered successfully.  */
void pu_demand_record_run (pu_exchange_t *x);

/* pu_demand_remove_stale - removes the mean run times of models that the
   document in force does not declare.  */
void pu_demand_remove_stale (pu_entry_t *en);

/* --- load_forward.c: load reports forwarded to other entries --- */

/* pu_load_forward_interval_ms - the interval between the load reports that are
   sent to an entry which receives the loads of N_BACKENDS backend servers.
   The interval grows with N_BACKENDS, so that the traffic to that entry does
   not.  */
guint pu_load_forward_interval_ms (guint n_backends);

/* pu_load_forward_lifetime_ms - how long a load report that is sent every
   INTERVAL_MS stays valid.  */
guint pu_load_forward_lifetime_ms (guint interval_ms);

/* The smallest result of pu_load_forward_interval_ms, and the default of the
   option loads_ms.  A loads_ms other than this value scales the intervals in
   proportion.  */
#define PU_ENTRY_LOADS_INTERVAL_MIN_MS 1000

/* pu_load_forward_entries - returns the peer addresses of all other
   entries.  */
const GPtrArray *pu_load_forward_entries (pu_entry_t *en);

/* pu_load_forward_queue - queues the load report R of INCARNATION of the
   backend server NAME for the other entries that route to it.  R replaces an
   older report of that backend server that is still queued.  */
void pu_load_forward_queue (pu_entry_t *en, const char *name,
                            guint64 incarnation, const pu_router_report_t *r);

/* pu_load_forward_tick - sends the queued load reports to the entries whose
   interval has passed.  */
void pu_load_forward_tick (pu_entry_t *en, guint64 now);
void pu_load_receiver_free (gpointer receiver);

/* --- servers.c: backend servers in the router, probes, crashes --- */

pu_server_t *pu_server_find (const pu_entry_t *en, const char *name);
void pu_server_free (gpointer server);

/* pu_servers_sync - applies the backend servers that changed in the view after
   its change count was SINCE.  If SINCE is 0, all backend servers are
   applied.  */
void pu_servers_sync (pu_entry_t *en, guint64 since);

/* pu_server_apply - updates the backend server that the record B describes, in
   the table of backend servers and in the router.  A record of an older
   incarnation than the known one changes nothing.  */
pu_server_t *pu_server_apply (pu_entry_t *en, const pu_backend_record *b);

/* pu_server_hold - makes X wait until a probe shows whether S is alive.  */
void pu_server_hold (pu_server_t *s, pu_exchange_t *x);

/* pu_server_probe - probes S after a connection to it has failed.  */
void pu_server_probe (pu_server_t *s);

/* pu_server_check_crash - checks whether S has crashed after an attempt on S
   broke.  If it has, each request that was in flight on S, or was aborted
   there shortly before, gets a strike.  */
void pu_server_check_crash (pu_server_t *s);

/* pu_server_probe_start - probes S, whose result releases what is held or
   begins another check.  pu_server_release_held - retries the exchanges that
   wait for the check of S, which has ended.  */
void pu_server_probe_start (pu_server_t *s);
void pu_server_release_held (pu_server_t *s);

/* pu_server_propose_strikes - proposes a strike against each request that was
   running on S when its process INCARNATION crashed, or that was aborted on S
   shortly before.  */
void pu_server_propose_strikes (pu_server_t *s, guint64 incarnation);

/* pu_server_watch - makes pu_servers_tick visit S until none of its timers is
   pending.  */
void pu_server_watch (pu_server_t *s);

/* pu_server_is_checked - whether it is being checked whether S has
   crashed.  */
static inline bool
pu_server_is_checked (const pu_server_t *s)
{
  return s->probe != NULL || s->probe_at != 0 || s->inquiry != 0;
}

/* --- crashes.c: crashes told from a loss of this entry's network --- */

/* pu_server_crash_probed - a probe of S after a request broke off there has
   ended with RESULT.  S has crashed if it refuses connections, none of its
   connections is left, another backend server accepts one, and other entries
   confirm it.  A request that broke off alone is no sign of that: backend
   servers reset connections for other reasons too.  */
void pu_server_crash_probed (pu_server_t *s, const pu_http_result_t *result);

/* pu_server_note_unconnected - a request got no connection to S, which REFUSED
   it or did not answer.  Asks other entries: if S has crashed, the leader is
   told; if it runs, it is lost to this entry.  */
void pu_server_note_unconnected (pu_server_t *s, bool refused);

/* pu_server_crash_logged - the log has it that S is down, which confirms a
   crash that is still in question.  */
void pu_server_crash_logged (pu_server_t *s);

void pu_server_inquiry_tick (pu_server_t *s, guint64 now);

/* --- lost.c: backend servers that this entry does not reach --- */

/* pu_server_set_lost - S runs, but is not reached: it gets no requests until a
   probe reaches it.  pu_server_set_reached - S is reached, or gone.  */
void pu_server_set_lost (pu_server_t *s);
void pu_server_set_reached (pu_server_t *s);

/* pu_server_lost_reapply - tells the router, which has just got S, whether S
   is lost.  */
void pu_server_lost_reapply (const pu_server_t *s);

void pu_entry_lost_tick (pu_entry_t *en, guint64 now);

/* pu_entry_lost_all - whether any entry may serve X, and this one does not
   reach any backend server that could run it.  */
bool pu_entry_lost_all (const pu_exchange_t *x);

/* pu_server_mark_present - treats S as having a ready copy of MODEL until loop
   time UNTIL, even if the reports of S list none.  */
void pu_server_mark_present (pu_server_t *s, const char *model, guint64 until);

/* pu_server_mark_absent - treats S as having no copy of MODEL until loop time
   UNTIL, even if the reports of S list one.  */
void pu_server_mark_absent (pu_server_t *s, const char *model, guint64 until);

/* pu_server_withdraw - sends no new requests to the copy of MODEL on S, and to
   the copies of the adapters of MODEL on S, until loop time UNTIL.  */
void pu_server_withdraw (pu_server_t *s, const char *model, guint64 until);

/* pu_server_is_withdrawn - whether pu_server_withdraw applies to the copy of
   MODEL on S until loop time UNTIL or longer.  */
bool pu_server_is_withdrawn (const pu_server_t *s, const char *model,
                             guint64 until);

/* pu_server_set_leaving - sends no new request to the backend server NAME at
   INCARNATION, which has said that it leaves.  */
void pu_server_set_leaving (pu_entry_t *en, const char *name,
                            guint64 incarnation);

/* pu_server_replaced_ms - for how long INCARNATION of the backend server NAME
   has been known to have taken the place of an earlier one; G_MAXUINT64: no
   earlier one was known.  */
guint64 pu_server_replaced_ms (const pu_entry_t *en, const char *name,
                               guint64 incarnation);

/* pu_server_back_off - sends no request to S until loop time UNTIL, as S asked
   for with a refusal.  Lasts as long as the incarnation of S.  */
void pu_server_back_off (pu_server_t *s, guint64 until);

/* pu_server_mark_replaced - marks S as down because another process has its
   address.  */
void pu_server_mark_replaced (pu_server_t *s);
void pu_servers_tick (pu_entry_t *en, guint64 now);

/* pu_server_remove_held - X no longer waits for the probe of its backend
   server.  */
void pu_server_remove_held (pu_exchange_t *x);

/* pu_server_count_suspect - counts a suspect that starts to run on S or, if
   BEGINS is false, that has ended on S.  A suspect is a request that may have
   crashed a backend server (see suspects/suspects.h).  While suspects run on
   S, this entry sends S nothing else.  */
void pu_server_count_suspect (pu_entry_t *en, pu_server_t *s, bool begins);

/* pu_servers_copy_isolated - whether there is a backend server that could run
   Q but to which this entry sends nothing, for the sole reason that the entry
   runs a suspect on that server.  */
bool pu_servers_copy_isolated (const pu_entry_t *en, const pu_request_t *q);

/* pu_server_suspect_aborted - the attempt of a suspect at S was cancelled or
   lost its connection.  The suspect counts as running for strike_settle_ms
   more.  */
void pu_server_suspect_aborted (pu_server_t *s);

/* --- statements.c: what backend servers state, told to all entries --- */

/* pu_server_statement_note - S has stated in an answer how many rejections per
   second it bears and how many requests it takes; 0: any number.  */
void pu_server_statement_note (pu_server_t *s, double rejections_per_s,
                               double limit_per_s);

/* pu_server_statement_forget - S is gone.  */
void pu_server_statement_forget (const pu_server_t *s);

/* pu_statements_tick - tells other entries what they lack.  */
void pu_statements_tick (pu_entry_t *en, guint64 now);

/* --- server_limit.c: backend servers that limit their requests --- */

/* pu_server_limit_stated - S has stated in a response that it takes PER_S
   requests per second from all entries together, or that it has no limit if
   PER_S is 0.  That lasts until S states something else, as long as the
   incarnation of S.  Other entries learn from the leader that a limit has
   ended.  */
void pu_server_limit_stated (pu_server_t *s, double per_s);

/* pu_server_limit_told - as pu_server_limit_stated, for what S has stated to
   another entry at loop time AT.  */
void pu_server_limit_told (pu_server_t *s, double per_s, guint64 at);

/* pu_server_limit_permits - whether X may be sent to S now, which uses up a
   grant if S limits its requests.  On false X must wait: it is routed again
   after the leader's reply.  */
bool pu_server_limit_permits (pu_exchange_t *x, pu_server_t *s);

/* --- announce.c: who has reported --- */

/* pu_entry_latest_incarnation - the latest incarnation of the backend server
   NAME that the view or a report to this entry has named, or 0.  */
guint64 pu_entry_latest_incarnation (const pu_entry_t *en, const char *name);

/* --- leaves.c: backend servers that have said that they leave --- */

/* pu_leaves_tick - calls the waiters whose time is over, proposes again what
   the log did not take, and ends what the view shows.  */
void pu_leaves_tick (pu_entry_t *en, guint64 now);

/* pu_leaves_give_up - calls all waiters: the leave is not known.  */
void pu_leaves_give_up (pu_entry_t *en);
guint pu_leave_hash (gconstpointer leave);
gboolean pu_leave_equal (gconstpointer a, gconstpointer b);
void pu_leave_free (gpointer leave);

/* --- reach.c: whether this entry reaches the backend servers --- */

/* pu_entry_reach_tick - starts the probes that are due.  */
void pu_entry_reach_tick (pu_entry_t *en, guint64 now);

/* pu_entry_reach_note_end - takes the end RESULT of an attempt of X as a sign
   whether this entry reaches its backend server.  */
void pu_entry_reach_note_end (pu_exchange_t *x,
                              const pu_http_result_t *result);

/* pu_entry_reach_is_doubtful - whether this entry may be cut off from all
   backend servers, so that what it sees of one says nothing about it.  */
bool pu_entry_reach_is_doubtful (const pu_entry_t *en);

/* pu_entry_reach_random_server - returns a random backend server other than
   BUT that is up, or NULL.  */
const pu_server_t *pu_entry_reach_random_server (const pu_entry_t *en,
                                                 const pu_server_t *but);

/* pu_entry_reach_note_peer - the entry NAME has said that it reaches no
   backend server either.  */
void pu_entry_reach_note_peer (pu_entry_t *en, const char *name);

/* pu_entry_peer_is_avoided - whether X must not be relayed to the entry NAME:
   X has tried it, or it reaches no backend server.  */
bool pu_entry_peer_is_avoided (const pu_exchange_t *x, const char *name);

/* pu_entry_hand_over - relays X to another entry if this one does not reach
   the backend servers.  Returns false if X stays here.  */
bool pu_entry_hand_over (pu_exchange_t *x);

/* pu_entry_refuses_relayed - whether X, which another entry relayed, is to be
   refused because this entry reaches no backend server either.  */
bool pu_entry_refuses_relayed (const pu_exchange_t *x);
void pu_entry_peer_free (gpointer peer);

/* --- brittle.c: backend servers that bear few rejections --- */

/* pu_server_brittle_stated - S has stated in a response how many rejections a
   second it bears (0: any number).  This holds for the backend servers of the
   same service too, until they state something else.  */
void pu_server_brittle_stated (pu_server_t *s, double per_s);

/* pu_server_brittle_inherit - S is a new process: as long as it has stated
   nothing, it bears as few rejections as others of its service.  */
void pu_server_brittle_inherit (pu_server_t *s);

/* pu_server_brittle_forget - S is gone, is about to be another process, or
   bears any number of rejections.  */
void pu_server_brittle_forget (pu_server_t *s);

/* pu_brittle_awaits_first_answer - whether X must wait for the answer to
   another request for its service.  Before the first answer, as after a start
   of this instance, it is not known whether the service is brittle.  */
bool pu_brittle_awaits_first_answer (const pu_exchange_t *x);

/* pu_brittle_note_asked, pu_brittle_note_unasked, pu_brittle_note_answer - X
   was sent on its way to a server; it has reached none; a response has
   come.  */
void pu_brittle_note_asked (const pu_exchange_t *x);
void pu_brittle_note_unasked (const pu_exchange_t *x);
void pu_brittle_note_answer (const pu_exchange_t *x);

/* pu_server_is_owned - whether this entry is the first of those that may own
   S.  */
bool pu_server_is_owned (const pu_server_t *s);

/* pu_server_brittle_sent, pu_server_brittle_rejected, pu_server_brittle_ended
   - this entry has sent X to its server; the current attempt of X was rejected
   for want of room; it has ended in any way.  */
void pu_server_brittle_sent (const pu_exchange_t *x);
void pu_server_brittle_rejected (pu_exchange_t *x);
void pu_server_brittle_ended (pu_exchange_t *x);

/* pu_server_brittle_apply - sets the limit of S in the router, which has
   changed, or got S.  */
void pu_server_brittle_apply (pu_server_t *s);

/* How a request gets to a backend server.  */
typedef enum
{
  PU_BRITTLE_DIRECT,
  PU_BRITTLE_BY_OWNER, /* the server is brittle, or may be as its service has
                          not answered yet, and another entry owns it */
  PU_BRITTLE_NO_WAY    /* it is brittle, and none of those that may own it is
                          reached */
} pu_brittle_way_t;

/* pu_brittle_find_way - returns how X gets to S.  For PU_BRITTLE_BY_OWNER, TO
   is the first of the entries that may own S which X has not tried in
   vain.  */
pu_brittle_way_t pu_brittle_find_way (const pu_exchange_t *x,
                                      const pu_server_t *s,
                                      pu_directory_entry_t *to);

/* pu_server_may_have_fallen - whether S is brittle and has rejected so much
   lately that this may be why it crashed, not what it ran.  */
bool pu_server_may_have_fallen (const pu_server_t *s);

/* pu_exchange_accept_as_owner - X came here by way of the owner of
   x->only_server.  */
void pu_exchange_accept_as_owner (pu_exchange_t *x);

/* pu_entry_brittle_tick - updates the limits of brittle servers.  */
void pu_entry_brittle_tick (pu_entry_t *en);

/* --- crowded.c: plain backend servers that have no room --- */

/* pu_server_is_crowded - whether S, which is a plain server, has no room for
   what all entries send it.  It has an owner then, as if it were brittle.  */
bool pu_server_is_crowded (const pu_server_t *s);

/* pu_server_crowded_told - another entry has found S crowded, until loop time
   UNTIL.  */
void pu_server_crowded_told (pu_server_t *s, guint64 until);

/* pu_server_crowded_cap - returns the most requests at once that this entry
   may send S in place of all entries, 0: any number.  */
guint pu_server_crowded_cap (const pu_server_t *s);

/* pu_server_crowded_sent, pu_server_crowded_ended, pu_server_crowded_rejected
   - this entry has sent S a request; the one that was sent at SENT_AT has
   ended in another way than by a rejection; the current attempt of X was
   rejected.  */
void pu_server_crowded_sent (pu_server_t *s);
void pu_server_crowded_ended (pu_server_t *s, guint64 sent_at);
void pu_server_crowded_rejected (const pu_exchange_t *x);

/* pu_server_crowded_forget - S is gone, or is about to be another process.  */
void pu_server_crowded_forget (pu_server_t *s);

/* pu_entry_delay_ranks_set - notes which priorities the requests under D
   have.  */
void pu_entry_delay_ranks_set (pu_entry_t *en, const pu_document_t *d);

/* pu_exchange_rank - returns the rank 0..9, 0 first, that the engine is told
   for an attempt of X at NOW.  */
guint pu_exchange_rank (const pu_exchange_t *x, guint64 now);

/* pu_entry_delay_tick - logs at most once a second how many requests were
   delayed or refused.  */
void pu_entry_delay_tick (pu_entry_t *en, guint64 now);

/* pu_entry_crowded_tick - ends the time of servers that are no longer
   crowded.  */
void pu_entry_crowded_tick (pu_entry_t *en);

/* --- strikes.c: strikes against requests --- */

/* pu_strike_begin - proposes ONE, a strike for the crash of S, to the log.  */
void pu_strike_begin (pu_entry_t *en, const pu_server_t *s,
                      const pu_suspects_strike_t *one);

/* pu_strike_propose - proposes a strike against FINGERPRINT to the log, again
   and again until the log has it or it is too late.  */
void pu_strike_propose (pu_entry_t *en, guint64 fingerprint, const char *model,
                        const char *backend, guint64 incarnation,
                        bool isolated);

/* pu_strikes_lift - asks the log to remove the strikes against FINGERPRINT,
   unless it is being asked.  */
void pu_strikes_lift (pu_entry_t *en, guint64 fingerprint);

/* pu_strike_pending - whether there is a strike against FINGERPRINT that
   pu_strikes_tick has not removed yet and that makes FINGERPRINT a suspect.
   While there is one, requests with that fingerprint must not run.  */
bool pu_strike_pending (const pu_entry_t *en, guint64 fingerprint);

/* pu_strikes_acquit - asks the log to remove the strikes against X, if there
   are any and the entry acquits.  X has run to its end, so it has crashed
   nothing.  */
void pu_strikes_acquit (const pu_exchange_t *x);

/* pu_strikes_tick - removes the strikes that all entries have received, whose
   request is convicted, or that have timed out.  Proposes the others to the
   log again when their retry is due.  */
void pu_strikes_tick (pu_entry_t *en, guint64 now);
void pu_strike_free (gpointer strike);

/* --- parts.c: parts of prompts that crash backend servers --- */

/* pu_part_sent - X has been sent to its backend server.  */
void pu_part_sent (const pu_exchange_t *x);

/* pu_part_wrote - the attempt of X has written EVENTS events so far; 0: the
   head of its response.  */
void pu_part_wrote (const pu_exchange_t *x, guint events);

/* pu_part_completed - the attempt of X has ended with a good response.  */
void pu_part_completed (const pu_exchange_t *x);

/* pu_part_ended - the attempt of X has ended.  CUT: it was cancelled or broke
   off.  */
void pu_part_ended (const pu_exchange_t *x, bool cut);

/* pu_part_server_alive - S has accepted a connection that was begun at loop
   time SINCE.  */
void pu_part_server_alive (const pu_server_t *s, guint64 since);

/* pu_part_accuse - proposes to the log that the parts of the prompts that ran
   on S crashed the process INCARNATION of S.  */
void pu_part_accuse (const pu_server_t *s, guint64 incarnation);

/* pu_part_verdict - the verdict on the parts of the prompt of X.  Stores the
   part that decides in *WHICH, which may be NULL.  */
pu_parts_verdict_t pu_part_verdict (const pu_exchange_t *x, guint64 *which);

/* pu_part_forbids_repeat - whether X, whose attempt ended with FAILURE, may
   crash the next backend server too.  */
bool pu_part_forbids_repeat (const pu_exchange_t *x,
                             pu_router_failure_t failure);

/* pu_part_is_record - whether S is about a part of prompts, not about a
   request.  */
bool pu_part_is_record (const pu_suspect_record *s);

/* pu_part_apply - applies the record S of the view.  pu_part_remove - the view
   has no record of PART any more.  */
void pu_part_apply (pu_entry_t *en, const pu_suspect_record *s);
void pu_part_remove (pu_entry_t *en, guint64 part);
void pu_parts_entry_tick (pu_entry_t *en, guint64 now);

/* --- document.c: puts a new document into force --- */

/* pu_entry_document_sync - parses the document in RECORD if it is not the one
   in force.  A document shorter than PU_DOCUMENT_LONG_BYTES is parsed
   immediately, and the function returns true if that document is now in
   force.  A longer document is parsed in the thread pool, the function returns
   false, and pu_view_sync is called after the parse.  */
bool pu_entry_document_sync (pu_entry_t *en, const pu_doc_record *record);

/* pu_entry_document_is_current - whether no newer document than the one in
   force is known, and the view is new enough to know of it.  */
bool pu_entry_document_is_current (const pu_entry_t *en);

/* pu_entry_undeclared - returns the refusal of what the document in force does
   not declare: R, or 503 as long as a newer document may declare it.  */
const pu_refusal_t *pu_entry_undeclared (const pu_entry_t *en,
                                         const pu_refusal_t *r);

/* --- view.c: applies the view to the entry's tables --- */

/* pu_view_sync - applies the changes of the view to the entry's tables.  */
void pu_view_sync (pu_entry_t *en);

/* pu_entry_uses_builtin_frontend - whether the built-in frontend is used:
   callers speak the completions interface.  */
static inline bool
pu_entry_uses_builtin_frontend (const pu_entry_t *en)
{
  return en->front.read == NULL;
}

/* pu_entry_fault_injected - whether the fault RULE is injected.  Tests
   only.  */
static inline bool
pu_entry_fault_injected (const pu_entry_t *en, pu_entry_break_t rule)
{
  return (en->o.test_breaks & rule) != 0;
}

/* --- parse.c: from HTTP to an exchange --- */

/* pu_exchange_parse_model, pu_exchange_parse_plain - fill X from its HTTP
   request.  If they return false, the caller was sent an error, and X must be
   freed.  */
bool pu_exchange_parse_model (pu_exchange_t *x, bool chat);
bool pu_exchange_parse_plain (pu_exchange_t *x);

/* pu_exchange_resume_body - the request body of X with the text that the
   caller has received, as the member "resume_text".  */
GBytes *pu_exchange_resume_body (const pu_exchange_t *x);

/* --- admit.c: admission of requests --- */

/* The Retry-After, in milliseconds, of a refusal for a short-lived reason.
   Before that time has passed, the caller has asked again which entries to
   use.  */
#define PU_BUSY_RETRY_AFTER_MS 1000

/* Type of the refusal of a relayed request by an entry that reaches no backend
   server either.  */
#define PU_REFUSAL_CUT_OFF "cut-off"

/* Type of the refusal of a request that came by way of its backend server's
   owner while that server wants no requests.  */
#define PU_REFUSAL_BACK_OFF "back-off"

/* How long an entry sends nothing to a brittle backend server of whose owners
   it reaches none.  */
#define PU_NO_OWNER_BACK_OFF_MS 500

/* The refusal sent while the instance stops: to new requests, and to requests
   in progress that can't end in time.  */
extern const pu_refusal_t pu_refusal_stopping;

/* The refusal of a request without a key of the document.  */
extern const pu_refusal_t pu_refusal_denied;

/* pu_exchange_begin_model, pu_exchange_begin_plain - begin the exchange of
   HTTP, a request for a model or for a plain service, or respond with an
   error.  */
void pu_exchange_begin_model (pu_entry_t *en, pu_http_request_t *http,
                              bool chat);
void pu_exchange_begin_plain (pu_entry_t *en, pu_http_request_t *http);

/* pu_exchange_begin_frontend - begins the exchange of HTTP, a request that the
   frontend given in the options reads, or responds with an error.  If there is
   no document yet, HTTP is queued.  */
void pu_exchange_begin_frontend (pu_entry_t *en, pu_http_request_t *http);

/* pu_exchange_begin_arrived - as pu_exchange_begin_frontend, for a request
   that arrived at loop time ARRIVED.  There must be a document.  */
void pu_exchange_begin_arrived (pu_entry_t *en, pu_http_request_t *http,
                                guint64 arrived);

/* pu_exchange_refuse_starting - refuses HTTP because there is no document.  */
void pu_exchange_refuse_starting (pu_entry_t *en, pu_http_request_t *http);

/* --- exchange.c: one request from its admission to its final response --- */

/* pu_exchange_free - frees X, which must hold no ticket, attempt or HTTP
   request.  */
void pu_exchange_free (pu_exchange_t *x);

/* pu_exchange_route - decides what happens to X now: relay to another entry,
   offer to the router, wait, or refusal.  */
void pu_exchange_route (pu_exchange_t *x);

/* pu_exchange_start - routes X, which is admitted, or claims its key.  */
void pu_exchange_start (pu_exchange_t *x);

/* pu_exchange_offer - offers X to the router of this entry, without a
   relay.  */
void pu_exchange_offer (pu_exchange_t *x);

/* pu_exchange_fail - ends X with the error R.  X is freed.  */
void pu_exchange_fail (pu_exchange_t *x, const pu_refusal_t *r,
                       const char *message);

/* pu_exchange_fail_refused - ends X with the refusal D of the router.  X is
   freed.  */
void pu_exchange_fail_refused (pu_exchange_t *x,
                               const pu_router_decision_t *d);

/* pu_exchange_has_strikes - whether a crash is attributed to X or to a part of
   its prompt.  */
bool pu_exchange_has_strikes (const pu_exchange_t *x);

/* pu_exchange_retry - the attempt of X ended without a response: retries X or
   fails it.  */
void pu_exchange_retry (pu_exchange_t *x, pu_router_failure_t failure);

/* pu_exchange_leave_owner - the owner by whose way X was sent can't be
   reached, or does not serve relays now: X has not run, and is routed
   again.  */
void pu_exchange_leave_owner (pu_exchange_t *x);

/* pu_exchange_finish - ends X after its caller was answered or has
   disconnected.  X is freed.  */
void pu_exchange_finish (pu_exchange_t *x);

/* pu_exchange_apply_decision - carries out the decision D of the router about
   X.  */
void pu_exchange_apply_decision (pu_exchange_t *x,
                                 const pu_router_decision_t *d);

/* pu_exchanges_tick - fails the exchanges whose deadline has passed and
   resumes those whose wait is over.  */
void pu_exchanges_tick (pu_entry_t *en, guint64 now);

/* pu_exchanges_abort - fails all open exchanges because the entry stops.  */
void pu_exchanges_abort (pu_entry_t *en);

/* pu_entry_limits_set - sets each limit of requests to the lower of its values
   in the options and in the document in force.  */
void pu_entry_limits_set (pu_entry_t *en);

/* pu_entry_check_stopped - completes the stop or the freeing of the entry if
   nothing is open any more.  Call it when a request has ended or a callback
   was called.  */
void pu_entry_check_stopped (pu_entry_t *en);

/* pu_entry_schedule_router - schedules pu_router_schedule for the next loop
   iteration.  */
void pu_entry_schedule_router (pu_entry_t *en);

/* --- allowances.c: teams' allowances --- */

void pu_allowances_init (pu_entry_t *en);
void pu_allowances_clear (pu_entry_t *en);

/* pu_allowance_admits - charges X to the allowance of its team.  Returns false
   if X waits for units, or was refused and freed.  */
bool pu_allowance_admits (pu_exchange_t *x);

/* pu_allowance_put_back_unused - X, which has certainly not run, ends: puts
   the units that it was charged here back, once.  */
void pu_allowance_put_back_unused (pu_exchange_t *x);

/* pu_allowance_finish - X ends.  */
void pu_allowance_finish (pu_exchange_t *x);

/* pu_allowances_schedule - sets the timer of the next question to the
   leader.  */
void pu_allowances_schedule (pu_entry_t *en);

/* pu_allowances_set_document - takes over the teams of the document.
   pu_allowances_set_entries - N entries share the allowances.  */
void pu_allowances_set_document (pu_entry_t *en);
void pu_allowances_set_entries (pu_entry_t *en, guint n);

/* pu_allowances_tick - updates the rates of teams and logs which are held
   back.  */
void pu_allowances_tick (pu_entry_t *en, guint64 now);

/* --- load_exchange.c: the exchange of loads between entries --- */

void pu_load_exchange_init (pu_entry_t *en);
void pu_load_exchange_clear (pu_entry_t *en);

/* pu_load_exchange_wake - the entry has a request.  */
void pu_load_exchange_wake (pu_entry_t *en);

/* pu_load_exchange_schedule - sets the timer of the next statement.  */
void pu_load_exchange_schedule (pu_entry_t *en);

/* pu_load_exchange_dump - adds to DUMP what the other entries have at each
   engine, where that is known, if loads are exchanged.  */
void pu_load_exchange_dump (const pu_entry_t *en, json_t *dump);

/* pu_load_exchange_tick - takes over a change of the voters.  */
void pu_load_exchange_tick (pu_entry_t *en, guint64 now);

/* --- builtin_frontend.c: the completions interface --- */

/* pu_entry_builtin_frontend - fills F with the built-in frontend.  Its `read`
   is NULL: parse.c reads the requests.  */
void pu_entry_builtin_frontend (pu_frontend_t *f);

/* The header by which the built-in frontend tells backend servers the team. */
#define PU_BUILTIN_TEAM_HEADER "X-Team"

/* pu_builtin_request_headers - adds the headers of an attempt of X to H.  */
void pu_builtin_request_headers (const pu_exchange_t *x, pu_header_list_t *h);

/* pu_builtin_classify_response - classifies the response head R of the attempt
   of X.  */
void pu_builtin_classify_response (pu_exchange_t *x,
                                   const pu_http_response_t *r);

/* --- attempt_send.c: one attempt at a backend server or another entry --- */

/* The header with the name of the brittle backend server for which a request
   comes by way of its owner, and of the responses that are its own.  */
#define PU_SERVER_RELAY_HEADER "X-Relay-Server"

/* pu_attempt_start - sends X to S, by way of the owner of S if S is brittle;
   pu_attempt_relay relays X to the entry TO.  Both return false if the call
   could not be started.  */
bool pu_attempt_start (pu_exchange_t *x, pu_server_t *s);
bool pu_attempt_relay (pu_exchange_t *x, const pu_directory_entry_t *to);

/* --- buffered.c: responses that are kept whole --- */

/* pu_buffered_append - appends LEN BYTES to the response that X keeps whole.
   Returns false if it is too large, or is the largest of all while they take
   too much memory together.  May break the attempt of another exchange.  */
bool pu_buffered_append (pu_exchange_t *x, const char *bytes, gsize len);

/* pu_buffered_free - frees BODY, which was appended to, or NULL.  */
void pu_buffered_free (pu_entry_t *en, GByteArray *body);

/* --- attempt.c: the response to an attempt --- */

/* The callbacks of an attempt's call, whose data is the exchange.  */
extern const pu_http_call_events_t pu_attempt_events;

/* pu_saved_failure_clear - frees the response in K, which is then empty.  */
void pu_saved_failure_clear (pu_entry_t *en, pu_saved_failure_t *k);

/* pu_attempt_clear - ends the attempt of X and cancels its call.  */
void pu_attempt_clear (pu_exchange_t *x);

/* pu_attempt_finish - ends X with the response of its attempt, which is
   complete; pu_attempt_break handles that the attempt broke with FAILURE and
   may have run.  */
void pu_attempt_finish (pu_exchange_t *x);
void pu_attempt_break (pu_exchange_t *x, pu_router_failure_t failure);

/* --- attempt_peer.c: the response of another entry to an attempt --- */

/* pu_status_means_not_run - whether STATUS tells a caller that its request has
   not run.  */
bool pu_status_means_not_run (int status);

/* pu_peer_refusal_forward - forwards another entry's refusal of X to the
   caller, with an outcome that covers all attempts of X.  */
void pu_peer_refusal_forward (pu_exchange_t *x);

/* pu_peer_response_complete - handles the complete response of another entry
   to X, which any entry serves: its refusal, or the answer of a backend
   server.  */
void pu_peer_response_complete (pu_exchange_t *x);

/* pu_owner_has_refused - whether the response is the refusal of the entry that
   owns the brittle server of AT, not the response of that server.  A refusal
   without an outcome comes from an entry that does not know of the relay, as
   while it stops, or that has no such route yet.  */
bool pu_owner_has_refused (const pu_attempt_t *at);

/* pu_owner_refusal_handle - handles that refusal of X.  */
void pu_owner_refusal_handle (pu_exchange_t *x);

/* --- deliver.c: forwards the response of an attempt to the caller --- */

/* pu_deliver_tokens, pu_deliver_events - forward a part of a stream of tokens
   or of events to the caller.  They are callbacks of the types pu_stream_cb
   and pu_event_filter_cb; DATA is the pu_exchange_t.  */
void pu_deliver_tokens (void *data, const char *bytes, gsize len,
                        guint tokens);
void pu_deliver_events (void *data, const char *bytes, gsize len, guint n);

/* pu_deliver_stream_end - ends the caller's stream, which is complete.  */
void pu_deliver_stream_end (pu_exchange_t *x);

/* pu_deliver_response - sends the buffered response to the caller.  */
void pu_deliver_response (pu_exchange_t *x);

/* pu_deliver_saved_failure - sends the saved error response of a backend
   server to the caller.  */
void pu_deliver_saved_failure (pu_exchange_t *x);

/* pu_deliver_at_most_once - ends an at-most-once call with its buffered
   response.  X must not be used afterwards: it may be freed.  */
void pu_deliver_at_most_once (pu_exchange_t *x);

/* --- software.c: streams and software versions --- */

/* What two versions of a backend server's software write doesn't fit together,
   so that a stream is resumed only by the version that began it.  */

/* pu_server_software - returns the software version of S, "" if it is not
   known.  */
const char *pu_server_software (const pu_server_t *s);

/* The header of a relay and of its response with the version to which the
   stream is bound, percent-encoded.  */
#define PU_SOFTWARE_RELAY_HEADER "X-Relay-Software"

/* pu_software_encode - returns VERSION as a value of
   PU_SOFTWARE_RELAY_HEADER; pu_software_decode reads such a value and returns
   NULL for none or an invalid one.  Free both with g_free.  */
char *pu_software_encode (const char *version);
char *pu_software_decode (const char *value);

/* pu_software_begin - the first bytes of the stream of X are about to be
   forwarded from its current attempt, whose software X is bound to from now
   on.  Does nothing if the stream has begun before.  */
void pu_software_begin (pu_exchange_t *x);

/* pu_software_fits - whether the current attempt of X may add to its
   stream.  */
bool pu_software_fits (const pu_exchange_t *x);

/* --- origin.c: what began a stream that a caller resumes --- */

void pu_entry_origins_init (pu_entry_t *en);
void pu_entry_origins_clear (pu_entry_t *en);

/* pu_origin_note_begin - the stream of X has begun at this entry, with
   x->software.  */
void pu_origin_note_begin (pu_exchange_t *x);

/* pu_origin_waits - finds out which software version began the stream that X
   resumes.  Returns true if X waits for answers of other entries, or was ended
   because nobody knows.  */
bool pu_origin_waits (pu_exchange_t *x);

/* pu_origin_tick - handles X if it waits for what began its stream: routes it
   again when there is contact to the voters, or when it has waited too long.
   Returns whether X waits for that or was routed.  */
bool pu_origin_tick (pu_exchange_t *x, guint64 now);

/* pu_server_count_version - the software version of S serves SERVICE or, if
   SERVES is false, does so no more.  */
void pu_server_count_version (pu_server_t *s, const char *service,
                              bool serves);

/* pu_entry_sync_served - counts the versions that serve no more by the
   replicated state VIEW and are new since the last call.  */
void pu_entry_sync_served (pu_entry_t *en, const pu_state_t *view);

/* pu_server_uncount_version - the incarnation of S that was counted is
   gone.  */
void pu_server_uncount_version (pu_server_t *s);

/* --- claim.c: at-most-once calls --- */

/* pu_claim_begin - starts to claim the key of X in the log.  */
void pu_claim_begin (pu_exchange_t *x);

/* pu_claim_finished - the dispatched call X ended with OUTCOME.  RESULT is for
   PU_ONCE_OUTCOME_RAN.  X must not be used afterwards: it may be freed.  */
void pu_claim_finished (pu_exchange_t *x, pu_once_outcome_t outcome,
                        const pu_once_result_t *result);

/* pu_claim_run_actions - carries out the pending actions that pu_once_next
   returns.  */
void pu_claim_run_actions (pu_entry_t *en);

G_END_DECLS

#endif
