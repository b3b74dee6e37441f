#include "routing/allowance_private.h"

#include <math.h>

enum
{
  QUESTION_WAITING_MS = 20, /* between questions while requests wait */
  QUESTION_HELD_MS = 260,   /* when what is held has expired */
  QUESTION_ALONE_MS = 300,
  STOCK_MS = 250,    /* from the question to the end of its grants */
  WAIT_MAX_MS = 400, /* of a request */
};

/* Time constant of the estimate of recent use.  */
#define USE_MS 500.0

static void
team_free (gpointer data)
{
  team_t *t = data;

  g_queue_clear_full (&t->lots, g_free);
  g_queue_clear_full (&t->waiting, g_free);
  g_hash_table_destroy (t->by_ticket);
  g_free (t->name);
  g_free (t);
}

pu_allowance_t *
pu_allowance_new (const pu_allowance_options_t *o)
{
  pu_allowance_t *a = g_new0 (pu_allowance_t, 1);

  a->o = *o;
  a->rand = g_rand_new_with_seed ((guint32)(o->seed ^ (o->seed >> 32)));
  a->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, team_free);
  a->entries = 1;
  return a;
}

void
pu_allowance_free (pu_allowance_t *a)
{
  if (a == NULL)
    return;
  g_hash_table_destroy (a->teams);
  g_rand_free (a->rand);
  g_free (a);
}

static team_t *
find (const pu_allowance_t *a, const char *team)
{
  return g_hash_table_lookup (a->teams, team);
}

/* The stock of a high rate may be more than what a lower one allows: of what
   is held, as much is returned as would be held at RATE.  */
static void
return_stock (team_t *t, guint64 rate)
{
  double part = (double)rate / (double)t->rate;

  g_queue_clear_full (&t->lots, g_free);
  t->returned = (guint64)((double)(t->returned + t->held) * part);
  t->held = 0;
}

void
pu_allowance_set_team (pu_allowance_t *a, const char *team, guint64 rate,
                       guint64 burst)
{
  team_t *t = find (a, team);

  if (t == NULL)
    {
      t = g_new0 (team_t, 1);
      t->name = g_strdup (team);
      g_queue_init (&t->lots);
      g_queue_init (&t->waiting);
      t->by_ticket = g_hash_table_new (g_int64_hash, g_int64_equal);
      g_hash_table_insert (a->teams, t->name, t);
    }
  if (rate < t->rate)
    return_stock (t, rate);
  a->limited += (rate > 0 ? 1 : 0) - (t->rate > 0 ? 1 : 0);
  t->rate = rate;
  t->burst = burst;
}

void
pu_allowance_remove_team (pu_allowance_t *a, const char *team)
{
  team_t *t = find (a, team);

  if (t == NULL)
    return;
  a->limited -= t->rate > 0 ? 1 : 0;
  a->waiting -= t->waiting.length;
  g_hash_table_remove (a->teams, team);
}

void
pu_allowance_set_entries (pu_allowance_t *a, guint n)
{
  a->entries = MAX (n, 1);
}

/* Requests that wait.  */

static void
stop_waiting (pu_allowance_t *a, team_t *t, guint64 ticket)
{
  GList *link = g_hash_table_lookup (t->by_ticket, &ticket);
  waiting_t *w;

  if (link == NULL)
    return;
  w = link->data;
  g_hash_table_remove (t->by_ticket, &ticket);
  g_queue_delete_link (&t->waiting, link);
  t->waiting_units -= w->units;
  a->waiting--;
  g_free (w);
}

/* Returns since when the request TICKET waits.  */
static guint64
start_waiting (pu_allowance_t *a, team_t *t, guint64 units, guint64 ticket,
               guint64 now)
{
  GList *link = g_hash_table_lookup (t->by_ticket, &ticket);
  waiting_t *w;

  if (link != NULL)
    return ((waiting_t *)link->data)->since;
  w = g_new (waiting_t, 1);
  w->ticket = ticket;
  w->units = units;
  w->since = now;
  g_queue_push_tail (&t->waiting, w);
  g_hash_table_insert (t->by_ticket, &w->ticket, t->waiting.tail);
  t->waiting_units += units;
  a->waiting++;
  return now;
}

