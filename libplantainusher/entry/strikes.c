#include "entry/entry_private.h"

#include <string.h>

#include "base/log.h"

enum
{
  AGAIN_MS = 500, /* pause before a strike is proposed again */
  GIVE_UP_MS = 30000,
};

void
pu_strike_free (gpointer strike)
{
  pu_strike_t *k = strike;

  g_free (k->model);
  g_free (k->backend);
  g_free (k);
}

bool
pu_strike_pending (const pu_entry_t *en, guint64 fingerprint)
{
  return g_hash_table_contains (en->strikes, &fingerprint);
}

static const char *
model_of (const pu_entry_t *en, guint64 fingerprint)
{
  for (GList *l = en->open.head; l != NULL; l = l->next)
    {
      const pu_exchange_t *x = l->data;

      if (x->q.fingerprint == fingerprint)
        return x->q.model;
    }
  return "";
}

typedef struct
{
  pu_entry_t *en;
  guint64 fingerprint;
} asked_t;

static void
on_answer (void *data, const pu_reply *r, const pu_error_t *e)
{
  asked_t *asked = data;
  pu_entry_t *en = asked->en;
  pu_strike_t *k = g_hash_table_lookup (en->strikes, &asked->fingerprint);
  guint64 now = uv_now (en->o.loop);

  (void)e;
  en->pending--;
  g_free (asked);
  if (k != NULL && r != NULL)
    {
      k->position = MAX (r->position, 1);
    }
  else if (k != NULL)
    {
      k->due = now + AGAIN_MS;
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
  asked_t *asked = g_new0 (asked_t, 1);

  asked->en = en;
  asked->fingerprint = k->fingerprint;
  en->pending++;
  k->due = 0;
  strike->apart = k->apart;
  strike->fingerprint = k->fingerprint;
  strike->model = k->model;
  strike->backend = k->backend;
  strike->incarnation = k->incarnation;
  strike->wall = (guint64)(g_get_real_time () / G_TIME_SPAN_MILLISECOND);
  en->o.hooks.propose (en->o.hooks.data, &c, en->o.log_proposal_timeout_ms,
                       on_answer, asked);
}

void
pu_strike_begin (pu_entry_t *en, const pu_server_t *s,
                 const pu_suspects_strike_t *one)
{
  pu_strike_t *k = g_new0 (pu_strike_t, 1);

  pu_log_note (PU_ENTRY_LOG_SLICE,
               "Request %016" G_GINT64_MODIFIER
               "x ran at %s when it died: a strike.",
               one->fingerprint, s->name);
  k->en = en;
  k->fingerprint = one->fingerprint;
  k->model = g_strdup (model_of (en, one->fingerprint));
  k->backend = g_strdup (s->name);
  k->incarnation = one->incarnation;
  k->apart = one->apart;
  k->until = uv_now (en->o.loop) + GIVE_UP_MS;
  g_hash_table_replace (en->strikes, &k->fingerprint, k);
  strike_propose (k);
}

/* Whether K is over: the request may be judged by the view alone.  One that
   is convicted may at once.  Any other waits until all entries know that it is
   a suspect: else its caller, once it is lost again, could have it run through
   an entry that does not know of either strike.  */
static bool
strike_is_over (pu_strike_t *k, const pu_state_t *view, guint64 now)
{
  const pu_suspect_record *s;

  if (k->until <= now)
    return true;
  if (k->position == 0 || k->position > pu_state_position (view))
    return false;
  if (k->settled == 0)
    k->settled = now + k->en->o.strike_settle_ms;
  s = pu_state_suspect (view, k->fingerprint);
  return k->settled <= now || (s != NULL && s->convicted);
}

void
pu_strikes_tick (pu_entry_t *en, guint64 now)
{
  const pu_state_t *view = en->o.hooks.view (en->o.hooks.data);
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, en->strikes);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      pu_strike_t *k = value;

      if (strike_is_over (k, view, now))
        {
          g_hash_table_iter_remove (&it);
        }
      else if (k->due != 0 && k->due <= now)
        {
          strike_propose (k);
        }
    }
}
