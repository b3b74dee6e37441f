#include "control/sessions.h"

#include <string.h>

typedef struct
{
  uint64_t incarnation;
  uint64_t renewed_ms;
} renewal_t;

typedef struct
{
  uint32_t requests;
  uint32_t stream_ms;
} demand_t;

typedef struct
{
  uint64_t incarnation;
  uint64_t position;
  uint64_t polled_ms;
  GHashTable *renewals; /* backend server -> renewal_t */
  GHashTable *demand;   /* model -> demand_t */
} session_t;

struct pu_sessions_table
{
  GHashTable *sessions; /* name of a daemon -> session_t */
};

static void
session_free (gpointer p)
{
  session_t *s = p;

  g_hash_table_unref (s->renewals);
  g_hash_table_unref (s->demand);
  g_free (s);
}

pu_sessions_t *
pu_sessions_new (void)
{
  pu_sessions_t *s = g_new0 (pu_sessions_t, 1);

  s->sessions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, session_free);
  return s;
}

void
pu_sessions_free (pu_sessions_t *s)
{
  if (s == NULL)
    return;
  g_hash_table_unref (s->sessions);
  g_free (s);
}

static session_t *
get_or_create_session (pu_sessions_t *s, const char *name)
{
  session_t *n = g_hash_table_lookup (s->sessions, name);

  if (n != NULL)
    return n;
  n = g_new0 (session_t, 1);
  n->renewals
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  n->demand = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (s->sessions, g_strdup (name), n);
  return n;
}

/* get_or_create - returns the record of NAME in T; a new one is SIZE bytes of
   zero.  */
static gpointer
get_or_create (GHashTable *t, const char *name, size_t size)
{
  gpointer p = g_hash_table_lookup (t, name);

  if (p != NULL)
    return p;
  p = g_malloc0 (size);
  g_hash_table_insert (t, g_strdup (name), p);
  return p;
}

static void
add_renewals (session_t *s, const pu_poll *p, uint64_t now)
{
  for (u_int i = 0; i < p->renewals.renewals_len; i++)
    {
      const pu_renewal *r = &p->renewals.renewals_val[i];
      renewal_t *n = get_or_create (s->renewals, r->backend, sizeof *n);
      uint64_t renewed_ms = now > r->age_ms ? now - r->age_ms : 0;

      if (r->incarnation < n->incarnation)
        continue;
      n->incarnation = r->incarnation;
      n->renewed_ms = MAX (n->renewed_ms, renewed_ms);
    }
}

static void
add_demand (session_t *s, const pu_poll *p)
{
  for (u_int i = 0; i < p->demand.demand_len; i++)
    {
      const pu_demand *d = &p->demand.demand_val[i];
      demand_t *n = get_or_create (s->demand, d->model, sizeof *n);

      n->requests += d->requests;
      n->stream_ms += d->stream_ms;
    }
}

void
pu_sessions_add_poll (pu_sessions_t *s, const pu_poll *p, uint64_t now)
{
  session_t *n = get_or_create_session (s, p->name);

  if (p->incarnation < n->incarnation)
    return;
  n->incarnation = p->incarnation;
  n->position = p->position;
  n->polled_ms = now;
  add_renewals (n, p, now);
  add_demand (n, p);
}

static void
put_renewals (const session_t *s, pu_session *m, uint64_t now)
{
  guint n = MIN (g_hash_table_size (s->renewals), PU_CONTROL_LIST_MAX);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  m->renewals.renewals_val = g_new0 (pu_renewal, n);
  g_hash_table_iter_init (&iter, s->renewals);
  while (m->renewals.renewals_len < n
         && g_hash_table_iter_next (&iter, &key, &value))
    {
      pu_renewal *r = &m->renewals.renewals_val[m->renewals.renewals_len++];

      r->backend = key;
      r->incarnation = ((renewal_t *)value)->incarnation;
      r->age_ms = (u_int)(now - ((renewal_t *)value)->renewed_ms);
    }
}

static void
put_demand (const session_t *s, pu_session *m)
{
  guint n = MIN (g_hash_table_size (s->demand), PU_CONTROL_LIST_MAX);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  m->demand.demand_val = g_new0 (pu_demand, n);
  g_hash_table_iter_init (&iter, s->demand);
  while (m->demand.demand_len < n
         && g_hash_table_iter_next (&iter, &key, &value))
    {
      pu_demand *d = &m->demand.demand_val[m->demand.demand_len++];

      d->model = key;
      d->requests = ((demand_t *)value)->requests;
      d->stream_ms = ((demand_t *)value)->stream_ms;
    }
}

/* Returns a message that borrows strings of S.  */
static pu_sessions *
message_new (const pu_sessions_t *s, const char *voter, uint64_t now)
{
  guint n = MIN (g_hash_table_size (s->sessions), PU_CONTROL_LIST_MAX);
  pu_sessions *m = g_new0 (pu_sessions, 1);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  m->voter = g_strdup (voter);
  m->sessions.sessions_val = g_new0 (pu_session, n);
  g_hash_table_iter_init (&iter, s->sessions);
  while (m->sessions.sessions_len < n
         && g_hash_table_iter_next (&iter, &key, &value))
    {
      pu_session *x = &m->sessions.sessions_val[m->sessions.sessions_len++];
      const session_t *t = value;

      x->name = key;
      x->incarnation = t->incarnation;
      x->position = t->position;
      x->age_ms = (u_int)(now - t->polled_ms);
      put_renewals (t, x, now);
      put_demand (t, x);
    }
  return m;
}

static void
message_free (pu_sessions *m)
{
  for (u_int i = 0; i < m->sessions.sessions_len; i++)
    {
      g_free (m->sessions.sessions_val[i].renewals.renewals_val);
      g_free (m->sessions.sessions_val[i].demand.demand_val);
    }
  g_free (m->sessions.sessions_val);
  g_free (m->voter);
  g_free (m);
}

/* Removes what X of a message has from its session of S.  */
static void
remove_sent (pu_sessions_t *s, const pu_session *x)
{
  session_t *t = g_hash_table_lookup (s->sessions, x->name);

  for (u_int i = 0; i < x->renewals.renewals_len; i++)
    g_hash_table_remove (t->renewals, x->renewals.renewals_val[i].backend);
  for (u_int i = 0; i < x->demand.demand_len; i++)
    g_hash_table_remove (t->demand, x->demand.demand_val[i].model);
  if (g_hash_table_size (t->renewals) == 0
      && g_hash_table_size (t->demand) == 0)
    g_hash_table_remove (s->sessions, x->name);
}

void
pu_sessions_send (pu_sessions_t *s, const char *voter, uint64_t now,
                  pu_sessions_send_fn *send, void *data)
{
  bool taken;

  do
    {
      pu_sessions *m = message_new (s, voter, now);

      taken = send (data, m);
      for (u_int i = 0; taken && i < m->sessions.sessions_len; i++)
        remove_sent (s, &m->sessions.sessions_val[i]);
      message_free (m);
    }
  while (taken && g_hash_table_size (s->sessions) > 0);
}