void
pu_allowance_cancel (pu_allowance_t *a, const char *team, guint64 ticket)
{
  team_t *t = find (a, team);

  if (t != NULL)
    stop_waiting (a, t, ticket);
}

/* Stock.  */

static void
add_stock (team_t *t, guint64 units, guint64 until)
{
  lot_t *l = g_new (lot_t, 1);

  l->units = units;
  l->until = until;
  g_queue_push_tail (&t->lots, l);
  t->held += units;
}

static gint
compare_lots (gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
  const lot_t *l = a;
  const lot_t *m = b;

  return l->until < m->until ? -1 : l->until > m->until;
}

static void
expire_stock (const pu_allowance_t *a, team_t *t, guint64 now)
{
  lot_t *l;

  if (a->o.test_breaks & PU_ALLOWANCE_BREAK_STOCK_KEPT)
    return;
  while ((l = g_queue_peek_head (&t->lots)) != NULL && l->until < now)
    {
      t->held -= l->units;
      t->returned += l->units;
      g_free (g_queue_pop_head (&t->lots));
    }
}

static bool
take_stock (team_t *t, guint64 units)
{
  if (t->held < units)
    return false;
  t->held -= units;
  while (units > 0)
    {
      lot_t *l = g_queue_peek_head (&t->lots);
      guint64 n = MIN (units, l->units);

      l->units -= n;
      units -= n;
      if (l->units == 0)
        g_free (g_queue_pop_head (&t->lots));
    }
  return true;
}

/* An unanswered question makes the entry alone even before its failure is
   reported.  */
static void
check_question (pu_allowance_t *a, guint64 now)
{
  if (a->open && now > a->asked_at + PU_ALLOWANCE_REPLY_LATE_MS)
    pu_allowance_begin_alone (a, now);
}

/* Decisions.  */

static double
decayed_use (const team_t *t, guint64 now)
{
  return pu_allowance_decayed (t->use_per_s, t->use_at, now, USE_MS);
}

static void
count_use (team_t *t, guint64 units, guint64 now)
{
  enum
  {
    WEIGHT = 8 /* a request changes the average by one part of these */
  };

  t->use_per_s = decayed_use (t, now) + (double)units * 1000 / USE_MS;
  t->use_at = now;
  if (t->units_each <= 0)
    t->units_each = (double)units;
  t->units_each += ((double)units - t->units_each) / WEIGHT;
}

static pu_allowance_decision_t
admit (pu_allowance_t *a, team_t *t, const request_t *q, guint64 now)
{
  stop_waiting (a, t, q->ticket);
  count_use (t, q->units, now);
  t->admitted += q->units;
  t->requests_admitted++;
  t->limited = false;
  return (pu_allowance_decision_t){ .verdict = PU_ALLOWANCE_ADMIT };
}

/* Refuses Q, for which nothing is granted for NEXT_MS.  */
static pu_allowance_decision_t
refuse (pu_allowance_t *a, team_t *t, const request_t *q, guint next_ms,
        guint64 now)
{
  stop_waiting (a, t, q->ticket);
  t->requests_refused++;
  t->limited = true;
  return (pu_allowance_decision_t){ .verdict = PU_ALLOWANCE_REFUSE,
                                    .retry_after_ms = pu_allowance_take_turn (
                                        a, t, q, next_ms, now) };
}

static pu_allowance_decision_t
decide_alone (pu_allowance_t *a, team_t *t, const request_t *q, guint64 now)
{
  guint ms = pu_allowance_take_alone (a, t, q->units, now);

  return ms == 0 ? admit (a, t, q, now) : refuse (a, t, q, ms, now);
}

/* Requests that wait are served in order: one that comes later must not take
   the stock granted for the first.  */
