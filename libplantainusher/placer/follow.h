#ifndef PU_PLACER_FOLLOW_H
#define PU_PLACER_FOLLOW_H

#include "document/document.h"
#include "placement/placement.h"
#include "placer/names.h"
#include "state/state.h"

G_BEGIN_DECLS

/*
 * follow - keeps a pu_placement_t in step with a state, and knows the names
 * behind its handles.
 */

typedef struct
{
  const pu_state_t *state;
  pu_placement_t *placement;
  pu_placement_options_t options;
  double streams; /* of one accelerator */
  pu_names_t backends;
  pu_names_t zones; /* "region/zone" */
  pu_names_t items; /* models and adapters */
  pu_names_t versions;
  pu_names_t copies;       /* "model\nversion" */
  GArray *copy_items;      /* of pu_followed_copy_t, by copy */
  GArray *seen;            /* of pu_followed_backend_t, by backend */
  GHashTable *tokens;      /* token of an order that is known -> stamp */
  GHashTable *failed;      /* set of pu_followed_failure_t: what ever did */
  GArray *held;            /* scratch, of pu_ledger_copy_t */
  GByteArray *bytes;       /* scratch */
  pu_document_t *document; /* in force; NULL before the first */
  guint64 document_version;
  guint64 position; /* of the state, when it was last looked at */
  guint64 changes;
  guint stamp;
} pu_follow_t;

typedef struct
{
  guint32 item;
  guint32 version;
} pu_followed_copy_t;

typedef struct
{
  guint64 hash; /* of its record; 0: not an engine */
  guint64 incarnation;
  bool usable; /* up and not leaving */
} pu_followed_backend_t;

typedef struct
{
  guint32 backend;
  guint32 copy;
} pu_followed_failure_t;

/* pu_follow_awaits_fn - whether the answer to a RESERVE for COPY on BACKEND is
   still to come, so that its order must not be adopted.  */
typedef bool pu_follow_awaits_fn (void *data, guint32 backend, guint32 copy);

/* pu_follow_new - a follower of S that has taken in all of it.  The options'
   weights and limits of the store are replaced by those of the document in
   force, `committed` by the state's.  S must outlive the follower.  */
pu_follow_t *pu_follow_new (const pu_state_t *s,
                            const pu_placement_options_t *o, double streams,
                            guint64 now);
void pu_follow_free (pu_follow_t *f);

/* pu_follow_update - takes in what changed.  AWAITS may be NULL.  True when a
   plan should be made at once: an engine was lost or leaves, or the document
   changed.  */
bool pu_follow_update (pu_follow_t *f, pu_follow_awaits_fn *awaits, void *data,
                       guint64 now);

/* pu_follow_is_current - whether the state has not changed since the last
   update.  */
bool pu_follow_is_current (const pu_follow_t *f);

/* pu_follow_know - the order TOKEN is one's own; it is not adopted.  */
void pu_follow_know (pu_follow_t *f, guint64 token);

/* pu_follow_failed - an order for COPY on BACKEND was given up.  */
void pu_follow_failed (pu_follow_t *f, guint32 backend, guint32 copy);

/* pu_follow_copy - the handle of VERSION of MODEL, made when new.  */
guint32 pu_follow_copy (pu_follow_t *f, const char *model,
                        const char *version);

/* The names behind a handle of a copy.  */
const char *pu_follow_model_of (const pu_follow_t *f, guint32 copy);
const char *pu_follow_version_of (const pu_follow_t *f, guint32 copy);

/* pu_follow_options - replaces in O what D says of the placement.  */
void pu_follow_options (const pu_document_t *d, pu_placement_options_t *o);

/* pu_follow_items - what D declares: a new array of pu_plan_item_t, by item;
   one whose name is NULL is not declared.  The names belong to F.  */
GArray *pu_follow_items (pu_follow_t *f, const pu_document_t *d);

G_END_DECLS

#endif
