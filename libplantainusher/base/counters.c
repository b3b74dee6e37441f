#include "base/counters.h"

#include <string.h>

/* Upper bounds of the buckets, ms: around the targets of first tokens and of
   whole answers, which are some tens to some thousands.  */
static const guint bounds[]
    = { 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000 };

typedef struct
{
  char *name;
  gint64 value;
} counter_t;

typedef struct
{
  char *name;
  guint64 counts[G_N_ELEMENTS (bounds) + 1]; /* the last one: beyond all */
  guint64 sum;                               /* ms */
} latency_t;

struct pu_counters
{
  GArray *table;      /* of counter_t, by handle */
  GHashTable *byname; /* name -> handle + 1 */
  GArray *latencies;  /* of latency_t, by handle */
};

static void
counter_clear (gpointer data)
{
  g_free (((counter_t *)data)->name);
}

static void
latency_clear (gpointer data)
{
  g_free (((latency_t *)data)->name);
}

pu_counters_t *
pu_counters_new (void)
{
  pu_counters_t *c = g_new0 (pu_counters_t, 1);

  c->table = g_array_new (FALSE, TRUE, sizeof (counter_t));
  g_array_set_clear_func (c->table, counter_clear);
  c->byname = g_hash_table_new (g_str_hash, g_str_equal);
  c->latencies = g_array_new (FALSE, TRUE, sizeof (latency_t));
  g_array_set_clear_func (c->latencies, latency_clear);
  return c;
}

void
pu_counters_free (pu_counters_t *c)
{
  if (c == NULL)
    return;
  g_hash_table_destroy (c->byname);
  g_array_free (c->table, TRUE);
  g_array_free (c->latencies, TRUE);
  g_free (c);
}

pu_counter_t
pu_counters_get (pu_counters_t *c, const char *name)
{
  guint found = GPOINTER_TO_UINT (g_hash_table_lookup (c->byname, name));
  counter_t one = { 0 };

  if (found != 0)
    return found - 1;
  one.name = g_strdup (name);
  g_array_append_val (c->table, one);
  g_hash_table_insert (c->byname, one.name, GUINT_TO_POINTER (c->table->len));
  return c->table->len - 1;
}

void
pu_counters_add (pu_counters_t *c, pu_counter_t h, gint64 n)
{
  g_array_index (c->table, counter_t, h).value += n;
}

void
pu_counters_set (pu_counters_t *c, pu_counter_t h, gint64 value)
{
  g_array_index (c->table, counter_t, h).value = value;
}

gint64
pu_counters_value (const pu_counters_t *c, pu_counter_t h)
{
  return g_array_index (c->table, counter_t, h).value;
}

pu_latency_t
pu_counters_latency (pu_counters_t *c, const char *name)
{
  latency_t one = { 0 };

  for (guint i = 0; i < c->latencies->len; i++)
    {
      if (strcmp (g_array_index (c->latencies, latency_t, i).name, name) == 0)
        return i;
    }
  one.name = g_strdup (name);
  g_array_append_val (c->latencies, one);
  return c->latencies->len - 1;
}

void
pu_counters_observe (pu_counters_t *c, pu_latency_t h, guint64 ms)
{
  latency_t *l = &g_array_index (c->latencies, latency_t, h);
  guint i = 0;

  while (i < G_N_ELEMENTS (bounds) && ms > bounds[i])
    i++;
  l->counts[i]++;
  l->sum += ms;
}

static void
latency_print (const latency_t *l, GString *out)
{
  guint64 below = 0;

  for (guint i = 0; i < G_N_ELEMENTS (bounds); i++)
    {
      below += l->counts[i];
      g_string_append_printf (
          out, "plantainusher_%s_bucket{le=\"%u\"} %" G_GUINT64_FORMAT "\n",
          l->name, bounds[i], below);
    }
  below += l->counts[G_N_ELEMENTS (bounds)];
  g_string_append_printf (
      out,
      "plantainusher_%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
      "\nplantainusher_%s_sum %" G_GUINT64_FORMAT
      "\nplantainusher_%s_count %" G_GUINT64_FORMAT "\n",
      l->name, below, l->name, l->sum, l->name, below);
}

static gint
by_name (gconstpointer a, gconstpointer b)
{
  const counter_t *const *x = a;
  const counter_t *const *y = b;

  return strcmp ((*x)->name, (*y)->name);
}

void
pu_counters_print (const pu_counters_t *c, GString *out)
{
  GPtrArray *sorted = g_ptr_array_new ();

  for (guint i = 0; i < c->table->len; i++)
    g_ptr_array_add (sorted, &g_array_index (c->table, counter_t, i));
  g_ptr_array_sort (sorted, by_name);
  for (guint i = 0; i < sorted->len; i++)
    {
      const counter_t *one = g_ptr_array_index (sorted, i);

      g_string_append_printf (out, "plantainusher_%s %" G_GINT64_FORMAT "\n",
                              one->name, one->value);
    }
  g_ptr_array_free (sorted, TRUE);
  for (guint i = 0; i < c->latencies->len; i++)
    latency_print (&g_array_index (c->latencies, latency_t, i), out);
}