static bool
is_next (const team_t *t, guint64 ticket)
{
  const waiting_t *w = g_queue_peek_head ((GQueue *)&t->waiting);

  return w == NULL || w->ticket == ticket;
}

pu_allowance_decision_t
pu_allowance_take (pu_allowance_t *a, const char *team, const request_t *q,
                   guint64 now)
{
  team_t *t = find (a, team);
  guint64 since;

  if (t == NULL)
    return (pu_allowance_decision_t){ .verdict = PU_ALLOWANCE_ADMIT };
  if (t->rate == 0)
    return admit (a, t, q, now);
  check_question (a, now);
  expire_stock (a, t, now);
  if (is_next (t, q->ticket) && take_stock (t, q->units))
    return admit (a, t, q, now);
  if (a->alone)
    return decide_alone (a, t, q, now);
  if (now < t->refused_until)
    return refuse (a, t, q, (guint)(t->refused_until - now), now);
  since = start_waiting (a, t, q->units, q->ticket, now);
  if (now >= since + WAIT_MAX_MS)
    {
      guint ms = pu_allowance_clamp_retry ((double)q->units * 1000
                                           / (double)t->rate);

      return refuse (a, t, q, ms, now);
    }
  return (pu_allowance_decision_t){ .verdict = PU_ALLOWANCE_WAIT };
}

void
pu_allowance_put_back (pu_allowance_t *a, const char *team, guint64 units,
                       guint64 now)
{
  team_t *t = find (a, team);

  if (t == NULL || t->rate == 0 || units == 0)
    return;
  t->admitted -= MIN (units, t->admitted);
  if (a->alone && t->has_level)
    {
      t->level += (double)units;
      t->overdrawn -= MIN (units, t->overdrawn);
      return;
    }
  a->holds = true;
  add_stock (t, units, now + STOCK_MS);
  g_queue_sort (&t->lots, compare_lots, NULL);
}

/* Questions.  */

static void
clear_ask (gpointer data)
{
  g_free (((pu_allowance_ask_t *)data)->team);
}

static void
clear_grant (gpointer data)
{
  g_free (((pu_allowance_grant_t *)data)->team);
}

GArray *
pu_allowance_asks_new (void)
{
  GArray *asks = g_array_new (FALSE, TRUE, sizeof (pu_allowance_ask_t));

  g_array_set_clear_func (asks, clear_ask);
  return asks;
}

GArray *
pu_allowance_grants_new (void)
{
  GArray *grants = g_array_new (FALSE, TRUE, sizeof (pu_allowance_grant_t));

  g_array_set_clear_func (grants, clear_grant);
  return grants;
}

guint64
pu_allowance_next_at (const pu_allowance_t *a)
{
  if (a->limited == 0 || a->open)
    return G_MAXUINT64;
  if (!a->asked)
    return 0;
  if (a->alone)
    return a->asked_at + QUESTION_ALONE_MS;
  if (a->waiting > 0 || a->told_alone)
    return a->asked_at + QUESTION_WAITING_MS;
  return a->asked_at
         + (a->holds ? QUESTION_HELD_MS : PU_ALLOWANCE_QUESTION_MS);
}

/* Stock of less than a request is of no use.  */
static guint64
stock_wanted (const team_t *t, guint64 now)
{
  double most = decayed_use (t, now) * STOCK_MS / 1000;

  if (most < t->units_each || most <= (double)t->held)
    return 0;
  return (guint64)most - t->held;
}

/* Moves what T needs and reports to ASK; returns false if there is nothing.
   An entry that is alone wants nothing: units that a frozen leader grants
   later would be lost.  It says that it is alone: a reply may not reach it
   though its questions reach the leader.  */
