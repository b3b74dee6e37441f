#include "document/internal.h"

/* Maximum number of models named in a message; the others are only
   counted.  */
#define NAMED_MAX 5

/* Memory that the copies of a base model need.  */
typedef struct
{
  const pu_model_t *model;
  pu_model_handle_t handle;
  guint32 copies;
  guint32 mb;         /* memory of one copy on each accelerator */
  guint64 adapter_mb; /* total memory of one copy of each adapter of the
                         model */
} memory_need_t;

/* State of one check: the models to place, largest first, and the backend
   servers, smallest first.  */
typedef struct
{
  const pu_document_t *d;
  memory_need_t *needs;
  guint n_needs;
  pu_capacity_t *servers;
  guint n_servers;
  pu_findings_t *f;
  pu_document_break_t test_break;
} fit_t;

static gint
compare_needs (gconstpointer a, gconstpointer b)
{
  const memory_need_t *x = a;
  const memory_need_t *y = b;

  if (x->model->accelerators != y->model->accelerators)
    return x->model->accelerators > y->model->accelerators ? -1 : 1;
  if (x->mb != y->mb)
    return x->mb > y->mb ? -1 : 1;
  return x->handle < y->handle ? -1 : 1;
}

static gint
compare_servers (gconstpointer a, gconstpointer b)
{
  const pu_capacity_t *x = a;
  const pu_capacity_t *y = b;

  if (x->accelerators != y->accelerators)
    return x->accelerators < y->accelerators ? -1 : 1;
  if (x->memory_mb != y->memory_mb)
    return x->memory_mb < y->memory_mb ? -1 : 1;
  return 0;
}

/* Returns the memory need of the base model H.  A base model needs at least as
   many copies as each of its adapters.  */
static memory_need_t
need_of (const pu_document_t *d, pu_model_handle_t h)
{
  memory_need_t need = { .model = &d->models[h], .handle = h };
  guint n;
  const pu_model_handle_t *adapters = pu_document_adapters (d, h, &n);

  need.copies = need.model->min_copies;
  need.mb = pu_model_load_mb (need.model);
  for (guint i = 0; i < n; i++)
    {
      const pu_model_t *a = &d->models[adapters[i]];

      need.copies = MAX (need.copies, a->min_copies);
      need.adapter_mb += a->memory_mb;
    }
  return need;
}

static void
fit_init (fit_t *fit, const pu_document_t *d, const pu_capacity_t *c, size_t n)
{
  fit->d = d;
  fit->f = pu_findings_new ();
  fit->needs = g_new0 (memory_need_t, d->bases.n + 1);
  for (pu_model_handle_t h = 0; h < d->n_models; h++)
    {
      if (d->models[h].kind == PU_MODEL_BASE)
        fit->needs[fit->n_needs++] = need_of (d, h);
    }
  fit->servers = g_new (pu_capacity_t, n);
  fit->n_servers = (guint)n;
  for (size_t i = 0; i < n; i++)
    fit->servers[i] = c[i];
  if (fit->n_needs > 0)
    qsort (fit->needs, fit->n_needs, sizeof (memory_need_t), compare_needs);
  qsort (fit->servers, n, sizeof (pu_capacity_t), compare_servers);
}

/* Returns the index of the first server with at least WIDTH accelerators.
   Servers are sorted by number of accelerators, so all later servers have at
   least as many.  */
static guint
first_server (const fit_t *fit, guint32 width)
{
  guint i = 0;

  while (i < fit->n_servers && fit->servers[i].accelerators < width)
    i++;
  return i;
}

/* Returns how many servers have at least WIDTH accelerators with at least MB
   of memory each.  Sets LARGEST to the largest memory per accelerator of any
   server with at least WIDTH accelerators, or to 0.  */
static guint
count_servers (const fit_t *fit, guint32 width, guint64 mb, guint32 *largest)
{
  guint n = 0;

  *largest = 0;
  for (guint i = first_server (fit, width); i < fit->n_servers; i++)
    {
      *largest = MAX (*largest, fit->servers[i].memory_mb);
      if (fit->servers[i].memory_mb >= mb)
        n++;
    }
  return n;
}

