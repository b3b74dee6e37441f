#ifndef PU_AGENT_AGENT_H
#define PU_AGENT_AGENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/counters.h"
#include "base/error.h"
#include "control/grants.h"
#include "routing/allowance.h"
#include "routing/load_hub.h"
#include "rpc/client.h"
#include "rpc/server.h"
#include "state/state.h"

G_BEGIN_DECLS

/*
 * agent - a daemon's client of control: it polls one voter, keeps the public
 * copy of the state, announces the daemon as a member and proposes commands.
 *
 * The copy only moves forwards.  With a data folder a new document is durable
 * before the copy shows it.  It is ready once it holds an image that a
 * voter gave or has brought up to date; one that was kept in the data folder
 * is served unconfirmed only when no voter answers for `trust_ms`.  Without a
 * quorum the copy stays as it was.
 */

typedef struct pu_agent pu_agent_t;

typedef struct
{
  uv_loop_t *loop;
  const char *source;           /* of connections, as for pu_rpc_client_new */
  const char *key;              /* the peer key */
  const pu_member_record *self; /* copied; the incarnation is a lower bound:
                                   the agent takes a higher one when the
                                   state knows that one already */
  const char *const *join;      /* peers' addresses of voters */
  size_t n_join;
  pu_rpc_server_t *server; /* answers other daemons that look for voters; NULL:
                              this one does not */
  bool votes;              /* this daemon is a voter, or may become one */
  const char *folder;      /* where the image is kept; NULL: nowhere */
  pu_counters_t *counters; /* may be NULL */
  guint32 seed;
  guint32 poll_wait_ms; /* 2000 */
  guint32 connect_ms;   /* 1000 */
  guint32 attempt_ms;   /* 2000: one attempt of a proposal */
  guint32 home_ms;      /* 30000: back to the preferred voter */
  guint32 keep_ms;      /* 5000: the image is written this long after
                           a change; a document before it is shown */
  guint32 trust_ms;     /* 3000: without a voter, the kept image is
                           served after this */
  pu_state_options_t state;

  /* Called after the copy changed, and when it is first ready.  */
  void (*on_change) (void *data);
  /* Called when the voters that are known have changed: their addresses.  May
     be NULL.  */
  void (*on_voters) (void *data, const char *const *addresses, size_t n);
  /* Called once when a daemon of the same name and a higher incarnation has
     taken this one's place; the agent stops polling.  May be NULL.  */
  void (*on_superseded) (void *data);
  void *data;
} pu_agent_options_t;

void pu_agent_options_init (pu_agent_options_t *o);

/* pu_agent_new - loads the kept image and begins to poll.  Returns NULL with
   PU_ERROR_INVALID for an address that can't be read.  */
pu_agent_t *pu_agent_new (const pu_agent_options_t *o, pu_error_t *e);

/* pu_agent_free - stops; proposals under way end with PU_ERROR_TIMEOUT or
   PU_ERROR_UNAVAILABLE.  */
void pu_agent_free (pu_agent_t *a);

/* pu_agent_view - the public copy; never NULL, empty until ready.  */
const pu_state_t *pu_agent_view (const pu_agent_t *a);

/* pu_agent_has_view - whether the copy holds an image, be it the kept one that
   nobody has confirmed yet; without one it is empty and tells nothing.  */
bool pu_agent_has_view (const pu_agent_t *a);

/* pu_agent_ready - whether the copy holds an image, so that the daemon may
   serve.  */
bool pu_agent_ready (const pu_agent_t *a);

/* pu_agent_join_add - N more peers' addresses where a voter may be asked;
   those known before stay, as either may be out of date.  */
void pu_agent_join_add (pu_agent_t *a, const char *const *addresses, size_t n);

/* pu_agent_incarnation - of this daemon; final once pu_agent_joined.  */
uint64_t pu_agent_incarnation (const pu_agent_t *a);

/* pu_agent_joined - the copy shows this daemon as a member.  */
bool pu_agent_joined (const pu_agent_t *a);

/* pu_agent_connected - the last poll was answered by a voter that knows a
   leader.  */
