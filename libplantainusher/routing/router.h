#ifndef PU_ROUTING_ROUTER_H
#define PU_ROUTING_ROUTER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * router - which backend server runs a request, when, or why not.
 *
 * A pure core of one entry: no I/O, no clock.  `now` is monotonic
 * milliseconds and never goes back.  The shell fills three tables (services,
 * models, backend servers) from the replicated view and from load reports,
 * offers requests and carries the decisions out.
 *
 * Each offered request gets exactly one final answer:
 *   - a refusal, from pu_router_offer, pu_router_schedule or pu_router_retry;
 *   - or pu_router_finished or pu_router_cancel, called by the shell.
 * After its final answer a ticket is void; calls with a void ticket do
 * nothing.
 *
 * The shell calls pu_router_schedule after every event that can open a slot (a
 * finish, a failure, a report, a change of a table) and at the time that
 * pu_router_next_timeout_at gives.
 */

#define PU_ROUTER_NONE G_MAXUINT32
#define PU_ROUTER_PRIORITY_MAX 9
/* Block hashes of a prompt that are kept; the rest is ignored.  */
#define PU_ROUTER_PREFIX_MAX 256

typedef struct pu_router pu_router_t;

/* Handles into the tables; PU_ROUTER_NONE is none.  */
typedef guint32 pu_router_service_t;
typedef guint32 pu_router_model_t;
typedef guint32 pu_router_backend_t;

/* A request between its offer and its final answer; 0 is none.  */
typedef guint64 pu_ticket_t;

/* Deliberate faults, for the tests that show that a check can fail.  */
typedef enum
{
  PU_ROUTER_BREAK_NONE,
  PU_ROUTER_BREAK_BACKEND_LIMIT, /* ignores the slots of backend servers */
  PU_ROUTER_BREAK_SERVICE_LIMIT, /* ignores the limits of services */
  PU_ROUTER_BREAK_DRAINING,      /* chooses draining copies and leavers */
  PU_ROUTER_BREAK_BUDGET,        /* retries without a budget */
  PU_ROUTER_BREAK_REPEAT,        /* repeats what may not be repeated */
  PU_ROUTER_BREAK_EXPIRY,        /* gives the same expiry twice */
  PU_ROUTER_BREAK_FAIRNESS,      /* serves one service before all others */
} pu_router_break_t;

typedef struct
{
  guint64 seed;              /* of the random numbers */
  const char *region;        /* of this entry */
  const char *zone;          /* of this entry */
  guint zone_cost_ms;        /* added for a backend server in another zone */
  guint region_cost_ms;      /* added for one in another region */
  guint version_cost_ms;     /* added for a version that is not preferred */
  guint candidates;          /* copies looked at for one choice, at least 2 */
  guint block_tokens;        /* tokens of a prefix block */
  guint prefix_blocks_max;   /* cached blocks remembered of a backend server */
  guint slots_initial;       /* requests at once on one backend server */
  guint slots_max;           /* highest that it may grow to */
  guint limit_initial;       /* requests of one service at once */
  guint limit_min;           /* the adaptive limit stays at or above */
  guint window_pct;          /* share of the first-token target that work sent
                                ahead to a backend server may fill */
  guint score_tolerance_pct; /* share of the first-token target within which
                      copies are as good as the best: a fingerprint
                      then chooses among them */
  guint retry_pct;           /* retries for 100 first attempts */
  guint retry_burst;         /* retries allowed before any attempt */
  guint attempts_max;        /* of one request, the first included */
  guint eject_failures;      /* failures in a row that eject */
  guint eject_ms;            /* first ejection; doubles each time */
  guint eject_max_ms;
  guint retry_after_min_ms;
  guint retry_after_max_ms;
  double prefill_ms;            /* for each prompt token, until it is learnt */
  double decode_ms;             /* for each token, until it is learnt */
  pu_router_break_t test_break; /* tests only */
} pu_router_options_t;

/* pu_router_options_init - fills O with the defaults.  */
void pu_router_options_init (pu_router_options_t *o);

/* pu_router_new - an empty router.  Copies O.  Free with pu_router_free.  */
pu_router_t *pu_router_new (const pu_router_options_t *o);
void pu_router_free (pu_router_t *r);

/* Tables.  */

typedef struct
{
  const char *name;
  guint importance;      /* weight among services, at least 1 */
  guint first_token_ms;  /* target; 0: none */
  guint per_token_ms;    /* target between tokens; 0: none */
  guint timeout_ms;      /* deadline of a request that brings none */
  guint max_concurrency; /* 0: the adaptive limit alone */
  guint max_queue;       /* requests that wait at most */
  bool serve_late;       /* a late answer is worth having: what can't be on
                            target waits behind what can, until its
                            deadline */
  guint patience_ms;     /* callers leave that have no first token by then;
                            0: at their deadline */
} pu_router_service_options_t;

