#ifndef PU_CONTROL_PRIVATE_H
#define PU_CONTROL_PRIVATE_H

#include "control/control.h"
#include "control/feed.h"
#include "control/generated/control_msg.h"
#include "control/pace.h"
#include "control/sessions.h"
#include "rpc/pool.h"
#include "state/codec.h"

G_BEGIN_DECLS

/* What the files of this slice share.  Private to it.  */

#define PU_CONTROL_PART "control"

struct pu_control
{
  pu_control_options_t options;
  char *name;
  char *address;
  pu_group_t *group;
  pu_state_t *state;
  pu_rpc_pool_t *pool;
  uv_timer_t *tick;
  pu_feed_t *feed;
  pu_sessions_t *sessions;
  pu_membership_t *membership;
  GHashTable *heard; /* on the leader: name of a daemon -> daemon_session_t */
  GArray *leader_tasks; /* pu_control_leader_task_t */
  pu_control_demand_fn *demand;
  void *demand_data;
  pu_control_want_fn *want;
  void *want_data;

  /* polls.c */
  GQueue polls; /* poll_t that wait */
  pu_pace_t pace;
  pu_public_entry *news; /* scratch of one answer */
  uv_timer_t *answer;    /* runs when polls are to be looked at */
  GBytes *image;         /* the public image as of image_position, or NULL */
  uint64_t image_position;

  /* proposals.c */
  GHashTable *replies;   /* position -> GBytes of pu_reply */
  guint proposals;       /* under way in the group */
  GHashTable *forwards;  /* set of calls that wait for the leader */
  GHashTable *proposers; /* name -> proposer_t */

  uint64_t started;  /* ms */
  bool heard_leader; /* since it started */
  bool leading;      /* duties run */
  uint64_t term;
  uint64_t sessions_sent;
  guint64 last_log;
  bool closing;
  void (*closed) (void *data);
  void *closed_data;
};

/* pu_control_reply_xdr - answers CALL with RECORD and frees CALL.  */
void pu_control_reply_xdr (pu_rpc_call_t *call, xdrproc_t proc,
                           const void *record);

/* pu_control_leader_address - "" when it is not known.  */
const char *pu_control_leader_address (const pu_control_t *c);

/* pu_control_forward - passes BODY to PROC of the leader, and its answer to
   CALL.  FAIL answers CALL when there is none.  */
typedef void pu_control_fail_fn (pu_control_t *c, pu_rpc_call_t *call,
                                 pu_error_kind_t kind, const char *message);
void pu_control_forward (pu_control_t *c, pu_rpc_call_t *call, guint32 proc,
                         xdrproc_t args_proc, const void *args,
                         guint timeout_ms, pu_control_fail_fn *fail);
void pu_control_drop_forwards (pu_control_t *c);

/* proposals.c */
void pu_control_proposals_init (pu_control_t *c);
void pu_control_proposals_clear (pu_control_t *c);
void pu_control_store_reply (pu_control_t *c, uint64_t position,
                             const pu_reply *r);
void pu_control_on_propose (void *data, pu_rpc_call_t *call,
                            const guint8 *body, size_t n);

/* query.c */
void pu_control_on_query (void *data, pu_rpc_call_t *call, const guint8 *body,
                          size_t n);

/* polls.c */
void pu_control_polls_init (pu_control_t *c);
void pu_control_polls_clear (pu_control_t *c);
/* pu_control_polls_notify - there is something NEW for those who wait.  */
void pu_control_polls_notify (pu_control_t *c, pu_pace_urgency_t news);
void pu_control_polls_tick (pu_control_t *c, uint64_t now);
void pu_control_on_poll (void *data, pu_rpc_call_t *call, const guint8 *body,
                         size_t n);
void pu_control_on_poll_deltas (void *data, pu_rpc_call_t *call,
                                const guint8 *body, size_t n);

/* lead.c */
void pu_control_leadership_init (pu_control_t *c);
void pu_control_leadership_clear (pu_control_t *c);
json_t *pu_control_sessions_json (pu_control_t *c);
void pu_control_on_sessions (void *data, pu_rpc_call_t *call,
                             const guint8 *body, size_t n);
void pu_control_send_sessions (pu_control_t *c, uint64_t now);
void pu_control_leadership_tick (pu_control_t *c, uint64_t now);
void pu_control_leadership_end (pu_control_t *c);

G_END_DECLS

#endif