bool pu_agent_connected (const pu_agent_t *a);

/* pu_agent_silent_ms - for how long no voter that knows a leader has answered;
   G_MAXUINT64: none has yet.  */
uint64_t pu_agent_silent_ms (const pu_agent_t *a);

/* pu_agent_view_age_ms - how old the copy may be: what a voter that knows a
   leader knew this long ago is in it.  G_MAXUINT64: nobody knows.  */
uint64_t pu_agent_view_age_ms (const pu_agent_t *a);

/* pu_agent_caught_up - whether the copy has had, at one time since the start,
   all that a voter that knew a leader had committed when it answered.  */
bool pu_agent_caught_up (const pu_agent_t *a);

/* pu_agent_may_show - whether the copy may be shown as what is in force: it is
   none older than one that an earlier process of this daemon may have shown.
   It was kept by this daemon, or has all that was committed before this
   process started.  Requests may be served before.  Once true, it stays so. */
bool pu_agent_may_show (const pu_agent_t *a);

/* pu_agent_leader - the address of the leader, "" when it is not known; valid
   until the loop runs again.  */
const char *pu_agent_leader (const pu_agent_t *a);

/* pu_agent_polled_voter - the address of the voter that is polled, "" without
   one; valid as above.  */
const char *pu_agent_polled_voter (const pu_agent_t *a);

/* pu_agent_done_fn - E->kind is PU_OK with R; or, R being NULL,
   PU_ERROR_UNAVAILABLE: it certainly did not run; PU_ERROR_TIMEOUT: it may
   have run, or may not; PU_ERROR_TOO_LARGE, PU_ERROR_DENIED,
   PU_ERROR_INVALID: not run.  */
typedef void pu_agent_done_fn (void *data, const pu_reply *r,
                               const pu_error_t *e);

/* pu_agent_voters_known - the peer addresses of the *N voters as the last
   voter or daemon told them, none at first; valid until the loop runs again.
 */
const char *const *pu_agent_voters_known (const pu_agent_t *a, guint *n);

/* pu_agent_propose - has C put into the log and answers within TIMEOUT_MS.  FN
   is called exactly once, never from within.

   An attempt whose outcome is not known is made again until the time is over.
   That is safe because each command's second copy changes nothing: submit by
   change id, claim by attempt, claim done and release by position, member and
   backend commands by incarnation, strike by backend server and incarnation.
   The exceptions are BACKEND_UP and LIFT, whose late copy could undo a newer
   one: the leader drops copies of proposals that have ended here.  RESERVE is
   never repeated: it gets one attempt.  */
void pu_agent_propose (pu_agent_t *a, const pu_command *c, guint timeout_ms,
                       pu_agent_done_fn *fn, void *data);

/* pu_agent_renew - backend server NAME has just reported to this daemon as
   INCARNATION: goes with the next poll.  */
void pu_agent_renew (pu_agent_t *a, const char *name, uint64_t incarnation);

/* pu_agent_demand - callers asked for MODEL; summed up for the next poll.  */
void pu_agent_demand (pu_agent_t *a, const char *model, guint32 requests,
                      guint32 stream_ms);

/* pu_agent_urgency - tells the leader how urgent the requests for MODEL were,
   as in pu_planner_add_urgency; summed up for the next poll.  It is sent as
   demand for a name that no model has, MODEL followed by
   PU_AGENT_URGENCY_SUFFIX, so that voters of earlier releases pass it on and
   leaders of earlier releases skip it.  */
#define PU_AGENT_URGENCY_SUFFIX "\n"
void pu_agent_urgency (pu_agent_t *a, const char *model, guint32 stream_ms,
                       guint32 weighted_ms);

/* pu_agent_leave - proposes that this daemon is leaving; nobody is sent here
   from then on.  */
void pu_agent_leave (pu_agent_t *a, guint timeout_ms, pu_agent_done_fn *fn,
                     void *data);

/* pu_agent_depart - the last act: proposes that it is down, and announces it
   no more.  */
