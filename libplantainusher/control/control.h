#ifndef PU_CONTROL_CONTROL_H
#define PU_CONTROL_CONTROL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/counters.h"
#include "base/error.h"
#include "base/memory_budget.h"
#include "log/group.h"
#include "membership/membership.h"
#include "routing/allowance_pool.h"
#include "rpc/server.h"
#include "state/state.h"

G_BEGIN_DECLS

/*
 * control - the part of a daemon with the control role: it is a voter of the
 * replicated log, applies the full state, answers the polls of daemons and
 * runs the leader's tasks.
 */

typedef struct pu_control pu_control_t;

typedef struct
{
  uv_loop_t *loop;
  pu_rpc_server_t *server;   /* the daemon's RPC server on its peer address, to
                                which control adds its procedures; must outlive
                                the control */
  const char *name;          /* of the instance */
  const char *address;       /* peer address of the instance */
  const char *source;        /* of connections, as for pu_rpc_client_new */
  const char *key;           /* the peer key */
  const char *folder;        /* of the log, in the data folder */
  const pu_log_peer *voters; /* the initial voters; ids are ignored */
  size_t n_voters;
  pu_counters_t *counters; /* may be NULL */
  uint64_t seed;
  guint32 heartbeat_ms; /* of the log; 0 here and below: the default */
  guint32 election_ms;
  guint32 replace_after_ms;
  guint32 voters_wanted; /* 0: only operators add voters */
  guint32 snapshot_entries;
  guint32 connect_ms; /* time-out of connections to other voters */
  guint32 tick_ms;    /* 100: period of leader tasks and of the check for
                         polls whose wait is over */
  guint32 gather_ms;  /* 250: changes of copies are delayed by this and
                         answered in one batch */
  /* 3000: a voter that started less than this ago, and has not heard of a
     leader since, serves the result of `public_state` to daemons without a
     state.  */
  guint32 startup_grace_ms;
  /* Returns the daemon's own copy of the public state, or NULL when it has
     none.  May be NULL.  */
  const pu_state_t *(*public_state) (void *data);
  void *public_state_data;
  const pu_memory_budget_t *memory; /* of the process; must outlive the
                                       control; NULL: not watched */
  guint32 sessions_ms;  /* 1000: interval between session messages to the
                           leader */
  guint32 claims_max;   /* at-most-once keys stored; 0: no limit */
  guint32 ring_entries; /* 4096: public entries kept in memory for polls */
  size_t ring_bytes;    /* 16 MiB: their total size */
  const pu_journal_fs_t *fs; /* file system of the log, replaced by tests;
                                NULL: the operating system's */
  /* Returns the history of a state as a new array.  NULL: queries for the
     history get an empty array.  */
  json_t *(*history) (const pu_state_t *s);
  /* Returns the "placement" object of the leader's status.  May be NULL.  */
  json_t *(*placement) (void *data);
  void *placement_data;
  /* Returns the "allowances" object of the leader's status.  May be NULL.  */
  json_t *(*granted) (void *data);
  void *granted_data;
  pu_state_options_t state;
  pu_membership_options_t membership;
  pu_allowance_tolerance_t allowances; /* window_ms 8000, the rest 0 */
  guint32 load_exchange_ms; /* 0: minimum interval that entries are told for
                               their statements of load */
} pu_control_options_t;

/* pu_control_options_init - sets the options that have a default.  */
void pu_control_options_init (pu_control_options_t *o);

/* pu_control_new - opens the log, takes part in it as a voter and answers
   calls.  Returns NULL with the error of pu_group_new.  */
pu_control_t *pu_control_new (const pu_control_options_t *o, pu_error_t *e);

/* pu_control_begin_stop - announces to the other voters that this process is
   about to stop, and transfers leadership, now and later, to a voter that is
   not stopping.  */
void pu_control_begin_stop (pu_control_t *c);

/* pu_control_step_down - starts a graceful stop: a leader transfers the
   leadership to another voter.  Wait until pu_control_is_leader is false, for
   two seconds at most, then call pu_control_close.  */
void pu_control_step_down (pu_control_t *c);

/* pu_control_close - ends all waiting calls, closes the log, frees C and then
   calls CLOSED (may be NULL).  The RPC server may be freed after that.  */
void pu_control_close (pu_control_t *c, void (*closed) (void *data),
                       void *data);

/* pu_control_set_claims_max - sets the option claims_max.  Claims above the
   new limit are kept.  */
void pu_control_set_claims_max (pu_control_t *c, guint32 claims_max);

/* pu_control_add_seed - adds ADDRESS as the address of a possible voter, see
   pu_group_add_seed.  */
void pu_control_add_seed (pu_control_t *c, const char *address);

/* pu_control_state - returns the full state as applied on this voter.  */
const pu_state_t *pu_control_state (const pu_control_t *c);

/* pu_control_group - returns the replicated log, for its status and its
   voters.  */
pu_group_t *pu_control_group (const pu_control_t *c);

/* pu_control_count - sets the gauges of what the control holds in
   options.counters.  */
void pu_control_count (const pu_control_t *c);

