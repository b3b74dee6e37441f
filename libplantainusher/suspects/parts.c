#include "suspects/parts.h"

#include <string.h>
#include <xxhash.h>

#define HASH_SEED 0x7061727473ULL

enum
{
  DEFAULT_CONVICT_SERVERS = 3,
  DEFAULT_CONVICT_REQUESTS = 3,
  DEFAULT_SUSPECT_SERVERS = 2,
  DEFAULT_SUSPECT_REQUESTS = 2,
  DEFAULT_ACCUSED_MAX = 8,
  DEFAULT_CLEARED_MAX = 8192,
  DEFAULT_CLEARED_MS = 600000,
  DEFAULT_WRITTEN_EVENTS = 4,
  DEFAULT_WRITTEN_MS = 1500,
  DEFAULT_CLOSED_MS = 1500,
  DEFAULT_ENDED_MS = 5000,
  DEFAULT_OWN_MS = 30000,
  DEFAULT_HEARD_MS = 10000,
  DEFAULT_LEARN_RUNS = 8,
  DEFAULT_LEARN_MS = 3000,
  DEFAULT_REST_AFTER_MS = 180000,
  ENDED_MAX = 4096,
  HEARD_MAX = 64, /* accusations of other entries for one part */
};

/* A run in flight, or one that has ended and may have crashed its backend
   server.  */
typedef struct
{
  guint64 run;
  guint64 request;
  guint64 backend;
  guint64 incarnation;
  guint64 serial;   /* increases with each start */
  bool answered;    /* the head of the response has come */
  bool closed;      /* the response ended with its connection */
  bool alive;       /* its backend server has accepted a connection since */
  guint64 wrote_at; /* of the first event; 0: none */
  guint64 ended_at;
  guint n;
  guint64 parts[];
} run_t;

/* A part under which backend servers have crashed.  */
typedef struct
{
  guint64 part;
  GArray *logged; /* of pu_parts_crash_t */
  GArray *own;    /* of pu_parts_crash_t, which the log may lack */
  guint64 own_until;
  GArray *heard; /* of pu_parts_crash_t, at other entries */
  guint64 heard_until;
  guint64 changed_at; /* when a crash was last added */
} record_t;

/* A part that a run has cleared.  */
typedef struct
{
  guint64 part;
  guint64 until;
  GList link; /* in `cleared_order` */
} cleared_t;

struct pu_parts
{
  pu_parts_options_t options;
  GHashTable *in_flight; /* &run -> run_t *, owned */
  GQueue ended;          /* of run_t *, owned: oldest first */
  GHashTable *records;   /* &part -> record_t *, owned */
  GHashTable *cleared;   /* &part -> cleared_t *, owned */
  GQueue cleared_order;  /* least recently cleared first */
  GArray *lifts;         /* of guint64 */
  guint64 serial;        /* of the last start */
  guint runs_got_on;
  guint64 first_run_at;
};

void
pu_parts_options_init (pu_parts_options_t *o)
{
  *o = (pu_parts_options_t){
    .convict_servers = DEFAULT_CONVICT_SERVERS,
    .convict_requests = DEFAULT_CONVICT_REQUESTS,
    .suspect_servers = DEFAULT_SUSPECT_SERVERS,
    .suspect_requests = DEFAULT_SUSPECT_REQUESTS,
    .accused_max = DEFAULT_ACCUSED_MAX,
    .cleared_max = DEFAULT_CLEARED_MAX,
    .cleared_ms = DEFAULT_CLEARED_MS,
    .written_events = DEFAULT_WRITTEN_EVENTS,
    .written_ms = DEFAULT_WRITTEN_MS,
    .closed_ms = DEFAULT_CLOSED_MS,
    .ended_ms = DEFAULT_ENDED_MS,
    .own_ms = DEFAULT_OWN_MS,
    .heard_ms = DEFAULT_HEARD_MS,
    .learn_runs = DEFAULT_LEARN_RUNS,
    .learn_ms = DEFAULT_LEARN_MS,
    .rest_after_ms = DEFAULT_REST_AFTER_MS,
  };
}

