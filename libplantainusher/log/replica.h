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
 * replica - the decisions of one voter of a replicated log; no I/O, no clock.
 *
 * Elections with pre-vote and check-quorum, replication with pipelining, a
 * leader's lease, changes of voters one at a time, snapshot transfer.
 *
 * The caller puts in time, messages, proposals and what the disk has synced;
 * it takes out actions with pu_replica_next_action and carries them out in
 * order. Writes carry a ticket: the caller reports the highest ticket below
 * which everything is durable with pu_replica_synced.  Nothing that depends on
 * a write leaves the replica before that.
 *
 * `now` is in milliseconds and monotonic.  It must be read from the clock for
 * the call, not taken from a cached loop time: the lease rests on it.
 */

typedef struct pu_replica pu_replica_t;

/* Rules broken on purpose; for tests alone.  */
typedef enum
{
  PU_BREAK_ACK_BEFORE_SYNC = 1,  /* acknowledge what is not synced */
  PU_BREAK_VOTE_BEFORE_SYNC = 2, /* grant a vote that is not durable */
  PU_BREAK_VOTE_IN_LEASE = 4,    /* vote while a leader may hold a lease */
  PU_BREAK_COMMIT_OLD_TERM = 8,  /* count copies of an earlier term */
  PU_BREAK_NO_FLOORS = 16,       /* forget what identities had synced */
} pu_replica_break_t;

typedef struct
{
  uint32_t group;             /* number of this log; in each message */
  pu_log_peer self;           /* this voter's identity, name and address */
  const pu_log_peer *initial; /* voters that start the log, self among them;
                                 ids are ignored; one without a name is known
                                 by its address; also where to ask for a
                                 leader */
  size_t n_initial;
  bool had_log;              /* the folder has held a log before: never
                                 start one */
  uint64_t seed;             /* of the random election timeouts */
  uint32_t election_ms;      /* 1000: least election timeout; twice that is
                                the most */
  uint32_t heartbeat_ms;     /* 250 */
  uint32_t drift_permille;   /* 10: each clock's rate is this near to true */
  uint32_t replace_after_ms; /* 60000: a voter silent that long gives its
                                place to a learner, if there is one */
  uint32_t voters_wanted;    /* 0: learners become voters so far as operators
                                want more of them, else until there are so
                                many, an odd number at a time */
  uint32_t snapshot_entries; /* 4096: entries until a snapshot */
  uint64_t snapshot_bytes;   /* 16 MiB: bytes until a snapshot */
  bool snapshot_unstaggered; /* all voters at the same point: a benchmark's
                             baseline */
  uint32_t keep_entries;     /* 1024: kept behind a snapshot for others */
  uint32_t batch_bytes;      /* 1 MiB: entries in one message; one larger
                                entry goes alone */
  uint32_t window;           /* 8: messages on the way to one voter */
  uint32_t uncommitted_entries; /* 8192: proposed and not committed */
  uint64_t uncommitted_bytes;   /* 64 MiB */
  unsigned breaks;              /* pu_replica_break_t; tests alone */
} pu_replica_options_t;

/* A snapshot of the state machine, and what the log needs beside it.  */
typedef struct
{
  uint64_t index; /* the last entry it covers; 0 is none */
  uint64_t term;
  pu_log_config config;
  GBytes *data;
} pu_snapshot_t;

/* What the disk holds when a voter starts.  */
typedef struct
{
  pu_log_meta meta;
  pu_snapshot_t snapshot;
  GPtrArray *entries; /* pu_record_t, after the snapshot, without gaps */
  uint64_t commit;    /* known to be committed; at least the snapshot */
} pu_disk_image_t;

void pu_disk_image_init (pu_disk_image_t *d);
void pu_disk_image_clear (pu_disk_image_t *d);

typedef enum
{
  PU_ACTION_SEND,          /* send.to, send.msg */
  PU_ACTION_WRITE,         /* write.entries: an index already in the journal
                              replaces it and drops all after it */
  PU_ACTION_WRITE_META,    /* meta.meta */
  PU_ACTION_SAVE_SNAPSHOT, /* save.snapshot; when save.installed, first restore
                     the state machine from it and void the journal's entries.
                     Answer with pu_replica_snapshot_saved */
  PU_ACTION_TAKE_SNAPSHOT, /* take an image at take.index,
                              pu_replica_snapshot_taken */
  PU_ACTION_APPLY,         /* apply.first to apply.last are committed */
  PU_ACTION_ROLE_CHANGED,  /* role.leader, role.term */
  PU_ACTION_REJOIN, /* this identity is spent: start anew with a new one */
} pu_action_kind_t;

typedef struct
{
  pu_action_kind_t kind;
  uint64_t ticket; /* of WRITE and META */
  union
  {
    struct
    {
      pu_log_peer to; /* owned */
      GBytes *msg;
    } send;
    struct
    {
      GPtrArray *entries; /* pu_record_t */
      uint64_t commit;
    } write;
    struct
    {
      pu_log_meta meta; /* the rest is the journal's */
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
    } role;
  };
} pu_action_t;

