#include "suspects/suspects.h"

#include <string.h>
#include <xxhash.h>

#define DEFAULT_STRIKE_WAIT_MS 600000u

/* What is held against a fingerprint.  */
typedef struct
{
  guint64 fingerprint;
  guint strikes; /* that the log counts */
  bool convicted;
  guint64 until; /* a strike of our own counts until then; 0: none */
} record_t;

/* A request that runs.  */
typedef struct
{
  guint64 request;
  guint64 fingerprint;
  guint32 backend;
  guint64 incarnation;
  bool apart;
} run_t;

struct pu_suspects
{
  pu_suspects_options_t options;
  GHashTable *records; /* &fingerprint -> record_t *, owned */
  GHashTable *runs;    /* &request -> run_t *, owned */
  GPtrArray *apart;    /* of run_t *: the suspects among the runs */
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
  return s;
}

void
pu_suspects_free (pu_suspects_t *s)
{
  if (s == NULL)
    return;
  g_ptr_array_free (s->apart, TRUE);
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
pu_suspects_lift (pu_suspects_t *s, guint64 fingerprint)
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

pu_suspects_verdict_t
pu_suspects_judge (pu_suspects_t *s, guint64 fingerprint, guint64 now)
{
  const record_t *r = g_hash_table_lookup (s->records, &fingerprint);

  if (!pu_suspects_is_suspect (s, fingerprint, now))
    return PU_SUSPECTS_RUN;
  if (r->convicted && !broken (s, PU_SUSPECTS_BREAK_NO_CONVICTION))
    return PU_SUSPECTS_REFUSE;
  if (runs_apart (s, fingerprint) && !broken (s, PU_SUSPECTS_BREAK_TOGETHER))
    return PU_SUSPECTS_WAIT;
  return PU_SUSPECTS_APART;
}

void
pu_suspects_started (pu_suspects_t *s, guint64 request, guint64 fingerprint,
                     guint32 backend, guint64 incarnation, guint64 now)
{
  run_t *r = g_new0 (run_t, 1);

  r->request = request;
  r->fingerprint = fingerprint;
  r->backend = backend;
  r->incarnation = incarnation;
  r->apart = pu_suspects_is_suspect (s, fingerprint, now);
  if (r->apart)
    g_ptr_array_add (s->apart, r);
  g_hash_table_replace (s->runs, &r->request, r);
}

void
pu_suspects_finished (pu_suspects_t *s, guint64 request)
{
  run_t *r = g_hash_table_lookup (s->runs, &request);

  if (r == NULL)
    return;
  g_ptr_array_remove_fast (s->apart, r);
  g_hash_table_remove (s->runs, &request);
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
strike (pu_suspects_t *s, const run_t *r, GArray *strikes, guint64 now)
{
  pu_suspects_strike_t one = { .fingerprint = r->fingerprint,
                               .backend = r->backend,
                               .incarnation = r->incarnation,
                               .apart = r->apart };

  if (broken (s, PU_SUSPECTS_BREAK_NO_STRIKE)
      || struck (strikes, r->fingerprint))
    return;
  record_of (s, r->fingerprint)->until = now + s->options.strike_wait_ms;
  g_array_append_val (strikes, one);
}

bool
pu_suspects_occupied (const pu_suspects_t *s, guint32 backend)
{
  for (guint i = 0; i < s->apart->len; i++)
    {
      const run_t *r = g_ptr_array_index (s->apart, i);

      if (r->backend == backend)
        return true;
    }
  return false;
}

guint
pu_suspects_died (pu_suspects_t *s, guint32 backend, guint64 incarnation,
                  GArray *strikes, guint64 now)
{
  /* A suspect that ran apart is struck alone.  */
  bool alone = pu_suspects_occupied (s, backend);
  guint ended = 0;
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, s->runs);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      run_t *r = value;

      if (r->backend != backend || r->incarnation > incarnation)
        continue;
      if (r->apart || !alone)
        strike (s, r, strikes, now);
      g_ptr_array_remove_fast (s->apart, r);
      g_hash_table_iter_remove (&i);
      ended++;
    }
  return ended;
}

guint
pu_suspects_running (const pu_suspects_t *s)
{
  return g_hash_table_size (s->runs);
}