void pu_agent_depart (pu_agent_t *a, guint timeout_ms, pu_agent_done_fn *fn,
                      void *data);

/* pu_agent_json_fn - RESULT is borrowed; NULL with E.  */
typedef void pu_agent_json_fn (void *data, json_t *result,
                               const pu_error_t *e);

/* pu_agent_status, pu_agent_history - asked of the leader (pu_control_status)
   and of a voter (what `operator` calls the history: newest first, {"version",
   "change_id","author","time"}).  */
void pu_agent_status (pu_agent_t *a, guint timeout_ms, pu_agent_json_fn *fn,
                      void *data);
void pu_agent_history (pu_agent_t *a, guint timeout_ms, pu_agent_json_fn *fn,
                       void *data);

/* pu_agent_want - asked of the leader: where MODEL, that there is no copy of
   here, is ready: {"backend"}.  The answer may take as long as a load.  */
void pu_agent_want (pu_agent_t *a, const char *model, guint timeout_ms,
                    pu_agent_json_fn *fn, void *data);

/* pu_agent_report_refusal - tells the leader that BACKEND in INCARNATION
   refuses connections from this daemon.  */
void pu_agent_report_refusal (pu_agent_t *a, const char *backend,
                              uint64_t incarnation, guint timeout_ms,
                              pu_agent_json_fn *fn, void *data);

/* pu_agent_request_grant - asks the leader for the requests in Q to a backend
   server that limits them (control/grants.h): {"granted","next_ms","ended"}.
 */
void pu_agent_request_grant (pu_agent_t *a, const pu_grant_request_t *q,
                             guint timeout_ms, pu_agent_json_fn *fn,
                             void *data);

/* pu_agent_grants_fn - GRANTS, of pu_allowance_grant_t, is borrowed; NULL with
   E.  */
typedef void pu_agent_grants_fn (void *data, const GArray *grants,
                                 const pu_error_t *e);

/* pu_agent_ask_allowance - asks the leader for what ASKS, of
   pu_allowance_ask_t, say.  FN is called exactly once, never from within.  A
   voter of a release without allowances does not answer the question:
   PU_ERROR_NOT_FOUND.  */
void pu_agent_ask_allowance (pu_agent_t *a, const GArray *asks,
                             guint timeout_ms, pu_agent_grants_fn *fn,
                             void *data);

/* pu_agent_load_voters - the peer addresses of the *N voters that
   pu_agent_voters_known returns, in the order in which they are the hub of the
   exchange of loads: the same order at all daemons.  */
const char *const *pu_agent_load_voters (const pu_agent_t *a, guint *n);

/* pu_agent_loads_fn - R is borrowed; NULL with E.  BYTES were sent and
   received.  */
typedef void pu_agent_loads_fn (void *data, const pu_load_reply_t *r,
                                gsize bytes, const pu_error_t *e);

/* pu_agent_exchange_loads - states to the voter at the address VOTER what S
   says, by this daemon as the entry; SINCE is what it last replied.  FN is
   called exactly once, never from within.  A voter of a release without the
   exchange does not answer: PU_ERROR_NOT_FOUND.  */
void pu_agent_exchange_loads (pu_agent_t *a, const char *voter,
                              const pu_load_statement_t *s,
                              const pu_load_since_t *since, guint timeout_ms,
                              pu_agent_loads_fn *fn, void *data);

/* pu_agent_voters - ACTION "add", "remove" or "replace" (by OTHER, else "").
   The answer is {"voters":[NAME...]}.  */
void pu_agent_voters (pu_agent_t *a, const char *action, const char *name,
                      const char *other, guint timeout_ms,
                      pu_agent_json_fn *fn, void *data);

/* pu_agent_peer - the connection to the daemon at ADDRESS, made when needed
   and closed after a minute without a use; ask again for each call.  NULL for
   an address that can't be read.  */
pu_rpc_client_t *pu_agent_peer (pu_agent_t *a, const char *address);

/* pu_agent_dump - a new object with what the agent knows, but for the view. */
json_t *pu_agent_dump (const pu_agent_t *a);

G_END_DECLS

#endif