static void
record_free (gpointer record)
{
  record_t *r = record;

  g_array_free (r->logged, TRUE);
  g_array_free (r->own, TRUE);
  g_array_free (r->heard, TRUE);
  g_free (r);
}

pu_parts_t *
pu_parts_new (const pu_parts_options_t *o)
{
  pu_parts_t *p = g_new0 (pu_parts_t, 1);

  p->options = *o;
  p->in_flight
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  p->records
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, record_free);
  p->cleared
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  p->lifts = g_array_new (FALSE, FALSE, sizeof (guint64));
  g_queue_init (&p->ended);
  g_queue_init (&p->cleared_order);
  return p;
}

void
pu_parts_free (pu_parts_t *p)
{
  if (p == NULL)
    return;
  g_queue_clear_full (&p->ended, g_free);
  g_hash_table_destroy (p->in_flight);
  g_hash_table_destroy (p->records);
  g_hash_table_destroy (p->cleared);
  g_array_free (p->lifts, TRUE);
  g_free (p);
}

guint64
pu_parts_hash (const void *id, size_t len)
{
  return XXH64 (id, len, HASH_SEED);
}

/* --- cleared parts --- */

bool
pu_parts_is_cleared (const pu_parts_t *p, guint64 part, guint64 now)
{
  const cleared_t *c = g_hash_table_lookup (p->cleared, &part);

  return c != NULL && now < c->until;
}

static void
cleared_evict (pu_parts_t *p)
{
  while (g_hash_table_size (p->cleared) > p->options.cleared_max)
    {
      cleared_t *c = g_queue_pop_head_link (&p->cleared_order)->data;

      g_hash_table_remove (p->cleared, &c->part);
    }
}

static void
part_clear (pu_parts_t *p, guint64 part, guint64 now)
{
  cleared_t *c = g_hash_table_lookup (p->cleared, &part);

  if (c == NULL)
    {
      c = g_new0 (cleared_t, 1);
      c->part = part;
      c->link.data = c;
      g_hash_table_insert (p->cleared, &c->part, c);
    }
  else
    {
      g_queue_unlink (&p->cleared_order, &c->link);
    }
  c->until = now + p->options.cleared_ms;
  g_queue_push_tail_link (&p->cleared_order, &c->link);
  cleared_evict (p);
  if (g_hash_table_contains (p->records, &part))
    g_array_append_val (p->lifts, part);
}

static void
run_clear (pu_parts_t *p, const run_t *r, guint64 now)
{
  p->runs_got_on++;
  for (guint i = 0; i < r->n; i++)
    part_clear (p, r->parts[i], now);
}

void
pu_parts_take_lifts (pu_parts_t *p, GArray *parts)
{
  g_array_append_vals (parts, p->lifts->data, p->lifts->len);
  g_array_set_size (p->lifts, 0);
}

/* --- runs --- */

void
pu_parts_started (pu_parts_t *p, guint64 run, guint64 request,
                  const guint64 *parts, guint n, guint64 backend,
                  guint64 incarnation, guint64 now)
{
  run_t *r = g_malloc0 (sizeof *r + n * sizeof *parts);

  pu_parts_ended (p, run, true, now);
  if (p->serial == 0)
    p->first_run_at = now;
  r->run = run;
  r->request = request;
  r->backend = backend;
  r->incarnation = incarnation;
  r->serial = ++p->serial;
  r->n = n;
  memcpy (r->parts, parts, n * sizeof *parts);
  g_hash_table_insert (p->in_flight, &r->run, r);
}

static void
run_remove (pu_parts_t *p, guint64 run)
{
  g_hash_table_remove (p->in_flight, &run);
}

void
pu_parts_wrote (pu_parts_t *p, guint64 run, guint events, guint64 now)
{
  run_t *r = g_hash_table_lookup (p->in_flight, &run);

  if (r == NULL)
    return;
  r->answered = true;
  if (events > 0 && r->wrote_at == 0)
    r->wrote_at = now;
  if (events < p->options.written_events
      || now - r->wrote_at < p->options.written_ms)
    return;
  run_clear (p, r, now);
  run_remove (p, run);
}

