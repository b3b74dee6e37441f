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
 * group - one replicated log of this process: a replica and its journal joined
 * on a libuv loop.
 *
 * The owner gives callbacks for the transport and the state machine; all of
 * them run on the loop's thread, never from inside pu_group_propose or
 * pu_group_receive.  Several groups may live in one process: each has its own
 * number and folder.
 */

typedef struct pu_group pu_group_t;

/* pu_group_send_fn - sends MSG (the caller keeps its reference) to the voter
   at TO->address, best effort: it may be lost, late, doubled or reordered.  */
typedef void pu_group_send_fn (const pu_log_peer *to, GBytes *msg, void *data);

/* pu_group_apply_fn - the entry at INDEX is committed.  Called once for each
   data entry in rising order; indexes have gaps (entries of the log itself).
 */
typedef void pu_group_apply_fn (uint64_t index, const void *bytes, size_t len,
                                void *data);

/* pu_group_take_fn - a new image of the state machine as of the last applied
   entry.  The group takes the reference.  */
typedef GBytes *pu_group_take_fn (uint64_t index, void *data);

/* pu_group_restore_fn - replaces the state machine by an image taken at
   INDEX.  Returning false fails the voter: it stops acknowledging.  */
typedef bool pu_group_restore_fn (uint64_t index, const void *bytes,
                                  size_t len, void *data, pu_error_t *e);

/* pu_group_role_fn - this voter began (LEADER) or ceased to lead in TERM.  */
typedef void pu_group_role_fn (bool leader, uint64_t term, void *data);

/* pu_group_done_fn - what became of a proposal: KIND is PU_OK when it is
   committed and applied at INDEX; PU_ERROR_TIMEOUT when the outcome is not
   known; any other kind when it certainly did not run.  */
typedef void pu_group_done_fn (uint64_t index, pu_error_kind_t kind,
                               void *data);

typedef uint64_t pu_group_now_fn (void *data);

typedef struct
{
  uv_loop_t *loop;
  const char *folder;           /* made when missing; one for each group */
  pu_replica_options_t replica; /* names, timing, initial voters, seed; the
                                   self.id field is ignored: it is kept in the
                                   folder */
  pu_group_send_fn *send;
  pu_group_apply_fn *apply;
  pu_group_take_fn *take;
  pu_group_restore_fn *restore;
  pu_group_role_fn *role;    /* may be NULL */
  pu_group_now_fn *now;      /* NULL: milliseconds of CLOCK_BOOTTIME */
  bool sync_each_entry;      /* one sync an entry: a benchmark's baseline */
  const pu_journal_fs_t *fs; /* NULL: the operating system's */
  void *data;                /* for the callbacks */
} pu_group_options_t;

/* pu_group_options_init - the defaults of all options that have one.  */
void pu_group_options_init (pu_group_options_t *o);

/* pu_group_new - opens the folder, restores the newest snapshot, applies what
   is known to be committed and starts to take part.  A damaged folder is set
   aside and the voter starts as a new identity.  Returns NULL when the folder
   cannot be used at all (PU_ERROR_IO) or the state machine refuses the image
   (PU_ERROR_CORRUPT).  OPTIONS' strings are copied.  */
pu_group_t *pu_group_new (const pu_group_options_t *o, pu_error_t *e);

/* pu_group_close - stops taking part, waits for the disk and then calls CLOSED
   (may be NULL) and frees G.  Proposals under way end with
   PU_ERROR_TIMEOUT.  */
void pu_group_close (pu_group_t *g, void (*closed) (void *data), void *data);

/* pu_group_receive - takes a message of another voter.  Returns false for one
   that is malformed or not for this group (PU_ERROR_INVALID).  */
bool pu_group_receive (pu_group_t *g, const void *bytes, size_t len,
                       pu_error_t *e);

/* pu_group_propose - asks for BYTES to be put into the log; DONE is called
   exactly once, later, when this returns true.  Returns false, and the entry
   does certainly not run, with PU_ERROR_UNAVAILABLE when this voter does not
   lead or has too much under way, PU_ERROR_TOO_LARGE.  */
bool pu_group_propose (pu_group_t *g, const void *bytes, size_t len,
                       pu_group_done_fn *done, void *data, pu_error_t *e);

/* pu_group_read_from - calls FN for the committed data entries after AFTER
   that are still in the log, in order, until BYTES_MAX are given (at least
   one).  Returns the position reached, all of it committed (AFTER itself when
   there is nothing new); 0 when entries after AFTER are gone, so that the
   reader needs an image.  */
uint64_t pu_group_read_from (pu_group_t *g, uint64_t after, size_t bytes_max,
                             pu_group_apply_fn *fn, void *data);

/* pu_group_holds_lease - true while this voter leads, has committed an entry
   of its own term, and no other voter can be elected.  Ask before each act;
   the term is the fencing token.  */
bool pu_group_holds_lease (pu_group_t *g);
bool pu_group_is_leader (const pu_group_t *g);
uint64_t pu_group_term (const pu_group_t *g);

/* pu_group_leader - the leader as far as known, or NULL.  Valid until the next
   call into the group.  */
const pu_log_peer *pu_group_leader (const pu_group_t *g);

/* pu_group_config - the voters in force; valid until the next call.  */
const pu_log_config *pu_group_config (const pu_group_t *g);

/* pu_group_config_index - the position that put these voters in force.  */
uint64_t pu_group_config_index (const pu_group_t *g);

/* pu_group_add_seed - a voter may stand at ADDRESS: a log that has none of its
   own yet asks there, too.  */
void pu_group_add_seed (pu_group_t *g, const char *address);

/* pu_group_commit_lag_ms - for how long the leader has had committed entries
   that have not come here, as after a restart or with a disk that is full.  */
uint64_t pu_group_commit_lag_ms (const pu_group_t *g);

/* pu_group_commit_index - the highest committed position.  */
uint64_t pu_group_commit_index (const pu_group_t *g);

/* pu_group_transfer_leadership - a graceful stop: a leader brings another
   voter up to date and hands the lead over; it takes no proposals meanwhile.
   Wait until pu_group_is_leader is false (or give up after two seconds), then
   close.  */
void pu_group_transfer_leadership (pu_group_t *g);

/* pu_group_voters_* - an operator's change, on the leader.  True means that it
   stands in the leader's log; look at pu_group_config for the result.  Voters
   are changed one at a time and a new one is caught up first.
   Errors: PU_ERROR_UNAVAILABLE (not the leader, or a change is under way),
   PU_ERROR_NOT_FOUND (no such name), PU_ERROR_INVALID (too few or too many
   voters).  */
bool pu_group_voters_add (pu_group_t *g, const char *name, pu_error_t *e);
bool pu_group_voters_remove (pu_group_t *g, const char *name, pu_error_t *e);
bool pu_group_voters_replace (pu_group_t *g, const char *name,
                              const char *with, pu_error_t *e);

/* pu_group_status - a new JSON object: {"group","name","id","role","term",
   "leader","lease","commit","applied","first","last","synced","snapshot",
   "failed","voters":[{"name","id","address","role","match","silent_ms"}],
   "journal":{"segments","bytes","syncs","batches","entries","sync_us"}}.  */
json_t *pu_group_status (pu_group_t *g);

G_END_DECLS

#endif
