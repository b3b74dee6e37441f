#ifndef PU_LOG_REPLICA_PRIVATE_H
#define PU_LOG_REPLICA_PRIVATE_H

#include "log/replica.h"

G_BEGIN_DECLS

/*
 * replica_private - declarations shared by the source files of the replica.
 *
 *   replica.c         construction, timers, message dispatch, actions
 *   replica_log.c     entries in memory, writes, configurations, snapshots
 *   replica_vote.c    elections, lease
 *   replica_append.c  replication, commit
 *   replica_transfer.c  leadership transfer, planned stop
 *   replica_voters.c  bootstrap, joining, membership changes
 *   replica_fetch.c   snapshot transfer
 */

typedef enum
{
  PU_ROLE_FOLLOWER,
  PU_ROLE_PRE_CANDIDATE,
  PU_ROLE_CANDIDATE,
  PU_ROLE_LEADER,
} pu_role_t;

/* The leader's replication state for another member.  Times are in
   milliseconds.  */
typedef struct
{
  uint64_t id;
  uint64_t next;  /* next index to send */
  uint64_t match; /* match index: the member's log is durable and equal to this
                     log up to here */
  uint64_t floor; /* durable floor: highest committed index that the member
                     is known to have synced; 0: unknown */
  uint64_t seq;   /* sequence number of the last message sent */
  /* Replies to messages with this seq or a later one must report a synced
     index of at least match.  */
  uint64_t match_check_from_seq;
  /* Value of seq when the last rejection arrived; rejections of messages up to
     it are ignored as repeats.  */
  uint64_t reject_seq;
  uint64_t acked_send_time; /* newest send time among the answered messages */
  uint64_t last_reply_at;   /* time of the last reply */
  uint64_t next_heartbeat_at; /* time of the next heartbeat */
  bool probing; /* next is not confirmed: send heartbeats without entries */
  bool lost_entries; /* the member's disk lost synced entries: the member does
                        not count in a quorum and is told to rejoin */
  GQueue in_flight_appends; /* the last index of each unanswered message with
                               entries */
  uint64_t bulk;            /* index of the last bulk entry sent; 0: none */
  uint64_t bulk_until;      /* time at which it counts as lost if unanswered */
  uint64_t snapshot;        /* index of the member's newest snapshot */
  uint64_t fetched; /* bytes of a snapshot that the member has fetched */
  uint64_t fetch_progress_at; /* time of the last change of fetched */
  uint64_t seeder; /* member from which this member fetches a snapshot; 0: it
                      needs no snapshot */
  /* position in the rotation over all possible seeders */
  uint32_t seeder_turn;
} pu_progress_t;

/* A configuration and the index of its entry.  */
typedef struct
{
  uint64_t index;
  pu_log_config config;
} pu_config_entry_t;

/* A write of entries that is not durable yet.  */
typedef struct
{
  uint64_t ticket;
  uint64_t last_index;
} pu_pending_write_t;

/* A message that must not be sent before the write with ticket AFTER_TICKET
   is durable.  */
typedef struct
{
  uint64_t after_ticket;
  pu_log_peer to;
  GBytes *msg;
} pu_deferred_send_t;

/* A peer to which hello messages are sent: an initial voter, or an address
   added later.  */
typedef struct
{
  pu_log_peer peer;
  uint64_t fresh_at; /* when the peer last reported that it may bootstrap the
                        log; 0: never */
} pu_seed_t;

/* A snapshot being fetched from another member.  */
typedef struct
{
  pu_log_peer from; /* id 0: no fetch in progress */
  uint64_t index;
  uint64_t term;
  uint64_t total; /* size of the snapshot in bytes */
  uint64_t hash;
  uint64_t requested_at; /* time of the last request */
  GByteArray *data;
} pu_snapshot_fetch_t;

/* Times are in milliseconds.  */
struct pu_replica
{
  pu_replica_options_t o;
  pu_log_peer self;
  GArray *seeds; /* of pu_seed_t, without self */
  GRand *rand;
  bool initial; /* may bootstrap the log */
  bool stopped; /* sends and handles no messages: the disk failed or the
                   identity is retired */
  bool failed;

  uint64_t cluster;
  uint64_t term;
  uint64_t vote;
  pu_role_t role;
  pu_log_peer leader;           /* id 0: the leader is not known */
  uint64_t last_leader_contact; /* time of the last message from a leader, or
                                   the start time if there was none */
  uint64_t leader_heard_at; /* time of the last message of a leader that knew
                               itself to lead; on the leader, of the last such
                               proof; 0: none yet */
  uint64_t election_deadline;
  uint64_t yielded_term;  /* last term in which the campaign was put off for
                             another voter's; 0: none */
  uint64_t vote_retry_at; /* when a candidate repeats its vote requests */
  bool transfer_campaign; /* the old leader requested this campaign (leadership
                             transfer) */
  uint64_t next_hello_at; /* time of the next hello messages */
  bool stopping;          /* this process is about to stop */
  uint64_t next_stopping_at;    /* time of the next messages that say so */
  GHashTable *stopping_members; /* identity -> uint64_t *: when the member
                                   last said that it is about to stop */
  GHashTable *votes_granted; /* set of the identities that voted for this voter
                                in the current campaign */
  /* identity -> uint64_t *: highest committed index that the member with this
     identity is known to have synced */
  GHashTable *floors;

