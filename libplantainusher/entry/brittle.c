/* Backend servers that are brittle: one that has to reject more requests in a
   second than it states falls over.  The bound is on all entries together.

   A server that reports no load gets requests of one entry only, which knows
   all of them (routing/brittle.h); the others relay theirs to that entry.

   An engine reports its load to all entries.  No entry sends it more than it
   has places for, as far as reports tell, and each one that was rejected
   leaves it alone for so long that all of them, rejected in turn, stay within
   half of the bound.  What would be rejected waits in the router's queue.  */

#include "entry/entry_private.h"

#include <string.h>

#include "base/log.h"
#include "entry/trace.h"

enum
{
  MS_PER_S = 1000,
  /* Share of an engine's places, in quarters, that is used: reports of other
     entries' requests are a few hundred ms old.  */
  ENGINE_QUARTERS = 3,
  BACK_OFF_MAX_MS = 20000,
  GROW_INTERVAL_MS = 2000,  /* without a rejection, until one more request at
                               once is tried */
  REPORT_MAX_AGE_MS = 1000, /* an older report says nothing of its places */
  /* How long an entry that is not the owner of a server sends requests to it,
     after the owner could not be reached.  */
  ADOPTED_MS = 2000,
  /* Entries that may own a server: at least one of each zone.  */
  OWNERS_MAX = 8,
};

/* The share of the bound that entries use.  */
#define BOUND_SHARE 0.5

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

/* --- plain servers: one entry sends each of them requests --- */

/* Appends the entries that may own S to OUT, of pu_directory_entry_t, the
   owner first: one of its zone, if there is any.  */
static void
owners_append (const pu_server_t *s, GArray *out)
{
  const pu_backend_record *b = record_of (s);
  char *key = g_strconcat ("brittle/", s->name, NULL);

  if (b != NULL)
    pu_directory_entries (s->en->directory, key, OWNERS_MAX, b->region,
                          b->zone, out);
  g_free (key);
}

static bool
is_owned (const pu_server_t *s)
{
  GArray *owners
      = g_array_new (FALSE, FALSE, sizeof (pu_directory_entry_t));
  bool own;

  owners_append (s, owners);
  own = owners->len > 0
        && strcmp (g_array_index (owners, pu_directory_entry_t, 0).name,
                   s->en->name)
               == 0;
  g_array_free (owners, TRUE);
  return own;
}

bool
pu_server_is_left_to_others (const pu_server_t *s)
{
  return s->brittle != NULL && loop_now (s->en) >= s->adopted_until
         && !is_owned (s);
}

/* Sends requests to S from this entry for a while.  */
static void
adopt (pu_server_t *s)
{
  bool was_left = pu_server_is_left_to_others (s);

  s->adopted_until = loop_now (s->en) + ADOPTED_MS;
  if (!was_left)
    return;
  pu_log_note (PU_ENTRY_LOG_SLICE,
               "Sends requests to brittle backend server %s, as its owner is "
               "not reached.",
               s->name);
  pu_server_refresh (s);
}

/* Applies the limit of S, which has changed or is about to.  */
static void
plain_limit_apply (pu_server_t *s)
{
  guint limit;

  if (s->handle == PU_ROUTER_NONE)
    return;
  limit = pu_brittle_limit (s->brittle, loop_now (s->en));
  if (limit == 0)
    {
      pu_server_back_off (s, pu_brittle_free_at (s->brittle));
    }
  else
    {
      pu_router_set_slots_cap (s->en->router, s->handle, limit);
    }
  pu_entry_schedule_router (s->en);
}

static void
plain_tick (pu_server_t *s)
{
  bool left = pu_server_is_left_to_others (s);

  if (left != s->left_to_others)
    pu_server_refresh (s);
  s->left_to_others = left;
  if (!left)
    plain_limit_apply (s);
}

void
pu_entry_brittle_tick (pu_entry_t *en)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, en->brittle_servers);
  while (g_hash_table_iter_next (&it, &value, NULL))
    {
      pu_server_t *s = value;

      if (s->brittle != NULL && s->handle != PU_ROUTER_NONE)
        plain_tick (s);
    }
}

static void
plain_set_bound (pu_server_t *s, double per_s)
{
  if (per_s <= 0)
    {
      pu_brittle_free (s->brittle);
      s->brittle = NULL;
      if (s->handle != PU_ROUTER_NONE)
        pu_router_set_slots_cap (s->en->router, s->handle, 0);
    }
  else if (s->brittle == NULL)
    {
      s->brittle = pu_brittle_new (per_s);
    }
  else
    {
      pu_brittle_set_bound (s->brittle, per_s);
    }
  s->adopted_until = 0;
  s->left_to_others = pu_server_is_left_to_others (s);
  pu_server_refresh (s);
}

