#include "entry/entry_private.h"

#include <string.h>

#include "base/log.h"

enum
{
  PROPOSE_RETRY_MS = 500,
  STRIKE_TIMEOUT_MS = 30000,
};

void
pu_strike_free (gpointer strike)
{
  pu_strike_t *k = strike;

  g_free (k->model);
  g_free (k->backend);
  g_free (k);
}

/* Whether VIEW, this instance's copy of the replicated state, contains K.  */
static bool
is_in_view (const pu_strike_t *k, const pu_state_t *view)
{
  return k->position != 0 && k->position <= pu_state_position (view);
}

bool
pu_strike_pending (const pu_entry_t *en, guint64 fingerprint)
{
  const pu_state_t *view;
  const pu_suspect_record *record;
  guint pending = 0;
  guint strikes = 0;

  if (en->strikes->len == 0)
    return false;
  view = en->o.hooks.view (en->o.hooks.data);
  for (guint i = 0; i < en->strikes->len; i++)
    {
      const pu_strike_t *k = g_ptr_array_index (en->strikes, i);

      if (k->fingerprint != fingerprint)
        continue;
      pending++;
      strikes += !is_in_view (k, view);
    }
  if (pending == 0)
    return false;
  record = pu_state_suspect (view, fingerprint);
  strikes += record != NULL ? record->strikes : 0;
  return strikes >= en->o.isolate_strikes;
}

static const char *
model_by_fingerprint (const pu_entry_t *en, guint64 fingerprint)
{
  for (GList *l = en->open.head; l != NULL; l = l->next)
    {
      const pu_exchange_t *x = l->data;

      if (x->q.fingerprint == fingerprint)
        return x->q.model;
    }
  return "";
}

static pu_strike_t *
strike_by_number (const pu_entry_t *en, guint64 number)
{
  for (guint i = 0; i < en->strikes->len; i++)
    {
      pu_strike_t *k = g_ptr_array_index (en->strikes, i);

      if (k->number == number)
        return k;
    }
  return NULL;
}

typedef struct
{
  pu_entry_t *en;
  guint64 number; /* of the strike */
} proposal_t;

static void
on_proposed (void *data, const pu_reply *r, const pu_error_t *e)
{
  proposal_t *proposal = data;
  pu_entry_t *en = proposal->en;
  pu_strike_t *k = strike_by_number (en, proposal->number);
  guint64 now = uv_now (en->o.loop);

  (void)e;
  en->pending--;
  g_free (proposal);
  if (k != NULL && r != NULL)
    {
      k->position = MAX (r->position, 1);
    }
  else if (k != NULL)
    {
      k->propose_at = now + PROPOSE_RETRY_MS;
    }
  if (!en->freed)
    pu_strikes_tick (en, now);
  pu_entry_check_stopped (en);
}

static void
strike_propose (pu_strike_t *k)
{
  pu_entry_t *en = k->en;
  pu_command c = { .type = PU_COMMAND_STRIKE };
  pu_strike *strike = &c.pu_command_u.strike;
  proposal_t *proposal = g_new0 (proposal_t, 1);

  proposal->en = en;
  proposal->number = k->number;
  en->pending++;
  k->propose_at = 0;
  strike->apart = k->isolated;
  strike->fingerprint = k->fingerprint;
  strike->model = k->model;
  strike->backend = k->backend;
  strike->incarnation = k->incarnation;
  strike->wall = (guint64)(g_get_real_time () / G_TIME_SPAN_MILLISECOND);
  en->o.hooks.propose (en->o.hooks.data, &c, en->o.log_proposal_timeout_ms,
                       on_proposed, proposal);
}

void
pu_strike_begin (pu_entry_t *en, const pu_server_t *s,
                 const pu_suspects_strike_t *one)
{
  pu_log_note (PU_ENTRY_LOG_SLICE,
               "Proposing a strike against request %016" G_GINT64_MODIFIER
               "x for the crash of backend server %s.",
               one->fingerprint, s->name);
  pu_strike_propose (en, one->fingerprint,
                     model_by_fingerprint (en, one->fingerprint), s->name,
                     one->incarnation, one->apart);
}

