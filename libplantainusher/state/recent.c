#include "state/recent.h"

typedef struct
{
  char *name;
  uint64_t change;
  GList link; /* in the queue */
} item_t;

struct pu_recent
{
  GQueue queue;      /* of item_t, the newest last */
  GHashTable *items; /* name -> item_t */
};

static void
item_free (gpointer item)
{
  item_t *i = item;

  g_free (i->name);
  g_free (i);
}

pu_recent_t *
pu_recent_new (void)
{
  pu_recent_t *r = g_new0 (pu_recent_t, 1);

  g_queue_init (&r->queue);
  r->items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, item_free);
  return r;
}

void
pu_recent_free (pu_recent_t *r)
{
  if (r == NULL)
    return;
  g_hash_table_destroy (r->items);
  g_free (r);
}

void
pu_recent_note (pu_recent_t *r, const char *name, uint64_t change)
{
  item_t *i = g_hash_table_lookup (r->items, name);

  if (i != NULL)
    {
      g_queue_unlink (&r->queue, &i->link);
    }
  else
    {
      i = g_new0 (item_t, 1);
      i->name = g_strdup (name);
      i->link.data = i;
      g_hash_table_insert (r->items, i->name, i);
    }
  i->change = change;
  g_queue_push_tail_link (&r->queue, &i->link);
}

void
pu_recent_drop (pu_recent_t *r, const char *name)
{
  item_t *i = g_hash_table_lookup (r->items, name);

  if (i == NULL)
    return;
  g_queue_unlink (&r->queue, &i->link);
  g_hash_table_remove (r->items, name);
}

void
pu_recent_each (const pu_recent_t *r, uint64_t since, pu_recent_fn *fn,
                void *data)
{
  for (const GList *l = r->queue.tail; l != NULL; l = l->prev)
    {
      const item_t *i = l->data;

      if (i->change <= since)
        return;
      fn (i->name, data);
    }
}
