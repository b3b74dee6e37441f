#ifndef PU_CONTROL_FEED_H
#define PU_CONTROL_FEED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "control/generated/control_msg.h"

G_BEGIN_DECLS

/*
 * feed - the newest public entries of the log, bounded, for those who poll.
 *
 * A core.  A reader whose position lies before the oldest entry kept needs an
 * image.
 */

typedef struct pu_feed pu_feed_t;

pu_feed_t *pu_feed_new (guint entries_max, size_t bytes_max);
void pu_feed_free (pu_feed_t *f);

/* pu_feed_reset - forgets all: the state is an image as of POSITION.  */
void pu_feed_reset (pu_feed_t *f, uint64_t position);

/* pu_feed_add - the public entry at POSITION, above all earlier ones.  DELTA,
   which is taken, says the same in less to a reader that takes deltas; it may
   be NULL.  */
void pu_feed_add (pu_feed_t *f, uint64_t position, const void *bytes,
                  size_t len, GBytes *delta);

/* pu_feed_covers - whether a reader at POSITION can go on without an image. */
bool pu_feed_covers (const pu_feed_t *f, uint64_t position);

/* pu_feed_newest - position of the newest public entry or image.  */
uint64_t pu_feed_newest (const pu_feed_t *f);

/* pu_feed_read - fills ENTRIES, of room for MAX, with those after POSITION, up
   to BYTES_MAX (one at least), as DELTAS where there are and those are wanted.
    The bytes stay the feed's, until the next
   change.  Returns how many.  */
guint pu_feed_read (const pu_feed_t *f, uint64_t position,
                    pu_public_entry *entries, guint max, size_t bytes_max,
                    bool deltas);

G_END_DECLS

#endif
