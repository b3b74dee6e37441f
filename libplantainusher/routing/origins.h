#ifndef PU_ROUTING_ORIGINS_H
#define PU_ROUTING_ORIGINS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * origins - which software version began a stream.
 *
 * The load pattern: backend servers of several versions serve side by side,
 * and callers resume streams at any instance, often because the one that knows
 * has just stopped.  What began a stream must be known, as a wrong guess joins
 * the output of two versions.
 *
 * Pure: no I/O, no clock; `now` is monotonic milliseconds.
 */

typedef struct pu_origins pu_origins_t;

/* How long a stream can be resumed at most.  */
#define PU_ORIGIN_LIFE_MAX_MS 600000

/* pu_origins_new - an empty table of at most MAX origins, above which the
   oldest is dropped.  Free it with pu_origins_free.  */
pu_origins_t *pu_origins_new (guint max);
void pu_origins_free (pu_origins_t *o);

/* pu_origin_key - the key of the request ID, a hash of 64 bits.  */
guint64 pu_origin_key (const char *id);

/* pu_origins_add - VERSION began the stream KEY, which can be resumed until
   UNTIL.  A second version for the same key makes it unknown: an id was used
   twice.  */
void pu_origins_add (pu_origins_t *o, guint64 key, const char *version,
                     guint64 until, guint64 now);

/* pu_origins_find - returns the version that began KEY, "" if several did,
   or NULL if none is recorded.  Valid until the next call of
   pu_origins_add.  */
const char *pu_origins_find (const pu_origins_t *o, guint64 key, guint64 now);

/* pu_origins_each - calls FN for each origin that can be resumed at NOW, the
   oldest first; VERSION as pu_origins_find.  */
typedef void pu_origins_fn (guint64 key, const char *version, guint64 until,
                            void *data);
void pu_origins_each (const pu_origins_t *o, guint64 now, pu_origins_fn *fn,
                      void *data);

guint pu_origins_count (const pu_origins_t *o);

G_END_DECLS

#endif
