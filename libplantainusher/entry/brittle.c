/* Backend servers that are brittle: one that has to reject more requests in a
   second than it states falls over.  The bound is on all entries together, and
   holds without a message between them: no entry sends such a server more than
   it has places for, as far as reports tell, and each one that was rejected
   leaves it alone for so long that all of them, rejected in turn, stay within
   half of the bound.  What would be rejected waits in the router's queue.  */

#include "entry/entry_private.h"

#include <string.h>

#include "base/log.h"

enum
{
  MS_PER_S = 1000,
  /* Share of an engine's places, in quarters, that is used: reports of other
     entries' requests are a few hundred ms old.  */
  ENGINE_QUARTERS = 3,
  /* Requests at once from this entry to a server that reports no load.  */
  UNREPORTED_CAP = 1,
  BACK_OFF_MAX_MS = 20000,
  GROW_INTERVAL_MS = 2000,  /* without a rejection, until one more request at
                               once is tried */
  REPORT_MAX_AGE_MS = 1000, /* an older report says nothing of its places */
};

/* The share of the bound that entries use.  */
#define BOUND_SHARE 0.5

static const char *
service_of (const pu_server_t *s)
{
  const pu_backend_record *b
      = pu_state_backend (s->en->o.hooks.view (s->en->o.hooks.data), s->name);

  return b != NULL ? b->service : "";
}

/* Returns the most requests at once of a brittle S, before it has rejected
   any.  */
static guint
places_max (const pu_server_t *s)
{
  const pu_engine_class_t *c
      = s->plain || s->en->document == NULL
            ? NULL
            : pu_document_engine_class (s->en->document, service_of (s));

  if (c == NULL || c->slots == 0)
    return UNREPORTED_CAP;
  return MAX (1, c->slots * ENGINE_QUARTERS / 4);
}

void
pu_server_brittle_apply (const pu_server_t *s)
{
  if (s->handle != PU_ROUTER_NONE)
    {
      pu_router_set_slots_cap (s->en->router, s->handle,
                               s->rejections_per_s > 0 ? s->places : 0);
    }
}

static void
set_bound (pu_server_t *s, double per_s)
{
  s->rejections_per_s = per_s;
  s->places = places_max (s);
  s->places_changed_at = uv_now (s->en->o.loop);
  pu_server_brittle_apply (s);
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
  if (per_s <= 0)
    {
      set_bound (s, 0);
      return;
    }
  service = service_of (s);
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

/* Returns how many requests S had when it rejected one, as far as is known. */
static guint
places_found (const pu_server_t *s, guint64 now)
{
  pu_router_load_t load;

  if (s->handle == PU_ROUTER_NONE)
    return 1;
  pu_router_backend_load (s->en->router, s->handle, now, &load);
  if (!s->plain && load.age_ms < REPORT_MAX_AGE_MS)
    return load.running > 1 ? load.running - 1 : 1;
  return load.own > 1 ? load.own - 1 : 1;
}

void
pu_server_brittle_rejected (pu_server_t *s)
{
  pu_entry_t *en = s->en;
  guint64 now = uv_now (en->o.loop);
  double entries = MAX (en->retry_entries, 1);
  double ms;

  if (s->rejections_per_s <= 0)
    return;
  s->places = MIN (s->places, places_found (s, now));
  s->places_changed_at = now;
  pu_server_brittle_apply (s);
  ms = entries / (s->rejections_per_s * BOUND_SHARE) * MS_PER_S
       * (1 + g_rand_double (en->random) / 2);
  pu_server_back_off (s, now + (guint64)CLAMP (ms, MS_PER_S, BACK_OFF_MAX_MS));
}

void
pu_server_brittle_accepted (pu_server_t *s)
{
  guint64 now = uv_now (s->en->o.loop);

  if (s->rejections_per_s <= 0 || s->places >= places_max (s)
      || now < s->places_changed_at + GROW_INTERVAL_MS)
    return;
  s->places++;
  s->places_changed_at = now;
  pu_server_brittle_apply (s);
}
