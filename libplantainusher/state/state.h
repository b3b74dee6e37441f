#ifndef PU_STATE_STATE_H
#define PU_STATE_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "state/generated/state_msg.h"

G_BEGIN_DECLS

/*
 * state - what the replicated log computes: the document in force and its
 * history, members, backend servers, reservations, claims and suspects.
 *
 * Deterministic: the same commands in the same order give the same state and
 * the same replies on every voter.  Entries keep a public copy, fed by public
 * commands alone.  Nothing here reads a clock; times come in commands.
 */

typedef struct pu_state pu_state_t;

/* The incarnation of a backend server whose reports tell none.  */
#define PU_INCARNATION_UNREPORTED 1

/* Deliberate faults for the tests that show the checks can fail.  */
typedef enum
{
  PU_STATE_BREAK_REGRANT_UNKNOWN = 1, /* claim again what a dead owner left */
  PU_STATE_BREAK_REOPEN_CLAIM = 2,    /* a late copy opens a closed claim */
  PU_STATE_BREAK_NO_BASE_CHECK = 4,   /* accept any base version */
  PU_STATE_BREAK_CHANGE_TWICE = 8,    /* accept a change id again */
  PU_STATE_BREAK_NO_DELTA_CHECK = 16, /* take a delta to any base */
  PU_STATE_BREAK_NO_RANK_CHECK = 32   /* a lower rank takes force too */
} pu_state_break_t;

typedef struct
{
  uint32_t history_max;      /* documents remembered in the history */
  uint64_t claim_window_ms;  /* a claim's result is kept that long */
  uint64_t strike_window_ms; /* a single strike is forgotten after that */
  uint32_t convict_strikes;  /* backend servers lost until conviction */
  uint32_t test_breaks;      /* pu_state_break_t; 0 outside tests */
} pu_state_options_t;

/* pu_state_options_init - the defaults: 1000 documents in the history, one
   hour for claims, ten minutes for strikes, conviction at two.  All voters
   must run with the same values.  */
void pu_state_options_init (pu_state_options_t *o);

/* pu_state_new - an empty state at position 0.  Free with pu_state_free.  */
pu_state_t *pu_state_new (const pu_state_options_t *o);
void pu_state_free (pu_state_t *s);

/* pu_state_apply - applies C, which stands at POSITION of the log.  A position
   that is not above the last applied one changes nothing and returns false:
   the state never goes backwards.  R, when not NULL, is filled with the
   answer; the caller clears it with pu_reply_clear.  */
bool pu_state_apply (pu_state_t *s, uint64_t position, const pu_command *c,
                     pu_reply *r);

/* pu_state_skip_to - moves the position to POSITION when that is higher, for
   entries of the log that do not concern this copy.  */
void pu_state_skip_to (pu_state_t *s, uint64_t position);

/* pu_state_encode - the image of the state as XDR bytes.  PUBLIC_ONLY leaves
   out the history, the claims and the orders.  */
GBytes *pu_state_encode (const pu_state_t *s, bool public_only);

/* pu_state_decode - replaces S by the image in DATA.  Returns false and
   leaves S as it was when the bytes are no image (PU_ERROR_CORRUPT).  */
bool pu_state_decode (pu_state_t *s, const void *data, size_t len,
                      pu_error_t *e);

uint64_t pu_state_position (const pu_state_t *s);

/* pu_state_membership_version - counts the changes of members; equal views
   have equal members.  */
uint64_t pu_state_membership_version (const pu_state_t *s);

/* pu_state_change_count - counts the changes of documents, members, backend
   servers and suspects in this copy, for a reader that caches.  */
uint64_t pu_state_change_count (const pu_state_t *s);

/* pu_state_document - the document in force, or NULL before the first.  */
const pu_doc_record *pu_state_document (const pu_state_t *s);

/* pu_state_document_of_change - the document that CHANGE_ID made, or NULL when
   the history has none.  */
const pu_doc_record *pu_state_document_of_change (const pu_state_t *s,
                                                  const char *change_id);

