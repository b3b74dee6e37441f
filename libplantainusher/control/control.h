#ifndef PU_CONTROL_CONTROL_H
#define PU_CONTROL_CONTROL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/counters.h"
#include "base/error.h"
#include "log/group.h"
#include "membership/membership.h"
#include "rpc/server.h"
#include "state/state.h"

G_BEGIN_DECLS

/*
 * control - what a daemon with the control role adds: a voter of the log, the
 * full state, the answers to the daemons that poll it, and the duties of the
 * leader.
 */

typedef struct pu_control pu_control_t;

typedef struct
{
  uv_loop_t *loop;
  pu_rpc_server_t *server;   /* the daemon's, on its peers' address; control
                                adds its procedures.  Outlives the control */
  const char *name;          /* of the instance */
  const char *address;       /* its peers' address */
  const char *source;        /* of connections, as for pu_rpc_client_new */
  const char *key;           /* the peer key */
  const char *folder;        /* of the log, in the data folder */
  const pu_log_peer *voters; /* the first set; ids are ignored */
  size_t n_voters;
  pu_counters_t *counters; /* may be NULL */
  uint64_t seed;
  guint32 heartbeat_ms; /* of the log; 0 here and below: the default */
  guint32 election_ms;
  guint32 replace_after_ms;
  guint32 voters_wanted; /* 0: operators alone add voters */
  guint32 snapshot_entries;
  guint32 connect_ms;       /* to other voters */
  guint32 tick_ms;          /* 100: polls are answered and duties run */
  guint32 gather_ms;        /* 250: changes of copies wait for others */
  guint32 startup_grace_ms; /* 3000: a voter that started less than that ago,
                          and has heard of no leader since, gives what its
                          daemon has kept to daemons that have no state */
  /* The public state that the daemon has kept, or NULL.  May be NULL.  */
  const pu_state_t *(*kept) (void *data);
  void *kept_data;
  guint32 sessions_ms;       /* 1000: sessions go to the leader */
  guint32 claims_max;        /* at-most-once keys kept; 0: no limit */
  guint32 ring_entries;      /* 4096: public entries kept for polls */
  size_t ring_bytes;         /* 16 MiB */
  const pu_journal_fs_t *fs; /* NULL: the operating system's; tests */
  /* How the history is shown: a new array.  NULL: it is not.  */
  json_t *(*history) (const pu_state_t *s);
  /* What the leader's status says of placement: a new object.  May be NULL. */
  json_t *(*placement) (void *data);
  void *placement_data;
  pu_state_options_t state;
  pu_membership_options_t membership;
} pu_control_options_t;

/* pu_control_options_init - the defaults of all that has one.  */
void pu_control_options_init (pu_control_options_t *o);

/* pu_control_new - opens the log and begins to vote and to answer.  Returns
   NULL with the error of pu_group_new.  */
pu_control_t *pu_control_new (const pu_control_options_t *o, pu_error_t *e);

/* pu_control_step_down - the graceful stop begins: a leader hands over.  Wait
   until pu_control_is_leader is false, two seconds at most, then close.  */
void pu_control_step_down (pu_control_t *c);

/* pu_control_close - answers all that waits, closes the log and then calls
   CLOSED (may be NULL); C is gone then.  Free the server after that.  */
void pu_control_close (pu_control_t *c, void (*closed) (void *data),
                       void *data);

/* pu_control_set_claims_max - as claims_max of the options; claims that are
   there stay.  */
void pu_control_set_claims_max (pu_control_t *c, guint32 claims_max);

/* pu_control_add_seed - a voter may stand at ADDRESS, see pu_group_add_seed.
 */
void pu_control_add_seed (pu_control_t *c, const char *address);

/* pu_control_state - the full state as applied on this voter.  */
const pu_state_t *pu_control_state (const pu_control_t *c);

/* pu_control_group - the log, for its status and its voters.  */
pu_group_t *pu_control_group (const pu_control_t *c);

/* pu_control_is_leader - leads and holds the lease, so that duties run.  */
bool pu_control_is_leader (pu_control_t *c);

/* pu_control_done_fn - what became of a command.  E->kind is PU_OK with R, or
   PU_ERROR_UNAVAILABLE: certainly not run; PU_ERROR_TIMEOUT: not known.  */
typedef void pu_control_done_fn (void *data, const pu_reply *r,
                                 const pu_error_t *e);

/* pu_control_propose - proposes C on this voter, which must lead; FN is called
   exactly once, maybe from within.  There is no retry.  */
void pu_control_propose (pu_control_t *c, const pu_command *command,
                         pu_control_done_fn *fn, void *data);

/*
 * A duty runs on the leader alone, on the loop, and only while the lease is
 * held: `begin` when the lease was got and everything before it is applied,
 * `tick` every tick_ms after, `end` when it was lost.  TERM is the first part
 * of a fencing token.  A duty that acts later than its own tick (a timer, an
 * answer) asks pu_control_is_leader first.
 */
typedef struct
{
  const char *name;
  void (*begin) (void *data, uint64_t now, uint64_t term);
  void (*tick) (void *data, uint64_t now);
  void (*end) (void *data);
  void *data;
} pu_control_leader_task_t;

/* pu_control_add_leader_task - adds DUTY (copied); functions may be NULL.  */
void pu_control_add_leader_task (pu_control_t *c,
                                 const pu_control_leader_task_t *duty);

/* pu_control_on_demand - FN gets on the leader what daemons reported: REQUESTS
   for MODEL that need STREAM_MS in all.  */
typedef void pu_control_demand_fn (void *data, const char *model,
                                   guint32 requests, guint32 stream_ms);
void pu_control_on_demand (pu_control_t *c, pu_control_demand_fn *fn,
                           void *data);

/* pu_control_on_want - FN is asked on the leader for a copy of MODEL, which a
   daemon has requests for: WANT is to be answered, now or later.  */
typedef struct pu_control_want pu_control_want_t;
typedef void pu_control_want_fn (void *data, const char *model,
                                 pu_control_want_t *want);

/* pu_control_want_answer - where the copy is ready, {"backend":NAME}, or in
   how many milliseconds it can be at the soonest, {"due_ms":N}; taken over.
   NULL when there will be none.  WANT is gone then.  */
void pu_control_want_answer (pu_control_want_t *want, json_t *place);
void pu_control_on_want (pu_control_t *c, pu_control_want_fn *fn, void *data);

/* pu_control_backend_silent_ms - leader: how long backend server NAME has not
   been heard of; G_MAXUINT64 when it is not known.  */
uint64_t pu_control_backend_silent_ms (pu_control_t *c, const char *name);

/* pu_control_now - the clock of the duties, milliseconds, monotonic.  */
uint64_t pu_control_now (const pu_control_t *c);

/* pu_control_status - a new object: pu_group_status with "leader_address",
   "quorum", "state":{"position","view","document_version"} and, on the leader,
   "placement" (options) and
   "sessions":[{"name","incarnation","position","silent_ms","allowed_ms",
   "voter"}].  */
json_t *pu_control_status (pu_control_t *c);

G_END_DECLS

#endif