static void G_GNUC_PRINTF (4, 5)
    add_finding (const fit_t *fit, const char *table, const char *name,
                 const char *format, ...)
{
  char *path = g_strdup_printf ("/%s/%s", table, name);
  va_list ap;
  char *message;

  va_start (ap, format);
  message = g_strdup_vprintf (format, ap);
  va_end (ap);
  pu_findings_add (fit->f, path, "%s", message);
  g_free (message);
  g_free (path);
}

/* Adds a finding when fewer than COPIES servers can hold a copy of M that
   takes MB on each accelerator.  WHAT lists the parts of MB in the
   message.  */
static void
check_single (const fit_t *fit, const pu_model_t *m, guint32 copies,
              guint64 mb, const char *what)
{
  const char *table = m->kind == PU_MODEL_BASE ? "models" : "adapters";
  guint32 largest;
  guint able = count_servers (fit, m->accelerators, mb, &largest);

  if (able >= copies)
    return;
  if (largest == 0)
    {
      add_finding (fit, table, m->name,
                   "needs %u accelerators; no backend server has so many",
                   m->accelerators);
    }
  else if (able == 0)
    {
      add_finding (fit, table, m->name,
                   "needs %" G_GUINT64_FORMAT
                   " MB (%s) on each of %u accelerators; "
                   "the largest backend server has %u MB",
                   mb, what, m->accelerators, largest);
    }
  else
    {
      add_finding (fit, table, m->name,
                   "needs %u copies of %" G_GUINT64_FORMAT
                   " MB (%s) on different "
                   "backend servers; only %u can hold one",
                   copies, mb, what, able);
    }
}

static void
check_adapters_singly (const fit_t *fit, const memory_need_t *need)
{
  guint n;
  const pu_model_handle_t *adapters
      = pu_document_adapters (fit->d, need->handle, &n);

  for (guint i = 0; i < n; i++)
    {
      const pu_model_t *a = &fit->d->models[adapters[i]];
      char *what = g_strdup_printf ("%u and its base %s, %u", a->memory_mb,
                                    need->model->name, need->mb);

      check_single (fit, a, a->min_copies, (guint64)need->mb + a->memory_mb,
                    what);
      g_free (what);
    }
}

static void
check_models_singly (const fit_t *fit)
{
  for (guint i = 0; i < fit->n_needs; i++)
    {
      const memory_need_t *need = &fit->needs[i];
      size_t before = pu_findings_count (fit->f);
      char *what
          = g_strdup_printf ("weights %u, cache %u", need->model->memory_mb,
                             need->model->kv_cache_mb);

      check_single (fit, need->model, need->copies, need->mb, what);
      g_free (what);
      if (pu_findings_count (fit->f) == before)
        check_adapters_singly (fit, need);
    }
}

static gint
compare_totals (gconstpointer a, gconstpointer b)
{
  const memory_need_t *x = *(const memory_need_t *const *)a;
  const memory_need_t *y = *(const memory_need_t *const *)b;
  guint64 of_x = (guint64)x->copies * x->mb;
  guint64 of_y = (guint64)y->copies * y->mb;

  if (of_x != of_y)
    return of_x > of_y ? -1 : 1;
  return x->handle < y->handle ? -1 : 1;
}

/* Returns a text with the copies and the memory of the first N needs, such as
   "a 2 x 20000 MB, b 1 x 14000 MB, 12 more", in descending order of total
   memory.  */
static char *
name_needs (const fit_t *fit, guint n)
{
  GPtrArray *order = g_ptr_array_new ();
  GString *out = g_string_new (NULL);

  for (guint i = 0; i < n; i++)
    g_ptr_array_add (order, &fit->needs[i]);
  g_ptr_array_sort (order, compare_totals);
  for (guint i = 0; i < MIN (n, NAMED_MAX); i++)
    {
      const memory_need_t *need = g_ptr_array_index (order, i);

      g_string_append_printf (out, "%s%s %u x %u MB", i > 0 ? ", " : "",
                              need->model->name, need->copies, need->mb);
    }
  if (n > NAMED_MAX)
    g_string_append_printf (out, ", %u more", n - NAMED_MAX);
  g_ptr_array_free (order, TRUE);
  return g_string_free (out, FALSE);
}

