#ifndef PU_LOG_REPLICA_H
#define PU_LOG_REPLICA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "log/record.h"
#include "log/generated/log_msg.h"

G_BEGIN_DECLS

/*
 * replica - the protocol logic (Raft) of one member of a replicated log.  It
 * does no I/O and reads no clock.
 *
 * Implements elections with pre-vote and check-quorum, pipelined replication,
 * leader leases, single-server membership changes and snapshot transfer.  A
 * learner is a member that replicates the log but does not count in the
 * quorum.  A rejoin gives a voter a new identity.  A durable floor is the
 * highest committed index that a member is known to have synced.
 *
 * The caller supplies the time, received messages, proposals and reports of
 * durable writes.  It takes actions with pu_replica_next_action and executes
 * them in order.  Each write carries a ticket; the caller calls
 * pu_replica_synced with the highest ticket up to which all writes are
 * durable.  A message that depends on a write is not sent before that write
 * is durable.
 *
 * `now` is a monotonic time in milliseconds.  It must be read from the clock
 * for each call, not taken from a cached loop time, because the lease depends
 * on it.
 */

typedef struct pu_replica pu_replica_t;

/* Faults that tests enable on purpose; each flag disables one safety rule of
   the protocol.  */
typedef enum
{
  PU_BREAK_ACK_BEFORE_SYNC = 1,  /* acknowledge unsynced entries */
  PU_BREAK_VOTE_BEFORE_SYNC = 2, /* send a vote that is not durable */
  PU_BREAK_VOTE_IN_LEASE = 4,    /* vote while a leader may hold a lease */
  PU_BREAK_COMMIT_OLD_TERM = 8,  /* commit entries of earlier terms by
                                    counting copies */
  PU_BREAK_NO_FLOORS = 16,       /* ignore durable floors */
} pu_replica_break_t;

typedef struct
{
  uint32_t group;   /* number of this log, sent in each message */
  pu_log_peer self; /* name and address of this voter; its id is taken from the
                       disk image */
  /* voters that bootstrap the log, including self; their ids are ignored; a
     voter without a name is identified by its address; a voter that looks for
     the leader also asks these voters */
  const pu_log_peer *initial;
  size_t n_initial;
  bool had_log;  /* the folder held a log before, so this voter does not
                    bootstrap a new one */
  uint64_t seed; /* seed of the random generator for election timeouts */
  uint32_t election_ms;      /* default 1000: minimum election timeout; the
                                maximum is twice this */
  uint32_t heartbeat_ms;     /* default 250: heartbeat interval */
  uint32_t drift_permille;   /* default 10: maximum rate error of a clock */
  uint32_t replace_after_ms; /* default 60000: a voter that has not replied for
                                longer is replaced by a caught-up learner, if
                                there is one */
  /* 0: only operators raise the target number of voters; else the leader
     raises the target up to this number while learners are caught up, and
     keeps it odd */
  uint32_t voters_wanted;
  uint32_t snapshot_entries; /* default 4096: entries between snapshots */
  uint64_t snapshot_bytes;   /* default 16 MiB: bytes between snapshots */
  bool snapshot_unstaggered; /* all members take snapshots at the same index,
                             not staggered; the baseline of a benchmark */
  uint32_t keep_entries;     /* default 1024: entries kept in memory before the
                                snapshot, for members whose logs lag */
  /* default 1 MiB: maximum bytes of entries in one message; a larger entry is
     sent alone in a message */
  uint32_t batch_bytes;
  /* default PU_LOG_BULK_BYTES, at least batch_bytes: a larger entry is bulk
     data */
  uint32_t bulk_bytes;
  uint32_t window; /* default 8: maximum of unanswered messages with entries to
                      one member */
  uint32_t uncommitted_entries; /* default 8192: maximum of proposed entries
                               that are not committed */
  uint64_t uncommitted_bytes;   /* default 64 MiB: maximum bytes of proposed
                                   entries that are not committed */
  unsigned breaks;              /* pu_replica_break_t flags; tests only */
} pu_replica_options_t;

/* A snapshot of the state machine, with the index, term and configuration as
   of which it was taken.  */
typedef struct
{
  uint64_t index; /* last entry included; 0: no snapshot */
  uint64_t term;
  pu_log_config config;
  GBytes *data;
} pu_snapshot_t;

/* The durable state from which a voter starts.  */
typedef struct
{
  pu_log_meta meta;
  pu_snapshot_t snapshot;
  GPtrArray *entries; /* of pu_record_t; contiguous, from the entry after
                         the snapshot */
  uint64_t commit; /* commit index known on the disk; at least the index of the
                      snapshot */
} pu_disk_image_t;

