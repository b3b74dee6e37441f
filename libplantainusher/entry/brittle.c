/* Backend servers that are brittle: one that has to reject more requests in a
   second than it states falls over.  The bound is on all entries together.

   Each of them has an owner, an entry that sends it the requests of all
   entries and so knows each of them (routing/brittle.h).  The others choose
   the server as always, but send their requests by way of its owner.  A plain
   server that is crowded has an owner as well (crowded.c).  */

#include "entry/entry_private.h"

#include <string.h>

#include "base/breaks.h"
#include "base/log.h"

enum
{
  /* How long an entry that is not the owner of a server sends it requests,
     after the owner could not be reached.  */
  ADOPTED_MS = 2000,
  /* Entries that may own a server.  */
  OWNERS_MAX = 4,
  /* How long an entry that has had no answer of a service sends it one request
     only.  */
  FIRST_ANSWER_MS = 150,
  /* How long such an entry turns to owners that do not answer, as ones that
     hang, before it asks the service itself.  */
  OWNERS_SILENT_MS = 2000,
};

/* The requests to a service that has not answered yet.  */
typedef struct
{
  guint64 since; /* loop time of the first that nobody has answered */
  guint64 last;  /* loop time of the last */
} asked_t;

static guint64
loop_now (const pu_entry_t *en)
{
  return uv_now (en->o.loop);
}

static const pu_backend_record *
record_of (const pu_server_t *s)
{
  return pu_state_backend (s->en->o.hooks.view (s->en->o.hooks.data), s->name);
}

static const char *
service_of (const pu_server_t *s)
{
  const pu_backend_record *b = record_of (s);

  return b != NULL ? b->service : "";
}

/* --- owners --- */

/* Appends the entries that may own S to OUT, of pu_directory_entry_t, the
   owner first: one of its zone, if there is any.  */
static void
owners_append (const pu_server_t *s, GArray *out)
{
  const pu_backend_record *b = record_of (s);
  char *key = g_strconcat ("brittle/", s->name, NULL);

  if (b != NULL)
    {
      pu_directory_entries (s->en->directory, key, OWNERS_MAX, b->region,
                            b->zone, out);
    }
  g_free (key);
}

bool
pu_server_is_owned (const pu_server_t *s)
{
  GArray *owners = g_array_new (FALSE, FALSE, sizeof (pu_directory_entry_t));
  bool own;

  owners_append (s, owners);
  own = owners->len > 0
        && strcmp (g_array_index (owners, pu_directory_entry_t, 0).name,
                   s->en->name)
               == 0;
  g_array_free (owners, TRUE);
  return own;
}

static bool
is_adopted (const pu_server_t *s)
{
  return loop_now (s->en) < s->adopted_until;
}

/* Whether S has an owner.  */
static bool
has_owner (const pu_server_t *s)
{
  return s->brittle != NULL || pu_server_is_crowded (s);
}

/* Sends requests to S from this entry for a while.  */
static void
adopt (pu_server_t *s)
{
  if (pu_server_is_owned (s))
    return;
  if (!is_adopted (s))
    {
      pu_log_note (PU_ENTRY_LOG_SLICE,
                   "Sends requests to backend server %s, as its owner is not "
                   "reached.",
                   s->name);
    }
  s->adopted_until = loop_now (s->en) + ADOPTED_MS;
}

static bool
is_unreached (const pu_exchange_t *x, const char *name)
{
  return x->unreached_owners != NULL
         && g_ptr_array_find_with_equal_func (x->unreached_owners, name,
                                              g_str_equal, NULL);
}

/* Whether an answer of SERVICE has come, which says whether it is brittle.  */
static bool
is_heard (const pu_entry_t *en, const char *service)
{
  return g_hash_table_contains (en->heard_services, service);
}

/* Whether the service of X may be brittle, as it has not answered yet, and
   owners may know.  A request that may crash its backend server is sent by
   this entry, which then sees the crash.  */
static bool
may_be_brittle (const pu_exchange_t *x)
{
  const pu_entry_t *en = x->en;
  const asked_t *asked
      = g_hash_table_lookup (en->asked_services, x->q.service);

  return !is_heard (en, x->q.service) && !pu_exchange_has_strikes (x)
         && (asked == NULL || loop_now (en) < asked->since + OWNERS_SILENT_MS);
}

