#ifndef PU_ROUTING_WITNESSES_H
#define PU_ROUTING_WITNESSES_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * witnesses - whether a backend server that refuses the connections of this
 * instance has crashed.
 *
 * Load pattern: an instance loses its way to a part of the backend servers,
 * which serve all others.  Its open connections to them are reset and new ones
 * refused, as if they had crashed, while the rest accept its connections.  No
 * connection of its own tells that from crashes, so it asks other instances,
 * the witnesses.  One that the backend server accepts refutes the crash.  To
 * confirm it, most of them must have been refused, as some may be cut off from
 * the same backend servers; the rest are given a moment to refute it, so that
 * one that is silent holds nothing up.
 *
 * Does no I/O and reads no clock.  Times are monotonic milliseconds.
 */

/* What a witness sees of the backend server.  Numbers of messages.  */
typedef enum
{
  PU_SIGHT_NONE = 0, /* nothing that tells */
  PU_SIGHT_ACCEPTS = 1,
  PU_SIGHT_REFUSES = 2 /* while another backend server accepts */
} pu_sight_t;

typedef enum
{
  PU_WITNESSES_AWAITED,
  PU_WITNESSES_RUNS,
  PU_WITNESSES_CRASHED,
  PU_WITNESSES_UNKNOWN /* too few can tell */
} pu_witnesses_verdict_t;

typedef struct
{
  guint asked;
  guint accepted;
  guint refused;
  guint unsure;
  guint64 soon;  /* until when all answers are awaited */
  guint64 until; /* until when those of most are */
} pu_witnesses_t;

/* pu_witnesses_init - ASKED witnesses, one at least, are asked.  All answers
   are awaited until SOON, and until UNTIL if most have not been refused by
   then.  */
void pu_witnesses_init (pu_witnesses_t *w, guint asked, guint64 soon,
                        guint64 until);

/* pu_witnesses_add - a witness answers with SIGHT.  */
void pu_witnesses_add (pu_witnesses_t *w, pu_sight_t sight);

/* pu_witnesses_none_answered - whether no witness has answered.  */
bool pu_witnesses_none_answered (const pu_witnesses_t *w);

/* pu_witnesses_verdict - what the answers say at NOW.  */
pu_witnesses_verdict_t pu_witnesses_verdict (const pu_witnesses_t *w,
                                             guint64 now);

G_END_DECLS

#endif