void
pu_strike_propose (pu_entry_t *en, guint64 fingerprint, const char *model,
                   const char *backend, guint64 incarnation, bool isolated)
{
  pu_strike_t *k = g_new0 (pu_strike_t, 1);

  k->en = en;
  k->number = ++en->last_strike_number;
  k->fingerprint = fingerprint;
  k->model = g_strdup (model);
  k->backend = g_strdup (backend);
  k->incarnation = incarnation;
  k->isolated = isolated;
  k->give_up_at = uv_now (en->o.loop) + STRIKE_TIMEOUT_MS;
  g_ptr_array_add (en->strikes, k);
  strike_propose (k);
}

/* Whether the strike K is complete, so that the replicated state alone decides
   whether the request may run.  For a convicted request, one that may not run
   again, K is complete as soon as the replicated state contains K.  For any
   other request, K is complete only after strike_settle_ms more, when all
   entries know that the request is a suspect (a request with at least one
   strike).  Otherwise a caller whose request is lost again could run it
   through an entry that knows of neither strike.  */
static bool
strike_is_complete (pu_strike_t *k, const pu_state_t *view, guint64 now)
{
  const pu_suspect_record *s;

  if (k->give_up_at <= now)
    return true;
  if (!is_in_view (k, view))
    return false;
  if (k->settled_at == 0)
    k->settled_at = now + k->en->o.strike_settle_ms;
  s = pu_state_suspect (view, k->fingerprint);
  return k->settled_at <= now || (s != NULL && s->convicted);
}

void
pu_strikes_tick (pu_entry_t *en, guint64 now)
{
  const pu_state_t *view = en->o.hooks.view (en->o.hooks.data);

  for (guint i = en->strikes->len; i > 0; i--)
    {
      pu_strike_t *k = g_ptr_array_index (en->strikes, i - 1);

      if (strike_is_complete (k, view, now))
        {
          g_ptr_array_remove_index_fast (en->strikes, i - 1);
        }
      else if (k->propose_at != 0 && k->propose_at <= now)
        {
          strike_propose (k);
        }
    }
}

/* --- acquittals --- */

typedef struct
{
  pu_entry_t *en;
  guint64 fingerprint;
} acquittal_t;

static void
on_acquitted (void *data, const pu_reply *r, const pu_error_t *e)
{
  acquittal_t *a = data;
  pu_entry_t *en = a->en;

  if (r == NULL)
    {
      pu_log_note (PU_ENTRY_LOG_SLICE,
                   "Strikes against what has run well remain: %s",
                   e != NULL ? e->message : "no reply.");
    }
  g_hash_table_remove (en->acquittals, &a->fingerprint);
  g_free (a);
  en->pending--;
  pu_entry_check_stopped (en);
}

void
pu_strikes_lift (pu_entry_t *en, guint64 fingerprint)
{
  pu_command c = { .type = PU_COMMAND_LIFT };
  acquittal_t *a;

  if (g_hash_table_contains (en->acquittals, &fingerprint))
    return;
  a = g_new0 (acquittal_t, 1);
  a->en = en;
  a->fingerprint = fingerprint;
  g_hash_table_add (en->acquittals,
                    g_memdup2 (&fingerprint, sizeof fingerprint));
  c.pu_command_u.lift = fingerprint;
  en->pending++;
  en->o.hooks.propose (en->o.hooks.data, &c, en->o.log_proposal_timeout_ms,
                       on_acquitted, a);
}

void
pu_strikes_acquit (const pu_exchange_t *x)
{
  pu_entry_t *en = x->en;
  guint64 fingerprint = x->q.fingerprint;
  const pu_suspect_record *record;

  if (!en->o.acquit || !x->q.crash_tracked
      || g_hash_table_contains (en->acquittals, &fingerprint))
    return;
  record = pu_state_suspect (en->o.hooks.view (en->o.hooks.data), fingerprint);
  if (record == NULL || record->convicted)
    return;
  pu_log_note (PU_ENTRY_LOG_SLICE,
               "Request %016" G_GINT64_MODIFIER
               "x has run to its end; lifting its strikes.",
               fingerprint);
  pu_strikes_lift (en, fingerprint);
}
