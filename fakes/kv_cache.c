#include "kv_cache.h"

#include <string.h>

#define EVENTS_MAX 512 /* in one report */

typedef struct
{
  guint64 number;
  guint64 hash;
  guint64 due; /* milliseconds */
  bool added;  /* else removed */
} event_t;

struct fake_kv_cache
{
  guint size;
  guint delay_ms;
  fake_faults_t *faults;
  GHashTable *blocks; /* hash -> its link in `age` */
  GQueue age;         /* of guint64 *, newest first */
  GQueue events;      /* of event_t, oldest first */
  guint64 last_number;
};

fake_kv_cache_t *
fake_kv_cache_new (guint blocks, guint delay_ms, fake_faults_t *faults)
{
  fake_kv_cache_t *c = g_new0 (fake_kv_cache_t, 1);

  c->size = blocks;
  c->delay_ms = delay_ms;
  c->faults = faults;
  c->blocks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return c;
}

void
fake_kv_cache_free (fake_kv_cache_t *c)
{
  g_queue_clear_full (&c->events, g_free);
  g_queue_clear (&c->age);
  g_hash_table_destroy (c->blocks);
  g_free (c);
}

static void
tell (fake_kv_cache_t *c, guint64 hash, bool added, guint64 now)
{
  event_t *e;

  c->last_number++;
  if (fake_faults_take (c->faults, FAKE_KV_GAP) != NULL)
    return;
  e = g_new0 (event_t, 1);
  e->number = c->last_number;
  e->hash = hash;
  e->due = now + c->delay_ms;
  e->added = added;
  g_queue_push_tail (&c->events, e);
}

static void
block_add (fake_kv_cache_t *c, guint64 hash, guint64 now)
{
  guint64 *key = g_memdup2 (&hash, sizeof (hash));
  guint64 *oldest;

  g_queue_push_head (&c->age, key);
  g_hash_table_insert (c->blocks, key, c->age.head);
  tell (c, hash, true, now);
  if (c->age.length <= c->size)
    return;
  oldest = g_queue_pop_tail (&c->age);
  tell (c, *oldest, false, now);
  g_hash_table_remove (c->blocks, oldest);
}

guint
fake_kv_cache_use (fake_kv_cache_t *c, const fake_question_t *q, guint64 now)
{
  guint count = (guint)(strlen (q->prompt) / FAKE_BLOCK_BYTES);
  bool leading = true;
  guint hits = 0;

  for (guint i = 0; i < count; i++)
    {
      guint64 hash = fake_block_hash (q, i + 1);
      GList *link = g_hash_table_lookup (c->blocks, &hash);

      leading = leading && link != NULL;
      hits += leading ? 1 : 0;
      if (link == NULL)
        {
          block_add (c, hash, now);
          continue;
        }
      g_queue_unlink (&c->age, link);
      g_queue_push_head_link (&c->age, link);
    }
  return hits * FAKE_BLOCK_BYTES;
}

guint
fake_kv_cache_blocks (const fake_kv_cache_t *c)
{
  return c->age.length;
}

static void
event_put (const event_t *e, json_t *added, json_t *removed)
{
  char text[20];

  g_snprintf (text, sizeof (text), "%016" G_GINT64_MODIFIER "x", e->hash);
  json_array_append_new (e->added ? added : removed, json_string (text));
}

json_t *
fake_kv_cache_events (fake_kv_cache_t *c, guint64 now)
{
  event_t *e = g_queue_peek_head (&c->events);
  json_t *added;
  json_t *removed;
  guint64 first;
  guint64 last;

  if (e == NULL || e->due > now)
    return NULL;
  added = json_array ();
  removed = json_array ();
  first = e->number;
  last = first - 1;
  /* A range has no gap inside: it ends where a number is missing.  */
  for (guint n = 0; n < EVENTS_MAX && e != NULL; n++)
    {
      if (e->due > now || e->number != last + 1)
        break;
      last = e->number;
      event_put (e, added, removed);
      g_free (g_queue_pop_head (&c->events));
      e = g_queue_peek_head (&c->events);
    }
  return json_pack ("{s:I, s:I, s:o, s:o}", "first", (json_int_t)first, "last",
                    (json_int_t)last, "added", added, "removed", removed);
}