/* Iteration: call FN for each record, in the order of names.  Backend servers
   that are down come too: look at their flag.  */
typedef void pu_member_fn (const pu_member_record *m, void *data);
typedef void pu_backend_fn (const pu_backend_record *b, void *data);
typedef void pu_order_fn (const pu_order_record *o, void *data);
typedef void pu_claim_fn (const pu_claim_record *c, void *data);
typedef void pu_suspect_fn (const pu_suspect_record *s, void *data);
typedef void pu_doc_fn (const pu_doc_record *d, void *data);
void pu_state_each_member (const pu_state_t *s, pu_member_fn *fn, void *data);
void pu_state_each_backend (const pu_state_t *s, pu_backend_fn *fn,
                            void *data);
/* pu_state_each_changed_backend - calls FN for those that changed after
   pu_state_change_count was SINCE, in no order that matters.  Returns false,
   and calls nothing, where this copy can't tell: all may have changed, or some
   be gone.  */
bool pu_state_each_changed_backend (const pu_state_t *s, uint64_t since,
                                    pu_backend_fn *fn, void *data);
/* Orders come by token, the oldest first.  */
void pu_state_each_order (const pu_state_t *s, pu_order_fn *fn, void *data);
void pu_state_each_claim (const pu_state_t *s, pu_claim_fn *fn, void *data);
void pu_state_each_suspect (const pu_state_t *s, pu_suspect_fn *fn,
                            void *data);
/* Documents come newest first; only the newest carries its text.  */
void pu_state_each_document (const pu_state_t *s, pu_doc_fn *fn, void *data);

/* pu_state_claim_count - how many claims are kept.  */
uint32_t pu_state_claim_count (const pu_state_t *s);

/* Lookups; NULL when there is none.  */
const pu_member_record *pu_state_member (const pu_state_t *s,
                                         const char *name);
const pu_backend_record *pu_state_backend (const pu_state_t *s,
                                           const char *name);
const pu_claim_record *pu_state_claim (const pu_state_t *s,
                                       const char *service, const char *key);
const pu_suspect_record *pu_state_suspect (const pu_state_t *s,
                                           uint64_t fingerprint);
const pu_order_record *pu_state_order (const pu_state_t *s, uint64_t token);

/* pu_state_committed_mb - memory in MB on each accelerator of BACKEND that is
   loaded or reserved by orders that may still take effect.  */
uint64_t pu_state_committed_mb (const pu_state_t *s, const char *backend);

/* pu_state_delta_encode_submit - makes C a delta against the document in force
   when C is based on it and that is shorter.  C's text is replaced (by malloc
   and free).  Applied to the same document, the delta gives the same text.  */
void pu_state_delta_encode_submit (const pu_state_t *s, pu_submit *c);

/* pu_state_apply_report - as pu_state_apply, for a report (BACKEND_UP); *DELTA
   becomes the same change as a BACKEND_DELTA for public copies, or NULL when
   there is none or it would be longer.  *CHANGED says whether the report
   changed the state: else public copies need not see it.  */
bool pu_state_apply_report (pu_state_t *s, uint64_t position,
                            const pu_command *c, pu_reply *r, GBytes **delta,
                            bool *changed);

/* pu_command_encode, pu_command_decode - XDR bytes of a command.  A decoded
   command is freed with pu_command_clear.  */
GBytes *pu_command_encode (const pu_command *c);
bool pu_command_decode (pu_command *c, const void *data, size_t len,
                        pu_error_t *e);
void pu_command_clear (pu_command *c);

/* pu_command_is_public - whether the command goes to every daemon.  */
bool pu_command_is_public (const pu_command *c);

/* pu_command_name - such as "submit", for logs and dumps.  */
const char *pu_command_name (pu_command_type type);

GBytes *pu_reply_encode (const pu_reply *r);
bool pu_reply_decode (pu_reply *r, const void *data, size_t len,
                      pu_error_t *e);
void pu_reply_clear (pu_reply *r);
const char *pu_outcome_name (pu_outcome outcome);

G_END_DECLS

#endif
