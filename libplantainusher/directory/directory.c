#include "directory/directory.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define DEFAULT_SET_MIN 2
#define DEFAULT_ENTRY_CAPACITY_PER_S 200
#define DEFAULT_TTL_S 10
#define DEFAULT_WEIGHT_ZONE 100
#define DEFAULT_WEIGHT_REGION 10
#define DEFAULT_WEIGHT_OTHER 1
#define DEFAULT_CACHE_MAX 4096
#define DEFAULT_ZONE_SHARE 1.0
/* The loss of one entry of the shared set affects an eighth of the callers of
   its zone at most.  */
#define DEFAULT_ZONE_MIN 8
/* The key of the ranking for shared sets; it is no name of a service.  */
#define SHARED_KEY "/shared"

typedef struct
{
  char *name;
  char *address;
  char *region;
  char *zone;
  guint64 hash;     /* of the name */
  guint zone_index; /* index of its (region, zone) in this view */
} member_t;

/* One member in a ranking.  */
typedef struct
{
  guint64 score;
  guint member;
  guint zone_rank; /* members of its zone with a higher score */
} rank_t;

struct pu_directory
{
  pu_directory_options_t options;
  char *self;
  guint64 view;
  GArray *members; /* of member_t: entries that are not leaving */
  guint n_zones;
  GHashTable *rankings; /* key -> GArray of guint, members in order */
};

void
pu_directory_options_init (pu_directory_options_t *o)
{
  *o = (pu_directory_options_t){
    .self = "",
    .set_min = DEFAULT_SET_MIN,
    .entry_capacity_per_s = DEFAULT_ENTRY_CAPACITY_PER_S,
    .ttl_s = DEFAULT_TTL_S,
    .weight_zone = DEFAULT_WEIGHT_ZONE,
    .weight_region = DEFAULT_WEIGHT_REGION,
    .weight_other = DEFAULT_WEIGHT_OTHER,
    .cache_max = DEFAULT_CACHE_MAX,
    .zone_share = DEFAULT_ZONE_SHARE,
    .zone_min = DEFAULT_ZONE_MIN,
  };
}

static void
member_clear (gpointer data)
{
  member_t *m = data;

  g_free (m->name);
  g_free (m->address);
  g_free (m->region);
  g_free (m->zone);
}

static void
ranking_free (gpointer data)
{
  g_array_free (data, TRUE);
}

pu_directory_t *
pu_directory_new (const pu_directory_options_t *o)
{
  pu_directory_t *d = g_new0 (pu_directory_t, 1);

  d->options = *o;
  d->self = g_strdup (o->self ? o->self : "");
  d->options.self = d->self;
  d->members = g_array_new (FALSE, TRUE, sizeof (member_t));
  g_array_set_clear_func (d->members, member_clear);
  d->rankings
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, ranking_free);
  return d;
}

void
pu_directory_free (pu_directory_t *d)
{
  if (!d)
    return;
  g_hash_table_destroy (d->rankings);
  g_array_free (d->members, TRUE);
  g_free (d->self);
  g_free (d);
}

static member_t *
member_at (const pu_directory_t *d, guint i)
{
  return &g_array_index (d->members, member_t, i);
}

/* The index of M's zone; a new one when no earlier member is in that zone.  */
static guint
zone_index_of (pu_directory_t *d, const pu_directory_member_t *m)
{
  for (guint i = 0; i < d->members->len; i++)
    {
      const member_t *other = member_at (d, i);

      if (strcmp (other->zone, m->zone) == 0
          && strcmp (other->region, m->region) == 0)
        return other->zone_index;
    }
  return d->n_zones++;
}

static void
add_member (pu_directory_t *d, const pu_directory_member_t *m)
{
  member_t copy = {
    .name = g_strdup (m->name),
    .address = g_strdup (m->address),
    .region = g_strdup (m->region),
    .zone = g_strdup (m->zone),
    .hash = XXH64 (m->name, strlen (m->name), 0),
    .zone_index = zone_index_of (d, m),
  };

  g_array_append_val (d->members, copy);
}

