#include "placement/ledger.h"

/* The last known state of a backend server and its open orders.  */
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
  GArray *copies; /* of pu_ledger_copy_t */
  GArray *orders; /* of pu_ledger_order_t, by ascending token */
} backend_t;

struct pu_ledger
{
  guint breaks;
  GHashTable *backends; /* backend_t, by backend handle */
  GHashTable *tokens;   /* backend_t, by token of an open order */
};

static void
backend_free (gpointer data)
{
  backend_t *n = data;

  g_array_unref (n->copies);
  g_array_unref (n->orders);
  g_free (n);
}

pu_ledger_t *
pu_ledger_new (const pu_ledger_options_t *o)
{
  pu_ledger_t *l = g_new0 (pu_ledger_t, 1);

  if (o != NULL)
    l->breaks = o->test_breaks;
  l->backends = g_hash_table_new_full (NULL, NULL, NULL, backend_free);
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
  g_hash_table_unref (l->backends);
  g_free (l);
}

static backend_t *
find_backend (const pu_ledger_t *l, guint32 backend)
{
  return g_hash_table_lookup (l->backends, GUINT_TO_POINTER (backend));
}

static backend_t *
get_or_add_backend (pu_ledger_t *l, guint32 backend)
{
  backend_t *n = find_backend (l, backend);

  if (n != NULL)
    return n;
  n = g_new0 (backend_t, 1);
  n->backend = backend;
  n->down = true;
  n->copies = g_array_new (FALSE, FALSE, sizeof (pu_ledger_copy_t));
  n->orders = g_array_new (FALSE, FALSE, sizeof (pu_ledger_order_t));
  g_hash_table_insert (l->backends, GUINT_TO_POINTER (backend), n);
  return n;
}

static pu_ledger_copy_t *
find_copy (const backend_t *n, guint32 copy)
{
  for (guint i = 0; i < n->copies->len; i++)
    {
      pu_ledger_copy_t *h = &g_array_index (n->copies, pu_ledger_copy_t, i);

      if (h->copy == copy)
        return h;
    }
  return NULL;
}

/* Whether O loads a copy that is reported as loading.  Until the copy is
   ready, less memory may be reported for it than it will take, so O counts
   until the copy is ready.  */
static bool
is_loading (const backend_t *n, const pu_ledger_order_t *o)
{
  const pu_ledger_copy_t *h = find_copy (n, o->copy);

  return o->kind == PU_LEDGER_LOAD && h != NULL
         && h->phase == PU_LEDGER_LOADING;
}

/* Whether the backend server N refuses the order O from now on and its last
   report includes every effect that O had.  */
static bool
is_fenced_off (const pu_ledger_t *l, const backend_t *n,
               const pu_ledger_order_t *o)
{
  bool own = (l->breaks & PU_LEDGER_BREAK_OWN_TOKEN_FENCES) != 0;
  bool later = o->token < n->token || (own && o->token == n->token);

  return (n->fenced || own) && later && !is_loading (n, o);
}

/* Which load orders count.  */
typedef enum
{
  COUNT_NOT_FENCED_OFF, /* those that the known process may still accept */
  COUNT_OPEN            /* all: a process that starts may accept each */
} counting_t;

/* Whether the memory of the order O is counted.  */
static bool
is_counted (const pu_ledger_t *l, const backend_t *n,
            const pu_ledger_order_t *o, counting_t counting)
{
  return o->kind == PU_LEDGER_LOAD
         && (counting == COUNT_OPEN || !is_fenced_off (l, n, o));
}

/* The MB counted for COPY on each accelerator: the largest of the memory
   reported for it and the memory of its load orders that count (see
   is_counted).  */
static guint32
copy_committed_mb (const pu_ledger_t *l, const backend_t *n, guint32 copy,
                   counting_t counting)
{
  const pu_ledger_copy_t *h = find_copy (n, copy);
  guint32 largest_mb = h != NULL ? h->memory_mb : 0;

  for (guint i = 0; i < n->orders->len; i++)
    {
      const pu_ledger_order_t *o
          = &g_array_index (n->orders, pu_ledger_order_t, i);

      if (o->copy == copy && is_counted (l, n, o, counting))
        largest_mb = MAX (largest_mb, o->memory_mb);
    }
  return largest_mb;
}

/* Whether the order at INDEX is the first counted load of its copy, and the
   copy is not reported.  With this, committed_mb counts each copy once.  */
