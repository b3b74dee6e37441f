#ifndef PU_PLACEMENT_OUTAGES_H
#define PU_PLACEMENT_OUTAGES_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * outages - which engines have crashed, by the connections that they refuse.
 *
 * For the crash of an engine that nothing else tells of: it sends no report,
 * and its lease ends seconds later.  The entries whose requests break off know
 * it at once.  One instance alone may be the cause of what it sees, so an
 * engine is out only if it refuses connections from this instance, the leader,
 * and from another one.  An answer of the engine refutes what was seen before
 * it.  A new connection that another engine
 * accepts, started after the refusal, shows that this instance itself is not
 * cut off from the engines; it is needed if there is another engine.  An
 * answer on an open connection shows no such thing: that may live on while new
 * ones are refused.
 *
 * Does no I/O and reads no clock.  `now` is monotonic milliseconds.  Engines
 * are handles from 0; the handle of an engine that has restarted is another.
 */

typedef struct pu_outages pu_outages_t;

/* pu_outages_new - EVIDENCE_MS: how long a refused connection counts.  */
pu_outages_t *pu_outages_new (guint64 evidence_ms);
void pu_outages_free (pu_outages_t *o);

/* pu_outages_add_report - another instance reports that ENGINE refuses its
   connections.  */
void pu_outages_add_report (pu_outages_t *o, guint32 engine, guint64 now);

/* pu_outages_add_refusal - ENGINE has refused a connection of this
   instance.  */
void pu_outages_add_refusal (pu_outages_t *o, guint32 engine, guint64 now);

/* pu_outages_add_answer - ENGINE has answered a call that was started at
   STARTED.  */
void pu_outages_add_answer (pu_outages_t *o, guint32 engine, guint64 started);

/* pu_outages_add_connection - an engine has accepted a connection that was
   started at STARTED.  */
void pu_outages_add_connection (pu_outages_t *o, guint64 started);

/* pu_outages_is_suspected - whether this instance and another one have been
   refused by ENGINE, which is not confirmed to be out.  */
bool pu_outages_is_suspected (const pu_outages_t *o, guint32 engine,
                              guint64 now);

/* pu_outages_refuses - whether ENGINE refuses connections of this instance, as
   far as is known: no order reaches it.  */
bool pu_outages_refuses (const pu_outages_t *o, guint32 engine, guint64 now);

/* pu_outages_confirm - whether ENGINE is out.  True once in evidence_ms. ALONE
   says that there is no other engine to answer.  */
bool pu_outages_confirm (pu_outages_t *o, guint32 engine, bool alone,
                         guint64 now);

/* pu_outages_confirm_next - as pu_outages_confirm for any engine, which ENGINE
   is set to.  Call it until it returns false after a connection was added.  */
bool pu_outages_confirm_next (pu_outages_t *o, guint64 now, guint32 *engine);

G_END_DECLS

#endif
