#ifndef PU_ROUTING_ROUTER_INT_H
#define PU_ROUTING_ROUTER_INT_H

#include "routing/estimate.h"
#include "routing/router.h"

/*
 * The router's tables, shared by the files of this slice and by nobody else.
 *
 * tables.c    fills them         choose.c  picks a copy for a request
 * queue.c     keeps what waits   limit.c   limits, budgets, ejection
 * router.c    offers and next    dump.c    prints them
 * feedback.c  learns, retries
 */

#define TRIED_MAX 4 /* backend servers a request remembers to avoid */
#define MEAN_SAMPLE_WEIGHT 0.1 /* weight of a new sample in a mean */
#define HISTORY_MAX 16 /* ticks of own work kept, to correct late reports */
#define HISTORY_TICK_MS 64
#define REPORT_LIFE_MS 5000 /* an older report says nothing */

typedef struct
{
  char *name;
  bool declared;
  guint importance;
  guint first_token_ms;
  guint per_token_ms;
  guint timeout_ms;
  guint max_concurrency;
  guint max_queue;
  bool serve_late;
  guint patience_ms;
  guint in_flight;
  guint waiting;
  double limit;  /* adaptive */
  bool was_late; /* it was too high once */
  guint samples; /* of this window */
  guint late;
  guint peak;          /* highest in flight in this window */
  double retry_budget; /* retries that may be spent */
  GArray *models;      /* of pu_router_model_t: where it has had a queue */
} service_t;

/* What one service has waiting for one model, best first.  */
typedef struct
{
  pu_router_service_t service;
  GSequence *queue; /* of request_t * */
} flow_t;

/* A ready copy that may get work.  */
typedef struct
{
  pu_router_backend_t backend;
  guint copy; /* index in the backend server's copies */
} ready_copy_t;

typedef struct
{
  char *name;
  bool declared;
  char *preferred; /* version; NULL: all alike */
  guint share;     /* of 1000 requests that go there */
  GArray *ready;   /* of ready_copy_t */
  GArray *flows;   /* of flow_t */
  guint waiting;
  guint in_flight;
  linear_fit_t first;         /* tokens of prefill -> ms to the first token */
  linear_fit_t step;          /* requests at once -> ms for each token */
  double mean_prompt_tokens;  /* tokens */
  double mean_output_tokens;  /* tokens; 0: not known */
  double mean_uncached_share; /* share of a prompt that was not cached */
  double prefill_token_ms;    /* of prefill, undisturbed; 0: not known */
  double decode_step_ms;      /* between tokens, undisturbed; 0: not known */
  guint64 busy_since;         /* since when requests wait without a break */
  double drain_rate;          /* starts for each ms while busy; 0: not known */
  guint drained;              /* starts since busy_since */
  guint64 explored_at;
} model_t;

typedef struct
{
  pu_router_model_t model;
  char *version;
  pu_router_phase_t phase;
  linear_fit_t first; /* as its model's, but of this copy alone */
  bool tried;         /* `first` holds a sample */
} copy_t;

typedef struct
{
  char *name;
  guint64 name_hash;
  guint64 incarnation;
  guint64 serial; /* never used twice, as the handle is */
  pu_router_kind_t kind;
  char *region;
  char *zone;
  guint network_cost_ms; /* of the way there */
  bool used;             /* the slot of the table is in use */
  bool gone;             /* removed; waits for its last request */
  bool leaving;
  bool dirty; /* a slot may have opened since the last next */
  bool held;  /* in the router's list of held backend servers */
  guint fixed_slots;
  double slots;   /* adaptive */
  bool was_full;  /* they were too many once */
  guint queueing; /* reports in a row that showed a queue */
  GArray *copies; /* of copy_t */
  guint in_flight;
  guint prefilling;       /* own, before their first token */
  guint64 pending_tokens; /* of these */
  double window;          /* share of the allowed work ahead; adaptive */
  guint64 window_cut_at;
  linear_fit_t step;
  bool step_known;
  guint64 seq;
  guint64 reported_at; /* 0: never */
  pu_router_report_t report;
  guint others_running;
  guint others_waiting;
  guint history[HISTORY_MAX]; /* own in flight by tick */
  guint64 history_tick;
  guint failures; /* in a row */
  double failure_share;
  guint ejections; /* since it last worked; 0: healthy */
  guint64 ejected_until;
  guint64 blocked_until; /* it said that it is full */
  double retry_budget;
  GArray *tags; /* of double: finish tag of each service here */
  double virtual_time;
  GHashTable *blocks; /* believed cached prefix blocks */
  guint64 kv_next;    /* number of the next cache event; 0: any */
} backend_t;

typedef enum
{
  REQUEST_FREE,
  REQUEST_WAITING,
  REQUEST_RUNNING,
} request_state_t;

