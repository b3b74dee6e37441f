#include "suspects/suspects.h"

#include <string.h>
#include <xxhash.h>

enum
{
  DEFAULT_STRIKE_WAIT_MS = 600000,
  DEFAULT_LIKE_WAIT_MS = 200,
  DEFAULT_CUT_KEPT_MS = 5000,
  DEFAULT_CUT_WAIT_MS = 1000,
  CUTS_MAX = 1024,
};

/* What is held against a fingerprint.  */
typedef struct
{
  guint64 fingerprint;
  guint strikes; /* that the log counts */
  bool convicted;
  guint64 until; /* a strike of our own counts until then; 0: none */
} record_t;

/* The requests of one fingerprint that run without an answer.  */
typedef struct
{
  guint64 fingerprint;
  GQueue runs;     /* of run_t */
  guint broken;    /* of these */
  guint32 backend; /* where one of them runs at least */
  guint elsewhere; /* runs at others */
} like_t;

/* A request that runs, or that was cut.  */
typedef struct
{
  guint64 request;
  guint64 fingerprint;
  guint32 backend;
  guint64 incarnation;
  bool apart;
  bool broken;
  bool cut;
  guint64 serial;     /* rises with each start */
  guint64 cut_at;     /* loop time */
  guint64 cut_serial; /* of the last one started before the cut */
  like_t *like;       /* NULL: answered, or cut */
  GList link;         /* in it */
} run_t;

struct pu_suspects
{
  pu_suspects_options_t options;
  GHashTable *records; /* &fingerprint -> record_t *, owned */
  GHashTable *runs;    /* &request -> run_t *, owned */
  GPtrArray *apart;    /* of run_t *: the suspects among the runs */
  GHashTable *likes;   /* &fingerprint -> like_t *, owned */
  GQueue cuts;         /* of run_t *, owned: oldest first */
  guint64 serial;      /* of the last start */
};

static bool
broken (const pu_suspects_t *s, pu_suspects_break_t rule)
{
  return (s->options.test_breaks & rule) != 0;
}

void
pu_suspects_options_init (pu_suspects_options_t *o)
{
  o->strike_wait_ms = DEFAULT_STRIKE_WAIT_MS;
  o->like_wait_ms = DEFAULT_LIKE_WAIT_MS;
  o->cut_kept_ms = DEFAULT_CUT_KEPT_MS;
  o->cut_wait_ms = DEFAULT_CUT_WAIT_MS;
  o->test_breaks = 0;
}

pu_suspects_t *
pu_suspects_new (const pu_suspects_options_t *o)
{
  pu_suspects_t *s = g_new0 (pu_suspects_t, 1);

  s->options = *o;
  s->records
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  s->runs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  s->apart = g_ptr_array_new ();
  s->likes = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&s->cuts);
  return s;
}

void
pu_suspects_free (pu_suspects_t *s)
{
  if (s == NULL)
    return;
  g_ptr_array_free (s->apart, TRUE);
  g_queue_clear_full (&s->cuts, g_free);
  g_hash_table_destroy (s->likes);
  g_hash_table_destroy (s->runs);
  g_hash_table_destroy (s->records);
  g_free (s);
}

guint64
pu_suspects_fingerprint (const char *model, const void *input, size_t len)
{
  return XXH3_64bits_withSeed (input, len,
                               XXH3_64bits (model, strlen (model)));
}

static record_t *
record_of (pu_suspects_t *s, guint64 fingerprint)
{
  record_t *r = g_hash_table_lookup (s->records, &fingerprint);

  if (r != NULL)
    return r;
  r = g_new0 (record_t, 1);
  r->fingerprint = fingerprint;
  g_hash_table_insert (s->records, &r->fingerprint, r);
  return r;
}

void
pu_suspects_put (pu_suspects_t *s, guint64 fingerprint, guint strikes,
                 bool convicted)
{
  record_t *r = record_of (s, fingerprint);

  r->strikes = strikes;
  r->convicted = convicted;
  r->until = 0;
}

void
pu_suspects_remove (pu_suspects_t *s, guint64 fingerprint)
{
  g_hash_table_remove (s->records, &fingerprint);
}

bool
pu_suspects_is_suspect (const pu_suspects_t *s, guint64 fingerprint,
                        guint64 now)
{
  const record_t *r = g_hash_table_lookup (s->records, &fingerprint);

  return r != NULL && (r->strikes > 0 || r->until > now);
}

static bool
runs_apart (const pu_suspects_t *s, guint64 fingerprint)
{
  for (guint i = 0; i < s->apart->len; i++)
    {
      const run_t *r = g_ptr_array_index (s->apart, i);

      if (r->fingerprint == fingerprint)
        return true;
    }
  return false;
}

/* Whether R, a suspect, was cut so lately that its backend server may be dying
   of it.  */
static bool
cut_lately (const pu_suspects_t *s, const run_t *r, guint64 now)
{
  return r->apart && now - r->cut_at < s->options.cut_wait_ms;
}