/* pu_action_clear - frees what A owns.  */
void pu_action_clear (pu_action_t *a);

void pu_replica_options_init (pu_replica_options_t *o);

/* pu_replica_new - a voter as DISK has it (copied by reference).  Its own
   identity is DISK->meta.id, which must be durable already.  NOW is the time
   of its start: it votes for nobody until an election timeout later.  */
pu_replica_t *pu_replica_new (const pu_replica_options_t *o,
                              const pu_disk_image_t *disk, uint64_t now);
void pu_replica_free (pu_replica_t *r);

/* pu_replica_tick - lets time pass; call it at least every heartbeat_ms / 5.
 */
void pu_replica_tick (pu_replica_t *r, uint64_t now);

/* pu_replica_receive - takes a message.  Anything may be in it: what makes no
   sense is dropped.  */
void pu_replica_receive (pu_replica_t *r, uint64_t now, const pu_log_msg *m);

/* pu_replica_propose - appends a data entry to the leader's log.  INDEX gets
   its position; it is committed only when an APPLY covers that position while
   pu_replica_term_at still gives the same term.  Errors: PU_ERROR_UNAVAILABLE,
   PU_ERROR_TOO_LARGE.  */
bool pu_replica_propose (pu_replica_t *r, uint64_t now, const void *bytes,
                         size_t len, uint64_t *index, pu_error_t *e);

/* pu_replica_synced - all writes up to TICKET are durable.  */
void pu_replica_synced (pu_replica_t *r, uint64_t now, uint64_t ticket);

/* pu_replica_snapshot_saved - the snapshot at INDEX is durable.  */
void pu_replica_snapshot_saved (pu_replica_t *r, uint64_t now, uint64_t index);

/* pu_replica_snapshot_taken - answers TAKE: DATA is the image at INDEX, or
   NULL when there is none now.  */
void pu_replica_snapshot_taken (pu_replica_t *r, uint64_t index, GBytes *data);

/* pu_replica_fail - the disk failed: falls silent for good.  */
void pu_replica_fail (pu_replica_t *r);

/* pu_replica_next_action - takes the next action; false when there is none.
   Clear it with pu_action_clear.  Draining at the end of a loop iteration puts
   all proposals of that iteration into one write and one message a voter.  */
bool pu_replica_next_action (pu_replica_t *r, uint64_t now, pu_action_t *a);

/* pu_replica_holds_lease - see pu_group_holds_lease.  */
bool pu_replica_holds_lease (const pu_replica_t *r, uint64_t now);

/* pu_replica_transfer_leadership - hands the lead to the voter that is
   furthest, once it has the whole log.  No proposals are taken meanwhile.  */
void pu_replica_transfer_leadership (pu_replica_t *r, uint64_t now);

typedef enum
{
  PU_VOTERS_ADD,     /* one voter more: NAME, now a learner */
  PU_VOTERS_REMOVE,  /* one voter less: NAME */
  PU_VOTERS_REPLACE, /* WITH, now a learner, takes the place of NAME */
} pu_voters_change_t;

/* pu_replica_change_voters - see pu_group_voters_add.  */
bool pu_replica_change_voters (pu_replica_t *r, uint64_t now,
                               pu_voters_change_t change, const char *name,
                               const char *with, pu_error_t *e);

/* pu_replica_add_seed - a voter may stand at ADDRESS.  A replica that did not
   start the log greets it, like the initial ones, while it has no log.  */
void pu_replica_add_seed (pu_replica_t *r, const char *address);

bool pu_replica_is_leader (const pu_replica_t *r);
bool pu_replica_failed (const pu_replica_t *r);
uint64_t pu_replica_term (const pu_replica_t *r);
uint64_t pu_replica_first_index (const pu_replica_t *r); /* first entry held */
uint64_t pu_replica_last_index (const pu_replica_t *r);  /* last entry held */
uint64_t pu_replica_commit_index (const pu_replica_t *r);
/* pu_replica_commit_lag_ms - for how long what a leader has committed has been
   beyond what is known here to be committed.  */
uint64_t pu_replica_commit_lag_ms (const pu_replica_t *r, uint64_t now);
uint64_t pu_replica_durable_index (const pu_replica_t *r);
uint64_t pu_replica_snapshot_index (const pu_replica_t *r);
const pu_log_peer *pu_replica_self (const pu_replica_t *r);
const pu_log_peer *pu_replica_leader (const pu_replica_t *r); /* or NULL */
const pu_log_config *pu_replica_config (const pu_replica_t *r);

/* pu_replica_config_index - where the configuration in force stands.  */
uint64_t pu_replica_config_index (const pu_replica_t *r);

/* pu_replica_entry - the entry at INDEX, or NULL when it is not held.  */
const pu_record_t *pu_replica_entry (const pu_replica_t *r, uint64_t index);

/* pu_replica_peer_state - on the leader: the position that ID has synced, and
   for how long it has been silent.  False for others.  */
bool pu_replica_peer_state (const pu_replica_t *r, uint64_t id, uint64_t now,
                            uint64_t *match, uint64_t *silent_ms);

G_END_DECLS

#endif