static void
ended_evict (pu_parts_t *p)
{
  while (p->ended.length > ENDED_MAX)
    g_free (g_queue_pop_head (&p->ended));
}

static void
run_keep (pu_parts_t *p, run_t *r, bool closed, guint64 now)
{
  g_hash_table_steal (p->in_flight, &r->run);
  r->closed = closed;
  r->ended_at = now;
  g_queue_push_tail (&p->ended, r);
  ended_evict (p);
}

void
pu_parts_completed (pu_parts_t *p, guint64 run, bool proven, guint64 now)
{
  run_t *r = g_hash_table_lookup (p->in_flight, &run);

  if (r == NULL)
    return;
  if (!proven)
    {
      run_keep (p, r, true, now);
      return;
    }
  run_clear (p, r, now);
  run_remove (p, run);
}

void
pu_parts_ended (pu_parts_t *p, guint64 run, bool cut, guint64 now)
{
  run_t *r = g_hash_table_lookup (p->in_flight, &run);

  if (r != NULL && cut)
    {
      run_keep (p, r, false, now);
    }
  else if (r != NULL)
    {
      run_remove (p, run);
    }
}

void
pu_parts_backend_alive (pu_parts_t *p, guint64 backend, guint64 incarnation,
                        guint64 since)
{
  for (GList *l = p->ended.head; l != NULL; l = l->next)
    {
      run_t *r = l->data;

      if (r->backend == backend && r->incarnation == incarnation
          && r->ended_at <= since)
        r->alive = true;
    }
}

static gboolean
record_is_over (gpointer part, gpointer value, gpointer now)
{
  const record_t *r = value;

  (void)part;
  return r->logged->len == 0
         && MAX (r->own_until, r->heard_until) <= *(const guint64 *)now;
}

void
pu_parts_tick (pu_parts_t *p, guint64 now)
{
  GList *next;

  g_hash_table_foreach_remove (p->records, record_is_over, &now);

  for (GList *l = p->ended.head; l != NULL; l = next)
    {
      run_t *r = l->data;
      bool complete = r->closed && r->alive;
      guint64 keep_ms = complete ? p->options.closed_ms : p->options.ended_ms;

      next = l->next;
      if (now - r->ended_at < keep_ms)
        continue;
      if (complete)
        run_clear (p, r, now);
      g_queue_delete_link (&p->ended, l);
      g_free (r);
    }
}

/* --- accusations --- */

static record_t *
record_ensure (pu_parts_t *p, guint64 part)
{
  record_t *r = g_hash_table_lookup (p->records, &part);

  if (r != NULL)
    return r;
  r = g_new0 (record_t, 1);
  r->part = part;
  r->logged = g_array_new (FALSE, FALSE, sizeof (pu_parts_crash_t));
  r->own = g_array_new (FALSE, FALSE, sizeof (pu_parts_crash_t));
  r->heard = g_array_new (FALSE, FALSE, sizeof (pu_parts_crash_t));
  g_hash_table_insert (p->records, &r->part, r);
  return r;
}

/* Removes the runs on INCARNATION of BACKEND, or on an older one, from the
   tables.  The caller frees the array.  */
static GPtrArray *
take_dead (pu_parts_t *p, guint64 backend, guint64 incarnation)
{
  GPtrArray *dead = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter it;
  gpointer value;
  GList *next;

  g_hash_table_iter_init (&it, p->in_flight);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const run_t *r = value;

      if (r->backend != backend || r->incarnation > incarnation)
        continue;
      g_hash_table_iter_steal (&it);
      g_ptr_array_add (dead, value);
    }
  for (GList *l = p->ended.head; l != NULL; l = next)
    {
      run_t *r = l->data;

      next = l->next;
      if (r->backend != backend || r->incarnation > incarnation)
        continue;
      g_queue_delete_link (&p->ended, l);
      g_ptr_array_add (dead, r);
    }
  return dead;
}

