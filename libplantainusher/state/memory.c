#include "state/memory.h"

#include <stdlib.h>
#include <string.h>

#include "placement/ledger.h"

/* Maps names to integer handles and back.  */
typedef struct
{
  GHashTable *handles; /* name -> handle + 1 */
  GPtrArray *names;    /* by handle */
} name_map_t;

struct pu_memory
{
  pu_ledger_t *ledger;
  name_map_t backends;
  name_map_t copies; /* "model\nversion" */
};

static void
name_map_init (name_map_t *n)
{
  n->names = g_ptr_array_new_with_free_func (g_free);
  n->handles = g_hash_table_new (g_str_hash, g_str_equal);
}

static void
name_map_clear (name_map_t *n)
{
  g_hash_table_destroy (n->handles);
  g_ptr_array_free (n->names, TRUE);
}

static bool
name_map_find (const name_map_t *n, const char *name, guint32 *handle)
{
  guint found = GPOINTER_TO_UINT (g_hash_table_lookup (n->handles, name));

  *handle = found - 1;
  return found != 0;
}

/* Returns the handle of NAME; assigns the next one to a new name.  */
static guint32
name_map_intern (name_map_t *n, const char *name)
{
  char *kept;
  guint32 handle;

  if (name_map_find (n, name, &handle))
    return handle;
  kept = g_strdup (name);
  g_ptr_array_add (n->names, kept);
  g_hash_table_insert (n->handles, kept, GUINT_TO_POINTER (n->names->len));
  return n->names->len - 1;
}

static guint32
copy_handle (pu_memory_t *m, const char *model, const char *version)
{
  char *name = g_strconcat (model, "\n", version, NULL);
  guint32 handle = name_map_intern (&m->copies, name);

  g_free (name);
  return handle;
}

pu_memory_t *
pu_memory_new (void)
{
  pu_memory_t *m = g_new0 (pu_memory_t, 1);

  m->ledger = pu_ledger_new (NULL);
  name_map_init (&m->backends);
  name_map_init (&m->copies);
  return m;
}

void
pu_memory_free (pu_memory_t *m)
{
  if (m == NULL)
    return;
  pu_ledger_free (m->ledger);
  name_map_clear (&m->backends);
  name_map_clear (&m->copies);
  g_free (m);
}

/* Converts B to a report for the ledger.  The caller frees its list of copies
   with g_free.  */
static pu_ledger_report_t
make_report (pu_memory_t *m, const pu_backend_record *b)
{
  u_int n = b->copies.copies_len;
  pu_ledger_copy_t *held = g_new0 (pu_ledger_copy_t, MAX (n, 1));
  pu_ledger_report_t r = { 0 };

  for (u_int i = 0; i < n; i++)
    {
      const pu_copy_record *c = &b->copies.copies_val[i];

      held[i].copy = copy_handle (m, c->model, c->model_version);
      held[i].memory_mb = c->memory_mb;
      held[i].phase = (pu_ledger_phase_t)c->phase;
    }
  r.backend = name_map_intern (&m->backends, b->name);
  r.incarnation = b->incarnation;
  r.seq = b->seq;
  r.token = b->token;
  r.accelerators = b->accelerators;
  r.memory_mb = b->memory_mb;
  r.fenced = b->fenced;
  r.leaving = b->leaving;
  r.held = held;
  r.n_held = n;
  return r;
}

static void
free_copies (pu_backend_record *b)
{
  for (u_int i = 0; i < b->copies.copies_len; i++)
    xdr_free ((xdrproc_t)xdr_pu_copy_record, (char *)&b->copies.copies_val[i]);
  free (b->copies.copies_val);
}

/* Sets C to the record of H, the name of whose handle is "model\nversion".  */
static void
set_copy (const pu_memory_t *m, pu_copy_record *c, const pu_ledger_copy_t *h)
{
  const char *name = g_ptr_array_index (m->copies.names, h->copy);
  const char *line = strchr (name, '\n');

  c->model = strndup (name, (size_t)(line - name));
  c->model_version = strdup (line + 1);
  c->memory_mb = h->memory_mb;
  c->phase = (pu_copy_phase)h->phase;
}