/* pu_router_set_service - declares a service or changes it.  */
pu_router_service_t
pu_router_set_service (pu_router_t *r, const pu_router_service_options_t *o);

/* pu_router_remove_service - withdraws S.  What waits is refused by the next
   pu_router_schedule; what runs goes on.  */
void pu_router_remove_service (pu_router_t *r, pu_router_service_t s);

/* pu_router_find_service - the handle of a declared service, or NONE.  */
pu_router_service_t pu_router_find_service (const pu_router_t *r,
                                            const char *name);

/* pu_router_set_model - declares a model or an adapter, or changes which
   version is preferred.  PREFERRED may be NULL: all versions alike.  Of 1000
   requests SHARE go to the preferred version where it has a ready copy, the
   others to the other versions; during a version change the shell raises
   SHARE from 0 to 1000.
   A plain service is declared as the model named "service:NAME".  */
pu_router_model_t pu_router_set_model (pu_router_t *r, const char *name,
                                       const char *preferred, guint share);

/* pu_router_remove_model - withdraws M, as for services.  */
void pu_router_remove_model (pu_router_t *r, pu_router_model_t m);

/* pu_router_find_model - the handle of a declared model, or NONE.  */
pu_router_model_t pu_router_find_model (const pu_router_t *r,
                                        const char *name);

typedef enum
{
  PU_ROUTER_COPY_LOADING,
  PU_ROUTER_COPY_READY,
  PU_ROUTER_COPY_DRAINING, /* also unloading: gets nothing new */
} pu_router_phase_t;

typedef struct
{
  const char *model;   /* "service:NAME" on a plain backend server */
  const char *version; /* "" when it has none */
  pu_router_phase_t phase;
} pu_router_copy_t;

typedef enum
{
  PU_ROUTER_ENGINE,
  PU_ROUTER_PLAIN,
} pu_router_kind_t;

typedef struct
{
  const char *name;
  guint64 incarnation;
  pu_router_kind_t kind;
  const char *region;
  const char *zone;
  bool leaving; /* gets nothing new */
  guint slots;  /* fixed number of requests at once; 0: adaptive */
  const pu_router_copy_t *copies;
  guint n_copies;
} pu_router_backend_options_t;

/* pu_router_set_backend - adds a backend server or replaces what is known of
   it: flags and copies as given, estimates kept.  A higher incarnation is a
   new backend server and the old one is removed; a lower one changes nothing
   and gives NONE.  */
pu_router_backend_t
pu_router_set_backend (pu_router_t *r, const pu_router_backend_options_t *o);

/* pu_router_remove_backend - B is dead or left: it gets nothing new.  The
   shell still reports what becomes of the requests it runs, each by
   pu_router_retry, pu_router_finished or pu_router_cancel.  The handle is
   void at once for the shell.  */
void pu_router_remove_backend (pu_router_t *r, pu_router_backend_t b);

/* pu_router_set_leaving - B gets nothing new from now on.  */
void pu_router_set_leaving (pu_router_t *r, pu_router_backend_t b);

/* pu_router_find_backend - the handle of the newest incarnation, or NONE.  */
pu_router_backend_t pu_router_find_backend (const pu_router_t *r,
                                            const char *name);

/* pu_router_backend_name - the name behind a handle or a decision.  */
const char *pu_router_backend_name (const pu_router_t *r,
                                    pu_router_backend_t b);

/* pu_router_backend_incarnation - 0 for a void handle.  */
guint64 pu_router_backend_incarnation (const pu_router_t *r,
                                       pu_router_backend_t b);

/* What is known of the work at a backend server.  */
typedef struct
{
  guint own; /* requests of this router there */
  guint running;
  guint waiting;
  guint64 age_ms; /* of the report that said so; G_MAXUINT32: none came */
} pu_router_load_t;

/* pu_router_backend_load - fills LOAD; of a void handle, with nothing.  */
void pu_router_backend_load (const pu_router_t *r, pu_router_backend_t b,
                             guint64 now, pu_router_load_t *load);

/* What backend servers tell.  */

typedef struct
{
  guint64 seq;   /* older ones than seen are ignored */
  guint running; /* all entries' requests */
  guint waiting;
  guint kv_used_mb;
  double tokens_per_s;
  guint age_ms;  /* how old the numbers are on arrival; 0: not known */
  guint life_ms; /* they hold until the next, at most for that long; 0: 5 s */
} pu_router_report_t;

