#include "control/feed.h"

typedef struct
{
  uint64_t position;
  GBytes *bytes;
  GBytes *delta; /* may be NULL */
} feed_entry_t;

struct pu_feed
{
  GQueue entries; /* feed_entry_t, oldest first */
  guint entries_max;
  size_t bytes_max;
  size_t bytes;
  uint64_t covered_after; /* ENTRIES holds all public entries after it */
  uint64_t newest;
};

pu_feed_t *
pu_feed_new (guint entries_max, size_t bytes_max)
{
  pu_feed_t *f = g_new0 (pu_feed_t, 1);

  g_queue_init (&f->entries);
  f->entries_max = entries_max;
  f->bytes_max = bytes_max;
  return f;
}

static size_t
entry_size (const feed_entry_t *i)
{
  size_t size = g_bytes_get_size (i->bytes);

  return i->delta == NULL ? size : size + g_bytes_get_size (i->delta);
}

static void
evict_oldest (pu_feed_t *f)
{
  feed_entry_t *i = g_queue_pop_head (&f->entries);

  f->covered_after = i->position;
  f->bytes -= entry_size (i);
  g_bytes_unref (i->bytes);
  if (i->delta != NULL)
    g_bytes_unref (i->delta);
  g_free (i);
}

void
pu_feed_reset (pu_feed_t *f, uint64_t position)
{
  while (!g_queue_is_empty (&f->entries))
    {
      evict_oldest (f);
    }
  f->covered_after = position;
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
  feed_entry_t *i = g_new0 (feed_entry_t, 1);

  i->position = position;
  i->bytes = g_bytes_new (bytes, len);
  i->delta = delta;
  g_queue_push_tail (&f->entries, i);
  f->bytes += entry_size (i);
  f->newest = position;
  while (f->entries.length > f->entries_max || f->bytes > f->bytes_max)
    {
      evict_oldest (f);
    }
}

bool
pu_feed_covers (const pu_feed_t *f, uint64_t position)
{
  return position >= f->covered_after;
}

size_t
pu_feed_bytes (const pu_feed_t *f)
{
  return f->bytes;
}

uint64_t
pu_feed_newest (const pu_feed_t *f)
{
  return f->newest;
}

/* first_after - returns the link of the oldest entry after POSITION, or NULL.
   Searches from the newest entry, as most readers are close to it.  */
static const GList *
first_after (const pu_feed_t *f, uint64_t position)
{
  const GList *found = NULL;

  for (const GList *l = f->entries.tail; l != NULL; l = l->prev)
    {
      if (((const feed_entry_t *)l->data)->position <= position)
        break;
      found = l;
    }
  return found;
}

guint
pu_feed_read (const pu_feed_t *f, uint64_t position, pu_public_entry *entries,
              const pu_feed_limits_t *limits)
{
  size_t total = 0;
  guint n = 0;

  for (const GList *l = first_after (f, position);
       l != NULL && n < limits->entries_max; l = l->next)
    {
      const feed_entry_t *i = l->data;
      gsize size;
      gconstpointer bytes = g_bytes_get_data (
          limits->deltas && i->delta != NULL ? i->delta : i->bytes, &size);

      if (limits->entry_bytes_max > 0 && size > limits->entry_bytes_max)
        break;
      if (n > 0 && total + size > limits->bytes_max)
        break;
      total += size;
      entries[n].position = i->position;
      entries[n].command.command_len = (u_int)size;
      entries[n].command.command_val = (char *)bytes;
      n++;
    }
  return n;
}
