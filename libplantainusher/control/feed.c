#include "control/feed.h"

typedef struct
{
  uint64_t position;
  GBytes *bytes;
  GBytes *delta; /* or NULL */
} item_t;

struct pu_feed
{
  GQueue items; /* item_t, oldest first */
  guint entries_max;
  size_t bytes_max;
  size_t bytes;
  uint64_t from; /* everything public after it is in ITEMS */
  uint64_t newest;
};

pu_feed_t *
pu_feed_new (guint entries_max, size_t bytes_max)
{
  pu_feed_t *f = g_new0 (pu_feed_t, 1);

  g_queue_init (&f->items);
  f->entries_max = entries_max;
  f->bytes_max = bytes_max;
  return f;
}

static size_t
item_size (const item_t *i)
{
  size_t size = g_bytes_get_size (i->bytes);

  return i->delta == NULL ? size : size + g_bytes_get_size (i->delta);
}

static void
drop_oldest (pu_feed_t *f)
{
  item_t *i = g_queue_pop_head (&f->items);

  f->from = i->position;
  f->bytes -= item_size (i);
  g_bytes_unref (i->bytes);
  if (i->delta != NULL)
    g_bytes_unref (i->delta);
  g_free (i);
}

void
pu_feed_reset (pu_feed_t *f, uint64_t position)
{
  while (!g_queue_is_empty (&f->items))
    {
      drop_oldest (f);
    }
  f->from = position;
  f->newest = position;
}

void
pu_feed_free (pu_feed_t *f)
{
  if (f == NULL)
    return;
  pu_feed_reset (f, 0);
  g_free (f);
}

void
pu_feed_add (pu_feed_t *f, uint64_t position, const void *bytes, size_t len,
             GBytes *delta)
{
  item_t *i = g_new0 (item_t, 1);

  i->position = position;
  i->bytes = g_bytes_new (bytes, len);
  i->delta = delta;
  g_queue_push_tail (&f->items, i);
  f->bytes += item_size (i);
  f->newest = position;
  while (f->items.length > f->entries_max || f->bytes > f->bytes_max)
    {
      drop_oldest (f);
    }
}

bool
pu_feed_covers (const pu_feed_t *f, uint64_t position)
{
  return position >= f->from;
}

uint64_t
pu_feed_newest (const pu_feed_t *f)
{
  return f->newest;
}

/* first_after - the oldest link after POSITION; readers are near the end.  */
static const GList *
first_after (const pu_feed_t *f, uint64_t position)
{
  const GList *found = NULL;

  for (const GList *l = f->items.tail; l != NULL; l = l->prev)
    {
      if (((const item_t *)l->data)->position <= position)
        break;
      found = l;
    }
  return found;
}

guint
pu_feed_read (const pu_feed_t *f, uint64_t position, pu_public_entry *entries,
              guint max, size_t bytes_max, bool deltas)
{
  size_t total = 0;
  guint n = 0;

  for (const GList *l = first_after (f, position); l != NULL && n < max;
       l = l->next)
    {
      const item_t *i = l->data;
      gsize size;
      gconstpointer bytes = g_bytes_get_data (
          deltas && i->delta != NULL ? i->delta : i->bytes, &size);

      if (n > 0 && total + size > bytes_max)
        break;
      total += size;
      entries[n].position = i->position;
      entries[n].command.command_len = (u_int)size;
      entries[n].command.command_val = (char *)bytes;
      n++;
    }
  return n;
}
