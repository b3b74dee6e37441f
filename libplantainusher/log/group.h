#ifndef PU_LOG_GROUP_H
#define PU_LOG_GROUP_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/error.h"
#include "log/journal.h"
#include "log/replica.h"

G_BEGIN_DECLS

/*
 * group - one replicated log in this process: a replica and its journal, run
 * by a libuv loop.
 *
 * The owner supplies callbacks for the transport and the state machine.  The
 * callbacks run on the loop's thread, never from within pu_group_propose or
 * pu_group_receive.  A process may have several groups, each with a group
 * number and folder that no other group uses.
 */

typedef struct pu_group pu_group_t;

/* pu_group_send_fn - sends MSG (the caller keeps its reference) to the voter
   at TO->address.  Delivery is best effort: MSG may be lost, delayed,
   duplicated or reordered.  Bulk data (pu_log_msg_is_bulk) should not hold
   back later messages: heartbeats among them must arrive within an election
   timeout.  */
typedef void pu_group_send_fn (const pu_log_peer *to, GBytes *msg, void *data);

/* pu_group_apply_fn - applies the committed entry at INDEX to the state
   machine.  Called once for each data entry in ascending order of INDEX.  The
   indexes have gaps where the log holds configuration entries and no-ops.  */
typedef void pu_group_apply_fn (uint64_t index, const void *bytes, size_t len,
                                void *data);

/* pu_group_take_snapshot_fn - returns a new snapshot of the state machine as
   of the last applied entry, which is at INDEX, or NULL if no snapshot can be
   taken now.  The group takes over the reference.  */
typedef GBytes *pu_group_take_snapshot_fn (uint64_t index, void *data);

/* pu_group_restore_fn - replaces the state of the state machine by a snapshot
   taken at INDEX.  If it returns false, the voter has failed and stops
   acknowledging entries.  */
typedef bool pu_group_restore_fn (uint64_t index, const void *bytes,
                                  size_t len, void *data, pu_error_t *e);

/* pu_group_role_fn - called when this voter became the leader in TERM (LEADER
   is true) or stopped leading in TERM (LEADER is false).  */
typedef void pu_group_role_fn (bool leader, uint64_t term, void *data);

/* pu_group_done_fn - reports the outcome of a proposal.  KIND is PU_OK if it
   was committed and applied at INDEX, PU_ERROR_TIMEOUT if the outcome is
   unknown and any other kind if the entry was certainly not applied.  */
typedef void pu_group_done_fn (uint64_t index, pu_error_kind_t kind,
                               void *data);

/* pu_group_now_fn - returns a monotonic time in milliseconds.  */
typedef uint64_t pu_group_now_fn (void *data);

typedef struct
{
  uv_loop_t *loop;
  const char *folder; /* created if missing; no other group may use it */
  pu_replica_options_t replica; /* names, timing, initial voters, seed;
                                   self.id is ignored, as the folder holds the
                                   identity */
  pu_group_send_fn *send;
  pu_group_apply_fn *apply;
  pu_group_take_snapshot_fn *take_snapshot;
  pu_group_restore_fn *restore;
  pu_group_role_fn *role; /* may be NULL */
  pu_group_now_fn *now;   /* NULL: CLOCK_BOOTTIME in milliseconds */
  bool sync_each_entry;   /* one sync per entry; used as the baseline of a
                             benchmark */
  /* NULL: the operating system's file system calls */
  const pu_journal_fs_t *fs;
  void *data; /* passed to the callbacks */
} pu_group_options_t;

/* pu_group_options_init - sets the defaults of all options that have one.  */
void pu_group_options_init (pu_group_options_t *o);

/* pu_group_new - opens the folder, restores the newest snapshot, applies the
   entries known to be committed and starts the voter.  The files of a damaged
   journal are set aside and the voter starts with a new identity.  Returns
   NULL if the folder cannot be used at all (PU_ERROR_IO) or the state machine
   rejects the snapshot (PU_ERROR_CORRUPT).  The strings in O are copied.  */
pu_group_t *pu_group_new (const pu_group_options_t *o, pu_error_t *e);

/* pu_group_close - stops the voter, waits for disk operations in progress,
   frees G and calls CLOSED (may be NULL).  Pending proposals end with
   PU_ERROR_TIMEOUT.  */
void pu_group_close (pu_group_t *g, void (*closed) (void *data), void *data);

/* pu_group_receive - processes a message from another voter.  Returns false
   if the message is malformed or of another protocol version
   (PU_ERROR_INVALID) or too large (PU_ERROR_TOO_LARGE). A message for another
   group or identity is ignored, and true is returned.  */
bool pu_group_receive (pu_group_t *g, const void *bytes, size_t len,
                       pu_error_t *e);

