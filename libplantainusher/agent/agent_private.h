#ifndef PU_AGENT_PRIVATE_H
#define PU_AGENT_PRIVATE_H

#include "agent/agent.h"
#include "control/generated/control_msg.h"
#include "rpc/pool.h"
#include "state/codec.h"

G_BEGIN_DECLS

/* What the files of this slice share.  Private to it.  */

#define PU_AGENT_PART "agent"

typedef struct pu_keep pu_keep_t;

struct pu_agent
{
  pu_agent_options_t options;
  pu_member_record *self;
  pu_state_t *view;
  pu_rpc_pool_t *pool;  /* to voters */
  pu_rpc_pool_t *peers; /* to other daemons: messages one way */
  GRand *rand;
  uint64_t cluster; /* of the log that the view comes from; 0: none yet */
  bool ready;       /* holds an image */
  bool gap;         /* a delta did not fit: an image is needed */
  bool confirmed;   /* by a voter, or by the lack of one */
  bool joined;
  bool departed;
  bool superseded;
  bool closing;
  bool announcing;
  uint64_t announced_at; /* position of the last announcement's entry */
  uint64_t told;         /* pu_state_change_count at the last on_change */

  /* voters.c: addresses, the preferred one first */
  GPtrArray *join;
  GPtrArray *learnt;
  GPtrArray *ranked;
  uint64_t voters_hash;
  uint64_t voters_at; /* log position of the learnt ones; 0: none */
  guint at;           /* in ranked: the one that is polled */
  uint64_t moved_at;  /* loop time when `at` left the preferred one */
  char *leader;       /* address; "" when not known */

  /* poll.c */
  uv_timer_t *poll_timer;
  uint32_t poll_handle;      /* 0: none under way */
  guint failures;            /* polls in a row */
  guint leaderless;          /* answers in a row */
  uint64_t answered_at;      /* by a voter that knows a leader; 0: never */
  uint64_t poll_sent_at;     /* loop time */
  uint64_t current_at;       /* the view has what a voter with a leader knew
                                then; 0: never */
  bool caught_up;            /* since the start, or the last gap, the view has
                                had all that its voter had committed */
  bool may_show;             /* see pu_agent_may_show */
  bool at_once;              /* the next poll does not wait for news */
  char *old_voter;           /* address of a voter that does not know
                                PU_CONTROL_POLL_BLOBS, or NULL */
  char *poll_voter;          /* address of the voter of poll_handle */
  GHashTable *renewals;      /* backend server -> renewal_t */
  GHashTable *sent_renewals; /* the same, of the last polls */
  GHashTable *demand;        /* model -> demand_t */

  /* hedge.c */
  uv_timer_t *hedge_timer;
  uint32_t hedge_handle;  /* 0: none under way */
  char *hedge_voter;      /* address of its voter */
  uint64_t hedge_sent_at; /* loop time */
  guint hedges;           /* since the last poll, or the last answer */

  /* find.c */
  uv_timer_t *find_timer;
  uint64_t found_at; /* loop time when others were last asked */

  /* propose.c */
  GQueue proposals; /* by rising seq */
  uint64_t next_seq;
  guint64 slow_logged_at; /* loop time of the last line on a slow proposal */

  /* query.c */
  GQueue queries;

  /* allowance.c */
  GQueue allowance_calls;
  char
      *allowance_avoided; /* address of a voter that did not answer, or NULL */
  uint64_t allowance_avoided_at; /* loop time */

  /* load_exchange.c */
  GQueue load_calls;
  GPtrArray *load_voters; /* addresses of `learnt`, the hub first */

  /* keep.c */
  pu_keep_t *keep;        /* NULL without a folder */
  uv_timer_t *keep_timer; /* runs while a change is not kept */
  uint64_t kept_version;  /* of the document in the newest kept image */
  uv_timer_t *trust_timer;

  /* fetch.c */
  pu_blob_reply *fetching; /* the answer whose blob is fetched, or NULL */
  GByteArray *received;    /* the start of a blob, or NULL */
  uint64_t received_id;    /* of that blob */

  /* hold.c */
  GBytes *held; /* the answer that waits for its image to be kept, or NULL */
};

/* voters.c */
void pu_agent_voters_init (pu_agent_t *a);
void pu_agent_voters_clear (pu_agent_t *a);
const char *pu_agent_voter (const pu_agent_t *a);
void pu_agent_voters_learn (pu_agent_t *a, const pu_poll_reply *r);
void pu_agent_voters_next (pu_agent_t *a);
void pu_agent_voters_home (pu_agent_t *a);