/* Returns a random brittle server that may run X, or NULL.  */
static pu_server_t *
choose_server (const pu_exchange_t *x)
{
  pu_entry_t *en = x->en;
  pu_server_t *chosen = NULL;
  GHashTableIter it;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&it, en->brittle_servers);
  while (g_hash_table_iter_next (&it, &value, NULL))
    {
      pu_server_t *s = value;

      if (s->handle == PU_ROUTER_NONE || s->leaving || s->brittle == NULL
          || strcmp (service_of (s), x->q.service) != 0)
        continue;
      if (g_rand_int_range (en->random, 0, (gint)++n) == 0)
        chosen = s;
    }
  return chosen;
}

/* Sets TO to the first of the entries that may own S which X has not tried in
   vain.  Returns false if that is this entry, or if there is none.  */
static bool
owner_next_hop (const pu_exchange_t *x, const pu_server_t *s,
                pu_directory_entry_t *to)
{
  pu_entry_t *en = x->en;
  GArray *owners
      = g_array_new (FALSE, FALSE, sizeof (pu_directory_entry_t));
  bool relay = false;

  owners_append (s, owners);
  for (guint i = 0; i < owners->len; i++)
    {
      const pu_directory_entry_t *one
          = &g_array_index (owners, pu_directory_entry_t, i);
      bool self = strcmp (one->name, en->name) == 0;

      if (self ? en->reach.state == PU_REACH_CUT_OFF
               : pu_entry_peer_is_avoided (x, one->name))
        continue;
      *to = *one;
      relay = !self;
      break;
    }
  g_array_free (owners, TRUE);
  return relay;
}

bool
pu_exchange_relay_to_owner (pu_exchange_t *x)
{
  pu_directory_entry_t to;
  pu_server_t *s;

  if (!x->q.any_entry || !x->q.plain || x->hops > 0 || x->en->stopping
      || g_hash_table_size (x->en->brittle_servers) == 0
      || (x->q.attempts_max != 0 && x->server_attempts >= x->q.attempts_max))
    return false;
  s = choose_server (x);
  if (s == NULL)
    return false;
  g_free (x->owned_server);
  x->owned_server = g_strdup (s->name);
  x->owned_bound = pu_brittle_bound (s->brittle);
  if (owner_next_hop (x, s, &to))
    return pu_attempt_relay (x, &to);
  if (pu_server_is_left_to_others (s))
    adopt (s);
  return false;
}

void
pu_exchange_accept_as_owner (pu_exchange_t *x)
{
  pu_server_t *s = x->owned_server != NULL
                       ? pu_server_find (x->en, x->owned_server)
                       : NULL;

  if (s == NULL || !s->plain)
    return;
  if (s->brittle == NULL)
    pu_server_brittle_stated (s, x->owned_bound);
  if (pu_server_is_left_to_others (s))
    adopt (s);
}

/* --- engines --- */

/* Returns the most requests at once of a brittle engine S, before it has
   rejected any.  */
static guint
places_max (const pu_server_t *s)
{
  const pu_engine_class_t *c
      = s->en->document == NULL
            ? NULL
            : pu_document_engine_class (s->en->document, service_of (s));

  if (c == NULL || c->slots == 0)
    return 1;
  return MAX (1, c->slots * ENGINE_QUARTERS / 4);
}

static void
engine_set_bound (pu_server_t *s, double per_s)
{
  s->places = places_max (s);
  s->places_changed_at = loop_now (s->en);
  if (s->handle != PU_ROUTER_NONE)
    {
      pu_router_set_slots_cap (s->en->router, s->handle,
                               per_s > 0 ? s->places : 0);
    }
}

/* Returns how many requests the engine S had when it rejected one, as far as
   is known.  */
static guint
places_found (const pu_server_t *s, guint64 now)
{
  pu_router_load_t load;

  if (s->handle == PU_ROUTER_NONE)
    return 1;
  pu_router_backend_load (s->en->router, s->handle, now, &load);
  if (load.age_ms < REPORT_MAX_AGE_MS)
    return load.running > 1 ? load.running - 1 : 1;
  return load.own > 1 ? load.own - 1 : 1;
}

static void
engine_rejected (pu_server_t *s)
{
  pu_entry_t *en = s->en;
  guint64 now = loop_now (en);
  double entries = MAX (en->retry_entries, 1);
  double ms;

  s->places = MIN (s->places, places_found (s, now));
  s->places_changed_at = now;
  pu_server_brittle_apply (s);
  ms = entries / (s->rejections_per_s * BOUND_SHARE) * MS_PER_S
       * (1 + g_rand_double (en->random) / 2);
  pu_server_back_off (s, now + (guint64)CLAMP (ms, MS_PER_S, BACK_OFF_MAX_MS));
}

