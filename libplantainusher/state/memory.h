#ifndef PU_STATE_MEMORY_H
#define PU_STATE_MEMORY_H

#include <glib.h>

#include "base/error.h"
#include "state/generated/state_msg.h"

G_BEGIN_DECLS

/*
 * memory - the records of the state, translated for the ledger.
 *
 * The ledger (placement/ledger.h) counts by small handles; this module keeps
 * the handle of each backend server's name and of each model and version.
 */

typedef struct pu_memory pu_memory_t;

pu_memory_t *pu_memory_new (void);
void pu_memory_free (pu_memory_t *m);

/* pu_memory_backend_up - takes in the report B.  Where it contradicts what
   was ordered later, B's copies and token are replaced by what is believed.
   The tokens (guint64) of the orders it proves to be over are appended to
   CLOSED.  False for an old report.  */
bool pu_memory_backend_up (pu_memory_t *m, pu_backend_record *b,
                           GArray *closed);

void pu_memory_backend_down (pu_memory_t *m, const pu_backend_record *b);
void pu_memory_backend_leaving (pu_memory_t *m, const pu_backend_record *b);

/* pu_memory_forget - forgets BACKEND, which is down and has no orders.  */
void pu_memory_forget (pu_memory_t *m, const char *backend);

/* pu_memory_reserve - counts O.  Errors as of pu_ledger_reserve.  */
bool pu_memory_reserve (pu_memory_t *m, const pu_order_record *o,
                        pu_error_t *e);

/* pu_memory_release - the life of the order is over.  False when it must stay
   open, as of pu_ledger_release.  */
bool pu_memory_release (pu_memory_t *m, guint64 token);

/* Rebuild the ledger from an image: first the backend servers.  */
void pu_memory_restore_backend (pu_memory_t *m, const pu_backend_record *b);
void pu_memory_restore_order (pu_memory_t *m, const pu_order_record *o);

bool pu_memory_has_orders (const pu_memory_t *m, const char *backend);

/* pu_memory_committed - MB on each accelerator; 0 when not known.  */
guint64 pu_memory_committed (const pu_memory_t *m, const char *backend);

G_END_DECLS

#endif