void pu_disk_image_init (pu_disk_image_t *d);
void pu_disk_image_clear (pu_disk_image_t *d);

typedef enum
{
  PU_ACTION_SEND,  /* send send.msg to send.to */
  PU_ACTION_WRITE, /* write write.entries to the journal; an entry whose index
                      is already in the journal replaces the old entry and
                      truncates the entries after it */
  PU_ACTION_WRITE_META,    /* write meta.meta to the journal */
  PU_ACTION_SAVE_SNAPSHOT, /* save save.snapshot; if save.installed, restore
                     the state machine from it first and discard the journal's
                     entries.  Report it with pu_replica_snapshot_saved */
  PU_ACTION_TAKE_SNAPSHOT, /* take a snapshot of the state machine at
                     take.index and pass it to pu_replica_snapshot_taken */
  PU_ACTION_APPLY,         /* apply the committed entries from apply.first to
                              apply.last */
  PU_ACTION_ROLE_CHANGED,  /* this voter became leader (role.leader) or stopped
                      leading, in role.term */
  PU_ACTION_REJOIN, /* the identity of this voter is retired: restart the
                       replica with a new identity */
} pu_action_kind_t;

/* Why leadership began or ended.  */
typedef enum
{
  PU_ROLE_ELECTED,     /* no message from a leader had arrived in time */
  PU_ROLE_TRANSFERRED, /* a leader transferred leadership */
  PU_ROLE_QUORUM_LOST, /* the leader received no replies from a quorum */
  PU_ROLE_LATER_TERM,  /* another voter started a later term */
  PU_ROLE_FAILED,      /* the disk failed, or the identity is retired */
} pu_role_cause_t;

/* pu_role_cause_name - returns a name for log messages.  */
const char *pu_role_cause_name (pu_role_cause_t cause);

typedef struct
{
  pu_action_kind_t kind;
  uint64_t ticket; /* set for PU_ACTION_WRITE and PU_ACTION_WRITE_META */
  union
  {
    struct
    {
      pu_log_peer to; /* owned */
      GBytes *msg;
    } send;
    struct
    {
      GPtrArray *entries; /* of pu_record_t */
      uint64_t commit;
    } write;
    struct
    {
      pu_log_meta meta; /* id, cluster, term and vote; the journal fills in
                           the rest */
    } meta;
    struct
    {
      pu_snapshot_t snapshot; /* owned */
      bool installed;
    } save;
    struct
    {
      uint64_t index;
    } take;
    struct
    {
      uint64_t first;
      uint64_t last;
    } apply;
    struct
    {
      bool leader;
      uint64_t term;
      pu_role_cause_t cause;
    } role;
  };
} pu_action_t;

/* pu_action_clear - frees the contents of A.  */
void pu_action_clear (pu_action_t *a);

/* pu_replica_options_init - sets the defaults.  */
void pu_replica_options_init (pu_replica_options_t *o);

/* pu_replica_new - creates a replica from the durable state DISK; entries and
   snapshot data are shared by reference.  The replica's identity is
   DISK->meta.id, which must be durable already.  NOW is the start time: the
   replica grants no vote until O->election_ms after NOW.  */
pu_replica_t *pu_replica_new (const pu_replica_options_t *o,
                              const pu_disk_image_t *disk, uint64_t now);
void pu_replica_free (pu_replica_t *r);

/* pu_replica_tick - runs the timers; call it at least every heartbeat_ms / 5.
 */
void pu_replica_tick (pu_replica_t *r, uint64_t now);

/* pu_replica_receive - handles a message.  Its contents are not trusted;
   invalid messages are dropped.  */
void pu_replica_receive (pu_replica_t *r, uint64_t now, const pu_log_msg *m);

/* pu_replica_propose - appends a data entry to the leader's log and stores
   its index in INDEX.  The proposal is committed only when a PU_ACTION_APPLY
   covers INDEX and pu_replica_entry returns, for INDEX, an entry with the
   term in which it was proposed.  Errors: PU_ERROR_UNAVAILABLE (not the
   leader, leadership transfer in progress, too many uncommitted entries),
   PU_ERROR_TOO_LARGE.  */
bool pu_replica_propose (pu_replica_t *r, uint64_t now, const void *bytes,
                         size_t len, uint64_t *index, pu_error_t *e);

/* pu_replica_synced - reports that all writes up to TICKET are durable.  */
void pu_replica_synced (pu_replica_t *r, uint64_t now, uint64_t ticket);

/* pu_replica_snapshot_saved - reports that the snapshot at INDEX is durable.
 */
void pu_replica_snapshot_saved (pu_replica_t *r, uint64_t now, uint64_t index);

/* pu_replica_snapshot_taken - supplies the snapshot that
   PU_ACTION_TAKE_SNAPSHOT requested: DATA is the state machine at INDEX, or
   NULL if no snapshot can be taken now.  */
