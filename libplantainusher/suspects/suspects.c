#include "suspects/suspects.h"

#include <string.h>
#include <xxhash.h>

enum
{
  DEFAULT_LOCAL_STRIKE_MS = 600000,
  DEFAULT_DUPLICATE_WAIT_MS = 200,
  DEFAULT_ABORTED_RETENTION_MS = 5000,
  DEFAULT_SUSPECT_COOLDOWN_MS = 1000,
  DEFAULT_ISOLATE_STRIKES = 1,
  DEFAULT_TOGETHER_STRIKES = 0,
  ABORTED_MAX = 1024,
};

/* The strikes of a fingerprint.  */
typedef struct
{
  guint64 fingerprint;
  guint strikes; /* in the replicated log */
  bool convicted;
  guint local_strikes; /* of this daemon, not in the replicated log yet */
  guint64 local_strike_until; /* when the local strikes expire; 0: none */
} record_t;

/* The requests of one fingerprint that are in flight without an answer.  */
typedef struct
{
  guint64 fingerprint;
  GQueue attempts;        /* of attempt_t */
  guint connections_lost; /* attempts whose connection was lost */
  guint32 backend;        /* runs at least one of them */
  guint elsewhere;        /* attempts on other backend servers */
} duplicates_t;

/* A request that is in flight, or that was aborted.  */
typedef struct
{
  guint64 request;
  guint64 fingerprint;
  guint32 backend;
  guint64 incarnation;
  bool isolated; /* was a suspect when it started */
  bool connection_lost;
  bool aborted;
  guint64 serial;           /* increases with each start */
  guint64 aborted_at;       /* in ms */
  guint64 serial_at_abort;  /* of the last start before the abort */
  duplicates_t *duplicates; /* NULL: answered or aborted */
  GList link;               /* in duplicates->attempts */
} attempt_t;

struct pu_suspects
{
  pu_suspects_options_t options;
  GHashTable *records;    /* &fingerprint -> record_t *, owned */
  GHashTable *in_flight;  /* &request -> attempt_t *, owned */
  GPtrArray *isolated;    /* of attempt_t *: the suspects in flight */
  GHashTable *duplicates; /* &fingerprint -> duplicates_t *, owned */
  GQueue aborted;         /* of attempt_t *, owned: oldest first */
  guint64 serial;         /* of the last start */
};

static bool
has_break (const pu_suspects_t *s, pu_suspects_break_t rule)
{
  return (s->options.test_breaks & rule) != 0;
}

void
pu_suspects_options_init (pu_suspects_options_t *o)
{
  o->local_strike_ms = DEFAULT_LOCAL_STRIKE_MS;
  o->duplicate_wait_ms = DEFAULT_DUPLICATE_WAIT_MS;
  o->aborted_retention_ms = DEFAULT_ABORTED_RETENTION_MS;
  o->suspect_cooldown_ms = DEFAULT_SUSPECT_COOLDOWN_MS;
  o->isolate_strikes = DEFAULT_ISOLATE_STRIKES;
  o->together_strikes = DEFAULT_TOGETHER_STRIKES;
  o->test_breaks = 0;
}

pu_suspects_t *
pu_suspects_new (const pu_suspects_options_t *o)
{
  pu_suspects_t *s = g_new0 (pu_suspects_t, 1);

  s->options = *o;
  s->records
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  s->in_flight
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  s->isolated = g_ptr_array_new ();
  s->duplicates
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&s->aborted);
  return s;
}

void
pu_suspects_free (pu_suspects_t *s)
{
  if (s == NULL)
    return;
  g_ptr_array_free (s->isolated, TRUE);
  g_queue_clear_full (&s->aborted, g_free);
  g_hash_table_destroy (s->duplicates);
  g_hash_table_destroy (s->in_flight);
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
record_ensure (pu_suspects_t *s, guint64 fingerprint)
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
  record_t *r = record_ensure (s, fingerprint);

  r->strikes = strikes;
  r->convicted = convicted;
  r->local_strikes = 0;
  r->local_strike_until = 0;
}