/* pu_router_report - takes a load report of B.  Returns false when old.  */
bool pu_router_report (pu_router_t *r, pu_router_backend_t b,
                       const pu_router_report_t *report, guint64 now);

typedef struct
{
  guint64 first; /* number of the first event in the batch */
  guint64 last;
  const guint64 *added; /* block hashes now cached */
  guint n_added;
  const guint64 *removed;
  guint n_removed;
} pu_router_kv_events_t;

/* pu_router_kv_events - takes a batch of cache events of B.  A gap in the
   numbers drops all that was believed to be cached there; old batches are
   ignored.  Returns false on a gap.  */
bool pu_router_kv_events (pu_router_t *r, pu_router_backend_t b,
                          const pu_router_kv_events_t *events);

/* Requests.  */

typedef struct
{
  pu_router_service_t service;
  pu_router_model_t model;
  guint priority;             /* 0..9, 9 first */
  guint64 deadline;           /* absolute; 0: now + the service's timeout */
  guint prompt_tokens;        /* estimate */
  guint max_tokens;           /* estimate of what will be generated */
  const guint64 *prefix;      /* chained block hashes of the prompt; copied */
  const guint *prefix_tokens; /* tokens of the prompt up to the end of each
                                 block; NULL: block_tokens each */
  guint n_prefix;
  guint64 fingerprint; /* of model and input: requests that have the same go
                          to the same copy where it is as good as any, through
                          whatever entry; 0: none */
  guint shared_tokens; /* that the prompts of one fingerprint begin with */
  bool repeatable;     /* may run twice without harm */
  guint attempts_max;  /* of this request; 0: as the options have it */
} pu_router_request_t;

typedef enum
{
  PU_ROUTER_DISPATCH, /* send it to `backend` now */
  PU_ROUTER_QUEUED,   /* pu_router_schedule will decide about `ticket` */
  PU_ROUTER_REFUSE,   /* final: answer the caller now */
} pu_router_verdict_t;

typedef enum
{
  PU_ROUTER_REASON_NONE,
  PU_ROUTER_REASON_SERVICE,    /* not declared */
  PU_ROUTER_REASON_MODEL,      /* not declared */
  PU_ROUTER_REASON_COPY,       /* no ready copy now */
  PU_ROUTER_REASON_QUEUE_FULL, /* or displaced by a higher priority */
  PU_ROUTER_REASON_DEADLINE,   /* can't be answered in time */
  PU_ROUTER_REASON_BUDGET,     /* failed, and the retry budget is spent */
  PU_ROUTER_REASON_ATTEMPTS,   /* failed too often or on every copy */
  PU_ROUTER_REASON_REPEAT,     /* may have run and may not be repeated */
} pu_router_reason_t;

/* pu_router_reason_name - such as "deadline".  */
const char *pu_router_reason_name (pu_router_reason_t reason);

typedef enum
{
  PU_ROUTER_NOT_RUN, /* no attempt can have run */
  PU_ROUTER_UNKNOWN, /* an attempt may have run */
  PU_ROUTER_RAN,     /* an attempt gave tokens */
} pu_router_ran_t;

typedef struct
{
  pu_router_verdict_t verdict;
  pu_ticket_t ticket;          /* 0 when pu_router_offer refuses */
  pu_router_backend_t backend; /* of a dispatch */
  guint attempt;               /* of a dispatch: 1 is the first */
  guint predicted_ms;          /* of a dispatch: time to the first token */
  guint cached_tokens;         /* of a dispatch: believed cached prefix */
  pu_router_reason_t reason;   /* of a refusal */
  pu_router_ran_t ran;         /* of a refusal */
  guint retry_after_ms;        /* of a refusal */
} pu_router_decision_t;

/* pu_router_offer - decides about a new request.  A refusal here always means
   that it did not run.  */
void pu_router_offer (pu_router_t *r, const pu_router_request_t *q,
                      guint64 now, pu_router_decision_t *d);

/* pu_router_schedule - appends to OUT (of pu_router_decision_t) the dispatches
   that open slots allow and the refusals of what can't be in time any more.
   Returns the number appended.  */
guint pu_router_schedule (pu_router_t *r, guint64 now, GArray *out);

/* pu_router_cost_ms - how long a request for M keeps an engine to itself that
   runs BATCH requests at once (0: not known): PROMPT tokens but for what is
   cached as a rule, and its share of OUTPUT steps of a full batch.  OUTPUT
   counts what pu_router_tokens counts.  */
