#include "routing/request_sizes.h"

#include <stdbool.h>

enum
{
  SLOT_MS = 60000,
  /* Ten minutes, and the minute that is not over.  */
  SLOTS = 11,
};

/* The requests of a team; a slot belongs to one minute.  */
typedef struct
{
  guint64 minutes[SLOTS];
  guint64 tokens[SLOTS];
} sizes_t;

struct pu_request_sizes
{
  GHashTable *teams; /* name -> sizes_t */
};

pu_request_sizes_t *
pu_request_sizes_new (void)
{
  pu_request_sizes_t *s = g_new0 (pu_request_sizes_t, 1);

  s->teams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return s;
}

void
pu_request_sizes_free (pu_request_sizes_t *s)
{
  if (s == NULL)
    return;
  g_hash_table_destroy (s->teams);
  g_free (s);
}

static guint64
largest (const sizes_t *t, guint64 now)
{
  guint64 most = 0;

  for (guint i = 0; i < SLOTS; i++)
    {
      if (t->minutes[i] + SLOTS > now / SLOT_MS)
        most = MAX (most, t->tokens[i]);
    }
  return most;
}

static gboolean
is_stale (gpointer name, gpointer sizes, gpointer now)
{
  (void)name;
  return largest (sizes, *(const guint64 *)now) == 0;
}

/* Whether there is room for another team.  */
static bool
make_room (pu_request_sizes_t *s, guint64 now)
{
  if (g_hash_table_size (s->teams) < PU_REQUEST_SIZES_TEAMS_MAX)
    return true;
  return g_hash_table_foreach_remove (s->teams, is_stale, &now) > 0;
}

void
pu_request_sizes_add (pu_request_sizes_t *s, const char *team, guint64 tokens,
                      guint64 now)
{
  guint64 minute = now / SLOT_MS;
  guint i = minute % SLOTS;
  sizes_t *t;

  if (tokens == 0)
    return;
  t = g_hash_table_lookup (s->teams, team);
  if (t == NULL)
    {
      if (!make_room (s, now))
        return;
      t = g_new0 (sizes_t, 1);
      g_hash_table_insert (s->teams, g_strdup (team), t);
    }
  if (t->minutes[i] != minute)
    t->tokens[i] = 0;
  t->minutes[i] = minute;
  t->tokens[i] = MAX (t->tokens[i], tokens);
}

void
pu_request_sizes_each (const pu_request_sizes_t *s, guint64 now,
                       pu_request_sizes_fn *fn, void *data)
{
  GHashTableIter it;
  gpointer name;
  gpointer sizes;

  g_hash_table_iter_init (&it, s->teams);
  while (g_hash_table_iter_next (&it, &name, &sizes))
    {
      guint64 tokens = largest (sizes, now);

      if (tokens > 0)
        fn (data, name, tokens);
    }
}