static guint64
min_adapters_mb (const fit_t *fit, const memory_need_t *need)
{
  guint n;
  const pu_model_handle_t *adapters
      = pu_document_adapters (fit->d, need->handle, &n);
  guint64 sum = 0;

  for (guint i = 0; i < n; i++)
    {
      const pu_model_t *a = &fit->d->models[adapters[i]];

      sum += (guint64)a->min_copies * a->memory_mb;
    }
  return sum;
}

static guint64
sum_memory_mb (const fit_t *fit, guint first)
{
  guint64 sum = 0;

  if (fit->test_break == PU_DOCUMENT_BREAK_TOTAL_MEMORY)
    first++;
  for (guint i = first; i < fit->n_servers; i++)
    sum += fit->servers[i].memory_mb;
  return sum;
}

/* Adds a finding when the total memory of the first N needs, which all need at
   least WIDTH accelerators, exceeds that of the servers with at least WIDTH
   accelerators.  */
static void
check_total_memory (const fit_t *fit, guint n, guint32 width)
{
  guint first = first_server (fit, width);
  guint64 available_mb = sum_memory_mb (fit, first);
  guint64 models = 0;
  guint64 adapter_mb = 0;
  char *names;

  for (guint i = 0; i < n; i++)
    {
      models += (guint64)fit->needs[i].copies * fit->needs[i].mb;
      adapter_mb += min_adapters_mb (fit, &fit->needs[i]);
    }
  if (models + adapter_mb <= available_mb)
    return;
  names = name_needs (fit, n);
  pu_findings_add (fit->f, "/models",
                   "the models need %" G_GUINT64_FORMAT " MB (%s) and their "
                   "adapters %" G_GUINT64_FORMAT " MB, %" G_GUINT64_FORMAT
                   " MB in total; the %u backend servers with at least "
                   "%u accelerators have %" G_GUINT64_FORMAT
                   " MB per accelerator in total",
                   models, names, adapter_mb, models + adapter_mb,
                   fit->n_servers - first, width, available_mb);
  g_free (names);
}

/* Counts the copies of at least MB that the first N needs require.  Adds a
   finding and returns false when the servers with at least WIDTH accelerators
   cannot hold that many copies.  */
static bool
check_copy_count (const fit_t *fit, guint n, guint32 width, guint32 mb)
{
  guint64 copies = 0;
  guint64 places = 0;
  guint models = 0;

  for (guint i = 0; i < n; i++)
    {
      if (fit->needs[i].mb < mb)
        continue;
      copies += fit->needs[i].copies;
      models++;
    }
  for (guint i = first_server (fit, width); i < fit->n_servers; i++)
    places += MIN (fit->servers[i].memory_mb / mb, models);
  if (copies <= places)
    return true;
  pu_findings_add (fit->f, "/models",
                   "%u models need %" G_GUINT64_FORMAT
                   " copies of at least %u "
                   "MB each; the backend servers with at least %u "
                   "accelerators have room for %" G_GUINT64_FORMAT,
                   models, copies, mb, width, places);
  return false;
}

/* For each number of accelerators that some model needs, checks together all
   models that need at least that number.  */
static void
check_classes (const fit_t *fit)
{
  for (guint n = 1; n <= fit->n_needs; n++)
    {
      guint32 width = fit->needs[n - 1].model->accelerators;

      /* Skip to the last need with this number of accelerators.  */
      if (n < fit->n_needs && fit->needs[n].model->accelerators == width)
        continue;
      check_total_memory (fit, n, width);
      for (guint i = 0; i < n && pu_findings_count (fit->f) == 0; i++)
        check_copy_count (fit, n, width, fit->needs[i].mb);
    }
}

/* Places COPIES copies of MB each on different servers, and subtracts MB from
   the FREE_MB of each.  The candidates are the servers at the indexes FIRST to
   END - 1 of PLACES, or of all servers when PLACES is NULL.  Appends the
   chosen servers to CHOSEN unless it is NULL.  Returns whether all copies were
   placed.  */
static bool
place_copies (guint64 *free_mb, const GArray *places, guint first, guint end,
              guint32 copies, guint64 mb, GArray *chosen)
{
  for (guint i = first; i < end && copies > 0; i++)
    {
      guint server = places == NULL ? i : g_array_index (places, guint, i);

      if (free_mb[server] < mb)
        continue;
      free_mb[server] -= mb;
      copies--;
      if (chosen != NULL)
        g_array_append_val (chosen, server);
    }
  return copies == 0;
}