void pu_replica_snapshot_taken (pu_replica_t *r, uint64_t index, GBytes *data);

/* pu_replica_fail - reports that the disk failed: the replica stops
   permanently and sends no more messages.  */
void pu_replica_fail (pu_replica_t *r);

/* pu_replica_next_action - stores the next action in A and returns true, or
   returns false if there is none.  Free A with pu_action_clear.  If the
   caller calls this function only at the end of a loop iteration, all
   proposals of that iteration are combined into one write and one message to
   each voter.  */
bool pu_replica_next_action (pu_replica_t *r, uint64_t now, pu_action_t *a);

/* pu_replica_holds_lease - returns whether this voter is the leader and no
   other voter can be elected; see pu_group_holds_lease.  */
bool pu_replica_holds_lease (const pu_replica_t *r, uint64_t now);

/* pu_replica_quorum_silent_ms - see pu_group_quorum_silent_ms.  */
uint64_t pu_replica_quorum_silent_ms (const pu_replica_t *r, uint64_t now);

/* pu_replica_leader_silent_ms - see pu_group_leader_silent_ms.  */
uint64_t pu_replica_leader_silent_ms (const pu_replica_t *r, uint64_t now);

/* pu_replica_begin_stop - announces that this process is about to stop.  From
   now on this voter transfers leadership to a voter that is not stopping, also
   if it is elected again, and the other members neither transfer leadership to
   it nor promote it nor fetch snapshots from it.  It still votes and
   replicates.  Lasts until the process ends.  */
void pu_replica_begin_stop (pu_replica_t *r, uint64_t now);

/* pu_replica_transfer_leadership - transfers leadership to the reachable
   voter with the highest match index as soon as that voter has the whole log.
   Voters that are about to stop come last.  Proposals are refused during the
   transfer.  */
void pu_replica_transfer_leadership (pu_replica_t *r, uint64_t now);

typedef enum
{
  PU_VOTERS_ADD,     /* the learner NAME becomes an additional voter */
  PU_VOTERS_REMOVE,  /* the voter NAME is removed */
  PU_VOTERS_REPLACE, /* the learner WITH replaces the voter NAME */
} pu_voters_change_t;

/* pu_replica_change_voters - appends an operator's change of voters to the
   leader's log; see pu_group_voters_add for the errors.  */
bool pu_replica_change_voters (pu_replica_t *r, uint64_t now,
                               pu_voters_change_t change, const char *name,
                               const char *with, pu_error_t *e);

/* pu_replica_add_seed - adds ADDRESS to the addresses to which a replica that
   has no log or no leader sends hello messages.  Ignored on an initial voter,
   which bootstraps with exactly the initial voters.  */
void pu_replica_add_seed (pu_replica_t *r, const char *address);

bool pu_replica_is_leader (const pu_replica_t *r);
bool pu_replica_failed (const pu_replica_t *r);
uint64_t pu_replica_term (const pu_replica_t *r);
uint64_t
pu_replica_first_index (const pu_replica_t *r); /* first entry in memory */
uint64_t
pu_replica_last_index (const pu_replica_t *r); /* last entry in memory */
uint64_t pu_replica_commit_index (const pu_replica_t *r);
/* pu_replica_commit_lag_ms - returns for how many milliseconds this voter's
   commit index has been lower than the highest commit index that a leader
   reported; 0 if it is not lower.  */
uint64_t pu_replica_commit_lag_ms (const pu_replica_t *r, uint64_t now);
uint64_t pu_replica_durable_index (const pu_replica_t *r);
uint64_t pu_replica_snapshot_index (const pu_replica_t *r);
const pu_log_peer *pu_replica_self (const pu_replica_t *r);
const pu_log_peer *pu_replica_leader (const pu_replica_t *r); /* or NULL */
const pu_log_config *pu_replica_config (const pu_replica_t *r);

/* pu_replica_config_index - returns the index of the configuration in
   force.  */
uint64_t pu_replica_config_index (const pu_replica_t *r);

/* pu_replica_entry - returns the entry at INDEX, or NULL if it is not in
   memory.  */
const pu_record_t *pu_replica_entry (const pu_replica_t *r, uint64_t index);

/* pu_replica_peer_state - on the leader, stores in MATCH the match index
   of member ID, up to which the member's log is durable and equal to the
   leader's log, and in SILENT_MS the time since the member's last reply.
   Returns false if this voter is not the leader or ID is not another
   member.  */
bool pu_replica_peer_state (const pu_replica_t *r, uint64_t id, uint64_t now,
                            uint64_t *match, uint64_t *silent_ms);

G_END_DECLS

#endif
