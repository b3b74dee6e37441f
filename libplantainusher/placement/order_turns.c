#include "placement/order_turns.h"

enum
{
  PERMILLE = 1000,
  DRIFT_PERMILLE = 10, /* maximum rate error of a clock */
};

struct pu_order_turns
{
  guint64 wait_ms; /* a lease by the fastest clock */
  guint64 transit_ms;
  bool checks_tokens;
  guint64 no_order_before; /* ms; of any engine */
  guint64 term;            /* 0: has not led */
  guint64 next_drop_at;    /* ms */
  /* engine -> guint64 *: until when the latest order of the present turn, and
     of earlier turns, may arrive, in ms */
  GHashTable *present;
  GHashTable *earlier;
};

pu_order_turns_t *
pu_order_turns_new (const pu_order_turns_options_t *o)
{
  pu_order_turns_t *t = g_new0 (pu_order_turns_t, 1);

  t->wait_ms = o->lease_ms + o->lease_ms * 2 * DRIFT_PERMILLE / PERMILLE;
  t->transit_ms = o->transit_ms;
  t->checks_tokens = o->checks_tokens;
  if (!t->checks_tokens)
    t->no_order_before = o->started_at + t->wait_ms + t->transit_ms;
  t->present = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  t->earlier = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return t;
}

void
pu_order_turns_free (pu_order_turns_t *t)
{
  if (t == NULL)
    return;
  g_hash_table_unref (t->present);
  g_hash_table_unref (t->earlier);
  g_free (t);
}

static gboolean
is_older (gpointer key, gpointer at, gpointer than)
{
  (void)key;
  return *(const guint64 *)at < *(const guint64 *)than;
}

/* Drops the orders that no longer delay any: engines come and go.  */
static void
drop_old (pu_order_turns_t *t, guint64 now)
{
  guint64 oldest = now - MIN (now, t->wait_ms);

  if (now < t->next_drop_at)
    return;
  t->next_drop_at = now + t->wait_ms;
  g_hash_table_foreach_remove (t->present, is_older, &oldest);
  g_hash_table_foreach_remove (t->earlier, is_older, &oldest);
}

static void
end_turn (pu_order_turns_t *t)
{
  GHashTableIter it;
  gpointer engine;
  gpointer at;

  g_hash_table_iter_init (&it, t->present);
  while (g_hash_table_iter_next (&it, &engine, &at))
    {
      g_hash_table_iter_steal (&it);
      g_hash_table_replace (t->earlier, engine, at);
    }
}

void
pu_order_turns_begin (pu_order_turns_t *t, guint64 term, guint64 now)
{
  if (term > t->term + 1)
    {
      end_turn (t);
      if (!t->checks_tokens)
        t->no_order_before = MAX (t->no_order_before, now + t->transit_ms);
    }
  t->term = term;
  drop_old (t, now);
}

void
pu_order_turns_record (pu_order_turns_t *t, const char *engine, bool answered,
                       guint64 now)
{
  guint64 *at = g_hash_table_lookup (t->present, engine);

  if (at == NULL)
    {
      at = g_new (guint64, 1);
      g_hash_table_insert (t->present, g_strdup (engine), at);
    }
  *at = answered ? now : now + t->transit_ms;
  drop_old (t, now);
}

guint64
pu_order_turns_wait_ms (const pu_order_turns_t *t, const char *engine,
                        guint64 now)
{
  const guint64 *at = g_hash_table_lookup (t->earlier, engine);
  guint64 from = t->no_order_before;

  if (at != NULL)
    from = MAX (from, *at + t->wait_ms);
  return from - MIN (from, now);
}

bool
pu_order_turns_allows (const pu_order_turns_t *t, const char *engine,
                       guint64 now)
{
  return pu_order_turns_wait_ms (t, engine, now) == 0;
}
