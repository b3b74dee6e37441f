#ifndef PU_STATE_STATE_H
#define PU_STATE_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "state/generated/state_msg.h"
#include "state/served.h"

G_BEGIN_DECLS

/*
 * state - the replicated state machine: the document in force and its
 * history, members, backend servers, reservations, claims and suspects.
 *
 * It is deterministic: the same commands in the same order give the same state
 * and the same replies on every voter.  Each daemon keeps a public copy, to
 * which only the public commands are applied.  Nothing here reads a clock;
 * commands carry the times.
 */

typedef struct pu_state pu_state_t;

/* The incarnation of a backend server whose reports give none.  */
#define PU_INCARNATION_UNREPORTED 1

/* Faults that tests inject to show that their checks can fail.  */
typedef enum
{
  PU_STATE_BREAK_REGRANT_UNKNOWN = 1,    /* grant a claim of unknown outcome */
  PU_STATE_BREAK_REOPEN_CLAIM = 2,       /* a late duplicate reopens a claim */
  PU_STATE_BREAK_NO_BASE_CHECK = 4,      /* accept any base version */
  PU_STATE_BREAK_NO_CHANGE_ID_CHECK = 8, /* accept a change id again */
  PU_STATE_BREAK_NO_DELTA_CHECK = 16,    /* apply a delta to any record */
  PU_STATE_BREAK_NO_RANK_CHECK = 32      /* accept a rank that is not higher */
} pu_state_break_t;

typedef struct
{
  uint32_t history_max;      /* documents kept in the history */
  uint64_t claim_window_ms;  /* retention of a claim that sets none */
  uint64_t strike_window_ms; /* age of the last strike after which the next
                                 one starts a new count; a conviction stays */
  uint32_t convict_strikes;  /* strikes (lost backend servers) that convict a
                                suspect */
  bool convict_isolated;     /* only a strike for an isolated run convicts */
  uint32_t test_breaks;      /* pu_state_break_t; 0 outside tests */
} pu_state_options_t;

/* pu_state_options_init - sets the defaults: 10000 documents in the history,
   claims kept for one hour, strikes counted for ten minutes, conviction at two
   strikes of any kind.  All voters must use the same values.  */
void pu_state_options_init (pu_state_options_t *o);

/* pu_state_new - returns an empty state at position 0.  To be freed with
   pu_state_free.  */
pu_state_t *pu_state_new (const pu_state_options_t *o);
void pu_state_free (pu_state_t *s);

/* pu_state_apply - applies C, the command at POSITION of the log.  When
   POSITION is not above the last applied one, nothing changes and the result
   is false, so that the state never goes backwards.  R, when not NULL, is set
   to the reply; the caller clears it with pu_reply_clear.  */
bool pu_state_apply (pu_state_t *s, uint64_t position, const pu_command *c,
                     pu_reply *r);

/* pu_state_skip_to - raises the position to POSITION without applying a
   command, for log entries that are not applied to this copy.  A lower
   POSITION has no effect.  */
void pu_state_skip_to (pu_state_t *s, uint64_t position);

/* pu_state_encode - returns a snapshot of the state (pu_state_image) as XDR
   bytes.  PUBLIC_ONLY leaves out the history, the claims and the orders.  */
GBytes *pu_state_encode (const pu_state_t *s, bool public_only);

/* pu_state_decode - replaces the content of S by the snapshot in DATA.
   Returns false and leaves S unchanged when DATA is not a snapshot
   (PU_ERROR_CORRUPT).  */
bool pu_state_decode (pu_state_t *s, const void *data, size_t len,
                      pu_error_t *e);

/* pu_state_position - returns the last applied position of the log.  */
uint64_t pu_state_position (const pu_state_t *s);

/* pu_state_membership_version - returns the number of changes of members so
   far.  Copies with the same number have the same members.  */
uint64_t pu_state_membership_version (const pu_state_t *s);

/* pu_state_change_count - returns how often documents, members, backend
   servers or suspects have changed in this copy.  A reader may cache what it
   read until the number rises.  The numbers of different copies are unrelated.
 */
uint64_t pu_state_change_count (const pu_state_t *s);

/* pu_state_document - returns the document in force, or NULL before the
   first.  */
const pu_doc_record *pu_state_document (const pu_state_t *s);

/* pu_state_document_of_change - returns the document that the change CHANGE_ID
   created, or NULL when it is not in the history.  */
const pu_doc_record *pu_state_document_of_change (const pu_state_t *s,
                                                  const char *change_id);

/* The pu_state_each_ functions call FN with DATA for each record, ordered by
   its key. Backend servers that are down are included, with the flag `down`
   set.  */
typedef void pu_member_fn (const pu_member_record *m, void *data);
typedef void pu_backend_fn (const pu_backend_record *b, void *data);
typedef void pu_order_fn (const pu_order_record *o, void *data);
typedef void pu_claim_fn (const pu_claim_record *c, void *data);
typedef void pu_suspect_fn (const pu_suspect_record *s, void *data);
typedef void pu_doc_fn (const pu_doc_record *d, void *data);
void pu_state_each_member (const pu_state_t *s, pu_member_fn *fn, void *data);
void pu_state_each_backend (const pu_state_t *s, pu_backend_fn *fn,
                            void *data);
