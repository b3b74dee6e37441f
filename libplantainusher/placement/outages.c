#include "placement/outages.h"

/* What is known against an engine.  Times in ms; 0: nothing.  */
typedef struct
{
  guint64 reported_at; /* latest report of another instance */
  guint64 refused_at;  /* latest connection of this instance that it refused */
  guint64 confirmed_at;
} evidence_t;

struct pu_outages
{
  guint64 evidence_ms;
  GHashTable *evidence; /* engine -> evidence_t */
  guint64 connected; /* latest start of a connection that an engine accepted */
};

pu_outages_t *
pu_outages_new (guint64 evidence_ms)
{
  pu_outages_t *o = g_new0 (pu_outages_t, 1);

  o->evidence_ms = evidence_ms;
  o->evidence = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return o;
}

void
pu_outages_free (pu_outages_t *o)
{
  if (o == NULL)
    return;
  g_hash_table_unref (o->evidence);
  g_free (o);
}

static evidence_t *
find_evidence (const pu_outages_t *o, guint32 engine)
{
  return g_hash_table_lookup (o->evidence, GUINT_TO_POINTER (engine));
}

static evidence_t *
ensure_evidence (pu_outages_t *o, guint32 engine)
{
  evidence_t *v = find_evidence (o, engine);

  if (v != NULL)
    return v;
  v = g_new0 (evidence_t, 1);
  g_hash_table_insert (o->evidence, GUINT_TO_POINTER (engine), v);
  return v;
}

void
pu_outages_add_report (pu_outages_t *o, guint32 engine, guint64 now)
{
  ensure_evidence (o, engine)->reported_at = now;
}

void
pu_outages_add_refusal (pu_outages_t *o, guint32 engine, guint64 now)
{
  ensure_evidence (o, engine)->refused_at = now;
}

void
pu_outages_add_answer (pu_outages_t *o, guint32 engine, guint64 started)
{
  const evidence_t *v = find_evidence (o, engine);

  if (v != NULL && v->reported_at <= started && v->refused_at <= started)
    g_hash_table_remove (o->evidence, GUINT_TO_POINTER (engine));
}

static bool
is_current (const pu_outages_t *o, guint64 at, guint64 now)
{
  return at != 0 && now < at + o->evidence_ms;
}

bool
pu_outages_refuses (const pu_outages_t *o, guint32 engine, guint64 now)
{
  const evidence_t *v = find_evidence (o, engine);

  return v != NULL && is_current (o, v->refused_at, now);
}

void
pu_outages_add_connection (pu_outages_t *o, guint64 started)
{
  o->connected = MAX (o->connected, started);
}

static bool
is_suspected (const pu_outages_t *o, const evidence_t *v, guint64 now)
{
  return !is_current (o, v->confirmed_at, now)
         && is_current (o, v->reported_at, now)
         && is_current (o, v->refused_at, now);
}

bool
pu_outages_is_suspected (const pu_outages_t *o, guint32 engine, guint64 now)
{
  const evidence_t *v = find_evidence (o, engine);

  return v != NULL && is_suspected (o, v, now);
}

static bool
confirm (const pu_outages_t *o, evidence_t *v, bool alone, guint64 now)
{
  if (!is_suspected (o, v, now) || (!alone && o->connected < v->refused_at))
    return false;
  v->confirmed_at = now;
  return true;
}

bool
pu_outages_confirm (pu_outages_t *o, guint32 engine, bool alone, guint64 now)
{
  evidence_t *v = find_evidence (o, engine);

  return v != NULL && confirm (o, v, alone, now);
}

bool
pu_outages_confirm_next (pu_outages_t *o, guint64 now, guint32 *engine)
{
  GHashTableIter it;
  gpointer key;
  gpointer v;

  g_hash_table_iter_init (&it, o->evidence);
  while (g_hash_table_iter_next (&it, &key, &v))
    {
      *engine = GPOINTER_TO_UINT (key);
      if (confirm (o, v, false, now))
        return true;
    }
  return false;
}
