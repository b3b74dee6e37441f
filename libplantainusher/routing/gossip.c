#include "routing/gossip.h"

#include <string.h>
#include <xxhash.h>

enum
{
  REPAIR_INTERVAL_MS = 500, /* until the next neighbour is told again */
  REPAIR_MAX = 16,          /* statements that it is told again at once */
  /* How long it is known that a server states nothing any more, so that older
     statements of it, which are still under way, do not count.  */
  ENDED_MS = 30000,
  SAME_TIME_MS = 500,
};

typedef struct
{
  char *server;
  pu_statement_t values; /* of `server` */
  guint64 change;        /* number of the change that led to `values` */
} fact_t;

typedef struct
{
  char *address;
  guint64 told; /* number of the last change that it was told of */
} neighbour_t;

/* An entry on the ring.  */
typedef struct
{
  guint64 hash;
  const char *address;
} ring_node_t;

struct pu_gossip
{
  GHashTable *facts;   /* server -> fact_t */
  GQueue repair_queue; /* of fact_t: repeated longest ago first */
  GArray *neighbours;
  guint64 changes;
  guint repair_next; /* index of the neighbour */
  guint64 repair_at;
};

static void
fact_free (gpointer fact)
{
  fact_t *f = fact;

  g_free (f->server);
  g_free (f);
}

static void
neighbour_clear (gpointer neighbour)
{
  g_free (((neighbour_t *)neighbour)->address);
}

pu_gossip_t *
pu_gossip_new (void)
{
  pu_gossip_t *g = g_new0 (pu_gossip_t, 1);

  g->facts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, fact_free);
  g->neighbours = g_array_new (FALSE, FALSE, sizeof (neighbour_t));
  g_array_set_clear_func (g->neighbours, neighbour_clear);
  return g;
}

void
pu_gossip_free (pu_gossip_t *g)
{
  if (g == NULL)
    return;
  g_queue_clear (&g->repair_queue);
  g_hash_table_destroy (g->facts);
  g_array_free (g->neighbours, TRUE);
  g_free (g);
}

/* --- neighbours --- */

static ring_node_t
ring_node_of (const char *address)
{
  return (ring_node_t){ XXH3_64bits (address, strlen (address)), address };
}

static gint
ring_nodes_compare (gconstpointer a, gconstpointer b)
{
  const ring_node_t *x = a;
  const ring_node_t *y = b;

  if (x->hash != y->hash)
    return x->hash < y->hash ? -1 : 1;
  return strcmp (x->address, y->address);
}

static guint64
told_before (const GArray *neighbours, const char *address)
{
  for (guint i = 0; i < neighbours->len; i++)
    {
      const neighbour_t *n = &g_array_index (neighbours, neighbour_t, i);

      if (strcmp (n->address, address) == 0)
        return n->told;
    }
  return 0;
}

void
pu_gossip_set_entries (pu_gossip_t *g, const char *self,
                       const GPtrArray *others)
{
  GArray *ring = g_array_new (FALSE, FALSE, sizeof (ring_node_t));
  GArray *found = g_array_new (FALSE, FALSE, sizeof (neighbour_t));
  ring_node_t own = ring_node_of (self);
  guint at = 0;

  g_array_set_clear_func (found, neighbour_clear);
  g_array_append_val (ring, own);
  for (guint i = 0; i < others->len; i++)
    {
      ring_node_t one = ring_node_of (g_ptr_array_index (others, i));

      g_array_append_val (ring, one);
    }
  g_array_sort (ring, ring_nodes_compare);
  while (g_array_index (ring, ring_node_t, at).address != self)
    at++;
  for (guint step = 1; step < ring->len; step *= 2)
    {
      const char *address
          = g_array_index (ring, ring_node_t, (at + step) % ring->len).address;
      neighbour_t n
          = { g_strdup (address), told_before (g->neighbours, address) };

      g_array_append_val (found, n);
    }
  g_array_free (ring, TRUE);
  g_array_free (g->neighbours, TRUE);
  g->neighbours = found;
}

guint
pu_gossip_neighbours (const pu_gossip_t *g)
{
  return g->neighbours->len;
}