static bool
is_first_load_of_new_copy (const pu_ledger_t *l, const backend_t *n,
                           guint index, counting_t counting)
{
  const pu_ledger_order_t *o
      = &g_array_index (n->orders, pu_ledger_order_t, index);

  if (!is_counted (l, n, o, counting) || find_copy (n, o->copy) != NULL)
    return false;
  for (guint i = 0; i < index; i++)
    {
      const pu_ledger_order_t *p
          = &g_array_index (n->orders, pu_ledger_order_t, i);

      if (p->copy == o->copy && is_counted (l, n, p, counting))
        return false;
    }
  return true;
}

static guint64
committed_mb (const pu_ledger_t *l, const backend_t *n, counting_t counting)
{
  guint64 sum_mb = 0;

  for (guint i = 0; i < n->copies->len; i++)
    {
      sum_mb += copy_committed_mb (
          l, n, g_array_index (n->copies, pu_ledger_copy_t, i).copy, counting);
    }
  for (guint i = 0; i < n->orders->len; i++)
    {
      if (is_first_load_of_new_copy (l, n, i, counting))
        {
          sum_mb += copy_committed_mb (
              l, n, g_array_index (n->orders, pu_ledger_order_t, i).copy,
              counting);
        }
    }
  return sum_mb;
}

static void
close_order (pu_ledger_t *l, backend_t *n, guint index)
{
  guint64 token = g_array_index (n->orders, pu_ledger_order_t, index).token;

  g_hash_table_remove (l->tokens, &token);
  g_array_remove_index (n->orders, index);
}

/* Closes the unload orders that have been fenced off.  */
static void
close_fenced_unloads (pu_ledger_t *l, backend_t *n, GArray *closed)
{
  for (guint i = n->orders->len; i-- > 0;)
    {
      const pu_ledger_order_t *o
          = &g_array_index (n->orders, pu_ledger_order_t, i);
      guint64 token = o->token;

      if (o->kind == PU_LEDGER_LOAD || !is_fenced_off (l, n, o))
        continue;
      close_order (l, n, i);
      if (closed != NULL)
        g_array_append_val (closed, token);
    }
}

static void
set_backend_fields (backend_t *n, const pu_ledger_report_t *r)
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
replace_copies (backend_t *n, const pu_ledger_report_t *r)
{
  g_array_set_size (n->copies, 0);
  if (r->n_held > 0)
    g_array_append_vals (n->copies, r->held, r->n_held);
}

/* Adds the copies and the memory of the report R to those known for N, and
   removes none.  A copy that R omits stays counted, but not as ready.  A copy
   that was loading stays loading.  */
