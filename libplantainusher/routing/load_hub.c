#include "routing/load_hub.h"

#include <math.h>
#include <string.h>

#define THOUSAND 1000.0
/* Part by which the common scale may change before all engines are stated
   again.  */
#define SCALE_STEP 0.01
#define SWEEP_INTERVAL_MS 1000

/* Requests at an engine; signed, for differences.  */
typedef struct
{
  gint64 running;
  gint64 prefilling;
  gint64 streams;
  gint64 prefill_tokens;
} load_t;

/* What an entry has at an engine.  */
typedef struct
{
  guint64 id;
  load_t load;
  guint64 statement; /* number of the statement that had it last */
} part_t;

typedef struct
{
  char *name;
  guint64 incarnation;
  guint64 seq;
  guint64 heard_at;
  GHashTable *parts; /* &id -> part_t, none without requests */
  GList link;        /* in `heard` */
} entry_t;

typedef struct
{
  guint64 id;
  load_t total;
  double mean;  /* of the samples; 0: none */
  guint weight; /* samples in it, PU_LOAD_HUB_SAMPLES at most */
  guint64 version;
  guint64 used_at; /* it last had requests or samples */
  GList link;      /* in `changed` */
} engine_t;

struct pu_load_hub
{
  pu_load_hub_options_t o;
  guint64 version;
  guint64 statements;  /* taken; unlike an entry's `seq`, no number comes
                          again after a restart of the entry */
  GHashTable *entries; /* name -> entry_t */
  GQueue heard;        /* of entry_t, the one silent for longest first */
  GHashTable *engines; /* &id -> engine_t */
  GQueue changed;      /* of engine_t, by rising version */
  guint pairs;
  guint anchors;     /* engines that define the scale */
  double anchor_sum; /* of their means */
  double scale;      /* by which replies divide */
  guint64 swept_at;
};

static void
entry_free (gpointer entry)
{
  entry_t *e = entry;

  g_hash_table_destroy (e->parts);
  g_free (e->name);
  g_free (e);
}

pu_load_hub_t *
pu_load_hub_new (const pu_load_hub_options_t *o)
{
  pu_load_hub_t *h = g_new0 (pu_load_hub_t, 1);

  h->o = *o;
  h->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  h->engines
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&h->heard);
  g_queue_init (&h->changed);
  h->scale = 1;
  return h;
}

void
pu_load_hub_free (pu_load_hub_t *h)
{
  if (h == NULL)
    return;
  g_hash_table_destroy (h->entries);
  g_hash_table_destroy (h->engines);
  g_free (h);
}

/* --- engines --- */

static bool
load_is_zero (const load_t *l)
{
  return l->running == 0 && l->prefilling == 0 && l->streams == 0
         && l->prefill_tokens == 0;
}

static void
engine_changed (pu_load_hub_t *h, engine_t *g)
{
  g->version = ++h->version;
  g_queue_unlink (&h->changed, &g->link);
  g_queue_push_tail_link (&h->changed, &g->link);
}

static engine_t *
engine_get_or_add (pu_load_hub_t *h, guint64 id)
{
  engine_t *g = g_hash_table_lookup (h->engines, &id);

  if (g != NULL)
    return g;
  g = g_new0 (engine_t, 1);
  g->id = id;
  g->link.data = g;
  g_queue_push_tail_link (&h->changed, &g->link);
  g_hash_table_insert (h->engines, &g->id, g);
  return g;
}

static void
engine_add_load (pu_load_hub_t *h, engine_t *g, const load_t *from,
                 const load_t *to, guint64 now)
{
  if (!load_is_zero (&g->total) || !load_is_zero (to))
    g->used_at = now;
  if (memcmp (from, to, sizeof *from) == 0)
    return;
  g->total.running += to->running - from->running;
  g->total.prefilling += to->prefilling - from->prefilling;
  g->total.streams += to->streams - from->streams;
  g->total.prefill_tokens += to->prefill_tokens - from->prefill_tokens;
  engine_changed (h, g);
}

static bool
is_anchor (const engine_t *g)
{
  return g->weight >= PU_LOAD_HUB_ANCHOR_SAMPLES;
}

static void
anchor_add (pu_load_hub_t *h, const engine_t *g, int sign)
{
  if (!is_anchor (g))
    return;
  h->anchors = sign > 0 ? h->anchors + 1 : h->anchors - 1;
  h->anchor_sum += sign * g->mean;
}

static void
scale_update (pu_load_hub_t *h)
{
  double scale = h->anchors >= PU_LOAD_HUB_ANCHOR_ENGINES
                     ? h->anchor_sum / h->anchors
                     : 1;
  GHashTableIter it;
  gpointer engine;

  if (fabs (scale / h->scale - 1) < SCALE_STEP)
    return;
  h->scale = scale;
  g_hash_table_iter_init (&it, h->engines);
  while (g_hash_table_iter_next (&it, NULL, &engine))
    {
      if (((engine_t *)engine)->weight > 0)
        engine_changed (h, engine);
    }
}