bool
pu_directory_set_members (pu_directory_t *d, guint64 view,
                          const pu_directory_member_t *members, guint n)
{
  if (view < d->view)
    return false;
  d->view = view;
  d->n_zones = 0;
  g_array_set_size (d->members, 0);
  g_hash_table_remove_all (d->rankings);
  for (guint i = 0; i < n; i++)
    {
      if (!members[i].leaving && members[i].address[0])
        add_member (d, &members[i]);
    }
  return true;
}

guint
pu_directory_set_size (const pu_directory_t *d, double rate)
{
  double capacity = MAX (d->options.entry_capacity_per_s, 1);
  double need = ceil (MAX (rate, 0) / capacity);
  guint most = d->members->len;
  guint size;

  if (d->options.set_max)
    most = MIN (most, d->options.set_max);
  size = need < most ? (guint)need : most;
  return MIN (MAX (size, d->options.set_min), most);
}

/* Highest score first; ties are ordered by member name, so that the
   result does not depend on the order of the view.  */
static gint
compare_scores (gconstpointer a, gconstpointer b, gpointer data)
{
  const rank_t *x = a;
  const rank_t *y = b;
  const pu_directory_t *d = data;

  if (x->score != y->score)
    return x->score > y->score ? -1 : 1;
  return strcmp (member_at (d, x->member)->name,
                 member_at (d, y->member)->name);
}

static gint
compare_zone_ranks (gconstpointer a, gconstpointer b, gpointer data)
{
  const rank_t *x = a;
  const rank_t *y = b;

  if (x->zone_rank != y->zone_rank)
    return x->zone_rank < y->zone_rank ? -1 : 1;
  return compare_scores (a, b, data);
}

/* Ranks all members for KEY: the best of each zone, then the second best of
   each zone, and so on, by score within each of these groups.  */
static GArray *
rank_members (const pu_directory_t *d, const char *key)
{
  guint n = d->members->len;
  guint64 seed = XXH64 (key, strlen (key), 0);
  rank_t *ranks = g_new (rank_t, n + 1);
  guint *n_ranked = g_new0 (guint, d->n_zones + 1);
  GArray *order = g_array_sized_new (FALSE, FALSE, sizeof (guint), n);

  for (guint i = 0; i < n; i++)
    {
      guint64 hash = member_at (d, i)->hash;

      ranks[i] = (rank_t){ XXH64 (&hash, sizeof hash, seed), i, 0 };
    }
  g_qsort_with_data (ranks, (gint)n, sizeof *ranks, compare_scores,
                     (gpointer)d);
  for (guint i = 0; i < n; i++)
    {
      ranks[i].zone_rank
          = n_ranked[member_at (d, ranks[i].member)->zone_index]++;
    }
  g_qsort_with_data (ranks, (gint)n, sizeof *ranks, compare_zone_ranks,
                     (gpointer)d);
  for (guint i = 0; i < n; i++)
    g_array_append_val (order, ranks[i].member);
  g_free (n_ranked);
  g_free (ranks);
  return order;
}

static const GArray *
ranking (pu_directory_t *d, const char *key)
{
  GArray *order = g_hash_table_lookup (d->rankings, key);

  if (order)
    return order;
  if (g_hash_table_size (d->rankings) >= d->options.cache_max)
    g_hash_table_remove_all (d->rankings);
  order = rank_members (d, key);
  g_hash_table_insert (d->rankings, g_strdup (key), order);
  return order;
}

typedef enum
{
  SAME_ZONE,
  SAME_REGION,
  OTHER_REGION,
} distance_t;

static distance_t
distance (const member_t *m, const char *region, const char *zone)
{
  if (region && strcmp (m->region, region) != 0)
    return OTHER_REGION;
  if (zone && strcmp (m->zone, zone) == 0)
    return SAME_ZONE;
  return SAME_REGION;
}

static guint
weight_at (const pu_directory_t *d, distance_t at)
{
  switch (at)
    {
    case SAME_ZONE:
      return d->options.weight_zone;
    case SAME_REGION:
      return d->options.weight_region;
    case OTHER_REGION:
      break;
    }
  return d->options.weight_other;
}

static pu_directory_entry_t
entry_of (const member_t *m, guint weight)
{
  return (pu_directory_entry_t){ m->name, m->address, m->zone, weight };
}

