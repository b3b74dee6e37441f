#include "entry/entry_private.h"

#include "base/breaks.h"
#include "base/log.h"

#include <string.h>

/* All requests go to the version in force where it is ready.  */
#define SHARE_ALL 1000

/* Requests of one route that wait at an entry at most: what waits is bounded
   by its deadline, this bounds the memory.  */
#define ROUTE_QUEUE 2000

typedef struct
{
  const pu_entry_t *en;
  GArray *found; /* of pu_directory_member_t */
} members_t;

static void
member_add (const pu_member_record *m, void *data)
{
  members_t *members = data;
  bool self = strcmp (m->name, members->en->name) == 0;
  pu_directory_member_t one
      = { .name = m->name,
          .address = m->caller_address,
          .region = m->region,
          .zone = m->zone,
          .leaving = m->leaving || (self && members->en->leaving) };

  if (pu_break_active (PU_BREAK_LEAVING_NAMED))
    one.leaving = false;
  g_array_append_val (members->found, one);
}

static void
members_sync (pu_entry_t *en, const pu_state_t *view)
{
  members_t members
      = { en, g_array_new (FALSE, FALSE, sizeof (pu_directory_member_t)) };

  pu_state_each_member (view, member_add, &members);
  pu_directory_set_members (
      en->directory, pu_state_view (view),
      (const pu_directory_member_t *)(void *)members.found->data,
      members.found->len);
  g_array_free (members.found, TRUE);
}

typedef struct
{
  pu_entry_t *en;
  GHashTable *struck; /* set of &fingerprint */
} struck_t;

static void
suspect_put (const pu_suspect_record *s, void *data)
{
  struck_t *all = data;
  guint64 fingerprint = s->fingerprint;

  pu_suspects_put (all->en->suspects, s->fingerprint, s->strikes,
                   s->convicted);
  g_hash_table_add (all->struck, g_memdup2 (&fingerprint, sizeof fingerprint));
}

/* What the view no longer names was lifted.  */
static void
suspects_sync (pu_entry_t *en, const pu_state_t *view)
{
  struck_t all = { en, g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                              g_free, NULL) };
  GHashTableIter it;
  gpointer fingerprint;

  pu_state_each_suspect (view, suspect_put, &all);
  g_hash_table_iter_init (&it, en->struck);
  while (g_hash_table_iter_next (&it, &fingerprint, NULL))
    {
      if (!g_hash_table_contains (all.struck, fingerprint))
        pu_suspects_lift (en->suspects, *(const guint64 *)fingerprint);
    }
  g_hash_table_destroy (en->struck);
  en->struck = all.struck;
}

static void
services_remove (pu_entry_t *en, const pu_document_t *old)
{
  for (guint i = 0; i < pu_document_services (old); i++)
    {
      const pu_service_t *s = pu_document_service (old, i);
      char *name;

      if (pu_document_find_service (en->document, s->name) != PU_HANDLE_NONE)
        continue;
      pu_router_remove_service (en->router,
                                pu_router_find_service (en->router, s->name));
      if (s->kind != PU_SERVICE_PLAIN)
        continue;
      name = g_strconcat ("service:", s->name, NULL);
      pu_router_remove_model (en->router,
                              pu_router_find_model (en->router, name));
      g_free (name);
    }
}

static void
models_remove (pu_entry_t *en, const pu_document_t *old)
{
  for (guint i = 0; i < pu_document_models (old); i++)
    {
      const char *name = pu_document_model (old, i)->name;

      if (pu_document_find_model (en->document, name) == PU_HANDLE_NONE)
        {
          pu_router_remove_model (en->router,
                                  pu_router_find_model (en->router, name));
        }
    }
}

/* A route is a row of its own among the router's services.  */
static char *
route_row (const pu_route_t *r)
{
  return g_strconcat ("route:", r->name, NULL);
}

static void
routes_remove (pu_entry_t *en, const pu_document_t *old)
{
  for (guint i = 0; i < pu_document_routes (old); i++)
    {
      const pu_route_t *r = pu_document_route (old, i);
      char *name;

      if (pu_document_route_named (en->document, r->name))
        continue;
      name = route_row (r);
      pu_router_remove_service (en->router,
                                pu_router_find_service (en->router, name));
      g_free (name);
    }
}