/* pu_control_is_leader - whether this voter leads and holds the lease, so that
   leader tasks run.  */
bool pu_control_is_leader (pu_control_t *c);

/* pu_control_done_fn - receives the result of a command.  E->kind is PU_OK and
   R is the reply; or PU_ERROR_TIMEOUT: the outcome is unknown; or another
   kind, such as PU_ERROR_UNAVAILABLE: the command was certainly not
   executed.  */
typedef void pu_control_done_fn (void *data, const pu_reply *r,
                                 const pu_error_t *e);

/* pu_control_propose - proposes COMMAND on this voter, which must lead.  FN is
   called exactly once, possibly before this returns.  Nothing is retried.  */
void pu_control_propose (pu_control_t *c, const pu_command *command,
                         pu_control_done_fn *fn, void *data);

/*
 * A leader task runs only on the leader, on the loop, and only while the
 * leader holds the lease: `begin` is called when the lease was acquired and
 * everything committed before is applied, `tick` every tick_ms after that, and
 * `end` when the lease was lost.  TERM is the first part of a fencing token.
 * A task that acts outside its tick (from a timer or an answer) checks
 * pu_control_is_leader first.
 */
typedef struct
{
  const char *name;
  void (*begin) (void *data, uint64_t now, uint64_t term);
  void (*tick) (void *data, uint64_t now);
  void (*end) (void *data);
  void *data;
} pu_control_leader_task_t;

/* pu_control_add_leader_task - registers the leader task TASK, which is
   copied; its functions may be NULL.  */
void pu_control_add_leader_task (pu_control_t *c,
                                 const pu_control_leader_task_t *task);

/* pu_control_on_demand - sets FN, which is called on the leader with the
   demand that daemons report: REQUESTS for MODEL that need STREAM_MS in
   all.  */
typedef void pu_control_demand_fn (void *data, const char *model,
                                   guint32 requests, guint32 stream_ms);
void pu_control_on_demand (pu_control_t *c, pu_control_demand_fn *fn,
                           void *data);

/* pu_control_on_urgency - sets FN, which is called on the leader with the
   urgency of the requests for MODEL that daemons report: they need STREAM_MS
   in all, and WEIGHTED_MS with each request multiplied by its weight
   (pu_agent_urgency).  */
typedef void pu_control_urgency_fn (void *data, const char *model,
                                    guint32 stream_ms, guint32 weighted_ms);
void pu_control_on_urgency (pu_control_t *c, pu_control_urgency_fn *fn,
                            void *data);

/* pu_control_on_copy_request - sets FN, which is called on the leader when a
   daemon that has requests for MODEL asks for a ready copy of it.  FN answers
   REQUEST with pu_control_copy_request_answer, at once or later.  */
typedef struct pu_control_copy_request pu_control_copy_request_t;
typedef void pu_control_copy_request_fn (void *data, const char *model,
                                         pu_control_copy_request_t *request);
void pu_control_on_copy_request (pu_control_t *c,
                                 pu_control_copy_request_fn *fn, void *data);

/* pu_control_copy_request_answer - answers and frees REQUEST.  PLACE, whose
   reference is taken, is {"backend":NAME}: the backend server that has a ready
   copy; or {"due_ms":N}: the shortest time until a copy can be ready.  NULL:
   no copy is expected.  */
void pu_control_copy_request_answer (pu_control_copy_request_t *request,
                                     json_t *place);

/* pu_control_on_refusal - sets FN, which is called on the leader when the
   daemon INSTANCE reports that backend server NAME in INCARNATION refuses its
   connections.  */
typedef void pu_control_refusal_fn (void *data, const char *name,
                                    uint64_t incarnation,
                                    const char *instance);
void pu_control_on_refusal (pu_control_t *c, pu_control_refusal_fn *fn,
                            void *data);

/* pu_control_allowances - returns the allowances that this voter grants from
   while it leads, or stands in for a silent leader.  The daemon sets their
   teams; the control sets their entries.  Times given to it are those of
   pu_control_now.  */
pu_allowance_pool_t *pu_control_allowances (pu_control_t *c);

/* pu_control_on_teams_tick - FN is called with DATA at each tick of a voter
   that does not lead, to set the teams of its allowances.  */
void pu_control_on_teams_tick (pu_control_t *c,
                               void (*fn) (void *data, uint64_t now),
                               void *data);

/* pu_control_backend_silent_ms - on the leader, returns the time since backend
   server NAME was last heard of; G_MAXUINT64 when it is unknown.  */
uint64_t pu_control_backend_silent_ms (pu_control_t *c, const char *name);

/* pu_control_now - returns the time passed to leader tasks: monotonic, in
   milliseconds.  */
uint64_t pu_control_now (const pu_control_t *c);

/* pu_control_status - returns a new object: pu_group_status with
   "leader_address", "quorum", "state":{"position","view","document_version"}
   and, on the leader, "placement" and "allowances" (see the options) and
   "sessions":[{"name","incarnation","position","silent_ms","allowed_ms",
   "voter"}].  */
json_t *pu_control_status (pu_control_t *c);

G_END_DECLS

#endif
