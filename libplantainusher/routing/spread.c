#include "routing/spread.h"

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
  guint64 place;
  const char *address;
} seat_t;

struct pu_spread
{
  GHashTable *facts; /* server -> fact_t */
  GQueue turns;      /* of fact_t: told again longest ago first */
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

pu_spread_t *
pu_spread_new (void)
{
  pu_spread_t *sp = g_new0 (pu_spread_t, 1);

  sp->facts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, fact_free);
  sp->neighbours = g_array_new (FALSE, FALSE, sizeof (neighbour_t));
  g_array_set_clear_func (sp->neighbours, neighbour_clear);
  return sp;
}

void
pu_spread_free (pu_spread_t *sp)
{
  if (sp == NULL)
    return;
  g_queue_clear (&sp->turns);
  g_hash_table_destroy (sp->facts);
  g_array_free (sp->neighbours, TRUE);
  g_free (sp);
}

/* --- neighbours --- */

static seat_t
seat_of (const char *address)
{
  return (seat_t){ XXH3_64bits (address, strlen (address)), address };
}

static gint
seats_compare (gconstpointer a, gconstpointer b)
{
  const seat_t *x = a;
  const seat_t *y = b;

  if (x->place != y->place)
    return x->place < y->place ? -1 : 1;
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
pu_spread_set_entries (pu_spread_t *sp, const char *self,
                       const GPtrArray *others)
{
  GArray *ring = g_array_new (FALSE, FALSE, sizeof (seat_t));
  GArray *found = g_array_new (FALSE, FALSE, sizeof (neighbour_t));
  seat_t own = seat_of (self);
  guint at = 0;

  g_array_set_clear_func (found, neighbour_clear);
  g_array_append_val (ring, own);
  for (guint i = 0; i < others->len; i++)
    {
      seat_t one = seat_of (g_ptr_array_index (others, i));

      g_array_append_val (ring, one);
    }
  g_array_sort (ring, seats_compare);
  while (g_array_index (ring, seat_t, at).address != self)
    at++;
  for (guint step = 1; step < ring->len; step *= 2)
    {
      const char *address
          = g_array_index (ring, seat_t, (at + step) % ring->len).address;
      neighbour_t n
          = { g_strdup (address), told_before (sp->neighbours, address) };

      g_array_append_val (found, n);
    }
  g_array_free (ring, TRUE);
  g_array_free (sp->neighbours, TRUE);
  sp->neighbours = found;
}

guint
pu_spread_neighbours (const pu_spread_t *sp)
{
  return sp->neighbours->len;
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
fact_add (pu_spread_t *sp, const char *server)
{
  fact_t *f = g_new0 (fact_t, 1);

  f->server = g_strdup (server);
  g_hash_table_insert (sp->facts, f->server, f);
  g_queue_push_tail (&sp->turns, f);
  return f;
}

static void
fact_remove (pu_spread_t *sp, fact_t *f)
{
  g_queue_remove (&sp->turns, f);
  g_hash_table_remove (sp->facts, f->server);
}

bool
pu_spread_put (pu_spread_t *sp, const pu_statement_t *st)
{
  fact_t *f = g_hash_table_lookup (sp->facts, st->server);

  if (f == NULL && says_nothing (st))
    return false;
  if (f == NULL)
    f = fact_add (sp, st->server);
  if (f->change > 0 && is_older (st, &f->values))
    return false;
  if (f->change == 0 || !is_same (st, &f->values))
    f->change = ++sp->changes;
  f->values = *st;
  f->values.server = f->server;
  return true;
}

void
pu_spread_remove (pu_spread_t *sp, const char *server)
{
  fact_t *f = g_hash_table_lookup (sp->facts, server);

  if (f != NULL)
    fact_remove (sp, f);
}

/* --- telling --- */

static void
ended_remove (pu_spread_t *sp, guint64 now)
{
  GList *next;

  for (GList *l = sp->turns.head; l != NULL; l = next)
    {
      fact_t *f = l->data;

      next = l->next;
      if (says_nothing (&f->values) && f->values.stated_at + ENDED_MS < now)
        fact_remove (sp, f);
    }
}

/* Appends the facts whose turn it is.  */
static void
repair_append (pu_spread_t *sp, guint64 told, GArray *out)
{
  guint most = MIN (REPAIR_MAX, sp->turns.length);

  for (guint i = 0; i < most; i++)
    {
      fact_t *f = g_queue_pop_head (&sp->turns);

      g_queue_push_tail (&sp->turns, f);
      if (f->change <= told)
        g_array_append_val (out, f->values);
    }
}

static bool
is_repair_due (const pu_spread_t *sp, guint i, guint64 now)
{
  return now >= sp->repair_at && i == sp->repair_next % sp->neighbours->len;
}

const char *
pu_spread_due (pu_spread_t *sp, guint i, guint64 now, GArray *out)
{
  const neighbour_t *n = &g_array_index (sp->neighbours, neighbour_t, i);

  if (is_repair_due (sp, i, now))
    {
      /* Whether it can be told or not: the next one may be reached.  */
      sp->repair_next++;
      sp->repair_at = now + REPAIR_INTERVAL_MS;
      ended_remove (sp, now);
      repair_append (sp, n->told, out);
    }
  for (const GList *l = n->told < sp->changes ? sp->turns.head : NULL;
       l != NULL; l = l->next)
    {
      const fact_t *f = l->data;

      if (f->change > n->told)
        g_array_append_val (out, f->values);
    }
  return n->address;
}

void
pu_spread_told (pu_spread_t *sp, guint i)
{
  g_array_index (sp->neighbours, neighbour_t, i).told = sp->changes;
}
