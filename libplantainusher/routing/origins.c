#include "routing/origins.h"

#include <string.h>
#include <xxhash.h>

/* --- origins of streams --- */

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

guint
pu_origins_count (const pu_origins_t *o)
{
  return o->queue.length;
}

/* --- versions that have served a service lately --- */

typedef struct
{
  char *service;
  char *version;
  guint serving; /* backend servers */
  guint64 gone_at;
} span_t;

struct pu_versions
{
  guint64 memory_ms;
  GPtrArray *spans; /* of span_t; few, as versions are forgotten */
};

static void
span_free (gpointer data)
{
  span_t *s = data;

  g_free (s->service);
  g_free (s->version);
  g_free (s);
}

pu_versions_t *
pu_versions_new (guint64 memory_ms)
{
  pu_versions_t *v = g_new0 (pu_versions_t, 1);

  v->memory_ms = memory_ms;
  v->spans = g_ptr_array_new_with_free_func (span_free);
  return v;
}

void
pu_versions_free (pu_versions_t *v)
{
  g_ptr_array_free (v->spans, TRUE);
  g_free (v);
}

static span_t *
span_get (pu_versions_t *v, const char *service, const char *version)
{
  span_t *s;

  for (guint i = 0; i < v->spans->len; i++)
    {
      s = g_ptr_array_index (v->spans, i);
      if (strcmp (s->service, service) == 0
          && strcmp (s->version, version) == 0)
        return s;
    }
  s = g_new0 (span_t, 1);
  s->service = g_strdup (service);
  s->version = g_strdup (version);
  g_ptr_array_add (v->spans, s);
  return s;
}

void
pu_versions_add (pu_versions_t *v, const char *service, const char *version)
{
  span_get (v, service, version)->serving++;
}

void
pu_versions_remove (pu_versions_t *v, const char *service, const char *version,
                    guint64 now)
{
  span_t *s = span_get (v, service, version);

  if (s->serving > 0)
    s->serving--;
  if (s->serving == 0)
    s->gone_at = now;
}

static void
forgotten_drop (pu_versions_t *v, guint64 now)
{
  for (guint i = v->spans->len; i-- > 0;)
    {
      const span_t *s = g_ptr_array_index (v->spans, i);

      if (s->serving == 0 && now >= s->gone_at + v->memory_ms)
        g_ptr_array_remove_index_fast (v->spans, i);
    }
}

const char *
pu_versions_only (pu_versions_t *v, const char *service, guint64 now)
{
  const span_t *only = NULL;

  forgotten_drop (v, now);
  for (guint i = 0; i < v->spans->len; i++)
    {
      const span_t *s = g_ptr_array_index (v->spans, i);

      if (strcmp (s->service, service) != 0)
        continue;
      if (only != NULL || *s->version == '\0')
        return NULL;
      only = s;
    }
  return only != NULL ? only->version : NULL;
}
