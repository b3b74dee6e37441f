#ifndef PU_CONTROL_SESSIONS_H
#define PU_CONTROL_SESSIONS_H

#include <glib.h>
#include <stdint.h>

#include "control/generated/control_msg.h"

G_BEGIN_DECLS

/*
 * sessions - collects what daemons report with their polls of a voter until it
 * is sent to the leader.
 *
 * It does no I/O and reads no clock.  Times are monotonic milliseconds of the
 * voter.
 */

typedef struct pu_sessions_table pu_sessions_t;

pu_sessions_t *pu_sessions_new (void);
void pu_sessions_free (pu_sessions_t *s);

/* pu_sessions_add_poll - adds poll P, which was received at NOW.  Polls of an
   earlier incarnation of the daemon are ignored.  */
void pu_sessions_add_poll (pu_sessions_t *s, const pu_poll *p, uint64_t now);

/* pu_sessions_message - returns a new message from VOTER to the leader with
   what was collected, up to PU_CONTROL_LIST_MAX items in each list, and its
   ages at NOW.  Free it with pu_sessions_message_free, before S changes: it
   borrows strings of S.  */
pu_sessions *pu_sessions_message (const pu_sessions_t *s, const char *voter,
                                  uint64_t now);
void pu_sessions_message_free (pu_sessions *m);

/* pu_sessions_clear - discards what was collected, after its message was
   sent.  */
void pu_sessions_clear (pu_sessions_t *s);

G_END_DECLS

#endif