/* pu_state_each_changed_backend - calls FN for each backend server that has
   changed since pu_state_change_count returned SINCE, in no specified order.
   Returns false, without a call, when this copy cannot name them: since then a
   snapshot was loaded, or a backend server was removed.  */
bool pu_state_each_changed_backend (const pu_state_t *s, uint64_t since,
                                    pu_backend_fn *fn, void *data);
/* Orders are visited by token, the oldest first.  */
void pu_state_each_order (const pu_state_t *s, pu_order_fn *fn, void *data);
void pu_state_each_claim (const pu_state_t *s, pu_claim_fn *fn, void *data);
void pu_state_each_suspect (const pu_state_t *s, pu_suspect_fn *fn,
                            void *data);
/* Documents are visited newest first; only the newest has its text.  */
void pu_state_each_document (const pu_state_t *s, pu_doc_fn *fn, void *data);

/* pu_state_each_served - calls FN for each software version of backend servers
   that served lately and may serve no more, the oldest first.  */
void pu_state_each_served (const pu_state_t *s, pu_served_fn *fn, void *data);

/* pu_state_served_lacks_time - whether the leader must tell the time with a
   SERVED_TIME.  */
bool pu_state_served_lacks_time (const pu_state_t *s);

/* pu_state_claim_count - returns the number of claims in the table.  */
uint32_t pu_state_claim_count (const pu_state_t *s);

/* Lookups; NULL when there is no such record.  */
const pu_member_record *pu_state_member (const pu_state_t *s,
                                         const char *name);
const pu_backend_record *pu_state_backend (const pu_state_t *s,
                                           const char *name);

/* pu_state_has_room_for_backend - whether a report of the backend server NAME
   could be stored: there is a record of NAME, fewer than PU_LIST_MAX records,
   or one that can be evicted, as its backend server is down.  */
bool pu_state_has_room_for_backend (const pu_state_t *s, const char *name);

const pu_claim_record *pu_state_claim (const pu_state_t *s,
                                       const char *service, const char *key);
const pu_suspect_record *pu_state_suspect (const pu_state_t *s,
                                           uint64_t fingerprint);
const pu_order_record *pu_state_order (const pu_state_t *s, uint64_t token);

/* pu_state_committed_mb - returns the memory, in MB on each accelerator of
   BACKEND, that is in use or reserved by orders that may still take effect; 0
   when BACKEND is unknown.  */
uint64_t pu_state_committed_mb (const pu_state_t *s, const char *backend);

/* pu_state_planned_mb - returns the memory, in MB on each accelerator of
   BACKEND, beside which a leader may plan loads (pu_ledger_planned_mb); 0 when
   BACKEND is unknown.  */
uint64_t pu_state_planned_mb (const pu_state_t *s, const char *backend);

/* pu_state_delta_encode_submit - turns C into a delta against the document in
   force when C is based on it; else C stays unchanged.  C's text, from malloc,
   is shortened in place.  Applied to the same document, the delta gives the
   same text.  */
void pu_state_delta_encode_submit (const pu_state_t *s, pu_submit *c);

/* pu_state_apply_report - as pu_state_apply, for a report (BACKEND_UP). *DELTA
   is set to the encoded BACKEND_DELTA that makes the same change in public
   copies, or to NULL when the report changed nothing or a delta cannot express
   the change.  *CHANGED is set to whether the report changed the state; if
   not, public copies do not need the report.  */
bool pu_state_apply_report (pu_state_t *s, uint64_t position,
                            const pu_command *c, pu_reply *r, GBytes **delta,
                            bool *changed);

/* pu_command_encode, pu_command_decode - convert a command to XDR bytes and
   back.  The caller clears a decoded command with pu_command_clear.  Errors:
   PU_ERROR_CORRUPT.  */
GBytes *pu_command_encode (const pu_command *c);
bool pu_command_decode (pu_command *c, const void *data, size_t len,
                        pu_error_t *e);
void pu_command_clear (pu_command *c);

/* pu_command_is_public - returns whether C is sent to the public copies, of
   which every daemon has one.  */
bool pu_command_is_public (const pu_command *c);

/* pu_command_name - returns the name of TYPE for logs and dumps, such as
   "submit"; "unknown" for other values.  */
const char *pu_command_name (pu_command_type type);

/* pu_reply_encode, pu_reply_decode - as for commands.  The caller clears a
   decoded reply with pu_reply_clear.  */
GBytes *pu_reply_encode (const pu_reply *r);
bool pu_reply_decode (pu_reply *r, const void *data, size_t len,
                      pu_error_t *e);
void pu_reply_clear (pu_reply *r);

/* pu_outcome_name - returns the name of OUTCOME, such as "done"; "unknown" for
   other values.  */
const char *pu_outcome_name (pu_outcome outcome);

G_END_DECLS

#endif
