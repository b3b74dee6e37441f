#include "placement/ledger.h"

/* A backend server and the orders open towards it.  */
typedef struct
{
  guint32 backend;
  guint64 incarnation;
  guint64 seq;
  guint64 token;
  guint32 accelerators;
  guint32 memory_mb;
  bool fenced;
  bool leaving;
  bool down;
  GArray *held;   /* of pu_ledger_copy_t */
  GArray *orders; /* of pu_ledger_order_t, by rising token */
} entry_t;

struct pu_ledger
{
  guint breaks;
  GHashTable *entries; /* backend -> entry_t */
  GHashTable *tokens;  /* open token -> entry_t */
};

static void
entry_free (gpointer data)
{
  entry_t *n = data;

  g_array_unref (n->held);
  g_array_unref (n->orders);
  g_free (n);
}

pu_ledger_t *
pu_ledger_new (const pu_ledger_options_t *o)
{
  pu_ledger_t *l = g_new0 (pu_ledger_t, 1);

  if (o != NULL)
    l->breaks = o->test_breaks;
  l->entries = g_hash_table_new_full (NULL, NULL, NULL, entry_free);
  l->tokens
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return l;
}

void
pu_ledger_free (pu_ledger_t *l)
{
  if (l == NULL)
    return;
  g_hash_table_unref (l->tokens);
  g_hash_table_unref (l->entries);
  g_free (l);
}

static entry_t *
find_entry (const pu_ledger_t *l, guint32 backend)
{
  return g_hash_table_lookup (l->entries, GUINT_TO_POINTER (backend));
}

static entry_t *
make_entry (pu_ledger_t *l, guint32 backend)
{
  entry_t *n = find_entry (l, backend);

  if (n != NULL)
    return n;
  n = g_new0 (entry_t, 1);
  n->backend = backend;
  n->down = true;
  n->held = g_array_new (FALSE, FALSE, sizeof (pu_ledger_copy_t));
  n->orders = g_array_new (FALSE, FALSE, sizeof (pu_ledger_order_t));
  g_hash_table_insert (l->entries, GUINT_TO_POINTER (backend), n);
  return n;
}

static pu_ledger_copy_t *
find_held (const entry_t *n, guint32 copy)
{
  for (guint i = 0; i < n->held->len; i++)
    {
      pu_ledger_copy_t *h = &g_array_index (n->held, pu_ledger_copy_t, i);

      if (h->copy == copy)
        return h;
    }
  return NULL;
}

/* A copy may report less than it will take until it is ready, so the order
   that loads it counts until then.  */
static bool
still_loading (const entry_t *n, const pu_ledger_order_t *o)
{
  const pu_ledger_copy_t *h = find_held (n, o->copy);

  return o->kind == PU_LEDGER_LOAD && h != NULL
         && h->phase == PU_LEDGER_LOADING;
}

/* Whether the backend server would refuse the order O now, and has shown what
   it did before.  */
static bool
fenced_off (const pu_ledger_t *l, const entry_t *n, const pu_ledger_order_t *o)
{
  bool own = (l->breaks & PU_LEDGER_BREAK_OWN_TOKEN_FENCES) != 0;
  bool later = o->token < n->token || (own && o->token == n->token);

  return (n->fenced || own) && later && !still_loading (n, o);
}

static bool
counts (const pu_ledger_t *l, const entry_t *n, const pu_ledger_order_t *o)
{
  return o->kind == PU_LEDGER_LOAD && !fenced_off (l, n, o);
}

/* What is counted for COPY: the largest of its report and its load orders.  */
static guint32
copy_mb (const pu_ledger_t *l, const entry_t *n, guint32 copy)
{
  const pu_ledger_copy_t *h = find_held (n, copy);
  guint32 most = h != NULL ? h->memory_mb : 0;

  for (guint i = 0; i < n->orders->len; i++)
    {
      const pu_ledger_order_t *o
          = &g_array_index (n->orders, pu_ledger_order_t, i);

      if (o->copy == copy && counts (l, n, o))
        most = MAX (most, o->memory_mb);
    }
  return most;
}

/* Whether the load order at INDEX is the first for a copy that is not held,
   so that each copy is counted once.  */
static bool
counts_alone (const pu_ledger_t *l, const entry_t *n, guint index)
{
  const pu_ledger_order_t *o
      = &g_array_index (n->orders, pu_ledger_order_t, index);

  if (!counts (l, n, o) || find_held (n, o->copy) != NULL)
    return false;
  for (guint i = 0; i < index; i++)
    {
      const pu_ledger_order_t *p
          = &g_array_index (n->orders, pu_ledger_order_t, i);

      if (p->copy == o->copy && counts (l, n, p))
        return false;
    }
  return true;
}

static guint64
committed_mb (const pu_ledger_t *l, const entry_t *n)
{
  guint64 sum = 0;

  for (guint i = 0; i < n->held->len; i++)
    sum += copy_mb (l, n, g_array_index (n->held, pu_ledger_copy_t, i).copy);
  for (guint i = 0; i < n->orders->len; i++)
    {
      if (counts_alone (l, n, i))
        {
          sum += copy_mb (
              l, n, g_array_index (n->orders, pu_ledger_order_t, i).copy);
        }
    }
  return sum;
}