static void
engine_add_samples (pu_load_hub_t *h, engine_t *g, const pu_load_use_t *u,
                    guint64 now)
{
  double ratio = CLAMP ((double)u->ratio_sum / u->ratio_count,
                        PU_LOAD_HUB_RATIO_MIN, PU_LOAD_HUB_RATIO_MAX)
                 / THOUSAND;
  guint n = MIN (u->ratio_count, PU_LOAD_HUB_SAMPLES);
  guint before = MIN (g->weight, PU_LOAD_HUB_SAMPLES - n);

  anchor_add (h, g, -1);
  g->mean = (g->mean * before + ratio * n) / (before + n);
  g->weight = before + n;
  anchor_add (h, g, 1);
  g->used_at = now;
  engine_changed (h, g);
}

static void
engine_drop (pu_load_hub_t *h, engine_t *g)
{
  anchor_add (h, g, -1);
  g_queue_unlink (&h->changed, &g->link);
}

/* --- entries --- */

static void
entry_clear_parts (pu_load_hub_t *h, const entry_t *e, guint64 now)
{
  static const load_t none = { 0 };
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, e->parts);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const part_t *p = value;

      engine_add_load (h, engine_get_or_add (h, p->id), &p->load, &none, now);
    }
  h->pairs -= g_hash_table_size (e->parts);
  g_hash_table_remove_all (e->parts);
}

static void
entry_forget (pu_load_hub_t *h, entry_t *e, guint64 now)
{
  entry_clear_parts (h, e, now);
  g_queue_unlink (&h->heard, &e->link);
  g_hash_table_remove (h->entries, e->name);
}

static entry_t *
entry_add (pu_load_hub_t *h, const char *name)
{
  entry_t *e = g_new0 (entry_t, 1);

  e->name = g_strdup (name);
  e->link.data = e;
  e->parts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_push_tail_link (&h->heard, &e->link);
  g_hash_table_insert (h->entries, e->name, e);
  return e;
}

static gboolean
engine_is_over (gpointer id, gpointer engine, gpointer data)
{
  pu_load_hub_t *h = data;
  engine_t *g = engine;

  (void)id;
  if (!load_is_zero (&g->total)
      || h->swept_at - g->used_at < PU_LOAD_HUB_ENGINE_MS)
    return FALSE;
  engine_drop (h, g);
  return TRUE;
}

static void
sweep (pu_load_hub_t *h, guint64 now)
{
  entry_t *e;

  while ((e = g_queue_peek_head (&h->heard)) != NULL
         && now - e->heard_at >= PU_LOAD_HUB_ENTRY_MS
         && !(h->o.test_breaks & PU_LOAD_HUB_BREAK_SILENT_COUNT))
    entry_forget (h, e, now);
  if (now - h->swept_at < SWEEP_INTERVAL_MS)
    return;
  h->swept_at = now;
  if (g_hash_table_foreach_remove (h->engines, engine_is_over, h) > 0)
    scale_update (h);
}

/* --- statements --- */

static load_t
load_of (const pu_load_use_t *u)
{
  return (load_t){ .running = u->running,
                   .prefilling = u->prefilling,
                   .streams = u->streams,
                   .prefill_tokens = u->prefill_tokens };
}

/* Whether S keeps the bounds, by an estimate that counts an engine each time
   that it is stated.  */
static bool
fits (const pu_load_hub_t *h, const entry_t *e, const pu_load_statement_t *s)
{
  guint own = e != NULL ? g_hash_table_size (e->parts) : 0;
  guint pairs = h->pairs - (s->base == 0 ? own : 0);
  guint engines = g_hash_table_size (h->engines);

  if (s->n > PU_LOAD_HUB_ENGINES_MAX)
    return false;
  for (guint i = 0; i < s->n; i++)
    {
      const pu_load_use_t *u = &s->uses[i];
      load_t l = load_of (u);

      if (!load_is_zero (&l)
          && (s->base == 0 || e == NULL
              || !g_hash_table_contains (e->parts, &u->id)))
        pairs++;
      if ((!load_is_zero (&l) || u->ratio_count > 0)
          && !g_hash_table_contains (h->engines, &u->id))
        engines++;
    }
  return pairs <= PU_LOAD_HUB_PAIRS_MAX && engines <= PU_LOAD_HUB_ENGINES_MAX
         && (e != NULL
             || g_hash_table_size (h->entries) < PU_LOAD_HUB_ENTRIES_MAX);
}

static void
use_apply (pu_load_hub_t *h, entry_t *e, const pu_load_use_t *u, guint64 now)
{
  static const load_t none = { 0 };
  part_t *p = g_hash_table_lookup (e->parts, &u->id);
  load_t before = p != NULL ? p->load : none;
  load_t l = load_of (u);
  bool zero = load_is_zero (&l);
  engine_t *g;

  if (zero && p == NULL && u->ratio_count == 0)
    return;
  g = engine_get_or_add (h, u->id);
  engine_add_load (h, g, &before, &l, now);
  if (u->ratio_count > 0)
    engine_add_samples (h, g, u, now);
  if (zero && p != NULL)
    {
      g_hash_table_remove (e->parts, &u->id);
      h->pairs--;
    }
  if (zero)
    return;
  if (p == NULL)
    {
      p = g_new0 (part_t, 1);
      p->id = u->id;
      g_hash_table_insert (e->parts, &p->id, p);
      h->pairs++;
    }
  p->load = l;
  p->statement = h->statements;
}