void
pu_suspects_remove (pu_suspects_t *s, guint64 fingerprint)
{
  g_hash_table_remove (s->records, &fingerprint);
}

guint
pu_suspects_strikes (const pu_suspects_t *s, guint64 fingerprint, guint64 now)
{
  const record_t *r = g_hash_table_lookup (s->records, &fingerprint);

  if (r == NULL)
    return 0;
  return r->strikes + (r->local_strike_until > now ? r->local_strikes : 0);
}

bool
pu_suspects_is_suspect (const pu_suspects_t *s, guint64 fingerprint,
                        guint64 now)
{
  return pu_suspects_strikes (s, fingerprint, now)
         >= s->options.isolate_strikes;
}

static bool
duplicate_isolated (const pu_suspects_t *s, guint64 fingerprint)
{
  for (guint i = 0; i < s->isolated->len; i++)
    {
      const attempt_t *r = g_ptr_array_index (s->isolated, i);

      if (r->fingerprint == fingerprint)
        return true;
    }
  return false;
}

/* Whether R is a suspect that was aborted so recently that its backend server
   may still die because of it.  */
static bool
in_cooldown (const pu_suspects_t *s, const attempt_t *r, guint64 now)
{
  return r->isolated && now - r->aborted_at < s->options.suspect_cooldown_ms;
}

static bool
duplicate_in_cooldown (const pu_suspects_t *s, guint64 fingerprint,
                       guint64 now)
{
  for (const GList *l = s->aborted.head; l != NULL; l = l->next)
    {
      const attempt_t *r = l->data;

      if (r->fingerprint == fingerprint && in_cooldown (s, r, now))
        return true;
    }
  return false;
}

static duplicates_t *
duplicates_of (const pu_suspects_t *s, guint64 fingerprint)
{
  if (has_break (s, PU_SUSPECTS_BREAK_SPREAD_DUPLICATES))
    return NULL;
  return g_hash_table_lookup (s->duplicates, &fingerprint);
}

pu_suspects_verdict_t
pu_suspects_check (pu_suspects_t *s, guint64 fingerprint, guint64 now)
{
  const record_t *r = g_hash_table_lookup (s->records, &fingerprint);
  const duplicates_t *d = duplicates_of (s, fingerprint);

  if (!pu_suspects_is_suspect (s, fingerprint, now))
    {
      bool being_checked = d != NULL && d->connections_lost > 0;

      return being_checked ? PU_SUSPECTS_WAIT : PU_SUSPECTS_RUN;
    }
  if (r->convicted && !has_break (s, PU_SUSPECTS_BREAK_NO_REFUSAL))
    return PU_SUSPECTS_REFUSE;
  if ((d != NULL || duplicate_isolated (s, fingerprint)
       || duplicate_in_cooldown (s, fingerprint, now))
      && !has_break (s, PU_SUSPECTS_BREAK_CONCURRENT))
    return PU_SUSPECTS_WAIT;
  return PU_SUSPECTS_RUN_ISOLATED;
}

static void
duplicates_add (pu_suspects_t *s, attempt_t *r)
{
  duplicates_t *d = g_hash_table_lookup (s->duplicates, &r->fingerprint);

  if (d == NULL)
    {
      d = g_new0 (duplicates_t, 1);
      d->fingerprint = r->fingerprint;
      d->backend = r->backend;
      g_hash_table_insert (s->duplicates, &d->fingerprint, d);
    }
  r->link.data = r;
  r->duplicates = d;
  d->elsewhere += r->backend != d->backend;
  g_queue_push_tail_link (&d->attempts, &r->link);
}

/* Sets the backend server of D to that of its oldest attempt.  Called when no
   attempt is left on the previous one.  */
static void
duplicates_set_backend (duplicates_t *d)
{
  d->backend = ((const attempt_t *)d->attempts.head->data)->backend;
  d->elsewhere = 0;
  for (const GList *l = d->attempts.head; l != NULL; l = l->next)
    {
      const attempt_t *r = l->data;

      d->elsewhere += r->backend != d->backend;
    }
}

