#ifndef PU_STATE_MEMORY_H
#define PU_STATE_MEMORY_H

#include <glib.h>

#include "base/error.h"
#include "state/generated/state_msg.h"

G_BEGIN_DECLS

/*
 * memory - the accelerator memory committed on each backend server.
 *
 * Converts the records of the state for the ledger (placement/ledger.h), which
 * does the accounting.  The ledger uses integer handles; this module assigns
 * them to the names of backend servers and to pairs of model and version.
 */

typedef struct pu_memory pu_memory_t;

pu_memory_t *pu_memory_new (void);
void pu_memory_free (pu_memory_t *m);

/* pu_memory_backend_up - applies the report B to the ledger.  When B has a
   lower token than an earlier report, B's copies and token are replaced by the
   result of merging the two.  The tokens (guint64) of the orders that the
   report closes are appended to CLOSED.  A stale report has no effect and
   gives false.  */
bool pu_memory_backend_up (pu_memory_t *m, pu_backend_record *b,
                           GArray *closed);

/* pu_memory_backend_down, pu_memory_backend_leaving - pass the change of B to
   the ledger: see pu_ledger_backend_down and pu_ledger_backend_leaving.  */
void pu_memory_backend_down (pu_memory_t *m, const pu_backend_record *b);
void pu_memory_backend_leaving (pu_memory_t *m, const pu_backend_record *b);

/* pu_memory_remove_backend - removes BACKEND, which must be down and have no
   open orders.  */
void pu_memory_remove_backend (pu_memory_t *m, const char *backend);

/* pu_memory_reserve - opens the order O and counts its memory.  Errors: as for
   pu_ledger_reserve.  */
bool pu_memory_reserve (pu_memory_t *m, const pu_order_record *o,
                        pu_error_t *e);

/* pu_memory_release - closes the order TOKEN, whose lifetime has ended.  False
   when it must stay open, as for pu_ledger_release.  */
bool pu_memory_release (pu_memory_t *m, guint64 token);

/* pu_memory_restore_backend, pu_memory_restore_order - rebuild the ledger from
   a snapshot: first all backend servers, then all orders.  The first also
   replaces a backend server's record without the checks of
   pu_memory_backend_up, for a delta.  */
void pu_memory_restore_backend (pu_memory_t *m, const pu_backend_record *b);
void pu_memory_restore_order (pu_memory_t *m, const pu_order_record *o);

/* pu_memory_has_orders - returns whether BACKEND has open orders.  */
bool pu_memory_has_orders (const pu_memory_t *m, const char *backend);

/* pu_memory_committed_mb - returns the committed memory of BACKEND, in MB on
   each accelerator; 0 when BACKEND is unknown.  */
guint64 pu_memory_committed_mb (const pu_memory_t *m, const char *backend);

/* pu_memory_planned_mb - returns pu_ledger_planned_mb of BACKEND; 0 when
   BACKEND is unknown.  */
guint64 pu_memory_planned_mb (const pu_memory_t *m, const char *backend);

G_END_DECLS

#endif