guint
pu_directory_entries (pu_directory_t *d, const char *key, guint size,
                      const char *region, const char *zone, GArray *out)
{
  const GArray *order = ranking (d, key);
  guint n = MIN (size, order->len);

  for (distance_t at = SAME_ZONE; at <= OTHER_REGION; at++)
    {
      for (guint i = 0; i < n; i++)
        {
          const member_t *m = member_at (d, g_array_index (order, guint, i));
          pu_directory_entry_t entry;

          if (distance (m, region, zone) != at)
            continue;
          entry = entry_of (m, zone ? weight_at (d, at) : 1);
          g_array_append_val (out, entry);
        }
    }
  return n;
}

static guint
zone_members (const pu_directory_t *d, const char *zone)
{
  guint n = 0;

  for (guint i = 0; i < d->members->len; i++)
    n += strcmp (member_at (d, i)->zone, zone) == 0;
  return n;
}

/* The number of entries in the shared set of a zone that has N entries.  */
static guint
shared_size (const pu_directory_t *d, guint n)
{
  return MIN (
      n, MAX (d->options.zone_min, (guint)ceil (d->options.zone_share * n)));
}

guint
pu_directory_zone_entries (pu_directory_t *d, const char *zone, GArray *out)
{
  const GArray *order = ranking (d, SHARED_KEY);
  guint size = shared_size (d, zone_members (d, zone));
  guint n = 0;

  for (guint i = 0; i < order->len && n < size; i++)
    {
      const member_t *m = member_at (d, g_array_index (order, guint, i));
      pu_directory_entry_t entry = entry_of (m, 1);

      if (strcmp (m->zone, zone) != 0)
        continue;
      g_array_append_val (out, entry);
      n++;
    }
  return n;
}

guint
pu_directory_shared_entries (pu_directory_t *d, bool *self_shared)
{
  const GArray *order = ranking (d, SHARED_KEY);
  guint *sizes = g_new0 (guint, d->n_zones + 1);
  guint n = 0;

  *self_shared = false;
  for (guint i = 0; i < order->len; i++)
    sizes[member_at (d, i)->zone_index]++;
  for (guint z = 0; z < d->n_zones; z++)
    {
      sizes[z] = shared_size (d, sizes[z]);
      n += sizes[z];
    }
  for (guint i = 0; i < order->len; i++)
    {
      const member_t *m = member_at (d, g_array_index (order, guint, i));

      if (sizes[m->zone_index] == 0)
        continue;
      sizes[m->zone_index]--;
      *self_shared = *self_shared || strcmp (m->name, d->self) == 0;
    }
  g_free (sizes);
  return n;
}

guint
pu_directory_ttl_s (const pu_directory_t *d)
{
  return d->options.ttl_s;
}

bool
pu_directory_contains (pu_directory_t *d, const char *key, guint size,
                       const char *name)
{
  const GArray *order = ranking (d, key);

  for (guint i = 0; i < MIN (size, order->len); i++)
    {
      if (strcmp (member_at (d, g_array_index (order, guint, i))->name, name)
          == 0)
        return true;
    }
  return false;
}

static bool
is_avoided (const char *name, const char *const *avoid, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      if (strcmp (name, avoid[i]) == 0)
        return true;
    }
  return false;
}

static const member_t *
find_member (const pu_directory_t *d, const char *name)
{
  for (guint i = 0; i < d->members->len; i++)
    {
      if (strcmp (member_at (d, i)->name, name) == 0)
        return member_at (d, i);
    }
  return NULL;
}

bool
pu_directory_next_hop (pu_directory_t *d, const char *key, guint size,
                       guint hops, const char *const *avoid, guint n_avoid,
                       pu_directory_entry_t *entry)
{
  const GArray *order = ranking (d, key);
  const member_t *self = find_member (d, d->self);
  const member_t *best = NULL;
  distance_t best_at = OTHER_REGION;

  if (hops > 0 || pu_directory_contains (d, key, size, d->self))
    return false;
  for (guint i = 0; i < MIN (size, order->len); i++)
    {
      const member_t *m = member_at (d, g_array_index (order, guint, i));
      distance_t at
          = self ? distance (m, self->region, self->zone) : SAME_REGION;

      if (is_avoided (m->name, avoid, n_avoid))
        continue;
      if (best && at >= best_at)
        continue;
      best = m;
      best_at = at;
    }
  if (!best)
    return false;
  *entry = entry_of (best, weight_at (d, best_at));
  return true;
}
