#ifndef PU_PLACER_SYNC_H
#define PU_PLACER_SYNC_H

#include "document/document.h"
#include "placement/placement.h"
#include "placer/names.h"
#include "state/state.h"

G_BEGIN_DECLS

/*
 * sync - keeps a pu_placement_t up to date with a replicated state and maps
 * its handles to names.
 */

typedef struct
{
  const pu_state_t *state;
  pu_placement_t *placement;
  pu_placement_options_t options;
  double streams_per_accelerator;
  pu_names_t backends;
  pu_names_t zones; /* "region/zone" */
  pu_names_t items; /* models and adapters */
  pu_names_t versions;
  pu_names_t copies;        /* "model\nversion" */
  GArray *copy_info;        /* of pu_placer_sync_copy_t, by copy */
  GArray *known_backends;   /* of pu_placer_sync_backend_t, by backend */
  GHashTable *known_orders; /* token -> generation in which the order was last
                               found in the state */
  GHashTable *failures;    /* set of pu_placer_sync_failure_t, never cleared */
  GArray *held_copies;     /* of pu_ledger_copy_t; reused buffer */
  GByteArray *hash_input;  /* reused buffer */
  pu_document_t *document; /* document in force; NULL before the first one */
  guint64 document_version;
  guint64 state_position; /* pu_state_position at the last update */
  guint64 state_changes;  /* pu_state_change_count at the last update */
  guint generation;       /* number of the last scan of the open orders */
} pu_placer_sync_t;

typedef struct
{
  guint32 item;
  guint32 version;
} pu_placer_sync_copy_t;

typedef struct
{
  guint64 record_hash; /* of the pu_backend_record; 0: not an engine */
  guint64 incarnation;
  bool usable; /* up and not leaving */
} pu_placer_sync_backend_t;

typedef struct
{
  guint32 backend;
  guint32 copy;
} pu_placer_sync_failure_t;

/* pu_placer_sync_pending_fn - returns whether a RESERVE for COPY on BACKEND
   was proposed and not answered yet, so that its order must not be adopted. */
typedef bool pu_placer_sync_pending_fn (void *data, guint32 backend,
                                        guint32 copy);

/* pu_placer_sync_new - returns a new object with the contents of S, which must
   outlive it.  In the options, the weights and the limits of the weights store
   are replaced by those of the document in force, and the option `committed`
   by a function that asks S.  STREAMS_PER_ACCELERATOR is the number of
   requests that one accelerator runs at full speed.  */
pu_placer_sync_t *pu_placer_sync_new (const pu_state_t *s,
                                      const pu_placement_options_t *o,
                                      double streams_per_accelerator,
                                      guint64 now);
void pu_placer_sync_free (pu_placer_sync_t *sync);

/* pu_placer_sync_update - applies the changes of the state since the last
   update.  IS_PENDING may be NULL.  Returns true when a plan should be made
   immediately: an engine was lost, restarted or is leaving, or the document
   changed.  */
bool pu_placer_sync_update (pu_placer_sync_t *sync,
                            pu_placer_sync_pending_fn *is_pending, void *data,
                            guint64 now);

/* pu_placer_sync_is_current - returns whether the state is unchanged since the
   last update.  */
bool pu_placer_sync_is_current (const pu_placer_sync_t *sync);

/* pu_placer_sync_add_order - marks the order TOKEN as known, so that an update
   does not adopt it.  */
void pu_placer_sync_add_order (pu_placer_sync_t *sync, guint64 token);

/* pu_placer_sync_add_failure - records that an order for COPY on BACKEND was
   refused or given up.  */
void pu_placer_sync_add_failure (pu_placer_sync_t *sync, guint32 backend,
                                 guint32 copy);

/* pu_placer_sync_intern_copy - returns the handle of VERSION of MODEL, and
   creates the handle when the pair is new.  */
guint32 pu_placer_sync_intern_copy (pu_placer_sync_t *sync, const char *model,
                                    const char *version);

/* pu_placer_sync_copy_model, pu_placer_sync_copy_version - return the names
   behind the handle COPY.  */
const char *pu_placer_sync_copy_model (const pu_placer_sync_t *sync,
                                       guint32 copy);
const char *pu_placer_sync_copy_version (const pu_placer_sync_t *sync,
                                         guint32 copy);

/* pu_placer_sync_document_options - sets the options in O that the document D
   gives.  */
void pu_placer_sync_document_options (const pu_document_t *d,
                                      pu_placement_options_t *o);

/* pu_placer_sync_declared_items - returns the models and adapters that D
   declares as a new array of pu_plan_item_t, indexed by item handle.  The name
   of an item that D does not declare is NULL.  The names belong to SYNC.  */
GArray *pu_placer_sync_declared_items (pu_placer_sync_t *sync,
                                       const pu_document_t *d);

G_END_DECLS

#endif