static bool
like_cut_lately (const pu_suspects_t *s, guint64 fingerprint, guint64 now)
{
  for (const GList *l = s->cuts.head; l != NULL; l = l->next)
    {
      const run_t *r = l->data;

      if (r->fingerprint == fingerprint && cut_lately (s, r, now))
        return true;
    }
  return false;
}

static like_t *
like_of (const pu_suspects_t *s, guint64 fingerprint)
{
  if (broken (s, PU_SUSPECTS_BREAK_SCATTER))
    return NULL;
  return g_hash_table_lookup (s->likes, &fingerprint);
}

pu_suspects_verdict_t
pu_suspects_check (pu_suspects_t *s, guint64 fingerprint, guint64 now)
{
  const record_t *r = g_hash_table_lookup (s->records, &fingerprint);
  const like_t *like = like_of (s, fingerprint);

  if (!pu_suspects_is_suspect (s, fingerprint, now))
    {
      bool doubted = like != NULL && like->broken > 0;

      return doubted ? PU_SUSPECTS_WAIT : PU_SUSPECTS_RUN;
    }
  if (r->convicted && !broken (s, PU_SUSPECTS_BREAK_NO_CONVICTION))
    return PU_SUSPECTS_REFUSE;
  if ((like != NULL || runs_apart (s, fingerprint)
       || like_cut_lately (s, fingerprint, now))
      && !broken (s, PU_SUSPECTS_BREAK_TOGETHER))
    return PU_SUSPECTS_WAIT;
  return PU_SUSPECTS_RUN_ISOLATED;
}

static void
like_add (pu_suspects_t *s, run_t *r)
{
  like_t *like = g_hash_table_lookup (s->likes, &r->fingerprint);

  if (like == NULL)
    {
      like = g_new0 (like_t, 1);
      like->fingerprint = r->fingerprint;
      like->backend = r->backend;
      g_hash_table_insert (s->likes, &like->fingerprint, like);
    }
  r->link.data = r;
  r->like = like;
  like->elsewhere += r->backend != like->backend;
  g_queue_push_tail_link (&like->runs, &r->link);
}

/* None of LIKE's runs is at its backend server any more.  */
static void
like_move (like_t *like)
{
  like->backend = ((const run_t *)like->runs.head->data)->backend;
  like->elsewhere = 0;
  for (const GList *l = like->runs.head; l != NULL; l = l->next)
    {
      const run_t *r = l->data;

      like->elsewhere += r->backend != like->backend;
    }
}

static void
like_remove (pu_suspects_t *s, run_t *r)
{
  like_t *like = r->like;

  if (like == NULL)
    return;
  r->like = NULL;
  g_queue_unlink (&like->runs, &r->link);
  like->broken -= r->broken;
  like->elsewhere -= r->backend != like->backend;
  if (g_queue_is_empty (&like->runs))
    {
      g_hash_table_remove (s->likes, &like->fingerprint);
    }
  else if (like->elsewhere == like->runs.length)
    {
      like_move (like);
    }
}

/* R runs no longer; the caller frees it.  */
static void
run_leave (pu_suspects_t *s, run_t *r)
{
  like_remove (s, r);
  g_ptr_array_remove_fast (s->apart, r);
}

void
pu_suspects_started (pu_suspects_t *s, guint64 request, guint64 fingerprint,
                     guint32 backend, guint64 incarnation, guint64 now)
{
  run_t *r = g_new0 (run_t, 1);

  pu_suspects_finished (s, request);
  r->request = request;
  r->fingerprint = fingerprint;
  r->backend = backend;
  r->incarnation = incarnation;
  r->serial = ++s->serial;
  r->apart = pu_suspects_is_suspect (s, fingerprint, now);
  if (r->apart)
    g_ptr_array_add (s->apart, r);
  like_add (s, r);
  g_hash_table_insert (s->runs, &r->request, r);
}

void
pu_suspects_answered (pu_suspects_t *s, guint64 request)
{
  run_t *r = g_hash_table_lookup (s->runs, &request);

  if (r != NULL)
    like_remove (s, r);
}

void
pu_suspects_connection_lost (pu_suspects_t *s, guint64 request)
{
  run_t *r = g_hash_table_lookup (s->runs, &request);

  if (r == NULL || r->broken)
    return;
  if (r->like == NULL)
    like_add (s, r);
  r->broken = true;
  r->like->broken++;
}

void
pu_suspects_finished (pu_suspects_t *s, guint64 request)
{
  run_t *r = g_hash_table_lookup (s->runs, &request);

  if (r == NULL)
    return;
  run_leave (s, r);
  g_hash_table_remove (s->runs, &request);
}

static void
cuts_forget (pu_suspects_t *s, guint64 now)
{
  const run_t *r = g_queue_peek_head (&s->cuts);

  while (r != NULL
         && (s->cuts.length > CUTS_MAX
             || now - r->cut_at >= s->options.cut_kept_ms))
    {
      g_free (g_queue_pop_head (&s->cuts));
      r = g_queue_peek_head (&s->cuts);
    }
}