/* Orders the runs that had begun to answer first, the youngest of them first:
   the crash comes soon after the beginning.  */
static gint
by_likelihood (gconstpointer a, gconstpointer b)
{
  const run_t *x = *(const run_t *const *)a;
  const run_t *y = *(const run_t *const *)b;

  if (x->answered != y->answered)
    return x->answered ? -1 : 1;
  return x->serial > y->serial ? -1 : 1;
}

static bool
is_accused (const GArray *accused, guint64 part)
{
  for (guint i = 0; i < accused->len; i++)
    {
      if (g_array_index (accused, pu_parts_accusation_t, i).part == part)
        return true;
    }
  return false;
}

static void
part_accuse (pu_parts_t *p, guint64 part, const run_t *run, GArray *accused,
             guint64 now)
{
  pu_parts_accusation_t one = { part, run->request };
  pu_parts_crash_t crash = { run->backend, run->request };
  record_t *r;

  if (accused->len >= p->options.accused_max || is_accused (accused, part)
      || pu_parts_is_cleared (p, part, now))
    return;
  r = record_ensure (p, part);
  if (r->own_until <= now)
    g_array_set_size (r->own, 0);
  g_array_append_val (r->own, crash);
  r->own_until = now + p->options.own_ms;
  r->changed_at = now;
  g_array_append_val (accused, one);
}

/* Whether too few runs have been seen to know which parts crash nothing.  */
static bool
is_learning (const pu_parts_t *p, guint64 now)
{
  return p->runs_got_on < p->options.learn_runs
         && now - p->first_run_at < p->options.learn_ms;
}

void
pu_parts_backend_died (pu_parts_t *p, guint64 backend, guint64 incarnation,
                       GArray *accused, guint64 now)
{
  GPtrArray *dead = take_dead (p, backend, incarnation);

  g_ptr_array_sort (dead, by_likelihood);
  for (guint i = 0; i < dead->len && !is_learning (p, now); i++)
    {
      const run_t *r = g_ptr_array_index (dead, i);

      for (guint k = 0; k < r->n; k++)
        part_accuse (p, r->parts[k], r, accused, now);
    }
  g_ptr_array_free (dead, TRUE);
}

void
pu_parts_heard (pu_parts_t *p, guint64 part, const pu_parts_crash_t *crash,
                guint64 now)
{
  record_t *r;

  if (pu_parts_is_cleared (p, part, now))
    return;
  r = record_ensure (p, part);
  if (r->heard_until <= now)
    g_array_set_size (r->heard, 0);
  if (r->heard->len >= HEARD_MAX)
    return;
  g_array_append_val (r->heard, *crash);
  r->heard_until = now + p->options.heard_ms;
  r->changed_at = now;
}

void
pu_parts_put (pu_parts_t *p, guint64 part, const pu_parts_crash_t *crashes,
              guint n, guint64 now)
{
  record_t *r = record_ensure (p, part);

  if (r->logged->len == n
      && (n == 0
          || memcmp (r->logged->data, crashes, n * sizeof *crashes) == 0))
    return;
  r->changed_at = now;
  g_array_set_size (r->logged, 0);
  g_array_append_vals (r->logged, crashes, n);
}

void
pu_parts_remove (pu_parts_t *p, guint64 part)
{
  g_hash_table_remove (p->records, &part);
}

/* --- verdicts --- */

/* The crashes under a part.  */
typedef struct
{
  GHashTable *backends; /* set of &backend */
  GHashTable *requests; /* set of &request */
} evidence_t;

static void
evidence_add (evidence_t *e, const GArray *crashes)
{
  for (guint i = 0; i < crashes->len; i++)
    {
      pu_parts_crash_t *one = &g_array_index (crashes, pu_parts_crash_t, i);

      g_hash_table_add (e->backends, &one->backend);
      g_hash_table_add (e->requests, &one->request);
    }
}

