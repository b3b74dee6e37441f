#include "routing/brittle.h"

enum
{
  WINDOW_MS = 1000, /* in which the server counts its rejections */
  /* How long after rejections a crash may be a fall: the second in which they
     are counted, and the time until the crash is noticed.  */
  MEMORY_MS = 2000,
  /* A rejection comes back at once.  A request that was sent longer ago than
     this has a place.  */
  PROVEN_MS = 200,
  GROW_INTERVAL_MS = 2000, /* without a rejection, until one more request at
                              once is tried */
};

/* The share of the bound that one entry uses.  */
#define BOUND_SHARE 0.75

/* The share of the bound from which on a crash may be a fall: others may have
   been rejected, too.  */
#define FALL_SHARE 0.5

struct pu_brittle
{
  double rejections_per_s;
  guint places; /* that the server is known to have; G_MAXUINT: not known */
  guint64 places_changed_at;
  GArray *sent;     /* of guint64: when the requests were sent that have not
                       ended, in order */
  GArray *rejected; /* of guint64: when it rejected requests lately */
};

pu_brittle_t *
pu_brittle_new (double per_s)
{
  pu_brittle_t *b = g_new0 (pu_brittle_t, 1);

  b->rejections_per_s = per_s;
  b->places = G_MAXUINT;
  b->sent = g_array_new (FALSE, FALSE, sizeof (guint64));
  b->rejected = g_array_new (FALSE, FALSE, sizeof (guint64));
  return b;
}

void
pu_brittle_free (pu_brittle_t *b)
{
  if (b == NULL)
    return;
  g_array_free (b->sent, TRUE);
  g_array_free (b->rejected, TRUE);
  g_free (b);
}

void
pu_brittle_set_bound (pu_brittle_t *b, double per_s)
{
  b->rejections_per_s = per_s;
}

static void
sent_remove (pu_brittle_t *b, guint64 sent_at)
{
  for (guint i = 0; i < b->sent->len; i++)
    {
      if (g_array_index (b->sent, guint64, i) == sent_at)
        {
          g_array_remove_index (b->sent, i);
          return;
        }
    }
}

void
pu_brittle_sent (pu_brittle_t *b, guint64 now)
{
  g_array_append_val (b->sent, now);
}

void
pu_brittle_ended (pu_brittle_t *b, guint64 sent_at, guint64 now)
{
  sent_remove (b, sent_at);
  if (b->places == G_MAXUINT || now < b->places_changed_at + GROW_INTERVAL_MS)
    return;
  b->places++;
  b->places_changed_at = now;
}

void
pu_brittle_rejected (pu_brittle_t *b, guint64 sent_at, guint64 now)
{
  sent_remove (b, sent_at);
  g_array_append_val (b->rejected, now);
  b->places = MIN (b->places, MAX (b->sent->len, 1));
  b->places_changed_at = now;
}

static guint64
rejected_at (const pu_brittle_t *b, guint i)
{
  return g_array_index (b->rejected, guint64, i);
}

static void
rejected_expire (pu_brittle_t *b, guint64 now)
{
  while (b->rejected->len > 0 && rejected_at (b, 0) + MEMORY_MS <= now)
    g_array_remove_index (b->rejected, 0);
}

/* Returns how many rejections of the last second there are.  */
static guint
rejected_count (const pu_brittle_t *b, guint64 now)
{
  guint n = 0;

  while (n < b->rejected->len
         && rejected_at (b, b->rejected->len - 1 - n) + WINDOW_MS > now)
    n++;
  return n;
}

/* Returns how many of the requests that have not ended have a place.  */
static guint
proven_count (const pu_brittle_t *b, guint64 now)
{
  guint n = 0;

  while (n < b->sent->len
         && g_array_index (b->sent, guint64, n) + PROVEN_MS <= now)
    n++;
  return n;
}

guint
pu_brittle_limit (pu_brittle_t *b, bool owner, guint64 now)
{
  guint most = owner ? (guint)MAX (b->rejections_per_s * BOUND_SHARE, 1) : 1;

  rejected_expire (b, now);
  return MIN (proven_count (b, now) + most
                  - MIN (most, rejected_count (b, now)),
              b->places);
}

bool
pu_brittle_may_have_fallen (const pu_brittle_t *b, bool owner, guint64 now)
{
  double least = owner ? b->rejections_per_s * FALL_SHARE : 1;
  guint n = 0;

  for (guint i = 0; i < b->rejected->len; i++)
    n += rejected_at (b, i) + MEMORY_MS > now;
  return n >= MAX (least, 1);
}

guint64
pu_brittle_free_at (const pu_brittle_t *b, guint64 now)
{
  guint n = rejected_count (b, now);

  return n > 0 ? rejected_at (b, b->rejected->len - n) + WINDOW_MS : 0;
}