/* pu_group_propose - proposes BYTES as an entry of the log.  If this returns
   true, DONE is called exactly once, after the return.  Otherwise the entry
   is certainly not applied.  Errors: PU_ERROR_UNAVAILABLE (not the leader, a
   leadership transfer in progress, too many uncommitted entries, or closing),
   PU_ERROR_TOO_LARGE.  */
bool pu_group_propose (pu_group_t *g, const void *bytes, size_t len,
                       pu_group_done_fn *done, void *data, pu_error_t *e);

/* pu_group_read_from - calls FN in order for the applied data entries after
   index AFTER, up to BYTES_MAX bytes but at least one entry.  Returns the
   index reached (AFTER itself if there is nothing new), or 0 if entries after
   AFTER were compacted, so that the reader needs a snapshot.  */
uint64_t pu_group_read_from (pu_group_t *g, uint64_t after, size_t bytes_max,
                             pu_group_apply_fn *fn, void *data);

/* pu_group_holds_lease - returns true while this voter is the leader, has
   committed an entry of its current term, and no other voter can be elected.
   Check it before each action that only the leader may take; the term is the
   fencing token.  */
bool pu_group_holds_lease (pu_group_t *g);

/* pu_group_quorum_silent_ms - returns the age, in milliseconds, of the newest
   message of this leader that a quorum has acknowledged; 0 if this voter is
   not the leader or none was acknowledged.  */
uint64_t pu_group_quorum_silent_ms (pu_group_t *g);

/* pu_group_leader_silent_ms - returns for how many milliseconds this voter has
   had no word of a leader that knew itself to lead, so that entries may have
   been committed without its knowledge; on the leader, the time since it last
   knew so.  G_MAXUINT64 if there was none since the start.  */
uint64_t pu_group_leader_silent_ms (pu_group_t *g);
bool pu_group_is_leader (const pu_group_t *g);
uint64_t pu_group_term (const pu_group_t *g);

/* pu_group_leader - returns the known leader, or NULL.  The pointer is valid
   until the next call of a function of the group.  */
const pu_log_peer *pu_group_leader (const pu_group_t *g);

/* pu_group_config - returns the configuration in force.  The pointer is valid
   until the next call of a function of the group.  */
const pu_log_config *pu_group_config (const pu_group_t *g);

/* pu_group_config_index - returns the index of the configuration in force.  */
uint64_t pu_group_config_index (const pu_group_t *g);

/* pu_group_add_seed - adds ADDRESS to the seeds, the peers that this voter
   asks for a leader while it knows none.  Ignored by an initial voter that
   may bootstrap the log.  */
void pu_group_add_seed (pu_group_t *g, const char *address);

/* pu_group_commit_lag_ms - returns for how many milliseconds the leader's
   commit index has been ahead of this voter's, for example after a restart or
   with a full disk; 0 if it is not ahead.  */
uint64_t pu_group_commit_lag_ms (const pu_group_t *g);

/* pu_group_commit_index - returns the commit index.  */
uint64_t pu_group_commit_index (const pu_group_t *g);

/* pu_group_begin_stop - announces that this process is about to stop; see
   pu_replica_begin_stop.  */
void pu_group_begin_stop (pu_group_t *g);

/* pu_group_transfer_leadership - prepares pu_group_close: a leader waits
   until another voter has the whole log and transfers leadership to that
   voter.  Proposals are refused during the transfer.  Wait until
   pu_group_is_leader is false, for two seconds at most, before calling
   pu_group_close.  */
void pu_group_transfer_leadership (pu_group_t *g);

/* pu_group_voters_* - changes the voters at an operator's request; works only
   on the leader.  True means that the change is in the leader's log;
   pu_group_config shows the result.  Voters are changed one at a time, and a
   learner catches up before it becomes a voter.  Errors: PU_ERROR_UNAVAILABLE
   (not the leader, or another change in progress), PU_ERROR_NOT_FOUND (no
   member has that name), PU_ERROR_INVALID (too few or too many voters).  */
bool pu_group_voters_add (pu_group_t *g, const char *name, pu_error_t *e);
bool pu_group_voters_remove (pu_group_t *g, const char *name, pu_error_t *e);
bool pu_group_voters_replace (pu_group_t *g, const char *name,
                              const char *with, pu_error_t *e);

/* pu_group_status - returns a new JSON object:
   {"group","name","id","role","term","leader","lease","commit","applied",
   "first","last","synced","snapshot","failed",
   "voters":[{"name","id","address","role","match","silent_ms"}],
   "journal":{"segments","bytes","syncs","batches","entries","sync_us"}}.  */
json_t *pu_group_status (pu_group_t *g);

G_END_DECLS

#endif
