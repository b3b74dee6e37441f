#include "routing/origins.h"

#include <string.h>
#include <xxhash.h>

typedef struct
{
  guint64 key;
  char *version; /* "": several */
  guint64 until;
} origin_t;

struct pu_origins
{
  guint max;
  GHashTable *table; /* &key -> origin_t, owned by `queue` */
  GQueue queue;      /* of origin_t, in the order of their addition */
};

pu_origins_t *
pu_origins_new (guint max)
{
  pu_origins_t *o = g_new0 (pu_origins_t, 1);

  o->max = max;
  o->table = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&o->queue);
  return o;
}

static void
oldest_drop (pu_origins_t *o)
{
  origin_t *one = g_queue_pop_head (&o->queue);

  g_hash_table_remove (o->table, &one->key);
  g_free (one->version);
  g_free (one);
}

void
pu_origins_free (pu_origins_t *o)
{
  while (o->queue.length > 0)
    oldest_drop (o);
  g_hash_table_destroy (o->table);
  g_free (o);
}

guint64
pu_origin_key (const char *id)
{
  return XXH3_64bits (id, strlen (id));
}

static void
expired_drop (pu_origins_t *o, guint64 now)
{
  while (o->queue.length > 0
         && now >= ((const origin_t *)o->queue.head->data)->until)
    oldest_drop (o);
}

void
pu_origins_add (pu_origins_t *o, guint64 key, const char *version,
                guint64 until, guint64 now)
{
  origin_t *one = g_hash_table_lookup (o->table, &key);

  if (one != NULL && now >= one->until)
    {
      g_free (one->version);
      one->version = g_strdup (version);
      one->until = until;
      return;
    }
  if (one != NULL)
    {
      if (strcmp (one->version, version) != 0)
        *one->version = '\0';
      one->until = MAX (one->until, until);
      return;
    }
  expired_drop (o, now);
  while (o->queue.length >= o->max)
    oldest_drop (o);
  one = g_new0 (origin_t, 1);
  one->key = key;
  one->version = g_strdup (version);
  one->until = until;
  g_queue_push_tail (&o->queue, one);
  g_hash_table_insert (o->table, &one->key, one);
}

const char *
pu_origins_find (const pu_origins_t *o, guint64 key, guint64 now)
{
  const origin_t *one = g_hash_table_lookup (o->table, &key);

  return one != NULL && now < one->until ? one->version : NULL;
}

void
pu_origins_each (const pu_origins_t *o, guint64 now, pu_origins_fn *fn,
                 void *data)
{
  for (const GList *l = o->queue.head; l != NULL; l = l->next)
    {
      const origin_t *one = l->data;

      if (now < one->until)
        fn (one->key, one->version, one->until, data);
    }
}

guint
pu_origins_count (const pu_origins_t *o)
{
  return o->queue.length;
}
