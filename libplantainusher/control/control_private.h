#ifndef PU_CONTROL_PRIVATE_H
#define PU_CONTROL_PRIVATE_H

#include "base/log.h"
#include "control/blobs.h"
#include "control/control.h"
#include "control/feed.h"
#include "control/flight.h"
#include "control/grants.h"
#include "control/generated/control_msg.h"
#include "control/pace.h"
#include "control/sessions.h"
#include "routing/load_hub.h"
#include "rpc/pool.h"
#include "state/codec.h"

G_BEGIN_DECLS

/* Shared by the files of this folder alone.  */

#define PU_CONTROL_PART "control"

/* Number of kinds of queries, pu_query_kind.  */
#define PU_CONTROL_QUERY_KINDS (PU_QUERY_REFUSAL + 1)

struct pu_control
{
  pu_control_options_t options;
  char *name;
  char *address;
  pu_group_t *group;
  pu_state_t *state;
  pu_rpc_pool_t *pool;
  pu_rpc_pool_t *bulk_pool; /* for what takes long on a slow link */
  uv_timer_t *tick_timer;
  pu_feed_t *feed;
  pu_sessions_t *sessions;
  pu_membership_t *membership;
  GHashTable *daemon_sessions; /* on the leader: name of a daemon ->
                                  daemon_session_t */
  GArray *leader_tasks;        /* the leader tasks, pu_control_leader_task_t */
  pu_control_demand_fn *demand;
  void *demand_data;
  pu_control_urgency_fn *urgency;
  void *urgency_data;
  pu_control_copy_request_fn *copy_request;
  void *copy_request_data;
  uint64_t served_timed; /* ms; when this leader began or last told the time
                            for versions that serve no more */
  pu_control_refusal_fn *refusal;
  void *refusal_data;
  pu_grants_t *grants;             /* used while this voter is the leader */
  pu_allowance_pool_t *allowances; /* the same */
  uint64_t allowance_membership_version; /* of the state's members that
                                            `allowances` has */
  pu_load_hub_t *load_hub;               /* leader or not */
  uint64_t load_refused_logged; /* ms; last log line on a refused statement */

  /* stand_in.c */
  GHashTable *allowance_asks;   /* set of ask_t: questions passed on */
  GHashTable *stand_ins_failed; /* address -> time in ms, boxed */
  char *leader_before;          /* address of the last known leader, or NULL */
  uint64_t levels_at;           /* ms; when this voter last asked for levels */
  uint64_t stand_in_term;       /* in which this voter began to stand in */
  bool levels_open;             /* it waits for them */
  void (*teams_tick) (void *data, uint64_t now);
  void *teams_tick_data;

  /* polls.c */
  GQueue polls; /* waiting poll_t */
  pu_pace_t pace;
  pu_public_entry *answer_entries; /* reused buffer for one answer */
  uv_timer_t *answer_timer; /* set when waiting polls are to be answered */
  GBytes *image;            /* public image at image_position, or NULL */
  uint64_t image_position;
  const pu_state_t *image_of; /* the state that the image was made from */
  bool leader_lost;           /* polls are refused for want of a leader */
  bool bulk_waits;            /* a poll waits until bulk data may be sent */
  guint round_replies; /* replies to polls since the last notification */
  size_t round_bytes;  /* the bytes of these */

  /* query.c */
  guint queries[PU_CONTROL_QUERY_KINDS]; /* by kind, since the last log line */
  guint64 queries_ns;                    /* time spent on them */
  uint64_t queries_logged;               /* ms */

  /* chunks.c */
  pu_blobs_t *blobs;
  pu_flight_t *flight;
  GQueue chunk_calls; /* waiting chunk_call_t */

  /* proposals.c */
  GHashTable *replies;   /* position -> GBytes of pu_reply */
  guint proposals;       /* number in flight in the group */
  GHashTable *forwards;  /* set of forward_t: calls to the leader */
  GHashTable *proposers; /* name -> proposer_t */

  uint64_t started;  /* ms */
  bool heard_leader; /* a leader was known since then */
  bool leading;      /* leader tasks run */
  uint64_t term;
  uint64_t sessions_sent; /* ms; time of the last session message */
  guint64 drop_logged;    /* ms; last log line about a dropped message */
  bool closing;
  void (*closed) (void *data);
  void *closed_data;
};

/* pu_control_reply_xdr - answers CALL with RECORD, encoded by PROC, and frees
   CALL.  Returns the bytes of the reply.  */
size_t pu_control_reply_xdr (pu_rpc_call_t *call, xdrproc_t proc,
                             const void *record);

/* pu_control_leader_address - returns the peer address of the leader; "" when
   it is unknown.  */
const char *pu_control_leader_address (const pu_control_t *c);

/* pu_control_bulk_client - returns the client for bulk data to the daemon at
   ADDRESS, or NULL.  It has a connection of its own, so that heartbeats to the
   daemon don't wait behind the data.  */