static gint
compare_adapters (gconstpointer a, gconstpointer b, gpointer data)
{
  const pu_document_t *d = data;
  guint32 x = d->models[*(const pu_model_handle_t *)a].memory_mb;
  guint32 y = d->models[*(const pu_model_handle_t *)b].memory_mb;

  if (x == y)
    return 0;
  return x > y ? -1 : 1;
}

static bool
place_adapters (const fit_t *fit, guint64 *free_mb, const memory_need_t *need,
                const GArray *places)
{
  guint n;
  const pu_model_handle_t *adapters
      = pu_document_adapters (fit->d, need->handle, &n);
  pu_model_handle_t *order
      = g_memdup2 (adapters, n * sizeof (pu_model_handle_t));
  bool good = true;

  if (n > 0)
    {
      g_qsort_with_data (order, (gint)n, sizeof *order, compare_adapters,
                         (gpointer)fit->d);
    }
  for (guint i = 0; good && i < n; i++)
    {
      const pu_model_t *a = &fit->d->models[order[i]];

      good = place_copies (free_mb, places, 0, places->len, a->min_copies,
                           a->memory_mb, NULL);
    }
  g_free (order);
  return good;
}

static guint
first_candidate (const fit_t *fit, const memory_need_t *need)
{
  if (fit->test_break == PU_DOCUMENT_BREAK_ACCELERATORS)
    return 0;
  return first_server (fit, need->model->accelerators);
}

/* Packs the models by first-fit decreasing, and returns whether all were
   placed.  With RESERVE_ADAPTERS each copy of a model reserves memory for all
   adapters of the model; otherwise the adapters are placed afterwards in the
   remaining memory.  */
static bool
pack (const fit_t *fit, bool reserve_adapters)
{
  guint64 *free_mb = g_new (guint64, fit->n_servers);
  GArray **places = g_new0 (GArray *, fit->n_needs + 1);
  bool good = true;

  for (guint i = 0; i < fit->n_servers; i++)
    free_mb[i] = fit->servers[i].memory_mb;
  for (guint i = 0; good && i < fit->n_needs; i++)
    {
      const memory_need_t *need = &fit->needs[i];

      places[i] = g_array_new (FALSE, FALSE, sizeof (guint));
      good = place_copies (
          free_mb, NULL, first_candidate (fit, need), fit->n_servers,
          need->copies, need->mb + (reserve_adapters ? need->adapter_mb : 0),
          places[i]);
    }
  for (guint i = 0; good && !reserve_adapters && i < fit->n_needs; i++)
    good = place_adapters (fit, free_mb, &fit->needs[i], places[i]);
  for (guint i = 0; i < fit->n_needs; i++)
    {
      g_clear_pointer (&places[i], g_array_unref);
    }
  g_free (places);
  g_free (free_mb);
  return good;
}

static pu_fit_t
decide_fit (const fit_t *fit)
{
  if (pack (fit, true) || pack (fit, false))
    return PU_FIT_PACKED;
  check_models_singly (fit);
  check_classes (fit);
  if (pu_findings_count (fit->f) > 0)
    return PU_FIT_IMPOSSIBLE;
  return PU_FIT_UNPROVED;
}

static void
copy_findings (pu_findings_t *to, const pu_findings_t *from)
{
  for (size_t i = 0; i < pu_findings_count (from); i++)
    {
      const pu_finding_t *one = pu_findings_get (from, i);

      pu_findings_add (to, one->path, "%s", one->message);
    }
}

pu_fit_t
pu_document_check_fit_with_break (const pu_document_t *d,
                                  const pu_capacity_t *c, size_t n,
                                  pu_document_break_t test_break,
                                  pu_findings_t *f)
{
  fit_t fit = { .test_break = test_break };
  pu_fit_t result;

  if (n == 0)
    return PU_FIT_UNPROVED;
  fit_init (&fit, d, c, n);
  result = decide_fit (&fit);
  copy_findings (f, fit.f);
  pu_findings_free (fit.f);
  g_free (fit.needs);
  g_free (fit.servers);
  return result;
}

pu_fit_t
pu_document_check_fit (const pu_document_t *d, const pu_capacity_t *c,
                       size_t n, pu_findings_t *f)
{
  return pu_document_check_fit_with_break (d, c, n, PU_DOCUMENT_BREAK_NONE, f);
}