static void
engine_accepted (pu_server_t *s)
{
  guint64 now = loop_now (s->en);

  if (s->places >= places_max (s)
      || now < s->places_changed_at + GROW_INTERVAL_MS)
    return;
  s->places++;
  s->places_changed_at = now;
  pu_server_brittle_apply (s);
}

/* --- both --- */

void
pu_server_brittle_apply (pu_server_t *s)
{
  if (s->brittle != NULL)
    {
      plain_limit_apply (s);
    }
  else if (s->rejections_per_s > 0 && s->handle != PU_ROUTER_NONE)
    {
      pu_router_set_slots_cap (s->en->router, s->handle, s->places);
    }
}

static void
set_bound (pu_server_t *s, double per_s)
{
  s->rejections_per_s = per_s;
  if (per_s > 0)
    {
      g_hash_table_add (s->en->brittle_servers, s);
    }
  else
    {
      g_hash_table_remove (s->en->brittle_servers, s);
    }
  if (s->plain)
    {
      plain_set_bound (s, per_s);
    }
  else
    {
      engine_set_bound (s, per_s);
    }
}

/* Returns the bound that another server of the service of S has stated, 0 if
   none has.  */
static double
bound_of_service (const pu_server_t *s)
{
  const char *service = service_of (s);
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, s->en->brittle_servers);
  while (g_hash_table_iter_next (&it, &value, NULL))
    {
      const pu_server_t *other = value;

      if (other != s && strcmp (service_of (other), service) == 0)
        return other->rejections_per_s;
    }
  return 0;
}

void
pu_server_brittle_inherit (pu_server_t *s)
{
  double per_s = bound_of_service (s);

  if (s->rejections_per_s == 0 && per_s > 0)
    set_bound (s, per_s);
}

void
pu_server_brittle_forget (pu_server_t *s)
{
  g_hash_table_remove (s->en->brittle_servers, s);
  pu_brittle_free (s->brittle);
  s->brittle = NULL;
  s->rejections_per_s = 0;
}

/* Forgets what servers of SERVICE that no longer run have stated.  */
static void
stopped_forget (pu_entry_t *en, const char *service)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, en->brittle_servers);
  while (g_hash_table_iter_next (&it, &value, NULL))
    {
      pu_server_t *s = value;

      if (!s->down || strcmp (service_of (s), service) != 0)
        continue;
      g_hash_table_iter_remove (&it);
      pu_server_brittle_forget (s);
    }
}

void
pu_server_brittle_stated (pu_server_t *s, double per_s)
{
  pu_entry_t *en = s->en;
  const char *service;
  GHashTableIter it;
  gpointer value;

  if (s->rejections_per_s == per_s)
    return;
  service = service_of (s);
  if (per_s <= 0)
    {
      set_bound (s, 0);
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
          || (other->rejections_per_s <= 0
              && strcmp (service_of (other), service) == 0))
        set_bound (other, per_s);
    }
}

void
pu_server_brittle_relayed (pu_exchange_t *x)
{
  pu_server_t *s = x->owned_server != NULL
                       ? pu_server_find (x->en, x->owned_server)
                       : NULL;

  /* A refusal of the other entry says nothing of the server.  */
  if (s != NULL && !x->at.answer.foreign
      && (!x->at.answer.failed || x->at.answer.rejections_per_s > 0))
    pu_server_brittle_stated (s, x->at.answer.rejections_per_s);
}

void
pu_server_brittle_sent (pu_server_t *s)
{
  if (s->brittle == NULL)
    return;
  pu_brittle_sent (s->brittle, loop_now (s->en));
  plain_limit_apply (s);
}

void
pu_server_brittle_rejected (pu_exchange_t *x)
{
  pu_server_t *s = x->at.server;

  if (s->brittle != NULL)
    {
      x->at.rejected = true;
      pu_brittle_rejected (s->brittle, x->at.sent_at, loop_now (s->en));
      plain_limit_apply (s);
    }
  else if (s->rejections_per_s > 0)
    {
      engine_rejected (s);
    }
}

void
pu_server_brittle_accepted (pu_exchange_t *x)
{
  pu_server_t *s = x->at.server;

  if (s->rejections_per_s > 0 && s->brittle == NULL)
    engine_accepted (s);
}

void
pu_server_brittle_ended (pu_exchange_t *x)
{
  pu_server_t *s = x->at.server;

  if (s == NULL || s->brittle == NULL || x->at.rejected || x->at.sent_at == 0)
    return;
  pu_brittle_ended (s->brittle, x->at.sent_at, loop_now (s->en));
  plain_limit_apply (s);
}