/* --- facts --- */

static bool
says_nothing (const pu_statement_t *st)
{
  return st->rejections_per_s == 0 && st->limit_per_s == 0
         && st->crowded_until == 0;
}

/* Whether A and B are one time, as told by several entries.  */
static bool
is_same_time (guint64 a, guint64 b)
{
  return (a == 0) == (b == 0) && MAX (a, b) - MIN (a, b) < SAME_TIME_MS;
}

static bool
is_same (const pu_statement_t *a, const pu_statement_t *b)
{
  return a->incarnation == b->incarnation
         && a->rejections_per_s == b->rejections_per_s
         && a->limit_per_s == b->limit_per_s
         && is_same_time (a->crowded_until, b->crowded_until);
}

static bool
is_older (const pu_statement_t *st, const pu_statement_t *known)
{
  if (st->incarnation != known->incarnation)
    return st->incarnation < known->incarnation;
  return st->stated_at < known->stated_at;
}

static fact_t *
fact_add (pu_gossip_t *g, const char *server)
{
  fact_t *f = g_new0 (fact_t, 1);

  f->server = g_strdup (server);
  g_hash_table_insert (g->facts, f->server, f);
  g_queue_push_tail (&g->repair_queue, f);
  return f;
}

static void
fact_remove (pu_gossip_t *g, fact_t *f)
{
  g_queue_remove (&g->repair_queue, f);
  g_hash_table_remove (g->facts, f->server);
}

bool
pu_gossip_put (pu_gossip_t *g, const pu_statement_t *st)
{
  fact_t *f = g_hash_table_lookup (g->facts, st->server);

  if (f == NULL && says_nothing (st))
    return false;
  if (f == NULL)
    f = fact_add (g, st->server);
  if (f->change > 0 && is_older (st, &f->values))
    return false;
  if (f->change == 0 || !is_same (st, &f->values))
    f->change = ++g->changes;
  f->values = *st;
  f->values.server = f->server;
  return true;
}

void
pu_gossip_remove (pu_gossip_t *g, const char *server)
{
  fact_t *f = g_hash_table_lookup (g->facts, server);

  if (f != NULL)
    fact_remove (g, f);
}

/* --- telling --- */

static void
ended_remove (pu_gossip_t *g, guint64 now)
{
  GList *next;

  for (GList *l = g->repair_queue.head; l != NULL; l = next)
    {
      fact_t *f = l->data;

      next = l->next;
      if (says_nothing (&f->values) && f->values.stated_at + ENDED_MS < now)
        fact_remove (g, f);
    }
}

/* Appends the facts whose turn it is.  */
static void
repair_append (pu_gossip_t *g, guint64 told, GArray *out)
{
  guint most = MIN (REPAIR_MAX, g->repair_queue.length);

  for (guint i = 0; i < most; i++)
    {
      fact_t *f = g_queue_pop_head (&g->repair_queue);

      g_queue_push_tail (&g->repair_queue, f);
      if (f->change <= told)
        g_array_append_val (out, f->values);
    }
}

static bool
is_repair_due (const pu_gossip_t *g, guint i, guint64 now)
{
  return now >= g->repair_at && i == g->repair_next % g->neighbours->len;
}

const char *
pu_gossip_due (pu_gossip_t *g, guint i, guint64 now, GArray *out)
{
  const neighbour_t *n = &g_array_index (g->neighbours, neighbour_t, i);

  if (is_repair_due (g, i, now))
    {
      /* Whether it can be told or not: the next one may be reached.  */
      g->repair_next++;
      g->repair_at = now + REPAIR_INTERVAL_MS;
      ended_remove (g, now);
      repair_append (g, n->told, out);
    }
  for (const GList *l = n->told < g->changes ? g->repair_queue.head : NULL;
       l != NULL; l = l->next)
    {
      const fact_t *f = l->data;

      if (f->change > n->told)
        g_array_append_val (out, f->values);
    }
  return n->address;
}

void
pu_gossip_told (pu_gossip_t *g, guint i)
{
  g_array_index (g->neighbours, neighbour_t, i).told = g->changes;
}