static bool
make_ask (const pu_allowance_t *a, team_t *t, pu_allowance_ask_t *ask,
          guint64 now)
{
  const waiting_t *first = g_queue_peek_head (&t->waiting);

  expire_stock (a, t, now);
  if (a->alone)
    {
      ask->first = 1;
    }
  else
    {
      ask->wanted = t->waiting_units;
      ask->first = first != NULL ? first->units : 0;
      ask->stock = stock_wanted (t, now);
    }
  ask->returned = t->returned;
  ask->overdrawn = t->overdrawn;
  ask->refused = t->refused;
  t->returned = 0;
  t->overdrawn = 0;
  t->refused_asked = t->refused;
  t->refused = 0;
  return a->alone || ask->wanted > 0 || ask->stock > 0 || ask->returned > 0
         || ask->overdrawn > 0 || ask->refused > 0;
}

GArray *
pu_allowance_question (pu_allowance_t *a, guint64 now)
{
  GArray *asks = pu_allowance_asks_new ();
  GHashTableIter i;
  gpointer value;

  a->open = true;
  a->told_alone = false;
  a->asked = true;
  a->asked_at = now;
  a->holds = false;
  g_hash_table_iter_init (&i, a->teams);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      team_t *t = value;
      pu_allowance_ask_t ask = { 0 };
      bool needs;

      if (t->rate == 0)
        continue;
      needs = make_ask (a, t, &ask, now);
      a->holds = a->holds || t->held > 0;
      if (!needs)
        continue;
      ask.team = g_strdup (t->name);
      g_array_append_val (asks, ask);
    }
  return asks;
}

static void
take_grant (pu_allowance_t *a, team_t *t, const pu_allowance_grant_t *g,
            guint64 now)
{
  guint64 until = MAX (a->asked_at + STOCK_MS, now);

  if (a->o.test_breaks & PU_ALLOWANCE_BREAK_LATE_REPLY)
    until = now + STOCK_MS;
  expire_stock (a, t, now);
  if (g->granted > 0)
    {
      a->holds = true;
      add_stock (t, g->granted, until);
      g_queue_sort (&t->lots, compare_lots, NULL);
    }
  t->refused_until = g->next_ms > 0 ? now + g->next_ms : 0;
  t->grants_per_s = pu_allowance_decayed (t->grants_per_s, t->grants_at, now,
                                          PU_ALLOWANCE_GRANTS_MS)
                    + (double)g->granted * 1000 / PU_ALLOWANCE_GRANTS_MS;
  t->grants_at = now;
  if (g->wait_ms == 0)
    {
      t->told_at = 0;
      t->others = 0;
      return;
    }
  pu_allowance_take_turns_end (t, g, now);
}

bool
pu_allowance_reply (pu_allowance_t *a, const GArray *grants, guint64 now)
{
  bool late = !a->open || now > a->asked_at + PU_ALLOWANCE_REPLY_LATE_MS;

  if (late && !(a->o.test_breaks & PU_ALLOWANCE_BREAK_LATE_REPLY))
    {
      pu_allowance_failed (a, now);
      return false;
    }
  a->open = false;
  a->told_alone = a->alone;
  a->alone = false;
  for (guint i = 0; i < grants->len; i++)
    {
      const pu_allowance_grant_t *g
          = &g_array_index (grants, pu_allowance_grant_t, i);
      team_t *t = find (a, g->team);

      if (t != NULL)
        take_grant (a, t, g, now);
    }
  return true;
}

void
pu_allowance_failed (pu_allowance_t *a, guint64 now)
{
  if (!a->open)
    return;
  a->open = false;
  pu_allowance_begin_alone (a, now);
}

bool
pu_allowance_state (const pu_allowance_t *a, const char *team, guint64 now,
                    pu_allowance_state_t *s)
{
  team_t *t = find (a, team);

  if (t == NULL)
    return false;
  expire_stock (a, t, now);
  *s = (pu_allowance_state_t){
    .rate = t->rate,
    .admitted = t->admitted,
    .requests_admitted = t->requests_admitted,
    .requests_refused = t->requests_refused,
    .held = t->held,
    .waiting = t->waiting.length,
    .limited = t->limited,
    .alone = a->alone,
  };
  return true;
}
