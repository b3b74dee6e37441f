#ifndef PU_ROUTING_VERSIONS_H
#define PU_ROUTING_VERSIONS_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * versions - which software versions of backend servers have served a service
 * lately.
 *
 * The load pattern: nearly always, all backend servers of a service have one
 * version.  While that has been so for as long as a stream can last, it is
 * known what began any stream, and nothing has to be recorded.
 *
 * Pure: no I/O, no clock; `now` is monotonic milliseconds.
 */

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
   NULL if there were several, one is not known or there was none.  A version
   of the service "" counts for all services.  Valid until the next change of
   V.  */
const char *pu_versions_only (pu_versions_t *v, const char *service,
                              guint64 now);

/* pu_versions_describe - returns what SERVICE has had lately, for the log:
   versions with commas between them, "?" for one that is not known.  To be
   freed with g_free.  */
char *pu_versions_describe (pu_versions_t *v, const char *service,
                            guint64 now);

G_END_DECLS

#endif
