#ifndef PU_CONTROL_SESSIONS_H
#define PU_CONTROL_SESSIONS_H

#include <glib.h>
#include <stdint.h>

#include "control/generated/control_msg.h"

G_BEGIN_DECLS

/*
 * sessions - what a voter heard from the daemons that poll it since it last
 * told the leader.  A core; times are the voter's milliseconds.
 */

typedef struct pu_sessions_table pu_sessions_t;

pu_sessions_t *pu_sessions_new (void);
void pu_sessions_free (pu_sessions_t *s);

/* pu_sessions_add_poll - takes in poll P, which came at NOW.  */
void pu_sessions_add_poll (pu_sessions_t *s, const pu_poll *p, uint64_t now);

/* pu_sessions_message - a new message of VOTER with all that was heard, ages
   as of NOW.  Free it with pu_sessions_message_free.  */
pu_sessions *pu_sessions_message (const pu_sessions_t *s, const char *voter,
                                  uint64_t now);
void pu_sessions_message_free (pu_sessions *m);

/* pu_sessions_clear - the message was sent: begins anew.  */
void pu_sessions_clear (pu_sessions_t *s);

G_END_DECLS

#endif