pu_brittle_way_t
pu_brittle_find_way (const pu_exchange_t *x, const pu_server_t *s,
                     pu_directory_entry_t *to)
{
  const pu_entry_t *en = x->en;
  pu_brittle_way_t way = PU_BRITTLE_NO_WAY;
  GArray *owners;

  if (x->only_server != NULL || en->stopping || !x->q.any_entry
      || (!has_owner (s) && !may_be_brittle (x))
      || pu_break_active (PU_BREAK_OWNER_IGNORED))
    return PU_BRITTLE_DIRECT;
  owners = g_array_new (FALSE, FALSE, sizeof (pu_directory_entry_t));
  owners_append (s, owners);
  for (guint i = 0; i < owners->len && way == PU_BRITTLE_NO_WAY; i++)
    {
      const pu_directory_entry_t *one
          = &g_array_index (owners, pu_directory_entry_t, i);
      bool here = strcmp (one->name, en->name) == 0;

      *to = *one;
      if (here && en->reach.state != PU_REACH_CUT_OFF)
        {
          way = PU_BRITTLE_DIRECT;
        }
      else if (!here && !is_unreached (x, one->name)
               && !pu_entry_peer_is_avoided (x, one->name))
        {
          way = PU_BRITTLE_BY_OWNER;
        }
    }
  g_array_free (owners, TRUE);
  /* Most services are not brittle.  */
  return s->stated_per_s == 0 && way == PU_BRITTLE_NO_WAY ? PU_BRITTLE_DIRECT
                                                          : way;
}

void
pu_exchange_accept_as_owner (pu_exchange_t *x)
{
  pu_server_t *s = pu_server_find (x->en, x->only_server);

  if (s == NULL)
    return;
  /* A split route draws a service anew at each entry.  */
  g_free (x->q.service);
  x->q.service = g_strdup (service_of (s));
  if (s->stated_per_s == 0 && x->only_server_bound > 0)
    pu_server_brittle_stated (s, x->only_server_bound);
  if (has_owner (s))
    adopt (s);
}

/* --- the limit in the router --- */

/* Sets the limit of S, which states what it bears.  */
static void
bound_apply (pu_server_t *s, bool owned)
{
  guint64 now = loop_now (s->en);
  guint limit = pu_brittle_limit (s->brittle, owned, now);

  if (limit == 0)
    {
      pu_server_back_off (s, pu_brittle_free_at (s->brittle, now));
    }
  else
    {
      pu_router_set_slots_cap (s->en->router, s->handle, limit);
    }
}

void
pu_server_brittle_apply (pu_server_t *s)
{
  bool owned = has_owner (s) && pu_server_is_owned (s);

  if (s->handle == PU_ROUTER_NONE)
    return;
  if (!has_owner (s) || (!owned && !is_adopted (s)))
    {
      pu_router_set_slots_cap (s->en->router, s->handle, 0);
      return;
    }
  if (s->brittle != NULL)
    {
      bound_apply (s, owned);
    }
  else
    {
      pu_router_set_slots_cap (s->en->router, s->handle,
                               pu_server_crowded_cap (s));
    }
  pu_entry_schedule_router (s->en);
}

static void
set_stated (pu_server_t *s, double per_s)
{
  s->stated_per_s = MAX (per_s, 0);
  if (per_s <= 0)
    {
      g_hash_table_remove (s->en->brittle_servers, s);
      pu_brittle_free (s->brittle);
      s->brittle = NULL;
    }
  else if (s->brittle == NULL)
    {
      s->brittle = pu_brittle_new (per_s);
      g_hash_table_add (s->en->brittle_servers, s);
    }
  else
    {
      pu_brittle_set_bound (s->brittle, per_s);
    }
  pu_server_brittle_apply (s);
}

void
pu_entry_brittle_tick (pu_entry_t *en)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, en->brittle_servers);
  while (g_hash_table_iter_next (&it, &value, NULL))
    pu_server_brittle_apply (value);
}

/* --- what servers state --- */

void
pu_server_brittle_forget (pu_server_t *s)
{
  g_hash_table_remove (s->en->brittle_servers, s);
  pu_brittle_free (s->brittle);
  s->brittle = NULL;
  s->stated_per_s = 0;
  s->adopted_until = 0;
  pu_server_crowded_forget (s);
}

void
pu_server_brittle_inherit (pu_server_t *s)
{
  const char *service = service_of (s);
  GHashTableIter it;
  gpointer value;

  if (s->stated_per_s > 0)
    return;
  g_hash_table_iter_init (&it, s->en->brittle_servers);
  while (g_hash_table_iter_next (&it, &value, NULL))
    {
      const pu_server_t *other = value;

      if (strcmp (service_of (other), service) != 0)
        continue;
      set_stated (s, other->stated_per_s);
      return;
    }
}