/* pu_agent_voters_use - polls the voter at ADDRESS next, if it is known.  */
void pu_agent_voters_use (pu_agent_t *a, const char *address);
void pu_agent_set_leader (pu_agent_t *a, const char *address);

/* pu_agent_voters_take - N voters, who became that at the position AT: false
   when that is no news.  */
bool pu_agent_voters_take (pu_agent_t *a, uint64_t at, const pu_voter *voters,
                           u_int n);

/* find.c: daemons that tell each other who votes */
void pu_agent_find_init (pu_agent_t *a);
void pu_agent_find_clear (pu_agent_t *a);

/* poll.c */
void pu_agent_poll_init (pu_agent_t *a);
void pu_agent_poll_clear (pu_agent_t *a);
void pu_agent_poll_answered (pu_agent_t *a, const pu_poll_reply *r);

/* pu_agent_poll_received - the whole answer R has arrived.  */
void pu_agent_poll_received (pu_agent_t *a, const pu_poll_reply *r);

/* pu_agent_poll_failed - polls the next voter after a pause.  */
void pu_agent_poll_failed (pu_agent_t *a, const char *why);

/* pu_agent_poll_again - polls the same voter after a short pause.  */
void pu_agent_poll_again (pu_agent_t *a);

/* pu_agent_call_voter - calls PROC of the voter that is polled.  */
void pu_agent_call_voter (pu_agent_t *a, guint32 proc, GBytes *body,
                          pu_rpc_answer_t *fn);

/* pu_agent_poll_hedge - encodes a poll without a wait that has all renewals
   which may not have arrived yet.  */
GBytes *pu_agent_poll_hedge (pu_agent_t *a);

/* pu_agent_poll_replace - ends the poll under way, if any, and takes the
   answer R of VOTER to a hedge that was sent at SENT_AT in place of its
   answer.  */
void pu_agent_poll_replace (pu_agent_t *a, const char *voter, uint64_t sent_at,
                            const pu_blob_reply *r);

/* hedge.c */
void pu_agent_hedge_init (pu_agent_t *a);
void pu_agent_hedge_clear (pu_agent_t *a);

/* pu_agent_hedge_begin - a poll with a wait of WAIT_MS is sent now.  */
void pu_agent_hedge_begin (pu_agent_t *a, guint wait_ms);

/* fetch.c */

/* pu_agent_fetch - fetches the blob of R, which has one, and then calls
   pu_agent_poll_received or pu_agent_poll_failed.  */
void pu_agent_fetch (pu_agent_t *a, const pu_blob_reply *r);
void pu_agent_fetch_clear (pu_agent_t *a);

/* hold.c */

/* pu_agent_hold - when R brings a new document: keeps what the view will be,
   and calls pu_agent_poll_answered with R later.  Else false: R can be taken
   now.  */
bool pu_agent_hold (pu_agent_t *a, const pu_poll_reply *r);
void pu_agent_hold_clear (pu_agent_t *a);

/* view.c */
bool pu_agent_take (pu_agent_t *a, const pu_poll_reply *r);
bool pu_agent_apply_entries (pu_state_t *s, const pu_poll_reply *r);
void pu_agent_announce (pu_agent_t *a);
void pu_agent_tell (pu_agent_t *a);

/* propose.c */
void pu_agent_proposals_clear (pu_agent_t *a);

/* query.c */
void pu_agent_queries_clear (pu_agent_t *a);

/* allowance.c */
void pu_agent_allowances_clear (pu_agent_t *a);

/* load_exchange.c */
void pu_agent_load_calls_clear (pu_agent_t *a);

/* pu_agent_load_voters_set - the voters have changed.  */
void pu_agent_load_voters_set (pu_agent_t *a);

/* keep.c: the image in the data folder.  */
typedef struct
{
  uint64_t cluster;
  GBytes *image;
} pu_kept_t;

/* pu_keep_new - the keeper of FOLDER/view, on LOOP.  */
pu_keep_t *pu_keep_new (uv_loop_t *loop, const char *folder);

/* pu_keep_free - a write under way is finished by itself.  */
void pu_keep_free (pu_keep_t *k);

/* pu_keep_load - false when there is none, or it is damaged (E says so).  */
bool pu_keep_load (pu_keep_t *k, pu_kept_t *out, pu_error_t *e);

/* pu_keep_save - writes aside, syncs and renames, on the thread pool; takes
   IMAGE over.  While a write is under way the newest waits.  DONE (may be
   NULL) is called on the loop when it is durable or was refused; not when a
   newer one came first or the keeper is gone.  */
typedef void pu_keep_done_fn (void *data);
void pu_keep_save (pu_keep_t *k, uint64_t cluster, GBytes *image,
                   pu_keep_done_fn *done, void *data);

G_END_DECLS

#endif
