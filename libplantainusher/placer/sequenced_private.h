#ifndef PU_PLACER_SEQUENCED_PRIVATE_H
#define PU_PLACER_SEQUENCED_PRIVATE_H

#include "document/document.h"
#include "http/client.h"
#include "placement/adapters.h"
#include "placement/copy_pace.h"
#include "placement/order_turns.h"
#include "placement/outages.h"
#include "placement/planner.h"
#include "placer/names.h"
#include "placer/sequenced.h"

G_BEGIN_DECLS

/* The files of this module: planning and the steps of the dispatcher
   (sequenced.c), what is known of each engine (sequenced_engines.c), HTTP
   calls to engines (sequenced_calls.c), copy requests of daemons
   (sequenced_copy_requests.c), engines that have crashed
   (sequenced_outages.c).  */

/* An engine; its handle is the index into leader_state_t.engines.  */
typedef struct
{
  char *name;
  guint64 incarnation; /* an engine that restarts gets another handle */
  char *address;
  char *zone;
  char *service;
  bool usable;              /* in the state, neither down nor leaving */
  guint reported_requests;  /* running and waiting, by its last report */
  GHashTable *cached_items; /* set of items whose weights are in memory or on
                               disk of the engine's host */
  bool in_state; /* found in the replicated state at the last update from it */
} engine_t;

/* The state of one leadership of this voter.  */
typedef struct
{
  pu_planner_t *planner;
  pu_dispatcher_t *dispatcher;
  pu_adapters_t *adapters;
  pu_outages_t *outages;
  guint32 next_probe; /* engine to probe next, modulo their number */
  pu_names_t item_names;
  pu_names_t engine_names;
  pu_names_t zone_names;
  GArray *engines;        /* of engine_t */
  GArray *item_memory_mb; /* of guint32, by item */
  guint32 max_adapter_mb; /* memory of the largest adapter */
  pu_document_t *document;
  guint64 document_version;
  guint64 state_changes; /* pu_state_change_count of the last update */
  guint64 term;
  guint64
      n_load_reports;  /* number of reports passed to options.on_load_report */
  double store_tokens; /* token bucket of loads from the weights store */
  double store_tokens_per_s; /* refill rate of store_tokens */
  guint64 store_refilled_at_ms;
  guint64 next_plan_ms;
  guint64 refreshed_ms;  /* when all engines were last refreshed */
  pu_copy_pace_t pace;   /* of copy requests */
  GHashTable *due_times; /* item -> due_time_t of sequenced_copy_requests.c */
} leader_state_t;

struct pu_sequenced
{
  pu_sequenced_options_t options;
  pu_http_client_t *client;
  leader_state_t *leader;  /* NULL while another voter leads */
  guint64 leader_epoch;    /* number of leaderships begun by this voter */
  pu_order_turns_t *turns; /* orders of all leaderships of this process */
  GArray *moves;           /* of pu_move_t; reused buffer */
  GArray *copies;          /* of pu_plan_copy_t; reused buffer */
  GHashTable *calls;       /* set of call_t in flight (sequenced_calls.c) */
  GQueue copy_requests;    /* of copy_request_t (sequenced_copy_requests.c) */
  uv_timer_t copy_request_timer;
  pu_counter_t orders_sent;
  pu_counter_t reports_fetched;
  pu_counter_t answers_lost;
  pu_counter_t reports_cut;     /* reports with names that were left out */
  guint64 cut_report_logged_ms; /* when the last of them was logged */
};

/* Returns the monotonic time, in milliseconds, that the control module passes
   to leader tasks (pu_control_now).  */
static inline guint64
pu_sequenced_now (const pu_sequenced_t *s)
{
  return pu_control_now (s->options.control);
}

static inline engine_t *
pu_sequenced_get_engine (const leader_state_t *l, guint32 engine)
{
  return &g_array_index (l->engines, engine_t, engine);
}

/* --- sequenced.c --- */

/* pu_sequenced_step - executes the actions of the dispatcher that are due.  */
void pu_sequenced_step (pu_sequenced_t *s);

/* pu_sequenced_step_engine - as pu_sequenced_step for ENGINE alone.  */
void pu_sequenced_step_engine (pu_sequenced_t *s, guint32 engine);

/* pu_sequenced_order_wait_ms - returns the milliseconds until ENGINE may be
   ordered, as far as earlier leaderships are concerned.  */
guint32 pu_sequenced_order_wait_ms (const pu_sequenced_t *s, guint32 engine);

/* pu_sequenced_may_order - whether ENGINE may be ordered now, as far as the
   orders of this instance's earlier leaderships are concerned.  */
bool pu_sequenced_may_order (const pu_sequenced_t *s, guint32 engine);

/* pu_sequenced_item_memory_mb - returns the memory of ITEM in MB; 0: it was
   never declared.  */
guint32 pu_sequenced_item_memory_mb (const leader_state_t *l, guint32 item);

/* --- sequenced_engines.c --- */

/* pu_sequenced_refresh_engines - passes the state and limits of all engines to
   the planner, the dispatcher and the adapters, unless that was done less than
   MAX_AGE_MS ago.  */
void pu_sequenced_refresh_engines (pu_sequenced_t *s, guint64 max_age_ms);

/* --- sequenced_calls.c --- */

/* pu_sequenced_send_order - sends the order of A and passes the answer to the
   dispatcher.  */
void pu_sequenced_send_order (pu_sequenced_t *s,
                              const pu_dispatcher_action_t *a);

/* pu_sequenced_fetch_report - fetches the report of A's engine and passes it
   to the dispatcher.  */
void pu_sequenced_fetch_report (pu_sequenced_t *s,
                                const pu_dispatcher_action_t *a);

/* pu_sequenced_probe - opens a connection to ENGINE and closes it again.  */
void pu_sequenced_probe (pu_sequenced_t *s, guint32 engine);

/* pu_sequenced_cancel_calls - cancels all calls in flight; their callbacks are
   not called.  */
void pu_sequenced_cancel_calls (pu_sequenced_t *s);

/* --- sequenced_outages.c --- */

/* pu_sequenced_on_refusal - a pu_control_refusal_fn.  */
void pu_sequenced_on_refusal (void *data, const char *name,
                              uint64_t incarnation, const char *instance);

/* pu_sequenced_note_call - takes the end RESULT of a call to ENGINE that was
   started at STARTED as evidence for or against an outage of ENGINE.  */
void pu_sequenced_note_call (pu_sequenced_t *s, guint32 engine,
                             const pu_http_result_t *result, guint64 started);

/* pu_sequenced_probe_another - opens a connection to an engine other than
   ENGINE, in turn, that has refused none lately.  */
void pu_sequenced_probe_another (pu_sequenced_t *s, guint32 engine);

/* pu_sequenced_note_connection - an engine has accepted a connection that was
   started at STARTED.  */
void pu_sequenced_note_connection (pu_sequenced_t *s, guint64 started);

/* --- sequenced_copy_requests.c --- */

/* pu_sequenced_on_copy_request - a pu_control_copy_request_fn.  */
void pu_sequenced_on_copy_request (void *data, const char *model,
                                   pu_control_copy_request_t *request);

/* pu_sequenced_check_copy_requests - answers the requests whose copy is ready,
   is no longer being loaded, or has timed out.  */
void pu_sequenced_check_copy_requests (pu_sequenced_t *s);

/* pu_sequenced_refuse_copy_requests - answers all waiting requests with NULL,
   which means that no copy is expected.  */
void pu_sequenced_refuse_copy_requests (pu_sequenced_t *s);

G_END_DECLS

#endif
