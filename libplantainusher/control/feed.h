#ifndef PU_CONTROL_FEED_H
#define PU_CONTROL_FEED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "control/generated/control_msg.h"

G_BEGIN_DECLS

/*
 * feed - bounded buffer of the newest public entries of the log, from which a
 * voter answers polls.
 *
 * The feed does no I/O and reads no clock.  A reader whose position lies
 * before the oldest retained entry needs an image of the state instead.
 */

typedef struct pu_feed pu_feed_t;

/* pu_feed_new - returns an empty feed that retains at most ENTRIES_MAX entries
   and BYTES_MAX bytes.  */
pu_feed_t *pu_feed_new (guint entries_max, size_t bytes_max);
void pu_feed_free (pu_feed_t *f);

/* pu_feed_reset - removes all entries after the state was replaced by an image
   as of POSITION.  */
void pu_feed_reset (pu_feed_t *f, uint64_t position);

/* pu_feed_add - appends the public entry at POSITION, which is higher than all
   earlier positions, and evicts the oldest entries beyond the limits.  DELTA
   is a shorter encoding of the same change for readers that accept deltas, or
   NULL; the feed takes ownership of it.  */
void pu_feed_add (pu_feed_t *f, uint64_t position, const void *bytes,
                  size_t len, GBytes *delta);

/* pu_feed_covers - whether the feed holds all public entries after POSITION,
   so that a reader at POSITION needs no image.  */
bool pu_feed_covers (const pu_feed_t *f, uint64_t position);

/* pu_feed_bytes - returns the bytes of the retained entries.  */
size_t pu_feed_bytes (const pu_feed_t *f);

/* pu_feed_newest - returns the position of the newest public entry, or of the
   image if there is none after it.  */
uint64_t pu_feed_newest (const pu_feed_t *f);

typedef struct
{
  guint entries_max;
  size_t bytes_max; /* in total; the first entry may exceed it */
  size_t
      entry_bytes_max; /* reading stops before a larger entry; 0: no limit */
  bool deltas;         /* an entry that has a delta is given as the delta */
} pu_feed_limits_t;

/* pu_feed_read - fills ENTRIES with the entries after POSITION, oldest first,
   as many as LIMITS allow.  The bytes belong to the feed and are valid until
   it changes.  Returns the number of entries.  */
guint pu_feed_read (const pu_feed_t *f, uint64_t position,
                    pu_public_entry *entries, const pu_feed_limits_t *limits);

G_END_DECLS

#endif
