#include "routing/lost.h"

enum
{
  ROUND_INTERVAL_MS = 200,
  PROBES_MIN = 4, /* in a round */
  PROBES_MAX = 64,
};

struct pu_lost
{
  GHashTable *links; /* server -> its link in `servers` */
  GQueue servers;    /* those probed longest ago first */
  guint64 next_round_at;
  guint round_size;
  guint probes_open;
  bool round_failed;
};

pu_lost_t *
pu_lost_new (void)
{
  pu_lost_t *l = g_new0 (pu_lost_t, 1);

  l->links = g_hash_table_new (NULL, NULL);
  l->round_size = PROBES_MIN;
  return l;
}

void
pu_lost_free (pu_lost_t *l)
{
  if (l == NULL)
    return;
  g_hash_table_destroy (l->links);
  g_queue_clear (&l->servers);
  g_free (l);
}

bool
pu_lost_add (pu_lost_t *l, gpointer server)
{
  if (g_hash_table_contains (l->links, server))
    return false;
  g_queue_push_tail (&l->servers, server);
  g_hash_table_insert (l->links, server, l->servers.tail);
  return true;
}

bool
pu_lost_remove (pu_lost_t *l, gpointer server)
{
  GList *link = g_hash_table_lookup (l->links, server);

  if (link == NULL)
    return false;
  g_queue_delete_link (&l->servers, link);
  g_hash_table_remove (l->links, server);
  return true;
}

bool
pu_lost_contains (const pu_lost_t *l, gconstpointer server)
{
  return g_hash_table_contains (l->links, server);
}

guint
pu_lost_count (const pu_lost_t *l)
{
  return l->servers.length;
}

void
pu_lost_probes_due (pu_lost_t *l, guint64 now, GPtrArray *servers)
{
  guint n = MIN (l->round_size, l->servers.length);

  if (n == 0 || l->probes_open > 0 || now < l->next_round_at)
    return;
  l->next_round_at = now + ROUND_INTERVAL_MS;
  l->probes_open = n;
  l->round_failed = false;
  for (guint i = 0; i < n; i++)
    {
      GList *link = g_queue_pop_head_link (&l->servers);

      g_queue_push_tail_link (&l->servers, link);
      g_ptr_array_add (servers, link->data);
    }
}

void
pu_lost_probe_ended (pu_lost_t *l, bool good)
{
  if (l->probes_open == 0)
    return;
  l->probes_open--;
  l->round_failed = l->round_failed || !good;
  if (l->probes_open == 0)
    {
      l->round_size
          = l->round_failed ? PROBES_MIN : MIN (2 * l->round_size, PROBES_MAX);
    }
}
