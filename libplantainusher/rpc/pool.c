#include "rpc/pool.h"

#include "rpc/link.h"

#define IDLE_MS 60000

typedef struct
{
  pu_rpc_client_t *client;
  guint64 used; /* loop time, ms */
} slot_t;

struct pu_rpc_pool
{
  pu_rpc_pool_options_t options;
  char *key;
  GHashTable *slots; /* address -> slot_t */
  uv_timer_t *sweep;
  guint32 seed;
};

static void
slot_free (gpointer p)
{
  slot_t *s = p;

  pu_rpc_client_free (s->client);
  g_free (s);
}

static gboolean
is_idle (gpointer key, gpointer value, gpointer data)
{
  const pu_rpc_pool_t *p = data;
  const slot_t *s = value;

  (void)key;
  return uv_now (p->options.client.loop) - s->used >= p->options.idle_ms
         && !pu_rpc_client_busy (s->client);
}

static void
on_sweep (uv_timer_t *t)
{
  pu_rpc_pool_t *p = t->data;

  g_hash_table_foreach_remove (p->slots, is_idle, p);
}

pu_rpc_pool_t *
pu_rpc_pool_new (const pu_rpc_pool_options_t *o)
{
  pu_rpc_pool_t *p = g_new0 (pu_rpc_pool_t, 1);

  p->options = *o;
  if (p->options.idle_ms == 0)
    p->options.idle_ms = IDLE_MS;
  p->key = g_strdup (o->client.key);
  p->options.client.key = p->key;
  p->options.client.on_state = NULL;
  p->seed = o->client.seed;
  p->slots
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, slot_free);
  p->sweep = pu_rpc_timer_new (o->client.loop, p);
  uv_timer_start (p->sweep, on_sweep, p->options.idle_ms / 4,
                  p->options.idle_ms / 4);
  return p;
}

void
pu_rpc_pool_free (pu_rpc_pool_t *p)
{
  if (p == NULL)
    return;
  pu_rpc_timer_free (p->sweep);
  g_hash_table_unref (p->slots);
  g_free (p->key);
  g_free (p);
}

static slot_t *
slot_new (pu_rpc_pool_t *p, const char *address)
{
  pu_rpc_client_options_t o = p->options.client;
  slot_t *s;

  o.address = address;
  o.seed = p->seed++;
  s = g_new0 (slot_t, 1);
  s->client = pu_rpc_client_new (&o, NULL);
  if (s->client == NULL)
    {
      g_free (s);
      return NULL;
    }
  g_hash_table_insert (p->slots, g_strdup (address), s);
  return s;
}

pu_rpc_client_t *
pu_rpc_pool_get (pu_rpc_pool_t *p, const char *address)
{
  slot_t *s = g_hash_table_lookup (p->slots, address);

  if (s == NULL)
    s = slot_new (p, address);
  if (s == NULL)
    return NULL;
  s->used = uv_now (p->options.client.loop);
  return s->client;
}

guint
pu_rpc_pool_size (const pu_rpc_pool_t *p)
{
  return g_hash_table_size (p->slots);
}