typedef struct
{
  request_state_t state;
  guint index;
  guint32 generation;
  pu_router_service_t service;
  pu_router_model_t model;
  guint priority;
  guint64 offered_at;
  guint64 deadline;
  guint64 due;     /* the first token is to come by then */
  guint64 turns;   /* waiting longer makes it late, where late ones are served
                      too */
  guint64 give_up; /* waiting longer makes it useless */
  bool late;       /* it waits behind what may still be on target */
  guint prompt_tokens;
  guint max_tokens;
  guint64 *prefix;
  guint *prefix_tokens; /* NULL: block_tokens each */
  guint n_prefix;
  guint attempts_max;
  guint64 fingerprint;
  guint shared_tokens;
  bool repeatable;
  bool wants_preferred;
  guint attempt;
  bool may_have_run;
  bool gave_tokens;
  guint64 tried[TRIED_MAX]; /* serials */
  guint n_tried;
  GSequenceIter *place;  /* in its flow */
  GSequenceIter *expiry; /* in the router's expiries */
  /* Of the running attempt.  */
  pu_router_backend_t backend;
  guint64 sent_at;
  guint64 first_at; /* 0: no token yet */
  guint64 work;     /* prefill tokens before its first token */
  guint own_tokens; /* of these, its own */
  guint tokens;
  guint sampled_tokens; /* when the step was last learnt */
  guint64 sampled_at;
} request_t;

struct pu_router
{
  pu_router_options_t options;
  char *region;
  char *zone;
  GRand *rand;
  GPtrArray *services; /* of service_t */
  GPtrArray *models;   /* of model_t */
  GPtrArray *backends; /* of backend_t */
  GHashTable *service_names;
  GHashTable *model_names;
  GHashTable *backend_names;
  GPtrArray *requests; /* of request_t, by index */
  GArray *free_requests;
  GSequence *expiries; /* of request_t, by acts_at */
  GArray *dirty;       /* of pu_router_backend_t */
  GArray *held;        /* backend servers blocked or ejected until later */
  GArray *found;       /* of candidate_t: those of the choice in progress */
  double prefill_token_ms; /* of prefill, over all models; 0: not known */
  double decode_step_ms;   /* between tokens, over all models; 0: not known */
  GArray *displaced;       /* of pu_ticket_t: refused by the next next */
  guint in_flight;
  guint64 serial; /* last one given to a backend server */
  bool sweep;     /* a table lost what waiting requests may need */
  pu_router_stats_t stats;
};

/* A copy that could take a request, with what is expected of it.  */
typedef struct
{
  pu_router_backend_t backend;
  guint copy;
  double first_ms; /* to the first token, the way included */
  double score;    /* what is compared; least is best */
  guint cached;    /* tokens of the prompt believed cached there */
  guint64 work;    /* prefill tokens before its first token */
} candidate_t;

static inline service_t *
service_at (const pu_router_t *r, pu_router_service_t s)
{
  return s < r->services->len ? r->services->pdata[s] : NULL;
}

static inline model_t *
model_at (const pu_router_t *r, pu_router_model_t m)
{
  return m < r->models->len ? r->models->pdata[m] : NULL;
}

static inline backend_t *
backend_at (const pu_router_t *r, pu_router_backend_t b)
{
  return b < r->backends->len ? r->backends->pdata[b] : NULL;
}

static inline pu_ticket_t
ticket_of (const request_t *q)
{
  return ((pu_ticket_t)q->generation << 32) | (q->index + 1);
}

/* tables.c */

/* acts_at - when waiting changes what becomes of Q.  */
static inline guint64
acts_at (const request_t *q)
{
  return q->late ? q->give_up : MIN (q->turns, q->give_up);
}

/* backend_mark_dirty - B may take more than when it was last looked at.  */
void backend_mark_dirty (pu_router_t *r, pu_router_backend_t b);

/* backend_release - frees the slot of a gone B when nothing runs there.  */
void backend_release (pu_router_t *r, pu_router_backend_t b);

/* backend_load - requests there now: own, and others' by the last report.  */
guint backend_load (const backend_t *b, guint64 now);

/* backend_others_waiting - others' requests that wait there.  */
guint backend_others_waiting (const backend_t *b, guint64 now);

/* backend_step_ms - expected time for each token with LOAD at once.  */
double backend_step_ms (const pu_router_t *r, const backend_t *b,
                        const model_t *m, guint load);

/* copy_first_token_fit - the time to the first token on C.  Of a copy that
   nothing was sent to yet it is its model's as it is now: one kept from when
   the copy came would stand for ever where the others have become faster
   since.  */
const linear_fit_t *copy_first_token_fit (const pu_router_t *r,
                                          const copy_t *c);

/* copy_add_sample - a sample for C: MS to the first token of WORK.  */
void copy_add_sample (const pu_router_t *r, copy_t *c, double work, double ms);

/* backend_count - notes that own work on B changed.  */
void backend_count (backend_t *b, guint64 now);

/* choose.c */

