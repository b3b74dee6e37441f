#ifndef FAKES_MEMORY_H
#define FAKES_MEMORY_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "ledger.h"

G_BEGIN_DECLS

/*
 * memory - the true memory of a fake engine: its copies and the orders that
 * change them.  Times are milliseconds of the caller's clock.
 */

typedef struct fake_memory fake_memory_t;

typedef enum
{
  FAKE_COPY_LOADING,
  FAKE_COPY_READY,
  FAKE_COPY_DRAINING,
  FAKE_COPY_UNLOADING
} fake_copy_phase_t;

typedef struct
{
  guint memory_mb; /* of each accelerator */
  guint load_ms;
  bool fenced; /* refuses an order with an old token */
  bool greedy; /* takes a load that does not fit, in place of 507 */
  fake_ledger_t *ledger;
} fake_memory_options_t;

typedef struct
{
  guint64 token;
  bool load; /* else unload */
  const char *model;
  const char *version;
  guint memory_mb;
  bool will_fail; /* the load ends with no copy */
} fake_order_t;

fake_memory_t *fake_memory_new (const fake_memory_options_t *o);
void fake_memory_free (fake_memory_t *m);

/* fake_memory_preload - reads "model:version:mb,..."; the copies are ready. */
bool fake_memory_preload (fake_memory_t *m, const char *models);

/* fake_memory_order - carries out an order; returns the HTTP status of its
   answer: 202, 409 (old token) or 507 (no memory).  */
int fake_memory_order (fake_memory_t *m, const fake_order_t *o, guint64 now);

/* fake_memory_tick - goes on with loads and unloads.  BUSY tells how many
   requests run on a model.  */
void fake_memory_tick (fake_memory_t *m, guint64 now,
                       guint (*busy) (void *data, const char *model),
                       void *data);

/* fake_memory_serves - whether MODEL has a ready copy.  */
bool fake_memory_serves (const fake_memory_t *m, const char *model);

/* fake_memory_copies - a new array as in an announcement.  */
json_t *fake_memory_copies (const fake_memory_t *m);

/* fake_memory_add_state - adds the truth to an object of /fake/state.  */
void fake_memory_add_state (const fake_memory_t *m, json_t *out);

guint64 fake_memory_token (const fake_memory_t *m);

/* fake_memory_changes - rises with each change of the copies.  */
guint64 fake_memory_changes (const fake_memory_t *m);

G_END_DECLS

#endif
