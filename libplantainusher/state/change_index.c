#include "state/change_index.h"

typedef struct
{
  char *name;
  uint64_t change;
  GList link; /* in the queue of the index */
} node_t;

struct pu_change_index
{
  GQueue queue;      /* of node_t, by change number, the latest last */
  GHashTable *nodes; /* name -> node_t */
};

static void
node_free (gpointer node)
{
  node_t *n = node;

  g_free (n->name);
  g_free (n);
}

pu_change_index_t *
pu_change_index_new (void)
{
  pu_change_index_t *c = g_new0 (pu_change_index_t, 1);

  g_queue_init (&c->queue);
  c->nodes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, node_free);
  return c;
}

void
pu_change_index_free (pu_change_index_t *c)
{
  if (c == NULL)
    return;
  g_hash_table_destroy (c->nodes);
  g_free (c);
}

void
pu_change_index_record (pu_change_index_t *c, const char *name,
                        uint64_t change)
{
  node_t *n = g_hash_table_lookup (c->nodes, name);

  if (n != NULL)
    {
      g_queue_unlink (&c->queue, &n->link);
    }
  else
    {
      n = g_new0 (node_t, 1);
      n->name = g_strdup (name);
      n->link.data = n;
      g_hash_table_insert (c->nodes, n->name, n);
    }
  n->change = change;
  g_queue_push_tail_link (&c->queue, &n->link);
}

void
pu_change_index_remove (pu_change_index_t *c, const char *name)
{
  node_t *n = g_hash_table_lookup (c->nodes, name);

  if (n == NULL)
    return;
  g_queue_unlink (&c->queue, &n->link);
  g_hash_table_remove (c->nodes, name);
}

const char *
pu_change_index_find_oldest (const pu_change_index_t *c,
                             pu_change_index_match_fn *matches, void *data)
{
  for (const GList *l = c->queue.head; l != NULL; l = l->next)
    {
      const node_t *n = l->data;

      if (matches (n->name, data))
        return n->name;
    }
  return NULL;
}

void
pu_change_index_each_since (const pu_change_index_t *c, uint64_t since,
                            pu_change_index_fn *fn, void *data)
{
  for (const GList *l = c->queue.tail; l != NULL; l = l->prev)
    {
      const node_t *n = l->data;

      if (n->change <= since)
        return;
      fn (n->name, data);
    }
}