static void
duplicates_remove (pu_suspects_t *s, attempt_t *r)
{
  duplicates_t *d = r->duplicates;

  if (d == NULL)
    return;
  r->duplicates = NULL;
  g_queue_unlink (&d->attempts, &r->link);
  d->connections_lost -= r->connection_lost;
  d->elsewhere -= r->backend != d->backend;
  if (g_queue_is_empty (&d->attempts))
    {
      g_hash_table_remove (s->duplicates, &d->fingerprint);
    }
  else if (d->elsewhere == d->attempts.length)
    {
      duplicates_set_backend (d);
    }
}

/* Removes R from the lists of requests in flight.  The caller removes it from
   the table, and frees or keeps it.  */
static void
attempt_detach (pu_suspects_t *s, attempt_t *r)
{
  duplicates_remove (s, r);
  g_ptr_array_remove_fast (s->isolated, r);
}

void
pu_suspects_started (pu_suspects_t *s, guint64 request, guint64 fingerprint,
                     guint32 backend, guint64 incarnation, guint64 now)
{
  attempt_t *r = g_new0 (attempt_t, 1);

  pu_suspects_finished (s, request);
  r->request = request;
  r->fingerprint = fingerprint;
  r->backend = backend;
  r->incarnation = incarnation;
  r->serial = ++s->serial;
  r->isolated = pu_suspects_is_suspect (s, fingerprint, now);
  if (r->isolated)
    g_ptr_array_add (s->isolated, r);
  duplicates_add (s, r);
  g_hash_table_insert (s->in_flight, &r->request, r);
}

void
pu_suspects_answered (pu_suspects_t *s, guint64 request)
{
  attempt_t *r = g_hash_table_lookup (s->in_flight, &request);

  if (r != NULL)
    duplicates_remove (s, r);
}

void
pu_suspects_connection_lost (pu_suspects_t *s, guint64 request)
{
  attempt_t *r = g_hash_table_lookup (s->in_flight, &request);

  if (r == NULL || r->connection_lost)
    return;
  if (r->duplicates == NULL)
    duplicates_add (s, r);
  r->connection_lost = true;
  r->duplicates->connections_lost++;
}

void
pu_suspects_finished (pu_suspects_t *s, guint64 request)
{
  attempt_t *r = g_hash_table_lookup (s->in_flight, &request);

  if (r == NULL)
    return;
  attempt_detach (s, r);
  g_hash_table_remove (s->in_flight, &request);
}

static void
aborted_evict (pu_suspects_t *s, guint64 now)
{
  const attempt_t *r = g_queue_peek_head (&s->aborted);

  while (r != NULL
         && (s->aborted.length > ABORTED_MAX
             || now - r->aborted_at >= s->options.aborted_retention_ms))
    {
      g_free (g_queue_pop_head (&s->aborted));
      r = g_queue_peek_head (&s->aborted);
    }
}

void
pu_suspects_aborted (pu_suspects_t *s, guint64 request, guint64 now)
{
  attempt_t *r = g_hash_table_lookup (s->in_flight, &request);

  if (r == NULL)
    return;
  attempt_detach (s, r);
  g_hash_table_steal (s->in_flight, &request);
  r->aborted = true;
  r->aborted_at = now;
  r->serial_at_abort = s->serial;
  g_queue_push_tail (&s->aborted, r);
  aborted_evict (s, now);
}

bool
pu_suspects_must_avoid (const pu_suspects_t *s, guint64 fingerprint,
                        guint32 backend, guint64 since, guint64 now)
{
  const duplicates_t *d = duplicates_of (s, fingerprint);

  if (d == NULL || has_break (s, PU_SUSPECTS_BREAK_CONCURRENT)
      || pu_suspects_strikes (s, fingerprint, now)
             < s->options.together_strikes
      || (since != 0 && now - since >= s->options.duplicate_wait_ms))
    return false;
  return d->backend != backend || d->elsewhere > 0;
}

