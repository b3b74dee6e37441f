#ifndef PU_LOG_REPLICA_PRIVATE_H
#define PU_LOG_REPLICA_PRIVATE_H

#include "log/replica.h"

G_BEGIN_DECLS

/*
 * replica_private - what the files of the replica share.
 *
 *   replica.c         construction, time, dispatch, actions
 *   replica_log.c     entries in memory, writes, configurations, snapshots
 *   replica_vote.c    elections, lease
 *   replica_append.c  replication, commit
 *   replica_voters.c  start of a log, joining, changes of voters
 *   replica_fetch.c   snapshot transfer
 */

typedef enum
{
  PU_ROLE_FOLLOWER,
  PU_ROLE_PRECANDIDATE,
  PU_ROLE_CANDIDATE,
  PU_ROLE_LEADER,
} pu_role_t;

/* The leader's view of another member.  */
typedef struct
{
  uint64_t id;
  uint64_t next;  /* next entry to send */
  uint64_t match; /* synced there and the same as here */
  uint64_t floor; /* synced there, learnt from earlier leaders */
  uint64_t seq;   /* of the last message */
  uint64_t match_check_from_seq; /* answers from here on must know of match */
  uint64_t reject_seq;
  uint64_t acked_send_time; /* newest send time that was answered */
  uint64_t heard;
  uint64_t next_heartbeat_at; /* next heartbeat */
  bool probing;               /* next is a guess: send no entries */
  bool refused;               /* lost what it had synced */
  GQueue in_flight_appends;   /* last index of each message with entries */
  uint64_t snapshot;          /* newest snapshot there */
  uint64_t fetched;
  uint64_t fetch_progress_at; /* when fetched last rose */
  uint64_t seeder;            /* 0: it needs no snapshot */
  uint32_t seeder_turn;
} pu_progress_t;

typedef struct
{
  uint64_t index;
  pu_log_config config;
} pu_config_at_t;

typedef struct
{
  uint64_t ticket;
  uint64_t last;
} pu_write_t;

typedef struct
{
  uint64_t after; /* ticket */
  pu_log_peer to;
  GBytes *msg;
} pu_held_t;

/* A peer of the settings, and what it said of itself.  */
typedef struct
{
  pu_log_peer peer;
  uint64_t fresh_at; /* 0: has not said that its log is empty */
} pu_seed_t;

typedef struct
{
  pu_log_peer from; /* id 0: none under way */
  uint64_t index;
  uint64_t term;
  uint64_t total;
  uint64_t hash;
  uint64_t asked_at;
  GByteArray *data;
} pu_snapshot_fetch_t;

struct pu_replica
{
  pu_replica_options_t o;
  pu_log_peer self;
  GArray *seeds; /* pu_seed_t, without self */
  GRand *rand;
  bool initial; /* one of those that start the log */
  bool silent;  /* failed or spent */
  bool failed;

  uint64_t cluster;
  uint64_t term;
  uint64_t vote;
  pu_role_t role;
  pu_log_peer leader;           /* id 0: not known */
  uint64_t last_leader_contact; /* from a leader, or the start */
  uint64_t timeout_at;
  uint64_t ask_at;    /* a candidate asks again for votes */
  bool asks_transfer; /* by the wish of the leader before */
  uint64_t next_hello_at;
  GHashTable *granted; /* identities, in this round */
  GHashTable *floors;  /* identity -> uint64_t * */

  GPtrArray *entries; /* after base */
  uint64_t base;
  uint64_t base_term;
  uint64_t bytes;  /* of entries after the snapshot, roughly */
  GArray *configs; /* pu_config_at_t, rising, at least one */
  pu_snapshot_t snapshot;
  uint64_t hash_index; /* index of the snapshot whose hash is known */
  uint64_t hash;
  pu_snapshot_t taken; /* not durable yet */
  bool taking;
  uint64_t take_after; /* there was no image before this position */
  uint64_t installing; /* index of the snapshot being installed, or 0 */

  uint64_t commit;
  uint64_t max_leader_commit; /* the highest that a leader told of */
  uint64_t
      commit_lag_since; /* its commit is beyond this one's; 0: it is not */
  uint64_t applied;     /* handed out */
  uint64_t written;     /* handed out */
  uint64_t durable;
  GQueue writes; /* pu_write_t * */
  uint64_t ticket;
  uint64_t meta_ticket;
  uint64_t synced;
  GQueue actions; /* pu_action_t * */
  GQueue held;    /* pu_held_t * */

  /* follower */
  uint64_t verified; /* the same as the leader's up to here, in this term */
  uint64_t echo_seq;
  uint64_t echo_sent;
  bool reply_pending;
  pu_snapshot_fetch_t fetching;

  /* leader */
  GArray *progress; /* pu_progress_t, of all members but self */
  uint64_t leader_since;
  uint64_t term_first_index;
  uint64_t uncommitted_bytes; /* after commit */
  uint64_t
      committed_config_index; /* the configuration seen to be committed, */
  uint64_t settled_at;        /* and since when */
  uint64_t transfer_deadline; /* 0: none */
  uint64_t transfer_target;
};