void
pu_suspects_aborted (pu_suspects_t *s, guint64 request, guint64 now)
{
  run_t *r = g_hash_table_lookup (s->runs, &request);

  if (r == NULL)
    return;
  run_leave (s, r);
  g_hash_table_steal (s->runs, &request);
  r->cut = true;
  r->cut_at = now;
  r->cut_serial = s->serial;
  g_queue_push_tail (&s->cuts, r);
  cuts_forget (s, now);
}

bool
pu_suspects_must_avoid (const pu_suspects_t *s, guint64 fingerprint,
                        guint32 backend, guint64 since, guint64 now)
{
  const like_t *like = like_of (s, fingerprint);

  if (like == NULL || broken (s, PU_SUSPECTS_BREAK_TOGETHER)
      || (since != 0 && now - since >= s->options.like_wait_ms))
    return false;
  return like->backend != backend || like->elsewhere > 0;
}

static bool
struck (const GArray *strikes, guint64 fingerprint)
{
  for (guint i = 0; i < strikes->len; i++)
    {
      if (g_array_index (strikes, pu_suspects_strike_t, i).fingerprint
          == fingerprint)
        return true;
    }
  return false;
}

static void
strike (pu_suspects_t *s, const run_t *r, bool apart, GArray *strikes,
        guint64 now)
{
  pu_suspects_strike_t one = { .fingerprint = r->fingerprint,
                               .backend = r->backend,
                               .incarnation = r->incarnation,
                               .apart = apart };

  if (broken (s, PU_SUSPECTS_BREAK_NO_STRIKE)
      || struck (strikes, r->fingerprint))
    return;
  record_of (s, r->fingerprint)->until = now + s->options.strike_wait_ms;
  g_array_append_val (strikes, one);
}

bool
pu_suspects_occupied (const pu_suspects_t *s, guint32 backend, guint64 now)
{
  for (guint i = 0; i < s->apart->len; i++)
    {
      const run_t *r = g_ptr_array_index (s->apart, i);

      if (r->backend == backend)
        return true;
    }
  for (const GList *l = s->cuts.head; l != NULL; l = l->next)
    {
      const run_t *r = l->data;

      if (r->backend == backend && cut_lately (s, r, now))
        return true;
    }
  return false;
}

/* Takes what ran or was cut at INCARNATION of BACKEND, or an older one, out
   of the tables.  The caller frees it.  */
static GPtrArray *
dead_take (pu_suspects_t *s, guint32 backend, guint64 incarnation)
{
  GPtrArray *dead = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter i;
  gpointer value;
  GList *next;

  g_hash_table_iter_init (&i, s->runs);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      run_t *r = value;

      if (r->backend != backend || r->incarnation > incarnation)
        continue;
      run_leave (s, r);
      g_hash_table_iter_steal (&i);
      g_ptr_array_add (dead, r);
    }
  for (GList *l = s->cuts.head; l != NULL; l = next)
    {
      run_t *r = l->data;

      next = l->next;
      if (r->backend != backend || r->incarnation > incarnation)
        continue;
      g_queue_delete_link (&s->cuts, l);
      g_ptr_array_add (dead, r);
    }
  return dead;
}

/* Whether R had its backend server to itself when that died.  One that was
   cut had so when nothing was sent there since.  */
static bool
died_apart (const pu_suspects_t *s, const GPtrArray *dead, const run_t *r,
            guint64 now)
{
  if (broken (s, PU_SUSPECTS_BREAK_CUT_APART) && r->cut)
    return pu_suspects_is_suspect (s, r->fingerprint, now);
  if (!r->apart || !r->cut)
    return r->apart;
  for (guint i = 0; i < dead->len; i++)
    {
      const run_t *other = g_ptr_array_index (dead, i);

      if (other->serial > r->cut_serial)
        return false;
    }
  return true;
}

guint
pu_suspects_backend_died (pu_suspects_t *s, guint32 backend,
                          guint64 incarnation, GArray *strikes, guint64 now)
{
  GPtrArray *dead;
  guint ended = 0;
  bool alone = false;

  cuts_forget (s, now);
  dead = dead_take (s, backend, incarnation);
  for (guint i = 0; i < dead->len; i++)
    {
      const run_t *r = g_ptr_array_index (dead, i);

      ended += !r->cut;
      alone = alone || died_apart (s, dead, r, now);
    }
  /* A suspect that ran apart is struck alone.  */
  for (guint i = 0; i < dead->len; i++)
    {
      const run_t *r = g_ptr_array_index (dead, i);
      bool apart = died_apart (s, dead, r, now);

      if (apart || !alone)
        strike (s, r, apart, strikes, now);
    }
  g_ptr_array_free (dead, TRUE);
  return ended;
}

guint
pu_suspects_in_flight (const pu_suspects_t *s)
{
  return g_hash_table_size (s->runs);
}