/* Replaces the copies and the token in B by those that the ledger has for
   BACKEND.  */
static void
copy_from_ledger (const pu_memory_t *m, guint32 backend, pu_backend_record *b)
{
  pu_ledger_report_t r;

  if (!pu_ledger_get_backend (m->ledger, backend, &r, NULL))
    return;
  free_copies (b);
  b->token = r.token;
  b->copies.copies_len = r.n_held;
  b->copies.copies_val = calloc (MAX (r.n_held, 1), sizeof (pu_copy_record));
  for (guint i = 0; i < r.n_held; i++)
    set_copy (m, &b->copies.copies_val[i], &r.held[i]);
}

bool
pu_memory_backend_up (pu_memory_t *m, pu_backend_record *b, GArray *closed)
{
  pu_ledger_report_t r = make_report (m, b);
  pu_ledger_report_result_t result
      = pu_ledger_backend_up (m->ledger, &r, closed);

  g_free ((void *)r.held);
  if (result == PU_LEDGER_MERGED)
    copy_from_ledger (m, r.backend, b);
  return result != PU_LEDGER_STALE;
}

void
pu_memory_backend_down (pu_memory_t *m, const pu_backend_record *b)
{
  pu_ledger_backend_down (m->ledger, name_map_intern (&m->backends, b->name),
                          b->incarnation);
}

void
pu_memory_backend_leaving (pu_memory_t *m, const pu_backend_record *b)
{
  pu_ledger_backend_leaving (
      m->ledger, name_map_intern (&m->backends, b->name), b->incarnation);
}

void
pu_memory_remove_backend (pu_memory_t *m, const char *backend)
{
  pu_ledger_remove_backend (m->ledger,
                            name_map_intern (&m->backends, backend));
}

static pu_ledger_order_t
make_order (pu_memory_t *m, const pu_order_record *o)
{
  pu_ledger_order_t n = { 0 };

  n.token = o->token;
  n.kind = (pu_ledger_kind_t)o->kind;
  n.backend = name_map_intern (&m->backends, o->backend);
  n.incarnation = o->incarnation;
  n.copy = copy_handle (m, o->model, o->model_version);
  n.memory_mb = o->memory_mb;
  return n;
}

bool
pu_memory_reserve (pu_memory_t *m, const pu_order_record *o, pu_error_t *e)
{
  pu_ledger_order_t n = make_order (m, o);

  return pu_ledger_reserve (m->ledger, &n, e);
}

bool
pu_memory_release (pu_memory_t *m, guint64 token)
{
  return pu_ledger_release (m->ledger, token);
}

void
pu_memory_restore_backend (pu_memory_t *m, const pu_backend_record *b)
{
  pu_ledger_report_t r = make_report (m, b);

  pu_ledger_restore_backend (m->ledger, &r, b->down);
  g_free ((void *)r.held);
}

void
pu_memory_restore_order (pu_memory_t *m, const pu_order_record *o)
{
  pu_ledger_order_t n = make_order (m, o);

  pu_ledger_restore_order (m->ledger, &n);
}

bool
pu_memory_has_orders (const pu_memory_t *m, const char *backend)
{
  GArray *orders = pu_ledger_orders (m->ledger);
  bool found = false;
  guint32 handle;

  if (name_map_find (&m->backends, backend, &handle))
    {
      for (guint i = 0; i < orders->len; i++)
        {
          found = found
                  || g_array_index (orders, pu_ledger_order_t, i).backend
                         == handle;
        }
    }
  g_array_unref (orders);
  return found;
}

guint64
pu_memory_committed_mb (const pu_memory_t *m, const char *backend)
{
  guint32 handle;

  if (!name_map_find (&m->backends, backend, &handle))
    return 0;
  return pu_ledger_committed_mb (m->ledger, handle);
}

guint64
pu_memory_planned_mb (const pu_memory_t *m, const char *backend)
{
  guint32 handle;

  if (!name_map_find (&m->backends, backend, &handle))
    return 0;
  return pu_ledger_planned_mb (m->ledger, handle);
}