/* Forgets what servers of SERVICE that no longer run have stated.  */
static void
stopped_forget (pu_entry_t *en, const char *service)
{
  GList *all = g_hash_table_get_keys (en->brittle_servers);

  for (const GList *l = all; l != NULL; l = l->next)
    {
      pu_server_t *s = l->data;

      if (s->down && strcmp (service_of (s), service) == 0)
        pu_server_brittle_forget (s);
    }
  g_list_free (all);
}

void
pu_server_brittle_stated (pu_server_t *s, double per_s)
{
  pu_entry_t *en = s->en;
  const char *service;
  GHashTableIter it;
  gpointer value;

  if (s->stated_per_s == per_s)
    return;
  service = service_of (s);
  if (per_s <= 0)
    {
      pu_log_note (PU_ENTRY_LOG_SLICE,
                   "Backend server %s bears any number of rejections again.",
                   s->name);
      set_stated (s, 0);
      stopped_forget (en, service);
      return;
    }
  pu_log_note (PU_ENTRY_LOG_SLICE,
               "Backend server %s bears %.2f rejections per second.", s->name,
               per_s);
  g_hash_table_iter_init (&it, en->servers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      pu_server_t *other = value;

      if (other == s
          || (other->stated_per_s == 0
              && strcmp (service_of (other), service) == 0))
        set_stated (other, per_s);
    }
}

bool
pu_server_may_have_fallen (const pu_server_t *s)
{
  return s->stated_per_s > 0
         && pu_brittle_may_have_fallen (s->brittle, pu_server_is_owned (s),
                                        loop_now (s->en));
}

/* --- the first answer of a service --- */

bool
pu_brittle_awaits_first_answer (const pu_exchange_t *x)
{
  const pu_entry_t *en = x->en;
  const asked_t *asked;

  if (!x->q.any_entry || (x->only_server != NULL && x->only_server_bound > 0)
      || is_heard (en, x->q.service))
    return false;
  asked = g_hash_table_lookup (en->asked_services, x->q.service);
  return asked != NULL && loop_now (en) < asked->last + FIRST_ANSWER_MS;
}

void
pu_brittle_note_asked (const pu_exchange_t *x)
{
  pu_entry_t *en = x->en;
  asked_t *asked = g_hash_table_lookup (en->asked_services, x->q.service);

  if (is_heard (en, x->q.service))
    return;
  if (asked == NULL)
    {
      asked = g_new0 (asked_t, 1);
      asked->since = loop_now (en);
      g_hash_table_insert (en->asked_services, g_strdup (x->q.service), asked);
    }
  asked->last = loop_now (en);
}

void
pu_brittle_note_unasked (const pu_exchange_t *x)
{
  g_hash_table_remove (x->en->asked_services, x->q.service);
}

void
pu_brittle_note_answer (const pu_exchange_t *x)
{
  pu_entry_t *en = x->en;

  if (x->at.server == NULL || is_heard (en, x->q.service))
    return;
  if (x->at.owner != NULL && !x->at.by_server)
    {
      pu_brittle_note_unasked (x);
      return;
    }
  g_hash_table_add (en->heard_services, g_strdup (x->q.service));
  g_hash_table_remove (en->asked_services, x->q.service);
}

/* --- requests that this entry sends itself --- */

void
pu_server_brittle_sent (const pu_exchange_t *x)
{
  pu_server_t *s = x->at.server;

  pu_server_crowded_sent (s);
  if (!has_owner (s))
    return;
  adopt (s);
  if (s->brittle != NULL)
    pu_brittle_sent (s->brittle, loop_now (s->en));
  pu_server_brittle_apply (s);
}

void
pu_server_brittle_rejected (pu_exchange_t *x)
{
  pu_server_t *s = x->at.server;

  x->at.rejected = true;
  pu_server_crowded_rejected (x);
  if (s->brittle != NULL)
    pu_brittle_rejected (s->brittle, x->at.sent_at, loop_now (s->en));
  if (has_owner (s))
    pu_server_brittle_apply (s);
}

void
pu_server_brittle_ended (pu_exchange_t *x)
{
  pu_server_t *s = x->at.server;

  if (s == NULL || x->at.owner != NULL || x->at.rejected || x->at.sent_at == 0)
    return;
  pu_server_crowded_ended (s, x->at.sent_at);
  if (s->brittle != NULL)
    pu_brittle_ended (s->brittle, x->at.sent_at, loop_now (s->en));
  if (has_owner (s))
    pu_server_brittle_apply (s);
}