  GPtrArray *entries;            /* of pu_record_t, from index base + 1 */
  uint64_t base;                 /* index before the first entry in memory */
  uint64_t base_term;            /* term of the entry at base */
  uint64_t bytes_since_snapshot; /* approximate size of the entries after the
                                    snapshot */
  GArray *configs; /* of pu_config_entry_t, sorted by index; never empty */
  pu_snapshot_t snapshot;
  uint64_t hash_index; /* index of the snapshot of which `hash` is the hash */
  uint64_t hash;
  /* snapshot that is being saved; index 0: none */
  pu_snapshot_t unsaved_snapshot;
  /* a snapshot was requested and is not durable yet */
  bool snapshot_requested;
  uint64_t no_snapshot_up_to; /* no snapshot was available up to this index:
                                 request none until a later entry is applied */
  uint64_t installing;        /* index of the snapshot being installed, or 0 */

  uint64_t commit;            /* commit index */
  uint64_t max_leader_commit; /* highest commit index that a leader reported */
  uint64_t commit_lag_since;  /* since when commit has been lower than
                                 max_leader_commit; 0: it is not lower */
  uint64_t applied;           /* last index passed on in PU_ACTION_APPLY */
  uint64_t written;           /* last index passed on in PU_ACTION_WRITE */
  uint64_t durable;           /* index of the last durable entry */
  GQueue pending_writes;      /* of pu_pending_write_t * */
  uint64_t last_ticket;
  uint64_t meta_ticket;   /* ticket of the last write of metadata */
  uint64_t synced_ticket; /* writes up to this ticket are durable */
  GQueue actions;         /* of pu_action_t * */
  GQueue deferred_sends;  /* of pu_deferred_send_t * */

  /* Used by a follower.  */
  uint64_t matched_leader_index; /* the log equals the leader's up to this
                        index, in this term */
  uint64_t
      echo_seq; /* seq of the leader's newest message, returned in replies */
  uint64_t echo_sent; /* send time of that message, by the leader's clock;
                         returned in replies */
  bool reply_pending; /* reply as soon as more entries are durable */
  pu_snapshot_fetch_t fetching;

  /* Used by the leader.  */
  GArray *progress; /* of pu_progress_t, for each member but self */
  uint64_t leader_since;
  uint64_t
      term_first_index; /* index of the first entry of this leader's term */
  uint64_t uncommitted_bytes;      /* size of the entries after commit */
  uint64_t committed_config_index; /* index of the newest configuration known
                                      to be committed */
  uint64_t config_committed_at;    /* time when this leader noticed that this
                                      configuration was committed */
  uint64_t transfer_deadline; /* deadline of a leadership transfer; 0: none */
  bool transfer_any; /* to a voter that is about to stop, if no other can take
                        over */
  uint64_t transfer_retry_at;     /* no earlier than this, a leader that stops
                                     begins another transfer */
  uint64_t transfer_wanted_until; /* until then, a leader without a target
                                     looks for one */
  uint64_t transfer_target;       /* identity that is to become the leader */
};

/* replica.c */
pu_action_t *pu_r_push_action (pu_replica_t *r, pu_action_kind_t kind);
void pu_r_send (pu_replica_t *r, const pu_log_peer *to, pu_log_body *body);
void pu_r_save_meta (pu_replica_t *r);
void pu_r_push_role_action (pu_replica_t *r, bool leader,
                            pu_role_cause_t cause);
void pu_r_reset_timeout (pu_replica_t *r, uint64_t now);
void pu_r_become_follower (pu_replica_t *r, uint64_t now, uint64_t term,
                           const pu_log_peer *leader);
/* pu_r_step_down - ends leadership in the current term.  */
void pu_r_step_down (pu_replica_t *r, uint64_t now, pu_role_cause_t cause);
void pu_r_retire_identity (pu_replica_t *r);
bool pu_r_drop_deferred_sends (pu_replica_t *r);

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
/* pu_r_repeat_vote_requests - repeats a candidate's vote requests when
   vote_retry_at is reached, as requests and replies may be lost.  */
void pu_r_repeat_vote_requests (pu_replica_t *r, uint64_t now);
void pu_r_on_vote (pu_replica_t *r, uint64_t now, const pu_log_msg *m);
void pu_r_on_vote_reply (pu_replica_t *r, uint64_t now, const pu_log_msg *m);
void pu_r_count_votes (pu_replica_t *r, uint64_t now);
uint64_t pu_r_quorum_acked_send_time (const pu_replica_t *r, uint64_t now);
uint64_t pu_r_leadership_confirmed_at (const pu_replica_t *r, uint64_t now);
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

/* replica_transfer.c */
/* pu_r_is_stopping - whether the member ID has said lately that it is about
   to stop.  */
bool pu_r_is_stopping (const pu_replica_t *r, uint64_t id, uint64_t now);
/* pu_r_transfer_tick - advances a leadership transfer, or begins one if this
   leader is about to stop.  */
void pu_r_transfer_tick (pu_replica_t *r, uint64_t now);
void pu_r_announce_stop (pu_replica_t *r, uint64_t now);
void pu_r_on_stopping (pu_replica_t *r, uint64_t now, const pu_log_msg *m);

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
