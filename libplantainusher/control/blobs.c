#include "control/blobs.h"

#include <xxhash.h>

#include "control/packed.h"

typedef struct
{
  pu_blob info;
  GBytes *packed;
} blob_t;

struct pu_blobs
{
  GQueue list; /* blob_t, the one used last first */
  guint blobs_max;
  size_t bytes_max;
  size_t bytes;
};

pu_blobs_t *
pu_blobs_new (guint blobs_max, size_t bytes_max)
{
  pu_blobs_t *b = g_new0 (pu_blobs_t, 1);

  g_queue_init (&b->list);
  b->blobs_max = blobs_max;
  b->bytes_max = bytes_max;
  return b;
}

static void
evict_last (pu_blobs_t *b)
{
  blob_t *last = g_queue_pop_tail (&b->list);

  b->bytes -= last->info.size;
  g_bytes_unref (last->packed);
  g_free (last);
}

void
pu_blobs_free (pu_blobs_t *b)
{
  if (b == NULL)
    return;
  while (!g_queue_is_empty (&b->list))
    {
      evict_last (b);
    }
  g_free (b);
}

uint64_t
pu_blob_id (const void *packed, size_t n)
{
  return XXH64 (packed, n, 0);
}

/* mark_used - moves LINK to the front.  */
static const blob_t *
mark_used (pu_blobs_t *b, GList *link)
{
  g_queue_unlink (&b->list, link);
  g_queue_push_head_link (&b->list, link);
  return link->data;
}

static const blob_t *
blob_add (pu_blobs_t *b, bool image, uint64_t position, GBytes *content)
{
  blob_t *x = g_new0 (blob_t, 1);
  gsize size;
  gconstpointer data;

  x->packed = pu_packed_new (content);
  data = g_bytes_get_data (x->packed, &size);
  x->info.id = pu_blob_id (data, size);
  x->info.image = image;
  x->info.position = position;
  x->info.size = (u_int)size;
  x->info.content_size = (u_int)g_bytes_get_size (content);
  g_queue_push_head (&b->list, x);
  b->bytes += size;
  while (b->list.length > 1
         && (b->list.length > b->blobs_max || b->bytes > b->bytes_max))
    {
      evict_last (b);
    }
  return x;
}

const pu_blob *
pu_blobs_get (pu_blobs_t *b, bool image, uint64_t position, GBytes *content)
{
  for (GList *l = b->list.head; l != NULL; l = l->next)
    {
      const blob_t *x = l->data;

      if ((bool)x->info.image == image && x->info.position == position)
        return &mark_used (b, l)->info;
    }
  return &blob_add (b, image, position, content)->info;
}

const pu_blob *
pu_blobs_find (pu_blobs_t *b, uint64_t id, GBytes **packed)
{
  for (GList *l = b->list.head; l != NULL; l = l->next)
    {
      const blob_t *x = l->data;

      if (x->info.id == id)
        {
          *packed = x->packed;
          return &mark_used (b, l)->info;
        }
    }
  return NULL;
}

size_t
pu_blobs_bytes (const pu_blobs_t *b)
{
  return b->bytes;
}