static void
merge_copies (backend_t *n, const pu_ledger_report_t *r)
{
  for (guint i = 0; i < n->copies->len; i++)
    {
      pu_ledger_copy_t *h = &g_array_index (n->copies, pu_ledger_copy_t, i);

      if (h->phase != PU_LEDGER_LOADING)
        h->phase = PU_LEDGER_UNLOADING;
    }
  for (guint i = 0; i < r->n_held; i++)
    {
      pu_ledger_copy_t *h = find_copy (n, r->held[i].copy);

      if (h == NULL)
        {
          g_array_append_val (n->copies, r->held[i]);
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
  backend_t *n = get_or_add_backend (l, r->backend);
  bool same = r->incarnation == n->incarnation;

  if (r->incarnation < n->incarnation)
    return PU_LEDGER_STALE;
  if (same && r->seq != 0 && r->seq <= n->seq)
    return PU_LEDGER_STALE;

  set_backend_fields (n, r);
  if (same && r->token < n->token)
    {
      merge_copies (n, r);
      return PU_LEDGER_MERGED;
    }
  n->token = r->token;
  replace_copies (n, r);
  close_fenced_unloads (l, n, closed);
  return PU_LEDGER_ACCEPTED;
}

bool
pu_ledger_backend_down (pu_ledger_t *l, guint32 backend, guint64 incarnation)
{
  backend_t *n = find_backend (l, backend);

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
  backend_t *n = find_backend (l, backend);

  if (n == NULL || n->incarnation != incarnation)
    return false;
  n->leaving = true;
  return true;
}

bool
pu_ledger_remove_backend (pu_ledger_t *l, guint32 backend)
{
  backend_t *n = find_backend (l, backend);

  if (n == NULL || !n->down || n->orders->len > 0)
    return false;
  return g_hash_table_remove (l->backends, GUINT_TO_POINTER (backend));
}

/* The MB that would be counted on each accelerator of N with a load of COPY
   that takes MEMORY_MB.  */
static guint64
committed_with_load_mb (const pu_ledger_t *l, const backend_t *n, guint32 copy,
                        guint32 memory_mb)
{
  guint32 counted_mb = copy_committed_mb (l, n, copy, COUNT_NOT_FENCED_OFF);

  return committed_mb (l, n, COUNT_NOT_FENCED_OFF) - counted_mb
         + MAX (counted_mb, memory_mb);
}

static bool
fits (const pu_ledger_t *l, const backend_t *n, guint32 copy,
      guint32 memory_mb)
{
  return committed_with_load_mb (l, n, copy, memory_mb) <= n->memory_mb;
}

static void
add_order (pu_ledger_t *l, backend_t *n, const pu_ledger_order_t *o)
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
  backend_t *n = find_backend (l, o->backend);
  bool check_memory = (l->breaks & PU_LEDGER_BREAK_NO_MEMORY_CHECK) == 0;

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
  if (o->kind == PU_LEDGER_LOAD && check_memory
      && !fits (l, n, o->copy, o->memory_mb))
    {
      return pu_error_set (
          e, PU_ERROR_CONFLICT,
          "no memory: %" G_GUINT64_FORMAT " MB of %u MB would be committed",
          committed_with_load_mb (l, n, o->copy, o->memory_mb), n->memory_mb);
    }
  add_order (l, n, o);
  return true;
}

bool
pu_ledger_release (pu_ledger_t *l, guint64 token)
{
  backend_t *n = g_hash_table_lookup (l->tokens, &token);

  if (n == NULL)
    return false;
  for (guint i = 0; i < n->orders->len; i++)
    {
      const pu_ledger_order_t *o
          = &g_array_index (n->orders, pu_ledger_order_t, i);

      if (o->token != token)
        continue;
      if (is_loading (n, o)
          || (n->fenced && is_counted (l, n, o, COUNT_NOT_FENCED_OFF)))
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
  backend_t *n = get_or_add_backend (l, r->backend);

  set_backend_fields (n, r);
  n->token = r->token;
  n->down = down;
  replace_copies (n, r);
}

void
pu_ledger_restore_order (pu_ledger_t *l, const pu_ledger_order_t *o)
{
  if (!g_hash_table_contains (l->tokens, &o->token))
    add_order (l, get_or_add_backend (l, o->backend), o);
}

bool
pu_ledger_get_backend (const pu_ledger_t *l, guint32 backend,
                       pu_ledger_report_t *r, bool *down)
{
  const backend_t *n = find_backend (l, backend);

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
  r->held = (const pu_ledger_copy_t *)(void *)n->copies->data;
  r->n_held = n->copies->len;
  if (down != NULL)
    *down = n->down;
  return true;
}

guint64
pu_ledger_committed_mb (const pu_ledger_t *l, guint32 backend)
{
  const backend_t *n = find_backend (l, backend);

  return n != NULL ? committed_mb (l, n, COUNT_NOT_FENCED_OFF) : 0;
}

guint64
pu_ledger_planned_mb (const pu_ledger_t *l, guint32 backend)
{
  const backend_t *n = find_backend (l, backend);
  bool open
      = (l->breaks
         & (PU_LEDGER_BREAK_NO_MEMORY_CHECK | PU_LEDGER_BREAK_OWN_TOKEN_FENCES
            | PU_LEDGER_BREAK_FENCED_OFF_FREES))
        == 0;

  return n != NULL
             ? committed_mb (l, n, open ? COUNT_OPEN : COUNT_NOT_FENCED_OFF)
             : 0;
}

guint64
pu_ledger_free_mb (const pu_ledger_t *l, guint32 backend)
{
  const backend_t *n = find_backend (l, backend);
  guint64 used_mb;

  if (n == NULL || n->down || n->leaving)
    return 0;
  used_mb = committed_mb (l, n, COUNT_NOT_FENCED_OFF);
  return used_mb < n->memory_mb ? n->memory_mb - used_mb : 0;
}

bool
pu_ledger_fits (const pu_ledger_t *l, guint32 backend, guint32 copy,
                guint32 memory_mb)
{
  const backend_t *n = find_backend (l, backend);

  return n != NULL && !n->down && !n->leaving && fits (l, n, copy, memory_mb);
}

const pu_ledger_order_t *
pu_ledger_get_order (const pu_ledger_t *l, guint64 token)
{
  const backend_t *n = g_hash_table_lookup (l->tokens, &token);

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

  g_hash_table_iter_init (&i, l->backends);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const backend_t *n = value;

      if (n->orders->len > 0)
        g_array_append_vals (all, n->orders->data, n->orders->len);
    }
  g_array_sort (all, compare_tokens);
  return all;
}