static void
close_order (pu_ledger_t *l, entry_t *n, guint index)
{
  guint64 token = g_array_index (n->orders, pu_ledger_order_t, index).token;

  g_hash_table_remove (l->tokens, &token);
  g_array_remove_index (n->orders, index);
}

/* Closes the unload orders that have been fenced off.  */
static void
close_unloads (pu_ledger_t *l, entry_t *n, GArray *closed)
{
  for (guint i = n->orders->len; i-- > 0;)
    {
      const pu_ledger_order_t *o
          = &g_array_index (n->orders, pu_ledger_order_t, i);
      guint64 token = o->token;

      if (o->kind == PU_LEDGER_LOAD || !fenced_off (l, n, o))
        continue;
      close_order (l, n, i);
      if (closed != NULL)
        g_array_append_val (closed, token);
    }
}

static void
take_header (entry_t *n, const pu_ledger_report_t *r)
{
  n->incarnation = r->incarnation;
  n->seq = r->seq;
  n->accelerators = r->accelerators;
  n->memory_mb = r->memory_mb;
  n->fenced = r->fenced;
  n->leaving = r->leaving;
  n->down = false;
}

static void
replace_held (entry_t *n, const pu_ledger_report_t *r)
{
  g_array_set_size (n->held, 0);
  if (r->n_held > 0)
    g_array_append_vals (n->held, r->held, r->n_held);
}

/* Believes only what the report adds: a copy that it leaves out stays
   counted, but no longer as ready; one that was loading stays so.  */
static void
merge_held (entry_t *n, const pu_ledger_report_t *r)
{
  for (guint i = 0; i < n->held->len; i++)
    {
      pu_ledger_copy_t *h = &g_array_index (n->held, pu_ledger_copy_t, i);

      if (h->phase != PU_LEDGER_LOADING)
        h->phase = PU_LEDGER_UNLOADING;
    }
  for (guint i = 0; i < r->n_held; i++)
    {
      pu_ledger_copy_t *h = find_held (n, r->held[i].copy);

      if (h == NULL)
        {
          g_array_append_val (n->held, r->held[i]);
          continue;
        }
      h->memory_mb = MAX (h->memory_mb, r->held[i].memory_mb);
      if (h->phase != PU_LEDGER_LOADING)
        h->phase = r->held[i].phase;
    }
}

pu_ledger_report_result_t
pu_ledger_backend_up (pu_ledger_t *l, const pu_ledger_report_t *r,
                      GArray *closed)
{
  entry_t *n = make_entry (l, r->backend);
  bool same = r->incarnation == n->incarnation;

  if (r->incarnation < n->incarnation)
    return PU_LEDGER_STALE;
  if (same && r->seq != 0 && r->seq <= n->seq)
    return PU_LEDGER_STALE;

  take_header (n, r);
  if (same && r->token < n->token)
    {
      merge_held (n, r);
      return PU_LEDGER_MERGED;
    }
  n->token = r->token;
  replace_held (n, r);
  close_unloads (l, n, closed);
  return PU_LEDGER_ACCEPTED;
}

bool
pu_ledger_backend_down (pu_ledger_t *l, guint32 backend, guint64 incarnation)
{
  entry_t *n = find_entry (l, backend);

  if (n == NULL || n->incarnation != incarnation)
    return false;
  n->down = true;
  while ((l->breaks & PU_LEDGER_BREAK_DOWN_CLOSES_ORDERS) != 0
         && n->orders->len > 0)
    close_order (l, n, 0);
  return true;
}

bool
pu_ledger_backend_leaving (pu_ledger_t *l, guint32 backend,
                           guint64 incarnation)
{
  entry_t *n = find_entry (l, backend);

  if (n == NULL || n->incarnation != incarnation)
    return false;
  n->leaving = true;
  return true;
}

bool
pu_ledger_remove_backend (pu_ledger_t *l, guint32 backend)
{
  entry_t *n = find_entry (l, backend);

  if (n == NULL || !n->down || n->orders->len > 0)
    return false;
  return g_hash_table_remove (l->entries, GUINT_TO_POINTER (backend));
}

/* What the memory of N would come to with a load of COPY.  */
static guint64
committed_with (const pu_ledger_t *l, const entry_t *n, guint32 copy,
                guint32 memory_mb)
{
  guint32 now_mb = copy_mb (l, n, copy);

  return committed_mb (l, n) - now_mb + MAX (now_mb, memory_mb);
}

static bool
fits (const pu_ledger_t *l, const entry_t *n, guint32 copy, guint32 memory_mb)
{
  return committed_with (l, n, copy, memory_mb) <= n->memory_mb;
}

static void
add_order (pu_ledger_t *l, entry_t *n, const pu_ledger_order_t *o)
{
  guint i = n->orders->len;

  while (i > 0
         && g_array_index (n->orders, pu_ledger_order_t, i - 1).token
                > o->token)
    i--;
  g_array_insert_val (n->orders, i, *o);
  g_hash_table_insert (l->tokens, g_memdup2 (&o->token, sizeof o->token), n);
}