static void
evidence_init (evidence_t *e, const record_t *r, guint64 now)
{
  e->backends = g_hash_table_new (g_int64_hash, g_int64_equal);
  e->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  evidence_add (e, r->logged);
  if (now < r->own_until)
    evidence_add (e, r->own);
  if (now < r->heard_until)
    evidence_add (e, r->heard);
}

static void
evidence_clear (evidence_t *e)
{
  g_hash_table_destroy (e->backends);
  g_hash_table_destroy (e->requests);
}

/* Whether each backend server that crashed under A crashed under B too.  */
static bool
is_within (const evidence_t *a, const evidence_t *b)
{
  GHashTableIter it;
  gpointer backend;

  g_hash_table_iter_init (&it, a->backends);
  while (g_hash_table_iter_next (&it, &backend, NULL))
    {
      if (!g_hash_table_contains (b->backends, backend))
        return false;
    }
  return true;
}

static bool
contains (const guint64 *parts, guint n, guint64 part)
{
  for (guint i = 0; i < n; i++)
    {
      if (parts[i] == part)
        return true;
    }
  return false;
}

/* Whether another part explains the crashes under R, whose evidence is E: more
   crashes than these happened under it, or the same ones and the request with
   the N PARTS lacks it.  */
static bool
is_explained (const pu_parts_t *p, const record_t *r, const evidence_t *e,
              const guint64 *parts, guint n, guint64 now)
{
  GHashTableIter it;
  gpointer value;
  bool explained = false;

  g_hash_table_iter_init (&it, p->records);
  while (!explained && g_hash_table_iter_next (&it, NULL, &value))
    {
      const record_t *other = value;
      evidence_t others;

      if (other == r || pu_parts_is_cleared (p, other->part, now))
        continue;
      evidence_init (&others, other, now);
      explained
          = is_within (e, &others)
            && (!is_within (&others, e) || !contains (parts, n, other->part));
      evidence_clear (&others);
    }
  return explained;
}

static bool
is_resting (const pu_parts_t *p, const record_t *r, guint64 now)
{
  guint64 after = p->options.rest_after_ms;
  guint64 spread = XXH64 (&r->part, sizeof r->part, p->options.seed) % after;

  return now - r->changed_at >= after + spread;
}

static pu_parts_verdict_t
record_verdict (const pu_parts_t *p, const record_t *r, const guint64 *parts,
                guint n, guint64 now)
{
  pu_parts_verdict_t verdict = PU_PARTS_UNKNOWN;
  evidence_t e;
  guint backends;
  guint requests;

  if (pu_parts_is_cleared (p, r->part, now))
    return verdict;
  evidence_init (&e, r, now);
  backends = g_hash_table_size (e.backends);
  requests = g_hash_table_size (e.requests);
  if (backends >= p->options.convict_servers
      && requests >= p->options.convict_requests && !is_resting (p, r, now)
      && !is_explained (p, r, &e, parts, n, now))
    {
      verdict = PU_PARTS_CONVICTED;
    }
  else if (backends >= p->options.suspect_servers
           && requests >= p->options.suspect_requests)
    {
      verdict = PU_PARTS_SUSPECTED;
    }
  else if (backends > 0)
    {
      verdict = PU_PARTS_ACCUSED;
    }
  evidence_clear (&e);
  return verdict;
}

pu_parts_verdict_t
pu_parts_check (const pu_parts_t *p, const guint64 *parts, guint n,
                guint64 now, guint64 *which)
{
  pu_parts_verdict_t worst = PU_PARTS_UNKNOWN;

  if (g_hash_table_size (p->records) == 0)
    return worst;
  for (guint i = 0; i < n; i++)
    {
      const record_t *r = g_hash_table_lookup (p->records, &parts[i]);
      pu_parts_verdict_t own = r != NULL ? record_verdict (p, r, parts, n, now)
                                         : PU_PARTS_UNKNOWN;

      if (own <= worst)
        continue;
      worst = own;
      if (which != NULL)
        *which = parts[i];
    }
  return worst;
}