static bool
has_strike (const GArray *strikes, guint64 fingerprint)
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
add_strike (pu_suspects_t *s, const attempt_t *r, bool isolated,
            GArray *strikes, guint64 now)
{
  pu_suspects_strike_t one = { .fingerprint = r->fingerprint,
                               .backend = r->backend,
                               .incarnation = r->incarnation,
                               .apart = isolated };

  record_t *record;

  if (has_break (s, PU_SUSPECTS_BREAK_NO_STRIKE)
      || has_strike (strikes, r->fingerprint))
    return;
  record = record_ensure (s, r->fingerprint);
  if (record->local_strike_until <= now)
    record->local_strikes = 0;
  record->local_strikes++;
  record->local_strike_until = now + s->options.local_strike_ms;
  g_array_append_val (strikes, one);
}

bool
pu_suspects_is_reserved (const pu_suspects_t *s, guint32 backend, guint64 now)
{
  for (guint i = 0; i < s->isolated->len; i++)
    {
      const attempt_t *r = g_ptr_array_index (s->isolated, i);

      if (r->backend == backend)
        return true;
    }
  for (const GList *l = s->aborted.head; l != NULL; l = l->next)
    {
      const attempt_t *r = l->data;

      if (r->backend == backend && in_cooldown (s, r, now))
        return true;
    }
  return false;
}

/* Removes the requests in flight or aborted on INCARNATION of BACKEND, or on
   an older one, from the tables.  The caller frees the array.  */
static GPtrArray *
take_dead (pu_suspects_t *s, guint32 backend, guint64 incarnation)
{
  GPtrArray *dead = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter i;
  gpointer value;
  GList *next;

  g_hash_table_iter_init (&i, s->in_flight);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      attempt_t *r = value;

      if (r->backend != backend || r->incarnation > incarnation)
        continue;
      attempt_detach (s, r);
      g_hash_table_iter_steal (&i);
      g_ptr_array_add (dead, r);
    }
  for (GList *l = s->aborted.head; l != NULL; l = next)
    {
      attempt_t *r = l->data;

      next = l->next;
      if (r->backend != backend || r->incarnation > incarnation)
        continue;
      g_queue_delete_link (&s->aborted, l);
      g_ptr_array_add (dead, r);
    }
  return dead;
}

/* Whether R was isolated when its backend server died.  An aborted request
   that ran isolated still counts as isolated if no request was sent to the
   backend server after the abort.  */
static bool
was_isolated (const pu_suspects_t *s, const GPtrArray *dead,
              const attempt_t *r, guint64 now)
{
  if (has_break (s, PU_SUSPECTS_BREAK_ABORTED_ISOLATED) && r->aborted)
    return pu_suspects_is_suspect (s, r->fingerprint, now);
  if (!r->isolated || !r->aborted)
    return r->isolated;
  for (guint i = 0; i < dead->len; i++)
    {
      const attempt_t *other = g_ptr_array_index (dead, i);

      if (other->serial > r->serial_at_abort)
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
  bool any_isolated = false;

  aborted_evict (s, now);
  dead = take_dead (s, backend, incarnation);
  for (guint i = 0; i < dead->len; i++)
    {
      const attempt_t *r = g_ptr_array_index (dead, i);

      ended += !r->aborted;
      any_isolated = any_isolated || was_isolated (s, dead, r, now);
    }
  /* When any of them ran isolated, only those that did get a strike.  */
  for (guint i = 0; i < dead->len; i++)
    {
      const attempt_t *r = g_ptr_array_index (dead, i);
      bool isolated = was_isolated (s, dead, r, now);

      if (isolated || !any_isolated)
        add_strike (s, r, isolated, strikes, now);
    }
  g_ptr_array_free (dead, TRUE);
  return ended;
}

bool
pu_suspects_has_open (const pu_suspects_t *s, guint32 backend,
                      guint64 incarnation)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, s->in_flight);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const attempt_t *r = value;

      if (r->backend == backend && r->incarnation == incarnation
          && !r->connection_lost)
        return true;
    }
  return false;
}

guint
pu_suspects_in_flight (const pu_suspects_t *s)
{
  return g_hash_table_size (s->in_flight);
}