/* replica.c */
pu_action_t *pu_r_push_action (pu_replica_t *r, pu_action_kind_t kind);
void pu_r_send (pu_replica_t *r, const pu_log_peer *to, pu_log_body *body);
void pu_r_save_meta (pu_replica_t *r);
void pu_r_reset_timeout (pu_replica_t *r, uint64_t now);
void pu_r_become_follower (pu_replica_t *r, uint64_t now, uint64_t term,
                           const pu_log_peer *leader);
void pu_r_rejoin (pu_replica_t *r);
bool pu_r_drop_held (pu_replica_t *r);

/* replica_log.c */
uint64_t pu_r_last_index (const pu_replica_t *r);
uint64_t pu_r_term_at (const pu_replica_t *r, uint64_t index, bool *known);
uint64_t pu_r_last_term (const pu_replica_t *r);
void pu_r_append (pu_replica_t *r, pu_record_t *n);
void pu_r_truncate (pu_replica_t *r, uint64_t first);
void pu_r_flush_writes (pu_replica_t *r);
void pu_r_advance_commit (pu_replica_t *r, uint64_t commit);
void pu_r_flush_applies (pu_replica_t *r);
const pu_log_config *pu_r_config (const pu_replica_t *r);
const pu_log_config *pu_r_config_at (const pu_replica_t *r, uint64_t index);
uint64_t pu_r_config_index (const pu_replica_t *r);
void pu_r_push_config (pu_replica_t *r, uint64_t index,
                       const pu_log_config *c);
void pu_r_install_snapshot (pu_replica_t *r, pu_snapshot_t *s);
void pu_snapshot_clear (pu_snapshot_t *s);
void pu_snapshot_copy (pu_snapshot_t *to, const pu_snapshot_t *from);

/* replica_vote.c */
bool pu_r_may_campaign (const pu_replica_t *r);
void pu_r_campaign (pu_replica_t *r, uint64_t now, bool pre, bool transfer);
/* pu_r_ask_again - a candidate asks for votes anew, as they may be lost.  */
void pu_r_ask_again (pu_replica_t *r, uint64_t now);
void pu_r_on_vote (pu_replica_t *r, uint64_t now, const pu_log_msg *m);
void pu_r_on_vote_reply (pu_replica_t *r, uint64_t now, const pu_log_msg *m);
void pu_r_count_votes (pu_replica_t *r, uint64_t now);
uint64_t pu_r_quorum_acked_send_time (const pu_replica_t *r, uint64_t now);
uint64_t pu_r_floor (const pu_replica_t *r, uint64_t id);
void pu_r_raise_floor (pu_replica_t *r, uint64_t id, uint64_t index);

/* replica_append.c */
void pu_r_become_leader (pu_replica_t *r, uint64_t now);
void pu_r_leader_tick (pu_replica_t *r, uint64_t now);
void pu_r_flush_sends (pu_replica_t *r, uint64_t now);
void pu_r_on_append (pu_replica_t *r, uint64_t now, const pu_log_msg *m);
void pu_r_on_append_reply (pu_replica_t *r, uint64_t now, const pu_log_msg *m);
void pu_r_reply_append (pu_replica_t *r, bool ok, uint64_t last);
void pu_r_update_commit (pu_replica_t *r);
void pu_r_reconcile_progress (pu_replica_t *r, uint64_t now);
pu_progress_t *pu_r_find_progress (const pu_replica_t *r, uint64_t id);
uint64_t pu_r_append_as_leader (pu_replica_t *r, pu_log_type type,
                                const void *data, size_t len);

/* replica_voters.c */
void pu_r_send_hellos (pu_replica_t *r, uint64_t now);
void pu_r_on_hello (pu_replica_t *r, uint64_t now, const pu_log_msg *m);
void pu_r_on_welcome (pu_replica_t *r, uint64_t now, const pu_log_msg *m);
void pu_r_bootstrap_log (pu_replica_t *r, uint64_t now);
void pu_r_adjust_voters (pu_replica_t *r, uint64_t now);
void pu_r_send_rejoin (pu_replica_t *r, const pu_log_peer *to);

/* replica_fetch.c */
void pu_r_choose_seeder (pu_replica_t *r, pu_progress_t *p, uint64_t now);
void pu_r_fetch_start (pu_replica_t *r, uint64_t now,
                       const pu_log_peer *seeder);
void pu_r_fetch_tick (pu_replica_t *r, uint64_t now);
void pu_r_fetch_stop (pu_replica_t *r);
void pu_r_on_fetch (pu_replica_t *r, const pu_log_msg *m);
void pu_r_on_chunk (pu_replica_t *r, uint64_t now, const pu_log_msg *m);

G_END_DECLS

#endif
