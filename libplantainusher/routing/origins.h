#ifndef PU_ROUTING_ORIGINS_H
#define PU_ROUTING_ORIGINS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * origins - which software version began a stream, and which versions have
 * served a service lately.
 *
 * The load pattern: backend servers of several versions serve side by side,
 * and callers resume streams at any instance, often because the one that knows
 * has just stopped.  What began a stream must be known, as a wrong guess joins
 * the output of two versions.  While a service has had a single version for as
 * long as a stream can last, nothing has to be recorded.
 *
 * Pure: no I/O, no clock; `now` is monotonic milliseconds.
 */

/* --- origins of streams --- */

typedef struct pu_origins pu_origins_t;

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

guint pu_origins_count (const pu_origins_t *o);

/* --- versions that have served a service lately --- */

typedef struct pu_versions pu_versions_t;

/* pu_versions_new - no version yet.  One counts for MEMORY_MS after its last
   backend server has gone.  Free it with pu_versions_free.  */
pu_versions_t *pu_versions_new (guint64 memory_ms);
void pu_versions_free (pu_versions_t *v);

/* pu_versions_add - a backend server of SERVICE with VERSION ("": not known)
   serves; pu_versions_remove - it serves no more.  */
void pu_versions_add (pu_versions_t *v, const char *service,
                      const char *version);
void pu_versions_remove (pu_versions_t *v, const char *service,
                         const char *version, guint64 now);

/* pu_versions_only - returns the only version that SERVICE has had lately, or
   NULL if there were several, one is not known or there was none.  Valid until
   the next change of V.  */
const char *pu_versions_only (pu_versions_t *v, const char *service,
                              guint64 now);

G_END_DECLS

#endif
