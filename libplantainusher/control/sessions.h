#ifndef PU_CONTROL_SESSIONS_H
#define PU_CONTROL_SESSIONS_H

#include <glib.h>
#include <stdbool.h>
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

/* pu_sessions_send_fn - sends M, which is only valid during the call, to the
   leader.  Returns whether it was taken.  */
typedef bool pu_sessions_send_fn (void *data, const pu_sessions *m);

/* pu_sessions_send - passes what was collected to SEND as messages from VOTER,
   with its ages at NOW and up to PU_CONTROL_LIST_MAX items in each list; at
   least one message.  What SEND has taken is removed from S.  Ends at the
   first message that SEND does not take.  */
void pu_sessions_send (pu_sessions_t *s, const char *voter, uint64_t now,
                       pu_sessions_send_fn *send, void *data);

G_END_DECLS

#endif
