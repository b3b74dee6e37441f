/* Plain backend servers that are crowded: they reject requests for want of
   room, whatever a single entry sends (routing/crowded.h).

   Such a server has an owner as a brittle one has (brittle.c): it reports no
   load, so that many entries, each with a few requests, would spend most
   attempts on rejections.  All entries are told.  It stays crowded for as long
   as requests have to wait at its owner.  */

#include "entry/entry_private.h"

#include "base/log.h"
#include "state/slots.h"

enum
{
  /* How long a server counts as crowded, and after which part of that time it
     is told again.  */
  CROWDED_MS = 3000,
  CROWDED_TOLD_MS = 1000,
  LOG_INTERVAL_MS = 1000, /* between two log lines of an owner */
  STATUS_UNAVAILABLE = 503,
};

static guint64
loop_now (const pu_entry_t *en)
{
  return uv_now (en->o.loop);
}

bool
pu_server_is_crowded (const pu_server_t *s)
{
  return loop_now (s->en) < s->crowded_until;
}

/* --- telling --- */

void
pu_server_crowded_told (pu_server_t *s, guint64 until)
{
  if (!s->plain || s->stated_per_s > 0 || until <= s->crowded_until)
    return;
  if (!pu_server_is_crowded (s) && until > loop_now (s->en))
    {
      pu_log_info (PU_ENTRY_LOG_SLICE,
                   "Backend server %s is crowded; its owner sends it the "
                   "requests of all.",
                   s->name);
    }
  s->crowded_until = until;
  g_hash_table_add (s->en->crowded_servers, s);
  pu_server_brittle_apply (s);
}

/* S is crowded from now on.  */
static void
crowded_note (pu_server_t *s)
{
  guint64 now = loop_now (s->en);

  if (s->crowded_until + CROWDED_TOLD_MS > now + CROWDED_MS)
    return;
  pu_server_crowded_told (s, now + CROWDED_MS);
  pu_server_statement_note (s, 0, s->limit_per_s);
}

/* --- requests that this entry sends itself --- */

void
pu_server_crowded_sent (pu_server_t *s)
{
  if (!s->plain)
    return;
  if (s->crowded == NULL)
    s->crowded = pu_crowded_new ();
  pu_crowded_sent (s->crowded, loop_now (s->en));
}

void
pu_server_crowded_ended (pu_server_t *s, guint64 sent_at)
{
  if (s->crowded != NULL)
    pu_crowded_ended (s->crowded, sent_at, loop_now (s->en));
}

/* Whether the response of AT, which this entry sent, says that its backend
   server has no room now.  */
static bool
is_out_of_room (const pu_attempt_t *at)
{
  return at->owner == NULL && at->status == STATUS_UNAVAILABLE
         && at->answer.retry_after_ms == 0 && !at->answer.leaving;
}

void
pu_server_crowded_rejected (const pu_exchange_t *x)
{
  pu_server_t *s = x->at.server;
  guint64 now = loop_now (s->en);

  if (s->crowded == NULL)
    return;
  if (!is_out_of_room (&x->at))
    {
      pu_crowded_ended (s->crowded, x->at.sent_at, now);
      return;
    }
  pu_crowded_rejected (s->crowded, x->at.sent_at, now);
  if (s->stated_per_s > 0 || pu_server_is_crowded (s)
      || !pu_crowded_is_found (s->crowded, now))
    return;
  pu_log_info (PU_ENTRY_LOG_SLICE,
               "Backend server %s rejects requests for want of room.",
               s->name);
  crowded_note (s);
}

/* Returns how many requests at once keep S busy: one runs and one waits for
   each of its slots.  Any more would only wait there, first come, first
   served, while those that wait here go in the order of their targets.  */
static guint
busy_limit (const pu_server_t *s)
{
  const pu_backend_record *b
      = pu_state_backend (s->en->o.hooks.view (s->en->o.hooks.data), s->name);
  guint slots = b != NULL ? pu_backend_slots (b) : 0;

  return slots > 0 ? 2 * slots : G_MAXUINT;
}

guint
pu_server_crowded_cap (const pu_server_t *s)
{
  guint limit = s->crowded != NULL ? pu_crowded_limit (s->crowded) : G_MAXUINT;

  limit = MIN (limit, busy_limit (s));
  return limit == G_MAXUINT ? 0 : limit;
}

/* --- the end --- */

void
pu_server_crowded_forget (pu_server_t *s)
{
  g_hash_table_remove (s->en->crowded_servers, s);
  pu_crowded_free (s->crowded);
  s->crowded = NULL;
  s->crowded_until = 0;
}

static void
owner_log (pu_server_t *s, const pu_router_load_t *load, guint waiting)
{
  if (!pu_log_limited (&s->crowded_logged_at, loop_now (s->en),
                       LOG_INTERVAL_MS))
    return;
  pu_log_event (PU_ENTRY_LOG_SLICE, "Owns a crowded backend server.",
                PU_LOG_TEXT ("server", s->name),
                PU_LOG_NUMBER ("running", load->own),
                PU_LOG_NUMBER ("slots", load->slots),
                PU_LOG_NUMBER ("limit", pu_server_crowded_cap (s)),
                PU_LOG_NUMBER ("waiting", waiting));
}

/* S, which this entry owns, stays crowded while requests wait for room.  */
static void
owner_tick (pu_server_t *s)
{
  guint waiting = pu_router_waiting_for (s->en->router, s->handle);
  pu_router_load_t load;

  pu_router_backend_load (s->en->router, s->handle, loop_now (s->en), &load);
  owner_log (s, &load, waiting);
  if (waiting > 0 && load.own >= load.slots)
    crowded_note (s);
}

void
pu_entry_crowded_tick (pu_entry_t *en)
{
  GList *all = g_hash_table_get_keys (en->crowded_servers);

  for (const GList *l = all; l != NULL; l = l->next)
    {
      pu_server_t *s = l->data;

      if (pu_server_is_crowded (s) && pu_server_is_owned (s))
        owner_tick (s);
      if (pu_server_is_crowded (s))
        continue;
      pu_log_info (PU_ENTRY_LOG_SLICE,
                   "Backend server %s is no longer crowded.", s->name);
      g_hash_table_remove (en->crowded_servers, s);
      pu_server_brittle_apply (s);
    }
  g_list_free (all);
}