pu_rpc_client_t *pu_control_bulk_client (pu_control_t *c, const char *address);

/* pu_control_forward - calls procedure PROC of the leader with ARGS, encoded
   by ARGS_PROC, and relays the answer to CALL.  FAIL answers CALL when the
   leader does not.  */
typedef void pu_control_fail_fn (pu_control_t *c, pu_rpc_call_t *call,
                                 pu_error_kind_t kind, const char *message);
void pu_control_forward (pu_control_t *c, pu_rpc_call_t *call, guint32 proc,
                         xdrproc_t args_proc, const void *args,
                         guint timeout_ms, pu_control_fail_fn *fail);

/* pu_control_drop_forwards - drops the calls that wait for the leader.  */
void pu_control_drop_forwards (pu_control_t *c);

/* proposals.c */
void pu_control_proposals_init (pu_control_t *c);
void pu_control_proposals_clear (pu_control_t *c);
void pu_control_store_reply (pu_control_t *c, uint64_t position,
                             const pu_reply *r);
void pu_control_on_propose (void *data, pu_rpc_call_t *call,
                            const guint8 *body, size_t n);
void pu_control_on_propose_packed (void *data, pu_rpc_call_t *call,
                                   const guint8 *body, size_t n);

/* query.c */
void pu_control_on_query (void *data, pu_rpc_call_t *call, const guint8 *body,
                          size_t n);

/* pu_control_queries_tick - logs how many queries this leader has answered, if
   that took much of the time.  */
void pu_control_queries_tick (pu_control_t *c, uint64_t now);

/* allowances.c */
void pu_control_on_allowance (void *data, pu_rpc_call_t *call,
                              const guint8 *body, size_t n);

/* pu_control_allowances_begin - this voter begins to lead.  */
void pu_control_allowances_begin (pu_control_t *c, uint64_t now);

/* pu_control_allowances_tick - takes over a change of the members.  */
void pu_control_allowances_tick (pu_control_t *c, uint64_t now);

/* pu_control_allowances_answer - answers CALL, the question Q, from this
   voter's pool.  */
void pu_control_allowances_answer (pu_control_t *c, pu_rpc_call_t *call,
                                   const pu_allowance_call *q);
void pu_control_allowances_fail (pu_rpc_call_t *call, pu_error_kind_t kind,
                                 const char *message);

/* stand_in.c */
void pu_control_stand_in_init (pu_control_t *c);

/* pu_control_stand_in_drop - drops the calls that wait for an answer.  */
void pu_control_stand_in_drop (pu_control_t *c);
void pu_control_stand_in_clear (pu_control_t *c);

/* pu_control_stand_in_route - on a voter that does not lead: passes the
   question Q on to the leader or, while it is silent, to the voter that stands
   in for it, which may be this one.  */
void pu_control_stand_in_route (pu_control_t *c, pu_rpc_call_t *call,
                                pu_allowance_call *q);
void pu_control_stand_in_tick (pu_control_t *c, uint64_t now);
/* load_exchange.c */
void pu_control_load_exchange_init (pu_control_t *c);
void pu_control_on_load_exchange (void *data, pu_rpc_call_t *call,
                                  const guint8 *body, size_t n);

/* polls.c */
void pu_control_polls_init (pu_control_t *c);
void pu_control_polls_clear (pu_control_t *c);
/* pu_control_polls_notify - schedules the answers to the waiting polls after
   a change of URGENCY.  */
void pu_control_polls_notify (pu_control_t *c, pu_pace_urgency_t urgency);
void pu_control_polls_tick (pu_control_t *c, uint64_t now);
void pu_control_on_poll (void *data, pu_rpc_call_t *call, const guint8 *body,
                         size_t n);
void pu_control_on_poll_deltas (void *data, pu_rpc_call_t *call,
                                const guint8 *body, size_t n);
void pu_control_on_poll_blobs (void *data, pu_rpc_call_t *call,
                               const guint8 *body, size_t n);

/* pu_control_polls_serve_bulk - answers polls that wait until bulk data may be
   sent, as far as it may be sent now.  */
void pu_control_polls_serve_bulk (pu_control_t *c);

/* chunks.c: large entries and images, which daemons fetch in chunks */
void pu_control_chunks_init (pu_control_t *c);
void pu_control_chunks_clear (pu_control_t *c);
void pu_control_chunks_tick (pu_control_t *c, uint64_t now);
void pu_control_on_chunk (void *data, pu_rpc_call_t *call, const guint8 *body,
                          size_t n);

/* pu_control_bulk_admit - whether N bytes of bulk data may be sent to READER
   now, see flight.h and memory_budget.h.  */
bool pu_control_bulk_admit (pu_control_t *c, const char *reader, size_t n,
                            uint64_t now);

/* pu_control_chunks_received - READER makes a call, so that it has received
   what it was sent before.  */
void pu_control_chunks_received (pu_control_t *c, const char *reader);

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