/* unloaded_first_token_ms - the first token of Q on an idle copy of its model.
 */
double unloaded_first_token_ms (const pu_router_t *r, const request_t *q);

/* expected_output_tokens - how many tokens Q is expected to give.  */
guint expected_output_tokens (const pu_router_t *r, const request_t *q);

/* evaluate_candidate - whether Q may start now on copy COPY of B; fills C.  */
bool evaluate_candidate (pu_router_t *r, const request_t *q,
                         pu_router_backend_t b, guint copy, guint64 now,
                         candidate_t *c);

/* What is left for a retry of a request.  */
typedef enum
{
  RETRY_COPIES_NONE,      /* every ready copy was tried */
  RETRY_COPIES_NO_BUDGET, /* the others have no retry budget */
  RETRY_COPIES_AVAILABLE,
} retry_copies_t;

retry_copies_t retry_copies (const pu_router_t *r, const request_t *q);

/* choose_copy - the best copy for Q to start on now, if there is one.  */
bool choose_copy (pu_router_t *r, const request_t *q, guint64 now,
                  candidate_t *c);

/* queue.c */

void queue_add (pu_router_t *r, request_t *q, guint64 now);
void queue_remove (pu_router_t *r, request_t *q);

/* queue_wait_ms - how long Q would wait behind what is better; 0 when not
   known.  */
double queue_wait_ms (const pu_router_t *r, const request_t *q);

/* queue_displace - takes the last request of lower priority out of Q's flow
   to make place for Q.  Returns false when there is none.  */
bool queue_displace (pu_router_t *r, const request_t *q);

/* queue_pick - the request that B should start next, and how.  */
request_t *queue_pick (pu_router_t *r, pu_router_backend_t b, guint64 now,
                       candidate_t *c);

/* queue_charge - counts Q's start on B in the fair shares there.  */
void queue_charge (pu_router_t *r, const request_t *q, const candidate_t *c);

/* queue_drained - counts a start from the queue of M.  */
void queue_drained (model_t *m, guint64 now);

/* limit.c */

guint service_limit (const service_t *s);
bool service_may_start (const pu_router_t *r, const service_t *s);

/* open_flows - S may start more: the copies it waits for are looked at.  */
void open_flows (pu_router_t *r, const service_t *s);

/* service_record_first_token - a first token came, LATE or in time.  */
void service_record_first_token (pu_router_t *r, pu_router_service_t s,
                                 bool late);

/* prefill_window_update - a first token came from B for a request sent at
   SENT_AT, LATE or in time.  */
void prefill_window_update (backend_t *b, guint64 sent_at, bool late,
                            guint64 now);

/* backend_slot_limit - requests that B may have at once.  */
guint backend_slot_limit (const backend_t *b);

/* slots_report - takes the report of B, which came SINCE milliseconds after
   the one before.  */
void slots_report (const pu_router_t *r, backend_t *b, guint64 since,
                   guint64 now);

void backend_failed (pu_router_t *r, pu_router_backend_t b,
                     pu_router_failure_t failure, guint64 now);
void backend_succeeded (pu_router_t *r, pu_router_backend_t b);

/* retry_budget_credit - a first attempt pays into a retry budget.  */
void retry_budget_credit (const pu_router_t *r, double *retry_budget);
bool retry_budget_allows (const pu_router_t *r, double retry_budget);

/* retry_after - milliseconds after which a caller may come back.  */
guint retry_after (pu_router_t *r, const model_t *m, double wait_ms);

/* router.c */

request_t *request_lookup (const pu_router_t *r, pu_ticket_t t);

/* request_lookup_running - the running request under T, or NULL.  */
request_t *request_lookup_running (const pu_router_t *r, pu_ticket_t t);

/* request_end - voids Q's ticket.  */
void request_end (pu_router_t *r, request_t *q);

/* set_due - works out by when Q's first token has to come.  */
void set_due (pu_router_t *r, request_t *q);

/* lost_dependency - what Q needs and is no longer there; NONE when all is.  */
pu_router_reason_t lost_dependency (const pu_router_t *r, const request_t *q);

/* refuse - Q's final answer, and its end.  */
void refuse (pu_router_t *r, request_t *q, pu_router_reason_t reason,
             double wait_ms, pu_router_decision_t *d);

/* enqueue_or_refuse - Q can't start now.  */
void enqueue_or_refuse (pu_router_t *r, request_t *q, guint64 now,
                        pu_router_decision_t *d);

/* start - an attempt of Q on C.  */
void start (pu_router_t *r, request_t *q, const candidate_t *c, guint64 now,
            pu_router_decision_t *d);

/* prefill_done - Q's prompt weighs on its backend server no longer.  */
void prefill_done (pu_router_t *r, request_t *q);

/* request_stop - takes the running Q off its backend server.  */
void request_stop (pu_router_t *r, request_t *q, guint64 now);

#endif