static void
route_set (pu_entry_t *en, const pu_route_t *r)
{
  char *name = route_row (r);
  pu_router_service_options_t o = { .name = name,
                                    .importance = r->priority + 1,
                                    .first_token_ms = r->target_ms,
                                    .per_token_ms = r->gap_ms,
                                    .timeout_ms = r->timeout_ms,
                                    .max_queue = ROUTE_QUEUE,
                                    .serve_late = r->serve_late,
                                    .patience_ms = r->patience_ms };

  pu_router_set_service (en->router, &o);
  g_free (name);
}

static void
service_set (pu_entry_t *en, const pu_service_t *s)
{
  bool plain = s->kind == PU_SERVICE_PLAIN;
  pu_router_service_options_t o
      = { .name = s->name,
          .importance = s->importance,
          .first_token_ms
          = plain ? s->targets.answer_ms : s->targets.first_token_ms,
          .per_token_ms = s->targets.per_token_ms,
          .timeout_ms = s->timeout_ms,
          .max_concurrency = s->max_concurrency,
          .max_queue = s->max_queue };
  char *name;

  pu_router_set_service (en->router, &o);
  if (!plain)
    return;
  name = g_strconcat ("service:", s->name, NULL);
  pu_router_set_model (en->router, name, NULL, SHARE_ALL);
  g_free (name);
}

static void
document_sync (pu_entry_t *en, const pu_doc_record *record)
{
  pu_findings_t *f = pu_findings_new ();
  pu_document_t *old = en->document;
  pu_document_t *d
      = pu_document_load (record->text, strlen (record->text), f);

  if (d == NULL)
    {
      const pu_finding_t *first = pu_findings_get (f, 0);

      pu_log_warn (PU_ENTRY_PART,
                   "Document %" G_GUINT64_FORMAT
                   " can't be read, the one before stays in force: '%s' %s",
                   (guint64)record->doc_version, first->path, first->message);
      pu_findings_free (f);
      return;
    }
  pu_findings_free (f);
  en->document = d;
  en->document_version = record->doc_version;
  if (old != NULL)
    {
      services_remove (en, old);
      models_remove (en, old);
      routes_remove (en, old);
    }
  for (guint i = 0; i < pu_document_services (d); i++)
    service_set (en, pu_document_service (d, i));
  for (guint i = 0; i < pu_document_routes (d); i++)
    route_set (en, pu_document_route (d, i));
  for (guint i = 0; i < pu_document_models (d); i++)
    {
      const pu_model_t *m = pu_document_model (d, i);

      pu_router_set_model (en->router, m->name, m->version, SHARE_ALL);
    }
  pu_document_unref (old);
  pu_entry_limits_set (en);
  pu_log_event (PU_ENTRY_PART, "A document is in force.",
                PU_LOG_NUMBER ("document", en->document_version),
                PU_LOG_NUMBER ("routes", pu_document_routes (d)),
                PU_LOG_NUMBER ("services", pu_document_services (d)),
                PU_LOG_NUMBER ("models", pu_document_models (d)),
                PU_LOG_TEXT ("author", record->author));
}

void
pu_view_sync (pu_entry_t *en)
{
  const pu_state_t *view = en->o.hooks.view (en->o.hooks.data);
  const pu_doc_record *record = pu_state_document (view);
  guint64 since = en->changes;

  if (!en->o.hooks.ready (en->o.hooks.data)
      || (en->changes == pu_state_changes (view) && en->changes != 0))
    return;
  en->changes = pu_state_changes (view);
  if (record != NULL && record->doc_version != en->document_version)
    {
      document_sync (en, record);
      since = 0;
    }
  members_sync (en, view);
  suspects_sync (en, view);
  pu_strikes_tick (en, uv_now (en->o.loop));
  pu_servers_sync (en, since);
  pu_router_due (en);
  pu_startup_admit (en);
}