double pu_router_cost_ms (const pu_router_t *r, pu_router_model_t m,
                          guint prompt, guint output, guint batch);

/* pu_router_next_timeout_at - when pu_router_schedule has something to do
   without any other event; G_MAXUINT64 when never.  */
guint64 pu_router_next_timeout_at (const pu_router_t *r);

/* Feedback about a dispatched request.  */

/* pu_router_sent - the request is on its way to the backend server.  */
void pu_router_sent (pu_router_t *r, pu_ticket_t t, guint64 now);

/* pu_router_first_token - the first token came (plain: the answer began).  */
void pu_router_first_token (pu_router_t *r, pu_ticket_t t, guint64 now);

/* pu_router_tokens - TOTAL tokens have come in this attempt.  */
void pu_router_tokens (pu_router_t *r, pu_ticket_t t, guint total,
                       guint64 now);

typedef enum
{
  PU_ROUTER_COMPLETE, /* answered to its end */
  PU_ROUTER_REJECTED, /* the backend server says the request is wrong */
} pu_router_outcome_t;

/* pu_router_finished - the final answer; frees the ticket.  */
void pu_router_finished (pu_router_t *r, pu_ticket_t t,
                         pu_router_outcome_t outcome, guint64 now);

/* pu_router_cancel - the caller went, waiting or running; frees the ticket.
   The shell cancels what runs on the backend server.  */
void pu_router_cancel (pu_router_t *r, pu_ticket_t t, guint64 now);

typedef enum
{
  PU_ROUTER_FAIL_CONNECT,   /* no connection: nothing was sent */
  PU_ROUTER_FAIL_NOT_RUN,   /* the backend server said so (429, 503) */
  PU_ROUTER_FAIL_DIED,      /* the connection broke after sending */
  PU_ROUTER_FAIL_SILENT,    /* no progress and the probe failed */
  PU_ROUTER_FAIL_TRUNCATED, /* the stream ended without its end mark */
  PU_ROUTER_FAIL_ERROR,     /* it ran the request and answered a failure */
  PU_ROUTER_FAIL_ABSENT,    /* not run: it has not got the copy */
} pu_router_failure_t;

/* pu_router_failure_may_have_run - whether a request may have run, at least
   in part, where its attempt ended with FAILURE.  */
bool pu_router_failure_may_have_run (pu_router_failure_t failure);

/* pu_router_failure_name - a word for logs and counters.  */
const char *pu_router_failure_name (pu_router_failure_t failure);

/* pu_router_retry - the attempt under T failed.  Counts it against the
   backend server and decides: another backend server at once, a place in the
   queue, or a final refusal.  Never a second attempt for what may have run
   and is not repeatable.  When the shell resumes a cut stream it replays what
   was sent; a request that gave tokens is retried only when repeatable.  */
void pu_router_retry (pu_router_t *r, pu_ticket_t t,
                      pu_router_failure_t failure, guint64 now,
                      pu_router_decision_t *d);

/* pu_router_abandon - the attempt under T failed and the shell sends the
   request elsewhere itself, such as to another entry: counts it against the
   backend server and voids T, without a retry's budget.  */
void pu_router_abandon (pu_router_t *r, pu_ticket_t t,
                        pu_router_failure_t failure, guint64 now);

/* Looking in.  */

typedef struct
{
  guint64 offered;
  guint64 dispatched; /* attempts */
  guint64 retried;    /* attempts after the first */
  guint64 refused;
  guint64 finished;
  guint64 cancelled;
  guint64 ejected;
  guint64 kv_gaps;
  guint64 prefix_hit_tokens;
  guint64 prompt_tokens; /* of dispatched requests */
} pu_router_stats_t;

pu_router_stats_t pu_router_stats (const pu_router_t *r);

guint pu_router_backend_in_flight (const pu_router_t *r,
                                   pu_router_backend_t b);
guint pu_router_backend_slots (const pu_router_t *r, pu_router_backend_t b);
guint pu_router_service_in_flight (const pu_router_t *r,
                                   pu_router_service_t s);
guint pu_router_service_limit (const pu_router_t *r, pu_router_service_t s);
guint pu_router_service_waiting (const pu_router_t *r, pu_router_service_t s);

/* pu_router_ready_copies - copies of M that may get work now.  */
guint pu_router_ready_copies (const pu_router_t *r, pu_router_model_t m);

/* pu_router_dump - a new object with services, models and backend servers.
   The caller owns it.  */
json_t *pu_router_dump (const pu_router_t *r);

G_END_DECLS

#endif