bool
pu_ledger_reserve (pu_ledger_t *l, const pu_ledger_order_t *o, pu_error_t *e)
{
  entry_t *n = find_entry (l, o->backend);
  bool checked = (l->breaks & PU_LEDGER_BREAK_NO_MEMORY_CHECK) == 0;

  if (o->token == 0)
    return pu_error_set (e, PU_ERROR_INVALID, "an order needs a token");
  if (g_hash_table_contains (l->tokens, &o->token))
    return true;
  if (n == NULL || n->down)
    return pu_error_set (e, PU_ERROR_NOT_FOUND, "the backend server is down");
  if (n->incarnation != o->incarnation)
    {
      return pu_error_set (e, PU_ERROR_CONFLICT,
                           "the backend server has restarted");
    }
  if (o->kind == PU_LEDGER_LOAD && n->leaving)
    {
      return pu_error_set (e, PU_ERROR_CONFLICT,
                           "the backend server is leaving");
    }
  if (o->kind == PU_LEDGER_LOAD && checked
      && !fits (l, n, o->copy, o->memory_mb))
    {
      return pu_error_set (
          e, PU_ERROR_CONFLICT,
          "no memory: %" G_GUINT64_FORMAT " MB of %u MB would be committed",
          committed_with (l, n, o->copy, o->memory_mb), n->memory_mb);
    }
  add_order (l, n, o);
  return true;
}

bool
pu_ledger_release (pu_ledger_t *l, guint64 token)
{
  entry_t *n = g_hash_table_lookup (l->tokens, &token);

  if (n == NULL)
    return false;
  for (guint i = 0; i < n->orders->len; i++)
    {
      const pu_ledger_order_t *o
          = &g_array_index (n->orders, pu_ledger_order_t, i);

      if (o->token != token)
        continue;
      if (still_loading (n, o) || (n->fenced && counts (l, n, o)))
        return false;
      close_order (l, n, i);
      return true;
    }
  return false;
}

void
pu_ledger_restore_backend (pu_ledger_t *l, const pu_ledger_report_t *r,
                           bool down)
{
  entry_t *n = make_entry (l, r->backend);

  take_header (n, r);
  n->token = r->token;
  n->down = down;
  replace_held (n, r);
}

void
pu_ledger_restore_order (pu_ledger_t *l, const pu_ledger_order_t *o)
{
  if (!g_hash_table_contains (l->tokens, &o->token))
    add_order (l, make_entry (l, o->backend), o);
}

bool
pu_ledger_get_backend (const pu_ledger_t *l, guint32 backend,
                       pu_ledger_report_t *r, bool *down)
{
  const entry_t *n = find_entry (l, backend);

  if (n == NULL)
    return false;
  r->backend = backend;
  r->incarnation = n->incarnation;
  r->seq = n->seq;
  r->token = n->token;
  r->accelerators = n->accelerators;
  r->memory_mb = n->memory_mb;
  r->fenced = n->fenced;
  r->leaving = n->leaving;
  r->held = (const pu_ledger_copy_t *)(void *)n->held->data;
  r->n_held = n->held->len;
  if (down != NULL)
    *down = n->down;
  return true;
}

guint64
pu_ledger_committed_mb (const pu_ledger_t *l, guint32 backend)
{
  const entry_t *n = find_entry (l, backend);

  return n != NULL ? committed_mb (l, n) : 0;
}

guint64
pu_ledger_free_mb (const pu_ledger_t *l, guint32 backend)
{
  const entry_t *n = find_entry (l, backend);
  guint64 used;

  if (n == NULL || n->down || n->leaving)
    return 0;
  used = committed_mb (l, n);
  return used < n->memory_mb ? n->memory_mb - used : 0;
}

bool
pu_ledger_fits (const pu_ledger_t *l, guint32 backend, guint32 copy,
                guint32 memory_mb)
{
  const entry_t *n = find_entry (l, backend);

  return n != NULL && !n->down && !n->leaving && fits (l, n, copy, memory_mb);
}

const pu_ledger_order_t *
pu_ledger_order (const pu_ledger_t *l, guint64 token)
{
  const entry_t *n = g_hash_table_lookup (l->tokens, &token);

  for (guint i = 0; n != NULL && i < n->orders->len; i++)
    {
      const pu_ledger_order_t *o
          = &g_array_index (n->orders, pu_ledger_order_t, i);

      if (o->token == token)
        return o;
    }
  return NULL;
}

static gint
compare_tokens (gconstpointer a, gconstpointer b)
{
  guint64 x = ((const pu_ledger_order_t *)a)->token;
  guint64 y = ((const pu_ledger_order_t *)b)->token;

  return x < y ? -1 : x > y;
}

GArray *
pu_ledger_orders (const pu_ledger_t *l)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (pu_ledger_order_t));
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, l->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const entry_t *n = value;

      if (n->orders->len > 0)
        g_array_append_vals (all, n->orders->data, n->orders->len);
    }
  g_array_sort (all, compare_tokens);
  return all;
}
