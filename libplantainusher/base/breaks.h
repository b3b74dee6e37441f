#ifndef PU_BASE_BREAKS_H
#define PU_BASE_BREAKS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * breaks - rules of the daemon broken on purpose, to show that the process
 * tests can fail.
 *
 * Only a build with the option PU_BREAKS has them; there the environment
 * variable PU_BREAK names the rules that are broken, separated by commas.  In
 * every other build pu_break_active is false at compile time and no name is in
 * the binary.  Each rule is looked at in one place.  tests/breaks runs them.
 *
 * Where a core has breaks of its own for its tests, the rule here sets those.
 */

/* A document that follows another is not taken.  */
#define PU_BREAK_DOCUMENT_IGNORED "document-ignored"
/* The view kept on the disk is never renewed.  */
#define PU_BREAK_VIEW_KEPT_ONCE "view-kept-once"
/* Any base version of a change is accepted.  */
#define PU_BREAK_BASE_IGNORED "base-ignored"
/* A change id that was accepted before is not known again.  */
#define PU_BREAK_CHANGE_TWICE "change-twice"
/* A planned stop cuts what is open after the time to live of an answer.  */
#define PU_BREAK_STOP_CUTS "stop-cuts"
/* Work goes to copies and backend servers that are leaving.  */
#define PU_BREAK_DRAINING_USED "draining-used"
/* The leave of a backend server that gets no requests is acknowledged without
   the log.  */
#define PU_BREAK_LEAVE_UNRECORDED "leave-unrecorded"
/* A removal is taken as of the latest incarnation, however late it may be.  */
#define PU_BREAK_LATE_REMOVAL_TAKEN "late-removal-taken"
/* An entry that is leaving is still named to callers.  */
#define PU_BREAK_LEAVING_NAMED "leaving-named"
/* A backend server or an entry that is silent is waited for.  */
#define PU_BREAK_SILENCE_IGNORED "silence-ignored"
/* A silent connection to a peer is never replaced.  */
#define PU_BREAK_PEER_SILENCE_IGNORED "peer-silence-ignored"
/* A claim is dispatched before the log has it.  */
#define PU_BREAK_CLAIM_EARLY "claim-early"
/* A claim that the log has seen before is dispatched again.  */
#define PU_BREAK_CLAIM_AGAIN "claim-again"
/* Each failure is told as not run.  */
#define PU_BREAK_NOT_RUN_TOLD "not-run-told"
/* What may run once is tried again after it may have run.  */
#define PU_BREAK_ONCE_REPEATED "once-repeated"
/* What the caller has got is sent to it again by the next attempt.  */
#define PU_BREAK_REPLAY_PASSED "replay-passed"
/* A truncated stream ends as if it were whole.  */
#define PU_BREAK_TRUNCATED_WHOLE "truncated-whole"
/* The connection of an abandoned call is used for the next one.  */
#define PU_BREAK_CONNECTION_REUSED "connection-reused"
/* A leader acts without its lease.  */
#define PU_BREAK_LEASE_IGNORED "lease-ignored"
/* The memory of an order is free after a timeout.  */
#define PU_BREAK_TIMEOUT_FREES "timeout-frees"
/* The last ready copy of a model may be unloaded.  */
#define PU_BREAK_LAST_COPY_UNLOADED "last-copy-unloaded"
/* Each entry sends requests to a brittle backend server by itself.  */
#define PU_BREAK_OWNER_IGNORED "owner-ignored"
/* Entries drop what others tell them of the statements of backend servers.  */
#define PU_BREAK_STATEMENTS_IGNORED "statements-ignored"
/* No part of a prompt is suspected or convicted.  */
#define PU_BREAK_PARTS_IGNORED "parts-ignored"
/* A view of any age denies what it does not have.  */
#define PU_BREAK_VIEW_AGE_IGNORED "view-age-ignored"
/* Nobody is asked about a backend server that seems to have crashed.  */
#define PU_BREAK_WITNESSES_IGNORED "witnesses-ignored"
/* A request without a team's key is served.  */
#define PU_BREAK_KEY_IGNORED "key-ignored"
/* The key of a caller is forwarded to backend servers.  */
#define PU_BREAK_KEY_FORWARDED "key-forwarded"
/* Requests beyond a team's allowance are admitted.  */
#define PU_BREAK_ALLOWANCE_IGNORED "allowance-ignored"

#ifdef PU_BREAKS
/* pu_break_active - whether RULE, one of the names above, is broken.  */
bool pu_break_active (const char *rule);
#else
#define pu_break_active(rule) false
#endif

/* pu_break_bit - BIT of a core's own breaks if RULE is broken, else 0.  */
#define pu_break_bit(rule, bit) (pu_break_active (rule) ? (guint)(bit) : 0U)

G_END_DECLS

#endif