/* Removes the parts of E that its whole statement lacks.  */
static void
parts_remove_missing (pu_load_hub_t *h, const entry_t *e, guint64 now)
{
  static const load_t none = { 0 };
  GHashTableIter it;
  gpointer value;

  if (h->o.test_breaks & PU_LOAD_HUB_BREAK_KEEP_MISSING)
    return;
  g_hash_table_iter_init (&it, e->parts);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const part_t *p = value;

      if (p->statement == h->statements)
        continue;
      engine_add_load (h, engine_get_or_add (h, p->id), &p->load, &none, now);
      h->pairs--;
      g_hash_table_iter_remove (&it);
    }
}

static void
statement_apply (pu_load_hub_t *h, entry_t *e, const pu_load_statement_t *s,
                 guint64 now)
{
  bool sampled = false;

  h->statements++;
  e->seq = s->seq;
  e->heard_at = now;
  g_queue_unlink (&h->heard, &e->link);
  g_queue_push_tail_link (&h->heard, &e->link);
  for (guint i = 0; i < s->n; i++)
    {
      use_apply (h, e, &s->uses[i], now);
      sampled = sampled || s->uses[i].ratio_count > 0;
    }
  if (s->base == 0)
    parts_remove_missing (h, e, now);
  if (sampled)
    scale_update (h);
}

/* Takes S if it can be taken, and returns whether the entry must state all
   that it has.  */
static bool
statement_take (pu_load_hub_t *h, const char *name, entry_t *e,
                const pu_load_statement_t *s, guint64 now)
{
  if (e != NULL && s->incarnation < e->incarnation)
    return true;
  if (e != NULL && s->incarnation == e->incarnation && s->seq <= e->seq)
    return false;
  if (s->base != 0
      && (e == NULL || s->incarnation != e->incarnation || s->base != e->seq))
    return true;
  if (e == NULL)
    e = entry_add (h, name);
  e->incarnation = s->incarnation;
  statement_apply (h, e, s, now);
  return false;
}

/* --- replies --- */

static guint32
bounded (gint64 n)
{
  return (guint32)CLAMP (n, 0, G_MAXUINT32);
}

static pu_load_total_t
total_of (const pu_load_hub_t *h, const entry_t *e, const engine_t *g)
{
  static const load_t none = { 0 };
  const part_t *p = e != NULL ? g_hash_table_lookup (e->parts, &g->id) : NULL;
  const load_t *own = p != NULL ? &p->load : &none;

  if (h->o.test_breaks & PU_LOAD_HUB_BREAK_OWN)
    own = &none;
  return (pu_load_total_t){
    .id = g->id,
    .running = bounded (g->total.running - own->running),
    .prefilling = bounded (g->total.prefilling - own->prefilling),
    .streams = bounded (g->total.streams - own->streams),
    .prefill_tokens = bounded (g->total.prefill_tokens - own->prefill_tokens),
    .slowness = g->weight > 0 ? MAX (
                    1, bounded ((gint64)(g->mean / h->scale * THOUSAND + 0.5)))
                              : 0,
  };
}

static void
reply_set (const pu_load_hub_t *h, const char *entry,
           const pu_load_since_t *since, pu_load_reply_t *reply)
{
  const entry_t *e = g_hash_table_lookup (h->entries, entry);

  reply->hub = h->o.id;
  reply->version = h->version;
  reply->next_ms = MAX (h->o.interval_ms, g_hash_table_size (h->entries));
  reply->all = since->hub != h->o.id || since->version == 0
               || since->version > h->version;
  for (const GList *l = h->changed.tail; l != NULL; l = l->prev)
    {
      const engine_t *g = l->data;
      pu_load_total_t t;

      if (!reply->all && g->version <= since->version)
        break;
      t = total_of (h, e, g);
      g_array_append_val (reply->totals, t);
    }
}

bool
pu_load_hub_answer (pu_load_hub_t *h, const char *entry,
                    const pu_load_statement_t *statement,
                    const pu_load_since_t *since, guint64 now,
                    pu_load_reply_t *reply)
{
  entry_t *e;

  sweep (h, now);
  e = g_hash_table_lookup (h->entries, entry);
  if (!fits (h, e, statement))
    return false;
  reply->whole_wanted = statement_take (h, entry, e, statement, now);
  reply_set (h, entry, since, reply);
  return true;
}

guint
pu_load_hub_entries (const pu_load_hub_t *h)
{
  return g_hash_table_size (h->entries);
}

guint
pu_load_hub_engines (const pu_load_hub_t *h)
{
  return g_hash_table_size (h->engines);
}
